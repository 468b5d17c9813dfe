//! Limits how long a request waits for its quota reservation, and how far ahead it may be
//! granted.
//!
//! A grant ahead of time cannot be revoked. So a request is granted ahead for less time than more
//! urgent requests of its tenant can wait: later income stays available to those until it
//! arrives. A request that can wait longer retries.

use std::collections::BTreeMap;
use std::time::Duration;

use super::decision::MAX_AHEAD;
use crate::time::Moment;

/// A request waits for its reservation for the time left after reading its prompt, divided by
/// this. The rest covers a queue or a model load at its replica.
const WAIT_DIVISOR: u32 = 2;
/// A request is granted ahead for the time that requests of higher precedence can wait, divided
/// by this.
const AHEAD_DIVISOR: u32 = 2;
/// Minimum time before a retry: large compared with the round trip to a keeper and its work.
const MIN_RETRY_PAUSE: Duration = Duration::from_millis(25);

/// Returns the time that a request can wait for its reservation and still meet its objective.
pub fn patience(objective: Duration, reading: Duration) -> Duration {
    objective.saturating_sub(reading) / WAIT_DIVISOR
}

/// Maximum time for which requests of each rank are granted ahead.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct AheadLimits {
    ranks: BTreeMap<u8, RankLimits>,
}

#[derive(Debug, Clone, Copy, PartialEq)]
struct RankLimits {
    /// Maximum time for any request of the rank.
    max_ahead: Duration,
    /// Shortest objective of the rank's routes.
    min_objective: Duration,
}

impl RankLimits {
    /// Returns the time that the rank's requests with the shortest objective can wait.
    fn min_patience(&self) -> Duration {
        patience(self.min_objective, Duration::ZERO).min(self.max_ahead)
    }
}

impl AheadLimits {
    /// Derives the limits from the ranks (0 is the most urgent) and objectives of routes.
    pub fn new(routes: impl Iterator<Item = (u8, Duration)>) -> Self {
        let mut min_objectives: BTreeMap<u8, Duration> = BTreeMap::new();
        for (rank, objective) in routes.filter(|(_, objective)| !objective.is_zero()) {
            let known = min_objectives.entry(rank).or_insert(objective);
            *known = objective.min(*known);
        }
        let mut ranks = BTreeMap::new();
        let mut max_ahead = MAX_AHEAD;
        for (rank, min_objective) in min_objectives {
            let limits = RankLimits {
                max_ahead,
                min_objective,
            };
            max_ahead = limits.min_patience() / AHEAD_DIVISOR;
            ranks.insert(rank, limits);
        }
        AheadLimits { ranks }
    }

    /// Returns the maximum time for which a request is granted ahead. It is shorter than more
    /// urgent requests can wait, and than requests of the same rank with shorter objectives can.
    pub fn max_ahead(&self, rank: u8, objective: Duration) -> Duration {
        match self.ranks.get(&rank) {
            Some(limits) if objective > limits.min_objective => limits.min_patience() / AHEAD_DIVISOR,
            Some(limits) => limits.max_ahead,
            None => MAX_AHEAD,
        }
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
        left.min(self.max_ahead)
    }

    /// Returns how long to pause before a retry, given the `retry_after` of a refusal, or `None`
    /// if that is too late for the request.
    pub fn pause(&self, retry_after: Duration, now: Moment) -> Option<Duration> {
        let pause = retry_after.max(MIN_RETRY_PAUSE);
        (now + pause < self.deadline).then_some(pause)
    }
}
