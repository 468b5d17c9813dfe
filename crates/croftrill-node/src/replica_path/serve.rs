//! Carries connections of nodes whose own paths to replicas are cut.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use croftrill_scheduler::replica::ReplicaId;
use croftrill_scheduler::replica_paths::ReplicaPaths;
use futures::SinkExt;
use nanoserde::SerBin;
use tokio::io::{copy, AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio_util::codec::{FramedWrite, LengthDelimitedCodec};

use super::control::reaches_others;
use super::{dial, record_own_connection, PathTarget};
use crate::connector::configure_socket;
use crate::link::PeerLink;
use crate::metrics::Metrics;
use crate::node::{Lifecycle, Node};
use crate::peer::{WireConnect, WireConnectAnswer};
use crate::ports::Platform;

/// Time to connect to a replica for another node, which waits for twice as long.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Maximum number of connections that this node carries: a few megabytes of buffers.
const MAX_TUNNELS: usize = 256;
/// Delay of the node's thread above which it carries no further connection, as each piece that passes
/// has this delay.
const MAX_THREAD_DELAY: Duration = Duration::from_millis(50);
/// Time without an acknowledgement after which the other node counts as lost.
const SILENCE_LIMIT: Duration = Duration::from_secs(4);
/// Size of a buffer.
const BUFFER_BYTES: usize = 8 * 1024;

/// Serves another node's request for a connection.
pub(crate) async fn serve<P: Platform>(node: Rc<Node<P>>, mut link: PeerLink, request: WireConnect) {
    let opened = open(&node, &request).await;
    let answer = match &opened {
        Ok(_) => WireConnectAnswer::Connected,
        Err(answer) => *answer,
    };
    Metrics::count(&node.metrics.replica_paths, "offered", answer.name());
    tracing::debug!(target: "path", event = "asked for a path", replica = request.replica, answer = answer.name());
    if let Err(error) = link.send(Bytes::from(answer.serialize_bin())).await {
        tracing::debug!(target: "path", event = "the node that asked is gone", %error);
        return;
    }
    let Ok(replica) = opened else { return };
    let _carried = CarriedTunnel::begin(&node);
    let (stream, received) = link.into_stream();
    if let Err(error) = forward(stream, received, replica).await {
        tracing::debug!(target: "path", event = "a tunnel broke", replica = request.replica, %error);
    }
}

/// Counts a connection that this node carries until dropped.
struct CarriedTunnel<P: Platform>(Rc<Node<P>>);

impl<P: Platform> CarriedTunnel<P> {
    fn begin(node: &Rc<Node<P>>) -> Self {
        node.carried_tunnels.set(node.carried_tunnels.get() + 1);
        CarriedTunnel(node.clone())
    }
}

impl<P: Platform> Drop for CarriedTunnel<P> {
    fn drop(&mut self) {
        self.0.carried_tunnels.set(self.0.carried_tunnels.get() - 1);
    }
}

/// Connects to the replica over this node's own path, and only there.
async fn open<P: Platform>(
    node: &Rc<Node<P>>,
    request: &WireConnect,
) -> Result<TcpStream, WireConnectAnswer> {
    let is_busy = node.lifecycle() != Lifecycle::Ready
        || node.carried_tunnels.get() >= MAX_TUNNELS.min(node.settings.limits.max_tunnels())
        || node.step_times.last_delay() > MAX_THREAD_DELAY;
    if is_busy {
        return Err(WireConnectAnswer::Busy);
    }
    let target = target_of(node, request)?;
    if let Some(answer) = known_answer(node, &target.replica) {
        return Err(answer);
    }
    match dial(node, target.address, CONNECT_TIMEOUT).await {
        Ok(stream) => {
            record_own_connection(node, &target, None);
            Ok(stream)
        }
        Err(error) => {
            tracing::debug!(target: "path", event = "no connection for another node", replica = &*target.replica, %error);
            if !reaches_others(node, &target).await {
                return Err(not_reached(&node.state.borrow().replica_paths));
            }
            let now = node.clock.now();
            node.state
                .borrow_mut()
                .replica_paths
                .record_down(&target.replica, now);
            Err(WireConnectAnswer::Down)
        }
    }
}

/// Returns the answer of a node that does not reach a replica and cannot tell why.
fn not_reached(paths: &ReplicaPaths) -> WireConnectAnswer {
    if paths.has_paths() {
        WireConnectAnswer::NotReached
    } else {
        WireConnectAnswer::NoPath
    }
}

/// Returns the answer that needs no attempt to connect.
fn known_answer<P: Platform>(node: &Node<P>, replica: &ReplicaId) -> Option<WireConnectAnswer> {
    let paths = &node.state.borrow().replica_paths;
    if paths.is_broken(replica) {
        return Some(not_reached(paths));
    }
    paths
        .is_down(replica, node.clock.now())
        .then_some(WireConnectAnswer::Down)
}

/// Returns the replica as this node knows it or, if it does not, as the other node does.
///
/// Errors: the replica is leaving or unknown to a node that knows all, or its address cannot be read.
fn target_of<P: Platform>(node: &Node<P>, request: &WireConnect) -> Result<PathTarget, WireConnectAnswer> {
    let state = node.state.borrow();
    let replica: ReplicaId = request.replica.as_str().into();
    let known = state.replicas.get(&replica);
    if known.is_some_and(|entry| !entry.is_ready()) {
        return Err(WireConnectAnswer::Down);
    }
    if known.is_none() && !state.tree.is_partial() {
        return Err(WireConnectAnswer::NotReached);
    }
    let address = known.map_or(request.address.as_str(), |entry| &entry.listing.address);
    let address = address.parse().map_err(|_| WireConnectAnswer::Down)?;
    Ok(PathTarget { replica, address })
}

/// Passes bytes on in both directions until either side ends. Both connections are closed then, so
/// that a replica stops its work when the other node gives the request up.
async fn forward(node: TcpStream, received: BytesMut, replica: TcpStream) -> io::Result<()> {
    configure_socket(&node, Some(SILENCE_LIMIT))?;
    configure_socket(&replica, None)?;
    let (mut from_node, to_node) = node.into_split();
    let (from_replica, mut to_replica) = replica.into_split();
    to_replica.write_all(&received).await?;
    tokio::select! {
        copied = copy(&mut from_node, &mut to_replica) => copied.map(|_| ()),
        answered = forward_answers(from_replica, to_node) => answered,
    }
}

async fn forward_answers(mut from_replica: OwnedReadHalf, to_node: OwnedWriteHalf) -> io::Result<()> {
    let mut frames = FramedWrite::new(to_node, LengthDelimitedCodec::new());
    let mut buffer = BytesMut::with_capacity(BUFFER_BYTES);
    loop {
        buffer.reserve(BUFFER_BYTES);
        from_replica.read_buf(&mut buffer).await?;
        let chunk = buffer.split().freeze();
        let is_end = chunk.is_empty();
        frames.send(chunk).await?;
        if is_end {
            return Ok(());
        }
    }
}
