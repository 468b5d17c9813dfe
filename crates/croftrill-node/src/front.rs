//! The listener for callers' requests.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use http::header::{HeaderValue, CONNECTION};
use http::{Request, StatusCode};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use crate::connection::tune;
use crate::node::{Lifecycle, Node};
use crate::ports::{CallerAddress, Platform};
use crate::request;

/// Time before the end in which a stopping node gives its last answers: a few round trips
/// to the farthest callers.
const LAST_ANSWERS: Duration = Duration::from_millis(200);

/// Pause after a failed accept, as when descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Time after the request to stop in which new connections and requests are
/// still taken; by then callers have asked for addresses anew. A request that is
/// taken much later could not be finished within the grace.
pub const STOP_LINGER: Duration = Duration::from_millis(2000);
/// A caller's connection on which nothing is taken for so long, not even probes,
/// is closed: longer than callers wait for an answer (15 s on the longest known
/// route), as a partition that ends sooner loses nothing.
const CALLER_SILENCE: Duration = Duration::from_secs(20);
/// Smallest read buffer that the HTTP library takes, in bytes.
const LEAST_BUFFER: usize = 8192;

/// Accepts callers until the process ends, or some time after the node was
/// asked to stop: whoever comes then still finds the other nodes at once.
pub async fn accept<P: Platform>(node: Rc<Node<P>>, listener: TcpListener) {
    let closing = lingered(&node);
    tokio::pin!(closing);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = closing.as_mut() => return,
        };
        match accepted {
            Ok((stream, caller)) => {
                let caller = CallerAddress(caller.ip());
                tokio::task::spawn_local(serve_connection(node.clone(), stream, caller));
            }
            Err(error) => {
                tracing::warn!(target: "front", event = "accept failed", %error);
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Serves one caller's connection until either side closes it.
async fn serve_connection<P: Platform>(node: Rc<Node<P>>, stream: TcpStream, caller: CallerAddress) {
    if let Err(error) = tune(&stream, Some(CALLER_SILENCE)) {
        tracing::debug!(target: "front", event = "connection cannot be set up", %error);
        return;
    }
    let limits = node
        .configuration()
        .map(|configuration| configuration.limits)
        .unwrap_or_default();
    let service_node = node.clone();
    let service = service_fn(move |mut request: Request<Incoming>| {
        let node = service_node.clone();
        request.extensions_mut().insert(caller);
        async move {
            let mut response = tokio::select! {
                response = request::serve(&node, request) => response,
                () = last_answers(&node) => {
                    request::refuse(StatusCode::GATEWAY_TIMEOUT, "the node ends before its answer came", None)
                }
            };
            if node.lifecycle() == Lifecycle::Stopping {
                response
                    .headers_mut()
                    .insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(response)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout.max(limits.header_timeout))
        .max_buf_size(limits.max_header_bytes.max(LEAST_BUFFER))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    tokio::select! {
        _ = connection.as_mut() => return,
        () = lingered(&node) => {}
    }
    // Resting connections close now; one that is in use closes after its answer.
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}

/// Ends when the node, asked to stop, takes no new requests any more.
async fn lingered<P: Platform>(node: &Node<P>) {
    while node.lifecycle() != Lifecycle::Stopping {
        node.stop_requested.notified().await;
    }
    sleep(STOP_LINGER).await;
}

/// Ends when a stopping node must answer what has no answer yet, so that its callers learn
/// of its end by more than a closed connection. Such a request may have run.
async fn last_answers<P: Platform>(node: &Node<P>) {
    while node.stop_requested_at().is_none() {
        node.stop_requested.notified().await;
    }
    let Some(asked) = node.stop_requested_at() else {
        return;
    };
    let until = time_to_finish(node).saturating_sub(LAST_ANSWERS);
    node.clock.sleep_until(asked + until).await;
    tracing::info!(target: "request", event = "answered at the end of the node", in_flight = node.in_flight.get());
}

/// Time from the request to stop until the node ends, whatever is in flight.
fn time_to_finish<P: Platform>(node: &Node<P>) -> Duration {
    /// Part of the grace that is left for the end itself.
    const END_MARGIN: Duration = Duration::from_millis(700);
    node.settings.bounds.stop_grace.saturating_sub(END_MARGIN)
}

/// Waits until a stopping node may end: nothing is in flight, or the grace is over.
pub async fn finish<P: Platform>(node: &Node<P>) {
    /// Time between two looks.
    const LOOK_EVERY: Duration = Duration::from_millis(50);
    let grace = time_to_finish(node);
    let started = node.clock.now();
    let elapsed = || node.clock.now().since(started);
    while elapsed() < grace {
        let idle = node.in_flight.get() == 0;
        if idle && elapsed() >= STOP_LINGER + LOOK_EVERY * 4 {
            break;
        }
        sleep(LOOK_EVERY).await;
    }
    tracing::info!(target: "node", event = "stop", in_flight = node.in_flight.get());
}
