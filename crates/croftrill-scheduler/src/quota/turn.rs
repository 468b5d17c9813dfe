//! How long a request waits for its turn in its tenant's quota, and how far ahead it may
//! be granted.
//!
//! What is granted ahead cannot be taken back. So a request is granted ahead for less time
//! than more urgent ones of its tenant can wait: what comes in after that is left to them
//! until it is there. A request that can wait longer asks again.

use std::collections::BTreeMap;
use std::time::Duration;

use super::ruling::MOST_AHEAD;
use crate::time::Moment;

/// A request waits for its turn for one part in so many of the time that it has beyond
/// reading its prompt; the rest is for a queue or a load at its replica.
const WAIT_PART: u32 = 2;
/// A request is granted ahead for one part in so many of the time for which those that come
/// before it can wait.
const AHEAD_PART: u32 = 2;
/// Least time before a request asks again: the round trip to a keeper and its work are
/// small beside it.
const LEAST_PAUSE: Duration = Duration::from_millis(25);

/// Time for which a request can wait for its turn and still be in time.
pub fn patience(objective: Duration, reading: Duration) -> Duration {
    objective.saturating_sub(reading) / WAIT_PART
}

/// Longest time for which requests of each rank are granted ahead.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct AheadLimits {
    ranks: BTreeMap<u8, RankLimits>,
}

#[derive(Debug, Clone, Copy, PartialEq)]
struct RankLimits {
    /// Longest time for any request of the rank.
    most: Duration,
    /// The least objective of its routes.
    least_objective: Duration,
}

impl RankLimits {
    /// Time for which those of its requests that have the least can wait.
    fn least_patience(&self) -> Duration {
        patience(self.least_objective, Duration::ZERO).min(self.most)
    }
}

impl AheadLimits {
    /// The limits where routes have these ranks, 0 the most urgent, and objectives.
    pub fn new(routes: impl Iterator<Item = (u8, Duration)>) -> Self {
        let mut least: BTreeMap<u8, Duration> = BTreeMap::new();
        for (rank, objective) in routes.filter(|(_, objective)| !objective.is_zero()) {
            let known = least.entry(rank).or_insert(objective);
            *known = objective.min(*known);
        }
        let mut ranks = BTreeMap::new();
        let mut most = MOST_AHEAD;
        for (rank, least_objective) in least {
            let limits = RankLimits {
                most,
                least_objective,
            };
            most = limits.least_patience() / AHEAD_PART;
            ranks.insert(rank, limits);
        }
        AheadLimits { ranks }
    }

    /// Longest time for which a request is granted ahead: less than more urgent ones can
    /// wait, and those of its rank that have less time.
    pub fn most_ahead(&self, rank: u8, objective: Duration) -> Duration {
        match self.ranks.get(&rank) {
            Some(limits) if objective > limits.least_objective => limits.least_patience() / AHEAD_PART,
            Some(limits) => limits.most,
            None => MOST_AHEAD,
        }
    }
}

/// The wait of one request for its turn.
#[derive(Debug, Clone, Copy)]
pub struct TurnWait {
    until: Moment,
    most_ahead: Duration,
}

impl TurnWait {
    /// A request came that can wait so long, and is granted ahead for `most_ahead`.
    pub fn new(now: Moment, patience: Duration, most_ahead: Duration) -> Self {
        TurnWait {
            until: now + patience,
            most_ahead,
        }
    }

    /// Time for which it may be granted ahead now.
    pub fn ahead(&self, now: Moment) -> Duration {
        let left = self.until.since(now);
        left.min(self.most_ahead)
    }

    /// It was refused, and told to come back after this time: when it asks again; `None`
    /// if that is too late for it.
    pub fn pause(&self, again_after: Duration, now: Moment) -> Option<Duration> {
        let pause = again_after.max(LEAST_PAUSE);
        (now + pause < self.until).then_some(pause)
    }
}
