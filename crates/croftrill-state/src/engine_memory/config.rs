//! Settings of the decisions.

use super::LoadTimeConfig;

/// Which idle model gives way.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EvictionPolicy {
    /// The one that is cheapest to wake again: time of a load from where its
    /// checkpoint is, times the rate of its requests.
    #[default]
    ExpectedWakeCost,
    /// The least recently used one (the baseline).
    LeastRecentlyUsed,
}

/// Settings of the decisions.
#[derive(Clone, Debug, PartialEq)]
pub struct MemoryConfig {
    /// How victims are chosen.
    pub eviction: EvictionPolicy,
    /// On-demand models and adapters that were idle this long are unloaded, in
    /// milliseconds.
    pub idle_unload_millis: u64,
    /// The same for models whose requests come with a tight deadline.
    pub tight_idle_unload_millis: u64,
    /// A request with less time to its first token than this makes its model
    /// one with tight deadlines, in milliseconds.
    pub tight_deadline_millis: u64,
    /// A waiting target may stop new work of a busy model of the same class
    /// after it waited this long, in milliseconds.
    pub displace_after_millis: u64,
    /// Time that a loaded model may work before such a stop, in milliseconds.
    pub minimum_residence_millis: u64,
    /// Pause after a failed order, doubled with each failure, in milliseconds.
    pub order_backoff_millis: u64,
    /// How long an order whose answer was lost may still arrive, in
    /// milliseconds.
    pub lost_order_hold_millis: u64,
    /// Time constant of the observed request rates, in milliseconds.
    pub rate_window_millis: u64,
    /// How long after the named time a refused caller's return is expected, in
    /// milliseconds; 0 starts no load for callers that were refused.
    pub return_grace_millis: u64,
    /// How load times are estimated.
    pub load_time: LoadTimeConfig,
}

impl Default for MemoryConfig {
    fn default() -> Self {
        Self {
            eviction: EvictionPolicy::default(),
            idle_unload_millis: 300_000,
            tight_idle_unload_millis: 900_000,
            tight_deadline_millis: 5_000,
            displace_after_millis: 1_000,
            minimum_residence_millis: 5_000,
            order_backoff_millis: 500,
            lost_order_hold_millis: 5_000,
            rate_window_millis: 600_000,
            return_grace_millis: 10_000,
            load_time: LoadTimeConfig::default(),
        }
    }
}
