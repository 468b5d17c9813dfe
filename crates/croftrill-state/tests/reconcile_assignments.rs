//! Assignments that a coordinator adds and releases: which engines, and in which
//! order when a model has as many replicas as it may have.

mod reconcile_support;

use croftrill_state::configuration::Model;
use croftrill_state::entry::{Change, Intent, LogEntry, PlacementStep};
use croftrill_state::placement::{Assignment, AssignmentState, Residency};
use croftrill_state::*;
use reconcile_support::*;
use std::collections::BTreeSet;

#[test]
fn a_model_gets_residents_first_and_spreads_over_zones() {
    let mut world = two_zones();
    world.place_model(model("model", 1, 2, 10));
    let assignments = world.assignments("model");
    let zones: BTreeSet<_> = assignments
        .iter()
        .map(|assignment| &world.engine(assignment.engine.as_str()).zone)
        .collect();
    let residents = assignments.iter().filter(|a| a.residency != Residency::OnDemand);
    assert_eq!((assignments.len(), zones.len(), residents.count()), (2, 2, 1));
}

#[test]
fn a_model_that_fits_nowhere_gets_nothing() {
    let mut world = two_zones();
    world.put_model(model("large", 0, 2, 41));
    world.put_model(Model {
        accelerators: 3,
        ..model("wide", 0, 2, 1)
    });
    world.settle();
    assert_eq!(world.state.all_assignments().count(), 0);
}

#[test]
fn residents_never_take_the_last_room_of_on_demand_models() {
    let mut world = World::new();
    world.list_node(node("node", "a"));
    world.list_engine(engine("engine", "a"));
    world.settle();
    world.place_model(model("on-demand", 0, 1, 40));
    for index in 0..4 {
        world.put_model(model(&format!("resident-{index}"), 1, 1, 25));
    }
    world.settle();
    let residents = world.state.all_assignments();
    let residents = residents.filter(|a| a.residency != Residency::OnDemand).count();
    assert_eq!(residents, 1);
}

#[test]
fn a_resident_goes_to_the_emptiest_accelerators_if_the_fullest_are_needed() {
    let mut world = World::new();
    world.list_node(node("node", "a"));
    world.list_engine(engine("engine", "a"));
    world.settle();
    world.place_model(model("first", 1, 1, 10));
    world.place_model(Model {
        accelerators: 2,
        ..model("wide", 0, 1, 25)
    });
    world.place_model(model("second", 1, 1, 10));
    let residency = &world.assignments("second")[0].residency;
    assert_eq!(
        *residency,
        Residency::Resident {
            accelerators: vec![1]
        }
    );
}

#[test]
fn a_drained_engine_hands_its_models_on_one_by_one() {
    let mut world = two_zones();
    world.place_model(model("model", 0, 1, 10));
    let from = world.first_engine("model");
    world.drain_engine(&from);
    let assignments = world.assignments("model");
    assert_eq!(assignments.len(), 2);
    let waits = AssignmentState::WaitingFor { engine: from.clone() };
    for assignment in assignments {
        let releases = assignment.engine == from;
        let expected = if releases {
            &AssignmentState::Releasing
        } else {
            &waits
        };
        assert_eq!(assignment.state, *expected);
    }
    world.release_all();
    world.settle();
    let assignments = world.assignments("model");
    assert_eq!(assignments.len(), 1);
    assert_eq!(assignments[0].state, AssignmentState::Active);
}

#[test]
fn an_assignment_that_waits_on_an_engine_that_leaves_is_placed_elsewhere() {
    let mut world = two_zones();
    world.place_model(model("model", 0, 1, 10));
    let first = world.first_engine("model");
    world.drain_engine(&first);
    let second = world.assignments("model");
    let second = second.iter().find(|a| a.engine != first).unwrap().engine.clone();
    world.drain_engine(&second);
    let engines: Vec<_> = world.assignments("model").into_iter().map(|a| a.engine).collect();
    assert_eq!(engines.len(), 2);
    assert!(engines.contains(&first) && !engines.contains(&second));
}

#[test]
fn an_engine_that_is_gone_frees_its_replicas_for_others() {
    let mut world = two_zones();
    world.place_model(model("model", 0, 2, 10));
    let gone = world.first_engine("model");
    world.machines.engines.remove(&gone);
    world.pass(MACHINE_ABSENT_MILLIS);
    let assignments = world.assignments("model");
    assert_eq!(assignments.len(), 2);
    assert!(assignments
        .iter()
        .all(|a| a.engine != gone && a.state == AssignmentState::Active));
}

#[test]
fn a_replica_that_may_be_loaded_cannot_be_made_to_wait() {
    let mut world = two_zones();
    world.place_model(model("model", 0, 1, 10));
    let mut assignment = world.assignments("model").remove(0);
    let engine = EngineId::from("a-engine-0");
    assignment.state = AssignmentState::WaitingFor { engine };
    let entry = LogEntry {
        revision: world.state.revision.next(),
        entry_id: EntryId(0),
        author: NodeId::from("coordinator"),
        term: Term(1),
        change: assign(assignment),
    };
    assert!(world.state.after(&entry).is_err());
}

#[test]
fn a_deleted_model_is_released_and_not_placed_again() {
    let mut world = two_zones();
    for name in ["deleted", "kept"] {
        world.put_model(model(name, 1, 2, 10));
    }
    world.settle();
    let release = |assignment: Assignment| PlacementStep::Release {
        model: assignment.model,
        engine: assignment.engine,
    };
    let steps = world.assignments("deleted").into_iter().map(release).collect();
    world.append(Change::ConfirmPlan {
        plan: PlanId::from("delete"),
        base: world.state.revision,
        intents: vec![Intent::DeleteModel(ModelId::from("deleted"))],
        steps,
    });
    assert_eq!(world.plan(), None);
    world.release_all();
    world.settle();
    assert!(world.assignments("deleted").is_empty());
    assert_eq!(world.assignments("kept").len(), 2);
    assert_eq!(world.state.models.len(), 1);
}

/// Two drained engines with one replica each, and one engine that waits for
/// one of them.
fn two_releases_and_one_waiter() -> (World, EngineId) {
    let mut world = World::new();
    world.list_node(node("node", "a"));
    world.list_engine(engine("engine-0", "a"));
    world.list_engine(engine("engine-1", "a"));
    world.settle();
    world.place_model(model("model", 0, 2, 10));
    world.list_engine(engine("engine-2", "a"));
    world.confirm(Intent::DrainEngine(EngineId::from("engine-0")));
    world.confirm(Intent::DrainEngine(EngineId::from("engine-1")));
    world.settle();
    let awaited = world.awaited_engines("model").pop_first();
    (world, awaited.unwrap())
}

#[test]
fn two_assignments_never_wait_for_the_same_release() {
    let (mut world, awaited) = two_releases_and_one_waiter();
    world.list_engine(engine("engine-3", "a"));
    world.settle();
    let awaited_now = world.awaited_engines("model");
    assert!(awaited_now.contains(&awaited));
    assert_eq!(awaited_now.len(), 2);
    world.release_all();
    world.settle();
}

#[test]
fn a_waiter_whose_engine_is_gone_counts_as_active_in_the_same_plan() {
    let (mut world, awaited) = two_releases_and_one_waiter();
    world.machines.engines.remove(&awaited);
    world.settle();
    world.now = world.now + MACHINE_ABSENT_MILLIS;
    world.list_engine(engine("engine-3", "a"));
    world.settle();
    assert!(!world.state.engines.contains_key(&awaited));
    assert_eq!(world.state.decided_replicas(&ModelId::from("model")), 2);
    assert_eq!(world.assignments("model").len(), 3);
}

#[test]
fn an_assignment_that_waits_for_nothing_is_activated() {
    let mut world = two_zones();
    world.put_model(model("model", 0, 1, 10));
    let assignment = Assignment {
        model: ModelId::from("model"),
        engine: EngineId::from("a-engine-0"),
        residency: Residency::OnDemand,
        state: AssignmentState::WaitingFor {
            engine: EngineId::from("a-engine-1"),
        },
    };
    world.append(assign(assignment));
    world.settle();
    let assignments = world.assignments("model");
    assert_eq!(assignments.len(), 1);
    assert_eq!(assignments[0].state, AssignmentState::Active);
}
