//! Admission of requests that cannot be sent yet, by the time that their callers have.

use std::time::Duration;

use croftrill_scheduler::admission::{
    decide, decide_in_cooldown, decide_unknown, retry_after_cooldown, silence_limit, Admission, CallerTime,
    RemainingWork,
};
use proptest::prelude::*;

fn millis(value: u64) -> Duration {
    Duration::from_millis(value)
}

/// A caller that waits so long for this attempt, and so long in total.
fn time(attempt_left: u64, caller_left: u64) -> CallerTime {
    CallerTime {
        attempt_left: millis(attempt_left),
        answer_left: millis(caller_left),
        caller_left: millis(caller_left),
    }
}

fn work(ready_in: u64) -> RemainingWork {
    RemainingWork {
        ready_in: millis(ready_in),
        run: millis(100),
        answer: millis(100),
    }
}

/// Callers that wait for two seconds were refused while their model was loaded in half of that, if
/// the objective of their route was shorter.
#[test]
fn decide_waits_if_served_while_caller_waits() {
    assert_eq!(decide(&time(2_000, 5_000), &work(1_350)), Admission::Wait);
    assert_eq!(decide(&time(2_000, 5_000), &work(1_900)), Admission::Wait);
}

/// A stream would begin while its caller waits for the first event, and be cut off at its deadline.
#[test]
fn decide_refuses_answer_that_ends_too_late() {
    let long = RemainingWork {
        answer: millis(2_500),
        ..work(600)
    };
    assert_eq!(decide(&time(2_000, 3_200), &long), Admission::Wait);
    assert!(matches!(
        decide(&time(2_000, 3_000), &long),
        Admission::Refuse { .. }
    ));
}

/// A request that cannot be served is refused at the first decision, with the time after which its
/// model should be loaded.
#[test]
fn decide_refuses_at_once_with_retry_time() {
    let Admission::Refuse { come_back_after } = decide(&time(2_000, 20_000), &work(3_000)) else {
        panic!("expected a refusal")
    };
    assert!(come_back_after >= millis(3_000) && come_back_after <= millis(20_000) / 3);
}

#[test]
fn decide_retry_time_within_what_callers_heed() {
    let Admission::Refuse { come_back_after } = decide(&time(900, 900), &work(3_000)) else {
        panic!("expected a refusal")
    };
    assert_eq!(come_back_after, millis(300));
}

/// All holders are in cooldown: a request waits for the end, or is refused with a time to retry
/// after if its caller does not.
#[test]
fn decide_in_cooldown_waits_only_if_served() {
    let time = time(3_000, 12_000);
    assert_eq!(decide_in_cooldown(&time, &work(600), 1, 0.5), Admission::Wait);
    let Admission::Refuse { come_back_after } = decide_in_cooldown(&time, &work(3_000), 1, 0.5) else {
        panic!("expected a refusal");
    };
    assert!(come_back_after >= millis(3_000) && come_back_after <= millis(3_750));
}

/// No replica is listed: the caller keeps the second that an attempt at another node may take, or
/// a third of its time if that is less.
#[test]
fn decide_unknown_leaves_time_for_another_attempt() {
    let decide = |attempt_left| decide_unknown(&time(attempt_left, attempt_left), millis(4_000), millis(400));
    assert_eq!(decide(1_001), Admission::Wait);
    assert!(matches!(decide(999), Admission::Refuse { .. }));
    let short = decide_unknown(&time(199, 199), millis(600), millis(400));
    assert!(matches!(short, Admission::Refuse { .. }));
}

/// One of two replicas is silent.
#[test]
fn silence_limit_leaves_time_for_another_replica() {
    let usual = millis(30);
    assert_eq!(silence_limit(&time(3_000, 3_000), usual), millis(1_000));
    assert_eq!(silence_limit(&time(60_000, 60_000), usual), millis(1_000));
    assert_eq!(silence_limit(&time(600, 600), usual), millis(400));
    // Answers of this service take long.
    assert_eq!(silence_limit(&time(60_000, 60_000), millis(5_000)), millis(5_000));
}

fn times() -> impl Strategy<Value = (CallerTime, RemainingWork)> {
    (0..30_000u64, 0..30_000u64, 0..20_000u64, 0..3_000u64).prop_map(|(attempt, later, ready_in, run)| {
        let time = time(attempt, attempt + later);
        let work = RemainingWork {
            ready_in: millis(ready_in),
            run: millis(run),
            answer: millis(run + later / 2),
        };
        (time, work)
    })
}

proptest! {
    /// Who can be served waits, who cannot is refused at once, in cooldowns as well.
    #[test]
    fn decide_waits_exactly_if_served((time, work) in times(), rank in 0u8..10, unit in 0.0f64..1.0) {
        let begins = work.ready_in + work.run <= time.attempt_left;
        let ends = work.ready_in + work.answer <= time.answer_left;
        let is_served = begins && ends;
        prop_assert_eq!(decide(&time, &work) == Admission::Wait, is_served);
        prop_assert_eq!(decide_in_cooldown(&time, &work, rank, unit) == Admission::Wait, is_served);
    }

    /// No caller is refused for having more time.
    #[test]
    fn decide_more_time_never_refused((less, work) in times(), more_ms in 0u64..10_000) {
        let more = CallerTime {
            attempt_left: less.attempt_left + millis(more_ms),
            answer_left: less.answer_left + millis(more_ms),
            caller_left: less.caller_left + millis(more_ms),
        };
        let waits = |time: &CallerTime| [
            decide(time, &work) == Admission::Wait,
            decide_in_cooldown(time, &work, 0, 0.5) == Admission::Wait,
        ];
        prop_assert!(waits(&less).iter().zip(waits(&more)).all(|(less, more)| !less | more));
    }

    /// A caller that arrives with more time is not refused sooner while nothing is known.
    #[test]
    fn decide_unknown_more_time_never_refused_sooner(attempt_ms in 1u64..20_000, more_ms in 0u64..10_000, waited_ms in 0u64..20_000) {
        let waits = |attempt_ms: u64| {
            let left = attempt_ms.saturating_sub(waited_ms);
            decide_unknown(&time(left, left), millis(attempt_ms), millis(400)) == Admission::Wait
        };
        prop_assert!(!waits(attempt_ms) || waits(attempt_ms + more_ms));
    }

    /// No caller is told to retry later than it heeds, nor within a cooldown.
    #[test]
    fn decide_retry_time_heeded((time, work) in times(), rank in 0u8..10, unit in 0.0f64..1.0) {
        if let Admission::Refuse { come_back_after } = decide(&time, &work) {
            prop_assert!(come_back_after <= time.caller_left / 3);
        }
        if let Admission::Refuse { come_back_after } = decide_in_cooldown(&time, &work, rank, unit) {
            prop_assert!(come_back_after >= work.ready_in);
        }
    }

    /// A silent replica is given up while its caller has time for another one, and a sound one is not
    /// given up within a second if the caller has that time.
    #[test]
    fn silence_limit_within_time((time, work) in times()) {
        let limit = silence_limit(&time, work.run);
        prop_assert!(limit <= time.attempt_left * 2 / 3 + millis(1) || time.attempt_left - limit >= millis(1_000));
        prop_assert!(limit >= millis(1_000).min(time.attempt_left * 2 / 3));
    }

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
