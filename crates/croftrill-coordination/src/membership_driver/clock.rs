//! The process's monotonic clock, in the unit of the state machines.

use croftrill_state::Instant;

/// Milliseconds since the clock was made. Copies agree with each other.
#[derive(Clone, Copy, Debug)]
pub struct MonotonicClock {
    origin: std::time::Instant,
}

impl MonotonicClock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self {
            origin: std::time::Instant::now(),
        }
    }

    /// The present time.
    pub fn now(&self) -> Instant {
        Instant(self.origin.elapsed().as_millis() as u64)
    }
}
