//! The bound on loads that begin at the weight store within a sliding window.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::Moment;

/// Admits loads from the weight store under a ceiling over a sliding window.
///
/// Invariant: within any `window`, no more than `ceiling` loads are admitted,
/// where loads of a former orderer count as begun at the takeover.
#[derive(Debug)]
pub struct LoadCeiling {
    window: Duration,
    begun: VecDeque<Moment>,
}

impl LoadCeiling {
    /// A ceiling over `window` with no load begun.
    pub fn new(window: Duration) -> Self {
        LoadCeiling {
            window,
            begun: VecDeque::new(),
        }
    }

    /// After a takeover: counts the former's loads as if `ceiling` of them had begun now.
    pub fn assume_full(&mut self, now: Moment, ceiling: usize) {
        self.begun.clear();
        self.begun.extend(std::iter::repeat_n(now, ceiling));
    }

    /// Loads within the window, by when they began.
    pub fn begun(&self) -> impl Iterator<Item = Moment> + '_ {
        self.begun.iter().copied()
    }

    /// True if one more load may begin.
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

    /// Counts a load that may begin now, or begins late if its answer is lost.
    pub fn begin(&mut self, now: Moment) {
        self.begun.push_back(now);
    }
}
