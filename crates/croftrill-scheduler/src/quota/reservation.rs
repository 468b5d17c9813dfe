//! Limits how long a request waits for its quota reservation, and how far ahead it may be
//! granted.
//!
//! A request waits as long as it can be served while its caller waits. A grant ahead of time cannot
//! be revoked. So a request is granted ahead for less time than more urgent requests of its tenant,
//! and for less while it has the time to request again: later income stays available to those that
//! are more urgent or have less time until it arrives.

use std::collections::BTreeMap;
use std::time::Duration;

use super::decision::MAX_AHEAD;
use crate::time::Moment;

/// A request that has time to request again is granted ahead for the maximum of its rank, divided by
/// this.
const PATIENT_AHEAD_DIVISOR: u32 = 2;
/// Requests of a rank are granted ahead for less time than patient ones of the rank before: for that
/// of the rank before, divided by this.
const RANK_AHEAD_DIVISOR: u32 = 4;
/// Minimum time before a retry: large compared with the round trip to a keeper and its work.
const MIN_RETRY_PAUSE: Duration = Duration::from_millis(25);

/// Maximum time for which requests of each rank are granted ahead.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct AheadLimits {
    ranks: BTreeMap<u8, Duration>,
}

impl AheadLimits {
    /// Derives the limits from the ranks of routes; 0 is the most urgent.
    pub fn new(ranks: impl Iterator<Item = u8>) -> Self {
        let mut limits: BTreeMap<u8, Duration> = ranks.map(|rank| (rank, MAX_AHEAD)).collect();
        let mut max_ahead = MAX_AHEAD;
        for limit in limits.values_mut() {
            *limit = max_ahead;
            max_ahead /= RANK_AHEAD_DIVISOR;
        }
        AheadLimits { ranks: limits }
    }

    /// Returns the maximum time for which requests of a rank are granted ahead. It is shorter than
    /// that of any more urgent request.
    pub fn max_ahead(&self, rank: u8) -> Duration {
        self.ranks.get(&rank).copied().unwrap_or(MAX_AHEAD)
    }
}

/// Tracks how long one request waits for its reservation.
#[derive(Debug, Clone, Copy)]
pub struct ReservationWait {
    deadline: Moment,
    max_ahead: Duration,
}

impl ReservationWait {
    /// Creates the wait of a request that arrives now, can wait for `patience` and is granted
    /// ahead for at most `max_ahead`.
    pub fn new(now: Moment, patience: Duration, max_ahead: Duration) -> Self {
        ReservationWait {
            deadline: now + patience,
            max_ahead,
        }
    }

    /// Returns the time for which the request may be granted ahead now.
    pub fn ahead(&self, now: Moment) -> Duration {
        let left = self.deadline.since(now);
        let may_request_again = left > MAX_AHEAD;
        if may_request_again {
            self.max_ahead / PATIENT_AHEAD_DIVISOR
        } else {
            left.min(self.max_ahead)
        }
    }

    /// Returns how long to pause before a retry, given the `retry_after` of a refusal, or `None`
    /// if that is too late for the request.
    pub fn pause(&self, retry_after: Duration, now: Moment) -> Option<Duration> {
        let pause = retry_after.max(MIN_RETRY_PAUSE);
        (now + pause < self.deadline).then_some(pause)
    }
}
