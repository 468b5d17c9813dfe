//! Waiting for a relay: what a node reads of the store meanwhile, and for how long.

use std::time::Duration;

use rand::Rng;
use tokio::time::sleep;

use super::{is_depended_on, relay, view};
use crate::membership::{zone_prefix, ORDERER_PREFIX};
use crate::node::Node;
use crate::ports::{Freshness, KeyValueStore, Platform, RecordReader};
use crate::tree;

/// Longest wait for a part of one of the cheap reads.
const LOOK_LIMIT: Duration = Duration::from_millis(900);
/// Time between two cheap reads while a node waits for a relay, on average.
const LOOK_EVERY: Duration = Duration::from_millis(400);
/// The same in a large fleet, where a node knows its relays from its first look. All
/// nodes of a thousand that look every 0.4 s take 85 % of the store's link, which the
/// relays need to read what they are waited for.
const LARGE_FLEET_LOOK_EVERY: Duration = Duration::from_secs(2);
/// Shortest time for which a node waits for its relays before it reads everything itself,
/// for each node that it knows, which are those of its zone at first: 5 s of 164, as of a
/// thousand nodes before ten thousand replicas 45 relays have read everything after 2.5 s,
/// and all nodes together after 40; 1.5 s of 49.
const PATIENCE_PER_NODE: Duration = Duration::from_millis(30);
/// Time for which a node of a large fleet leaves the configuration to its relays.
const LATE_CONFIGURATION: Duration = Duration::from_millis(4000);

/// In a large fleet waits for a relay to tell all that it knows; true once one did.
pub(super) async fn hears_view_from_relay<P: Platform>(node: &Node<P>) -> bool {
    if must_ask_store(node) || misses_little(node) {
        return false;
    }
    look_for_configuration(node).await;
    if !tree::is_below_relays(node) {
        look_at(node, &zone_prefix(&node.settings.identity.zone)).await;
    }
    let share = rand::rng().random_range(1.0..2.0);
    let known = node.state.borrow().members.node_count();
    let until = node.clock.now() + (PATIENCE_PER_NODE * known as u32).mul_f64(share);
    let may_wait = || tree::is_below_relays(node) && !must_ask_store(node) && node.clock.now() < until;
    while !relay::covers(node) && may_wait() {
        await_relay(node, LARGE_FLEET_LOOK_EVERY).await;
    }
    relay::covers(node)
}

/// True if this node has had a view and a read of everything is no longer than a message:
/// what it missed then must not wait for a relay that may miss the same.
fn misses_little<P: Platform>(node: &Node<P>) -> bool {
    let state = node.state.borrow();
    let is_small = state.replicas.len() <= node.settings.most_replicas_told && !state.tree.is_narrow();
    state.directory.reached() > 0 && is_small
}

/// A node that has had a view, and waits for a relay to tell what it missed, reads the
/// configuration by itself: that has a deadline.
async fn look_for_configuration<P: Platform>(node: &Node<P>) {
    if node.state.borrow().directory.reached() == 0 {
        return;
    }
    let key = node.platform.records().configuration_key();
    match node.store().range(key, Freshness::Latest, LOOK_LIMIT).await {
        Ok(snapshot) => view::apply_newer(node, snapshot),
        Err(error) => tracing::warn!(target: "directory", event = "no configuration read", %error),
    }
}

/// True if no relay can be waited for: others depend on this node, or no relay can tell
/// what it lacks.
pub(super) fn must_ask_store<P: Platform>(node: &Node<P>) -> bool {
    is_depended_on(node) || tree::is_history_gone(node) || tree::lacks_replicas(node)
}

/// Waits for what the relay tells to be believed (again), for as long as the
/// store need not be watched; looks meanwhile for who could tell. An orderer and
/// a relay wait for nobody: others depend on them.
pub(super) async fn await_relay<P: Platform>(node: &Node<P>, patience: Duration) {
    let begun = node.clock.now();
    let until = begun + patience;
    let mut next_look = begun + look_pause(node);
    loop {
        let now = node.clock.now();
        if relay::covers(node) || must_ask_store(node) || now >= until {
            return;
        }
        if now >= next_look {
            look_for_peers(node, now.since(begun) >= LATE_CONFIGURATION).await;
            next_look = node.clock.now()
                + LOOK_EVERY
                    .max(look_pause(node))
                    .mul_f64(rand::rng().random_range(0.75..1.25));
        }
        let pause = next_look.min(until).since(node.clock.now());
        tokio::select! {
            () = sleep(pause) => {}
            () = node.relay_changed.notified() => {}
        }
    }
}

/// Pause before a waiting node looks for peers: none in a small fleet.
fn look_pause<P: Platform>(node: &Node<P>) -> Duration {
    if tree::is_below_relays(node) {
        LARGE_FLEET_LOOK_EVERY
    } else {
        Duration::ZERO
    }
}

/// Cheap reads of what a node needs to find whom to hear: the configuration if it has
/// none, as nobody is listed without one; then the nodes of its zone, and in a fleet
/// without relays the orderers. In a large fleet relays tell the configuration, unless
/// they are late. Nothing is read while a peer is heard.
async fn look_for_peers<P: Platform>(node: &Node<P>, relays_are_late: bool) {
    let has_configuration = node.configuration().is_some();
    if has_configuration && node.state.borrow().linked.contains(&true) {
        return;
    }
    let is_below = tree::is_below_relays(node);
    if is_below && tree::follows_relay(node) && !relays_are_late {
        // It tells all of that as soon as it can.
        return;
    }
    if !has_configuration && (relays_are_late || !is_below) {
        look_at(node, node.platform.records().configuration_key()).await;
    }
    if node.configuration().is_none() && !is_below {
        return;
    }
    look_at(node, &zone_prefix(&node.settings.identity.zone)).await;
    if !tree::is_below_relays(node) {
        look_at(node, ORDERER_PREFIX).await;
    }
}

/// Takes in what a cheap read of a prefix finds.
async fn look_at<P: Platform>(node: &Node<P>, prefix: &str) {
    let read = node.store().range(prefix, Freshness::MayLag, LOOK_LIMIT).await;
    match read {
        Ok(snapshot) => view::apply_newer(node, snapshot),
        Err(error) => tracing::debug!(target: "directory", event = "no peers read", prefix, %error),
    }
}
