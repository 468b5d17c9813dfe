//! Compares placement policies under a load of many rarely used models.

use std::collections::BTreeMap;
use std::time::Duration;

use croftrill_scheduler::demand::{DemandSample, ModelKey};
use croftrill_scheduler::orderer::OrdererConfig;
use croftrill_scheduler::placement::PlacementConfig;
use croftrill_scheduler::time::Moment;
use hdrhistogram::Histogram;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::emulator::{orderer_config, World};

/// A load with frequent requests for a few busy models and rare requests for many others.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    /// Number of models.
    pub models: usize,
    /// Number of replicas.
    pub replicas: usize,
    /// Number of models that receive most requests.
    pub busy_models: usize,
    /// Requests per second for the busy models together.
    pub busy_per_second: f64,
    /// Requests per second for all other models together.
    pub rare_per_second: f64,
    /// Tokens per request.
    pub tokens: f64,
    /// Length of the run in simulated seconds.
    pub seconds: u64,
    /// Seed of the random arrivals.
    pub seed: u64,
}

impl Default for Load {
    fn default() -> Self {
        Load {
            models: 61,
            replicas: 18,
            busy_models: 4,
            busy_per_second: 25.0,
            rare_per_second: 3.6,
            tokens: 9000.0,
            seconds: 60,
            seed: 1,
        }
    }
}

impl Load {
    /// Returns the demand of one request.
    fn demand(&self) -> DemandSample {
        DemandSample {
            requests: 1.0,
            tokens: self.tokens,
            caller_time: OBJECTIVE,
            late: 0.0,
        }
    }
}

/// A placement policy to compare.
#[derive(Debug, Clone, Copy)]
pub struct Policy {
    /// Name printed in the results.
    pub name: &'static str,
    /// Placement settings of the policy.
    pub placement: PlacementConfig,
}

/// Returns the policies to compare: the default of the nodes, one with many holders for
/// busy models, and one that evicts by demand alone, without a minimum residence.
pub fn policies() -> [Policy; 3] {
    let usual = PlacementConfig::default();
    [
        Policy {
            name: "usual",
            placement: usual,
        },
        Policy {
            name: "many-holders",
            placement: PlacementConfig {
                // A second holder of a model is worth as much as the first.
                spare_value_share: 1.0,
                spare_holder_min_rate: 0.0,
                ..usual
            },
        },
        Policy {
            name: "no-residence",
            placement: PlacementConfig {
                min_residence: Duration::ZERO,
                ..usual
            },
        },
    ]
}

/// The results of a policy under a load.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// Number of requests.
    pub requests: u64,
    /// Requests whose model was already loaded on a replica.
    pub warm: u64,
    /// Requests whose model was not loaded within the maximum wait or before the run ended.
    pub unserved: u64,
    /// Milliseconds that the remaining requests waited for their model.
    pub cold_wait_ms: Histogram<u64>,
    /// Number of loads from the weight store.
    pub loads: usize,
}

/// Maximum wait after which a request counts as unserved.
const MAX_WAIT: Duration = Duration::from_secs(10);
/// Objective of every request.
const OBJECTIVE: Duration = Duration::from_secs(4);
/// Simulated time between two checks of the waiting requests.
const STEP_MS: u64 = 20;
/// Warm-up before the first request, in which the replicas are confirmed.
const WARM_UP_MS: u64 = 6000;

/// Simulates a load under a policy.
pub fn simulate(load: &Load, policy: &Policy) -> Outcome {
    let config = OrdererConfig {
        placement: policy.placement,
        ..orderer_config()
    };
    let mut world = World::round_robin(load.replicas, load.models, config);
    world.run(WARM_UP_MS);
    let mut arrivals = Arrivals::new(load);
    let mut outcome = Outcome {
        requests: 0,
        warm: 0,
        unserved: 0,
        cold_wait_ms: Histogram::new(3).expect("three digits are valid"),
        loads: 0,
    };
    let mut waiting: BTreeMap<ModelKey, Vec<Moment>> = BTreeMap::new();
    for _ in 0..load.seconds * 1000 / STEP_MS {
        for key in arrivals.step() {
            outcome.requests += 1;
            world.orderer.count_demand(&key, &load.demand(), world.now);
            if is_held(&world, &key) {
                outcome.warm += 1;
            } else {
                world.orderer.mark_waiting(&key, world.now);
                waiting.entry(key).or_default().push(world.now);
            }
        }
        world.run(STEP_MS);
        settle_waiting(&world, &mut waiting, &mut outcome);
    }
    outcome.unserved += waiting
        .values()
        .map(|arrival_times| arrival_times.len() as u64)
        .sum::<u64>();
    outcome.loads = world.store_loads.len();
    outcome
}

/// Counts and removes the waiting requests whose model is loaded or whose maximum wait is over.
fn settle_waiting(world: &World, waiting: &mut BTreeMap<ModelKey, Vec<Moment>>, outcome: &mut Outcome) {
    waiting.retain(|key, arrival_times| {
        if is_held(world, key) {
            for moment in arrival_times.drain(..) {
                let _ = outcome
                    .cold_wait_ms
                    .record(world.now.since(moment).as_millis() as u64);
            }
        }
        let before = arrival_times.len();
        arrival_times.retain(|moment| world.now.since(*moment) < MAX_WAIT);
        outcome.unserved += (before - arrival_times.len()) as u64;
        !arrival_times.is_empty()
    });
}

fn is_held(world: &World, key: &ModelKey) -> bool {
    world
        .replicas
        .values()
        .any(|replica| replica.holdings().serves(&key.model, None))
}

/// Generates the random arrivals of a load.
struct Arrivals {
    load: Load,
    random: SmallRng,
}

impl Arrivals {
    fn new(load: &Load) -> Self {
        Arrivals {
            load: *load,
            random: SmallRng::seed_from_u64(load.seed),
        }
    }

    /// Returns the models requested in one step.
    fn step(&mut self) -> Vec<ModelKey> {
        let seconds = STEP_MS as f64 / 1000.0;
        let (busy, models) = (self.load.busy_models, self.load.models);
        let mut keys = Vec::new();
        if self
            .random
            .random_bool((self.load.busy_per_second * seconds).min(1.0))
        {
            keys.push(key(self.random.random_range(0..busy)));
        }
        if self
            .random
            .random_bool((self.load.rare_per_second * seconds).min(1.0))
        {
            keys.push(key(self.random.random_range(busy..models)));
        }
        keys
    }
}

fn key(model: usize) -> ModelKey {
    ModelKey {
        service: "llm".into(),
        model: format!("m{model}").into(),
        adapter: None,
    }
}
