//! The answering side of peer calls.

use super::codec::ServerCodec;
use super::traffic::PeerTraffic;
use croftrill_protocol::peer::Peer;
use futures::stream::FuturesUnordered;
use futures::StreamExt;
use log::{debug, warn};
use std::sync::Arc;
use std::time::Duration;
use tarpc::server::{BaseChannel, Channel};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;
use tokio_util::codec::Framed;
use tokio_util::sync::CancellationToken;

/// Pause after a failed accept, so that a lack of file descriptors costs no
/// busy loop.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Longest wait at shutdown for calls that run.
const SHUTDOWN_LIMIT: Duration = Duration::from_secs(5);
/// Time for the last answers to reach the socket.
const FLUSH_TIME: Duration = Duration::from_millis(100);

/// Serves peer calls.
pub struct PeerServer;

impl PeerServer {
    /// Serves until the token is cancelled; calls that run are then finished,
    /// for at most five seconds.
    ///
    /// All calls run inside the returned future, on the caller's task: `tarpc`
    /// does not let a generic function require that they are `Send`. The future
    /// is `Send` if the handler's are.
    pub async fn serve<H>(listener: TcpListener, handler: H, shutdown: CancellationToken)
    where
        H: Peer + Clone + Send + 'static,
    {
        Self::serve_counted(listener, handler, Arc::default(), shutdown).await;
    }

    /// The same; counts the frames of all connections in `traffic`.
    pub async fn serve_counted<H>(
        listener: TcpListener,
        handler: H,
        traffic: Arc<PeerTraffic>,
        shutdown: CancellationToken,
    ) where
        H: Peer + Clone + Send + 'static,
    {
        let mut connections = FuturesUnordered::new();
        loop {
            tokio::select! {
                () = shutdown.cancelled() => break,
                accepted = listener.accept() => match accepted {
                    Ok((stream, _)) => {
                        let codec = ServerCodec::counted(traffic.clone());
                        connections.push(serve_connection(stream, codec, handler.clone(), shutdown.clone()));
                    }
                    Err(error) => {
                        warn!("peer: accept failed error={error}");
                        tokio::time::sleep(ACCEPT_PAUSE).await;
                    }
                },
                Some(()) = connections.next() => {}
            }
        }
        drop(listener);
        while connections.next().await.is_some() {}
    }
}

async fn serve_connection<H>(stream: TcpStream, codec: ServerCodec, handler: H, shutdown: CancellationToken)
where
    H: Peer + Clone + Send + 'static,
{
    if let Err(error) = stream.set_nodelay(true) {
        debug!("peer: no-delay not set error={error}");
    }
    let channel = BaseChannel::with_defaults(Framed::new(stream, codec));
    let mut incoming = std::pin::pin!(channel.execute(handler.serve()));
    let mut calls = FuturesUnordered::new();
    loop {
        tokio::select! {
            () = shutdown.cancelled() => break,
            call = incoming.next() => match call {
                Some(call) => calls.push(call),
                None => return,
            },
            Some(()) = calls.next() => {}
        }
    }
    let drain = async {
        while !calls.is_empty() {
            // The channel must still be polled, since it sends the answers.
            tokio::select! {
                call = incoming.next() => match call {
                    Some(call) => calls.push(call),
                    None => return,
                },
                Some(()) = calls.next() => {}
            }
        }
        let _ = timeout(FLUSH_TIME, incoming.next()).await;
    };
    if timeout(SHUTDOWN_LIMIT, drain).await.is_err() {
        warn!("peer: calls cut off at shutdown");
    }
}
