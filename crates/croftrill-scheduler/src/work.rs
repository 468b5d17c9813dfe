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
const NEWEST_PART: f64 = 1.0 / 32.0;

/// Number of streams whose longest pause is retained. One stream is then a fraction small
/// enough to compare replicas.
const PAUSES_KEPT: usize = 64;

/// Profile of the requests to a service, learned from the requests that this node sends.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct UsualRun {
    works: f64,
    tokens: f64,
    output_tokens: f64,
    runs: f64,
    held_s: f64,
    /// Ring buffer of the longest pauses of the latest streams, in seconds scaled to a
    /// replica of the usual speed. The next one is written at `next_pause`.
    pauses_s: Vec<f64>,
    next_pause: usize,
}

impl UsualRun {
    pub(crate) fn note_work(&mut self, work: RequestWork) {
        let tokens = (work.prompt_tokens + work.output_tokens) as f64;
        self.works = (self.works + 1.0).min(1.0 / NEWEST_PART);
        approach(&mut self.tokens, self.works, tokens);
        approach(&mut self.output_tokens, self.works, work.output_tokens as f64);
    }

    /// Records the longest pause of a stream at a replica of this speed.
    pub(crate) fn note_pause(&mut self, longest: Duration, speed: f64) {
        let pause_s = longest.as_secs_f64() * speed;
        if self.pauses_s.len() < PAUSES_KEPT {
            self.pauses_s.push(pause_s);
            return;
        }
        self.pauses_s[self.next_pause] = pause_s;
        self.next_pause = (self.next_pause + 1) % PAUSES_KEPT;
    }

    /// Returns the fraction of streams that would pause for longer than this at a replica of
    /// this speed.
    pub fn part_pausing(&self, longest: Duration, speed: f64) -> f64 {
        let longest_s = longest.as_secs_f64() * speed;
        let over = self.pauses_s.iter().filter(|pause_s| **pause_s > longest_s);
        over.count() as f64 / self.pauses_s.len().max(1) as f64
    }

    /// Returns the mean number of output tokens of a request; zero without a sample.
    pub fn output_tokens(&self) -> f64 {
        self.output_tokens
    }

    /// Records how long a request occupied its slot at a replica of this speed.
    pub(crate) fn note_held(&mut self, held: Duration, speed: f64) {
        self.runs = (self.runs + 1.0).min(1.0 / NEWEST_PART);
        approach(&mut self.held_s, self.runs, held.as_secs_f64() * speed);
    }

    /// Returns the mean number of prompt and output tokens of a request; zero without a
    /// sample.
    pub fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Returns the mean time for which a request occupies its slot at a replica of the usual
    /// speed, if known.
    pub fn held(&self) -> Option<Duration> {
        (self.runs > 0.0).then(|| Duration::from_secs_f64(self.held_s))
    }
}

/// Updates a mean: arithmetic while `seen` grows, exponentially weighted once it is constant.
fn approach(mean: &mut f64, seen: f64, value: f64) {
    *mean += (value - *mean) / seen;
}
