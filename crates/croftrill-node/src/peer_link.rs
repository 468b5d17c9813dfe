//! Links between nodes: every node listens to the orderers and sends them its demand.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use croftrill_scheduler::followed_view::{LinkDelay, RelayOutcome};
use croftrill_scheduler::quota::keepers::QuotaPartition;
use croftrill_scheduler::shard::Shard;
use nanoserde::SerBin;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{broadcast, mpsc, oneshot};
use tokio::time::{sleep, timeout};

use crate::configuration::link::ConfigurationLink;
use crate::crash_reports;
use crate::directory::relay::{self, FullViewChunks};
use crate::link::PeerLink;
use crate::load_updates::LoadSubscriber;
use crate::metrics::Metrics;
use crate::node::Node;
use crate::orderer_task::{OrdererInput, Subscription};
use crate::peer::{FromOrderer, RelayedResignation, ToOrderer, WirePlacement};
use crate::port_connections::{ConnectionPlace, PortConnections};
use crate::ports::Platform;
use crate::tree::ViewContents;
use crate::wire::decode;
use crate::{configuration, load_updates, quota, replica_path, replica_versions, stream_versions, tree};

/// Delay before another attempt to connect.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Heartbeats that may be missed before a link counts as dead.
pub(crate) const MAX_MISSED_HEARTBEATS: u32 = 3;
/// Maximum wait for a link's first message.
const HELLO_TIMEOUT: Duration = Duration::from_millis(2000);
/// Time after which missed changes are requested from another peer.
const REPLAY_TIMEOUT: Duration = Duration::from_millis(700);
/// Maximum wait for this node's orderer task to accept a subscriber.
const SUBSCRIBE_TIMEOUT: Duration = Duration::from_millis(200);

/// Returns the time without a byte after which a link counts as dead.
pub(crate) fn silence_limit<P: Platform>(node: &Node<P>) -> Duration {
    node.settings.pace.peer_heartbeat * MAX_MISSED_HEARTBEATS
}

/// Accepts links of other nodes.
pub async fn accept<P: Platform>(node: Rc<Node<P>>, listener: TcpListener) {
    let limits = node.settings.limits;
    let connections = |max| PortConnections::new("nodes", max, node.clock.clone());
    let unknown = connections(limits.max_unknown_links());
    let known = Rc::new(connections(limits.max_peer_links()));
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                if let Some(place) = unknown.admit(&node.metrics).await {
                    tokio::task::spawn_local(serve_link(node.clone(), stream, peer, place, known.clone()));
                }
            }
            Err(error) => {
                tracing::warn!(target: "peer", event = "accept failed", %error);
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Serves another node's link according to its first message: as an orderer, a relay, a keeper or
/// the way to a replica.
async fn serve_link<P: Platform>(
    node: Rc<Node<P>>,
    stream: TcpStream,
    peer: SocketAddr,
    place: ConnectionPlace,
    known: Rc<PortConnections>,
) {
    let mut link = match PeerLink::accepted(stream, silence_limit(&node), node.message_memory.clone()) {
        Ok(link) => link,
        Err(error) => {
            tracing::debug!(target: "peer", event = "link cannot be set up", %error);
            return;
        }
    };
    let received = tokio::select! {
        received = timeout(HELLO_TIMEOUT, first_message(&mut link)) => received,
        () = place.connection().eviction().requested() => return,
    };
    drop(place);
    let first = match received {
        Ok(Ok(Some(first))) => first,
        Ok(Err(error)) => {
            tracing::warn!(target: "peer", event = "link of another form", %peer, %error);
            return;
        }
        Ok(Ok(None)) | Err(_) => return,
    };
    // Tunnels have a bound of their own, and none is cut for another link.
    if !matches!(first, ToOrderer::Connect(_)) {
        match known.admit(&node.metrics).await {
            Some(place) => link.take_place(place),
            None => return,
        }
    }
    match first {
        ToOrderer::Follow(follow) => {
            let ended = tree::serve_follower(node, link, follow).await;
            tracing::debug!(target: "peer", event = "a follower left", ?ended);
        }
        ToOrderer::Listen(index) => {
            if let Some(shard) = Shard::from_index(usize::from(index)) {
                serve_listener(node, link, peer, shard).await;
            }
        }
        ToOrderer::ListenToKeeper(index) => {
            if let Some(partition) = QuotaPartition::from_index(usize::from(index)) {
                let ended = quota::serve_listener(node.quotas.clone(), link, partition).await;
                tracing::debug!(target: "quota", event = "a listener left", partition = partition.index(), ?ended);
            }
        }
        ToOrderer::Connect(request) => replica_path::serve::serve(node, link, request).await,
        ToOrderer::StreamVersion(message) => {
            if let Err(error) = stream_versions::serve(&node, link, message).await {
                tracing::debug!(target: "peer", event = "a node that asked for a stream is gone", %peer, %error);
            }
        }
        ToOrderer::Configuration(first) => {
            if let Err(error) = configuration::probes::serve(&node, link, first).await {
                tracing::debug!(target: "peer", event = "link for the configuration ended", %peer, %error);
            }
        }
        _ => {}
    }
}

/// Serves a node that listens to this orderer of a shard.
async fn serve_listener<P: Platform>(node: Rc<Node<P>>, link: PeerLink, peer: SocketAddr, shard: Shard) {
    let inbox = node.orderer_inbox(shard);
    let subscribing = async {
        let (reply, subscribed) = oneshot::channel();
        inbox.send(OrdererInput::Subscribe(reply)).await.ok()?;
        subscribed.await.ok()
    };
    let Ok(Some(subscription)) = timeout(SUBSCRIBE_TIMEOUT, subscribing).await else {
        return;
    };
    let ended = exchange_messages(&node, link, peer, subscription, inbox).await;
    tracing::debug!(target: "peer", event = "a listener left", shard = shard.index(), ?ended);
}

/// Returns the first message, which states the purpose of the link.
async fn first_message(link: &mut PeerLink) -> io::Result<Option<ToOrderer>> {
    let frame = link.next().await?;
    frame.map(|frame| decode(&frame)).transpose()
}

/// Sends changes to the listener and passes its messages to the orderer, until either ends.
async fn exchange_messages<P: Platform>(
    node: &Node<P>,
    mut link: PeerLink,
    peer: SocketAddr,
    subscription: Subscription,
    inbox: mpsc::Sender<OrdererInput>,
) -> io::Result<()> {
    let mut changes = subscription.changes;
    let mut loads = LoadSubscriber::default();
    let configurations = ConfigurationLink::open(node, false);
    let mut undecodable = UndecodableMessages::default();
    for message in subscription.snapshot {
        link.send(message).await?;
    }
    loop {
        tokio::select! {
            change = changes.recv() => match change {
                Ok(change) if change.audience.includes(configurations.is_ready()) => link.send(change.frame).await?,
                Ok(_) => {}
                // The listener lags behind: it reconnects and gets the full state.
                Err(broadcast::error::RecvError::Lagged(_) | broadcast::error::RecvError::Closed) => return Ok(()),
            },
            update = loads.next() => {
                load_updates::count_sent_bytes(node, &update);
                link.send(update).await?;
            }
            message = configurations.next() => link.send(FromOrderer::Configuration(message).encode()).await?,
            frame = link.next() => {
                let Some(frame) = frame? else { return Ok(()) };
                let message = match decode::<ToOrderer>(&frame) {
                    Ok(message) => message,
                    Err(error) => {
                        undecodable.record(node, peer, &error);
                        continue;
                    }
                };
                match message {
                    ToOrderer::Loads(reported) => {
                        let samples = loads.receive(&reported, &subscription.loads, node.clock.now());
                        let count = samples.len();
                        if inbox.try_send(OrdererInput::Loads(samples)).is_err() {
                            // Later samples replace the dropped ones.
                            load_updates::count_dropped(node, "node", count);
                        }
                    }
                    ToOrderer::Replay(after) => {
                        let replies = node.step_times.time("replay", || {
                            let contents = ViewContents {
                                replicas: true,
                                configuration: !configurations.is_ready(),
                            };
                            let versions = all_versions(node).filter(|_| configurations.is_ready());
                            let mut replies: Vec<Bytes> = versions.into_iter().collect();
                            replies.extend(tree::view_since(node, after, contents));
                            replies.extend(tree::known_placements(node));
                            replies
                        });
                        for reply in replies {
                            link.send(reply).await?;
                        }
                    }
                    ToOrderer::Crashes(report) => crash_reports::adopt(node, &report.into_report()),
        ToOrderer::CrashParts(report) => crash_reports::adopt_parts(node, report),
                    ToOrderer::Configuration(message) => {
                        let was_ready = configurations.is_ready();
                        configurations.receive(message);
                        if let Some(versions) = (!was_ready).then(|| all_versions(node)).flatten() {
                            link.send(versions).await?;
                        }
                    }
                    message => {
                        if inbox.send(OrdererInput::FromNode(message)).await.is_err() {
                            return Ok(());
                        }
                    }
                }
            }
        }
    }
}

/// Returns the message with the software versions of all replicas, unless they are so many that
/// listeners read the store themselves.
fn all_versions<P: Platform>(node: &Node<P>) -> Option<Bytes> {
    let is_small = node.state.borrow().replicas.len() <= node.settings.max_replicas_in_full_view;
    replica_versions::message_for_all(node, |_| is_small)
}

/// Follows the present orderer of a shard, wherever it is, until the process ends.
pub async fn follow_orderer<P: Platform>(
    node: Rc<Node<P>>,
    shard: Shard,
    mut outgoing: mpsc::Receiver<ToOrderer>,
) {
    loop {
        if !tree::is_direct(&node) {
            // The relay sends what the orderer would, and messages to it use another queue.
            while outgoing.try_recv().is_ok() {}
            sleep(RETRY_DELAY).await;
            continue;
        }
        match orderer_address(&node, shard) {
            Some(address) if address == node.settings.identity.peer => {
                set_linked(&node, shard, true);
                pass_to_own_orderer(&node, shard, &mut outgoing).await;
                set_linked(&node, shard, false);
            }
            Some(address) => {
                if let Err(error) = listen_to(&node, shard, address, &mut outgoing).await {
                    tracing::warn!(target: "peer", event = "link to the orderer ended",
                        shard = shard.index(), %address, %error);
                }
                if tree::is_direct(&node) {
                    set_linked(&node, shard, false);
                }
                sleep(RETRY_DELAY).await;
            }
            None => {
                while outgoing.try_recv().is_ok() {}
                tokio::select! {
                    () = sleep(RETRY_DELAY) => {}
                    () = node.view_changed.notified() => {}
                }
            }
        }
    }
}

/// Records that something arrived from another node's orderer or from the relay.
pub(crate) fn record_uplink_heard<P: Platform>(node: &Node<P>) {
    node.state.borrow_mut().uplink_heard_at = Some(node.clock.now());
}

/// Records whether the orderer of a shard is reachable.
pub(crate) fn set_linked<P: Platform>(node: &Node<P>, shard: Shard, is_linked: bool) {
    let mut state = node.state.borrow_mut();
    let was_linked = std::mem::replace(&mut state.linked[shard.index()], is_linked);
    if was_linked && !is_linked {
        state.unlinked_at[shard.index()] = node.clock.now();
    }
    if !is_linked {
        node.step_times
            .time("orderer lost", || state.replicas.orderer_lost(shard));
    }
    let any = state.linked.contains(&true);
    drop(state);
    if was_linked != is_linked {
        tree::publish_linked(node);
    }
    if !any {
        relay::record_relay_lost(node);
    }
}

fn orderer_address<P: Platform>(node: &Node<P>, shard: Shard) -> Option<SocketAddr> {
    node.state
        .borrow()
        .members
        .orderer(shard)
        .and_then(|member| member.peer_address())
}

/// Passes messages to this node's own orderer task while this node is the orderer.
async fn pass_to_own_orderer<P: Platform>(
    node: &Node<P>,
    shard: Shard,
    outgoing: &mut mpsc::Receiver<ToOrderer>,
) {
    let inbox = node.orderer_inbox(shard);
    while orderer_address(node, shard) == Some(node.settings.identity.peer) {
        tokio::select! {
            message = outgoing.recv() => {
                let input = match message {
                    Some(ToOrderer::Loads(reported)) => OrdererInput::Loads(load_updates::own_samples(node, &reported)),
                    Some(message) => OrdererInput::FromNode(message),
                    None => return,
                };
                let _ = inbox.send(input).await;
            }
            () = sleep(RETRY_DELAY) => {}
        }
    }
}

/// Listens to another node until it becomes silent or is no longer the orderer.
async fn listen_to<P: Platform>(
    node: &Rc<Node<P>>,
    shard: Shard,
    address: SocketAddr,
    outgoing: &mut mpsc::Receiver<ToOrderer>,
) -> io::Result<()> {
    let mut link = PeerLink::connect(address, silence_limit(node)).await?;
    let hello = ToOrderer::Listen(shard.index() as u8).serialize_bin();
    link.send(Bytes::from(hello)).await?;
    let is_ready = node.state.borrow().members.peer_exchanges_configurations(address);
    let configurations = ConfigurationLink::open(node, is_ready);
    let mut delay = LinkDelay::default();
    let mut view_chunks = FullViewChunks::default();
    let mut undecodable = UndecodableMessages::default();
    while orderer_address(node, shard) == Some(address) && tree::is_direct(node) {
        tokio::select! {
            frame = link.next_or_timeout() => {
                let Some(frame) = frame? else { return Err(io::ErrorKind::ConnectionReset.into()) };
                record_uplink_heard(node);
                if !tree::is_direct(node) {
                    // A relay takes over from here; it does not know what this link received.
                    return Ok(());
                }
                let frame = frame.freeze();
                let message = match decode::<FromOrderer>(&frame) {
                    Ok(message) => message,
                    Err(error) => {
                        if undecodable.is_empty() {
                            set_linked(node, shard, false);
                        }
                        undecodable.record(node, address, &error);
                        continue;
                    }
                };
                if undecodable.is_empty() {
                    set_linked(node, shard, true);
                }
                match message {
                    FromOrderer::Configuration(message) => {
                        configurations.receive(message);
                        continue;
                    }
                    FromOrderer::Versions(versions) => {
                        replica_versions::apply(node, &versions);
                        continue;
                    }
                    _ => {}
                }
                let reply = node.step_times.time("message of an orderer", || {
                    apply_message(node, shard, address, (message, frame), (&mut delay, &mut view_chunks))
                });
                if let Some(reply) = reply {
                    link.send(Bytes::from(reply.serialize_bin())).await?;
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
        }
    }
    Ok(())
}

/// Messages of one link that this build cannot decode, because another build's form differs. The
/// link continues for other messages, since requests that wait for a model must still be
/// published.
#[derive(Debug, Default)]
struct UndecodableMessages {
    count: u64,
}

impl UndecodableMessages {
    fn record<P: Platform>(&mut self, node: &Node<P>, address: SocketAddr, error: &io::Error) {
        if self.is_empty() {
            tracing::warn!(target: "peer", event = "messages of another form", %address, %error);
        }
        self.count += 1;
        Metrics::count(&node.metrics.relayed, "message", "unread");
    }

    fn is_empty(&self) -> bool {
        self.count == 0
    }
}

/// Applies a message of a shard's orderer and passes it to this node's followers. Returns a
/// request to the orderer, if one is needed. `frame` is the encoded message.
fn apply_message<P: Platform>(
    node: &Node<P>,
    shard: Shard,
    address: SocketAddr,
    (message, frame): (FromOrderer, Bytes),
    (delay, view_chunks): (&mut LinkDelay, &mut FullViewChunks),
) -> Option<ToOrderer> {
    if let FromOrderer::Resigned(resignation) = message {
        let relayed = RelayedResignation {
            shard: shard.index() as u8,
            orderer: address.to_string(),
            resignation,
        };
        let message = FromOrderer::RelayedResignation(relayed.clone());
        tree::publish_message(node, Bytes::from(message.serialize_bin()));
        receive_resignation(node, relayed);
        return None;
    }
    if let FromOrderer::Placements(placements) = &message {
        tree::publish_placements(node, placements, &frame);
    }
    apply_common_message(node, message, delay, view_chunks)
}

/// Applies a message of an orderer or a relay. Returns a request to it, if one is needed.
pub(crate) fn apply_common_message<P: Platform>(
    node: &Node<P>,
    message: FromOrderer,
    delay: &mut LinkDelay,
    view_chunks: &mut FullViewChunks,
) -> Option<ToOrderer> {
    match message {
        FromOrderer::Placements(placements) => apply_placements(node, placements.into()),
        FromOrderer::Directory(update) => {
            let outcome = relay::apply_update(node, update, delay);
            if outcome == Some(RelayOutcome::Gap) {
                return tree::start_replay(node, REPLAY_TIMEOUT).map(ToOrderer::Replay);
            }
        }
        FromOrderer::FullView(chunk) => relay::apply_full_view_chunk(node, chunk, view_chunks, delay),
        FromOrderer::HistoryUnavailable => tree::record_history_lost(node),
        FromOrderer::RelayedResignation(relayed) => receive_resignation(node, relayed),
        FromOrderer::Loads(reported) => load_updates::apply_published(node, &reported, delay),
        // Handled by the link's task, or not sent on its link.
        FromOrderer::Alive
        | FromOrderer::Linked(_)
        | FromOrderer::Resigned(_)
        | FromOrderer::Scope(_)
        | FromOrderer::Replicas(_)
        | FromOrderer::Forgotten(_)
        | FromOrderer::Configuration(_)
        | FromOrderer::Versions(_) => {}
    }
    None
}

fn receive_resignation<P: Platform>(node: &Node<P>, relayed: RelayedResignation) {
    let shard = Shard::from_index(usize::from(relayed.shard));
    let (Some(shard), Ok(orderer)) = (shard, relayed.orderer.parse()) else {
        tracing::warn!(target: "peer", event = "resignation cannot be read", shard = relayed.shard,
            orderer = relayed.orderer);
        return;
    };
    let resignation = relayed.resignation.into_resignation();
    tracing::info!(target: "peer", event = "the orderer resigned", shard = shard.index(),
        fencing_token = resignation.fencing_token, holds = resignation.hand_over.holds.len());
    node.record_resignation(shard, orderer, resignation);
}

fn apply_placements<P: Platform>(node: &Node<P>, placements: Vec<WirePlacement>) {
    let now = node.clock.now();
    let mut state = node.state.borrow_mut();
    for placement in placements {
        state.replicas.apply_placement(placement.to_placement(now));
    }
    drop(state);
    node.view_changed.notify_waiters();
    node.notify_orderer_tasks(|| OrdererInput::DirectoryChanged);
}

/// Sends the node's demand to the orderers at intervals.
pub async fn send_demand<P: Platform>(node: Rc<Node<P>>) {
    loop {
        sleep(node.settings.pace.demand_interval).await;
        let message = node.state.borrow_mut().demand.take();
        if let Some(message) = message {
            node.send_to_orderers(&message);
        }
    }
}
