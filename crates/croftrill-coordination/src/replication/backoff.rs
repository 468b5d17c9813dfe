//! Pauses between attempts.

use super::random_source::RandomSource;

/// Pauses that double, each drawn at random from half to all of its length.
pub(crate) struct Backoff {
    first: u64,
    longest: u64,
    next: u64,
}

impl Backoff {
    /// Pauses from `first` to `longest` milliseconds.
    pub(crate) fn new(first: u64, longest: u64) -> Self {
        Self {
            first,
            longest,
            next: first,
        }
    }

    pub(crate) async fn pause(&mut self, random: &RandomSource) {
        let pause = random.jittered(self.next);
        self.next = (self.next * 2).min(self.longest);
        tokio::time::sleep(pause).await;
    }

    pub(crate) fn reset(&mut self) {
        self.next = self.first;
    }
}
