//! The HTTP server of every HTTP interface of the daemon, with graceful
//! shutdown, and helpers for bodies.

use bytes::Bytes;
use http::header::{HeaderValue, CONTENT_TYPE};
use http::{Request, Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::service::Service;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use hyper_util::server::graceful::GracefulShutdown;
use log::{debug, warn};
use std::convert::Infallible;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

/// Pause after a failed accept, so that a lack of file descriptors costs no
/// busy loop.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// A response body: whole or streamed.
pub type HttpBody = UnsyncBoxBody<Bytes, Infallible>;

/// Settings of a server.
#[derive(Clone, Debug)]
pub struct HttpServerConfig {
    /// Whether only HTTP/2 (prior knowledge) is spoken; else HTTP/1.1 as well.
    pub http2_only: bool,
    /// Longest wait for the head of a request, also on an idle connection.
    pub header_timeout: Duration,
    /// After this time without any byte from an HTTP/2 client a ping is sent,
    /// also on an idle connection.
    pub ping_interval: Duration,
    /// Longest wait for the answer to a ping.
    pub ping_timeout: Duration,
    /// Most HTTP/2 streams that one connection may have open.
    pub max_streams: u32,
}

impl Default for HttpServerConfig {
    fn default() -> Self {
        Self {
            http2_only: false,
            header_timeout: Duration::from_secs(60),
            ping_interval: Duration::from_secs(2),
            ping_timeout: Duration::from_secs(3),
            max_streams: 4096,
        }
    }
}

/// Serves until the token is cancelled. Then it accepts nothing more, and
/// returns when the requests that run have their whole answers.
pub async fn serve<S, B>(
    listener: TcpListener,
    service: S,
    config: HttpServerConfig,
    shutdown: CancellationToken,
) where
    S: Service<Request<Incoming>, Response = Response<B>, Error = Infallible> + Clone + Send + 'static,
    S::Future: Send + 'static,
    B: Body + Send + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let builder = server_builder(&config);
    let graceful = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            () = shutdown.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(error) => {
                warn!("http: accept failed error={error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        if let Err(error) = stream.set_nodelay(true) {
            debug!("http: no-delay not set error={error}");
        }
        let connection = builder.serve_connection(TokioIo::new(stream), service.clone());
        let connection = graceful.watch(connection.into_owned());
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                debug!("http: connection ended error={error}");
            }
        });
    }
    drop(listener);
    graceful.shutdown().await;
}

fn server_builder(config: &HttpServerConfig) -> auto::Builder<TokioExecutor> {
    let mut builder = auto::Builder::new(TokioExecutor::new());
    if config.http2_only {
        builder = builder.http2_only();
    }
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(config.header_timeout);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_concurrent_streams(config.max_streams)
        .keep_alive_interval(config.ping_interval)
        .keep_alive_timeout(config.ping_timeout);
    builder
}

/// Why a request body cannot be read.
#[derive(Debug, Error)]
pub enum BodyError {
    /// It is larger than the limit.
    #[error("the body is larger than {limit} bytes")]
    TooLarge {
        /// The limit, in bytes.
        limit: usize,
    },
    /// It did not arrive in time.
    #[error("the body did not arrive in time")]
    TimedOut,
    /// The connection failed.
    #[error("the body cannot be read: {0}")]
    Broken(String),
}

/// Reads a whole request body of at most `limit` bytes within `time`.
pub async fn read_body<B>(body: B, limit: usize, time: Duration) -> Result<Bytes, BodyError>
where
    B: Body,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    if body.size_hint().lower() > limit as u64 {
        return Err(BodyError::TooLarge { limit });
    }
    let collected = timeout(time, Limited::new(body, limit).collect())
        .await
        .map_err(|_| BodyError::TimedOut)?;
    match collected {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(BodyError::TooLarge { limit }),
        Err(error) => Err(BodyError::Broken(error.to_string())),
    }
}

/// A whole body.
pub fn full_body(bytes: impl Into<Bytes>) -> HttpBody {
    Full::new(bytes.into()).boxed_unsync()
}

/// An answer of one content type.
pub fn answer(status: StatusCode, content_type: &'static str, body: impl Into<Bytes>) -> Response<HttpBody> {
    let mut response = Response::new(full_body(body));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}

/// A JSON answer; the text is already JSON.
pub fn json_answer(status: StatusCode, json: impl Into<Bytes>) -> Response<HttpBody> {
    answer(status, "application/json", json)
}

/// A plain-text answer.
pub fn text_answer(status: StatusCode, text: impl Into<Bytes>) -> Response<HttpBody> {
    answer(status, "text/plain; charset=utf-8", text)
}
