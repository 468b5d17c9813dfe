//! The retry budget of a whole fleet against its rule, under faults and moving load.

mod fleet;
mod node;

use std::env::VarError;

use croftrill_scheduler::retry_budget::SAFETY_FACTOR;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use self::fleet::{Event, Fleet, FleetSpec};

/// Length of a run, in milliseconds.
const RUN_MS: u64 = 90_000;
/// Time by which the nodes of a new fleet know each other, in milliseconds.
const FLEET_KNOWN_MS: u64 = 5_000;

fn node_event() -> impl Strategy<Value = Event> {
    let node = 0usize..64;
    prop_oneof![
        3 => (node.clone(), 200u64..8_000).prop_map(|(node, down_ms)| Event::Kill { node, down_ms }),
        2 => (node.clone(), 500u64..15_000).prop_map(|(node, for_ms)| Event::Freeze { node, for_ms }),
        2 => (node.clone(), 500u64..5_000).prop_map(|(node, down_ms)| Event::Restart { node, down_ms }),
        1 => node.prop_map(|node| Event::Leave { node }),
        2 => Just(Event::Add),
        1 => (200u64..5_000).prop_map(|down_ms| Event::KillAll { down_ms }),
    ]
}

fn store_event() -> impl Strategy<Value = Event> {
    prop_oneof![
        3 => (0.2f64..1.0, 3_000u64..45_000, any::<bool>(), any::<bool>()).prop_map(
            |(share, for_ms, revoke, cut)| Event::RefuseStore { share, for_ms, revoke, cut }
        ),
        1 => (2_000u64..30_000, any::<bool>())
            .prop_map(|(for_ms, leases_run)| Event::StoreDown { for_ms, leases_run }),
    ]
}

fn load_event() -> impl Strategy<Value = Event> {
    prop_oneof![
        1 => Just(Event::MoveLoad),
        2 => (1.5f64..8.0, 500u64..4_000).prop_map(|(factor, for_ms)| Event::Burst { factor, for_ms }),
        2 => (500u64..20_000).prop_map(|for_ms| Event::Fail { for_ms }),
    ]
}

/// Returns events with their times, in order.
fn timeline(event: impl Strategy<Value = Event>, count: usize) -> impl Strategy<Value = Vec<(u64, Event)>> {
    prop::collection::vec((5_000..RUN_MS, event), 0..count).prop_map(|mut events| {
        events.sort_by_key(|(at_ms, _)| *at_ms);
        events
    })
}

/// Plays the events and checks the rule throughout.
fn play(spec: FleetSpec, events: &[(u64, Event)]) -> Result<(), String> {
    let mut fleet = Fleet::new(spec);
    for (at_ms, event) in events {
        fleet.run(*at_ms)?;
        fleet.apply(event);
    }
    fleet.run(RUN_MS)
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
        rng_seed: RngSeed::Fixed(from_env("CROFTRILL_FLEET_SEED", 61)),
        failure_persistence: None,
        max_shrink_iters: 200,
        ..ProptestConfig::default()
    })]

    /// Guards against nodes that each keep their own last window, and together no window of the rule.
    #[test]
    fn retry_budget_with_moving_load(
        nodes in 1usize..16,
        load_per_s in 5.0f64..120.0,
        seed in any::<u64>(),
        events in timeline(load_event(), 40),
    ) {
        let spec = FleetSpec { nodes, load_per_s, load_from: FLEET_KNOWN_MS, safety: 1.0, seed };
        let played = play(spec, &events);
        prop_assert_eq!(played, Ok(()));
    }

    /// Guards against nodes that divide the slack anew while those whose entries are gone use theirs.
    #[test]
    fn retry_budget_with_changing_fleet(
        nodes in 1usize..16,
        load_per_s in 5.0f64..120.0,
        seed in any::<u64>(),
        events in timeline(prop_oneof![3 => node_event(), 2 => store_event(), 3 => load_event()], 32),
    ) {
        let spec = FleetSpec { nodes, load_per_s, load_from: 0, safety: 1.0, seed };
        let played = play(spec, &events);
        prop_assert_eq!(played, Ok(()));
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: from_env("CROFTRILL_FLEET_CASES", 48) as u32 / 8,
        rng_seed: RngSeed::Fixed(from_env("CROFTRILL_FLEET_SEED", 61)),
        failure_persistence: None,
        max_shrink_iters: 50,
        ..ProptestConfig::default()
    })]

    /// Guards against parts below one retry that are rounded up at too many nodes.
    #[test]
    fn retry_budget_in_large_fleet(
        nodes in 60usize..300,
        node_load_per_s in 0.1f64..3.0,
        seed in any::<u64>(),
        events in timeline(prop_oneof![2 => node_event(), 1 => store_event(), 4 => load_event()], 24),
    ) {
        let load_per_s = nodes as f64 * node_load_per_s;
        let spec = FleetSpec { nodes, load_per_s, load_from: 0, safety: SAFETY_FACTOR, seed };
        let played = play(spec, &events);
        prop_assert_eq!(played, Ok(()));
    }
}
