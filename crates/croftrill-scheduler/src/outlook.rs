//! Estimates of how a request would fare at one replica: the time to its first event and to
//! its end, and how full the replica is.

use std::time::Duration;

use crate::replica_table::ReplicaEntry;
use crate::time::Moment;
use crate::work::{RequestWork, UsualRun};

/// Time to read one prompt token at the usual speed.
pub const TIME_PER_PROMPT_TOKEN: Duration = Duration::from_micros(30);
/// Time to write one token at the usual speed, within a batch.
pub const TIME_PER_OUTPUT_TOKEN: Duration = Duration::from_micros(6500);

/// Cap for estimated times: no caller waits for as long, and sums of them do not overflow.
const LONGEST_EXPECTED: Duration = Duration::from_secs(24 * 3600);

/// The estimate for one request at one replica.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Outlook {
    /// Expected time to the first event.
    pub first_event_after: Duration,
    /// Expected time to the end of the answer.
    pub ends_after: Duration,
    /// Estimated number of requests at the replica, running and waiting.
    pub requests: f64,
    /// Requests that the replica runs concurrently.
    pub slots: f64,
    /// True if the KV cache has no space for the request beside the present ones.
    pub is_overfilled: bool,
    /// Probability that no pause of the answer is too long, based on recent streams of the
    /// service.
    pub steady_chance: f64,
}

impl Outlook {
    /// Returns true if the request would have to wait, or would preempt another.
    pub fn is_full(&self) -> bool {
        self.is_overfilled || self.free_slots() < 1.0
    }

    /// Returns the number of free slots; negative if requests wait for one.
    pub fn free_slots(&self) -> f64 {
        self.slots - self.requests
    }

    /// Returns the fraction of the slots that is taken; above one if requests wait.
    pub fn fill(&self) -> f64 {
        self.requests / self.slots
    }
}

/// The inputs of an estimate besides the replica.
#[derive(Debug, Clone, Copy)]
pub struct OutlookAsk<'a> {
    /// Expected work of the request.
    pub work: RequestWork,
    /// Prompt tokens that are likely in the replica's KV cache and need not be read.
    pub kept_tokens: u64,
    /// Size of the replica's KV cache in tokens; zero if unknown.
    pub memory_tokens: u64,
    /// Maximum pause between two events of an answer that is in time.
    pub pause_objective: Option<Duration>,
    /// Profile of the service's requests, if known.
    pub usual: Option<&'a UsualRun>,
}

impl OutlookAsk<'_> {
    /// Estimates the request at a replica.
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

    /// Returns the probability that no pause of the answer is too long. It falls with the
    /// length of the answer, but less than proportionally, since a disturbance of the replica
    /// lasts and causes several pauses.
    fn steady_chance(&self, speed: f64) -> f64 {
        let (Some(longest), Some(usual)) = (self.pause_objective, self.usual) else {
            return 1.0;
        };
        let steady = 1.0 - usual.part_pausing(longest, speed);
        let length = self.work.output_tokens as f64 / usual.output_tokens().max(1.0);
        steady.powf(length.sqrt())
    }

    /// Returns the time for which a request occupies a slot at the usual speed.
    fn run_time(&self) -> Duration {
        let own = times(TIME_PER_OUTPUT_TOKEN, self.work.output_tokens as f64);
        self.usual.and_then(UsualRun::held).unwrap_or(own)
    }

    fn own_tokens(&self) -> f64 {
        (self.work.prompt_tokens + self.work.output_tokens) as f64
    }
}

/// Returns the product, capped: replicas may report any number as load or work time.
fn times(time: Duration, factor: f64) -> Duration {
    let product = Duration::try_from_secs_f64(time.as_secs_f64() * factor);
    product.map_or(LONGEST_EXPECTED, |product| product.min(LONGEST_EXPECTED))
}
