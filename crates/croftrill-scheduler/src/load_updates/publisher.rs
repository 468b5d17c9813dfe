//! Selection of the load samples to publish to all nodes: those that would change decisions,
//! within a limit on bytes.

use std::collections::HashMap;
use std::time::Duration;

use super::{LoadKey, LoadSample, SampleOutcome, MAX_SAMPLED_REPLICAS, MAX_SAMPLE_AGE};
use crate::capacity::ReplicaLoad;
use crate::time::Moment;

/// Smallest change of a replica's number of requests that is published.
const MIN_REQUEST_CHANGE: u32 = 2;
/// The change must also exceed the replica's slots divided by this.
const SLOT_DIVISOR: u32 = 10;
/// A change of work time is published if it exceeds the published work time divided by this.
const WORK_TIME_DIVISOR: u32 = 5;
/// Time after which the load of a replica with requests is published again, changed or not.
/// Shorter than the time in which a sample decays, as the replica would otherwise be assumed to
/// have fewer requests than it has.
const REPUBLISH_INTERVAL: Duration = Duration::from_millis(500);
/// Time for which unused bytes accumulate.
const BURST_DURATION: Duration = Duration::from_millis(500);

/// Limits on published samples.
#[derive(Debug, Clone, Copy)]
pub struct PublisherConfig {
    /// Bytes of samples per second, for each receiver.
    pub bytes_per_s: u32,
    /// Maximum size of an encoded sample.
    pub sample_bytes: u32,
}

/// The newest sample of a replica and the last published one.
#[derive(Debug, Clone, Copy)]
struct ReplicaSamples {
    newest: LoadSample,
    /// The last published sample, and when it was published.
    published: Option<(LoadSample, Moment)>,
}

impl ReplicaSamples {
    fn is_due(&self, now: Moment) -> bool {
        if now.since(self.newest.at) >= MAX_SAMPLE_AGE {
            return false;
        }
        let Some((published, published_at)) = self.published else {
            return true;
        };
        let load = self.newest.load;
        let is_newer = self.newest.at > published.at;
        let is_republish_due = load.requests() > 0 && now.since(published_at) >= REPUBLISH_INTERVAL;
        is_newer && (is_republish_due || differs(published.load, load))
    }
}

/// Returns whether the load changed so much that other nodes would decide differently.
fn differs(published: ReplicaLoad, load: ReplicaLoad) -> bool {
    let change = published.requests().abs_diff(load.requests());
    let exceeds_slot_share = change.saturating_mul(SLOT_DIVISOR) > load.slots.unwrap_or(0);
    let requests_differ = change >= MIN_REQUEST_CHANGE && exceeds_slot_share;
    let work_time_differs = match (published.work_time_pct, load.work_time_pct) {
        (Some(published), Some(now)) => published.abs_diff(now).saturating_mul(WORK_TIME_DIVISOR) > published,
        (published, now) => published != now,
    };
    requests_differ || work_time_differs || is_full(published) != is_full(load)
}

fn is_full(load: ReplicaLoad) -> bool {
    load.waiting > 0 || load.slots.is_some_and(|slots| load.running >= slots)
}

/// Newest and published samples of replicas.
#[derive(Debug)]
pub struct LoadPublisher {
    config: PublisherConfig,
    replicas: HashMap<LoadKey, ReplicaSamples>,
    /// Bytes that may be published now.
    allowance: f64,
    refilled_at: Moment,
}

/// The samples to publish now.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Due {
    /// Samples to publish.
    pub samples: Vec<LoadSample>,
    /// Number of samples that have to wait.
    pub deferred: usize,
}

impl LoadPublisher {
    /// Creates a publisher without samples.
    pub fn new(config: PublisherConfig, now: Moment) -> Self {
        LoadPublisher {
            config,
            replicas: HashMap::new(),
            allowance: 0.0,
            refilled_at: now,
        }
    }

    /// Records a sample.
    pub fn record(&mut self, sample: LoadSample, now: Moment) -> SampleOutcome {
        if now.since(sample.at) >= MAX_SAMPLE_AGE {
            return SampleOutcome::Outdated;
        }
        let is_full = self.replicas.len() >= MAX_SAMPLED_REPLICAS;
        match self.replicas.get_mut(&sample.key) {
            Some(known) if known.newest.at >= sample.at => SampleOutcome::Outdated,
            Some(known) => {
                known.newest = sample;
                SampleOutcome::Stored
            }
            None if is_full => SampleOutcome::Dropped,
            None => {
                let known = ReplicaSamples {
                    newest: sample,
                    published: None,
                };
                self.replicas.insert(sample.key, known);
                SampleOutcome::Stored
            }
        }
    }

    /// Returns the number of replicas of which a sample is stored.
    pub fn len(&self) -> usize {
        self.replicas.len()
    }

    /// Returns whether no sample is stored.
    pub fn is_empty(&self) -> bool {
        self.replicas.is_empty()
    }

    /// Returns the samples to publish now, least recently published replicas first.
    pub fn take_due(&mut self, now: Moment) -> Due {
        self.refill(now);
        self.replicas
            .retain(|_, known| now.since(known.newest.at) < MAX_SAMPLE_AGE);
        let due = self.replicas.values_mut().filter(|known| known.is_due(now));
        let mut due: Vec<&mut ReplicaSamples> = due.collect();
        due.sort_by_key(|known| (known.published.map(|(_, at)| at), known.newest.key));
        let sample_bytes = f64::from(self.config.sample_bytes);
        let affordable = (self.allowance / sample_bytes) as usize;
        let count = affordable.min(due.len());
        self.allowance -= count as f64 * sample_bytes;
        let samples = due.iter_mut().take(count).map(|known| {
            known.published = Some((known.newest, now));
            known.newest
        });
        Due {
            samples: samples.collect(),
            deferred: due.len() - count,
        }
    }

    fn refill(&mut self, now: Moment) {
        let rate = f64::from(self.config.bytes_per_s);
        let earned = rate * now.since(self.refilled_at).as_secs_f64();
        self.allowance = (self.allowance + earned).min(rate * BURST_DURATION.as_secs_f64());
        self.refilled_at = self.refilled_at.max(now);
    }
}
