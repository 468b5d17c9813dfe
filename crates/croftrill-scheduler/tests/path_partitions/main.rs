//! Callers at nodes that lose their paths to replicas, against those at the other nodes, beside
//! kills and rolls of nodes and crashes of replicas.

mod fleet;

use std::env::VarError;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use self::fleet::{Cut, Event, Fleet, FleetSpec, ReplicaFault};

/// Length of a run, in milliseconds.
const RUN_MS: u64 = 30_000;

fn cut() -> impl Strategy<Value = Cut> {
    prop_oneof![Just(Cut::Silent), Just(Cut::Refused)]
}

fn event() -> impl Strategy<Value = Event> {
    let node = 0usize..64;
    prop_oneof![
        4 => (0.1f64..1.0, cut(), 1_500u64..12_000, any::<u64>())
            .prop_map(|(share, cut, for_ms, seed)| Event::Partition { share, cut, for_ms, seed }),
        2 => (node.clone(), 300u64..3_000).prop_map(|(node, down_ms)| Event::Kill { node, down_ms }),
        2 => (node, 500u64..3_000).prop_map(|(node, down_ms)| Event::Roll { node, down_ms }),
        2 => (0usize..64, 500u64..6_000, any::<bool>()).prop_map(|(replica, for_ms, is_dark)| {
            let fault = if is_dark { ReplicaFault::Dark } else { ReplicaFault::Ended };
            Event::Crash { replica, for_ms, fault }
        }),
    ]
}

/// Returns events with their times, in order.
fn timeline() -> impl Strategy<Value = Vec<(u64, Event)>> {
    prop::collection::vec((1_000..RUN_MS - 2_000, event()), 1..10)
}

/// Returns a number from the environment, for runs by hand with other seeds and more cases.
fn from_env(name: &str, default: u64) -> u64 {
    match std::env::var(name) {
        Ok(value) => value.parse().expect(name),
        Err(VarError::NotPresent) => default,
        Err(error) => panic!("{name}: {error}"),
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: from_env("CROFTRILL_FLEET_CASES", 48) as u32,
        rng_seed: RngSeed::Fixed(from_env("CROFTRILL_FLEET_SEED", 64)),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    // Guards against callers who are served worse because their node lost its paths.
    #[test]
    fn served_share_of_nodes_without_paths(
        nodes in 2usize..12,
        replicas in 3usize..16,
        seed in any::<u64>(),
        events in timeline(),
    ) {
        let mut fleet = Fleet::new(FleetSpec { nodes, replicas, seed });
        for (at_ms, event) in events {
            fleet.schedule(at_ms, event);
        }
        fleet.run(RUN_MS);
        prop_assert_eq!(fleet.violations(), Vec::<String>::new());
    }

    // Guards against the same where nearly all of a large fleet is cut at once.
    #[test]
    fn served_share_while_most_of_a_large_fleet_is_cut(
        share in 0.5f64..0.95,
        cut in cut(),
        seed in any::<u64>(),
    ) {
        let mut fleet = Fleet::new(FleetSpec { nodes: 60, replicas: 40, seed });
        fleet.schedule(2_000, Event::Partition { share, cut, for_ms: 5_000, seed });
        fleet.run(9_000);
        prop_assert_eq!(fleet.violations(), Vec::<String>::new());
    }
}
