//! Settings of the policy, and its variants for comparison.

use croftrill_state::engine_memory::EvictionPolicy;
use croftrill_state::replica_queue::{CombinedCost, CostUnit};
use serde::Deserialize;

/// How loads are admitted to the weight store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AdmissionKind {
    /// Every load starts at once.
    None,
    /// In the order of asking, at the store's stated limits and speed.
    Plain,
    /// The most urgent first, with the learned speed.
    #[default]
    Urgent,
}

/// Which engine a router tries first for a model that it does not know to be
/// loaded.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ColdChoice {
    /// Each router draws one, so that a burst starts several loads.
    Random,
    /// All routers choose the same one, so that a burst starts one load.
    #[default]
    Rendezvous,
}

/// Which idle model gives way.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Eviction {
    /// The least recently used one.
    Lru,
    /// The one that is cheapest to wake again.
    #[default]
    WakeCost,
}

impl From<Eviction> for EvictionPolicy {
    fn from(eviction: Eviction) -> Self {
        match eviction {
            Eviction::Lru => EvictionPolicy::LeastRecentlyUsed,
            Eviction::WakeCost => EvictionPolicy::ExpectedWakeCost,
        }
    }
}

/// What groups are charged for a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cost {
    /// The same for each request.
    Request,
    /// The same for each token.
    Token,
    /// One non-linear unit for prefill, decode and load.
    #[default]
    Combined,
}

impl From<Cost> for CostUnit {
    fn from(cost: Cost) -> Self {
        match cost {
            Cost::Request => CostUnit::PerRequest,
            Cost::Token => CostUnit::PerToken,
            Cost::Combined => CostUnit::Combined(CombinedCost::default()),
        }
    }
}

/// Settings of the policy.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CroftrillConfig {
    /// Its name in reports.
    pub name: String,
    /// How loads are admitted to the weight store.
    pub admission: AdmissionKind,
    /// Which engine is tried first for a cold model.
    pub cold_choice: ColdChoice,
    /// Which idle model gives way.
    pub eviction: Eviction,
    /// Whether the planner knows the checkpoint caches.
    pub cache_facts: bool,
    /// On-demand models are unloaded after so long without use, in seconds.
    pub idle_unload_seconds: u64,
    /// The same for models with tight deadlines.
    pub tight_idle_unload_seconds: u64,
    /// How long after the named time the return of a refused caller is awaited,
    /// in seconds; 0 starts no load for it.
    pub return_grace_seconds: u64,
    /// A request that waited this long may stop new work of a busy model of the
    /// same class, in milliseconds.
    pub displace_after_millis: u64,
    /// Time that a loaded model may work before that, in milliseconds.
    pub minimum_residence_millis: u64,
    /// Whether groups share by weight; otherwise all requests count as one
    /// group's.
    pub fair_shares: bool,
    /// What groups are charged.
    pub cost: Cost,
    /// Classes whose models keep one replica loaded.
    pub resident_classes: Vec<String>,
}

impl Default for CroftrillConfig {
    fn default() -> Self {
        Self {
            name: "croftrill".to_string(),
            admission: AdmissionKind::default(),
            cold_choice: ColdChoice::default(),
            eviction: Eviction::default(),
            cache_facts: true,
            idle_unload_seconds: 300,
            tight_idle_unload_seconds: 900,
            return_grace_seconds: 10,
            displace_after_millis: 1_000,
            minimum_residence_millis: 5_000,
            fair_shares: true,
            cost: Cost::default(),
            resident_classes: Vec::new(),
        }
    }
}
