//! Admission: whether a request that cannot be sent yet waits, or is refused.
//!
//! One rule decides, whatever the request waits for: it waits if it can be served while its caller
//! still waits, and is refused at once otherwise, with the time to retry after. So a request is
//! served if it can be, and one that cannot be served loses none of its caller's time. Callers
//! with the same time and the same work are treated alike: neither the route's objective nor the
//! number of attempts is an input.

use std::time::Duration;

use crate::catalog::{Route, RouteKind};

/// The time that a request's caller has left.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerTime {
    /// Time until the caller abandons this attempt or the route ends it, if no byte of the answer
    /// arrives.
    pub attempt_left: Duration,
    /// Time until the caller or the route ends the attempt, even while its answer arrives.
    pub answer_left: Duration,
    /// Time until the caller's own deadline, which also bounds later attempts.
    pub caller_left: Duration,
}

/// What is left to do until a request is served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RemainingWork {
    /// Expected time until what the request waits for is ready.
    pub ready_in: Duration,
    /// Expected time from then to the first byte of the answer.
    pub run: Duration,
    /// Expected time from then to the end of the answer.
    pub answer: Duration,
}

/// The decision on a request that cannot be sent yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// Wait: the request can be served while its caller waits.
    Wait,
    /// Refuse now; the caller should retry after this time.
    Refuse {
        /// Time after which the request should find what it waits for.
        come_back_after: Duration,
    },
}

/// Deadline of a caller that names none.
pub const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);

/// Callers heed a retry delay of at most the time that they have left, divided by this.
const RETRY_DIVISOR: u32 = 3;
/// Added to the expected time so that the model is loaded when the caller retries.
const RETRY_MARGIN: Duration = Duration::from_millis(120);

/// Maximum time that a caller gives an attempt to get under way.
const MAX_ATTEMPT_START: Duration = Duration::from_secs(1);
/// Callers that have little time left give an attempt that time, divided by this.
const ATTEMPT_START_DIVISOR: u32 = 3;

/// Time for which a sound replica may be silent.
const MAX_SOUND_SILENCE: Duration = Duration::from_secs(1);

/// Minimum time after which a caller abandons a silent stream.
const MIN_STREAM_PATIENCE: Duration = Duration::from_secs(2);
/// Number of objectives after which a caller abandons a stream without a first event.
const PATIENCE_OBJECTIVES: u32 = 4;
/// Number of pause objectives after which a caller abandons a silent stream.
const PATIENCE_PAUSES: u32 = 8;

impl CallerTime {
    /// Returns whether the answer to a request with this work left begins and ends while its caller
    /// waits.
    pub fn allows(&self, work: &RemainingWork) -> bool {
        self.max_wait(work) >= Some(work.ready_in)
    }

    /// Returns the longest time for which a request can wait and still be served; `None` if it cannot
    /// be served even now.
    pub fn max_wait(&self, work: &RemainingWork) -> Option<Duration> {
        let until_begin = self.attempt_left.checked_sub(work.run)?;
        let until_end = self.answer_left.checked_sub(work.answer)?;
        Some(until_begin.min(until_end))
    }

    /// Returns the maximum retry delay that the caller heeds.
    pub fn max_retry_after(&self) -> Duration {
        self.caller_left / RETRY_DIVISOR
    }
}

/// Returns the time that a caller of the route waits for the next byte, deadline permitting.
pub fn caller_patience(route: &Route) -> Option<Duration> {
    if route.kind != RouteKind::Streaming {
        return None;
    }
    let by_objective = route.objective * PATIENCE_OBJECTIVES;
    let by_pause = route.pause_objective.unwrap_or_default() * PATIENCE_PAUSES;
    Some(MIN_STREAM_PATIENCE.max(by_objective).max(by_pause))
}

/// Decides on a request whose model or adapter is not loaded yet.
pub fn decide(time: &CallerTime, work: &RemainingWork) -> Admission {
    let retry_after = work.ready_in + RETRY_MARGIN;
    decide_with(time, work, retry_after.min(time.max_retry_after()))
}

fn decide_with(time: &CallerTime, work: &RemainingWork, come_back_after: Duration) -> Admission {
    if time.allows(work) {
        return Admission::Wait;
    }
    Admission::Refuse { come_back_after }
}

/// Returns the time that a caller with this time left needs for another attempt.
fn another_attempt(time_left: Duration) -> Duration {
    MAX_ATTEMPT_START.min(time_left / ATTEMPT_START_DIVISOR)
}

/// Decides on a request of which nothing tells when it can be sent. Another node may know more, so
/// the request waits for as long as its caller then has time for another attempt. `attempt` is the
/// whole time of this one. `retry_after` is the retry delay once that time is over.
pub fn decide_unknown(time: &CallerTime, attempt: Duration, retry_after: Duration) -> Admission {
    if time.attempt_left >= another_attempt(attempt) {
        return Admission::Wait;
    }
    Admission::Refuse {
        come_back_after: retry_after.min(time.max_retry_after()),
    }
}

/// Returns how long a replica that was just sent a request may be silent before another one is
/// tried. `usual` is a time within which its service usually answers. That time is over, and the
/// one for which a sound replica may be silent; or the caller has only the time for another attempt
/// left.
pub fn silence_limit(time: &CallerTime, usual: Duration) -> Duration {
    let another_attempt = another_attempt(time.attempt_left);
    usual
        .max(MAX_SOUND_SILENCE)
        .min(time.attempt_left.saturating_sub(another_attempt))
}

/// Retries of refused callers are spread over the time left of a cooldown, divided by this.
const RETRY_SPREAD_DIVISOR: u32 = 4;
/// The least urgent rank.
const LEAST_URGENT_RANK: u8 = 9;

/// Decides on a request while all replicas that could take it are in cooldown. `rank` 0 is the
/// most urgent; `unit` is the request's uniform sample from 0 to 1. The retry delay is told even if
/// it is longer than callers heed, as an earlier retry is refused again.
pub fn decide_in_cooldown(time: &CallerTime, work: &RemainingWork, rank: u8, unit: f64) -> Admission {
    decide_with(time, work, retry_after_cooldown(work.ready_in, rank, unit))
}

/// Returns when a caller should retry at replicas that are in cooldown for `cooldown_left`. Never
/// earlier, as it would be refused again. More urgent callers retry sooner, and retries are
/// spread, as a replica that has just recovered would reject most of a burst.
pub fn retry_after_cooldown(cooldown_left: Duration, rank: u8, unit: f64) -> Duration {
    let earliest = f64::from(rank.min(LEAST_URGENT_RANK)) / f64::from(LEAST_URGENT_RANK + 1);
    let fraction = earliest + (1.0 - earliest) * unit;
    cooldown_left + (cooldown_left / RETRY_SPREAD_DIVISOR).mul_f64(fraction)
}
