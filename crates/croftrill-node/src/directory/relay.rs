//! Relays the store's changes from the orderer to the other nodes.
//!
//! One watch of the store serves all nodes, as watches of their own would be the largest
//! cost of most nodes. Each answer of the orderer's watch is sent as [`DirectoryUpdate`];
//! [`FollowedView`] decides whether a node may rely on these messages.
//!
//! [`FollowedView`]: croftrill_scheduler::followed_view::FollowedView

use std::collections::HashSet;
use std::time::Duration;

use croftrill_scheduler::followed_view::{LinkDelay, RelayOutcome, RelayedSpan};
use croftrill_scheduler::replica::{Incarnation, ReplicaListing};
use croftrill_scheduler::replica_table::ReplicaEntry;
use croftrill_scheduler::time::Moment;
use tokio::time::sleep;

pub(crate) use super::view::notify_view_changed;
use super::view::{self, ViewChange};
use crate::brittle_reports;
use crate::configuration::{self, Source};
use crate::crash_reports;
use crate::membership;
use crate::metrics::Metrics;
use crate::node::Node;
use crate::orderer_task::OrdererInput;
use crate::peer::{Audience, DirectoryUpdate, FullViewChunk, RevisedChange, WireChange, WireListing};
use crate::ports::{Changes, Item, Platform, Record, RecordReader, StoreEvent};
use crate::{stored_streams, stored_versions, tree};

/// Time by which an answer may exceed the wait of its watch and still count as current.
pub(super) const MAX_ANSWER_DELAY: Duration = Duration::from_millis(150);

/// The span of changes in an answer of a watch, for the other nodes.
#[derive(Debug, Clone)]
pub struct WatchedSpan {
    /// The changes, and the revisions that bound the span.
    pub update: DirectoryUpdate,
    /// When the store proved that the changes are complete.
    pub proven_at: Moment,
}

/// Publishes the answer of an orderer's or a relay's watch to its listeners.
pub(super) fn publish_answer<P: Platform>(node: &Node<P>, changes: &Changes, requested_at: Moment) {
    let gives_orders = node.gives_orders();
    if !gives_orders && !tree::is_relay(node) {
        return;
    }
    let now = node.clock.now();
    // A relay's view may have advanced by relayed updates while its watch waited.
    let after = node.state.borrow().directory.reached();
    if changes.revision < after {
        return;
    }
    let span = WatchedSpan {
        update: DirectoryUpdate {
            after,
            reached: changes.revision,
            proof_age_ms: 0,
            sent_at_ms: 0,
            changes: relayed_changes(node, &changes.events, after).into(),
        },
        // An answer that was not read at once, for example because this process was
        // stopped, proves nothing about the time after its request.
        proven_at: if is_current(node, requested_at) {
            now
        } else {
            requested_at
        },
    };
    tree::publish_span(node, span.update.clone(), span.proven_at);
    if gives_orders {
        node.notify_orderer_tasks(|| OrdererInput::Watched(span.clone()));
    }
}

/// Returns true if the answer to an orderer's or a relay's watch that was sent at
/// `requested_at` is current.
fn is_current<P: Platform>(node: &Node<P>, requested_at: Moment) -> bool {
    let max_age = node.settings.pace.relay_watch_wait + MAX_ANSWER_DELAY;
    node.clock.now().since(requested_at) <= max_age
}

/// Returns those changes of one answer after a revision that the other nodes must know.
fn relayed_changes<P: Platform>(node: &Node<P>, events: &[StoreEvent], after: u64) -> Vec<RevisedChange> {
    let mut relayed_keys: HashSet<&str> = HashSet::new();
    let mut changes = Vec::new();
    for event in events.iter().filter(|event| event.revision() > after) {
        // If the key changed earlier in the same answer, this node's previous state of it
        // is outdated.
        let changed_before = relayed_keys.contains(event.key());
        if let Some(change) = relayed_change(node, event, changed_before) {
            relayed_keys.insert(event.key());
            changes.push(change);
        }
    }
    changes
}

/// Returns the message form of a change, or `None` if the other nodes need not know it.
fn relayed_change<P: Platform>(
    node: &Node<P>,
    event: &StoreEvent,
    changed_before: bool,
) -> Option<RevisedChange> {
    if stored_streams::is_segment(event.key()) {
        return None;
    }
    let change = match event {
        StoreEvent::Written(item) => match item_content(node, item) {
            ItemContent::Replica(listing) if !changed_before && is_known_except_holdings(node, &listing) => {
                return None
            }
            ItemContent::Replica(listing) => WireChange::Replica(WireListing::from_listing(&listing)),
            // The value, however large, lists no replica, so it is not sent.
            ItemContent::Unreadable => WireChange::Removed {
                key: item.key.clone(),
            },
            ItemContent::Other => WireChange::Written {
                key: item.key.clone(),
                value: item.value.to_vec().into(),
            },
        },
        StoreEvent::Removed { key, .. } => WireChange::Removed { key: key.clone() },
    };
    let revision = event.revision();
    Some(RevisedChange { revision, change })
}

/// The content of an item with regard to replicas.
enum ItemContent {
    Replica(ReplicaListing),
    /// The key is one of a replica, but the value is unreadable.
    Unreadable,
    /// The key is not one of a replica.
    Other,
}

fn item_content<P: Platform>(node: &Node<P>, item: &Item) -> ItemContent {
    let records = node.platform.records();
    if records.replica_of(&item.key).is_none() {
        return ItemContent::Other;
    }
    match records.read(item) {
        Record::Replica { listing, .. } => ItemContent::Replica(listing),
        _ => ItemContent::Unreadable,
    }
}

/// Returns true if a listing differs from the known one at most in its holdings, which the
/// orderer publishes according to its orders.
fn is_known_except_holdings<P: Platform>(node: &Node<P>, listing: &ReplicaListing) -> bool {
    let state = node.state.borrow();
    let Some(entry) = state.replicas.get(&listing.id) else {
        return false;
    };
    let holdings = listing.holdings.clone();
    let known = ReplicaListing {
        holdings,
        ..entry.listing.clone()
    };
    known == *listing
}

/// Converts a relayed change to a change of the view.
fn to_view_change<P: Platform>(node: &Node<P>, revised: RevisedChange) -> ViewChange {
    let revision = revised.revision;
    match revised.change {
        WireChange::Replica(listing) => {
            let state = node.state.borrow();
            let is_same = |known: &&ReplicaEntry| {
                Incarnation::of(listing.started_ms, known.listing.started_ms) == Incarnation::Same
            };
            let known = state.replicas.get(&listing.id).filter(is_same);
            let holdings = known.map(|entry| entry.listing.holdings.clone());
            let listing = listing.into_listing(holdings.unwrap_or_default());
            ViewChange::Replica { listing, revision }
        }
        WireChange::Written { key, value } => ViewChange::Store(StoreEvent::Written(Item {
            key,
            value: Vec::from(value).into(),
            revision,
        })),
        WireChange::Removed { key } => ViewChange::Store(StoreEvent::Removed { key, revision }),
    }
}

impl WatchedSpan {
    /// Returns the messages to the listening nodes.
    pub fn into_messages(self, configuration_key: &str, now: Moment) -> Vec<(Audience, DirectoryUpdate)> {
        let mut update = self.update;
        update.stamp(self.proven_at, now);
        let mut messages = Vec::new();
        for (audience, update) in update.for_audiences(configuration_key) {
            messages.extend(update.into_chunks().into_iter().map(|chunk| (audience, chunk)));
        }
        messages
    }
}

/// Applies an update of an orderer or a relay, received over a link with `delay`. Returns
/// its effect on the view, or `None` if it was ignored.
///
/// An orderer's view consists only of the answers of its own watch. It does not relay listings
/// that it knows already, so its listeners would never receive those that it knows from another
/// orderer. What is complete in itself it applies all the same.
pub fn apply_update<P: Platform>(
    node: &Node<P>,
    update: DirectoryUpdate,
    delay: &mut LinkDelay,
) -> Option<RelayOutcome> {
    if node.gives_orders() {
        apply_independent_changes(node, &update, "this node gives orders");
        return None;
    }
    let span = RelayedSpan {
        after: update.after,
        reached: update.reached,
        proven_at: proof_time(&update, delay, node.clock.now()),
    };
    let outcome = node.state.borrow_mut().directory.accept_span(span);
    Metrics::count(&node.metrics.relayed, "directory", outcome_name(outcome));
    match outcome {
        RelayOutcome::Applied { is_regained } => {
            tree::record_gap_closed(node);
            if tree::is_relay(node) {
                publish_newer(node, &update, span.proven_at);
            }
            let changes = update
                .changes
                .into_iter()
                .map(|change| to_view_change(node, change));
            view::apply_changes(node, changes, update.reached, Source::of_uplink(node));
            membership::record_complete_view(node, span.proven_at);
            if is_regained {
                tracing::info!(target: "directory", event = "relay in use", revision = update.reached);
            }
        }
        RelayOutcome::Gap => {
            tracing::info!(target: "directory", event = "relay has a gap", after = update.after,
                reached = update.reached);
            apply_independent_changes(node, &update, "the view has a gap");
        }
        RelayOutcome::Behind => {}
    }
    node.relay_changed.notify_waiters();
    Some(outcome)
}

/// Applies those changes of an update that are complete in themselves, at a node to which the update
/// does not apply as a whole. `reason` says why it does not.
///
/// A configuration replaces the former one whatever else changed. A replica that is leaving does so
/// for good, which is recorded beside its listing, and reports of crashes only add evidence. So none
/// of these waits for the changes that are missing.
fn apply_independent_changes<P: Platform>(node: &Node<P>, update: &DirectoryUpdate, reason: &'static str) {
    let source = Source::of_uplink(node);
    let mut applied = 0;
    for revised in &update.changes {
        if apply_independent_change(node, revised, source) {
            applied += 1;
        }
    }
    if applied > 0 {
        tracing::info!(target: "directory", event = "applied changes of an update that is not applied", applied,
            reason, reached = update.reached);
        notify_view_changed(node);
    }
}

fn apply_independent_change<P: Platform>(node: &Node<P>, revised: &RevisedChange, source: Source) -> bool {
    let records = node.platform.records();
    match &revised.change {
        WireChange::Replica(listing) if listing.is_draining => {
            let now = node.clock.now();
            let replicas = &mut node.state.borrow_mut().replicas;
            replicas.record_leaving(&listing.id, listing.started_ms, now)
        }
        WireChange::Written { key, value } => {
            let item = || Item {
                key: key.clone(),
                value: value.to_vec().into(),
                revision: revised.revision,
            };
            if key == records.configuration_key() {
                return configuration::apply_apart(node, &item(), source);
            }
            if crash_reports::is_report(key) {
                crash_reports::apply_report(node, &item());
                return true;
            }
            if stored_versions::is_record(key) {
                stored_versions::apply(node, &item());
                return true;
            }
            if brittle_reports::is_report(key) {
                brittle_reports::apply(node, &item());
                return true;
            }
            false
        }
        WireChange::Replica(_) | WireChange::Removed { .. } => false,
    }
}

/// The chunks received so far of a full view.
#[derive(Debug, Default)]
pub struct FullViewChunks(Vec<RevisedChange>);

impl FullViewChunks {
    /// Adds a chunk and returns the full view if the chunk is the last one.
    fn push(&mut self, chunk: FullViewChunk) -> Option<DirectoryUpdate> {
        if chunk.is_first {
            self.0.clear();
        }
        let mut update = chunk.update;
        self.0.append(&mut update.changes);
        chunk.is_last.then(|| DirectoryUpdate {
            changes: std::mem::take(&mut self.0).into(),
            ..update
        })
    }
}

/// Handles a chunk of the full view of an orderer or a relay, which sends it if this node
/// missed too many changes. Applies the view once it is complete.
pub fn apply_full_view_chunk<P: Platform>(
    node: &Node<P>,
    chunk: FullViewChunk,
    chunks: &mut FullViewChunks,
    delay: &mut LinkDelay,
) {
    let has_replicas = chunk.has_replicas;
    let Some(full_view) = chunks.push(chunk) else {
        return;
    };
    if node.gives_orders() {
        return;
    }
    let proven_at = proof_time(&full_view, delay, node.clock.now());
    let reached = full_view.reached;
    let is_accepted = node
        .state
        .borrow_mut()
        .directory
        .accept_full_view(reached, proven_at);
    if !is_accepted {
        return;
    }
    tracing::info!(target: "directory", event = "taking a peer's whole view", reached, has_replicas);
    if has_replicas {
        tree::record_all_replicas_known(node);
    }
    tree::record_gap_closed(node);
    let changes: Vec<ViewChange> = full_view
        .changes
        .into_iter()
        .map(|change| to_view_change(node, change))
        .collect();
    view::apply_full_view(node, changes, reached, has_replicas, Source::of_uplink(node));
    membership::record_complete_view(node, proven_at);
    node.relay_changed.notify_waiters();
}

/// Returns when the view after an update was proven complete, by this node's clock.
fn proof_time(update: &DirectoryUpdate, delay: &mut LinkDelay, now: Moment) -> Moment {
    let age = Duration::from_millis(u64::from(update.proof_age_ms));
    let late = delay.excess(Duration::from_millis(update.sent_at_ms), now);
    now - age - late
}

/// Publishes the changes of a span that are new to this node, so that followers receive
/// each change once when several orderers send it.
fn publish_newer<P: Platform>(node: &Node<P>, update: &DirectoryUpdate, proven_at: Moment) {
    let after = node.state.borrow().directory.reached();
    let newer = update.changes.iter().filter(|revised| revised.revision > after);
    let relayed = DirectoryUpdate {
        after,
        changes: newer.cloned().collect(),
        ..*update
    };
    tree::publish_span(node, relayed, proven_at);
}

fn outcome_name(outcome: RelayOutcome) -> &'static str {
    match outcome {
        RelayOutcome::Applied { .. } => "applied",
        RelayOutcome::Gap => "gap",
        RelayOutcome::Behind => "behind",
    }
}

/// Records that this node receives updates from no orderer any more.
pub fn record_relay_lost<P: Platform>(node: &Node<P>) {
    node.state.borrow_mut().directory.relay_lost();
    node.relay_changed.notify_waiters();
}

/// Returns true while the relay is trusted, so that the store need not be read. If this
/// node lacks replicas, no relay publishes them, however complete its updates are.
pub(super) fn covers<P: Platform>(node: &Node<P>) -> bool {
    let now = node.clock.now();
    let is_believed = node.state.borrow().directory.trusts_relay(now);
    is_believed && !node.gives_orders() && !tree::lacks_replicas(node)
}

/// Completes when the relay is no longer trusted.
pub(super) async fn while_covered<P: Platform>(node: &Node<P>) {
    while covers(node) {
        let until = node
            .state
            .borrow()
            .directory
            .relay_trusted_until()
            .unwrap_or_default();
        let left = until.since(node.clock.now());
        tokio::select! {
            () = sleep(left) => {}
            () = node.relay_changed.notified() => {}
        }
    }
    let revision = node.state.borrow().directory.reached();
    tracing::info!(target: "directory", event = "relay lost, asking the store", revision);
}

/// Completes when the relay is trusted, or this node acquired its first or lost its last
/// orderer's lease, or needs the replicas that it does not know.
pub(super) async fn until_role_changes<P: Platform>(node: &Node<P>) {
    let gave_orders = node.gives_orders();
    while !covers(node) && node.gives_orders() == gave_orders && !tree::lacks_replicas(node) {
        node.relay_changed.notified().await;
    }
}
