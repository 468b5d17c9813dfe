//! The plans of a coordinator as a whole: none without need, bounded, and not
//! held up by a change that is refused.

mod reconcile_support;

use croftrill_state::cluster::Coordinator;
use croftrill_state::entry::Change;
use croftrill_state::reconcile::{ReconcileConfig, Reconciler};
use croftrill_state::*;
use reconcile_support::*;

#[test]
fn nothing_is_planned_when_nothing_changed() {
    let mut world = two_zones();
    world.place_model(model("model", 1, 2, 10));
    world.now = world.now + 1_000_000;
    assert_eq!(world.plan(), None);
}

#[test]
fn a_change_that_the_state_refuses_does_not_hold_up_the_others() {
    let mut world = two_zones();
    world.place_model(model("model", 0, 4, 10));
    // A fault that no entry can bring about: every change of this engine would
    // leave its memory overcommitted, so the state refuses it.
    let broken = EngineId::from("a-engine-0");
    let engines = world.state.engines.get_mut(&broken).unwrap();
    engines.value.accelerator_memory_mib = vec![1, 1];
    let mut moved = world.engine("a-engine-0").clone();
    moved.address = "elsewhere".to_string();
    world.list_engine(moved);
    let mut moved = world.engine("b-engine-0").clone();
    moved.address = "elsewhere".to_string();
    world.list_engine(moved);
    world.list_node(node("c-node", "c"));
    world.list_engine(engine("c-engine", "c"));
    world
        .dead
        .extend([NodeId::from("b-node-0"), NodeId::from("b-node-1")]);
    for millis in [0, OWNER_DEAD_MILLIS] {
        world.now = world.now + millis;
        while let Some(change) = world.plan() {
            world.append_unchecked(change);
        }
    }
    assert_eq!(world.engine("a-engine-0").address, "a-engine-0");
    assert_eq!(world.engine("b-engine-0").address, "elsewhere");
    assert_eq!(world.owner("c-engine"), Some(&NodeId::from("c-node")));
    assert!(!world.dead.contains(world.owner("b-engine-1").unwrap()));
}

#[test]
fn one_plan_is_bounded_and_the_next_ones_continue() {
    let mut world = World::with_most_changes(3);
    world.list_node(node("node", "a"));
    for index in 0..6 {
        world.list_engine(engine(&format!("engine-{index}"), "a"));
    }
    for index in 0..4 {
        world.put_model(model(&format!("model-{index}"), 0, 3, 10));
    }
    while let Some(change) = world.plan() {
        let Change::Reconcile {
            put_nodes,
            put_engines,
            steps,
            ..
        } = &change
        else {
            panic!("{change:?}");
        };
        assert!(put_nodes.len() + put_engines.len() + steps.len() <= 3);
        world.append(change);
    }
    assert_eq!(world.state.all_assignments().count(), 12);
}

#[test]
fn one_cell_is_responsible_for_a_model() {
    let mut responsible = Vec::new();
    for own in ["cell", "other"] {
        let mut world = two_zones();
        let coordinator = Coordinator {
            node: NodeId::from("other-coordinator"),
            term: Term(1),
        };
        world
            .state
            .coordinators
            .insert(CellId::from("other"), coordinator);
        world.put_model(model("model", 0, 1, 10));
        world.reconciler = Reconciler::new(CellId::from(own), ReconcileConfig::default());
        let planned = world.plan();
        responsible.extend(planned.map(|_| own));
    }
    assert_eq!(responsible.len(), 1, "{responsible:?}");
}
