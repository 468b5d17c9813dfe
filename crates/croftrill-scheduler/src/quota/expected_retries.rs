//! Tracks refused requests that may be retried.

use std::time::Duration;

/// Time after the announced retry for which the retry is still expected.
const RETRY_GRACE: Duration = Duration::from_millis(100);
/// Number of steps of [`ExpectedRetries`]. The last step starts at 256 ms, and nothing is granted
/// ahead for more than twice that. The limits of consecutive ranks differ by at least a factor of
/// two, so ranks fall into different steps.
const STEP_COUNT: usize = 10;

/// Refused requests that may be retried, grouped by how far ahead they may be granted: those
/// granted further ahead take precedence. Each step tracks its costliest request until its retry
/// is overdue.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ExpectedRetries {
    /// Cost of the costliest request of each step, and how long it is still expected.
    steps: [Option<(f64, Duration)>; STEP_COUNT],
}

impl ExpectedRetries {
    /// Returns the step of requests that are granted this far ahead. Each step is twice as long
    /// as the one before.
    fn step(ahead: Duration) -> usize {
        let millis = ahead.as_millis() as u64;
        (u64::BITS - millis.leading_zeros()).min(STEP_COUNT as u32 - 1) as usize
    }

    /// Records the refusal of a request that may be granted this far ahead, and is retried after
    /// `retry_after`.
    pub(super) fn record(&mut self, ahead: Duration, cost: f64, retry_after: Duration) {
        let step = &mut self.steps[Self::step(ahead)];
        let known = step.map_or(0.0, |(cost, _)| cost);
        *step = Some((cost.max(known), retry_after + RETRY_GRACE));
    }

    /// Advances the time.
    pub(super) fn advance(&mut self, elapsed: Duration) {
        for step in &mut self.steps {
            *step = step.and_then(|(cost, left)| Some((cost, left.checked_sub(elapsed)?)));
        }
    }

    /// Returns the maximum cost of the requests that take precedence over one granted this far
    /// ahead.
    pub(super) fn max_cost_before(&self, ahead: Duration) -> f64 {
        let before = &self.steps[Self::step(ahead) + 1..];
        before.iter().flatten().map(|(cost, _)| *cost).fold(0.0, f64::max)
    }
}
