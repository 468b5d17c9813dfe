//! Tests the limit on concurrent loads against weight stores of unknown speed.

use std::time::Duration;

use croftrill_scheduler::load_pace::LoadPace;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const USUAL: Duration = Duration::from_secs(6);

/// Returns the duration of a load while `running` loads run at a store that serves
/// `full_speed` loads at full speed.
fn takes(running: usize, full_speed: usize) -> Duration {
    USUAL.mul_f64(f64::max(1.0, running as f64 / full_speed as f64))
}

/// Runs `rounds` loads at the limit. Returns the limit after each of them.
fn play(full_speed: usize, rounds: usize) -> Vec<usize> {
    let mut pace = LoadPace::new(USUAL);
    let limits = (0..rounds).map(|_| {
        let running = pace.limit();
        pace.ended(takes(running, full_speed), USUAL, running);
        pace.limit()
    });
    limits.collect()
}

#[test]
fn limit_grows_while_loads_are_fast() {
    let limits = play(100, 40);
    assert!(limits[39] > 15, "{limits:?}");
}

/// Guards against a limit above full speed: nine concurrent loads took 13 s each instead of
/// 6 s and occupied nine replicas.
#[test]
fn limit_stays_near_full_speed() {
    let limits = play(4, 60);
    let settled = &limits[20..];
    assert!(settled.iter().all(|limit| (3..=6).contains(limit)), "{limits:?}");
}

/// Guards against a high initial limit: at a store that serves a single load at full speed in
/// 13 s, six concurrent first loads took 79 s each, and the models were no longer needed by then.
#[test]
fn limit_at_first_goes_by_the_time_of_a_load() {
    assert_eq!(LoadPace::new(Duration::from_millis(13_200)).limit(), 1);
    assert_eq!(LoadPace::new(USUAL).limit(), 4);
    assert_eq!(LoadPace::new(Duration::from_millis(1_300)).limit(), 6);
}

#[test]
fn limit_does_not_grow_on_idle_time() {
    let mut pace = LoadPace::new(USUAL);
    for _ in 0..20 {
        pace.ended(USUAL, USUAL, 1);
    }
    assert_eq!(pace.limit(), LoadPace::new(USUAL).limit());
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn limit_is_never_zero(times in prop::collection::vec((1u64..100_000, 1usize..40), 0..60)) {
        let mut pace = LoadPace::new(USUAL);
        for (millis, running) in times {
            pace.ended(Duration::from_millis(millis), USUAL, running);
            prop_assert!(pace.limit() >= 1);
        }
    }
}
