//! A limit on the loads from the weight store that start within a sliding window.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::Moment;

/// Admits loads from the weight store up to a ceiling per sliding window.
///
/// Invariant: within any `window`, no more than `ceiling` loads are admitted,
/// where loads of a previous orderer count as started at the takeover.
#[derive(Debug)]
pub struct LoadCeiling {
    window: Duration,
    begun: VecDeque<Moment>,
}

impl LoadCeiling {
    /// Creates a ceiling over `window` without any loads.
    pub fn new(window: Duration) -> Self {
        LoadCeiling {
            window,
            begun: VecDeque::new(),
        }
    }

    /// Assumes after a takeover that the previous orderer started `ceiling` loads just now.
    pub fn assume_full(&mut self, now: Moment, ceiling: usize) {
        self.begun.clear();
        self.begun.extend(std::iter::repeat_n(now, ceiling));
    }

    /// Returns the start times of the counted loads.
    pub fn begun(&self) -> impl Iterator<Item = Moment> + '_ {
        self.begun.iter().copied()
    }

    /// Returns true if one more load may start.
    pub fn admits(&mut self, now: Moment, ceiling: usize) -> bool {
        while self
            .begun
            .front()
            .is_some_and(|begun| now.since(*begun) > self.window)
        {
            self.begun.pop_front();
        }
        self.begun.len() < ceiling
    }

    /// Counts a load that is being ordered. If the order's answer is lost, the load may
    /// start later than `now`.
    pub fn begin(&mut self, now: Moment) {
        self.begun.push_back(now);
    }
}
