//! Pauses between attempts that may fail for long.

use std::time::Duration;

/// Pause after the first failure.
const FIRST_PAUSE: Duration = Duration::from_millis(250);
/// Longest pause between two attempts.
const LONGEST_PAUSE: Duration = Duration::from_secs(15);

/// The next pause; doubles each time, with a random part, so that nodes which
/// failed together do not try again together.
pub struct RetryPause(Duration);

impl RetryPause {
    /// Before the first failure.
    pub fn new() -> Self {
        Self(FIRST_PAUSE)
    }

    /// Sleeps after a failure.
    pub async fn sleep(&mut self) {
        tokio::time::sleep(self.0.mul_f64(rand::random_range(0.5..1.0))).await;
        self.0 = (self.0 * 2).min(LONGEST_PAUSE);
    }
}
