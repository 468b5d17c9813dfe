//! Applies the store's items and changes to the node's state.

use std::collections::HashSet;

use croftrill_scheduler::replica::{ReplicaId, ReplicaListing};

use crate::brittle_reports;
use crate::configuration::{self, Source};
use crate::crash_reports;
use crate::membership;
use crate::node::Node;
use crate::orderer_task::OrdererInput;
use crate::ports::{Item, KeyValueStore, Platform, Record, RecordReader, Snapshot, StoreEvent};
use crate::{replica_versions, stored_versions, tree};

/// A change of the view.
pub(super) enum ViewChange {
    /// A change as the store reports it.
    Store(StoreEvent),
    /// A replica's listing as the orderer relays it.
    Replica {
        /// The listing.
        listing: ReplicaListing,
        /// Store revision of the change.
        revision: u64,
    },
}

impl ViewChange {
    fn revision(&self) -> u64 {
        match self {
            ViewChange::Store(event) => event.revision(),
            ViewChange::Replica { revision, .. } => *revision,
        }
    }
}

/// Applies all items and removes replicas and nodes that are not among them.
pub(super) fn apply_snapshot<P: Platform>(node: &Node<P>, snapshot: Snapshot) {
    let records = node.platform.records();
    let listed: HashSet<ReplicaId> = snapshot
        .items
        .iter()
        .filter_map(|item| records.replica_of(&item.key))
        .collect();
    let keys: HashSet<&str> = snapshot.items.iter().map(|item| item.key.as_str()).collect();
    retain_only(node, &listed, &keys);
    for item in &snapshot.items {
        apply_item(node, item, Source::Store);
    }
    stored_versions::retain_only(node, |key| keys.contains(key), snapshot.revision);
    node.state.borrow_mut().directory.advance(snapshot.revision);
    tree::record_all_replicas_known(node);
    notify_view_changed(node);
}

/// Removes replicas that are not `listed`, and nodes without one of these keys.
fn retain_only<P: Platform>(node: &Node<P>, listed: &HashSet<ReplicaId>, keys: &HashSet<&str>) {
    let now = node.clock.now();
    let mut state = node.state.borrow_mut();
    state.replicas.retain(|id| listed.contains(id));
    let gone = state.members.retain(|key| keys.contains(key));
    for key in &gone {
        state.fleet_share.record_gone(key, now);
    }
    if !gone.is_empty() {
        let nodes = state.members.node_count();
        tracing::info!(target: "membership", event = "nodes missing in a full view", gone = gone.len(), nodes);
    }
}

/// Applies a peer's full view and removes what it does not contain. `has_replicas` is
/// false if the peer publishes replicas separately.
pub(super) fn apply_full_view<P: Platform>(
    node: &Node<P>,
    changes: Vec<ViewChange>,
    reached: u64,
    has_replicas: bool,
    source: Source,
) {
    let mut listed: HashSet<ReplicaId> = HashSet::new();
    let mut keys: HashSet<&str> = HashSet::new();
    for change in &changes {
        match change {
            ViewChange::Store(event) => {
                keys.insert(event.key());
            }
            ViewChange::Replica { listing, .. } => {
                listed.insert(listing.id.clone());
            }
        }
    }
    if !has_replicas {
        listed.extend(
            node.state
                .borrow()
                .replicas
                .iter()
                .map(|entry| entry.listing.id.clone()),
        );
    }
    retain_only(node, &listed, &keys);
    for change in changes {
        apply_change(node, change, source);
    }
    node.state.borrow_mut().directory.advance(reached);
    notify_view_changed(node);
}

fn apply_change<P: Platform>(node: &Node<P>, change: ViewChange, source: Source) {
    match change {
        ViewChange::Store(event) => apply_event(node, &event, source),
        ViewChange::Replica { listing, revision } => {
            log_listing(&listing, revision);
            node.state.borrow_mut().replicas.apply_relayed_listing(listing);
        }
    }
}

/// Applies the items that were written after the view's revision. That revision does not
/// change: other changes up to the items' revisions, such as removals, are still missing.
pub(super) fn apply_newer<P: Platform>(node: &Node<P>, snapshot: Snapshot) {
    let mut any = false;
    for item in &snapshot.items {
        let is_new = node.state.borrow().directory.is_new(item.revision);
        if is_new {
            apply_item(node, item, Source::Store);
            any = true;
        }
    }
    if any {
        notify_view_changed(node);
    }
}

/// Applies the changes up to the revision `reached`, except for those that the view
/// contains already.
pub(super) fn apply_changes<P: Platform>(
    node: &Node<P>,
    changes: impl IntoIterator<Item = ViewChange>,
    reached: u64,
    source: Source,
) {
    let mut any = false;
    for change in changes {
        let is_new = node.state.borrow().directory.is_new(change.revision());
        if !is_new {
            continue;
        }
        any = true;
        apply_change(node, change, source);
    }
    node.state.borrow_mut().directory.advance(reached);
    if any {
        notify_view_changed(node);
    }
}

fn apply_event<P: Platform>(node: &Node<P>, event: &StoreEvent, source: Source) {
    match event {
        StoreEvent::Written(item) => apply_item(node, item, source),
        StoreEvent::Removed { key, revision } => {
            let mut state = node.state.borrow_mut();
            if let Some(id) = node.platform.records().replica_of(key) {
                state.replicas.remove(&id);
                tracing::info!(target: "directory", event = "replica gone", replica = &*id);
            } else {
                state.members.apply_removal(key);
                if membership::is_member_key(key) {
                    // Also if it was not listed here: it may have been written and removed since.
                    state.fleet_share.record_gone(key, node.clock.now());
                    let nodes = state.members.node_count();
                    tracing::info!(target: "membership", event = "node gone", key, nodes, revision);
                }
            }
            drop(state);
            crash_reports::handle_removed_key(node, key);
            stored_versions::handle_removed_key(node, key, *revision);
        }
    }
}

fn apply_item<P: Platform>(node: &Node<P>, item: &Item, source: Source) {
    match node.platform.records().read(item) {
        Record::Configuration(configuration) => {
            configuration::apply(node, configuration, item, source);
        }
        Record::Replica {
            listing,
            software_version,
        } => {
            log_listing(&listing, item.revision);
            replica_versions::record(node, &listing.id, listing.started_ms, software_version);
            let is_unknown = node.state.borrow().replicas.get(&listing.id).is_none();
            node.state.borrow_mut().replicas.apply_listing(listing);
            if is_unknown {
                tree::record_learned_replicas(node);
            }
        }
        Record::Malformed(reason) => {
            tracing::warn!(target: "directory", event = "item cannot be read", key = item.key, reason);
            // An unreadable entry lists no replica, even if the previous entry was valid.
            if let Some(id) = node.platform.records().replica_of(&item.key) {
                node.state.borrow_mut().replicas.remove(&id);
            }
        }
        Record::Other if crash_reports::is_report(&item.key) => crash_reports::apply_report(node, item),
        Record::Other if stored_versions::is_record(&item.key) => stored_versions::apply(node, item),
        Record::Other if brittle_reports::is_report(&item.key) => brittle_reports::apply(node, item),
        Record::Other => {
            if let Some(era) = membership::read_record_era(item) {
                node.platform.store().era().record_first(era.first);
            } else if let Some(own) = membership::read_cluster_item(item) {
                let state = &mut *node.state.borrow_mut();
                let was_listed = state.members.contains_node(&item.key);
                state.members.apply_write(&item.key, own);
                let is_listed = state.members.contains_node(&item.key);
                if is_listed && !was_listed {
                    state.fleet_share.record_listed(&item.key);
                    let (key, revision, nodes) = (&item.key, item.revision, state.members.node_count());
                    tracing::info!(target: "membership", event = "node listed", key, nodes, revision);
                }
            }
        }
    }
}

fn log_listing(listing: &ReplicaListing, revision: u64) {
    tracing::debug!(target: "directory", event = "replica listed", replica = &*listing.id,
        state = ?listing.state, revision);
}

/// Notifies the tasks of this node that its view has changed.
pub(crate) fn notify_view_changed<P: Platform>(node: &Node<P>) {
    node.metrics
        .replicas
        .set(node.state.borrow().replicas.len() as i64);
    node.view_changed.notify_waiters();
    node.notify_orderer_tasks(|| OrdererInput::DirectoryChanged);
}
