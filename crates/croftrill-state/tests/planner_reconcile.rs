//! Operators' plans and the coordinator's own changes in turn: whatever
//! operators confirm, what the coordinator plans next is accepted, and it comes
//! to rest.

mod cluster_support;

use cluster_support::*;
use croftrill_state::configuration::Model;
use croftrill_state::entry::Intent;
use croftrill_state::placement::{Assignment, AssignmentState, Residency};
use croftrill_state::planner::{plan, EngineFacts};
use croftrill_state::reconcile::{ListedMachines, Observation, ReconcileConfig, Reconciler};
use croftrill_state::{ClusterState, Instant, NodeId, ZoneId};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use std::collections::BTreeSet;

/// More changes than a coordinator needs to come to rest here.
const MOST_CHANGES: usize = 50;

/// A state with its coordinator.
struct World {
    state: ClusterState,
    reconciler: Reconciler,
    machines: ListedMachines,
}

impl World {
    fn new(engines: usize) -> Self {
        let state = small_cluster(engines);
        let machines = ListedMachines {
            nodes: state
                .nodes
                .values()
                .map(|n| (n.value.id.clone(), n.value.clone()))
                .collect(),
            engines: state
                .engines
                .values()
                .map(|e| (e.value.id.clone(), e.value.clone()))
                .collect(),
        };
        Self {
            state,
            reconciler: Reconciler::new(CELL.into(), ReconcileConfig::default()),
            machines,
        }
    }

    fn operator(&mut self, intents: Vec<Intent>) -> bool {
        let Ok(planned) = plan(&self.state, &EngineFacts::default(), &intents) else {
            return false;
        };
        apply_plan(&mut self.state, intents, planned.steps).expect("the operator's plan is accepted");
        true
    }

    /// Lets the coordinator work until it finds nothing to change.
    fn coordinate(&mut self) -> Result<(), String> {
        let alive = |_: &NodeId| true;
        for _ in 0..MOST_CHANGES {
            let observation = Observation {
                machines: Some(&self.machines),
                alive: &alive,
                leaving: &|_| false,
                now: Instant(0),
            };
            let Some(change) = self.reconciler.plan(&self.state, &observation) else {
                return Ok(());
            };
            let outcome = apply(&mut self.state, change.clone());
            outcome.map_err(|error| format!("{error}: {change:?}"))?;
        }
        Err(format!("more than {MOST_CHANGES} changes"))
    }

    fn confirm_releases(&mut self, bits: u32) {
        let releasing: Vec<Assignment> = self
            .state
            .all_assignments()
            .filter(|a| a.state == AssignmentState::Releasing)
            .cloned()
            .collect();
        for (index, assignment) in releasing.iter().enumerate() {
            if bits >> (index % 32) & 1 == 1 {
                let (model, engine) = (assignment.model.as_str(), assignment.engine.as_str());
                apply_released(&mut self.state, model, engine).expect("a confirmed unload is accepted");
            }
        }
    }
}

#[test]
fn a_model_that_found_no_engine_is_placed_once_engines_join() {
    let mut world = World::new(0);
    assert!(world.operator(vec![Intent::PutModel(model("m", 1, 3))]));
    assert_eq!(world.state.all_assignments().count(), 0);
    for number in 1..=3 {
        let joined = engine(&format!("e{number}"), &format!("z{number}"), 1);
        world.machines.engines.insert(joined.id.clone(), joined);
    }
    assert_eq!(world.coordinate(), Ok(()));

    let assignments: Vec<&Assignment> = world.state.all_assignments().collect();
    let zones: BTreeSet<&ZoneId> = assignments
        .iter()
        .map(|assignment| &world.state.engines[&assignment.engine].value.zone)
        .collect();
    let residents = assignments.iter().filter(|a| a.residency != Residency::OnDemand);
    assert_eq!((assignments.len(), zones.len(), residents.count()), (3, 3, 1));
    let head = world.state.revision;
    assert_eq!(world.coordinate(), Ok(()));
    assert_eq!(world.state.revision, head, "it is done once");
}

#[test]
fn a_deleted_model_does_not_stop_the_coordinator() {
    let mut world = World::new(3);
    world.operator(vec![Intent::PutModel(model("m", 0, 2))]);
    world.coordinate().unwrap();
    world.operator(vec![Intent::DeleteModel("m".into())]);

    assert_eq!(world.coordinate(), Ok(()));
    world.confirm_releases(u32::MAX);
    assert_eq!(world.coordinate(), Ok(()));
    assert!(world.state.models.is_empty());
}

fn any_model() -> impl Strategy<Value = Model> {
    let memory = prop_oneof![Just(10_000_u64), Just(30_000), Just(45_000), Just(75_000)];
    (1..=4_u32, 1..=2_u32, memory, 0..=3_u32, 0..=2_u32).prop_map(
        |(number, accelerators, memory, min_replicas, more)| Model {
            accelerators,
            memory_mib_per_accelerator: memory,
            ..model(&format!("m{number}"), min_replicas, (min_replicas + more).max(1))
        },
    )
}

fn any_intent() -> impl Strategy<Value = Intent> {
    prop_oneof![
        6 => any_model().prop_map(Intent::PutModel),
        2 => (1..=4_u32).prop_map(|number| Intent::DeleteModel(format!("m{number}").as_str().into())),
        1 => (1..=4_u32).prop_map(|number| Intent::DrainEngine(format!("e{number}").as_str().into())),
        1 => (1..=3_u32).prop_map(|number| Intent::DrainNode(format!("n{number}").as_str().into())),
    ]
}

proptest! {
    #![proptest_config(Config {
        cases: 300,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(23),
        ..Config::default()
    })]

    #[test]
    fn the_coordinator_comes_to_rest_after_any_plans(
        rounds in vec((any_intent(), any::<u32>()), 1..15),
    ) {
        let mut world = World::new(4);
        for (intent, bits) in rounds {
            world.operator(vec![intent]);
            prop_assert_eq!(world.coordinate(), Ok(()));
            world.confirm_releases(bits);
            prop_assert_eq!(world.coordinate(), Ok(()));
            prop_assert_eq!(world.state.check(), Ok(()));
        }
    }
}
