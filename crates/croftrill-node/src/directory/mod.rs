//! Follows the store: configuration, replicas, and the nodes' own entries.
//!
//! The orderer watches everything and relays the changes to the other nodes
//! ([`relay`]); a node watches by itself while no relay is believed. Configurations
//! only move forward. When history is gone, everything is read again; when the
//! store is away, what is known stays in force.

mod backoff;
pub mod relay;
mod view;

use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use tokio::time::sleep;

use self::backoff::Backoff;
use self::view::ViewChange;
use crate::connection::Arrival;
use crate::membership::OWN_PREFIX;
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
/// Longest wait for a part of one of the cheap reads.
const LOOK_LIMIT: Duration = Duration::from_millis(900);
/// Time between two cheap reads while a node waits for a relay, on average.
const LOOK_EVERY: Duration = Duration::from_millis(400);
/// Time between two looks at whether a waiting watch has been overtaken.
const AUDIT_EVERY: Duration = Duration::from_millis(700);
/// Bytes of history that a node takes in any case: 0.1 s over 10 Mbit/s.
const LEAST_HISTORY_BYTES: u64 = 128 * 1024;
/// History is read up to so many times the size of all that holds. On the wire an
/// item takes about one and a half times its size, so a node that must read all
/// after all has lost less than the time of one more such read.
const HISTORY_PER_STATE: u64 = 2;
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
        // The pages of a read are of several moments: what is relayed in
        // between must not count as known.
        node.state.borrow_mut().directory.restart();
        let limit = backoff.read_limit();
        let snapshot = match node.store().range(EVERYTHING, freshness, limit).await {
            Ok(snapshot) => snapshot,
            Err(error) => {
                backoff.pause(&error, "range", longest_pause(&node)).await;
                continue;
            }
        };
        backoff.succeeded();
        let most_history_bytes = LEAST_HISTORY_BYTES.max(HISTORY_PER_STATE * snapshot.size_bytes());
        view::apply_snapshot(&node, snapshot);
        tree::gap_closed(&node);
        let reason = follow_changes(&node, &mut backoff, patience, most_history_bytes).await;
        let revision = node.state.borrow().directory.reached();
        tracing::warn!(target: "directory", event = "reading everything", %reason, revision);
        freshness = Freshness::Latest;
        patience = Duration::ZERO;
    }
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
    most_history_bytes: u64,
) -> StoreError {
    let mut at_once = true;
    await_relay(node, first_patience).await;
    loop {
        while relay::covers(node) {
            relay::while_covered(node).await;
            await_relay(node, node.settings.relay_patience()).await;
            at_once = true;
        }
        if !std::mem::take(&mut at_once) {
            sleep(watch_pause(node)).await;
            if relay::covers(node) {
                continue;
            }
        }
        let after = node.state.borrow().directory.reached();
        let asked_at = node.clock.now();
        match watch(node, after, most_history_bytes).await {
            WatchEnd::Answered { changes, arrived_for } => {
                backoff.succeeded();
                // What took long to arrive is old already.
                at_once = arrived_for > relay::PROMPT_ANSWER;
                let changes = changes.without_replaced();
                relay::pass_on(node, &changes, asked_at);
                let events = changes.events.into_iter().map(ViewChange::Store);
                view::apply_changes(node, events, changes.revision);
            }
            WatchEnd::Failed(error @ (StoreError::HistoryGone | StoreError::HistoryTooLong)) => {
                return error;
            }
            WatchEnd::Failed(error) => pause_unless_covered(node, backoff, &error).await,
            WatchEnd::Overtaken { .. } | WatchEnd::RoleChanged => at_once = true,
        }
    }
}

/// Longest pause of a node after failed calls: all nodes together ask a store
/// that is away at a bounded rate, but those that others depend on ask often.
fn longest_pause<P: Platform>(node: &Node<P>) -> Duration {
    if node.gives_orders() || tree::is_relay(node) {
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

/// Waits for what the relay tells to be believed (again), for as long as the
/// store need not be watched; looks meanwhile for who could tell. An orderer and
/// a relay wait for nobody: others depend on them.
async fn await_relay<P: Platform>(node: &Node<P>, patience: Duration) {
    let until = node.clock.now() + patience;
    let mut next_look = node.clock.now();
    loop {
        let now = node.clock.now();
        let is_depended_on = node.gives_orders() || tree::is_relay(node);
        if relay::covers(node) || is_depended_on || tree::is_history_gone(node) || now >= until {
            return;
        }
        if now >= next_look {
            look_for_peers(node).await;
            next_look = node.clock.now() + LOOK_EVERY.mul_f64(rand::rng().random_range(0.75..1.25));
        }
        let pause = next_look.min(until).since(node.clock.now());
        tokio::select! {
            () = sleep(pause) => {}
            () = node.relay_changed.notified() => {}
        }
    }
}

/// A cheap read of what a node needs to find the relay: the configuration, if it
/// has none, and the nodes. Nothing is read while a peer is heard.
async fn look_for_peers<P: Platform>(node: &Node<P>) {
    let has_configuration = node.configuration().is_some();
    if has_configuration && node.state.borrow().linked.contains(&true) {
        return;
    }
    let prefix = if has_configuration { OWN_PREFIX } else { EVERYTHING };
    let read = node.store().range(prefix, Freshness::MayLag, LOOK_LIMIT).await;
    match read {
        Ok(snapshot) => view::apply_newer(node, snapshot),
        Err(error) => tracing::debug!(target: "directory", event = "no peers read", %error),
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
    if node.gives_orders() || tree::is_relay(node) {
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
    if node.gives_orders() || tree::is_relay(node) {
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
        let told = node.state.borrow().directory.told();
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
