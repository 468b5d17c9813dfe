//! Computes pauses and timeouts after failed calls to the store.

use std::time::Duration;

use rand::Rng;
use tokio::time::sleep;

use crate::ports::StoreError;

/// Timeout for a page of a read of everything, at the first attempt.
const INITIAL_READ_TIMEOUT: Duration = Duration::from_millis(900);
/// Maximum timeout for a page after failures.
const MAX_READ_TIMEOUT: Duration = Duration::from_secs(8);
/// Maximum pause after the first failed call.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);

/// Pauses after failed calls, with an exponential delay, and logs when the store becomes
/// unreachable and reachable.
#[derive(Debug, Default)]
pub(super) struct Backoff {
    failures: u32,
}

impl Backoff {
    /// Returns the timeout for a page of a read of everything. It is short at first, as the
    /// store may not respond, and grows with each failure, as many nodes may read at once.
    pub(super) fn read_timeout(&self) -> Duration {
        (INITIAL_READ_TIMEOUT * 2u32.pow(self.failures.min(4))).min(MAX_READ_TIMEOUT)
    }

    /// Records a successful call.
    pub(super) fn record_success(&mut self) {
        if self.failures > 0 {
            tracing::info!(target: "directory", event = "store is back", failures = self.failures);
        }
        self.failures = 0;
    }

    /// Records a failed call and waits before the next one, up to `max_pause`.
    pub(super) async fn pause(&mut self, error: &StoreError, call: &'static str, max_pause: Duration) {
        if self.failures == 0 {
            tracing::warn!(target: "directory", event = "store call failed", call, %error);
        }
        self.failures = (self.failures + 1).min(8);
        let max_pause = (INITIAL_BACKOFF * 2u32.pow(self.failures - 1)).min(max_pause);
        let share = rand::rng().random_range(0.5..1.0);
        sleep(max_pause.mul_f64(share)).await;
    }
}
