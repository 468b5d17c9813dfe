//! Time as the state machines see it: milliseconds on one process's monotonic
//! clock. Values of two processes are never compared; messages carry durations.

use std::ops::{Add, Sub};

/// A reading of the local monotonic clock, in milliseconds since some origin.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Instant(pub u64);

impl Instant {
    /// Milliseconds from `earlier` to `self`, 0 if `earlier` is later.
    pub fn millis_since(self, earlier: Instant) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

impl Add<u64> for Instant {
    type Output = Instant;

    fn add(self, millis: u64) -> Instant {
        Instant(self.0.saturating_add(millis))
    }
}

impl Sub<u64> for Instant {
    type Output = Instant;

    fn sub(self, millis: u64) -> Instant {
        Instant(self.0.saturating_sub(millis))
    }
}
