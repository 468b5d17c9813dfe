//! The process's steady clock.

use std::time::{Duration, Instant};

use croftrill_scheduler::time::Moment;

/// Gives moments of the steady clock, counted from its creation.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// A clock that starts well after zero, so that earlier moments can be told.
    pub fn start() -> Self {
        Clock {
            start: Instant::now(),
        }
    }

    /// The present moment.
    pub fn now(&self) -> Moment {
        const EPOCH: Duration = Duration::from_secs(3600);
        Moment::from_start(EPOCH + self.start.elapsed())
    }
}
