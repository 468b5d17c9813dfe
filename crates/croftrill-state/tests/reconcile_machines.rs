//! The machine list that a coordinator follows: what joins, stops, is drained
//! and is gone.

mod reconcile_support;

use croftrill_state::entry::Intent;
use croftrill_state::placement::Lifecycle;
use croftrill_state::reconcile::ListedMachines;
use croftrill_state::*;
use reconcile_support::*;
use std::collections::BTreeSet;

#[test]
fn machines_of_the_list_join_and_engines_get_owners_of_their_zone() {
    let world = two_zones();
    assert_eq!(world.state.nodes.len(), 4);
    let mut owners = BTreeSet::new();
    for engine in world.state.engines.values() {
        let owner = engine.value.owner.clone().unwrap();
        assert_eq!(world.state.nodes[&owner].value.zone, engine.value.zone);
        assert!(engine.value.fencing_token > FencingToken(0));
        owners.insert(owner);
    }
    assert_eq!(owners.len(), 4, "spread evenly");
}

#[test]
fn a_stopped_node_takes_part_again_when_a_new_process_answers_and_not_before() {
    let mut world = two_zones();
    let stopped = NodeId::from("a-node-0");
    world.leaving.insert(stopped.clone());
    world.settle();
    world.leaving.clear();
    world.dead.insert(stopped.clone());
    world.pass(OWNER_DEAD_MILLIS);
    assert_eq!(lifecycle(&world, "a-node-0"), Lifecycle::Stopping);
    world.dead.clear();
    world.settle();
    assert_eq!(lifecycle(&world, "a-node-0"), Lifecycle::Live);
}

#[test]
fn a_drained_node_stays_drained_through_a_stop() {
    let mut world = two_zones();
    let node = NodeId::from("a-node-0");
    world.confirm(Intent::DrainNode(node.clone()));
    world.leaving.insert(node);
    world.settle();
    world.leaving.clear();
    world.settle();
    assert_eq!(lifecycle(&world, "a-node-0"), Lifecycle::Leaving);
    let mut leaving = two_zones();
    leaving.leaving.insert(NodeId::from("a-node-0"));
    leaving.settle();
    let mut listed = self::node("a-node-0", "a");
    listed.lifecycle = Lifecycle::Leaving;
    leaving.list_node(listed);
    leaving.leaving.clear();
    leaving.settle();
    assert_eq!(lifecycle(&leaving, "a-node-0"), Lifecycle::Leaving);
}

#[test]
fn a_list_that_lags_does_not_undo_a_drain() {
    let mut world = two_zones();
    world.confirm(Intent::DrainNode(NodeId::from("a-node-0")));
    world.confirm(Intent::DrainEngine(EngineId::from("a-engine-0")));
    world.pass(1_000);
    assert_eq!(world.engine("a-engine-0").lifecycle, Lifecycle::Leaving);
    let mut moved = node("a-node-0", "a");
    moved.attempt_address = "elsewhere".to_string();
    world.list_node(moved);
    world.settle();
    let node = &world.state.nodes[&NodeId::from("a-node-0")].value;
    assert_eq!(node.lifecycle, Lifecycle::Leaving);
    assert_eq!(node.attempt_address, "elsewhere");
}

#[test]
fn a_machine_is_removed_only_after_it_was_missing_for_a_while() {
    let mut world = two_zones();
    world.machines.engines.remove(&EngineId::from("a-engine-0"));
    world.machines.nodes.remove(&NodeId::from("a-node-0"));
    world.machines.nodes.remove(&NodeId::from("a-node-1"));
    world.dead.insert(NodeId::from("a-node-0"));
    world.pass(MACHINE_ABSENT_MILLIS - 1);
    assert_eq!((world.state.nodes.len(), world.state.engines.len()), (4, 4));
    world.pass(1);
    assert_eq!(world.state.engines.len(), 3);
    assert!(!world.state.nodes.contains_key(&NodeId::from("a-node-0")));
    // It answers, so the list is wrong about it.
    assert!(world.state.nodes.contains_key(&NodeId::from("a-node-1")));
}

#[test]
fn an_empty_list_removes_nothing() {
    let mut world = two_zones();
    world.machines = ListedMachines::default();
    world.dead.extend(world.state.nodes.keys().cloned());
    world.pass(10 * MACHINE_ABSENT_MILLIS);
    assert_eq!((world.state.nodes.len(), world.state.engines.len()), (4, 4));
}

#[test]
fn an_engine_with_other_memory_is_another_machine() {
    let mut world = two_zones();
    world.place_model(model("model", 4, 4, 30));
    assert_eq!(world.assignments("model").len(), 4);
    let mut smaller = engine("a-engine-0", "a");
    smaller.accelerator_memory_mib = vec![20];
    world.list_engine(smaller);
    world.settle();
    assert_eq!(world.engine("a-engine-0").accelerator_memory_mib, [20]);
    assert_eq!(world.assignments("model").len(), 3);
}
