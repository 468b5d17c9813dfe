//! Follows the store: configuration, replicas, and the nodes' own entries.
//!
//! One watch covers everything. Configurations only move forward. When history
//! is gone, everything is read again; when the store is away, what is known
//! stays in force.

use std::collections::HashSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use croftrill_scheduler::catalog::Configuration;
use rand::Rng;
use tokio::time::sleep;

use crate::membership;
use crate::node::{Lifecycle, Node};
use crate::orderer_task::OrdererInput;
use crate::ports::{Item, KeyValueStore, Platform, Record, RecordReader, Snapshot, StoreError, StoreEvent};

/// The prefix that is followed: all keys.
const EVERYTHING: &str = "";
/// Time between two looks at whether a waiting watch has been overtaken.
const AUDIT_EVERY: Duration = Duration::from_millis(700);
/// Time that a watch has to answer after the store moved on.
const AUDIT_SLACK: Duration = Duration::from_millis(300);
/// Longest wait for a part of everything, at the first try.
const LEAST_READ_LIMIT: Duration = Duration::from_millis(900);
/// The same after failures.
const MOST_READ_LIMIT: Duration = Duration::from_secs(8);
/// Shortest pause after a failed call.
const LEAST_BACKOFF: Duration = Duration::from_millis(100);
/// Longest pause after failed calls.
const MOST_BACKOFF: Duration = Duration::from_millis(600);

/// Follows the store until the process ends.
pub async fn follow<P: Platform>(node: Rc<Node<P>>) {
    let mut backoff = Backoff::default();
    loop {
        let snapshot = match node.store().range(EVERYTHING, backoff.read_limit()).await {
            Ok(snapshot) => snapshot,
            Err(error) => {
                backoff.pause(&error, "range").await;
                continue;
            }
        };
        backoff.succeeded();
        let mut after = snapshot.revision;
        apply_snapshot(&node, snapshot);
        after = follow_changes(&node, after, &mut backoff).await;
        tracing::warn!(target: "directory", event = "history gone, reading everything", revision = after);
    }
}

/// Watches from a revision until history is gone; answers the last revision.
async fn follow_changes<P: Platform>(node: &Node<P>, mut after: u64, backoff: &mut Backoff) -> u64 {
    let pace = &node.settings.pace;
    let mut stalled = false;
    loop {
        if !std::mem::take(&mut stalled) {
            sleep(pace.watch_every).await;
        }
        let store = node.store();
        let watch = store.watch(EVERYTHING, after, pace.watch_wait);
        let watched = tokio::select! {
            watched = watch => watched,
            () = node.store_path.changed() => Err(StoreError::NoAnswer),
            reached = overtaken(node, after) => {
                tracing::warn!(target: "directory", event = "watch says nothing of a change", after, reached);
                stalled = true;
                continue;
            }
        };
        match watched {
            Ok(changes) => {
                backoff.succeeded();
                after = after.max(changes.revision);
                for event in &changes.events {
                    apply_event(node, event);
                }
                if !changes.events.is_empty() {
                    announce(node);
                }
            }
            Err(StoreError::HistoryGone) => return after,
            Err(error) => backoff.pause(&error, "watch").await,
        }
    }
}

/// Ends when the store has moved past `after` and a waiting watch has had time
/// to say so: its answer was lost, or its path is dead.
async fn overtaken<P: Platform>(node: &Node<P>, after: u64) -> u64 {
    loop {
        sleep(AUDIT_EVERY).await;
        match node.store().reached_revision().await {
            Ok(reached) if reached > after => {
                sleep(AUDIT_SLACK).await;
                return reached;
            }
            _ => {}
        }
    }
}

/// Takes in all items and forgets replicas and nodes that are not among them.
fn apply_snapshot<P: Platform>(node: &Node<P>, snapshot: Snapshot) {
    let records = node.platform.records();
    let listed: HashSet<Arc<str>> = snapshot
        .items
        .iter()
        .filter_map(|item| records.replica_of(&item.key))
        .collect();
    {
        let mut state = node.state.borrow_mut();
        state.replicas.retain(|id| listed.contains(id));
        let keys: HashSet<&str> = snapshot.items.iter().map(|item| item.key.as_str()).collect();
        state.members.retain(|key| keys.contains(key));
    }
    for item in &snapshot.items {
        apply_item(node, item);
    }
    announce(node);
}

fn apply_event<P: Platform>(node: &Node<P>, event: &StoreEvent) {
    match event {
        StoreEvent::Written(item) => apply_item(node, item),
        StoreEvent::Removed(key) => {
            let mut state = node.state.borrow_mut();
            if let Some(id) = node.platform.records().replica_of(key) {
                state.replicas.remove(&id);
                tracing::info!(target: "directory", event = "replica gone", replica = &*id);
            } else {
                state.members.removed(key);
            }
        }
    }
}

fn apply_item<P: Platform>(node: &Node<P>, item: &Item) {
    match node.platform.records().read(item) {
        Record::Configuration(configuration) => apply_configuration(node, configuration, item.revision),
        Record::Replica(listing) => {
            tracing::debug!(target: "directory", event = "replica listed", replica = &*listing.id,
                state = ?listing.state, revision = item.revision);
            node.state.borrow_mut().replicas.apply_listing(listing);
        }
        Record::Malformed(reason) => {
            tracing::warn!(target: "directory", event = "item cannot be read", key = item.key, reason);
        }
        Record::Other => {
            if let Some(member) = membership::read_entry(item) {
                node.state.borrow_mut().members.written(&item.key, member);
            }
        }
    }
}

fn apply_configuration<P: Platform>(node: &Node<P>, configuration: Arc<Configuration>, revision: u64) {
    let mut state = node.state.borrow_mut();
    let present = state.configuration.as_ref().map(|present| present.version);
    if present.is_some_and(|version| version >= configuration.version) {
        return;
    }
    tracing::info!(target: "directory", event = "configuration in force", version = configuration.version,
        routes = configuration.route_count(), revision);
    node.metrics
        .configuration_version
        .set(configuration.version as i64);
    state.configuration = Some(configuration);
    if state.lifecycle == Lifecycle::Starting {
        state.lifecycle = Lifecycle::Ready;
    }
}

fn announce<P: Platform>(node: &Node<P>) {
    node.metrics
        .replicas
        .set(node.state.borrow().replicas.len() as i64);
    node.view_changed.notify_waiters();
    node.inform_orderer_task(OrdererInput::DirectoryChanged);
}

/// Pauses after failed calls, longer with each, and says when the store is lost and back.
#[derive(Debug, Default)]
struct Backoff {
    failures: u32,
}

impl Backoff {
    /// Longest wait for a part of everything: short at first, as the store may
    /// be silent, and longer with each failure, as many nodes may read at once.
    fn read_limit(&self) -> Duration {
        (LEAST_READ_LIMIT * 2u32.pow(self.failures.min(4))).min(MOST_READ_LIMIT)
    }

    fn succeeded(&mut self) {
        if self.failures > 0 {
            tracing::info!(target: "directory", event = "store is back", failures = self.failures);
        }
        self.failures = 0;
    }

    async fn pause(&mut self, error: &StoreError, call: &'static str) {
        if self.failures == 0 {
            tracing::warn!(target: "directory", event = "store call failed", call, %error);
        }
        self.failures = (self.failures + 1).min(8);
        let longest = (LEAST_BACKOFF * self.failures).min(MOST_BACKOFF);
        let share = rand::rng().random_range(0.5..1.0);
        sleep(longest.mul_f64(share)).await;
    }
}
