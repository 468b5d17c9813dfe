//! The gateway's monotonic clock, as the state machines take it.

use croftrill_state::Instant;

/// Counts milliseconds since it was made.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    origin: tokio::time::Instant,
}

impl Clock {
    pub fn new() -> Self {
        Self {
            origin: tokio::time::Instant::now(),
        }
    }

    /// The present time.
    pub fn now(&self) -> Instant {
        Instant(self.origin.elapsed().as_millis() as u64)
    }

    /// The runtime's reading of a time, for its timers.
    pub fn timer_instant(&self, at: Instant) -> tokio::time::Instant {
        self.origin + std::time::Duration::from_millis(at.0)
    }
}
