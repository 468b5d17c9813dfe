//! What the planner offers for the operators' intents.

mod cluster_support;

use cluster_support::*;
use croftrill_state::entry::{Intent, PlacementStep};
use croftrill_state::placement::{Assignment, AssignmentState, Residency};
use croftrill_state::planner::{plan, EngineFacts, PlanAction, PlannedChange};
use croftrill_state::ClusterState;
use std::collections::BTreeSet;

/// Plans the intents, applies the plan, and checks the invariants.
fn plan_and_apply(state: &mut ClusterState, intents: Vec<Intent>) -> PlannedChange {
    let planned = plan(state, &EngineFacts::default(), &intents).expect("the intents can be planned");
    apply_plan(state, intents, planned.steps.clone()).expect("the plan is accepted");
    state.check().expect("the invariants hold");
    planned
}

fn assignments<'a>(state: &'a ClusterState, model: &str) -> Vec<&'a Assignment> {
    state.assignments_of_model(&model.into()).collect()
}

#[test]
fn a_new_model_gets_residents_and_on_demand_replicas_in_distinct_zones() {
    let mut state = small_cluster(6);
    plan_and_apply(&mut state, vec![Intent::PutModel(model("m", 1, 3))]);

    let placed = assignments(&state, "m");
    let residents = placed.iter().filter(|a| a.residency != Residency::OnDemand);
    assert_eq!(placed.len(), 3);
    assert_eq!(residents.count(), 1);
    assert_eq!(zones_of(&state, "m").len(), 3);
    assert!(placed.iter().all(|a| a.state == AssignmentState::Active));
}

fn zones_of(state: &ClusterState, model: &str) -> BTreeSet<String> {
    assignments(state, model)
        .iter()
        .map(|a| state.engines[&a.engine].value.zone.to_string())
        .collect()
}

fn findings(state: &ClusterState, intents: Vec<Intent>) -> Vec<String> {
    let error = plan(state, &EngineFacts::default(), &intents).expect_err("there are findings");
    error.findings.iter().map(ToString::to_string).collect()
}

fn deliver_releases(state: &mut ClusterState) {
    let releasing: Vec<Assignment> = state
        .all_assignments()
        .filter(|a| a.state == AssignmentState::Releasing)
        .cloned()
        .collect();
    for assignment in releasing {
        apply_released(state, assignment.model.as_str(), assignment.engine.as_str())
            .expect("a confirmed unload is accepted");
    }
}

#[test]
fn every_finding_is_reported_together() {
    let state = small_cluster(2);
    let mut wrong = model("m", 3, 2);
    wrong.memory_mib_per_accelerator = 2 * ACCELERATOR_MIB;
    let intents = vec![
        Intent::PutGroup(group("g", 0)),
        Intent::PutModel(wrong),
        Intent::PutAdapter(adapter("a", "none")),
        Intent::DeleteModel("gone".into()),
        Intent::DrainEngine("e9".into()),
        Intent::DrainNode("n9".into()),
    ];
    let expected = [
        "group g: share_weight is 0; it must be at least 1",
        "model m: min_replicas 3 is more than max_replicas 2",
        "model m: fits on no engine: it needs 1 accelerators with 160000 MiB each",
        "adapter a: base model none does not exist",
        "model gone: does not exist",
        "engine e9: does not exist",
        "node n9: does not exist",
    ];
    assert_eq!(findings(&state, intents), expected);
}

#[test]
fn names_of_models_and_adapters_do_not_clash() {
    let mut state = small_cluster(2);
    let intents = vec![
        Intent::PutModel(model("m", 0, 1)),
        Intent::PutAdapter(adapter("a", "m")),
    ];
    plan_and_apply(&mut state, intents);
    let clashing = vec![
        Intent::PutModel(model("a", 0, 1)),
        Intent::PutAdapter(adapter("m", "m")),
        Intent::PutGroup(group("two words", 1)),
    ];
    let expected = [
        "model a: an adapter has this name",
        "adapter m: a model has this name",
        "group two words: the name has white space or control characters",
    ];
    assert_eq!(findings(&state, clashing), expected);
}

#[test]
fn a_model_with_adapters_is_not_deleted_unless_they_are_deleted_before() {
    let mut state = small_cluster(2);
    let intents = vec![
        Intent::PutModel(model("m", 0, 1)),
        Intent::PutAdapter(adapter("a", "m")),
    ];
    plan_and_apply(&mut state, intents);
    let delete_model = Intent::DeleteModel("m".into());
    assert_eq!(
        findings(&state, vec![delete_model.clone()]),
        ["model m: still has adapters: a; delete them first"]
    );
    plan_and_apply(&mut state, vec![Intent::DeleteAdapter("a".into()), delete_model]);
    assert_eq!(state.resolve("m"), None);
    deliver_releases(&mut state);
    assert!(state.models.is_empty());
}

#[test]
fn a_cached_checkpoint_attracts_a_replica() {
    let state = small_cluster(6);
    let mut facts = EngineFacts::default();
    facts.caches.entry("e5".into()).or_default().in_memory = BTreeSet::from(["m".into()]);
    let intents = [Intent::PutModel(model("m", 1, 1))];

    let planned = plan(&state, &facts, &intents).unwrap();

    let load = PlanAction::Load {
        model: "m".into(),
        engine: "e5".into(),
        memory_mib: 30_000,
        expected_millis: 28_000 * 1000 / 16_000,
    };
    assert_eq!(planned.actions, [load]);
}

#[test]
fn on_demand_models_spread_evenly() {
    let mut state = small_cluster(6);
    for number in 0..12 {
        let intents = vec![Intent::PutModel(model(&format!("m{number}"), 0, 2))];
        plan_and_apply(&mut state, intents);
    }
    for engine in state.engines.keys() {
        let count = state.assignments_on_engine(engine).count();
        assert_eq!(count, 4, "engine {engine}");
    }
}

#[test]
fn residents_leave_room_for_the_on_demand_models_of_their_engine() {
    let mut state = cluster(vec![node("n1", "z1")], vec![engine("e1", "z1", 2)]);
    let mut wide = model("wide", 0, 1);
    wide.accelerators = 2;
    wide.memory_mib_per_accelerator = 40_000;
    plan_and_apply(&mut state, vec![Intent::PutModel(wide)]);
    let mut large = model("large", 1, 1);
    large.memory_mib_per_accelerator = 50_000;

    let planned = plan_and_apply(&mut state, vec![Intent::PutModel(large)]);

    assert_eq!(assignments(&state, "large").len(), 1);
    assert_eq!(
        assignments(&state, "large")[0].residency,
        Residency::OnDemand,
        "{planned:?}"
    );
    assert_eq!(
        planned.warnings,
        ["model large: no room to keep 1 of its 1 replicas loaded"]
    );
}

#[test]
fn raising_the_minimum_keeps_replicas_where_they_are() {
    let mut state = small_cluster(6);
    plan_and_apply(&mut state, vec![Intent::PutModel(model("m", 0, 2))]);
    let engines_before: Vec<_> = assignments(&state, "m")
        .iter()
        .map(|a| a.engine.clone())
        .collect();

    plan_and_apply(&mut state, vec![Intent::PutModel(model("m", 2, 2))]);

    let after = assignments(&state, "m");
    assert!(after.iter().all(|a| a.residency != Residency::OnDemand));
    assert_eq!(
        after.iter().map(|a| a.engine.clone()).collect::<Vec<_>>(),
        engines_before
    );
}

#[test]
fn lowering_the_most_stops_the_surplus_and_keeps_residents() {
    let mut state = small_cluster(6);
    plan_and_apply(&mut state, vec![Intent::PutModel(model("m", 1, 3))]);

    let planned = plan_and_apply(&mut state, vec![Intent::PutModel(model("m", 1, 1))]);

    let stops = planned
        .actions
        .iter()
        .filter(|a| matches!(a, PlanAction::Stop { .. }));
    assert_eq!(stops.count(), 2);
    deliver_releases(&mut state);
    let left = assignments(&state, "m");
    assert_eq!(left.len(), 1);
    assert_ne!(left[0].residency, Residency::OnDemand);
}

#[test]
fn growing_beyond_an_engine_moves_the_replica() {
    let small = engine("e1", "z1", 1);
    let mut large = engine("e2", "z1", 1);
    large.accelerator_memory_mib = vec![2 * ACCELERATOR_MIB];
    let mut state = cluster(vec![node("n1", "z1")], vec![small, large]);
    let mut filler = model("filler", 1, 1);
    filler.memory_mib_per_accelerator = 70_000;
    let mut facts = EngineFacts::default();
    facts.caches.entry("e2".into()).or_default().in_memory = BTreeSet::from(["filler".into()]);
    facts.caches.entry("e1".into()).or_default().in_memory = BTreeSet::from(["m".into()]);
    for put in [Intent::PutModel(filler), Intent::PutModel(model("m", 1, 1))] {
        let planned = plan(&state, &facts, std::slice::from_ref(&put)).unwrap();
        apply_plan(&mut state, vec![put], planned.steps).unwrap();
    }
    assert_eq!(assignments(&state, "m")[0].engine, "e1".into());

    let mut grown = model("m", 1, 1);
    grown.memory_mib_per_accelerator = 85_000;
    let planned = plan_and_apply(&mut state, vec![Intent::PutModel(grown)]);

    let expected = PlanAction::Move {
        model: "m".into(),
        from: "e1".into(),
        to: "e2".into(),
        memory_mib: 85_000,
        expected_millis: 28_000,
    };
    assert_eq!(planned.actions, [expected]);
    deliver_releases(&mut state);
    assert_eq!(assignments(&state, "m")[0].state, AssignmentState::Active);
}

#[test]
fn a_drained_engine_hands_its_replicas_over_one_for_one() {
    let mut state = small_cluster(4);
    plan_and_apply(&mut state, vec![Intent::PutModel(model("m", 1, 3))]);
    let drained = assignments(&state, "m")[0].engine.clone();

    let planned = plan_and_apply(&mut state, vec![Intent::DrainEngine(drained.clone())]);

    // The drained replica was the resident one. An on-demand replica that may be
    // loaded already takes its part at once; the new one waits.
    let [PlanAction::Load { engine, .. }, PlanAction::Move { from, to, .. }] = &planned.actions[..] else {
        panic!("unexpected actions: {planned:?}");
    };
    assert_eq!(from, &drained);
    let replacing = state.assignment(&"m".into(), engine).unwrap();
    assert_eq!(replacing.state, AssignmentState::Active);
    let new = state.assignment(&"m".into(), to).unwrap();
    assert!(matches!(new.state, AssignmentState::WaitingFor { .. }));
    let counting = state.decided_replicas(&"m".into());
    assert_eq!(counting, 3, "the new replica waits for the old one");
    deliver_releases(&mut state);
    assert!(assignments(&state, "m")
        .iter()
        .all(|a| a.engine != drained && a.state == AssignmentState::Active));
}

#[test]
fn a_drained_node_gives_its_engines_to_nodes_of_their_zone() {
    let nodes = vec![node("n1", "z1"), node("n2", "z1"), node("n3", "z2")];
    let mut state = cluster(nodes, vec![engine("e1", "z1", 1), engine("e2", "z1", 1)]);
    let owned = ["e1", "e2"].map(|engine| PlacementStep::SetOwner {
        engine: engine.into(),
        owner: "n1".into(),
    });
    apply_plan(&mut state, vec![], owned.to_vec()).unwrap();

    let planned = plan_and_apply(&mut state, vec![Intent::DrainNode("n1".into())]);

    let changed = planned
        .actions
        .iter()
        .filter(|a| matches!(a, PlanAction::ChangeOwner { .. }));
    assert_eq!(changed.count(), 2);
    for engine in state.engines.values() {
        assert_eq!(engine.value.owner, Some("n2".into()));
        assert_eq!(engine.value.fencing_token.0, state.revision.0);
    }
}

#[test]
fn a_deleted_model_is_stopped_everywhere() {
    let mut state = small_cluster(6);
    plan_and_apply(&mut state, vec![Intent::PutModel(model("m", 1, 3))]);
    let planned = plan_and_apply(&mut state, vec![Intent::DeleteModel("m".into())]);
    assert_eq!(planned.actions.len(), 3);
    assert_eq!(state.resolve("m"), None);
    deliver_releases(&mut state);
    assert!(state.models.is_empty() && state.assignments.is_empty());
}

#[test]
fn a_new_version_reloads_kept_replicas() {
    let mut state = small_cluster(3);
    plan_and_apply(&mut state, vec![Intent::PutModel(model("m", 1, 1))]);
    let mut next = model("m", 1, 1);
    next.version = 2;
    let planned = plan_and_apply(&mut state, vec![Intent::PutModel(next)]);
    assert!(planned.steps.is_empty());
    assert!(matches!(planned.actions[..], [PlanAction::Load { .. }]));
}

#[test]
fn without_engines_a_model_is_accepted_with_a_warning() {
    let mut state = cluster(vec![node("n1", "z1")], vec![]);
    let planned = plan_and_apply(&mut state, vec![Intent::PutModel(model("m", 1, 3))]);
    assert!(planned
        .warnings
        .contains(&"model m: fits on no engine now; its requests will be refused".to_string()));
}
