//! The process's monotonic clock, as the state machines read it.

use croftrill_state::Instant;
use std::time::Duration;

/// Maps the runtime's clock to state-machine time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    origin: tokio::time::Instant,
}

impl Clock {
    /// A clock that starts at 0.
    pub(crate) fn start() -> Self {
        Self {
            origin: tokio::time::Instant::now(),
        }
    }

    /// The present time.
    pub(crate) fn now(&self) -> Instant {
        Instant(self.origin.elapsed().as_millis() as u64)
    }

    /// The runtime's time at a state-machine time.
    pub(crate) fn at(&self, instant: Instant) -> tokio::time::Instant {
        self.origin + Duration::from_millis(instant.0)
    }
}
