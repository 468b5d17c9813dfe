//! How many loads from the weight store may run at once, learned from how long
//! they take.
//!
//! The store slows all loads in proportion once more than it can serve at full
//! speed run at once, and does not say how many that is. More loads at once
//! bring nothing then: each holds up its replica for longer.

use std::time::Duration;

/// Loads run at once while nothing was learned: as many as take this time one after
/// the other. A wrong guess costs all of them the time of the others, and the longer a
/// load takes, the later that shows.
const FIRST_LIMIT_TIME: Duration = Duration::from_secs(24);
/// Loads that run at once at most while nothing was learned.
const MOST_AT_FIRST: f64 = 6.0;
/// A load that takes longer than so many times its usual time was slowed down.
const SLOWED_FROM: f64 = 1.3;
/// Added to the limit by a load at full speed while the limit was reached.
const STEP: f64 = 0.5;

/// Bounds the loads that run at once, those of all orderers together: each learns
/// the bound from its own loads, and counts the others'.
#[derive(Debug, Clone, Copy)]
pub struct LoadPace {
    limit: f64,
}

impl LoadPace {
    /// Nothing was learned yet of a store from which a load takes `usual` alone.
    pub fn new(usual: Duration) -> Self {
        let first = FIRST_LIMIT_TIME.as_secs_f64() / usual.as_secs_f64().max(f64::EPSILON);
        LoadPace {
            limit: first.clamp(1.0, MOST_AT_FIRST),
        }
    }

    /// Loads that may run at once, one at least.
    pub fn limit(&self) -> usize {
        self.limit.max(1.0) as usize
    }

    /// One of `running` loads ended after `took`; alone it takes `usual`.
    pub fn ended(&mut self, took: Duration, usual: Duration, running: usize) {
        let slowdown = took.as_secs_f64() / usual.as_secs_f64().max(f64::EPSILON);
        if slowdown > SLOWED_FROM {
            let at_full_speed = running as f64 / slowdown;
            self.limit = self.limit.min(at_full_speed).max(1.0);
        } else if running >= self.limit() {
            self.limit += STEP;
        }
    }
}
