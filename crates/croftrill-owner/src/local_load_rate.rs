//! The rate of loads while no coordinator can be reached: one at a time on this
//! node, with growing pauses, since every node without a coordinator reads from
//! the same weight store.

use croftrill_state::Instant;

/// Admits loads without a coordinator.
#[derive(Debug)]
pub(crate) struct LocalLoadRate {
    first_spacing_millis: u64,
    max_spacing_millis: u64,
    spacing_millis: u64,
    next_at: Instant,
    loading: bool,
}

impl LocalLoadRate {
    /// A rate that admits one load at once.
    pub(crate) fn new(first_spacing_millis: u64, max_spacing_millis: u64) -> Self {
        Self {
            first_spacing_millis,
            max_spacing_millis,
            spacing_millis: first_spacing_millis,
            next_at: Instant(0),
            loading: false,
        }
    }

    /// Starts a load, or tells when to ask again in milliseconds.
    pub(crate) fn try_start(&mut self, now: Instant) -> Result<(), u64> {
        if self.loading {
            return Err(self.first_spacing_millis);
        }
        if now < self.next_at {
            return Err(self.next_at.millis_since(now));
        }
        self.loading = true;
        Ok(())
    }

    /// Ends a load that `try_start` admitted.
    pub(crate) fn ended(&mut self, now: Instant) {
        self.loading = false;
        self.next_at = now + self.spacing_millis;
        self.spacing_millis = (self.spacing_millis * 2).min(self.max_spacing_millis);
    }

    /// A coordinator answered: the pauses start small again.
    pub(crate) fn coordinator_answered(&mut self) {
        self.spacing_millis = self.first_spacing_millis;
    }
}
