//! Follows the store: configuration, replicas, and the nodes' own entries.
//!
//! The orderer watches everything and relays the changes to the other nodes
//! ([`relay`]); a node watches by itself while no relay is believed. Configurations
//! only move forward. When history is gone, everything is read again; when the
//! store is away, what is known stays in force.

mod await_relay;
mod backoff;
pub mod relay;
mod unheard;
mod view;

use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;

use self::await_relay::{await_relay, hears_view_from_relay, must_ask_store};
use self::backoff::Backoff;
pub use self::unheard::read_holdings;
use self::view::ViewChange;
use crate::connection::Arrival;
use crate::node::Node;
use crate::ports::{Changes, Freshness, KeyValueStore, Platform, StoreError, WatchCall};
use crate::tree;

/// The prefix that is followed: all keys.
const EVERYTHING: &str = "";
/// Time after a node's start for which it waits for a relay: many may start
/// together, and no promise about time holds yet.
const FIRST_PATIENCE: Duration = Duration::from_millis(2500);
/// Calls a second with which all nodes together ask a store that fails: few
/// beside the thousands that a fleet's store serves.
const RETRIES_PER_SECOND: f64 = 100.0;
/// Longest pause after failed calls in a small fleet.
const LEAST_LONGEST_PAUSE: Duration = Duration::from_millis(600);
/// Longest pause in any fleet: half of the time after which nodes are taken to
/// be in touch with a store that came back.
const MOST_LONGEST_PAUSE: Duration = Duration::from_millis(2500);
/// Time between two looks at whether a waiting watch has been overtaken.
const AUDIT_EVERY: Duration = Duration::from_millis(700);
/// Bytes of history that a node takes in any case: 0.1 s over 10 Mbit/s.
const LEAST_HISTORY_BYTES: u64 = 128 * 1024;
/// History is read up to so many times the size of all that holds. On the wire an
/// item takes about one and a half times its size, so a node that must read all
/// after all has lost less than the time of one more such read.
const HISTORY_PER_STATE: u64 = 2;
/// The same for a node that others depend on, by its link: a fleet that starts is all
/// history, and a read of everything would take as long as that.
const HISTORY_TIME: Duration = Duration::from_millis(400);
/// Bytes that an entry of a replica or of a node takes in the store, about.
const ENTRY_BYTES: u64 = 250;
/// Time that a watch has to answer after the store moved on.
const AUDIT_SLACK: Duration = Duration::from_millis(300);

/// Follows the store until the process ends.
///
/// The first read may lag: what it misses comes by the relay or by a watch from
/// its revision on.
pub async fn follow<P: Platform>(node: Rc<Node<P>>) {
    let mut backoff = Backoff::default();
    let mut freshness = Freshness::MayLag;
    let mut patience = FIRST_PATIENCE;
    loop {
        if !hears_view_from_relay(&node).await {
            read_everything(&node, &mut backoff, freshness).await;
        }
        let reason = follow_changes(&node, &mut backoff, patience).await;
        let revision = node.state.borrow().directory.reached();
        tracing::warn!(target: "directory", event = "view is incomplete", %reason, revision);
        freshness = Freshness::Latest;
        patience = Duration::ZERO;
    }
}

/// Reads all items of the store, until that succeeds or a peer has told them meanwhile.
async fn read_everything<P: Platform>(node: &Node<P>, backoff: &mut Backoff, freshness: Freshness) {
    loop {
        // The pages of a read are of several moments: what is relayed in
        // between must not count as known.
        node.state.borrow_mut().directory.reset();
        let limit = backoff.read_limit();
        match node.store().range(EVERYTHING, freshness, limit).await {
            Ok(snapshot) if snapshot.revision < node.state.borrow().directory.reached() => {
                backoff.succeeded();
                // A peer told its whole view meanwhile, which is newer: taken in now, what
                // was read would count as complete up to there.
                tracing::info!(target: "directory", event = "read is older than what a peer told",
                    revision = snapshot.revision);
                return;
            }
            Ok(snapshot) => {
                backoff.succeeded();
                tracing::info!(target: "directory", event = "read everything", items = snapshot.items.len(),
                    revision = snapshot.revision);
                node.step_times
                    .time("read of everything", || view::apply_snapshot(node, snapshot));
                tree::gap_closed(node);
                return;
            }
            Err(error) => backoff.pause(&error, "range", longest_pause(node)).await,
        }
        if relay::covers(node) && !must_ask_store(node) {
            return;
        }
    }
}

/// True if other nodes hear of changes through this one.
fn is_depended_on<P: Platform>(node: &Node<P>) -> bool {
    node.gives_orders() || tree::is_relay(node)
}

/// Why a node's view cannot go on from what it knows.
#[derive(Debug, thiserror::Error)]
enum ViewGap {
    /// The history between cannot be had, or is longer than is worth reading.
    #[error("{0}")]
    History(StoreError),
    /// The node knows some replicas, and now needs all.
    #[error("only some replicas are known")]
    Replicas,
}

/// Most bytes of history that are worth reading at once.
fn most_history_bytes<P: Platform>(node: &Node<P>) -> u64 {
    let state = node.state.borrow();
    let entries = state.replicas.len() + state.members.node_count();
    let configuration = state
        .configuration_item
        .as_ref()
        .map_or(0, |item| item.value.len());
    let holds_bytes = entries as u64 * ENTRY_BYTES + configuration as u64;
    drop(state);
    let most = LEAST_HISTORY_BYTES.max(HISTORY_PER_STATE * holds_bytes);
    if !is_depended_on(node) {
        return most;
    }
    let link = node.settings.identity.link_bytes_per_s as f64;
    most.max((link * HISTORY_TIME.as_secs_f64()) as u64)
}

/// How a node's own watch ended.
enum WatchEnd {
    /// The store answered.
    Answered {
        /// What it said.
        changes: Changes,
        /// Time from the first byte of the answer to its last.
        arrived_for: Duration,
    },
    /// It failed.
    Failed(StoreError),
    /// The store moved on and the watch did not say so.
    Overtaken {
        /// A revision that the store has reached.
        reached: u64,
    },
    /// The relay is believed again, or the orderer's lease came or went.
    RoleChanged,
}

/// Follows changes, by the relay or by watching, until history cannot be had or
/// is longer than is worth reading; answers which.
async fn follow_changes<P: Platform>(
    node: &Node<P>,
    backoff: &mut Backoff,
    first_patience: Duration,
) -> ViewGap {
    let mut at_once = true;
    await_relay(node, first_patience).await;
    if !relay::covers(node) && tree::is_below_relays(node) {
        hears_view_from_relay(node).await;
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
        let asked_at = node.clock.now();
        match watch(node, after, most_history_bytes(node)).await {
            WatchEnd::Answered { changes, arrived_for } => {
                backoff.succeeded();
                // What took long to arrive is old already.
                at_once = arrived_for > relay::PROMPT_ANSWER;
                node.step_times.time("answer of a watch", || {
                    let changes = changes.without_replaced();
                    relay::pass_on(node, &changes, asked_at);
                    let events = changes.events.into_iter().map(ViewChange::Store);
                    view::apply_changes(node, events, changes.revision);
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

/// Longest pause of a node after failed calls: all nodes together ask a store
/// that is away at a bounded rate, but those that others depend on ask often.
fn longest_pause<P: Platform>(node: &Node<P>) -> Duration {
    if is_depended_on(node) {
        return LEAST_LONGEST_PAUSE;
    }
    let nodes = node.state.borrow().members.node_count();
    let shared = Duration::from_secs_f64(nodes as f64 / RETRIES_PER_SECOND);
    shared.clamp(LEAST_LONGEST_PAUSE, MOST_LONGEST_PAUSE)
}

/// A watch failed: pauses, but no longer than until the relay is believed again.
async fn pause_unless_covered<P: Platform>(node: &Node<P>, backoff: &mut Backoff, error: &StoreError) {
    let covered = async {
        while !relay::covers(node) {
            node.relay_changed.notified().await;
        }
    };
    tokio::select! {
        () = backoff.pause(error, "watch", longest_pause(node)) => {}
        () = covered => {}
    }
}

/// One watch by the node itself.
async fn watch<P: Platform>(node: &Node<P>, after: u64, most_bytes: u64) -> WatchEnd {
    let store = node.store();
    let arrival = Arrival::default();
    let call = WatchCall {
        prefix: EVERYTHING,
        after,
        wait: watch_wait(node),
        most_bytes,
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

/// Ends when a watch had better begin anew, unless its answer is arriving. That
/// shows that its path works, and begun anew it would only be longer; limits of
/// its own end it if it stops.
async fn interruption<P: Platform>(node: &Node<P>, after: u64, arrival: &Arrival) -> WatchEnd {
    let end = tokio::select! {
        () = node.store_path.changed() => WatchEnd::Failed(StoreError::NoAnswer),
        () = node.platform.store().era().risen() => WatchEnd::Failed(StoreError::HistoryGone),
        reached = overtaken(node, after) => WatchEnd::Overtaken { reached },
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

/// Pause between two watches. An orderer's and a relay's are short, as other
/// nodes depend on them.
fn watch_pause<P: Platform>(node: &Node<P>) -> Duration {
    let pace = &node.settings.pace;
    if is_depended_on(node) {
        return pace.relay_watch_every;
    }
    // Many nodes may be without a relay at the same time.
    let shared = longest_pause(node).min(node.settings.relay_patience());
    shared.max(pace.watch_every)
}

/// Longest wait of one watch. An orderer's and a relay's end soon: each answer
/// proves that what it relays is complete.
fn watch_wait<P: Platform>(node: &Node<P>) -> Duration {
    let pace = &node.settings.pace;
    if is_depended_on(node) {
        pace.relay_watch_wait
    } else {
        pace.watch_wait
    }
}

/// Ends when the store has moved past `after` and a waiting watch has had time
/// to say so: its answer was lost, its path is dead, or the store's watches
/// hear nothing. The relay may know of it while stale reads are behind.
async fn overtaken<P: Platform>(node: &Node<P>, after: u64) -> u64 {
    loop {
        sleep(AUDIT_EVERY).await;
        let told = node.state.borrow().directory.announced();
        if told > after {
            return told;
        }
        match node.store().reached_revision().await {
            Ok(reached) if reached > after => {
                sleep(AUDIT_SLACK).await;
                return reached;
            }
            Ok(_) => {}
            // The watch's own path may be as dead.
            Err(error) => {
                tracing::debug!(target: "directory", event = "audit of a watch failed", %error);
                node.store_path.call_ended(false);
            }
        }
    }
}
