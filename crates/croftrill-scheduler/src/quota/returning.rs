//! Requests that were refused and may ask again.

use std::time::Duration;

/// Time beyond what a request was told to come back after, for which it is still expected.
const LATE_RETURN: Duration = Duration::from_millis(100);
/// Steps of [`Returning`]: the last is from 256 ms on, and nothing is granted ahead for more
/// than twice that. Limits of ranks halve at least, so that ranks differ by a step.
const REACH_STEPS: usize = 10;

/// Requests that were refused and may ask again, by how far ahead they may be granted: what
/// goes further comes before. Of each step the costliest counts, until it was told to come.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Returning {
    /// The costliest of each step, and the time for which it is still expected.
    steps: [Option<(f64, Duration)>; REACH_STEPS],
}

impl Returning {
    /// Step of requests that are granted so far ahead: each is twice the one before.
    fn step(ahead: Duration) -> usize {
        let millis = ahead.as_millis() as u64;
        (u64::BITS - millis.leading_zeros()).min(REACH_STEPS as u32 - 1) as usize
    }

    /// A request that may be granted so far ahead was refused, and told to come back after
    /// this time.
    pub(super) fn note(&mut self, ahead: Duration, cost: f64, again_after: Duration) {
        let step = &mut self.steps[Self::step(ahead)];
        let known = step.map_or(0.0, |(cost, _)| cost);
        *step = Some((cost.max(known), again_after + LATE_RETURN));
    }

    /// Time passed.
    pub(super) fn pass(&mut self, elapsed: Duration) {
        for step in &mut self.steps {
            *step = step.and_then(|(cost, left)| Some((cost, left.checked_sub(elapsed)?)));
        }
    }

    /// Cost of the costliest that comes before a request that is granted so far ahead.
    pub(super) fn most_before(&self, ahead: Duration) -> f64 {
        let before = &self.steps[Self::step(ahead) + 1..];
        before.iter().flatten().map(|(cost, _)| *cost).fold(0.0, f64::max)
    }
}
