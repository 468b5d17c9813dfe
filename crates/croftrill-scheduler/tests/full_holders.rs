//! Admission of requests while every holder of their model is full.

use std::time::Duration;

use croftrill_scheduler::full_holders::{decide_full, FullDecision, FullRequest};
use proptest::prelude::*;

fn millis(value: u64) -> Duration {
    Duration::from_millis(value)
}

/// An interactive request: first event within 500 ms, and its caller waits for 2 s.
fn interactive(waited: u64, starts_in: u64) -> FullRequest {
    FullRequest {
        waited: millis(waited),
        starts_in: millis(starts_in),
        first_event_after: millis(30),
        objective: millis(500),
        patience: millis(2000),
        left: millis(10_000 - waited),
        is_most_urgent: true,
        overtakes_others: false,
    }
}

/// A patient request: first event within 5 s.
fn patient(waited: u64, starts_in: u64) -> FullRequest {
    FullRequest {
        objective: millis(5000),
        patience: millis(17_000),
        left: millis(17_000 - waited),
        is_most_urgent: false,
        ..interactive(waited, starts_in)
    }
}

/// Batches fill the replicas: interactive requests are queued there by rank.
#[test]
fn decide_full_sends_urgent_in_time() {
    assert_eq!(decide_full(&interactive(0, 100), 0, 0.5), FullDecision::Send);
}

/// Batches are queued at the replicas for seconds. An interactive request overtakes them there,
/// and is not refused because of the time that they have to wait.
#[test]
fn decide_full_sends_overtaking_request() {
    let overtaking = FullRequest {
        overtakes_others: true,
        ..interactive(0, 4000)
    };
    assert_eq!(decide_full(&overtaking, 0, 0.5), FullDecision::Send);
    assert_ne!(
        decide_full(&interactive(0, 4000), 0, 0.5),
        FullDecision::Send,
        "a replica already rejected it"
    );
}

/// In the same situation, further batches leave the queues to interactive requests, and are sent
/// while they can still be in time.
#[test]
fn decide_full_holds_patient_request() {
    assert_eq!(decide_full(&patient(0, 100), 2, 0.5), FullDecision::Wait);
    assert_eq!(decide_full(&patient(3600, 200), 2, 0.5), FullDecision::Send);
}

/// In a burst, a request that is late anyway makes no other request late.
#[test]
fn decide_full_holds_late_request() {
    assert_eq!(decide_full(&interactive(100, 600), 0, 0.5), FullDecision::Wait);
    assert_eq!(decide_full(&patient(5000, 100), 2, 0.5), FullDecision::Wait);
}

/// A burst that cannot be served while its callers wait.
#[test]
fn decide_full_refuses_hopeless_request() {
    let FullDecision::Refuse { come_back_after } = decide_full(&interactive(0, 1500), 0, 0.5) else {
        panic!("expected a refusal")
    };
    assert!(come_back_after >= millis(1500), "a slot should be free then");
    assert!(
        come_back_after <= millis(10_000) / 3,
        "its caller waits no longer than that"
    );
}

/// More urgent requests that were refused retry earlier, and retries are spread.
#[test]
fn decide_full_spreads_retries_by_rank() {
    let retry_after = |rank, unit| match decide_full(&interactive(0, 1500), rank, unit) {
        FullDecision::Refuse { come_back_after } => come_back_after,
        other => panic!("{other:?}"),
    };
    assert!(retry_after(0, 0.2) < retry_after(0, 0.8));
    assert!(retry_after(0, 0.5) < retry_after(5, 0.5));
}

fn requests() -> impl Strategy<Value = FullRequest> {
    let times = (0..20_000u64, 0..20_000u64, 0..2000u64, 1..6000u64);
    let flags = (1..20_000u64, 0..20_000u64, any::<bool>(), any::<bool>());
    (times, flags).prop_map(|(times, flags)| FullRequest {
        waited: millis(times.0),
        starts_in: millis(times.1),
        first_event_after: millis(times.2),
        objective: millis(times.3),
        patience: millis(flags.0),
        left: millis(flags.1),
        is_most_urgent: flags.2,
        overtakes_others: flags.2 && flags.3,
    })
}

proptest! {
    /// No request waits for longer than its fraction of the caller's patience.
    #[test]
    fn decide_full_bounds_wait(request in requests(), rank in 0..10u8, unit in 0.0..1.0f64) {
        if decide_full(&request, rank, unit) == FullDecision::Wait {
            prop_assert!(request.waited + request.starts_in <= request.patience.mul_f64(0.45));
        }
    }

    /// Only a request that can be in time or overtakes others is sent to a full replica's queue.
    #[test]
    fn decide_full_sends_in_time(request in requests(), rank in 0..10u8, unit in 0.0..1.0f64) {
        if decide_full(&request, rank, unit) == FullDecision::Send {
            let served_at = request.waited + request.starts_in + request.first_event_after;
            prop_assert!(request.overtakes_others || served_at <= request.objective);
        }
    }

    /// Where an urgent request is refused, a patient one with the same times is not sent.
    #[test]
    fn decide_full_prefers_urgent(request in requests(), unit in 0.0..1.0f64) {
        let urgent = FullRequest { is_most_urgent: true, ..request };
        let patient = FullRequest { is_most_urgent: false, overtakes_others: false, ..request };
        let is_refused = matches!(decide_full(&urgent, 0, unit), FullDecision::Refuse { .. });
        prop_assert!(!(is_refused && decide_full(&patient, 2, unit) == FullDecision::Send));
    }

    /// No caller is told to retry later than it waits.
    #[test]
    fn decide_full_retry_time_within_deadline(request in requests(), rank in 0..10u8, unit in 0.0..1.0f64) {
        if let FullDecision::Refuse { come_back_after } = decide_full(&request, rank, unit) {
            prop_assert!(come_back_after <= request.left / 3);
        }
    }
}
