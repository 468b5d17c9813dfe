//! An adaptive limit on concurrent loads from the weight store, learned from their
//! durations.
//!
//! The store serves an unknown number of concurrent loads at full speed and slows all
//! of them in proportion beyond that. More concurrent loads then gain nothing: each
//! occupies its replica for longer.

use std::time::Duration;

/// The initial limit is the number of loads that would take this time one after the
/// other. If the limit is too high, all loads slow each other down, and the longer a load
/// takes, the later that shows.
const FIRST_LIMIT_TIME: Duration = Duration::from_secs(24);
/// Upper bound of the initial limit.
const MOST_AT_FIRST: f64 = 6.0;
/// Ratio of a load's duration to its usual duration above which it counts as slowed down.
const SLOWED_FROM: f64 = 1.3;
/// Increase of the limit by a load that ran at full speed while the limit was reached.
const STEP: f64 = 0.5;

/// Limits the concurrent loads of all orderers together: each orderer learns the limit
/// from its own loads and counts the loads of the others.
#[derive(Debug, Clone, Copy)]
pub struct LoadPace {
    limit: f64,
}

impl LoadPace {
    /// Creates a limit for a store from which a single load takes `usual`.
    pub fn new(usual: Duration) -> Self {
        let first = FIRST_LIMIT_TIME.as_secs_f64() / usual.as_secs_f64().max(f64::EPSILON);
        LoadPace {
            limit: first.clamp(1.0, MOST_AT_FIRST),
        }
    }

    /// Returns the number of loads that may run at once, at least one.
    pub fn limit(&self) -> usize {
        self.limit.max(1.0) as usize
    }

    /// Records that one of `running` concurrent loads ended after `took`; alone it would
    /// take `usual`.
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
