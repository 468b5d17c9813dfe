//! Settings of the policy, and its variants for comparison.

use croftrill_state::engine_memory::EvictionPolicy;
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
            resident_classes: Vec::new(),
        }
    }
}
