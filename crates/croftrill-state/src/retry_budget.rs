//! A budget of retries, so that a failing engine does not multiply load.
//!
//! Invariant: over any time since the start, retries are at most
//! `most_saved` plus the configured ratio of the successful requests plus the
//! configured floor times the time passed.

use crate::time::Instant;

const MILLIS_PER_SECOND: u64 = 1000;
/// One retry, in the unit of the bucket. A floor of one retry a second fills a
/// thousandth of it each millisecond.
const RETRY_COST: u64 = 1000;

/// Settings of a budget.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RetryBudgetConfig {
    /// Retries allowed for 1000 successful requests.
    pub retries_per_thousand_successes: u32,
    /// Retries allowed each second even without any success.
    pub floor_per_second: u32,
    /// Most unused retries that are kept.
    pub most_saved: u32,
}

impl Default for RetryBudgetConfig {
    fn default() -> Self {
        Self {
            retries_per_thousand_successes: 200,
            floor_per_second: 2,
            most_saved: 50,
        }
    }
}

/// A token bucket of retries.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    config: RetryBudgetConfig,
    saved: u64,
    refilled_at: Instant,
}

impl RetryBudget {
    /// Starts with the most that may be saved, so that the first failure after
    /// a start can be mended.
    pub fn new(config: RetryBudgetConfig, now: Instant) -> Self {
        Self {
            saved: u64::from(config.most_saved) * RETRY_COST,
            config,
            refilled_at: now,
        }
    }

    /// Notes a request that succeeded.
    pub fn record_success(&mut self) {
        self.add(u64::from(self.config.retries_per_thousand_successes));
    }

    /// Takes one retry out of the budget; false if there is none.
    pub fn try_retry(&mut self, now: Instant) -> bool {
        self.refill(now);
        if self.saved < RETRY_COST {
            return false;
        }
        self.saved -= RETRY_COST;
        true
    }

    /// Milliseconds until the floor alone allows a retry; `None` if the floor
    /// is 0 and none is saved.
    pub fn millis_until_retry(&mut self, now: Instant) -> Option<u64> {
        self.refill(now);
        let missing = RETRY_COST.saturating_sub(self.saved);
        let floor = u64::from(self.config.floor_per_second);
        match (missing, floor) {
            (0, _) => Some(0),
            (_, 0) => None,
            _ => Some(missing.div_ceil(floor)),
        }
    }

    fn refill(&mut self, now: Instant) {
        let millis = now.millis_since(self.refilled_at);
        self.refilled_at = self.refilled_at.max(now);
        let per_milli = u64::from(self.config.floor_per_second) * RETRY_COST / MILLIS_PER_SECOND;
        self.add(millis.saturating_mul(per_milli));
    }

    fn add(&mut self, amount: u64) {
        let most = u64::from(self.config.most_saved) * RETRY_COST;
        self.saved = self.saved.saturating_add(amount).min(most);
    }
}
