//! The one setting that weighs idle accelerator hours against cold starts.

use croftrill_state::engine_memory::MemoryConfig;

/// Idle time after which a model is unloaded if only idle hours count, in
/// milliseconds.
const SHORTEST_IDLE_MILLIS: f64 = 5_000.0;
/// The same if only cold starts count, in milliseconds. Longer was measured to
/// change nothing, since memory is short and eviction comes first.
const LONGEST_IDLE_MILLIS: f64 = 300_000.0;
/// Models with tight deadlines stay this many times as long.
const TIGHT_FACTOR: u64 = 3;

/// Memory decisions at a weight from 0 (only idle accelerator hours count) to 1
/// (only cold starts). The idle time grows by the same factor with each step of
/// the weight.
pub fn memory_config(cold_start_weight: f64) -> MemoryConfig {
    let growth = (LONGEST_IDLE_MILLIS / SHORTEST_IDLE_MILLIS).powf(cold_start_weight);
    let idle_unload_millis = (SHORTEST_IDLE_MILLIS * growth).round() as u64;
    MemoryConfig {
        idle_unload_millis,
        tight_idle_unload_millis: idle_unload_millis * TIGHT_FACTOR,
        ..MemoryConfig::default()
    }
}
