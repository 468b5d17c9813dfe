//! What a request can expect at one replica: when it would begin and end there, and how
//! full the replica is, as far as is known.

use std::time::Duration;

use crate::replica_table::ReplicaEntry;
use crate::time::Moment;
use crate::work::{RequestWork, UsualRun};

/// Time to read one token of a prompt at the usual speed.
pub const TIME_PER_PROMPT_TOKEN: Duration = Duration::from_micros(30);
/// Time to write one token at the usual speed, with the others of a batch.
pub const TIME_PER_OUTPUT_TOKEN: Duration = Duration::from_micros(6500);

/// Longer times count as this: no caller waits for as long, and they can still be added.
const LONGEST_EXPECTED: Duration = Duration::from_secs(24 * 3600);

/// What a request can expect at one replica.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Outlook {
    /// Expected time to the first event.
    pub first_event_after: Duration,
    /// Expected time to the end of the answer.
    pub ends_after: Duration,
    /// Requests believed to be there, running and waiting.
    pub requests: f64,
    /// Requests that it runs at the same time.
    pub slots: f64,
    /// True if its memory does not hold one more such request.
    pub is_overfilled: bool,
    /// Chance that no pause of the answer is too long, by the service's last streams.
    pub steady_chance: f64,
}

impl Outlook {
    /// True if the request would wait there, or take the place of another.
    pub fn is_full(&self) -> bool {
        self.is_overfilled || self.free_slots() < 1.0
    }

    /// Places that are free; below zero: requests that wait for one.
    pub fn free_slots(&self) -> f64 {
        self.slots - self.requests
    }

    /// Part of its places that is taken; above one if requests wait.
    pub fn fill(&self) -> f64 {
        self.requests / self.slots
    }
}

/// What is asked about a replica.
#[derive(Debug, Clone, Copy)]
pub struct OutlookAsk<'a> {
    /// What the request asks of it.
    pub work: RequestWork,
    /// Tokens of the prompt that it has likely kept, and need not read.
    pub kept_tokens: u64,
    /// Tokens of prompt memory that it has; zero if not known.
    pub memory_tokens: u64,
    /// Longest pause of an answer that is in time.
    pub pause_objective: Option<Duration>,
    /// What requests to the service usually are.
    pub usual: Option<&'a UsualRun>,
}

impl OutlookAsk<'_> {
    /// What the request can expect there.
    pub fn at(&self, entry: &ReplicaEntry, now: Moment) -> Outlook {
        let work_time = 1.0 / entry.capacity.speed();
        let work_time_now = 1.0 / entry.capacity.speed_now(now);
        let (requests, slots) = (entry.running_load(now), f64::from(entry.slots()));
        let queue = (requests + 1.0 - slots).max(0.0);
        let wait = times(self.run_time(), work_time * queue / slots);
        let unread = entry.own_tokens() + self.work.prompt_tokens.saturating_sub(self.kept_tokens);
        let reading = times(TIME_PER_PROMPT_TOKEN, work_time_now * unread as f64);
        let first_event_after = wait + reading + times(TIME_PER_OUTPUT_TOKEN, work_time_now);
        let writing = times(TIME_PER_OUTPUT_TOKEN, work_time * self.work.output_tokens as f64);
        let usual_tokens = self.usual.map_or(0.0, UsualRun::tokens);
        let tokens = requests * usual_tokens + self.own_tokens();
        Outlook {
            first_event_after,
            ends_after: first_event_after + writing,
            requests,
            slots,
            is_overfilled: self.memory_tokens > 0 && tokens > self.memory_tokens as f64,
            steady_chance: self.steady_chance(entry.capacity.speed()),
        }
    }

    /// The longer an answer, the more often it can be held up; less than in proportion, as
    /// what holds it up lasts.
    fn steady_chance(&self, speed: f64) -> f64 {
        let (Some(longest), Some(usual)) = (self.pause_objective, self.usual) else {
            return 1.0;
        };
        let steady = 1.0 - usual.part_pausing(longest, speed);
        let length = self.work.output_tokens as f64 / usual.output_tokens().max(1.0);
        steady.powf(length.sqrt())
    }

    /// Time for which a request holds a place at the usual speed.
    fn run_time(&self) -> Duration {
        let own = times(TIME_PER_OUTPUT_TOKEN, self.work.output_tokens as f64);
        self.usual.and_then(UsualRun::held).unwrap_or(own)
    }

    fn own_tokens(&self) -> f64 {
        (self.work.prompt_tokens + self.work.output_tokens) as f64
    }
}

/// The product, bounded: replicas tell any number as their load and work time.
fn times(time: Duration, factor: f64) -> Duration {
    let product = Duration::try_from_secs_f64(time.as_secs_f64() * factor);
    product.map_or(LONGEST_EXPECTED, |product| product.min(LONGEST_EXPECTED))
}
