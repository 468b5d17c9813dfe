//! Monotonic time for the state machines.

use std::ops::{Add, Sub};
use std::time::Duration;

/// A point in time on the process's monotonic clock, in nanoseconds since an arbitrary
/// start. Unlike the time of day it never jumps.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Hash)]
pub struct Moment(u64);

impl Moment {
    /// Returns the moment that is `elapsed` after the start of the clock.
    pub const fn from_start(elapsed: Duration) -> Self {
        Moment(elapsed.as_nanos() as u64)
    }

    /// Returns the time from `earlier` to this moment; zero if `earlier` is later.
    pub fn since(self, earlier: Moment) -> Duration {
        Duration::from_nanos(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Moment {
    type Output = Moment;

    fn add(self, duration: Duration) -> Moment {
        Moment(self.0.saturating_add(duration.as_nanos() as u64))
    }
}

impl Sub<Duration> for Moment {
    type Output = Moment;

    fn sub(self, duration: Duration) -> Moment {
        Moment(self.0.saturating_sub(duration.as_nanos() as u64))
    }
}
