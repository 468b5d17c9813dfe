//! What the planner offers for the operators' intents.

mod cluster_support;

use cluster_support::*;
use croftrill_state::entry::Intent;
use croftrill_state::placement::{Assignment, AssignmentState, Residency};
use croftrill_state::planner::{plan, EngineFacts, PlannedChange};
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
    let zones: BTreeSet<String> = placed
        .iter()
        .map(|a| state.engines[&a.engine].value.zone.to_string())
        .collect();
    assert_eq!(placed.len(), 3);
    assert_eq!(residents.count(), 1);
    assert_eq!(zones.len(), 3);
    assert!(placed.iter().all(|a| a.state == AssignmentState::Active));
}
