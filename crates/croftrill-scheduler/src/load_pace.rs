//! How many loads from the weight store may run at once, learned from how long
//! they take.
//!
//! The store slows all loads in proportion once more than it can serve at full
//! speed run at once, and does not say how many that is. More loads at once
//! bring nothing then: each holds up its replica for longer.

use std::time::Duration;

/// Loads that run at once while nothing was learned.
const FIRST_LIMIT: f64 = 2.0;
/// A load that takes longer than so many times its usual time was slowed down.
const SLOWED_FROM: f64 = 1.3;
/// Added to the limit by a load at full speed while the limit was reached.
const STEP: f64 = 0.5;

/// Bounds the loads that one orderer runs at once.
///
/// Several orderers share one store without talking: each finds its own part.
#[derive(Debug, Clone, Copy)]
pub struct LoadPace {
    limit: f64,
}

impl Default for LoadPace {
    fn default() -> Self {
        LoadPace { limit: FIRST_LIMIT }
    }
}

impl LoadPace {
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
