//! The HTTP server that every stand-in runs on.

use bytes::Bytes;
use futures::Future;
use http::{header, Request, Response, StatusCode};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::convert::Infallible;
use std::fmt::Display;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use thiserror::Error;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio_util::sync::{CancellationToken, DropGuard};

/// Largest request taken, in bytes.
const MAX_REQUEST_BYTES: usize = 64 * 1024 * 1024;
/// Pause after a failed accept, for instance for want of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

pub(crate) type Body = BoxBody<Bytes, Infallible>;
/// An answer, or why the usual one is not given.
pub(crate) type HandlerResult = Result<Response<Body>, Rejection>;

/// Why the usual answer is not given.
#[derive(Debug, Error)]
pub(crate) enum Rejection {
    /// This answer is given instead.
    #[error("the call was refused")]
    Refused(Box<Response<Body>>),
    /// The connection is closed without an answer.
    #[error("connection cut by a fault")]
    ConnectionCut,
}

impl From<Response<Body>> for Rejection {
    fn from(response: Response<Body>) -> Self {
        Self::Refused(Box::new(response))
    }
}

/// Answers the requests of one stand-in.
pub(crate) trait Handler: Send + Sync + 'static {
    /// Answers one request. Dropped if the caller goes away.
    fn handle(self: Arc<Self>, request: Request<Incoming>) -> impl Future<Output = HandlerResult> + Send;
}

/// A running server; dropping it stops it and closes its connections.
#[derive(Debug)]
pub struct RunningServer {
    address: SocketAddr,
    stop: CancellationToken,
    _stop_on_drop: DropGuard,
}

impl RunningServer {
    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Cancelled when the server stops.
    pub(crate) fn stop_token(&self) -> CancellationToken {
        self.stop.clone()
    }
}

/// Closes all present connections of a server, without answers.
#[derive(Clone, Debug)]
pub(crate) struct ConnectionCutter(Arc<watch::Sender<u64>>);

impl ConnectionCutter {
    pub(crate) fn new() -> Self {
        Self(Arc::new(watch::Sender::new(0)))
    }

    /// Closes them.
    pub(crate) fn cut_all(&self) {
        self.0.send_modify(|cuts| *cuts += 1);
    }
}

/// Starts a server.
pub(crate) async fn start<H: Handler>(
    listen: SocketAddr,
    handler: Arc<H>,
    cutter: ConnectionCutter,
) -> io::Result<RunningServer> {
    let listener = TcpListener::bind(listen).await?;
    let address = listener.local_addr()?;
    let stop = CancellationToken::new();
    let accepting = accept_all(listener, handler, cutter, stop.clone());
    tokio::spawn(stop.clone().run_until_cancelled_owned(accepting));
    Ok(RunningServer {
        address,
        _stop_on_drop: stop.clone().drop_guard(),
        stop,
    })
}

async fn accept_all<H: Handler>(
    listener: TcpListener,
    handler: Arc<H>,
    cutter: ConnectionCutter,
    stop: CancellationToken,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let connection = serve_connection(stream, handler.clone(), cutter.0.subscribe());
        tokio::spawn(stop.clone().run_until_cancelled_owned(connection));
    }
}

async fn serve_connection<H: Handler>(stream: TcpStream, handler: Arc<H>, mut cuts: watch::Receiver<u64>) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(|request| {
        let answer = handler.clone().handle(request);
        async {
            match answer.await {
                Err(Rejection::Refused(response)) => Ok(*response),
                result => result,
            }
        }
    });
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        _ = connection => {}
        _ = cuts.changed() => {}
    }
}

/// An answer with a JSON body.
pub(crate) fn json<T: Serialize>(status: StatusCode, body: &T) -> Response<Body> {
    let bytes = serde_json::to_vec(body).unwrap_or_default();
    let mut response = Response::new(Full::new(Bytes::from(bytes)).boxed());
    *response.status_mut() = status;
    let json_type = header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json_type);
    response
}

/// An answer without a body.
pub(crate) fn empty(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(Full::new(Bytes::new()).boxed());
    *response.status_mut() = status;
    response
}

/// A 200 answer with a JSON body.
pub(crate) fn ok<T: Serialize>(body: &T) -> Response<Body> {
    json(StatusCode::OK, body)
}

/// A refusal: the call had no effect.
pub(crate) fn refuse(status: StatusCode, reason: &str, retry_after_millis: u64) -> Response<Body> {
    let body = croftrill_platform::wire::RefusalBody {
        reason: reason.to_string(),
        retry_after_millis,
        highest_fencing_token: None,
    };
    let mut response = json(status, &body);
    if retry_after_millis > 0 {
        let seconds = retry_after_millis.div_ceil(1000);
        response.headers_mut().insert(header::RETRY_AFTER, seconds.into());
    }
    response
}

/// The answer for an unknown path.
pub(crate) fn not_found() -> Response<Body> {
    refuse(StatusCode::NOT_FOUND, "no such path", 0)
}

/// Reads a JSON body.
pub(crate) async fn read_json<T: DeserializeOwned>(request: Request<Incoming>) -> Result<T, Rejection> {
    let body = Limited::new(request.into_body(), MAX_REQUEST_BYTES);
    let bytes = body.collect().await.map_err(bad_request)?.to_bytes();
    Ok(serde_json::from_slice(&bytes).map_err(bad_request)?)
}

fn bad_request(error: impl Display) -> Response<Body> {
    refuse(StatusCode::BAD_REQUEST, &error.to_string(), 0)
}

/// Milliseconds since the Unix epoch: the ledgers of several processes of one
/// machine can be laid side by side.
pub(crate) fn now_millis() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since_epoch.as_millis() as u64
}
