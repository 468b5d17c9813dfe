//! What is emulated: places, engines, weight store, models, groups and classes
//! of requests, read from TOML.

use anyhow::{ensure, Context, Result};
use croftrill_state::configuration::PriorityClass;
use serde::Deserialize;

const GRANITE_LEDGER: &str = include_str!("../workloads/granite-ledger.toml");
const SURAKSHITA_YATRA: &str = include_str!("../workloads/surakshita-yatra.toml");

/// Names of the built-in scenarios.
pub const DEPLOYMENTS: [&str; 2] = ["granite-ledger", "surakshita-yatra"];

/// A deployment and its workload.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Its name.
    pub name: String,
    /// Machines and distances.
    pub places: Places,
    /// What every engine is like.
    pub engine: EngineProfile,
    /// The weight store.
    pub weight_store: WeightStoreProfile,
    /// Adapters, spread over the models.
    pub adapters: AdapterProfile,
    /// Groups that share the pool.
    pub groups: Vec<GroupProfile>,
    /// Classes of requests, each with models of its own.
    pub classes: Vec<ClassProfile>,
    /// First requests for one model at many routers at once.
    pub bursts: BurstProfile,
    /// What callers do after a refusal.
    pub callers: CallerProfile,
    /// A group that sends far more than its share for a while.
    pub flood: Option<FloodProfile>,
}

/// Machines and distances.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Places {
    /// Zones.
    pub zones: usize,
    /// One way between two zones, in microseconds.
    pub zone_delay_micros: u64,
    /// One way inside a zone, in microseconds.
    pub local_delay_micros: u64,
    /// One way between a client and its router, in microseconds.
    pub client_delay_micros: u64,
    /// Engines, spread evenly over the zones; each has a node beside it.
    pub engines: usize,
    /// Replicas of the application; each has a node beside it.
    pub application_replicas: usize,
}

/// What every engine is like.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineProfile {
    /// Accelerators.
    pub accelerators: usize,
    /// Memory of each, in MiB.
    pub accelerator_memory_mib: u64,
    /// Requests that run at once.
    pub max_running: usize,
    /// A decode step of one model, without its sequences, in microseconds.
    pub step_micros: u64,
    /// What each sequence adds to a step, in microseconds.
    pub sequence_micros: u64,
    /// Prompt tokens that a second of prefill handles.
    pub prefill_tokens_per_second: u64,
    /// Prompt tokens handled in one step at most.
    pub prefill_tokens_per_step: u64,
    /// Part of each load that does not depend on size, in milliseconds.
    pub load_fixed_millis: u64,
    /// Time to unload a model, in milliseconds.
    pub unload_millis: u64,
    /// Speed of a load from the machine's memory, in MiB a second.
    pub memory_mib_per_second: u64,
    /// Speed of a load from the machine's disk, in MiB a second.
    pub disk_mib_per_second: u64,
    /// Checkpoints kept in the machine's memory, in MiB.
    pub memory_cache_mib: u64,
    /// Checkpoints kept on the machine's disk, in MiB.
    pub disk_cache_mib: u64,
    /// Highest part of the models that a disk holds at the start; each engine
    /// draws its own part between 0 and this.
    pub initial_disk_part: f64,
}

/// The weight store.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WeightStoreProfile {
    /// Loads that it starts a second.
    pub loads_per_second: f64,
    /// Loads at once that run at full speed; more share its bandwidth.
    pub concurrent_loads: usize,
    /// Full speed of one load, in MiB a second.
    pub mib_per_second: u64,
    /// Times when it is slow.
    #[serde(default)]
    pub slowdowns: Vec<Slowdown>,
}

/// A time when the store is slow.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Slowdown {
    /// Start, in seconds.
    pub from_second: u64,
    /// End, in seconds.
    pub to_second: u64,
    /// How many times slower it is.
    pub factor: f64,
}

/// Adapters.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdapterProfile {
    /// How many there are in all.
    pub count: usize,
    /// Part of the requests that ask for one, where the model has any.
    pub request_part: f64,
    /// Time to load one beside its model, in milliseconds.
    pub load_millis: u64,
}

/// A group.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GroupProfile {
    /// Its name.
    pub name: String,
    /// Its share relative to the others.
    pub share_weight: u32,
    /// Its part of the requests, relative to the others.
    pub demand: f64,
}

/// A class of requests and the models that serve it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassProfile {
    /// Its name.
    pub name: String,
    /// Its urgency.
    pub priority: PriorityClass,
    /// Requests a second on average, without bursts and flood.
    pub requests_per_second: f64,
    /// Deadline of the first token, in milliseconds.
    pub first_token_millis: u64,
    /// Deadline of the whole answer, in milliseconds.
    pub total_millis: u64,
    /// Median length of a prompt, in tokens.
    pub prompt_tokens: f64,
    /// Median length of an answer, in tokens.
    pub answer_tokens: f64,
    /// Spread (sigma) of the logarithm of both lengths.
    pub length_sigma: f64,
    /// Models of the class.
    pub models: usize,
    /// Exponent of the models' popularity; 0: all alike.
    pub popularity_exponent: f64,
    /// Accelerators of a replica.
    pub accelerators: u32,
    /// Smallest and largest memory on each accelerator, in MiB.
    pub memory_mib: [u64; 2],
    /// Size of the checkpoint in parts of the replica's whole memory.
    pub checkpoint_part: f64,
    /// Replicas that a model may have.
    pub max_replicas: u32,
}

/// Bursts of first requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BurstProfile {
    /// Bursts a minute on average.
    pub per_minute: f64,
    /// Requests of one burst.
    pub requests: usize,
    /// Time over which they arrive, in milliseconds.
    pub spread_millis: u64,
}

/// Callers that are refused and told when to come back.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerProfile {
    /// Part of them that comes back at the named time, with new deadlines.
    pub return_part: f64,
    /// Times that one caller comes back at most.
    pub most_returns: u32,
    /// Longest named time that a caller waits for, in milliseconds.
    pub most_wait_millis: u64,
}

/// A flood from one group.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FloodProfile {
    /// The group.
    pub group: String,
    /// The class of its requests.
    pub class: String,
    /// Start, in seconds.
    pub from_second: u64,
    /// End, in seconds.
    pub to_second: u64,
    /// Requests a second.
    pub requests_per_second: f64,
}

impl Scenario {
    /// One of [`DEPLOYMENTS`].
    pub fn built_in(name: &str) -> Result<Self> {
        match name {
            "granite-ledger" => Self::parse(GRANITE_LEDGER),
            "surakshita-yatra" => Self::parse(SURAKSHITA_YATRA),
            _ => anyhow::bail!("unknown deployment {name}; known: {}", DEPLOYMENTS.join(", ")),
        }
    }

    /// A scenario from TOML.
    pub fn parse(text: &str) -> Result<Self> {
        let scenario: Self = toml_edit::de::from_str(text).context("the scenario cannot be read")?;
        scenario.check()?;
        Ok(scenario)
    }

    /// The same with `factor` times the flood.
    pub fn with_flood(mut self, factor: f64) -> Self {
        if let Some(flood) = &mut self.flood {
            flood.requests_per_second *= factor;
        }
        self
    }

    /// The same with engines that cache no checkpoints.
    pub fn without_caches(mut self) -> Self {
        self.name.push_str("-no-caches");
        self.engine.memory_cache_mib = 0;
        self.engine.disk_cache_mib = 0;
        self
    }

    fn check(&self) -> Result<()> {
        ensure!(self.places.zones > 0, "places.zones must be at least 1");
        ensure!(self.places.engines > 0, "places.engines must be at least 1");
        ensure!(!self.groups.is_empty(), "there must be a group");
        ensure!(!self.classes.is_empty(), "there must be a class");
        ensure!(
            self.classes.iter().all(|class| class.models > 0),
            "each class needs a model"
        );
        if let Some(flood) = &self.flood {
            ensure!(
                self.groups.iter().any(|group| group.name == flood.group),
                "flood.group {} is no group",
                flood.group
            );
            ensure!(
                self.classes.iter().any(|class| class.name == flood.class),
                "flood.class {} is no class",
                flood.class
            );
        }
        Ok(())
    }
}
