//! Waits for a relay to be trusted, and reads from the store what is needed meanwhile.

use std::time::Duration;

use rand::Rng;
use tokio::time::sleep;

use super::{is_depended_on, relay, view};
use crate::membership::{zone_prefix, ORDERER_PREFIX};
use crate::node::Node;
use crate::ports::{Freshness, KeyValueStore, Platform, RecordReader};
use crate::tree;

/// Timeout for a page of a small read.
const POLL_TIMEOUT: Duration = Duration::from_millis(900);
/// Average time between two small reads while a node waits for a relay.
const POLL_INTERVAL: Duration = Duration::from_millis(400);
/// Time between two small reads in a large fleet, where a node knows its relays after the
/// first read. A thousand nodes that read every 0.4 s use 85 % of the store's link, which
/// the relays need to read the view that the nodes wait for.
const LARGE_FLEET_POLL_INTERVAL: Duration = Duration::from_secs(2);
/// Minimum time for which a node waits for its relays before it reads everything itself,
/// per node that it knows. At first it knows the nodes of its zone: it waits 5 s with 164
/// of them and 1.5 s with 49. With a thousand nodes and ten thousand replicas, 45 relays
/// need 2.5 s to read everything, and all nodes together would need 40 s.
const PATIENCE_PER_NODE: Duration = Duration::from_millis(30);
/// Time for which a node of a large fleet relies on its relays for the configuration.
const CONFIGURATION_PATIENCE: Duration = Duration::from_millis(4000);

/// In a large fleet, waits for a relay to publish its full view. Returns true if one did.
pub(super) async fn receives_view_from_relay<P: Platform>(node: &Node<P>) -> bool {
    if must_read_store(node) || is_full_read_cheap(node) {
        return false;
    }
    poll_configuration(node).await;
    if !tree::has_follower_role(node) {
        poll_prefix(node, &zone_prefix(&node.settings.identity.zone)).await;
    }
    let share = rand::rng().random_range(1.0..2.0);
    let node_count = node.state.borrow().members.node_count();
    let until = node.clock.now() + (PATIENCE_PER_NODE * node_count as u32).mul_f64(share);
    let may_wait = || tree::has_follower_role(node) && !must_read_store(node) && node.clock.now() < until;
    while !relay::covers(node) && may_wait() {
        await_relay(node, LARGE_FLEET_POLL_INTERVAL).await;
    }
    relay::covers(node)
}

/// Returns true if this node has had a view and a read of everything is no larger than a
/// message. Then the node does not wait for a relay that may have missed the same changes.
fn is_full_read_cheap<P: Platform>(node: &Node<P>) -> bool {
    let state = node.state.borrow();
    let is_small =
        state.replicas.len() <= node.settings.max_replicas_in_full_view && !state.tree.is_partial();
    state.directory.reached() > 0 && is_small
}

/// Reads the configuration if this node has had a view and waits for a relay to publish the
/// changes that it missed, as a new configuration must arrive within a deadline.
async fn poll_configuration<P: Platform>(node: &Node<P>) {
    if node.state.borrow().directory.reached() == 0 {
        return;
    }
    let key = node.platform.records().configuration_key();
    match node.store().range(key, Freshness::Latest, POLL_TIMEOUT).await {
        Ok(snapshot) => view::apply_newer(node, snapshot),
        Err(error) => tracing::warn!(target: "directory", event = "reading the configuration failed", %error),
    }
}

/// Returns true if this node must not wait for a relay: others depend on it, or no relay
/// can publish what it lacks.
pub(super) fn must_read_store<P: Platform>(node: &Node<P>) -> bool {
    is_depended_on(node) || tree::is_history_lost(node) || tree::lacks_replicas(node)
}

/// Waits until the relay is trusted, for up to `patience`, and meanwhile reads the entries
/// of nodes that may be relays. Orderers and relays do not wait, as others depend on them.
pub(super) async fn await_relay<P: Platform>(node: &Node<P>, patience: Duration) {
    let started_at = node.clock.now();
    let until = started_at + patience;
    let mut next_poll = started_at + poll_delay(node);
    loop {
        let now = node.clock.now();
        if relay::covers(node) || must_read_store(node) || now >= until {
            return;
        }
        if now >= next_poll {
            poll_peers(node, now.since(started_at) >= CONFIGURATION_PATIENCE).await;
            next_poll = node.clock.now()
                + POLL_INTERVAL
                    .max(poll_delay(node))
                    .mul_f64(rand::rng().random_range(0.75..1.25));
        }
        let pause = next_poll.min(until).since(node.clock.now());
        tokio::select! {
            () = sleep(pause) => {}
            () = node.relay_changed.notified() => {}
        }
    }
}

/// Returns the pause before a waiting node reads the entries of its peers: none in a small
/// fleet.
fn poll_delay<P: Platform>(node: &Node<P>) -> Duration {
    if tree::has_follower_role(node) {
        LARGE_FLEET_POLL_INTERVAL
    } else {
        Duration::ZERO
    }
}

/// Performs the small reads that a node needs to find its peers: the configuration if it
/// has none, as no node is listed without one; then the nodes of its zone, and in a fleet
/// without relays the orderers. In a large fleet the relays publish the configuration,
/// unless they are late. A node with a configuration and a link to an orderer reads nothing.
async fn poll_peers<P: Platform>(node: &Node<P>, relays_are_late: bool) {
    let has_configuration = node.configuration().is_some();
    if has_configuration && node.state.borrow().linked.contains(&true) {
        return;
    }
    let is_follower = tree::has_follower_role(node);
    if is_follower && tree::follows_relay(node) && !relays_are_late {
        // The relay publishes all of this as soon as it can.
        return;
    }
    if !has_configuration && (relays_are_late || !is_follower) {
        poll_prefix(node, node.platform.records().configuration_key()).await;
    }
    if node.configuration().is_none() && !is_follower {
        return;
    }
    poll_prefix(node, &zone_prefix(&node.settings.identity.zone)).await;
    if !tree::has_follower_role(node) {
        poll_prefix(node, ORDERER_PREFIX).await;
    }
}

/// Reads a prefix and applies the items that are new.
async fn poll_prefix<P: Platform>(node: &Node<P>, prefix: &str) {
    let read = node.store().range(prefix, Freshness::MayLag, POLL_TIMEOUT).await;
    match read {
        Ok(snapshot) => view::apply_newer(node, snapshot),
        Err(error) => tracing::debug!(target: "directory", event = "reading peers failed", prefix, %error),
    }
}
