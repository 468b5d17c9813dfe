//! A follower's side of its link to a relay.

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

use super::{place_of, relays_above, Uplink};
use crate::directory::relay::{self, WholeInParts};
use crate::link::PeerLink;
use crate::load_updates;
use crate::node::Node;
use crate::peer::{FromOrderer, ToOrderer, WireFollow, WireModel, WireReplicas, WireScope};
use crate::peer_link::{self, silence_limit};
use crate::ports::Platform;
use crate::wire::decode;

/// Longest time between two looks at whether there is a relay to follow.
const LOOK_EVERY: Duration = Duration::from_millis(250);
/// Time for which a relay that failed is passed over while there are others.
const FAILED_RELAY_RESTS: Duration = Duration::from_secs(3);
/// Longest time at a relay that hears neither orderers nor the store: about the
/// time for which its news are believed.
const LONGEST_USELESS: Duration = Duration::from_millis(1300);
/// Longest time at a relay that has no view to pass on yet: twice what a relay needs
/// to read one of ten thousand replicas as many others do (5 MB each, 45 of them over
/// 1,000 Mbit/s: 1.8 s).
const LONGEST_PREPARING: Duration = Duration::from_secs(4);
/// Time between two looks at what requests do not ask for any more.
const EXPIRE_EVERY: Duration = Duration::from_secs(10);

/// Follows a relay of the zone whenever there is one, until the process ends.
/// While none can be reached, a node that can know all replicas links to the orderers
/// itself.
pub async fn follow_relays<P: Platform>(node: Rc<Node<P>>, mut outgoing: mpsc::Receiver<ToOrderer>) {
    let mut failed: HashMap<SocketAddr, Instant> = HashMap::new();
    loop {
        failed.retain(|_, at| at.elapsed() < FAILED_RELAY_RESTS);
        let relays = relays_above(&node);
        let relay = relays.iter().find(|address| !failed.contains_key(address));
        let Some(address) = relay.copied() else {
            leave_relays(&node);
            // They are for whomever the node is linked to.
            while outgoing.try_recv().is_ok() {}
            let looked = sleep(LOOK_EVERY);
            tokio::select! {
                () = looked => {}
                () = node.relay_changed.notified() => {}
                () = node.view_changed.notified(), if relays.is_empty() => {}
            }
            if !relays.is_empty() {
                // All of them failed: each may be back.
                failed.clear();
            }
            continue;
        };
        let ended = listen_to(&node, address, &mut outgoing).await;
        let error = ended.err().map(|error| error.to_string());
        tracing::info!(target: "peer", event = "link to the relay ended", %address, error);
        failed.insert(address, Instant::now());
    }
}

/// There is no relay to follow, or none can be reached.
fn leave_relays<P: Platform>(node: &Node<P>) {
    let uplink = uplink_without_relay(node);
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

/// The orderers' own links tell everything: to whoever belongs there, and in a fleet of
/// few replicas to anybody. In a large one its relays' followers would fill the orderers'
/// links; they go on with what they know.
fn uplink_without_relay<P: Platform>(node: &Node<P>) -> Uplink {
    let state = node.state.borrow();
    let is_below = matches!(place_of(node, &state.members), TreeRole::Follower(_));
    let is_large = state.tree.is_narrow || state.replicas.len() > node.settings.most_replicas_told;
    if is_below && is_large {
        Uplink::Nobody
    } else {
        Uplink::Orderers
    }
}

/// True while the relay hears an orderer, or passes on what the store tells it.
fn is_useful<P: Platform>(node: &Node<P>) -> bool {
    let now = node.clock.now();
    let state = node.state.borrow();
    state.linked.contains(&true) || state.directory.trusts_relay(now)
}

/// What a link to a relay has told so far.
struct Followed {
    delay: LinkDelay,
    whole: WholeInParts,
    /// True once the relay had a view to pass on.
    has_begun: bool,
    /// True once it told of an older view than this node's.
    lags_behind: bool,
}

/// Listens to a relay until it falls silent or hears nothing itself.
async fn listen_to<P: Platform>(
    node: &Node<P>,
    address: SocketAddr,
    outgoing: &mut mpsc::Receiver<ToOrderer>,
) -> io::Result<()> {
    let mut link = PeerLink::connect(address, silence_limit(node)).await?;
    node.state.borrow_mut().tree.reset_link();
    link.send(Bytes::from(follow_message(node).serialize_bin()))
        .await?;
    let mut followed = Followed {
        delay: LinkDelay::default(),
        whole: WholeInParts::default(),
        has_begun: false,
        lags_behind: false,
    };
    let linked_at = Instant::now();
    let mut useful_at = Instant::now();
    let mut next_expiry = Instant::now() + EXPIRE_EVERY;
    while !node.gives_orders() && !node.state.borrow().tree.is_called_upon {
        if node.state.borrow().tree.exceeds_told {
            // Begun anew, the relay tells all that this node must know, and the rest is
            // forgotten. What it says until then counts on less than this node knows.
            return Err(io::Error::other(
                "the node knows replicas that the relay does not tell of",
            ));
        }
        let is_preparing = !followed.has_begun && linked_at.elapsed() < LONGEST_PREPARING;
        if is_useful(node) || is_preparing {
            useful_at = Instant::now();
        } else if useful_at.elapsed() > LONGEST_USELESS {
            return Err(io::Error::other("the relay hears nothing itself"));
        }
        if Instant::now() >= next_expiry {
            next_expiry = Instant::now() + EXPIRE_EVERY;
            forget_unused(node, &mut link).await?;
        }
        tokio::select! {
            frame = link.hear() => {
                let Some(frame) = frame? else { return Err(io::ErrorKind::ConnectionReset.into()) };
                if node.state.borrow().tree.exceeds_told {
                    continue;
                }
                let message = decode::<FromOrderer>(&frame)?;
                let reply = node
                    .step_times
                    .time("message of a relay", || take_message(node, address, message, &mut followed));
                if let Some(reply) = reply {
                    link.send(Bytes::from(reply.serialize_bin())).await?;
                }
                if followed.lags_behind {
                    // What it passed over is told to nobody. Begun anew, the relay waits
                    // until it has caught up, and tells all that this node must know.
                    return Err(io::Error::other("the relay lags behind"));
                }
            }
            message = outgoing.recv() => {
                let Some(message) = message else { return Ok(()) };
                if let Some(message) = load_updates::encode_outgoing(node, address, &message) {
                    link.send(message).await?;
                }
            }
            // This node may have become an orderer, or be called upon as a relay.
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
        knows_all: !state.tree.is_narrow,
        interests: state.tree.wants.all().map(WireModel::from_interest).collect(),
    })
}

/// Tells the relay what requests have not asked for for long.
async fn forget_unused<P: Platform>(node: &Node<P>, link: &mut PeerLink) -> io::Result<()> {
    let now = node.clock.now();
    let unused = node.state.borrow_mut().tree.wants.expire(now);
    if unused.is_empty() {
        return Ok(());
    }
    let unused = unused.iter().map(WireModel::from_interest).collect();
    let message = ToOrderer::Forget(unused).serialize_bin();
    link.send(Bytes::from(message)).await
}

/// Takes a relay's message; answers what it should be asked.
fn take_message<P: Platform>(
    node: &Node<P>,
    relay: SocketAddr,
    message: FromOrderer,
    followed: &mut Followed,
) -> Option<ToOrderer> {
    match message {
        FromOrderer::Linked(linked) => take_linked(node, relay, &linked),
        FromOrderer::Scope(scope) => {
            followed.has_begun = true;
            take_scope(node, scope);
        }
        FromOrderer::Replicas(replicas) => followed.lags_behind |= !take_replicas(node, replicas),
        FromOrderer::Forgotten(ids) => {
            let mut state = node.state.borrow_mut();
            ids.iter().for_each(|id| state.replicas.forget(id));
        }
        message => {
            return peer_link::take_common_message(node, message, &mut followed.delay, &mut followed.whole);
        }
    }
    None
}

/// The relay said which shards' orderers it hears. From now on the node's own
/// links to the orderers are not needed.
fn take_linked<P: Platform>(node: &Node<P>, relay: SocketAddr, linked: &[bool]) {
    let hears = |shard: Shard| linked.get(shard.index()).copied().unwrap_or(false);
    let uplink = Uplink::Relay(relay);
    let is_new = std::mem::replace(&mut node.state.borrow_mut().tree.uplink, uplink) != uplink;
    if is_new {
        tracing::info!(target: "peer", event = "following a relay", %relay, ?linked);
    }
    for shard in Shard::all() {
        peer_link::set_linked(node, shard, hears(shard));
    }
}

/// The relay said how much of the replicas it tells.
fn take_scope<P: Platform>(node: &Node<P>, scope: WireScope) {
    let mut state = node.state.borrow_mut();
    let is_narrow = scope == WireScope::ByInterest;
    if is_narrow && !state.tree.is_narrow {
        tracing::info!(target: "peer", event = "knows some replicas from now on");
    }
    state.tree.told_scope = Some(scope);
    // All are known again once they have been told.
    state.tree.is_narrow |= is_narrow;
}

/// Takes in replicas that this node must know, by its interests; false if the relay lags
/// behind what this node heard of the store by itself: changes in between would be told
/// to nobody.
fn take_replicas<P: Platform>(node: &Node<P>, told: WireReplicas) -> bool {
    let now = node.clock.now();
    let mut state = node.state.borrow_mut();
    if told.reached < state.directory.reached() {
        tracing::info!(target: "peer", event = "the relay lags behind", told = told.reached,
            reached = state.directory.reached(), replaces = told.replaces);
        return false;
    }
    if told.replaces {
        let named = told.replicas.iter().map(|replica| replica.listing.id.as_str());
        let named: HashSet<&str> = named.collect();
        state.replicas.retain(|id| named.contains(&**id));
    }
    for replica in told.replicas {
        let placement = replica.placement.map(|placement| placement.to_placement(now));
        let holdings = placement.as_ref().map(|placement| placement.usable.clone());
        let listing = replica.listing.into_listing(holdings.unwrap_or_default());
        state.replicas.apply_relayed_listing(listing);
        if let Some(placement) = placement {
            state.replicas.apply_placement(placement);
        }
    }
    for reload in told.reloads {
        let key = reload.model.to_key();
        let time = Duration::from_millis(u64::from(reload.reload_ms));
        state.replicas.record_reload_time(key.service, key.model, time);
    }
    for interest in &told.answers {
        state.tree.wants.answered(&interest.to_interest());
    }
    drop(state);
    relay::announce(node);
    true
}
