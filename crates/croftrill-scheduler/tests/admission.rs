//! What happens to requests whose model is not there yet.

use std::time::Duration;

use croftrill_scheduler::admission::{decide_cold, ColdDecision, ColdRequest};

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
fn a_request_that_can_still_be_in_time_waits() {
    assert_eq!(decide_cold(&cold(0, 600)), ColdDecision::Wait);
}

#[test]
fn a_request_that_cannot_is_refused_at_once_with_a_time_that_holds() {
    let ColdDecision::Refuse { come_back_after } = decide_cold(&cold(0, 1000)) else {
        panic!("refused")
    };
    assert!(come_back_after >= millis(1000) && come_back_after <= millis(5000) / 3);
}

/// Requests were held to the end of their callers' time while no node gave orders.
#[test]
fn a_request_is_not_held_past_its_part_of_the_callers_patience() {
    assert!(matches!(
        decide_cold(&cold(1500, 400)),
        ColdDecision::Refuse { .. }
    ));
    assert!(matches!(decide_cold(&cold(0, 3000)), ColdDecision::Refuse { .. }));
}

#[test]
fn the_time_to_come_back_leaves_the_caller_time() {
    let request = ColdRequest {
        left: millis(900),
        ..cold(1500, 3000)
    };
    let ColdDecision::Refuse { come_back_after } = decide_cold(&request) else {
        panic!("refused")
    };
    assert_eq!(come_back_after, millis(300));
}
