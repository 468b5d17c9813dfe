//! What a request asks of a replica, and what requests usually ask.

use std::time::Duration;

/// What a request asks of a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct RequestWork {
    /// Tokens of its prompt.
    pub prompt_tokens: u64,
    /// Tokens that it is expected to write.
    pub output_tokens: u64,
}

/// Part of a new request in what is usual.
const NEWEST_PART: f64 = 1.0 / 32.0;

/// What the requests to a service usually are, learned from a node's own.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct UsualRun {
    works: f64,
    tokens: f64,
    runs: f64,
    held_s: f64,
}

impl UsualRun {
    pub(crate) fn note_work(&mut self, work: RequestWork) {
        let tokens = (work.prompt_tokens + work.output_tokens) as f64;
        approach(&mut self.tokens, &mut self.works, tokens);
    }

    /// A request held its place for so long at a replica of this speed.
    pub(crate) fn note_held(&mut self, held: Duration, speed: f64) {
        approach(&mut self.held_s, &mut self.runs, held.as_secs_f64() * speed);
    }

    /// Tokens of one request, read and written; zero while none is known.
    pub fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Time for which one holds its place at a replica of the usual speed, if known.
    pub fn held(&self) -> Option<Duration> {
        (self.runs > 0.0).then(|| Duration::from_secs_f64(self.held_s))
    }
}

/// The plain mean of the first few, then one that forgets.
fn approach(mean: &mut f64, seen: &mut f64, value: f64) {
    *seen = (*seen + 1.0).min(1.0 / NEWEST_PART);
    *mean += (value - *mean) / *seen;
}
