//! Exchange of load samples between nodes: samples that this node receives go up to the
//! orderers, and samples that the orderers publish come down, both ways over relays.
//!
//! Nothing is sent unless replicas report their work time or the node's settings say that
//! callers compete. A node subscribes by sending a message of this kind itself, which may be
//! empty. Such messages go only to nodes whose entries say that they support them.
//!
//! Samples come from a replica ([`record_answer_load`]), from a follower of this relay
//! ([`LoadFollower`]) and from orderers ([`apply_published`]). [`forward`] sends samples of the
//! first two to the orderers, and those of the orderers to the followers.
//! `orderer_task::loads` handles the samples that reach an orderer of this node.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use croftrill_scheduler::capacity::ReplicaLoad;
use croftrill_scheduler::followed_view::LinkDelay;
use croftrill_scheduler::load_updates::{LoadBuffer, LoadKey, LoadKeys, LoadSample, SampleOutcome};
use croftrill_scheduler::replica::{Incarnation, ReplicaId, StartedMs};
use croftrill_scheduler::shard::Shard;
use croftrill_scheduler::time::Moment;
use nanoserde::SerBin;
use tokio::sync::broadcast::error::RecvError;
use tokio::sync::{broadcast, Notify};
use tokio::time::sleep;

use crate::metrics::Metrics;
use crate::node::Node;
use crate::peer::{FromOrderer, ToOrderer, WireLoads};
use crate::ports::Platform;
use crate::tree::Uplink;

/// Minimum time between two messages in the same direction.
const MIN_SEND_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which a node without samples sends an empty message to stay subscribed.
const HELLO_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which replicas count as reporting their work time after the last report: several
/// times as long as a node usually goes without an answer of any replica.
const WORK_TIME_VALIDITY: Duration = Duration::from_secs(30);
/// Number of messages by which a slow follower may lag before it misses the oldest.
const BACKLOG: usize = 4;
/// Minimum time between two log lines about samples.
const MIN_LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of ages stored for such a log line.
const MAX_LOGGED_AGES: usize = 512;

/// Load samples that a node forwards.
pub struct LoadUpdates {
    /// Until when replicas count as reporting their work time.
    active_until: Cell<Moment>,
    keys: RefCell<LoadKeys>,
    /// Samples for the orderers, from answers to this node and from its followers.
    to_orderers: RefCell<LoadBuffer>,
    /// Samples for the followers, from the orderers.
    to_followers: RefCell<LoadBuffer>,
    /// When this node last sent a message to stay subscribed at the orderers.
    last_hello_at: Cell<Moment>,
    followers: broadcast::Sender<Rc<FollowerLoads>>,
    /// Notified when there are samples to send.
    pending: Notify,
    arrivals: RefCell<Arrivals>,
}

impl Default for LoadUpdates {
    fn default() -> Self {
        LoadUpdates {
            active_until: Cell::default(),
            keys: RefCell::default(),
            to_orderers: RefCell::default(),
            to_followers: RefCell::default(),
            last_hello_at: Cell::default(),
            followers: broadcast::channel(BACKLOG).0,
            pending: Notify::new(),
            arrivals: RefCell::default(),
        }
    }
}

/// Ages of the samples that the orderers published since the last log line.
#[derive(Default)]
struct Arrivals {
    ages_ms: Vec<u64>,
    since: Moment,
}

/// Samples for followers, encoded once for all followers with a full view.
#[derive(Debug)]
pub struct FollowerLoads {
    samples: Vec<(ReplicaId, LoadSample)>,
    encoded_at: Moment,
    message: Bytes,
}

impl FollowerLoads {
    fn new(samples: Vec<(ReplicaId, LoadSample)>, encoded_at: Moment) -> Self {
        let message = encode(samples.iter().map(|(_, sample)| sample), encoded_at);
        FollowerLoads {
            samples,
            encoded_at,
            message,
        }
    }

    /// Returns the message with all samples.
    pub fn message(&self) -> &Bytes {
        &self.message
    }

    /// Returns the message with the samples of those replicas that a follower knows; `None` if
    /// there are none.
    pub fn filtered_message(&self, knows: impl Fn(&str) -> bool) -> Option<Bytes> {
        let known = self.samples.iter().filter(|(id, _)| knows(id));
        let known: Vec<&LoadSample> = known.map(|(_, sample)| sample).collect();
        (!known.is_empty()).then(|| encode(known, self.encoded_at))
    }
}

fn encode<'a>(samples: impl IntoIterator<Item = &'a LoadSample>, now: Moment) -> Bytes {
    FromOrderer::Loads(WireLoads::from_samples(samples, now)).encode()
}

/// Returns whether this node forwards load samples, which applies to all services alike.
pub(crate) fn is_active<P: Platform>(node: &Node<P>) -> bool {
    node.settings.callers_compete || node.clock.now() < node.load_news.active_until.get()
}

fn record_work_time<P: Platform>(node: &Node<P>, load: ReplicaLoad) {
    if load.work_time_pct.is_some() {
        node.load_news
            .active_until
            .set(node.clock.now() + WORK_TIME_VALIDITY);
    }
}

fn count<P: Platform>(node: &Node<P>, kind: &'static str, outcome: &'static str) {
    Metrics::count(&node.metrics.load_news, kind, outcome);
}

/// Counts samples that are not forwarded because there are too many.
pub(crate) fn count_dropped<P: Platform>(node: &Node<P>, kind: &'static str, count: usize) {
    Metrics::count_many(&node.metrics.load_news, kind, "left out", count as u64);
}

/// Records the load in an answer from the incarnation of a replica that started at
/// `started_ms`. If `is_sure` is false, the answer may be another replica's, and the sample is
/// not forwarded to other nodes.
pub(crate) fn record_answer_load<P: Platform>(
    node: &Node<P>,
    id: &ReplicaId,
    started_ms: Option<StartedMs>,
    load: ReplicaLoad,
    is_sure: bool,
) {
    let now = node.clock.now();
    let mut state = node.state.borrow_mut();
    let Some(entry) = state.replicas.get(id) else {
        return;
    };
    let present = entry.listing.started_ms;
    if Incarnation::of(started_ms, present) == Incarnation::Earlier {
        return;
    }
    state.replicas.record_load(id, load, now);
    drop(state);
    node.replica_slot_freed.notify_waiters();
    record_work_time(node, load);
    if !is_sure || !is_active(node) {
        return;
    }
    let sample = LoadSample {
        key: LoadKey::of(id, present),
        load,
        at: now,
    };
    queue_for_orderers(node, sample, "answer");
}

fn queue_for_orderers<P: Platform>(node: &Node<P>, sample: LoadSample, kind: &'static str) {
    let updates = &node.load_news;
    let record_outcome = updates.to_orderers.borrow_mut().record(sample, node.clock.now());
    let outcome = match record_outcome {
        SampleOutcome::Stored => "heard",
        SampleOutcome::Outdated => "old",
        SampleOutcome::Dropped => "left out",
    };
    count(node, kind, outcome);
    updates.pending.notify_one();
}

/// Applies samples from other nodes to this node's replica table. Returns those of replicas
/// that this node knows.
pub(crate) fn apply_samples<P: Platform>(
    node: &Node<P>,
    samples: &[LoadSample],
    kind: &'static str,
) -> Vec<(ReplicaId, LoadSample)> {
    let mut state = node.state.borrow_mut();
    let mut keys = node.load_news.keys.borrow_mut();
    keys.follow(&state.replicas);
    let mut known = Vec::with_capacity(samples.len());
    for sample in samples {
        let Some(id) = keys.replica(sample.key) else {
            count(node, kind, "unknown");
            continue;
        };
        let newest = state.replicas.get(id).and_then(|entry| entry.capacity.newest());
        if sample.is_update_to(newest) {
            state.replicas.record_load(id, sample.load, sample.at);
            record_work_time(node, sample.load);
            count(node, kind, "heard");
        } else {
            count(node, kind, "old");
        }
        known.push((id.clone(), *sample));
    }
    if !known.is_empty() {
        node.replica_slot_freed.notify_waiters();
    }
    known
}

/// Applies samples that an orderer published, over a link with the given delay, and queues
/// them for the followers.
pub(crate) fn apply_published<P: Platform>(node: &Node<P>, loads: &WireLoads, delay: &mut LinkDelay) {
    let now = node.clock.now();
    let samples = loads.to_samples(delay, now);
    record_arrivals(node, &samples, now);
    let known = apply_samples(node, &samples, "orderer");
    queue_for_followers(node, known.iter().map(|(_, sample)| sample), now);
}

/// Queues samples for this node's followers.
pub(crate) fn queue_for_followers<'a, P: Platform>(
    node: &Node<P>,
    samples: impl IntoIterator<Item = &'a LoadSample>,
    now: Moment,
) {
    let updates = &node.load_news;
    if updates.followers.receiver_count() == 0 {
        return;
    }
    let mut to_followers = updates.to_followers.borrow_mut();
    for sample in samples {
        to_followers.record(*sample, now);
    }
    updates.pending.notify_one();
}

/// Returns the samples of a message from this node to its own orderer.
pub(crate) fn own_samples<P: Platform>(node: &Node<P>, loads: &WireLoads) -> Vec<LoadSample> {
    let now = node.clock.now();
    let mut delay = LinkDelay::default();
    // The queue between them acts as a link whose minimum delay is zero.
    delay.excess(now.since(Moment::default()), now);
    loads.to_samples(&mut delay, now)
}

/// Encodes a message for the node at an address. Returns `None` for load samples unless the
/// node's entry says that it supports them.
pub(crate) fn encode_outgoing<P: Platform>(
    node: &Node<P>,
    peer: SocketAddr,
    message: &ToOrderer,
) -> Option<Bytes> {
    let is_loads = matches!(message, ToOrderer::Loads(_));
    let is_understood = match message {
        ToOrderer::Loads(_) => node.state.borrow().members.peer_supports_load_updates(peer),
        ToOrderer::WaitingAt(_) => node.state.borrow().members.peer_supports_version_waits(peer),
        ToOrderer::CrashParts(_) => node.state.borrow().members.peer_supports_crash_parts(peer),
        _ => true,
    };
    if !is_understood {
        count(node, "message", "not understood");
        return None;
    }
    let message = Bytes::from(message.serialize_bin());
    if is_loads {
        count_sent_bytes(node, &message);
    }
    Some(message)
}

/// Counts the bytes of a message with samples that is sent.
pub(crate) fn count_sent_bytes<P: Platform>(node: &Node<P>, message: &Bytes) {
    node.metrics.load_news_bytes.inc_by(message.len() as u64);
}

/// Forwards samples as they arrive, at a limited rate.
pub(crate) async fn forward<P: Platform>(node: Rc<Node<P>>) {
    loop {
        tokio::select! {
            () = node.load_news.pending.notified() => {}
            () = sleep(HELLO_INTERVAL), if is_active(&node) => {}
        }
        send_to_orderers(&node);
        send_to_followers(&node);
        sleep(MIN_SEND_INTERVAL).await;
    }
}

fn send_to_orderers<P: Platform>(node: &Node<P>) {
    let now = node.clock.now();
    let updates = &node.load_news;
    let samples = updates.to_orderers.borrow_mut().take(now);
    if !is_active(node) {
        return;
    }
    let is_hello_due = now.since(updates.last_hello_at.get()) >= HELLO_INTERVAL;
    if samples.is_empty() && !is_hello_due {
        return;
    }
    if is_hello_due {
        updates.last_hello_at.set(now);
    }
    let uplink = node.state.borrow().tree.uplink;
    match uplink {
        Uplink::Relay(_) => node.send_to_orderers(&loads_message(&samples, now)),
        Uplink::Orderers => send_to_each_orderer(node, &samples, is_hello_due, now),
        Uplink::Nobody => {}
    }
}

/// Sends each orderer the samples of its shard's replicas.
fn send_to_each_orderer<P: Platform>(node: &Node<P>, samples: &[LoadSample], is_hello: bool, now: Moment) {
    let mut keys = node.load_news.keys.borrow_mut();
    keys.follow(&node.state.borrow().replicas);
    for shard in Shard::all() {
        let is_of_shard = |sample: &&LoadSample| {
            keys.replica(sample.key)
                .is_some_and(|id| Shard::of_replica(id) == shard)
        };
        let of_shard: Vec<LoadSample> = samples.iter().filter(is_of_shard).copied().collect();
        if is_hello || !of_shard.is_empty() {
            node.send_to_orderer(shard, loads_message(&of_shard, now));
        }
    }
}

fn loads_message(samples: &[LoadSample], now: Moment) -> ToOrderer {
    ToOrderer::Loads(WireLoads::from_samples(samples, now))
}

fn send_to_followers<P: Platform>(node: &Node<P>) {
    let now = node.clock.now();
    let updates = &node.load_news;
    let samples = updates.to_followers.borrow_mut().take(now);
    if samples.is_empty() || updates.followers.receiver_count() == 0 {
        return;
    }
    let mut keys = updates.keys.borrow_mut();
    keys.follow(&node.state.borrow().replicas);
    let known = samples
        .into_iter()
        .filter_map(|sample| keys.replica(sample.key).map(|id| (id.clone(), sample)));
    let loads = FollowerLoads::new(known.collect(), now);
    // Sending fails only after the last follower has disconnected.
    let _ = updates.followers.send(Rc::new(loads));
}

/// A node that may subscribe to load samples at this node's orderer.
#[derive(Default)]
pub(crate) struct LoadSubscriber {
    delay: LinkDelay,
    updates: Option<broadcast::Receiver<Bytes>>,
}

impl LoadSubscriber {
    /// Returns the samples of a message from the node, and subscribes the node to `source`: a
    /// node that sends samples supports them.
    pub(crate) fn receive(
        &mut self,
        loads: &WireLoads,
        source: &broadcast::Sender<Bytes>,
        now: Moment,
    ) -> Vec<LoadSample> {
        self.updates.get_or_insert_with(|| source.subscribe());
        loads.to_samples(&mut self.delay, now)
    }

    /// Returns the next message for the node; never completes if the node is not subscribed.
    pub(crate) async fn next(&mut self) -> Bytes {
        next(&mut self.updates).await
    }
}

/// A follower of this relay that may subscribe to load samples.
#[derive(Default)]
pub(crate) struct LoadFollower {
    delay: LinkDelay,
    updates: Option<broadcast::Receiver<Rc<FollowerLoads>>>,
}

impl LoadFollower {
    /// Applies the samples of a message from the follower, queues them for the orderers, and
    /// subscribes the follower.
    pub(crate) fn receive<P: Platform>(&mut self, node: &Node<P>, loads: &WireLoads) {
        self.updates
            .get_or_insert_with(|| node.load_news.followers.subscribe());
        let samples = loads.to_samples(&mut self.delay, node.clock.now());
        for (_, sample) in apply_samples(node, &samples, "follower") {
            queue_for_orderers(node, sample, "relay");
        }
    }

    /// Returns the next samples for the follower; never completes if it is not subscribed.
    pub(crate) async fn next(&mut self) -> Rc<FollowerLoads> {
        next(&mut self.updates).await
    }
}

async fn next<T: Clone>(updates: &mut Option<broadcast::Receiver<T>>) -> T {
    let Some(receiver) = updates else {
        return std::future::pending().await;
    };
    loop {
        match receiver.recv().await {
            Ok(updates) => return updates,
            // The missed samples are outdated by now.
            Err(RecvError::Lagged(_)) => {}
            // The link ends for the same reason.
            Err(RecvError::Closed) => return std::future::pending().await,
        }
    }
}

/// Records the ages of arriving samples, and logs them from time to time.
fn record_arrivals<P: Platform>(node: &Node<P>, samples: &[LoadSample], now: Moment) {
    let mut arrivals = node.load_news.arrivals.borrow_mut();
    let capacity = MAX_LOGGED_AGES.saturating_sub(arrivals.ages_ms.len());
    let ages = samples.iter().take(capacity);
    arrivals
        .ages_ms
        .extend(ages.map(|sample| now.since(sample.at).as_millis() as u64));
    if now.since(arrivals.since) < MIN_LOG_INTERVAL || arrivals.ages_ms.is_empty() {
        return;
    }
    arrivals.since = now;
    let mut ages_ms = std::mem::take(&mut arrivals.ages_ms);
    ages_ms.sort_unstable();
    let decile = |numerator: usize| ages_ms[(ages_ms.len() - 1) * numerator / 10];
    tracing::debug!(target: "load news", event = "samples received", count = ages_ms.len(),
        p50_ms = decile(5), p90_ms = decile(9), sent_bytes = node.metrics.load_news_bytes.get());
}
