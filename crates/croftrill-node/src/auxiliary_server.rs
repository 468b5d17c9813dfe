//! Serves a port for health checks, directories or operators, within the limits of the process.

use std::convert::Infallible;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use croftrill_scheduler::connection_slots::ConnectionPhase;
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::body_reader::{self, BodyError, BodyLimits, HeldBody};
use crate::connector::configure_socket;
use crate::node::Node;
use crate::port_connections::{ConnectionPlace, PortConnections};
use crate::ports::Platform;
use crate::stream::AnswerBody;

/// Delay after a failed accept, so that a persistent error does not spin.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Time for a header block to arrive, and for which a connection may rest between two requests.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Maximum size of a header block, in bytes.
const MAX_HEADER_BYTES: usize = 16 * 1024;
/// Time without an acknowledgement after which a connection is closed.
const SILENCE_LIMIT: Duration = Duration::from_secs(20);
/// Maximum time that a body waits for memory.
const MAX_ROOM_WAIT: Duration = Duration::from_secs(1);

/// Accepts connections until the process ends, and answers their requests with `handler`. `port` names the
/// port in logs and metrics.
pub async fn serve<P, F, R>(node: Rc<Node<P>>, listener: TcpListener, port: &'static str, handler: F)
where
    P: Platform,
    F: Fn(Request<Incoming>) -> R + Clone + 'static,
    R: Future<Output = Response<AnswerBody>> + 'static,
{
    let max = node.settings.limits.max_auxiliary_connections();
    let connections = PortConnections::new(port, max, node.clock.clone());
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                if let Some(place) = connections.admit(&node.metrics).await {
                    spawn_local(serve_connection(stream, place, handler.clone()));
                }
            }
            Err(error) => {
                tracing::warn!(target: "front", event = "accept failed", port, %error);
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection<F, R>(stream: TcpStream, place: ConnectionPlace, handler: F)
where
    F: Fn(Request<Incoming>) -> R + Clone + 'static,
    R: Future<Output = Response<AnswerBody>> + 'static,
{
    if let Err(error) = configure_socket(&stream, Some(SILENCE_LIMIT)) {
        tracing::debug!(target: "front", event = "cannot configure the connection", %error);
        return;
    }
    let connection = place.connection().clone();
    let service = service_fn(move |request| {
        let (handler, connection) = (handler.clone(), connection.clone());
        async move {
            connection.set_phase(ConnectionPhase::Body);
            let answer = handler(request).await;
            connection.set_phase(ConnectionPhase::Idle);
            Ok::<_, Infallible>(answer)
        }
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(IDLE_TIMEOUT)
        .max_buf_size(MAX_HEADER_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        // An error affects only this connection.
        _ = served => {}
        () = place.connection().eviction().requested() => {}
    }
}

/// Reads a request's body of up to `max_bytes`.
///
/// Errors: it is larger, breaks off, does not arrive, or there is no memory for it.
pub async fn read_body<P: Platform>(
    node: &Node<P>,
    body: Incoming,
    max_bytes: u64,
) -> Result<HeldBody, BodyError> {
    let limits = BodyLimits {
        max_bytes,
        max_pause: IDLE_TIMEOUT,
        max_wait: MAX_ROOM_WAIT,
    };
    body_reader::read(body, limits, &node.memory).await
}
