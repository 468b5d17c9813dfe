//! Owners of engines that a coordinator chooses: no engine moves without need,
//! and a node that leaves gives its own away at once.

mod reconcile_support;

use croftrill_state::entry::Intent;
use croftrill_state::placement::Lifecycle;
use croftrill_state::*;
use reconcile_support::*;

#[test]
fn a_dead_owner_loses_its_engines_after_a_while_and_no_others_move() {
    let mut world = two_zones();
    let before: Vec<_> = world.state.engines.values().map(|e| e.value.clone()).collect();
    let lost = world.owner("a-engine-0").unwrap().clone();
    world.dead.insert(lost.clone());
    world.pass(OWNER_DEAD_MILLIS - 1);
    assert_eq!(world.owner("a-engine-0"), Some(&lost));
    world.pass(1);
    for engine in before {
        let now = world.engine(engine.id.as_str());
        if engine.owner.as_ref() == Some(&lost) {
            assert_ne!(now.owner, engine.owner);
            assert!(now.fencing_token > engine.fencing_token);
            assert_eq!(
                world.state.nodes[now.owner.as_ref().unwrap()].value.zone,
                now.zone
            );
        } else {
            assert_eq!(*now, engine);
        }
    }
}

#[test]
fn an_owner_that_answers_again_in_time_keeps_its_engines() {
    let mut world = two_zones();
    let owner = world.owner("a-engine-0").unwrap().clone();
    for _ in 0..5 {
        world.dead.insert(owner.clone());
        world.pass(OWNER_DEAD_MILLIS - 1);
        world.dead.clear();
        world.pass(1);
    }
    assert_eq!(world.owner("a-engine-0"), Some(&owner));
}

#[test]
fn a_lost_zone_is_owned_from_the_other_one() {
    let mut world = two_zones();
    world
        .dead
        .extend([NodeId::from("a-node-0"), NodeId::from("a-node-1")]);
    world.pass(OWNER_DEAD_MILLIS);
    for engine in ["a-engine-0", "a-engine-1"] {
        assert!(world.owner(engine).unwrap().as_str().starts_with("b-"));
    }
}

#[test]
fn engines_return_one_by_one_to_a_zone_that_came_back() {
    let mut world = two_zones();
    let zone = [NodeId::from("a-node-0"), NodeId::from("a-node-1")];
    world.dead.extend(zone.clone());
    world.pass(OWNER_DEAD_MILLIS);
    world.dead.clear();
    world.pass(STEADY_NODE_MILLIS - 1);
    let away = |world: &World| {
        let engines = ["a-engine-0", "a-engine-1"].iter();
        let away = engines.filter(|engine| !zone.contains(world.owner(engine).unwrap()));
        away.count()
    };
    assert_eq!(away(&world), 2);
    world.pass(1);
    assert_eq!(away(&world), 1);
    world.pass(BETWEEN_MOVES_MILLIS - 1);
    assert_eq!(away(&world), 1);
    world.pass(1);
    assert_eq!(away(&world), 0);
    assert_ne!(world.owner("a-engine-0"), world.owner("a-engine-1"));
}

#[test]
fn a_new_node_gets_engines_of_one_that_has_clearly_more() {
    let mut world = World::new();
    world.list_node(node("old", "a"));
    for index in 0..6 {
        world.list_engine(engine(&format!("engine-{index}"), "a"));
    }
    world.settle();
    world.list_node(node("new", "a"));
    world.pass(STEADY_NODE_MILLIS);
    for _ in 0..20 {
        world.pass(BETWEEN_MOVES_MILLIS);
    }
    let new = NodeId::from("new");
    let moved = world
        .state
        .engines
        .values()
        .filter(|e| e.value.owner.as_ref() == Some(&new));
    assert_eq!(moved.count(), 2, "until neither has clearly more");
}

#[test]
fn a_leaving_owner_loses_its_engines_at_once() {
    let mut world = two_zones();
    let owner = world.owner("a-engine-0").unwrap().clone();
    world.confirm(Intent::DrainNode(owner.clone()));
    world.settle();
    assert_ne!(world.owner("a-engine-0"), Some(&owner));
}

#[test]
fn a_node_that_announced_its_stop_loses_its_engines_at_once_whatever_the_list_says() {
    for list_is_readable in [true, false] {
        let mut world = two_zones();
        let owner = world.owner("a-engine-0").unwrap().clone();
        let version = world.state.cell_memberships[&cell()].version;
        world.list_is_readable = list_is_readable;
        world.leaving.insert(owner.clone());
        world.settle();
        assert_ne!(world.owner("a-engine-0"), Some(&owner));
        assert_eq!(lifecycle(&world, owner.as_str()), Lifecycle::Stopping);
        assert_eq!(world.state.cell_memberships[&cell()].version, version + 1);
    }
}
