//! The listener for callers' requests.

use std::cell::RefCell;
use std::convert::Infallible;
use std::future::poll_fn;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use http::header::{HeaderValue, CONNECTION};
use http::{Request, StatusCode};
use http_body::Body;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use crate::caller_stream::{CallerBody, CallerLink, CallerStream};
use crate::connection_guard::ConnectionGuard;
use crate::connector::configure_socket;
use crate::metrics::Metrics;
use crate::node::{Lifecycle, Node};
use crate::port_connections::{ConnectionPlace, PortConnections};
use crate::ports::{CallerAddress, Platform};
use crate::request;

/// Time before the exit of a stopping node at which it answers the remaining requests: a
/// few round trips to the farthest callers.
const LAST_ANSWER_MARGIN: Duration = Duration::from_millis(200);

/// Delay after a failed accept, for example when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Time after the request to stop in which new connections and requests are still
/// accepted. By its end callers have resolved the nodes' addresses again. A request accepted
/// much later could not be finished within the grace period.
pub const STOP_ACCEPT_PERIOD: Duration = Duration::from_millis(2000);
/// Time without any acknowledgement, even of probes, after which a caller's connection is
/// closed. It is longer than callers wait for an answer (15 s on the longest known route),
/// so a shorter network partition loses no answers.
const CALLER_SILENCE_LIMIT: Duration = Duration::from_secs(20);
/// Size of the kernel's buffers for each direction of a caller's connection. The kernel doubles it.
pub(crate) const SOCKET_BUFFER_BYTES: usize = 64 * 1024;
/// Smallest read buffer that the HTTP library accepts.
const MIN_READ_BUFFER_BYTES: usize = 8192;

/// Accepts callers until the process ends or, after a request to stop, until
/// [`STOP_ACCEPT_PERIOD`] has passed. A caller that connects later is refused at once and
/// can turn to another node.
pub async fn accept<P: Platform>(node: Rc<Node<P>>, listener: TcpListener) {
    if let Err(error) = bound_socket_buffers(&listener) {
        tracing::warn!(target: "front", event = "cannot bound the sockets' buffers", %error);
    }
    let max_connections = node.settings.limits.max_caller_connections();
    let connections = PortConnections::new("callers", max_connections, node.clock.clone());
    let closing = wait_until_closed(&node);
    tokio::pin!(closing);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = closing.as_mut() => return,
        };
        match accepted {
            Ok((stream, caller)) => {
                let Some(place) = connections.admit(&node.metrics).await else {
                    continue;
                };
                let caller = CallerAddress(caller.ip());
                tokio::task::spawn_local(serve_connection(node.clone(), stream, caller, place));
            }
            Err(error) => {
                tracing::warn!(target: "front", event = "accept failed", %error);
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Bounds what the kernel holds of each connection that the listener accepts from now on.
fn bound_socket_buffers(listener: &TcpListener) -> io::Result<()> {
    let socket = SockRef::from(listener);
    socket.set_recv_buffer_size(SOCKET_BUFFER_BYTES)?;
    socket.set_send_buffer_size(SOCKET_BUFFER_BYTES)
}

/// Serves one caller's connection until either side closes it.
async fn serve_connection<P: Platform>(
    node: Rc<Node<P>>,
    stream: TcpStream,
    caller: CallerAddress,
    place: ConnectionPlace,
) {
    if let Err(error) = configure_socket(&stream, Some(CALLER_SILENCE_LIMIT)) {
        tracing::debug!(target: "front", event = "cannot configure the connection", %error);
        return;
    }
    let limits = node
        .configuration()
        .map(|configuration| configuration.limits)
        .unwrap_or_default();
    let service_node = node.clone();
    let link = Rc::new(CallerLink::new(place.connection().clone()));
    let answer_link = link.clone();
    let service = service_fn(move |mut request: Request<Incoming>| {
        let node = service_node.clone();
        let link = answer_link.clone();
        let version = request.version();
        request.extensions_mut().insert(caller);
        link.record_request(!request.body().is_end_stream());
        async move {
            let mut response = tokio::select! {
                response = request::serve(&node, request, link.connection()) => response,
                () = wait_for_last_answers(&node) => {
                    request::refuse(StatusCode::GATEWAY_TIMEOUT, "the node ends before its answer came", None)
                }
            };
            if node.lifecycle() == Lifecycle::Stopping {
                response
                    .headers_mut()
                    .insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(response.map(|body| CallerBody::new(body, version, link)))
        }
    });
    let stream = Rc::new(RefCell::new(stream));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout.max(limits.header_timeout))
        .max_buf_size(limits.max_header_bytes.max(MIN_READ_BUFFER_BYTES))
        .serve_connection(
            TokioIo::new(CallerStream::new(stream.clone(), link.clone())),
            service,
        );
    tokio::pin!(connection);
    let mut guard = ConnectionGuard::new(stream, link, place, limits.header_timeout);
    let overdue = poll_fn(|context| guard.poll_overdue(context));
    tokio::select! {
        biased;
        _ = connection.as_mut() => return,
        cause = overdue => {
            tracing::info!(target: "front", event = "closed a connection", cause, caller = %caller.0);
            Metrics::count(&node.metrics.closed_connections, "callers", cause);
            return;
        }
        () = wait_until_closed(&node) => {}
    }
    // Closes an idle connection now, and one in use after its answer.
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}

/// Waits until a stopping node accepts no new requests.
async fn wait_until_closed<P: Platform>(node: &Node<P>) {
    while node.lifecycle() != Lifecycle::Stopping {
        node.stop_requested.notified().await;
    }
    sleep(STOP_ACCEPT_PERIOD).await;
}

/// Waits until a stopping node must answer the requests that are still in flight, so that
/// their callers get an answer rather than a closed connection. Such a request may have
/// been executed.
async fn wait_for_last_answers<P: Platform>(node: &Node<P>) {
    while node.stop_requested_at().is_none() {
        node.stop_requested.notified().await;
    }
    let Some(requested_at) = node.stop_requested_at() else {
        return;
    };
    let until = stop_duration(node).saturating_sub(LAST_ANSWER_MARGIN);
    node.clock.sleep_until(requested_at + until).await;
    tracing::info!(target: "request", event = "answered a request before the node's exit", in_flight = node.in_flight.get());
}

/// Returns the time from the request to stop until the node exits even with requests in
/// flight.
fn stop_duration<P: Platform>(node: &Node<P>) -> Duration {
    /// Part of the grace period that is reserved for the exit itself.
    const EXIT_MARGIN: Duration = Duration::from_millis(700);
    node.settings.bounds.stop_grace.saturating_sub(EXIT_MARGIN)
}

/// Waits until a stopping node may exit: no request is in flight, or the grace period is
/// over.
pub async fn drain<P: Platform>(node: &Node<P>) {
    const CHECK_INTERVAL: Duration = Duration::from_millis(50);
    let grace = stop_duration(node);
    let started = node.clock.now();
    let elapsed = || node.clock.now().since(started);
    while elapsed() < grace {
        let idle = node.in_flight.get() == 0 && node.carried_tunnels.get() == 0;
        if idle && elapsed() >= STOP_ACCEPT_PERIOD + CHECK_INTERVAL * 4 {
            break;
        }
        sleep(CHECK_INTERVAL).await;
    }
    tracing::info!(target: "node", event = "stop", in_flight = node.in_flight.get());
}
