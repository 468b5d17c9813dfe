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

use tokio::time::sleep;

use self::backoff::Backoff;
use self::view::ViewChange;
use crate::node::Node;
use crate::ports::{Changes, KeyValueStore, Platform, StoreError};

/// The prefix that is followed: all keys.
const EVERYTHING: &str = "";
/// Time between two looks at whether a waiting watch has been overtaken.
const AUDIT_EVERY: Duration = Duration::from_millis(700);
/// Time that a watch has to answer after the store moved on.
const AUDIT_SLACK: Duration = Duration::from_millis(300);

/// Follows the store until the process ends.
pub async fn follow<P: Platform>(node: Rc<Node<P>>) {
    let mut backoff = Backoff::default();
    loop {
        // The pages of a read are of several moments: what is relayed in
        // between must not count as known.
        node.state.borrow_mut().directory.restart();
        let snapshot = match node.store().range(EVERYTHING, backoff.read_limit()).await {
            Ok(snapshot) => snapshot,
            Err(error) => {
                backoff.pause(&error, "range").await;
                continue;
            }
        };
        backoff.succeeded();
        view::apply_snapshot(&node, snapshot);
        follow_changes(&node, &mut backoff).await;
        let revision = node.state.borrow().directory.reached();
        tracing::warn!(target: "directory", event = "history gone, reading everything", revision);
    }
}

/// How a node's own watch ended.
enum WatchEnd {
    /// The store answered.
    Answered(Changes),
    /// It failed.
    Failed(StoreError),
    /// The store moved on and the watch did not say so.
    Overtaken,
    /// The relay is believed again, or the orderer's lease came or went.
    RoleChanged,
}

/// Follows changes, by the relay or by watching, until history is gone.
async fn follow_changes<P: Platform>(node: &Node<P>, backoff: &mut Backoff) {
    let mut at_once = true;
    loop {
        if relay::covers(node) {
            relay::while_covered(node).await;
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
        match watch(node, after).await {
            WatchEnd::Answered(changes) => {
                backoff.succeeded();
                relay::pass_on(node, after, &changes, asked_at);
                let events = changes.events.into_iter().map(ViewChange::Store);
                view::apply_changes(node, events, changes.revision);
            }
            WatchEnd::Failed(StoreError::HistoryGone) => return,
            WatchEnd::Failed(error) => backoff.pause(&error, "watch").await,
            WatchEnd::Overtaken => at_once = true,
            WatchEnd::RoleChanged => at_once = true,
        }
    }
}

/// One watch by the node itself.
async fn watch<P: Platform>(node: &Node<P>, after: u64) -> WatchEnd {
    let store = node.store();
    tokio::select! {
        watched = store.watch(EVERYTHING, after, watch_wait(node)) => match watched {
            Ok(changes) => WatchEnd::Answered(changes),
            Err(error) => WatchEnd::Failed(error),
        },
        () = node.store_path.changed() => WatchEnd::Failed(StoreError::NoAnswer),
        reached = overtaken(node, after) => {
            tracing::warn!(target: "directory", event = "watch says nothing of a change", after, reached);
            WatchEnd::Overtaken
        }
        () = relay::until_role_changes(node) => WatchEnd::RoleChanged,
    }
}

/// Pause between two watches. The orderer's are short, as all nodes depend on them.
fn watch_pause<P: Platform>(node: &Node<P>) -> Duration {
    let pace = &node.settings.pace;
    if node.gives_orders() {
        pace.relay_watch_every
    } else {
        pace.watch_every
    }
}

/// Longest wait of one watch. The orderer's end soon: each answer proves that
/// what it relays is complete.
fn watch_wait<P: Platform>(node: &Node<P>) -> Duration {
    let pace = &node.settings.pace;
    if node.gives_orders() {
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
            _ => {}
        }
    }
}
