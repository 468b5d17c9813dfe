//! The weight between idle hours and cold starts.

use croftrill_daemon::idle_policy::memory_config;

#[test]
fn the_weight_sets_how_long_idle_models_stay() {
    assert_eq!(memory_config(0.0).idle_unload_millis, 5_000);
    assert_eq!(memory_config(0.5).idle_unload_millis, 38_730);
    assert_eq!(memory_config(1.0).idle_unload_millis, 300_000);
}

#[test]
fn models_with_tight_deadlines_stay_longer() {
    let config = memory_config(0.0);
    assert_eq!(config.tight_idle_unload_millis, 15_000);
}
