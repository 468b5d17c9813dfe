//! The budget of retries.

use croftrill_state::retry_budget::{RetryBudget, RetryBudgetConfig};
use croftrill_state::Instant;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

#[derive(Clone, Debug)]
enum Step {
    Success,
    Retry,
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        Just(Step::Success),
        Just(Step::Retry),
        (0u64..3000).prop_map(Step::Wait)
    ]
}

fn config() -> impl Strategy<Value = RetryBudgetConfig> {
    (0u32..1000, 0u32..20, 0u32..50).prop_map(|(ratio, floor, saved)| RetryBudgetConfig {
        retries_per_thousand_successes: ratio,
        floor_per_second: floor,
        most_saved: saved,
    })
}

fn config_with_fixed_seed() -> ProptestConfig {
    ProptestConfig {
        cases: 512,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config_with_fixed_seed())]

    /// Retries never exceed what was saved at the start plus what successes and
    /// time earned.
    #[test]
    fn retries_stay_within_the_budget(config in config(), steps in prop::collection::vec(step(), 0..400)) {
        let mut now = Instant(5);
        let mut budget = RetryBudget::new(config.clone(), now);
        let floor = u64::from(config.floor_per_second);
        let mut earned_thousandths = u64::from(config.most_saved) * 1000;
        let mut retries = 0u64;
        for step in steps {
            match step {
                Step::Success => {
                    budget.record_success();
                    earned_thousandths += u64::from(config.retries_per_thousand_successes);
                }
                Step::Wait(millis) => {
                    now = now + millis;
                    earned_thousandths += millis * floor;
                }
                Step::Retry => {
                    if budget.try_retry(now) {
                        retries += 1;
                    }
                }
            }
            prop_assert!(retries * 1000 <= earned_thousandths);
        }
    }

    /// However much was earned, at most `most_saved` retries follow at once.
    #[test]
    fn a_burst_is_bounded(config in config(), successes in 0u32..10_000, millis in 0u64..100_000) {
        let mut budget = RetryBudget::new(config.clone(), Instant(0));
        for _ in 0..successes {
            budget.record_success();
        }
        let burst = (0..1000).filter(|_| budget.try_retry(Instant(millis))).count();
        prop_assert!(burst <= config.most_saved as usize);
    }

    /// The time that it says is enough, and one millisecond less is not.
    #[test]
    fn the_announced_time_is_exact(config in config(), used in 0u32..60) {
        let now = Instant(0);
        let mut budget = RetryBudget::new(config.clone(), now);
        for _ in 0..used {
            budget.try_retry(now);
        }
        match budget.millis_until_retry(now) {
            None => prop_assert!(!budget.clone().try_retry(now + 1_000_000)),
            Some(0) => prop_assert!(budget.clone().try_retry(now)),
            Some(millis) if config.most_saved > 0 => {
                prop_assert!(!budget.clone().try_retry(now + (millis - 1)));
                prop_assert!(budget.clone().try_retry(now + millis));
            }
            Some(_) => {}
        }
    }
}

#[test]
fn a_clock_that_stands_still_earns_nothing() {
    let config = RetryBudgetConfig {
        retries_per_thousand_successes: 0,
        floor_per_second: 1,
        most_saved: 1,
    };
    let mut budget = RetryBudget::new(config, Instant(1000));
    assert!(budget.try_retry(Instant(1000)));
    assert!(!budget.try_retry(Instant(1000)));
    assert!(
        !budget.try_retry(Instant(500)),
        "time that runs back earns nothing"
    );
    assert!(!budget.try_retry(Instant(1999)));
    assert!(budget.try_retry(Instant(2000)));
}

#[test]
fn successes_earn_retries() {
    let config = RetryBudgetConfig {
        retries_per_thousand_successes: 250,
        floor_per_second: 0,
        most_saved: 1,
    };
    let mut budget = RetryBudget::new(config, Instant(0));
    assert!(budget.try_retry(Instant(0)), "it starts full");
    assert!(!budget.try_retry(Instant(0)));
    for _ in 0..4 {
        budget.record_success();
    }
    assert!(budget.try_retry(Instant(0)));
    assert!(!budget.try_retry(Instant(0)));
}
