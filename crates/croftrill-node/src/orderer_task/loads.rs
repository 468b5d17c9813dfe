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
const BYTES_PER_S: u32 = 1500;
/// Minimum time between two messages.
const TELL_EVERY: Duration = Duration::from_millis(150);
/// Minimum time between two log lines about samples.
const LOG_EVERY: Duration = Duration::from_secs(1);
/// Number of messages by which a slow listener may lag before it misses the oldest.
const BACKLOG: usize = 4;

/// The loads of a shard's replicas, and the subscribers to them.
pub(super) struct ShardLoads {
    telling: LoadPublisher,
    listeners: broadcast::Sender<Bytes>,
    told_at: Moment,
    /// Counts since the last log line.
    told: ToldCounts,
}

#[derive(Debug, Default)]
struct ToldCounts {
    accounts: usize,
    left_out: usize,
    since: Moment,
}

impl ShardLoads {
    pub(super) fn new(now: Moment) -> Self {
        let config = PublisherConfig {
            bytes_per_s: BYTES_PER_S / SHARD_COUNT as u32,
            sample_bytes: WIRE_LOAD_BYTES,
        };
        ShardLoads {
            telling: LoadPublisher::new(config, now),
            listeners: broadcast::channel(BACKLOG).0,
            told_at: now,
            told: ToldCounts::default(),
        }
    }

    /// Returns the sender at which subscribers receive the messages.
    pub(super) fn listeners(&self) -> broadcast::Sender<Bytes> {
        self.listeners.clone()
    }

    /// Applies samples from nodes.
    pub(super) fn hear<P: Platform>(
        &mut self,
        node: &Node<P>,
        shard: Shard,
        orderer: &mut Orderer,
        accounts: &[LoadSample],
    ) {
        let now = node.clock.now();
        for (id, account) in load_updates::apply_samples(node, accounts, "node") {
            if Shard::of_replica(&id) != shard {
                continue;
            }
            orderer.record_load(&id, account.load, account.at);
            if self.telling.record(account, now) == SampleOutcome::Dropped {
                load_updates::count_dropped(node, "node", 1);
            }
        }
    }

    /// Publishes the samples that are due.
    pub(super) fn tell<P: Platform>(&mut self, node: &Node<P>, now: Moment) {
        if self.telling.is_empty() || now.since(self.told_at) < TELL_EVERY {
            return;
        }
        self.told_at = now;
        let due = self.telling.take_due(now);
        let count = |outcome, count: usize| {
            Metrics::count_many(&node.metrics.load_news, "orderer", outcome, count as u64);
        };
        count("told", due.samples.len());
        count("left out", due.deferred);
        self.told.add(due.samples.len(), due.deferred, now);
        if due.samples.is_empty() {
            return;
        }
        load_updates::queue_for_followers(node, &due.samples, now);
        let message = FromOrderer::Loads(WireLoads::from_accounts(&due.samples, now)).encode();
        // Sending fails only while there are no subscribers.
        let _ = self.listeners.send(message);
    }
}

impl ToldCounts {
    fn add(&mut self, accounts: usize, left_out: usize, now: Moment) {
        self.accounts += accounts;
        self.left_out += left_out;
        if now.since(self.since) >= LOG_EVERY {
            tracing::debug!(target: "load news", event = "samples published", accounts = self.accounts,
                left_out = self.left_out);
            *self = ToldCounts {
                since: now,
                ..ToldCounts::default()
            };
        }
    }
}
