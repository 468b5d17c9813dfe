//! Admission of requests whose model is not loaded yet.

use std::time::Duration;

use croftrill_scheduler::admission::{
    decide_cold, decide_in_cooldown, retry_after_cooldown, ColdDecision, ColdRequest,
};
use proptest::prelude::*;

fn millis(value: u64) -> Duration {
    Duration::from_millis(value)
}

fn cold(waited: u64, ready_in: u64) -> ColdRequest {
    ColdRequest {
        waited: millis(waited),
        ready_in: millis(ready_in),
        first_event_after: millis(100),
        objective: millis(800),
        patience: millis(3200),
        left: millis(5000 - waited),
    }
}

#[test]
fn decide_cold_waits_if_in_time() {
    assert_eq!(decide_cold(&cold(0, 600)), ColdDecision::Wait);
}

#[test]
fn decide_cold_refuses_if_late_with_retry_time() {
    let ColdDecision::Refuse { come_back_after } = decide_cold(&cold(0, 1000)) else {
        panic!("expected a refusal")
    };
    assert!(come_back_after >= millis(1000) && come_back_after <= millis(5000) / 3);
}

/// Requests were held to the end of their callers' time while no node was the orderer.
#[test]
fn decide_cold_bounds_hold_by_patience() {
    assert!(matches!(
        decide_cold(&cold(1500, 400)),
        ColdDecision::Refuse { .. }
    ));
    assert!(matches!(decide_cold(&cold(0, 3000)), ColdDecision::Refuse { .. }));
}

#[test]
fn decide_cold_retry_time_within_deadline() {
    let request = ColdRequest {
        left: millis(900),
        ..cold(1500, 3000)
    };
    let ColdDecision::Refuse { come_back_after } = decide_cold(&request) else {
        panic!("expected a refusal")
    };
    assert_eq!(come_back_after, millis(300));
}

/// All holders are in cooldown: a request waits for a short cooldown, and is refused with a time
/// to retry after for a longer one.
#[test]
fn decide_in_cooldown_waits_only_if_in_time() {
    assert_eq!(decide_in_cooldown(&cold(0, 600), 1, 0.5), ColdDecision::Wait);
    let ColdDecision::Refuse { come_back_after } = decide_in_cooldown(&cold(0, 3000), 1, 0.5) else {
        panic!("expected a refusal");
    };
    assert!(come_back_after >= millis(3000) && come_back_after <= millis(3750));
}

proptest! {
    /// No caller retries within the cooldown, and less urgent ones retry later for the same
    /// sample.
    #[test]
    fn retry_after_cooldown_respects_cooldown_and_rank(cooldown_ms in 1u64..100_000, rank in 0u8..12, unit in 0.0f64..1.0) {
        let cooldown = millis(cooldown_ms);
        let retry_after = retry_after_cooldown(cooldown, rank, unit);
        prop_assert!(retry_after >= cooldown && retry_after <= cooldown + cooldown / 4);
        prop_assert!(retry_after_cooldown(cooldown, rank + 1, unit) >= retry_after);
    }
}
