//! A connection to a replica over another node.
//!
//! Towards the replica the bytes pass as they are. From the replica they come in frames, and an
//! empty frame marks the end: without it, a tunnel that breaks would look like the end of an answer
//! that has no length.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use croftrill_scheduler::path_search::{PeerAnswer, SearchFailure};
use futures::stream::{self, Stream, StreamExt};
use nanoserde::SerBin;
use tokio::io::join;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::TcpStream;
use tokio_util::codec::{FramedRead, LengthDelimitedCodec};
use tokio_util::io::StreamReader;

use super::PathTarget;
use crate::close_hook::CloseHook;
use crate::connection::{Connection, ConnectionPool};
use crate::connector::configure_socket;
use crate::link::PeerLink;
use crate::node::Node;
use crate::peer::{ToOrderer, WireConnect, WireConnectAnswer};
use crate::peer_link::silence_limit;
use crate::ports::Platform;
use crate::wire::decode;

/// Limit on the silence of a tunnel whose request must not end for that reason alone: longer than
/// callers wait for an answer.
const PATIENT_SILENCE_LIMIT: Duration = Duration::from_secs(20);

/// An open tunnel to a replica.
pub(super) struct Tunnel {
    stream: TcpStream,
    /// Bytes that followed the other node's answer.
    received: BytesMut,
    /// Ends the count of the tunnel at the other node.
    on_close: CloseHook,
}

impl Tunnel {
    /// Returns an HTTP connection over the tunnel. `replica` is the address at its end.
    pub(super) async fn into_connection(
        self,
        pool: &ConnectionPool,
        replica: SocketAddr,
    ) -> Result<Connection, SearchFailure> {
        let (read, write) = self.stream.into_split();
        let mut frames = FramedRead::new(read, LengthDelimitedCodec::new());
        *frames.read_buffer_mut() = self.received;
        let reader = StreamReader::new(Box::pin(contents(frames)));
        let connected = pool
            .handshake_over(join(reader, write), replica, self.on_close)
            .await;
        connected.map_err(|_| SearchFailure::NoPath)
    }
}

/// Returns the bytes in the frames up to the empty one.
///
/// Errors: the tunnel ended without it.
fn contents(
    frames: FramedRead<OwnedReadHalf, LengthDelimitedCodec>,
) -> impl Stream<Item = io::Result<Bytes>> {
    stream::unfold(Some(frames), |frames| async move {
        let mut frames = frames?;
        match frames.next().await {
            Some(Ok(frame)) if frame.is_empty() => None,
            Some(Ok(frame)) => Some((Ok(frame.freeze()), Some(frames))),
            Some(Err(error)) => Some((Err(error), None)),
            None => Some((Err(io::ErrorKind::ConnectionReset.into()), None)),
        }
    })
}

/// Asks a node to connect to a replica.
pub(super) async fn open<P: Platform>(
    node: &Rc<Node<P>>,
    peer: SocketAddr,
    target: &PathTarget,
    connection_silence_limit: Option<Duration>,
) -> Result<Tunnel, PeerAnswer> {
    let asked = ask(node, peer, target).await;
    let (answer, link) = asked.map_err(|error| {
        tracing::debug!(target: "path", event = "node did not answer", %peer, %error);
        PeerAnswer::Unanswered
    })?;
    match answer {
        WireConnectAnswer::Connected => {}
        WireConnectAnswer::Down => return Err(PeerAnswer::Down),
        WireConnectAnswer::NotReached => return Err(PeerAnswer::NotReached),
        WireConnectAnswer::NoPath => return Err(PeerAnswer::NoPath),
        WireConnectAnswer::Busy => return Err(PeerAnswer::Busy),
    }
    let (stream, received) = link.into_stream();
    // Replaces the limit of links between nodes, which is shorter.
    let silence_limit = connection_silence_limit.unwrap_or(PATIENT_SILENCE_LIMIT);
    configure_socket(&stream, Some(silence_limit)).map_err(|error| {
        tracing::debug!(target: "path", event = "cannot configure the tunnel", %peer, %error);
        PeerAnswer::Unanswered
    })?;
    Ok(Tunnel {
        stream,
        received,
        on_close: begin_tunnel(node, peer),
    })
}

async fn ask<P: Platform>(
    node: &Node<P>,
    peer: SocketAddr,
    target: &PathTarget,
) -> io::Result<(WireConnectAnswer, PeerLink)> {
    let mut link = PeerLink::connect(peer, silence_limit(node)).await?;
    let request = ToOrderer::Connect(WireConnect {
        replica: target.replica.to_string(),
        address: target.address.to_string(),
    });
    link.send(Bytes::from(request.serialize_bin())).await?;
    let frame = link.next_or_timeout().await?;
    let frame = frame.ok_or(io::ErrorKind::UnexpectedEof)?;
    Ok((decode(&frame)?, link))
}

fn begin_tunnel<P: Platform>(node: &Rc<Node<P>>, peer: SocketAddr) -> CloseHook {
    node.state.borrow_mut().peer_paths.begin_tunnel(peer);
    let node = node.clone();
    CloseHook::new(move || node.state.borrow_mut().peer_paths.end_tunnel(peer))
}
