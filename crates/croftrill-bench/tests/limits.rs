//! Tests in simulated time that nodes respect and use the limit of a replica while keepers fail.

use std::time::Duration;

use croftrill_bench::limits::{max_calls_per_window, simulate, KeeperFailure, LimitPolicy, LimitRun};
use proptest::prelude::*;

/// Minimum fraction of the limit that must be used when demand exceeds it.
const MIN_USED_FRACTION: f64 = 0.8;

fn failure() -> impl Strategy<Value = KeeperFailure> {
    prop_oneof![
        Just(KeeperFailure::None),
        Just(KeeperFailure::Killed),
        Just(KeeperFailure::Frozen),
        Just(KeeperFailure::Cut),
        Just(KeeperFailure::Doubled),
        Just(KeeperFailure::Alone),
    ]
}

fn run(nodes: usize, limit_per_s: f64, pressure: f64, failure: KeeperFailure, seed: u64) -> LimitRun {
    LimitRun {
        nodes,
        limit_per_s,
        demand_per_s: limit_per_s * pressure,
        policy: LimitPolicy::Keeper,
        failure,
        seed,
        length: Duration::from_secs(30),
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, ..ProptestConfig::default() })]

    /// No window holds more calls than allowed, whether keepers are killed, frozen,
    /// unreachable or duplicated.
    #[test]
    fn simulate_with_any_failure_stays_within_allowed_calls(
        nodes in prop_oneof![Just(7usize), Just(295), Just(985)],
        limit_per_s in prop_oneof![0.3f64..3.0, 3.0..60.0],
        pressure in 0.5f64..12.0,
        failure in failure(),
        seed in any::<u64>(),
    ) {
        let outcome = simulate(run(nodes, limit_per_s, pressure, failure, seed));
        prop_assert!(outcome.fullest_window <= max_calls_per_window(limit_per_s), "{outcome:?}");
    }
}

/// Guards against a limit that is respected by sending too little.
#[test]
fn simulate_without_failure_uses_limit_at_all_sizes() {
    for nodes in [7, 295, 985] {
        for limit_per_s in [1.0, 5.0, 50.0] {
            let runs = (1..=10)
                .map(|seed| simulate(run(nodes, limit_per_s, 4.0, KeeperFailure::None, seed)).used_fraction);
            let used = runs.sum::<f64>() / 10.0;
            assert!(
                used >= MIN_USED_FRACTION,
                "used fraction {used} of {limit_per_s} per second at {nodes} nodes"
            );
        }
    }
}

/// The baseline for the keeper: many nodes that each use an equal share on their own leave most of
/// the limit unused.
#[test]
fn simulate_with_even_shares_wastes_limit_of_large_fleet() {
    let shares = LimitRun {
        policy: LimitPolicy::EvenShares,
        ..run(985, 1.0, 4.0, KeeperFailure::None, 1)
    };
    assert!(simulate(shares).used_fraction < 0.1);
}
