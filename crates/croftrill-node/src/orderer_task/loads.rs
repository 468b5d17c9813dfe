//! Publishes the loads of a shard's replicas from its orderer to all nodes.

use std::time::Duration;

use bytes::Bytes;
use croftrill_scheduler::load_updates::{LoadPublisher, LoadSample, PublisherConfig, SampleOutcome};
use croftrill_scheduler::orderer::Orderer;
use croftrill_scheduler::shard::{Shard, SHARD_COUNT};
use croftrill_scheduler::time::Moment;
use tokio::sync::broadcast;

use crate::load_updates;
use crate::metrics::Metrics;
use crate::node::Node;
use crate::peer::{FromOrderer, WireLoads, WIRE_LOAD_BYTES};
use crate::ports::Platform;

/// Bytes of samples per second that each node receives from all orderers together. With the
/// orderers' other messages this stays below a node's 2 KB for control traffic.
const MAX_BYTES_PER_S: u32 = 1500;
/// Minimum time between two messages.
const MIN_PUBLISH_INTERVAL: Duration = Duration::from_millis(150);
/// Minimum time between two log lines about samples.
const MIN_LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Number of messages by which a slow listener may lag before it misses the oldest.
const BACKLOG: usize = 4;

/// The loads of a shard's replicas, and the subscribers to them.
pub(super) struct ShardLoads {
    publisher: LoadPublisher,
    subscribers: broadcast::Sender<Bytes>,
    published_at: Moment,
    /// Counts since the last log line.
    counts: PublishedCounts,
}

#[derive(Debug, Default)]
struct PublishedCounts {
    samples: usize,
    deferred: usize,
    since: Moment,
}

impl ShardLoads {
    pub(super) fn new(now: Moment) -> Self {
        let config = PublisherConfig {
            bytes_per_s: MAX_BYTES_PER_S / SHARD_COUNT as u32,
            sample_bytes: WIRE_LOAD_BYTES,
        };
        ShardLoads {
            publisher: LoadPublisher::new(config, now),
            subscribers: broadcast::channel(BACKLOG).0,
            published_at: now,
            counts: PublishedCounts::default(),
        }
    }

    /// Returns the sender at which subscribers receive the messages.
    pub(super) fn subscribers(&self) -> broadcast::Sender<Bytes> {
        self.subscribers.clone()
    }

    /// Applies samples from nodes.
    pub(super) fn apply<P: Platform>(
        &mut self,
        node: &Node<P>,
        shard: Shard,
        orderer: &mut Orderer,
        samples: &[LoadSample],
    ) {
        let now = node.clock.now();
        for (id, sample) in load_updates::apply_samples(node, samples, "node") {
            if Shard::of_replica(&id) != shard {
                continue;
            }
            orderer.record_load(&id, sample.load, sample.at);
            if self.publisher.record(sample, now) == SampleOutcome::Dropped {
                load_updates::count_dropped(node, "node", 1);
            }
        }
    }

    /// Publishes the samples that are due.
    pub(super) fn publish_due<P: Platform>(&mut self, node: &Node<P>, now: Moment) {
        if self.publisher.is_empty() || now.since(self.published_at) < MIN_PUBLISH_INTERVAL {
            return;
        }
        self.published_at = now;
        let due = self.publisher.take_due(now);
        let count = |outcome, count: usize| {
            Metrics::count_many(&node.metrics.load_news, "orderer", outcome, count as u64);
        };
        count("told", due.samples.len());
        count("left out", due.deferred);
        self.counts.add(due.samples.len(), due.deferred, now);
        if due.samples.is_empty() {
            return;
        }
        load_updates::queue_for_followers(node, &due.samples, now);
        let message = FromOrderer::Loads(WireLoads::from_samples(&due.samples, now)).encode();
        // Sending fails only while there are no subscribers.
        let _ = self.subscribers.send(message);
    }
}

impl PublishedCounts {
    fn add(&mut self, samples: usize, deferred: usize, now: Moment) {
        self.samples += samples;
        self.deferred += deferred;
        if now.since(self.since) >= MIN_LOG_INTERVAL {
            tracing::debug!(target: "load news", event = "samples published", samples = self.samples,
                deferred = self.deferred);
            *self = PublishedCounts {
                since: now,
                ..PublishedCounts::default()
            };
        }
    }
}
