//! A follower's side of its link to a relay.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use croftrill_scheduler::followed_view::LinkDelay;
use croftrill_scheduler::shard::Shard;
use nanoserde::{DeBin, SerBin};
use tokio::sync::mpsc;
use tokio::time::{sleep, Instant};

use super::{is_direct, relays_above, Uplink};
use crate::link::PeerLink;
use crate::node::Node;
use crate::peer::{FromOrderer, ToOrderer};
use crate::peer_link::{self, invalid_message, silence_limit};
use crate::ports::Platform;

/// Time between two looks at whether there is a relay to follow.
const LOOK_EVERY: Duration = Duration::from_millis(250);
/// Time for which a relay that failed is passed over.
const FAILED_RELAY_RESTS: Duration = Duration::from_secs(3);
/// Longest time at a relay that hears neither orderers nor the store: about the
/// time for which its news are believed.
const LONGEST_USELESS: Duration = Duration::from_millis(1300);

/// Follows a relay of the zone whenever there is one, until the process ends.
/// While none can be reached, the node links to the orderers itself.
pub async fn follow_relays<P: Platform>(node: Rc<Node<P>>, mut outgoing: mpsc::Receiver<ToOrderer>) {
    let mut failed: HashMap<SocketAddr, Instant> = HashMap::new();
    loop {
        failed.retain(|_, at| at.elapsed() < FAILED_RELAY_RESTS);
        let relay = relays_above(&node)
            .into_iter()
            .find(|address| !failed.contains_key(address));
        let Some(address) = relay else {
            return_to_orderers(&node);
            // They go to the orderers' own links.
            while outgoing.try_recv().is_ok() {}
            sleep(LOOK_EVERY).await;
            continue;
        };
        let ended = listen_to(&node, address, &mut outgoing).await;
        let error = ended.err().map(|error| error.to_string());
        tracing::info!(target: "peer", event = "link to the relay ended", %address, error);
        failed.insert(address, Instant::now());
    }
}

/// Without a relay the orderers' own links tell everything again.
fn return_to_orderers<P: Platform>(node: &Node<P>) {
    if is_direct(node) {
        return;
    }
    node.state.borrow_mut().tree.uplink = Uplink::Orderers;
    tracing::info!(target: "peer", event = "no relay, linking to the orderers");
    for shard in Shard::all() {
        peer_link::set_linked(node, shard, false);
    }
}

/// True while the relay hears an orderer, or passes on what the store tells it.
fn is_useful<P: Platform>(node: &Node<P>) -> bool {
    let now = node.clock.now();
    let state = node.state.borrow();
    state.linked.contains(&true) || state.directory.relay_covers(now)
}

/// Listens to a relay until it falls silent or hears nothing itself.
async fn listen_to<P: Platform>(
    node: &Node<P>,
    address: SocketAddr,
    outgoing: &mut mpsc::Receiver<ToOrderer>,
) -> io::Result<()> {
    let mut link = PeerLink::connect(address, silence_limit(node)).await?;
    link.send(Bytes::from(ToOrderer::Follow.serialize_bin())).await?;
    let mut delay = LinkDelay::default();
    let mut useful_at = Instant::now();
    while !node.gives_orders() {
        if is_useful(node) {
            useful_at = Instant::now();
        } else if useful_at.elapsed() > LONGEST_USELESS {
            return Err(io::Error::other("the relay hears nothing itself"));
        }
        tokio::select! {
            frame = link.hear() => {
                let Some(frame) = frame? else { return Err(io::ErrorKind::ConnectionReset.into()) };
                let message = FromOrderer::deserialize_bin(&frame).map_err(invalid_message)?;
                if let Some(reply) = take_message(node, address, message, &mut delay) {
                    link.send(Bytes::from(reply.serialize_bin())).await?;
                }
            }
            message = outgoing.recv() => {
                let Some(message) = message else { return Ok(()) };
                link.send(Bytes::from(message.serialize_bin())).await?;
            }
            // This node may have become an orderer.
            () = node.relay_changed.notified() => {}
        }
    }
    Ok(())
}

/// Takes a relay's message; answers what it should be asked.
fn take_message<P: Platform>(
    node: &Node<P>,
    relay: SocketAddr,
    message: FromOrderer,
    delay: &mut LinkDelay,
) -> Option<ToOrderer> {
    match message {
        FromOrderer::Linked(linked) => {
            take_linked(node, relay, &linked);
            None
        }
        message => peer_link::take_common_message(node, message, delay),
    }
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
