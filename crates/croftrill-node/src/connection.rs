//! Outgoing HTTP connections: opening, pooling and closing them.
//!
//! Dropping a [`Connection`] closes its socket at once, so that the peer stops working
//! on the request.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Request, Response};
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use tokio::time::{timeout, Instant};

use crate::answer_budget::AnswerBudget;
use crate::answer_reader::{AnswerReader, BodyEnd, BodyPart, Content};
use crate::close_hook::CloseHook;
use crate::connector::{configure_socket, Connector, TcpConnector};
use crate::keep_alive_header::{is_close_requested, keep_alive_timeout};

/// Settings of a connection pool.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionConfig {
    /// Timeout for establishing a connection.
    pub connect_timeout: Duration,
    /// Time without an acknowledgement of data or probes after which the peer counts as
    /// lost; `None` uses the operating system's default. It must exceed the silence of a sound
    /// peer, as what was sent on the connection breaks with it.
    pub silence_limit: Option<Duration>,
    /// Longest idle time after which a connection is used again.
    pub max_idle_time: Duration,
    /// Maximum number of idle connections to one address.
    pub max_idle_connections: usize,
    /// Maximum number of idle connections to all addresses.
    pub max_idle_total: usize,
    /// Maximum size of a connection's read buffer, which bounds the head of an answer. In bytes.
    pub max_read_buffer_bytes: usize,
    /// Whether connections are reset when they are closed, so that what was written and not
    /// delivered by then never is.
    pub resets_on_close: bool,
}

impl Default for ConnectionConfig {
    fn default() -> Self {
        ConnectionConfig {
            connect_timeout: Duration::from_millis(400),
            // A sound replica may be silent for a second or two.
            silence_limit: Some(Duration::from_secs(4)),
            max_idle_time: Duration::from_millis(3000),
            max_idle_connections: 8,
            max_idle_total: usize::MAX,
            max_read_buffer_bytes: 64 * 1024,
            resets_on_close: false,
        }
    }
}

/// Why an exchange failed.
#[derive(Debug, thiserror::Error)]
pub enum ExchangeError {
    /// The connection was not established, so nothing was sent.
    #[error("cannot connect: {0}")]
    Connect(io::Error),
    /// The connection closed before the request was written, so nothing was sent.
    #[error("connection closed before the request was sent")]
    NotSent,
    /// The connection failed after the request may have been written.
    #[error("connection broke: {0}")]
    Broken(hyper::Error),
    /// The answer ended before it was whole, though the connection did not fail.
    #[error("the answer was cut off {end}")]
    CutOff {
        /// Where it ended.
        end: &'static str,
    },
    /// More informational answers than the limit came in place of the answer.
    #[error("too many informational answers")]
    TooManyHeads,
    /// No complete answer arrived in time.
    #[error("no answer in time")]
    TimedOut,
    /// The answer exceeds the requested size limit.
    #[error("the answer is too long")]
    TooLong,
}

impl ExchangeError {
    /// Returns true if the peer cannot have received the request.
    pub fn nothing_sent(&self) -> bool {
        matches!(self, ExchangeError::Connect(_) | ExchangeError::NotSent)
    }
}

/// Limits of an exchange whose answer may be long. An answer that keeps arriving is not
/// cut off by a deadline for the call: it would be requested again from its start and
/// might never complete.
#[derive(Debug, Clone, Copy)]
pub struct AnswerLimits {
    /// Timeout for the head of the answer.
    pub head_timeout: Duration,
    /// Maximum size of the body, in bytes.
    pub max_bytes: u64,
}

/// Longest time without a byte within an answer. A complete short call may take as
/// long, so a path that is silent for longer counts as dead.
const MAX_BODY_PAUSE: Duration = Duration::from_millis(900);
/// Timeout for the body of an answer: 10 MB over 10 Mbit/s, more than any answer of a
/// store (reads are paged at 1 MB).
const BODY_TIMEOUT: Duration = Duration::from_secs(8);

/// Maximum number of informational answers (1xx) before an answer.
const MAX_INFORMATIONAL: usize = 16;

/// Progress of the answer to a pending call.
#[derive(Debug, Default)]
pub struct AnswerProgress {
    bytes: Cell<u64>,
    started_at: Cell<Option<Instant>>,
}

impl AnswerProgress {
    /// Returns the number of bytes of the answer's body received so far.
    pub fn bytes(&self) -> u64 {
        self.bytes.get()
    }

    /// Returns the time since the first byte of the body.
    pub fn elapsed(&self) -> Duration {
        self.started_at
            .get()
            .map_or(Duration::ZERO, |started_at| started_at.elapsed())
    }

    fn add(&self, bytes: usize) {
        self.started_at
            .set(self.started_at.get().or_else(|| Some(Instant::now())));
        self.bytes.set(self.bytes.get() + bytes as u64);
    }
}

/// One connection, whose socket closes when it is dropped.
pub struct Connection {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
    opened_at: Instant,
    idle_since: Instant,
    max_idle_time: Duration,
    /// True once the connection was idle between two requests.
    was_idle: bool,
    /// Present if the connection goes over another node.
    tunnel: Option<CloseHook>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Connection {
    /// Returns the address of the peer.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns for how long the connection has been open. Time in which the machine was suspended does
    /// not count.
    pub fn age(&self) -> Duration {
        self.opened_at.elapsed()
    }

    /// Returns whether the connection goes over another node.
    pub fn is_tunnel(&self) -> bool {
        self.tunnel.is_some()
    }

    /// Returns whether the connection was idle between two requests.
    pub fn is_reused(&self) -> bool {
        self.was_idle
    }

    /// Sends a request and waits for the head of the answer.
    pub async fn send(
        &mut self,
        mut request: Request<Full<Bytes>>,
    ) -> Result<Response<AnswerReader>, ExchangeError> {
        if self.sender.ready().await.is_err() {
            return Err(ExchangeError::NotSent);
        }
        let method = request.method().clone();
        let too_many = limit_informational(&mut request);
        let sent = tokio::select! {
            sent = self.sender.try_send_request(request) => sent,
            () = too_many.notified() => return Err(ExchangeError::TooManyHeads),
        };
        let answer = sent.map_err(|mut error| match error.take_message() {
            Some(_) => ExchangeError::NotSent,
            None => ExchangeError::Broken(error.into_error()),
        })?;
        Ok(AnswerReader::wrap(&method, answer))
    }
}

/// Returns what is notified once more informational answers to the request arrive than the limit.
fn limit_informational(request: &mut Request<Full<Bytes>>) -> Arc<Notify> {
    let too_many = Arc::new(Notify::new());
    let (notify, count) = (too_many.clone(), AtomicUsize::new(0));
    hyper::ext::on_informational(request, move |_| {
        if count.fetch_add(1, Ordering::Relaxed) >= MAX_INFORMATIONAL {
            notify.notify_one();
        }
    });
    too_many
}

/// Opens connections and retains idle ones for reuse.
pub struct ConnectionPool {
    config: ConnectionConfig,
    connector: Rc<dyn Connector>,
    idle: RefCell<HashMap<SocketAddr, Vec<Connection>>>,
    opened: RefCell<u64>,
}

impl ConnectionPool {
    /// Returns a pool without connections.
    pub fn new(config: ConnectionConfig) -> Self {
        Self::with_connector(config, Rc::new(TcpConnector))
    }

    /// Returns a pool without connections that opens them with `connector`.
    pub fn with_connector(config: ConnectionConfig, connector: Rc<dyn Connector>) -> Self {
        ConnectionPool {
            config,
            connector,
            idle: RefCell::default(),
            opened: RefCell::new(0),
        }
    }

    /// Returns the number of connections opened so far.
    pub fn opened(&self) -> u64 {
        *self.opened.borrow()
    }

    /// Opens a new connection.
    pub async fn dial(&self, address: SocketAddr) -> Result<Connection, ExchangeError> {
        let connecting = timeout(self.config.connect_timeout, self.connector.connect(address));
        let stream = match connecting.await {
            Ok(connected) => connected.map_err(ExchangeError::Connect)?,
            Err(_) => return Err(ExchangeError::Connect(io::ErrorKind::TimedOut.into())),
        };
        configure_socket(&stream, self.config.silence_limit).map_err(ExchangeError::Connect)?;
        if self.config.resets_on_close {
            stream.set_zero_linger().map_err(ExchangeError::Connect)?;
        }
        self.handshake(stream, address, None).await
    }

    /// Returns the limit on the silence of its connections.
    pub fn silence_limit(&self) -> Option<Duration> {
        self.config.silence_limit
    }

    /// Returns a connection over a tunnel to `address`. Runs `on_close` when it is dropped.
    pub async fn handshake_over(
        &self,
        tunnel: impl AsyncRead + AsyncWrite + Unpin + 'static,
        address: SocketAddr,
        on_close: CloseHook,
    ) -> Result<Connection, ExchangeError> {
        self.handshake(tunnel, address, Some(on_close)).await
    }

    async fn handshake(
        &self,
        stream: impl AsyncRead + AsyncWrite + Unpin + 'static,
        address: SocketAddr,
        tunnel: Option<CloseHook>,
    ) -> Result<Connection, ExchangeError> {
        let handshake = http1::Builder::new()
            .max_buf_size(self.config.max_read_buffer_bytes)
            .handshake(TokioIo::new(stream));
        let (sender, connection) = handshake.await.map_err(|_| ExchangeError::NotSent)?;
        *self.opened.borrow_mut() += 1;
        let driver = tokio::task::spawn_local(async move {
            // Errors also reach the sender of the request.
            let _ = connection.await;
        });
        let max_idle_time = self.config.max_idle_time;
        Ok(Connection {
            address,
            sender,
            driver,
            opened_at: Instant::now(),
            idle_since: Instant::now(),
            max_idle_time,
            was_idle: false,
            tunnel,
        })
    }

    /// Removes a usable idle connection from the pool and returns it.
    pub fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        while let Some(connection) = connections.pop() {
            let fresh = connection.idle_since.elapsed() < connection.max_idle_time;
            if fresh && connection.sender.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    /// Returns an idle connection or opens a new one.
    pub async fn connect(&self, address: SocketAddr) -> Result<Connection, ExchangeError> {
        match self.take_idle(address) {
            Some(connection) => Ok(connection),
            None => self.dial(address).await,
        }
    }

    /// Returns a connection to the pool after its answer was read completely. `headers` are
    /// those of the answer.
    pub fn put_back(&self, mut connection: Connection, headers: &HeaderMap) {
        // A tunnel would occupy the other node while it is idle.
        if connection.is_tunnel() || connection.sender.is_closed() || is_close_requested(headers) {
            return;
        }
        connection.idle_since = Instant::now();
        connection.max_idle_time = self.config.max_idle_time.min(keep_alive_timeout(headers));
        connection.was_idle = true;
        let mut idle = self.idle.borrow_mut();
        if idle.values().map(Vec::len).sum::<usize>() >= self.config.max_idle_total {
            return;
        }
        let connections = idle.entry(connection.address).or_default();
        connections.retain(|other| other.idle_since.elapsed() < other.max_idle_time);
        if connections.len() < self.config.max_idle_connections {
            connections.push(connection);
        }
    }

    /// Handles a connection on which a request got no complete answer, or none in time. If
    /// it was reused, closes the idle connections to its address: connections can become
    /// silent without a reset while new ones work, and each would cost another timeout.
    pub fn handle_unresponsive(&self, connection: &Connection) {
        if !connection.was_idle {
            return;
        }
        let idle = self.idle.borrow_mut().remove(&connection.address);
        let closed = idle.map_or(0, |connections| connections.len());
        tracing::debug!(target: "connection", event = "closed idle connections to a silent peer", address = %connection.address, closed);
    }

    /// Closes all idle connections.
    pub fn close_idle(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Closes connections that were idle too long to be used again.
    pub fn drop_expired(&self) {
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|connection| connection.idle_since.elapsed() < connection.max_idle_time);
            !connections.is_empty()
        });
    }

    /// Sends a request on an idle or new connection and reads the complete answer.
    pub async fn exchange(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<Response<Bytes>, ExchangeError> {
        timeout(limit, self.exchange_without_timeout(address, request))
            .await
            .unwrap_or(Err(ExchangeError::TimedOut))
    }

    /// Like [`Self::exchange`], for answers that may be long. Records the progress of the
    /// answer in `progress`.
    pub async fn exchange_long(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        limits: AnswerLimits,
        progress: &AnswerProgress,
    ) -> Result<Response<Bytes>, ExchangeError> {
        let started = timeout(limits.head_timeout, self.start_exchange(address, request)).await;
        let (exchange, answer) = started.unwrap_or(Err(ExchangeError::TimedOut))?;
        let (head, body) = answer.into_parts();
        let reading = read_body(body, limits.max_bytes, progress);
        let body = timeout(BODY_TIMEOUT, reading)
            .await
            .unwrap_or(Err(ExchangeError::TimedOut))?;
        exchange.finish(&head.headers);
        Ok(Response::from_parts(head, body))
    }

    async fn exchange_without_timeout(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Bytes>, ExchangeError> {
        let (exchange, answer) = self.start_exchange(address, request).await?;
        let (head, mut reader) = answer.into_parts();
        let answer = reader.read_to_end(&AnswerBudget::default(), || false).await;
        check_end(reader.judge_document(&answer.body, answer.end))?;
        exchange.finish(&head.headers);
        Ok(Response::from_parts(head, answer.body))
    }

    /// Sends a request on an idle or new connection and returns the head of the answer, which holds
    /// a JSON document unless its type says otherwise. Sends it again on a new connection if the
    /// first one closed before it was written.
    async fn start_exchange(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<(Exchange<'_>, Response<AnswerReader>), ExchangeError> {
        let retry = request.clone();
        let mut exchange = Exchange::new(self, self.connect(address).await?);
        let answer = match exchange.send(request).await {
            Err(ExchangeError::NotSent) => {
                exchange = Exchange::new(self, self.dial(address).await?);
                exchange.send(retry).await?
            }
            other => other?,
        };
        let (head, mut body) = answer.into_parts();
        body.set_content(Content::of(
            &head.headers,
            Content::Document { may_be_empty: true },
        ));
        Ok((exchange, Response::from_parts(head, body)))
    }
}

/// A connection in use by an exchange of the pool, which may be cancelled at any time.
struct Exchange<'a> {
    pool: &'a ConnectionPool,
    connection: Option<Connection>,
}

impl<'a> Exchange<'a> {
    fn new(pool: &'a ConnectionPool, connection: Connection) -> Self {
        Exchange {
            pool,
            connection: Some(connection),
        }
    }

    async fn send(&mut self, request: Request<Full<Bytes>>) -> Result<Response<AnswerReader>, ExchangeError> {
        match &mut self.connection {
            Some(connection) => connection.send(request).await,
            None => Err(ExchangeError::NotSent),
        }
    }

    /// Returns the connection to the pool after its answer was read completely.
    fn finish(mut self, headers: &HeaderMap) {
        if let Some(connection) = self.connection.take() {
            self.pool.put_back(connection, headers);
        }
    }
}

impl Drop for Exchange<'_> {
    fn drop(&mut self) {
        if let Some(connection) = &self.connection {
            self.pool.handle_unresponsive(connection);
        }
    }
}

/// Reads a body of up to `max_bytes` for as long as it keeps arriving.
async fn read_body(
    mut body: AnswerReader,
    max_bytes: u64,
    progress: &AnswerProgress,
) -> Result<Bytes, ExchangeError> {
    let mut received = BytesMut::new();
    loop {
        let part = timeout(MAX_BODY_PAUSE, body.next()).await;
        match part.map_err(|_| ExchangeError::TimedOut)? {
            BodyPart::Bytes(bytes) => {
                progress.add(bytes.len());
                received.extend_from_slice(&bytes);
            }
            BodyPart::End(end) => {
                check_end(body.judge_document(&received, end))?;
                return Ok(received.freeze());
            }
        }
        if progress.bytes() > max_bytes {
            return Err(ExchangeError::TooLong);
        }
    }
}

fn check_end(end: BodyEnd) -> Result<(), ExchangeError> {
    match end {
        BodyEnd::Broken(error) => Err(ExchangeError::Broken(error)),
        BodyEnd::TooLong => Err(ExchangeError::TooLong),
        end if end.is_cut_off() => Err(ExchangeError::CutOff { end: end.name() }),
        _ => Ok(()),
    }
}
