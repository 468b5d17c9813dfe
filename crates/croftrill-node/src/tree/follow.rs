//! Links a follower to a relay and applies the relay's messages.

use std::collections::{HashMap, HashSet};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use croftrill_scheduler::followed_view::LinkDelay;
use croftrill_scheduler::relay_tree::TreeRole;
use croftrill_scheduler::shard::Shard;
use nanoserde::SerBin;
use tokio::sync::mpsc;
use tokio::time::{sleep, Instant};

use super::{candidate_relays, role_of, Uplink};
use crate::configuration::link::ConfigurationLink;
use crate::directory::relay::{self, FullViewChunks};
use crate::link::PeerLink;
use crate::load_updates;
use crate::node::Node;
use crate::peer::{FromOrderer, ToOrderer, WireFollow, WireModel, WireReplicas, WireScope};
use crate::peer_link::{self, silence_limit};
use crate::ports::Platform;
use crate::replica_versions;
use crate::wire::decode;

/// Maximum time between two checks for a relay to follow.
const RELAY_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Time for which a failed relay is not tried again while there are others.
const FAILED_RELAY_COOLDOWN: Duration = Duration::from_secs(3);
/// Maximum time to follow a relay that receives updates from neither orderers nor the
/// store: about the time for which its updates are trusted.
const MAX_USELESS_RELAY_TIME: Duration = Duration::from_millis(1300);
/// Maximum time to wait at a relay that has no view to publish yet. This is twice the time
/// in which 45 relays read a view of ten thousand replicas at once (5 MB each over
/// 1,000 Mbit/s: 1.8 s).
const MAX_RELAY_PREPARATION: Duration = Duration::from_secs(4);
/// Time between two checks for interests that are no longer used.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(10);

/// Follows a relay of the zone whenever there is one, until the process ends. While none
/// is reachable, a node that may know all replicas is linked to the orderers directly.
pub async fn follow_relays<P: Platform>(node: Rc<Node<P>>, mut outgoing: mpsc::Receiver<ToOrderer>) {
    let mut failed: HashMap<SocketAddr, Instant> = HashMap::new();
    loop {
        failed.retain(|_, at| at.elapsed() < FAILED_RELAY_COOLDOWN);
        let relays = candidate_relays(&node);
        let relay = relays.iter().find(|address| !failed.contains_key(address));
        let Some(address) = relay.copied() else {
            leave_relays(&node);
            // The messages are meant only for a peer that the node is linked to.
            while outgoing.try_recv().is_ok() {}
            let pause = sleep(RELAY_CHECK_INTERVAL);
            tokio::select! {
                () = pause => {}
                () = node.relay_changed.notified() => {}
                () = node.view_changed.notified(), if relays.is_empty() => {}
            }
            if !relays.is_empty() {
                // All relays failed, so none is preferred: each may be reachable again.
                failed.clear();
            }
            continue;
        };
        let ended = follow_relay(&node, address, &mut outgoing).await;
        let error = ended.err().map(|error| error.to_string());
        tracing::info!(target: "peer", event = "link to the relay ended", %address, error);
        failed.insert(address, Instant::now());
    }
}

/// Sets the uplink for a node that has no relay to follow, or whose relays are all
/// unreachable.
fn leave_relays<P: Platform>(node: &Node<P>) {
    let uplink = fallback_uplink(node);
    let former = std::mem::replace(&mut node.state.borrow_mut().tree.uplink, uplink);
    if former == uplink {
        return;
    }
    tracing::info!(target: "peer", event = "no relay", ?uplink);
    node.state.borrow_mut().tree.reset_link();
    for shard in Shard::all() {
        peer_link::set_linked(node, shard, false);
    }
    node.relay_changed.notify_waiters();
}

/// Returns the uplink of a node without a relay. Orderers publish all replicas over their
/// direct links. Nodes that are not followers use these links, and in a fleet of few
/// replicas all nodes may. In a large fleet the followers would saturate the orderers'
/// links, so they continue with the replicas that they know.
fn fallback_uplink<P: Platform>(node: &Node<P>) -> Uplink {
    let state = node.state.borrow();
    let is_follower = matches!(role_of(node, &state.members), TreeRole::Follower(_));
    let is_large = state.tree.is_partial || state.replicas.len() > node.settings.max_replicas_in_full_view;
    if is_follower && is_large {
        Uplink::Nobody
    } else {
        Uplink::Orderers
    }
}

/// Returns true while the relay is linked to an orderer or publishes the store's changes.
fn is_useful<P: Platform>(node: &Node<P>) -> bool {
    let now = node.clock.now();
    let state = node.state.borrow();
    state.linked.contains(&true) || state.directory.trusts_relay(now)
}

/// The state of a link to a relay.
struct RelayLinkState {
    delay: LinkDelay,
    full_view: FullViewChunks,
    /// True once the relay has had a view to publish.
    has_started: bool,
    /// True once the relay published replicas of an older view than this node's.
    lags_behind: bool,
}

/// Follows a relay until the link ends, the relay receives no updates itself, or this node
/// must not follow it any more.
async fn follow_relay<P: Platform>(
    node: &Rc<Node<P>>,
    address: SocketAddr,
    outgoing: &mut mpsc::Receiver<ToOrderer>,
) -> io::Result<()> {
    let mut link = PeerLink::connect(address, silence_limit(node)).await?;
    node.state.borrow_mut().tree.reset_link();
    link.send(Bytes::from(follow_message(node).serialize_bin()))
        .await?;
    let is_ready = node.state.borrow().members.peer_exchanges_configurations(address);
    let configurations = ConfigurationLink::open(node, is_ready);
    let mut link_state = RelayLinkState {
        delay: LinkDelay::default(),
        full_view: FullViewChunks::default(),
        has_started: false,
        lags_behind: false,
    };
    let linked_at = Instant::now();
    let mut useful_at = Instant::now();
    let mut next_expiry = Instant::now() + EXPIRY_INTERVAL;
    while !node.gives_orders() && !node.state.borrow().tree.is_relay_requested {
        if node.state.borrow().tree.exceeds_published {
            // On a new link, the relay publishes all replicas that this node must know, and
            // the node forgets the others. The relay's messages on the current link assume
            // that this node knows fewer replicas than it does.
            return Err(io::Error::other(
                "the node knows replicas that the relay does not tell of",
            ));
        }
        let is_preparing = !link_state.has_started && linked_at.elapsed() < MAX_RELAY_PREPARATION;
        if is_useful(node) || is_preparing {
            useful_at = Instant::now();
        } else if useful_at.elapsed() > MAX_USELESS_RELAY_TIME {
            return Err(io::Error::other("the relay hears nothing itself"));
        }
        if Instant::now() >= next_expiry {
            next_expiry = Instant::now() + EXPIRY_INTERVAL;
            expire_interests(node, &mut link).await?;
        }
        tokio::select! {
            frame = link.next_or_timeout() => {
                let Some(frame) = frame? else { return Err(io::ErrorKind::ConnectionReset.into()) };
                peer_link::record_uplink_heard(node);
                if node.state.borrow().tree.exceeds_published {
                    continue;
                }
                let message = decode::<FromOrderer>(&frame)?;
                if let FromOrderer::Configuration(message) = message {
                    configurations.receive(message);
                    continue;
                }
                let reply = node
                    .step_times
                    .time("message of a relay", || handle_message(node, address, message, &mut link_state));
                if let Some(reply) = reply {
                    link.send(Bytes::from(reply.serialize_bin())).await?;
                }
                if link_state.lags_behind {
                    // The changes that this node rejected would not be sent again. On a new
                    // link, the relay waits until it has caught up, and then publishes all
                    // replicas that this node must know.
                    return Err(io::Error::other("the relay lags behind"));
                }
            }
            message = configurations.next() => {
                link.send(Bytes::from(ToOrderer::Configuration(message).serialize_bin())).await?;
            }
            message = outgoing.recv() => {
                let Some(message) = message else { return Ok(()) };
                if let Some(message) = load_updates::encode_outgoing(node, address, &message) {
                    link.send(message).await?;
                }
            }
            // This node may have become an orderer, or another node tried to follow it.
            () = node.relay_changed.notified() => {}
        }
    }
    Ok(())
}

fn follow_message<P: Platform>(node: &Node<P>) -> ToOrderer {
    let identity = &node.settings.identity;
    let state = node.state.borrow();
    ToOrderer::Follow(WireFollow {
        name: identity.name.clone(),
        zone: identity.zone.clone(),
        reached: state.directory.reached(),
        knows_all: !state.tree.is_partial,
        interests: state
            .tree
            .interests
            .iter()
            .map(WireModel::from_interest)
            .collect(),
    })
}

/// Drops the interests that requests have not used for long, and sends them to the relay.
async fn expire_interests<P: Platform>(node: &Node<P>, link: &mut PeerLink) -> io::Result<()> {
    let now = node.clock.now();
    let unused = node.state.borrow_mut().tree.interests.expire(now);
    if unused.is_empty() {
        return Ok(());
    }
    let unused = unused.iter().map(WireModel::from_interest).collect();
    let message = ToOrderer::RemoveInterests(unused).serialize_bin();
    link.send(Bytes::from(message)).await
}

/// Handles a message of a relay and returns the reply to it, if any.
fn handle_message<P: Platform>(
    node: &Rc<Node<P>>,
    relay: SocketAddr,
    message: FromOrderer,
    link_state: &mut RelayLinkState,
) -> Option<ToOrderer> {
    match message {
        FromOrderer::Linked(linked) => apply_linked(node, relay, &linked),
        FromOrderer::Scope(scope) => {
            link_state.has_started = true;
            apply_scope(node, scope);
        }
        FromOrderer::Replicas(replicas) => link_state.lags_behind |= !apply_replicas(node, replicas),
        FromOrderer::Versions(versions) => replica_versions::apply(node, &versions),
        FromOrderer::Forgotten(ids) => {
            let mut state = node.state.borrow_mut();
            ids.iter().for_each(|id| state.replicas.forget(id));
        }
        message => {
            return peer_link::apply_common_message(
                node,
                message,
                &mut link_state.delay,
                &mut link_state.full_view,
            );
        }
    }
    None
}

/// Records the shards whose orderers the relay is linked to. From now on the node does not
/// need its own links to the orderers.
fn apply_linked<P: Platform>(node: &Node<P>, relay: SocketAddr, linked: &[bool]) {
    let is_linked = |shard: Shard| linked.get(shard.index()).copied().unwrap_or(false);
    let uplink = Uplink::Relay(relay);
    let is_new = std::mem::replace(&mut node.state.borrow_mut().tree.uplink, uplink) != uplink;
    if is_new {
        tracing::info!(target: "peer", event = "following a relay", %relay, ?linked);
    }
    for shard in Shard::all() {
        peer_link::set_linked(node, shard, is_linked(shard));
    }
}

/// Records which replicas the relay publishes.
fn apply_scope<P: Platform>(node: &Node<P>, scope: WireScope) {
    let mut state = node.state.borrow_mut();
    let is_partial = scope == WireScope::ByInterest;
    if is_partial && !state.tree.is_partial {
        tracing::info!(target: "peer", event = "knows some replicas from now on");
    }
    state.tree.published_scope = Some(scope);
    // It is complete again only once all replicas have been received.
    if is_partial {
        state.tree.become_partial();
    }
}

/// Applies replicas that match this node's interests. Returns false if the relay's view is
/// older than this node's own, as the relay would not publish the changes in between.
fn apply_replicas<P: Platform>(node: &Node<P>, received: WireReplicas) -> bool {
    let now = node.clock.now();
    let mut state = node.state.borrow_mut();
    if received.reached < state.directory.reached() {
        tracing::info!(target: "peer", event = "the relay lags behind", told = received.reached,
            reached = state.directory.reached(), replaces = received.replaces);
        return false;
    }
    if received.replaces {
        let named = received
            .replicas
            .iter()
            .map(|replica| replica.listing.id.as_str());
        let named: HashSet<&str> = named.collect();
        state.replicas.retain(|id| named.contains(&**id));
    }
    for replica in received.replicas {
        let placement = replica.placement.map(|placement| placement.to_placement(now));
        let holdings = placement.as_ref().map(|placement| placement.usable.clone());
        let listing = replica.listing.into_listing(holdings.unwrap_or_default());
        state.replicas.apply_relayed_listing(listing);
        if let Some(placement) = placement {
            state.replicas.apply_placement(placement);
        }
    }
    for reload in received.reloads {
        let key = reload.model.to_key();
        let time = Duration::from_millis(u64::from(reload.reload_ms));
        state.replicas.record_reload_time(key.service, key.model, time);
    }
    for interest in &received.answers {
        state.tree.interests.record_answer(&interest.to_interest());
    }
    drop(state);
    relay::notify_view_changed(node);
    true
}
