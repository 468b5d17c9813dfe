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

/// Streams whose longest pause is kept: one of them is a share small enough to compare
/// replicas by.
const PAUSES_KEPT: usize = 64;

/// What the requests to a service usually are, learned from a node's own.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct UsualRun {
    works: f64,
    tokens: f64,
    output_tokens: f64,
    runs: f64,
    held_s: f64,
    /// Longest pauses of the last streams, in seconds at a replica of the usual speed; the
    /// next one goes to `next_pause`.
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

    /// The longest pause of a stream at a replica of this speed.
    pub(crate) fn note_pause(&mut self, longest: Duration, speed: f64) {
        let pause_s = longest.as_secs_f64() * speed;
        if self.pauses_s.len() < PAUSES_KEPT {
            self.pauses_s.push(pause_s);
            return;
        }
        self.pauses_s[self.next_pause] = pause_s;
        self.next_pause = (self.next_pause + 1) % PAUSES_KEPT;
    }

    /// Part of the streams that would pause for longer at a replica of this speed.
    pub fn part_pausing(&self, longest: Duration, speed: f64) -> f64 {
        let longest_s = longest.as_secs_f64() * speed;
        let over = self.pauses_s.iter().filter(|pause_s| **pause_s > longest_s);
        over.count() as f64 / self.pauses_s.len().max(1) as f64
    }

    /// Tokens that one writes, in the mean; zero while none is known.
    pub fn output_tokens(&self) -> f64 {
        self.output_tokens
    }

    /// A request held its place for so long at a replica of this speed.
    pub(crate) fn note_held(&mut self, held: Duration, speed: f64) {
        self.runs = (self.runs + 1.0).min(1.0 / NEWEST_PART);
        approach(&mut self.held_s, self.runs, held.as_secs_f64() * speed);
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
fn approach(mean: &mut f64, seen: f64, value: f64) {
    *mean += (value - *mean) / seen;
}
