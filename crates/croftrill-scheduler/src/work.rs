//! The work of a request at a replica, and the typical work of a service's requests.

use std::time::Duration;

/// The work that a request causes at a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct RequestWork {
    /// Tokens of its prompt.
    pub prompt_tokens: u64,
    /// Expected number of output tokens.
    pub output_tokens: u64,
}

/// Weight of a new request in the running means.
const NEWEST_WEIGHT: f64 = 1.0 / 32.0;

/// Number of streams whose longest pause is retained. One stream is then a fraction small
/// enough to compare replicas.
const MAX_RETAINED_PAUSES: usize = 64;

/// Profile of the requests to a service, learned from the requests that this node sends.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct RequestProfile {
    work_samples: f64,
    tokens: f64,
    output_tokens: f64,
    slot_time_samples: f64,
    slot_time_s: f64,
    /// Ring buffer of the longest pauses of the latest streams, in seconds scaled to a
    /// replica of the usual speed. The next one is written at `next_pause`.
    pauses_s: Vec<f64>,
    next_pause: usize,
}

impl RequestProfile {
    pub(crate) fn record_work(&mut self, work: RequestWork) {
        let tokens = (work.prompt_tokens + work.output_tokens) as f64;
        self.work_samples = (self.work_samples + 1.0).min(1.0 / NEWEST_WEIGHT);
        update_mean(&mut self.tokens, self.work_samples, tokens);
        update_mean(
            &mut self.output_tokens,
            self.work_samples,
            work.output_tokens as f64,
        );
    }

    /// Records the longest pause of a stream at a replica of this speed.
    pub(crate) fn record_longest_pause(&mut self, longest: Duration, speed: f64) {
        let pause_s = longest.as_secs_f64() * speed;
        if self.pauses_s.len() < MAX_RETAINED_PAUSES {
            self.pauses_s.push(pause_s);
            return;
        }
        self.pauses_s[self.next_pause] = pause_s;
        self.next_pause = (self.next_pause + 1) % MAX_RETAINED_PAUSES;
    }

    /// Returns the fraction of streams that would pause for longer than this at a replica of
    /// this speed.
    pub fn stalled_fraction(&self, max_pause: Duration, speed: f64) -> f64 {
        let max_pause_s = max_pause.as_secs_f64() * speed;
        let over = self.pauses_s.iter().filter(|pause_s| **pause_s > max_pause_s);
        over.count() as f64 / self.pauses_s.len().max(1) as f64
    }

    /// Returns the mean number of output tokens of a request; zero without a sample.
    pub fn output_tokens(&self) -> f64 {
        self.output_tokens
    }

    /// Records how long a request occupied its slot at a replica of this speed.
    pub(crate) fn record_slot_time(&mut self, slot_time: Duration, speed: f64) {
        self.slot_time_samples = (self.slot_time_samples + 1.0).min(1.0 / NEWEST_WEIGHT);
        update_mean(
            &mut self.slot_time_s,
            self.slot_time_samples,
            slot_time.as_secs_f64() * speed,
        );
    }

    /// Returns the mean number of prompt and output tokens of a request; zero without a
    /// sample.
    pub fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Returns the mean time for which a request occupies its slot at a replica of the usual
    /// speed, if known.
    pub fn slot_time(&self) -> Option<Duration> {
        (self.slot_time_samples > 0.0).then(|| Duration::from_secs_f64(self.slot_time_s))
    }
}

/// Updates a mean: arithmetic while `samples` grows, exponentially weighted once it is constant.
fn update_mean(mean: &mut f64, samples: f64, value: f64) {
    *mean += (value - *mean) / samples;
}
