//! A token bucket.

use std::time::Instant;

/// Milliseconds in a second.
const MILLIS_PER_SECOND: f64 = 1000.0;

/// Lets through `rate_per_second` calls, and a burst of `burst` at once.
#[derive(Debug)]
pub(crate) struct RateLimit {
    rate_per_second: f64,
    burst: f64,
    tokens: f64,
    filled_at: Instant,
}

impl RateLimit {
    /// A full bucket; a rate of 0 lets everything through.
    pub(crate) fn new(rate_per_second: f64, burst: f64) -> Self {
        Self {
            rate_per_second,
            burst,
            tokens: burst,
            filled_at: Instant::now(),
        }
    }

    /// Takes one token, or tells in how many milliseconds there will be one.
    pub(crate) fn take(&mut self) -> Result<(), u64> {
        if self.rate_per_second <= 0.0 {
            return Ok(());
        }
        let now = Instant::now();
        let gained = now.duration_since(self.filled_at).as_secs_f64() * self.rate_per_second;
        self.tokens = (self.tokens + gained).min(self.burst);
        self.filled_at = now;
        if self.tokens < 1.0 {
            let wait = (1.0 - self.tokens) / self.rate_per_second * MILLIS_PER_SECOND;
            return Err(wait.ceil() as u64);
        }
        self.tokens -= 1.0;
        Ok(())
    }
}
