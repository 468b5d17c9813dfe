//! Random numbers of the coordination parts, from one seed.

use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// A seeded generator that the parts of a node share.
pub(crate) struct RandomSource {
    generator: Mutex<SmallRng>,
}

impl RandomSource {
    pub(super) fn new(seed: u64) -> Self {
        Self {
            generator: Mutex::new(SmallRng::seed_from_u64(seed)),
        }
    }

    /// A number that no other attempt has, as far as chance allows.
    pub(crate) fn unique(&self) -> u64 {
        self.generator().random()
    }

    /// A duration from half to all of `millis`.
    pub(crate) fn jittered(&self, millis: u64) -> Duration {
        Duration::from_millis(self.generator().random_range(millis / 2..=millis))
    }

    pub(crate) fn shuffle<T>(&self, items: &mut [T]) {
        items.shuffle(&mut *self.generator());
    }

    fn generator(&self) -> MutexGuard<'_, SmallRng> {
        self.generator.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
