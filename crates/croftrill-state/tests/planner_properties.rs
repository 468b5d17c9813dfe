//! Whatever was planned before: a plan of sound intents is always accepted.

mod cluster_support;

use cluster_support::*;
use croftrill_state::configuration::Model;
use croftrill_state::entry::Intent;
use croftrill_state::placement::{Assignment, AssignmentState, Residency};
use croftrill_state::planner::{plan, EngineFacts, PlanError};
use croftrill_state::reconcile::{Observation, ReconcileConfig, Reconciler};
use croftrill_state::{ClusterState, Instant, Revision};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

/// What happens next.
#[derive(Clone, Debug)]
enum Event {
    Plan(Vec<Intent>),
    /// The coordinator places what the plans left open.
    Coordinate,
    /// Some releases are confirmed: those whose bit is set.
    Released(u32),
    /// An engine joins, or joins again.
    Joined(u32),
    /// An engine is gone.
    Gone(u32),
}

fn config() -> Config {
    Config {
        cases: 300,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(7),
        ..Config::default()
    }
}

fn any_model() -> impl Strategy<Value = Model> {
    let memory = prop_oneof![Just(10_000_u64), Just(30_000), Just(45_000), Just(75_000)];
    (1..=5_u32, 1..=2_u32, memory, 0..=3_u32, 0..=2_u32).prop_map(
        |(number, accelerators, memory, min_replicas, more)| Model {
            accelerators,
            memory_mib_per_accelerator: memory,
            ..model(&format!("m{number}"), min_replicas, (min_replicas + more).max(1))
        },
    )
}

fn any_event() -> impl Strategy<Value = Event> {
    let intent = prop_oneof![
        6 => any_model().prop_map(Intent::PutModel),
        1 => (1..=5_u32).prop_map(|number| Intent::DeleteModel(format!("m{number}").as_str().into())),
        1 => (1..=5_u32).prop_map(|number| Intent::DrainEngine(format!("e{number}").as_str().into())),
        1 => (1..=3_u32).prop_map(|number| Intent::DrainNode(format!("n{number}").as_str().into())),
    ];
    prop_oneof![
        6 => vec(intent, 1..=3).prop_map(Event::Plan),
        1 => Just(Event::Coordinate),
        3 => any::<u32>().prop_map(Event::Released),
        1 => (1..=5_u32).prop_map(Event::Joined),
        1 => (1..=5_u32).prop_map(Event::Gone),
    ]
}

fn confirm_releases(state: &mut ClusterState, bits: u32) {
    let releasing: Vec<Assignment> = state
        .all_assignments()
        .filter(|a| a.state == AssignmentState::Releasing)
        .cloned()
        .collect();
    for (index, assignment) in releasing.iter().enumerate() {
        let (model, engine) = (assignment.model.as_str(), assignment.engine.as_str());
        if bits >> (index % 32) & 1 == 1 {
            apply_released(state, model, engine).expect("a confirmed unload is accepted");
        } else {
            let present = state.assignments[&assignment.model][&assignment.engine].changed_at;
            let other = Revision(present.0 ^ (1 + u64::from(bits % 32)));
            apply(state, released(model, engine, other))
                .expect_err("a report of another release is rejected");
        }
    }
}

fn change_machines(state: &mut ClusterState, joined: Option<u32>, gone: Option<u32>) {
    let engine_of = |number: u32| engine(&format!("e{number}"), &format!("z{}", number % 3 + 1), 2);
    let mut change = reconcile(vec![], joined.map(engine_of).into_iter().collect());
    if let croftrill_state::entry::Change::Reconcile { remove_engines, .. } = &mut change {
        remove_engines.extend(gone.map(|number| engine_of(number).id));
    }
    apply(state, change).expect("the machines are accepted");
}

/// One plan of a coordinator that cannot read the machine list.
fn coordinate(state: &mut ClusterState) -> Result<(), TestCaseError> {
    let mut reconciler = Reconciler::new(CELL.into(), ReconcileConfig::default());
    let observation = Observation {
        machines: None,
        alive: &|_| true,
        leaving: &|_| false,
        now: Instant(0),
    };
    if let Some(change) = reconciler.plan(state, &observation) {
        prop_assert_eq!(apply(state, change), Ok(()));
    }
    Ok(())
}

/// Findings about the plan itself, not about the intents, are faults of the
/// planner.
fn require_sound(error: &PlanError) -> Result<(), TestCaseError> {
    let faulty = error
        .findings
        .iter()
        .any(|f| f.object == "plan" || f.object == "intents");
    prop_assert!(!faulty, "{}", error);
    Ok(())
}

/// Every put model has all the replicas that the planner did not warn of.
fn require_placed(
    state: &ClusterState,
    intents: &[Intent],
    warnings: &[String],
) -> Result<(), TestCaseError> {
    for intent in intents {
        let Intent::PutModel(put) = intent else { continue };
        // A later intent of the same plan may have replaced or deleted it.
        let present = state.models.get(&put.id).map(|found| &found.value);
        let warned = warnings
            .iter()
            .any(|w| w.starts_with(&format!("model {}: no", put.id)));
        if warned || present != Some(put) || state.is_retiring(&put.id) {
            continue;
        }
        let wanted: Vec<&Assignment> = state
            .assignments_of_model(&put.id)
            .filter(|a| a.state != AssignmentState::Releasing)
            .collect();
        let residents = wanted.iter().filter(|a| a.residency != Residency::OnDemand);
        prop_assert_eq!(wanted.len(), put.max_replicas as usize);
        prop_assert_eq!(residents.count(), put.min_replicas as usize);
    }
    Ok(())
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn plans_of_sound_intents_are_accepted(events in vec(any_event(), 1..25)) {
        let mut state = small_cluster(4);
        for event in events {
            match event {
                Event::Plan(intents) => match plan(&state, &EngineFacts::default(), &intents) {
                    Ok(planned) => {
                        let outcome = apply_plan(&mut state, intents.clone(), planned.steps);
                        prop_assert_eq!(outcome, Ok(()));
                        require_placed(&state, &intents, &planned.warnings)?;
                    }
                    Err(error) => require_sound(&error)?,
                },
                Event::Coordinate => coordinate(&mut state)?,
                Event::Released(bits) => confirm_releases(&mut state, bits),
                Event::Joined(number) => change_machines(&mut state, Some(number), None),
                Event::Gone(number) => change_machines(&mut state, None, Some(number)),
            }
            prop_assert_eq!(state.check(), Ok(()));
        }
    }
}
