//! Follows the store: configuration, replicas, and the nodes' own entries.
//!
//! The orderer watches all keys and relays the changes to the other nodes ([`relay`]); a
//! node watches the store itself only while it trusts no relay. A configuration is never
//! replaced by an older one. If the history that the node needs is no longer available,
//! the node reads everything again; while the store is unreachable, the last known state
//! remains in use.

mod await_relay;
mod backoff;
pub mod relay;
mod unreachable;
mod view;

use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;

use self::await_relay::{await_relay, must_read_store, receives_view_from_relay};
use self::backoff::Backoff;
pub use self::unreachable::read_holdings;
use self::view::ViewChange;
use crate::configuration::Source;
use crate::connection::AnswerProgress;
use crate::membership;
use crate::node::Node;
use crate::ports::{Changes, Freshness, KeyValueStore, Platform, StoreError, WatchCall};
use crate::tree;

/// The prefix that matches all keys.
const ALL_KEYS: &str = "";
/// Time for which a node waits for a relay after its start. Many nodes may start at the
/// same time, and no bound on the age of a view applies yet.
const INITIAL_PATIENCE: Duration = Duration::from_millis(2500);
/// Maximum rate of retries of all nodes together while the store fails, in calls per
/// second: low compared with the thousands of calls that a fleet's store serves.
const RETRIES_PER_SECOND: f64 = 100.0;
/// Maximum pause after failed calls in a small fleet.
const SMALL_FLEET_MAX_PAUSE: Duration = Duration::from_millis(600);
/// Maximum pause in any fleet: half of the time within which nodes are expected to reach a
/// store that is available again.
const MAX_PAUSE: Duration = Duration::from_millis(2500);
/// Time between two checks whether a pending watch has missed a change.
const AUDIT_INTERVAL: Duration = Duration::from_millis(700);
/// Amount of history that a node reads in any case, in bytes: 0.1 s over 10 Mbit/s.
const MIN_HISTORY_LIMIT_BYTES: u64 = 128 * 1024;
/// Maximum size of the history to read, relative to the size of the current state. On the
/// wire an item takes about 1.5 times its size, so a node that must read everything after
/// all has lost less than the time of one more such read.
const MAX_HISTORY_TO_STATE_RATIO: u64 = 2;
/// Maximum time to read history over the link of a node that others depend on. While a
/// fleet starts, its whole state is recent history, and a full read would take as long.
const MAX_HISTORY_READ_TIME: Duration = Duration::from_millis(400);
/// Approximate size of an entry of a replica or of a node in the store, in bytes.
const ENTRY_BYTES: u64 = 250;
/// Time in which a watch must return a change after the store's revision has increased.
const AUDIT_SLACK: Duration = Duration::from_millis(300);

/// Follows the store until the process ends.
///
/// The first read may be stale: the relay or a watch provides the changes after its
/// revision.
pub async fn follow<P: Platform>(node: Rc<Node<P>>) {
    let mut backoff = Backoff::default();
    let mut freshness = Freshness::MayLag;
    let mut patience = INITIAL_PATIENCE;
    loop {
        if !receives_view_from_relay(&node).await {
            read_everything(&node, &mut backoff, freshness).await;
        }
        let reason = follow_changes(&node, &mut backoff, patience).await;
        let revision = node.state.borrow().directory.reached();
        tracing::warn!(target: "directory", event = "view is incomplete", %reason, revision);
        if matches!(reason, ViewGap::Replicas) {
            // Relayed changes continue the view, but not the replicas that it lacks.
            node.state.borrow_mut().directory.reset();
        }
        freshness = Freshness::Latest;
        patience = Duration::ZERO;
    }
}

/// Reads all items of the store, and retries until that succeeds or a peer has published what this
/// node lacks.
///
/// The view still counts as far as it reached before, so that peers can continue it: the store may
/// refuse this node for long. The pages of a read come from different revisions, so it is void if
/// the view has passed it meanwhile.
async fn read_everything<P: Platform>(node: &Node<P>, backoff: &mut Backoff, freshness: Freshness) {
    loop {
        let timeout = backoff.read_timeout();
        let requested_at = node.clock.now();
        match node.store().range(ALL_KEYS, freshness, timeout).await {
            Ok(snapshot) if snapshot.revision < node.state.borrow().directory.reached() => {
                backoff.record_success();
                // A peer published a newer full view meanwhile. If the older items were
                // applied now, they would count as complete up to the newer revision.
                tracing::info!(target: "directory", event = "read is older than a peer's full view",
                    revision = snapshot.revision);
                return;
            }
            Ok(snapshot) => {
                backoff.record_success();
                tracing::info!(target: "directory", event = "read everything", items = snapshot.items.len(),
                    revision = snapshot.revision);
                node.step_times
                    .time("read of everything", || view::apply_snapshot(node, snapshot));
                if freshness == Freshness::Latest {
                    membership::record_complete_view(node, requested_at);
                }
                tree::record_gap_closed(node);
                return;
            }
            Err(error) => backoff.pause(&error, "range", max_pause(node)).await,
        }
        if relay::covers(node) && !must_read_store(node) {
            return;
        }
    }
}

/// Returns true if other nodes receive changes through this one.
fn is_depended_on<P: Platform>(node: &Node<P>) -> bool {
    node.gives_orders() || tree::is_relay(node)
}

/// Why a node's view cannot be continued by further changes.
#[derive(Debug, thiserror::Error)]
enum ViewGap {
    /// The changes since are unavailable, or more than are worth reading.
    #[error("{0}")]
    History(StoreError),
    /// The node knows only some replicas, and now needs all.
    #[error("only some replicas are known")]
    Replicas,
}

/// Returns the maximum amount of history that is worth reading at once, in bytes.
fn max_history_bytes<P: Platform>(node: &Node<P>) -> u64 {
    let state = node.state.borrow();
    let entries = state.replicas.len() + state.members.node_count();
    let configuration = state
        .configuration_item
        .as_ref()
        .map_or(0, |item| item.value.len());
    let state_bytes = entries as u64 * ENTRY_BYTES + configuration as u64;
    drop(state);
    let max_bytes = MIN_HISTORY_LIMIT_BYTES.max(MAX_HISTORY_TO_STATE_RATIO * state_bytes);
    if !is_depended_on(node) {
        return max_bytes;
    }
    let link = node.settings.identity.link_bytes_per_s as f64;
    max_bytes.max((link * MAX_HISTORY_READ_TIME.as_secs_f64()) as u64)
}

/// The result of a node's own watch.
enum WatchEnd {
    /// The store answered.
    Answered {
        /// The changes in the answer.
        changes: Changes,
        /// Time between the first and the last byte of the answer.
        arrived_for: Duration,
    },
    /// The call failed.
    Failed(StoreError),
    /// The store's revision increased and the watch did not return the change.
    Overtaken {
        /// A revision that the store has reached.
        reached: u64,
    },
    /// The relay is trusted again, or the node acquired or lost an orderer's lease.
    RoleChanged,
}

/// Follows changes, by the relay or by watching the store, until the view cannot be
/// continued; returns the reason.
async fn follow_changes<P: Platform>(
    node: &Node<P>,
    backoff: &mut Backoff,
    first_patience: Duration,
) -> ViewGap {
    let mut at_once = true;
    await_relay(node, first_patience).await;
    if !relay::covers(node) && tree::has_follower_role(node) {
        receives_view_from_relay(node).await;
    }
    loop {
        while relay::covers(node) {
            relay::while_covered(node).await;
            await_relay(node, node.settings.relay_patience()).await;
            at_once = true;
        }
        if tree::lacks_replicas(node) {
            return ViewGap::Replicas;
        }
        if !std::mem::take(&mut at_once) {
            sleep(watch_pause(node)).await;
            if relay::covers(node) {
                continue;
            }
        }
        let after = node.state.borrow().directory.reached();
        let requested_at = node.clock.now();
        match watch(node, after, max_history_bytes(node)).await {
            WatchEnd::Answered { changes, arrived_for } => {
                backoff.record_success();
                // An answer that took long to arrive is outdated, so the next watch starts
                // at once.
                at_once = arrived_for > relay::MAX_ANSWER_DELAY;
                node.step_times.time("answer of a watch", || {
                    let changes = changes.without_replaced();
                    relay::publish_answer(node, &changes, requested_at);
                    let events = changes.events.into_iter().map(ViewChange::Store);
                    view::apply_changes(node, events, changes.revision, Source::Store);
                    membership::record_complete_view(node, requested_at);
                });
            }
            WatchEnd::Failed(error @ (StoreError::HistoryGone | StoreError::HistoryTooLong)) => {
                return ViewGap::History(error);
            }
            WatchEnd::Failed(error) => pause_unless_covered(node, backoff, &error).await,
            WatchEnd::Overtaken { .. } | WatchEnd::RoleChanged => at_once = true,
        }
    }
}

/// Returns the maximum pause of this node after failed calls. All nodes together retry at
/// a bounded rate, but nodes that others depend on retry often.
fn max_pause<P: Platform>(node: &Node<P>) -> Duration {
    if is_depended_on(node) {
        return SMALL_FLEET_MAX_PAUSE;
    }
    let nodes = node.state.borrow().members.node_count();
    let shared = Duration::from_secs_f64(nodes as f64 / RETRIES_PER_SECOND);
    shared.clamp(SMALL_FLEET_MAX_PAUSE, MAX_PAUSE)
}

/// Pauses after a failed watch, at most until the relay is trusted again.
async fn pause_unless_covered<P: Platform>(node: &Node<P>, backoff: &mut Backoff, error: &StoreError) {
    let covered = async {
        while !relay::covers(node) {
            node.relay_changed.notified().await;
        }
    };
    tokio::select! {
        () = backoff.pause(error, "watch", max_pause(node)) => {}
        () = covered => {}
    }
}

/// Performs one watch of the store.
async fn watch<P: Platform>(node: &Node<P>, after: u64, max_bytes: u64) -> WatchEnd {
    let store = node.store();
    let arrival = AnswerProgress::default();
    let call = WatchCall {
        prefix: ALL_KEYS,
        after,
        wait: watch_wait(node),
        max_bytes,
        arrival: &arrival,
    };
    tokio::select! {
        watched = store.watch(call) => match watched {
            Ok(changes) => {
                node.metrics.watch_answer_bytes.observe(arrival.bytes() as f64);
                WatchEnd::Answered {
                    changes,
                    arrived_for: arrival.elapsed(),
                }
            }
            Err(error) => {
                tracing::debug!(target: "directory", event = "watch failed", after, %error,
                    arrived_bytes = arrival.bytes());
                WatchEnd::Failed(error)
            }
        },
        end = interruption(node, after, &arrival) => end,
    }
}

/// Completes when a watch should be restarted, unless its answer is already arriving. An
/// arriving answer shows that the network path works, and the answer to a new watch would
/// only be longer. If the answer stalls, the call's own limits end it.
async fn interruption<P: Platform>(node: &Node<P>, after: u64, arrival: &AnswerProgress) -> WatchEnd {
    let end = tokio::select! {
        () = node.store_reachability.changed() => WatchEnd::Failed(StoreError::NoAnswer),
        () = node.platform.store().era().wait_for_rise() => WatchEnd::Failed(StoreError::HistoryGone),
        reached = until_overtaken(node, after) => WatchEnd::Overtaken { reached },
        () = relay::until_role_changes(node) => WatchEnd::RoleChanged,
    };
    if arrival.bytes() > 0 {
        return std::future::pending().await;
    }
    if let WatchEnd::Overtaken { reached } = end {
        tracing::warn!(target: "directory", event = "watch says nothing of a change", after, reached);
    }
    end
}

/// Returns the pause between two watches. It is short for orderers and relays, as other
/// nodes depend on them.
fn watch_pause<P: Platform>(node: &Node<P>) -> Duration {
    let pace = &node.settings.pace;
    if is_depended_on(node) {
        return pace.relay_watch_interval;
    }
    // Many nodes may have no relay at the same time.
    let shared = max_pause(node).min(node.settings.relay_patience());
    shared.max(pace.watch_interval)
}

/// Returns the maximum wait of one watch. It is short for orderers and relays, as each
/// answer proves that the changes they relay are complete.
fn watch_wait<P: Platform>(node: &Node<P>) -> Duration {
    let pace = &node.settings.pace;
    if is_depended_on(node) {
        pace.relay_watch_wait
    } else {
        pace.watch_wait
    }
}

/// Completes when the store's revision exceeds `after` and a pending watch has had time to
/// return the change: its answer was lost, its connection is dead, or the store's watches
/// do not work. Returns the store's revision. The relay may announce a higher revision
/// while stale reads still lag.
async fn until_overtaken<P: Platform>(node: &Node<P>, after: u64) -> u64 {
    loop {
        sleep(AUDIT_INTERVAL).await;
        let announced = node.state.borrow().directory.announced();
        if announced > after {
            return announced;
        }
        match node.store().reached_revision().await {
            Ok(reached) if reached > after => {
                sleep(AUDIT_SLACK).await;
                return reached;
            }
            Ok(_) => {}
            // The connection of the watch may be dead as well.
            Err(error) => {
                tracing::debug!(target: "directory", event = "audit of a watch failed", %error);
                node.store_reachability.record_call(false);
            }
        }
    }
}
