//! What happens to requests whose model is not there yet.

use std::time::Duration;

use croftrill_scheduler::admission::{decide_cold, ColdDecision, ColdRequest};
use proptest::prelude::*;

/// Time from arrival to when the caller leaves, in milliseconds.
const PATIENCE_MS: u64 = 3200;
/// Time to the first event of a model that is there, in milliseconds.
const FIRST_EVENT_MS: u64 = 100;
/// Time between two looks of a waiting request, in milliseconds.
const LOOK_EVERY_MS: u64 = 100;

fn millis(value: u64) -> Duration {
    Duration::from_millis(value)
}

fn cold(waited: u64, ready_in: u64) -> ColdRequest {
    ColdRequest {
        waited: millis(waited),
        ready_in: millis(ready_in),
        overdue: Duration::ZERO,
        first_event_after: millis(FIRST_EVENT_MS),
        patience: millis(PATIENCE_MS),
    }
}

#[test]
fn decide_cold_one_that_can_be_served_before_its_caller_leaves_waits() {
    assert_eq!(decide_cold(&cold(0, 600)), ColdDecision::Wait);
    assert_eq!(decide_cold(&cold(1500, 1500)), ColdDecision::Wait);
}

#[test]
fn decide_cold_one_that_cannot_is_refused_at_once_with_a_time_that_holds() {
    for waited in [0, 200, 3000] {
        let ColdDecision::Refuse { come_back_after } = decide_cold(&cold(waited, PATIENCE_MS)) else {
            panic!("refused")
        };
        assert!(come_back_after >= millis(PATIENCE_MS));
    }
}

/// For how long a request is held whose model is told to be there in `ready_in`
/// milliseconds at each look, and never comes.
fn held_ms(ready_in: u64) -> u64 {
    let looks = (0..=PATIENCE_MS).step_by(LOOK_EVERY_MS as usize);
    let mut waits = looks.take_while(|waited| {
        let request = ColdRequest {
            overdue: millis(waited.saturating_sub(ready_in)),
            ..cold(*waited, ready_in)
        };
        decide_cold(&request) == ColdDecision::Wait
    });
    waits.by_ref().last().map_or(0, |last| last + LOOK_EVERY_MS)
}

proptest! {
    /// Requests were held to the end of their callers' time while no node gave orders.
    #[test]
    fn decide_cold_of_a_model_that_never_comes_gives_up_midway(ready_in in 0u64..5000) {
        let bound = (PATIENCE_MS + ready_in) / 2 + LOOK_EVERY_MS;
        let can_be_served = ready_in + FIRST_EVENT_MS <= PATIENCE_MS;
        let most_ms = if can_be_served { bound } else { 0 };
        prop_assert!(held_ms(ready_in) <= most_ms);
    }

    /// It never waits for what comes after its caller left, and never refuses what
    /// comes before.
    #[test]
    fn decide_cold_waits_just_as_long_as_it_can_be_served(waited in 0u64..4000, ready_in in 0u64..4000) {
        let in_time = waited + ready_in + FIRST_EVENT_MS <= PATIENCE_MS;
        let waits = decide_cold(&cold(waited, ready_in)) == ColdDecision::Wait;
        prop_assert_eq!(waits, in_time);
    }
}
