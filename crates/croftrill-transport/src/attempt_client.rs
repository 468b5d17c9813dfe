//! The gateway's side of attempts.
//!
//! An error says whether the attempt can have reached the owner:
//! [`AttemptError::NotSent`] only if it provably did not.

use crate::connection_pool::{Connection, ConnectionPool};
use crate::event_frames;
use bytes::{Bytes, BytesMut};
use croftrill_protocol::attempt::{AttemptEvent, AttemptRequest, ATTEMPT_PATH, MAX_ATTEMPT_BYTES};
use croftrill_state::{checked_message, AttemptId};
use futures::Stream;
use http::{Method, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::client::conn::http2::{self, SendRequest};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use log::debug;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

/// Unread bytes that one stream may have under way.
const STREAM_WINDOW_BYTES: u32 = 64 * 1024;
/// Room for many slow streams, so that they never stop the others of the
/// connection.
const CONNECTION_WINDOW_BYTES: u32 = 256 * 1024 * 1024;

/// Why an attempt failed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum AttemptError {
    /// It provably never reached the owner's handler.
    #[error("attempt not sent: {0}")]
    NotSent(String),
    /// It may have reached the owner, and may run.
    #[error("attempt broken: {0}")]
    Broken(String),
}

/// Settings of the connections to owners.
#[derive(Clone, Debug)]
pub struct AttemptClientConfig {
    /// Longest wait for a connection.
    pub connect_timeout: Duration,
    /// A connection that nobody asked for during this time is closed when its
    /// streams have ended.
    pub idle_limit: Duration,
    /// After this time without any byte from the owner, while streams are open,
    /// a ping is sent. Idle connections cost nothing.
    pub ping_interval: Duration,
    /// Longest wait for the answer to a ping; then the connection is broken.
    pub ping_timeout: Duration,
}

impl Default for AttemptClientConfig {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_secs(1),
            idle_limit: Duration::from_secs(45),
            ping_interval: Duration::from_secs(2),
            ping_timeout: Duration::from_secs(2),
        }
    }
}

type Sender = SendRequest<Full<Bytes>>;

/// Connections to owners, one for each address.
pub struct AttemptClients {
    config: AttemptClientConfig,
    pool: ConnectionPool<Sender>,
}

impl AttemptClients {
    /// No connection yet.
    pub fn new(config: AttemptClientConfig) -> Self {
        let pool = ConnectionPool::new(config.idle_limit);
        Self { config, pool }
    }

    /// Sends an attempt to the owner at `ip:port`. Returns when the owner took
    /// it; dropping the stream cancels it there.
    pub async fn start(
        &self,
        address: &str,
        request: &AttemptRequest,
    ) -> Result<AttemptStream, AttemptError> {
        let body = Bytes::from(checked_message::encode(request));
        if body.len() > MAX_ATTEMPT_BYTES {
            let reason = format!(
                "the request has {} bytes, the limit is {MAX_ATTEMPT_BYTES}",
                body.len()
            );
            return Err(AttemptError::NotSent(reason));
        }
        let http_request = http_request(address, body)?;
        let mut connection = self.pool.get(address, || self.connect(address)).await?;
        let sent = connection.client.try_send_request(http_request).await;
        let response = match sent {
            Ok(response) => response,
            Err(mut error) => {
                self.pool.discard(address);
                // The request comes back only if it was never put on the wire.
                let unsent = error.take_message().is_some();
                let reason = error.into_error().to_string();
                return Err(if unsent {
                    AttemptError::NotSent(reason)
                } else {
                    AttemptError::Broken(reason)
                });
            }
        };
        check_status(&response)?;
        Ok(AttemptStream {
            attempt: request.attempt,
            body: response.into_body(),
            buffer: BytesMut::new(),
            ended: false,
        })
    }

    async fn connect(&self, address: &str) -> Result<Connection<Sender>, AttemptError> {
        let connecting = async {
            let stream = TcpStream::connect(address).await.map_err(not_sent)?;
            stream.set_nodelay(true).map_err(not_sent)?;
            self.client_builder()
                .handshake(TokioIo::new(stream))
                .await
                .map_err(not_sent)
        };
        let (client, connection) = timeout(self.config.connect_timeout, connecting)
            .await
            .map_err(|_| AttemptError::NotSent(format!("{address} did not accept a connection in time")))??;
        let closed = CancellationToken::new();
        let ended = closed.clone().drop_guard();
        let address = address.to_string();
        tokio::spawn(async move {
            let _ended = ended;
            if let Err(error) = connection.await {
                debug!("attempt: connection broken address={address} error={error}");
            }
        });
        Ok(Connection { client, closed })
    }

    fn client_builder(&self) -> http2::Builder<TokioExecutor> {
        let mut builder = http2::Builder::new(TokioExecutor::new());
        builder
            .timer(TokioTimer::new())
            .initial_stream_window_size(STREAM_WINDOW_BYTES)
            .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
            .keep_alive_interval(self.config.ping_interval)
            .keep_alive_timeout(self.config.ping_timeout);
        builder
    }
}

fn not_sent(error: impl std::fmt::Display) -> AttemptError {
    AttemptError::NotSent(error.to_string())
}

fn http_request(address: &str, body: Bytes) -> Result<Request<Full<Bytes>>, AttemptError> {
    Request::builder()
        .method(Method::POST)
        .uri(format!("http://{address}{ATTEMPT_PATH}"))
        .body(Full::new(body))
        .map_err(not_sent)
}

/// Any status but 200 comes from before the owner's handler.
fn check_status(response: &Response<Incoming>) -> Result<(), AttemptError> {
    match response.status() {
        StatusCode::OK => Ok(()),
        status => Err(AttemptError::NotSent(format!(
            "the owner's server answered {status}"
        ))),
    }
}

/// The events of one attempt. It ends after the attempt's `Finished` or
/// `Refused`; if the connection or the owner fails earlier, its last item is an
/// error. Events of other attempts are passed on as they come.
pub struct AttemptStream {
    attempt: AttemptId,
    body: Incoming,
    buffer: BytesMut,
    ended: bool,
}

impl AttemptStream {
    fn broken(&mut self, reason: String) -> Poll<Option<Result<AttemptEvent, AttemptError>>> {
        self.ended = true;
        Poll::Ready(Some(Err(AttemptError::Broken(reason))))
    }
}

impl Stream for AttemptStream {
    type Item = Result<AttemptEvent, AttemptError>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        loop {
            if self.ended {
                return Poll::Ready(None);
            }
            match event_frames::decode(&mut self.buffer) {
                Ok(Some(event)) => {
                    self.ended = event.attempt() == self.attempt && is_last(&event);
                    return Poll::Ready(Some(Ok(event)));
                }
                Ok(None) => {}
                Err(error) => return self.broken(error.to_string()),
            }
            match ready!(Pin::new(&mut self.body).poll_frame(context)) {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.buffer.extend_from_slice(&data);
                    }
                }
                Some(Err(error)) => return self.broken(error.to_string()),
                None => return self.broken("the stream ended without a last event".to_string()),
            }
        }
    }
}

fn is_last(event: &AttemptEvent) -> bool {
    matches!(
        event,
        AttemptEvent::Finished { .. } | AttemptEvent::Refused { .. }
    )
}
