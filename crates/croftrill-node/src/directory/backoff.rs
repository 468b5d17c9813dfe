//! Pauses after failed calls to the store.

use std::time::Duration;

use rand::Rng;
use tokio::time::sleep;

use crate::ports::StoreError;

/// Longest wait for a part of everything, at the first try.
const LEAST_READ_LIMIT: Duration = Duration::from_millis(900);
/// The same after failures.
const MOST_READ_LIMIT: Duration = Duration::from_secs(8);
/// Shortest pause after a failed call.
const LEAST_BACKOFF: Duration = Duration::from_millis(100);

/// Pauses after failed calls, longer with each, and says when the store is lost and back.
#[derive(Debug, Default)]
pub(super) struct Backoff {
    failures: u32,
}

impl Backoff {
    /// Longest wait for a part of everything: short at first, as the store may
    /// be silent, and longer with each failure, as many nodes may read at once.
    pub(super) fn read_limit(&self) -> Duration {
        (LEAST_READ_LIMIT * 2u32.pow(self.failures.min(4))).min(MOST_READ_LIMIT)
    }

    /// A call succeeded.
    pub(super) fn succeeded(&mut self) {
        if self.failures > 0 {
            tracing::info!(target: "directory", event = "store is back", failures = self.failures);
        }
        self.failures = 0;
    }

    /// A call failed: waits before the next one, up to `longest`.
    pub(super) async fn pause(&mut self, error: &StoreError, call: &'static str, longest: Duration) {
        if self.failures == 0 {
            tracing::warn!(target: "directory", event = "store call failed", call, %error);
        }
        self.failures = (self.failures + 1).min(8);
        let longest = (LEAST_BACKOFF * 2u32.pow(self.failures - 1)).min(longest);
        let share = rand::rng().random_range(0.5..1.0);
        sleep(longest.mul_f64(share)).await;
    }
}
