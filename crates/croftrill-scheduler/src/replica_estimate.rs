//! Estimates of how a request would fare at one replica: the time to its first event and to
//! its end, and how full the replica is.

use std::time::Duration;

use crate::replica_table::ReplicaEntry;
use crate::time::Moment;
use crate::work::{RequestProfile, RequestWork};

/// Time to read one prompt token at the usual speed.
pub const TIME_PER_PROMPT_TOKEN: Duration = Duration::from_micros(30);
/// Time to write one token at the usual speed, within a batch.
pub const TIME_PER_OUTPUT_TOKEN: Duration = Duration::from_micros(6500);

/// Cap for estimated times: no caller waits for as long, and sums of them do not overflow.
const MAX_ESTIMATE: Duration = Duration::from_secs(24 * 3600);

/// Returns the time to read a request's prompt at the usual speed.
pub fn reading_time(work: RequestWork) -> Duration {
    capped_product(TIME_PER_PROMPT_TOKEN, work.prompt_tokens as f64)
}

/// Returns the expected time from the start of a request's run to its end: as long as requests of its
/// service usually run, in proportion to its output; before the first one is known, by its tokens.
pub fn run_time(work: RequestWork, profile: Option<&RequestProfile>) -> Duration {
    let usual = profile.and_then(|profile| Some((profile.slot_time()?, profile.output_tokens())));
    let Some((run, usual_tokens)) = usual else {
        let writing = capped_product(TIME_PER_OUTPUT_TOKEN, work.output_tokens as f64);
        return reading_time(work) + writing;
    };
    if work.output_tokens == 0 || usual_tokens == 0.0 {
        return run;
    }
    capped_product(run, work.output_tokens as f64 / usual_tokens)
}

/// The estimate for one request at one replica.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReplicaEstimate {
    /// Expected time to the first event.
    pub first_event_after: Duration,
    /// Expected time to the end of the answer.
    pub ends_after: Duration,
    /// Estimated number of requests at the replica, running and waiting.
    pub requests: f64,
    /// Requests that the replica runs concurrently.
    pub slots: f64,
    /// True if the KV cache has no space for the request beside the present ones.
    pub exceeds_kv_cache: bool,
    /// Probability that no pause of the answer is too long, based on recent streams of the
    /// service.
    pub stall_free_probability: f64,
}

impl ReplicaEstimate {
    /// Returns true if the request would have to wait, or would preempt another.
    pub fn is_full(&self) -> bool {
        self.exceeds_kv_cache || self.free_slots() < 1.0
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
pub struct EstimateInput<'a> {
    /// Expected work of the request.
    pub work: RequestWork,
    /// Prompt tokens that are likely in the replica's KV cache and need not be read.
    pub cached_tokens: u64,
    /// Size of the replica's KV cache in tokens; zero if unknown.
    pub kv_cache_tokens: u64,
    /// Maximum pause between two events of an answer that is in time.
    pub pause_objective: Option<Duration>,
    /// Profile of the service's requests, if known.
    pub profile: Option<&'a RequestProfile>,
}

impl EstimateInput<'_> {
    /// Estimates the request at a replica.
    pub fn estimate(&self, entry: &ReplicaEntry, now: Moment) -> ReplicaEstimate {
        let work_time = 1.0 / entry.capacity.speed();
        let work_time_now = 1.0 / entry.capacity.speed_now(now);
        let (requests, slots) = (entry.running_load(now), f64::from(entry.slots()));
        let queue = (requests + 1.0 - slots).max(0.0);
        let wait = capped_product(self.slot_time(), work_time * queue / slots);
        let unread = entry.own_tokens() + self.work.prompt_tokens.saturating_sub(self.cached_tokens);
        let reading = capped_product(TIME_PER_PROMPT_TOKEN, work_time_now * unread as f64);
        let first_event_after = wait + reading + capped_product(TIME_PER_OUTPUT_TOKEN, work_time_now);
        let writing = capped_product(TIME_PER_OUTPUT_TOKEN, work_time * self.work.output_tokens as f64);
        let mean_tokens = self.profile.map_or(0.0, RequestProfile::tokens);
        let tokens = requests * mean_tokens + self.own_tokens();
        ReplicaEstimate {
            first_event_after,
            ends_after: first_event_after + writing,
            requests,
            slots,
            exceeds_kv_cache: self.kv_cache_tokens > 0 && tokens > self.kv_cache_tokens as f64,
            stall_free_probability: self.stall_free_probability(entry.capacity.speed()),
        }
    }

    /// Returns the probability that no pause of the answer is too long. It falls with the
    /// length of the answer, but less than proportionally, since a disturbance of the replica
    /// lasts and causes several pauses.
    fn stall_free_probability(&self, speed: f64) -> f64 {
        let (Some(max_pause), Some(profile)) = (self.pause_objective, self.profile) else {
            return 1.0;
        };
        let stall_free = 1.0 - profile.stalled_fraction(max_pause, speed);
        let length = self.work.output_tokens as f64 / profile.output_tokens().max(1.0);
        stall_free.powf(length.sqrt())
    }

    /// Returns the time for which a request occupies a slot at the usual speed.
    fn slot_time(&self) -> Duration {
        let own = capped_product(TIME_PER_OUTPUT_TOKEN, self.work.output_tokens as f64);
        self.profile.and_then(RequestProfile::slot_time).unwrap_or(own)
    }

    fn own_tokens(&self) -> f64 {
        (self.work.prompt_tokens + self.work.output_tokens) as f64
    }
}

/// Returns the product, capped: replicas may report any number as load or work time.
fn capped_product(time: Duration, factor: f64) -> Duration {
    let product = Duration::try_from_secs_f64(time.as_secs_f64() * factor);
    product.map_or(MAX_ESTIMATE, |product| product.min(MAX_ESTIMATE))
}
