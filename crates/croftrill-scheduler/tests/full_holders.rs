//! Admission of requests while every holder of their model is full.

use std::time::Duration;

use croftrill_scheduler::admission::{CallerTime, RemainingWork};
use croftrill_scheduler::full_holders::{decide_full, FullDecision, FullRequest};
use proptest::prelude::*;

fn millis(value: u64) -> Duration {
    Duration::from_millis(value)
}

/// Work that starts after so many milliseconds.
fn starting_in(starts_in: u64) -> RemainingWork {
    RemainingWork {
        ready_in: millis(starts_in),
        run: millis(30),
        answer: millis(300),
    }
}

/// An interactive request, whose caller waits for 2 s for the first event, beside batches.
fn interactive(starts_in: u64) -> FullRequest {
    FullRequest {
        time: CallerTime {
            attempt_left: millis(2_000),
            answer_left: millis(10_000),
            caller_left: millis(10_000),
        },
        work: starting_in(starts_in),
        is_most_urgent: true,
        has_less_urgent: true,
        was_rejected: false,
    }
}

/// A batch with so much time left.
fn batch(time_left: u64, starts_in: u64) -> FullRequest {
    FullRequest {
        time: CallerTime {
            attempt_left: millis(time_left),
            answer_left: millis(time_left + 1_000),
            caller_left: millis(time_left),
        },
        is_most_urgent: false,
        has_less_urgent: false,
        ..interactive(starts_in)
    }
}

/// Batches are queued at the replicas for seconds. An interactive request overtakes them there, and is
/// not refused because of the time that they have to wait.
#[test]
fn decide_full_sends_overtaking_request() {
    assert_eq!(decide_full(&interactive(4_000), 0, 0.5), FullDecision::Send);
    let rejected = FullRequest {
        was_rejected: true,
        ..interactive(4_000)
    };
    assert!(matches!(
        decide_full(&rejected, 0, 0.5),
        FullDecision::Refuse { .. }
    ));
}

/// All requests of the service are as urgent, and the queue is short enough for one more.
#[test]
fn decide_full_queues_request_of_single_rank() {
    let single = FullRequest {
        has_less_urgent: false,
        ..interactive(1_500)
    };
    assert_eq!(decide_full(&single, 0, 0.5), FullDecision::Send);
    let rejected = FullRequest {
        was_rejected: true,
        work: starting_in(500),
        ..single
    };
    assert_eq!(
        decide_full(&rejected, 0, 0.5),
        FullDecision::Wait,
        "a replica's queue had no room"
    );
}

/// In the same situation, batches leave the queues to interactive requests, and are sent while they can
/// still be served.
#[test]
fn decide_full_holds_batch_until_its_time_ends() {
    assert_eq!(decide_full(&batch(17_000, 200), 2, 0.5), FullDecision::Wait);
    assert_eq!(decide_full(&batch(1_000, 200), 2, 0.5), FullDecision::Wait);
    assert_eq!(decide_full(&batch(400, 200), 2, 0.5), FullDecision::Send);
}

/// A burst that cannot be served while its callers wait.
#[test]
fn decide_full_refuses_hopeless_request() {
    let single = FullRequest {
        has_less_urgent: false,
        ..interactive(2_100)
    };
    let FullDecision::Refuse { come_back_after } = decide_full(&single, 0, 0.5) else {
        panic!("expected a refusal")
    };
    assert!(come_back_after >= millis(2_100), "a slot should be free then");
    assert!(
        come_back_after <= millis(10_000) / 3,
        "its caller waits no longer than that"
    );
}

/// More urgent requests that were refused retry earlier, and retries are spread.
#[test]
fn decide_full_spreads_retries_by_rank() {
    let rejected = FullRequest {
        was_rejected: true,
        ..interactive(2_500)
    };
    let retry_after = |rank, unit| match decide_full(&rejected, rank, unit) {
        FullDecision::Refuse { come_back_after } => come_back_after,
        other => panic!("{other:?}"),
    };
    assert!(retry_after(0, 0.2) < retry_after(0, 0.8));
    assert!(retry_after(0, 0.5) < retry_after(5, 0.5));
}

fn requests() -> impl Strategy<Value = FullRequest> {
    let times = (0..20_000u64, 0..2_000u64, 0..20_000u64, 0..20_000u64);
    let flags = (any::<bool>(), any::<bool>(), any::<bool>());
    (times, flags).prop_map(|(times, flags)| FullRequest {
        time: CallerTime {
            attempt_left: millis(times.2),
            answer_left: millis(times.2 + times.3),
            caller_left: millis(times.2 + times.3),
        },
        work: RemainingWork {
            ready_in: millis(times.0),
            run: millis(times.1),
            answer: millis(2 * times.1),
        },
        is_most_urgent: flags.0,
        has_less_urgent: flags.1,
        was_rejected: flags.2,
    })
}

proptest! {
    /// What can be served is sent or waits, and what cannot is refused at once.
    #[test]
    fn decide_full_refuses_exactly_what_cannot_be_served(request in requests(), rank in 0..10u8, unit in 0.0..1.0f64) {
        let (time, work) = (&request.time, &request.work);
        let begins = work.ready_in + work.run <= time.attempt_left;
        let is_served = begins && work.ready_in + work.answer <= time.answer_left;
        let overtakes = request.is_most_urgent && request.has_less_urgent && !request.was_rejected;
        let is_refused = matches!(decide_full(&request, rank, unit), FullDecision::Refuse { .. });
        prop_assert_eq!(is_refused, !is_served && !overtakes);
    }

    /// No request is refused for having more time, nor is one sent to a queue because of that.
    #[test]
    fn decide_full_more_time_never_worse(less in requests(), more_ms in 0..10_000u64, unit in 0.0..1.0f64) {
        let more = FullRequest {
            time: CallerTime {
                attempt_left: less.time.attempt_left + millis(more_ms),
                answer_left: less.time.answer_left + millis(more_ms),
                caller_left: less.time.caller_left + millis(more_ms),
            },
            ..less
        };
        let (with_less, with_more) = (decide_full(&less, 1, unit), decide_full(&more, 1, unit));
        if !matches!(with_less, FullDecision::Refuse { .. }) {
            let is_refused = matches!(with_more, FullDecision::Refuse { .. });
            prop_assert!(!is_refused);
        }
        if with_less == FullDecision::Wait {
            prop_assert_eq!(with_more, FullDecision::Wait);
        }
    }

    /// Where an urgent request is refused, a less urgent one with the same times is refused, too.
    #[test]
    fn decide_full_prefers_urgent(request in requests(), unit in 0.0..1.0f64) {
        let urgent = FullRequest { is_most_urgent: true, ..request };
        let patient = FullRequest { is_most_urgent: false, ..request };
        let is_refused = |request: &FullRequest| matches!(decide_full(request, 0, unit), FullDecision::Refuse { .. });
        prop_assert!(!is_refused(&urgent) || is_refused(&patient));
    }

    /// No caller is told to retry later than it heeds.
    #[test]
    fn decide_full_retry_time_heeded(request in requests(), rank in 0..10u8, unit in 0.0..1.0f64) {
        if let FullDecision::Refuse { come_back_after } = decide_full(&request, rank, unit) {
            prop_assert!(come_back_after <= request.time.caller_left / 3);
        }
    }
}
