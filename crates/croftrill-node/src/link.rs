//! A link between two nodes that distinguishes a silent peer from a slow connection.
//!
//! Liveness is measured in bytes, not messages, since a large message on a slow connection may
//! take longer than the silence limit. A connection can become silent in one or both directions
//! without a reset, so both reads and writes have a limit.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures::{SinkExt, StreamExt};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{sleep_until, timeout, Instant};
use tokio_util::codec::Framed;

use crate::connector::configure_socket;
use crate::memory::Memory;
use crate::message_room::{MessageCodec, MessageRoom};
use crate::port_connections::ConnectionPlace;

/// Maximum time for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// When bytes were last read and written.
#[derive(Debug)]
struct Progress {
    read_at: Cell<Instant>,
    written_at: Cell<Instant>,
}

impl Progress {
    fn new() -> Rc<Self> {
        Rc::new(Progress {
            read_at: Cell::new(Instant::now()),
            written_at: Cell::new(Instant::now()),
        })
    }
}

/// A stream that records when bytes are read and written.
struct TrackedStream {
    stream: TcpStream,
    progress: Rc<Progress>,
    /// Bounds what a peer that connected here can make this node hold.
    room: Option<Rc<MessageRoom>>,
    /// The place of such a link, once its purpose is known.
    place: Option<ConnectionPlace>,
}

impl TrackedStream {
    /// Polls whether it may read further.
    ///
    /// Errors: others need what the link takes.
    fn poll_permission(&self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let place = self.place.as_ref();
        if place.is_some_and(|place| place.connection().eviction().poll_requested(context).is_ready()) {
            let reason = "another link needs its place";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::ConnectionAborted, reason)));
        }
        match &self.room {
            Some(room) => room.poll_room(context),
            None => Poll::Ready(Ok(())),
        }
    }

    fn record_read(&self, bytes: usize) {
        self.progress.read_at.set(Instant::now());
        if let Some(room) = &self.room {
            room.record_read(bytes);
        }
        if let Some(place) = &self.place {
            place.connection().record_heard();
        }
    }
}

impl AsyncRead for TrackedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        ready!(self.poll_permission(context))?;
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        let read_bytes = buffer.filled().len() - before;
        if read_bytes > 0 {
            self.record_read(read_bytes);
        }
        polled
    }
}

impl AsyncWrite for TrackedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(context, bytes);
        if matches!(polled, Poll::Ready(Ok(written)) if written > 0) {
            self.progress.written_at.set(Instant::now());
        }
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

/// A link to another node.
pub struct PeerLink {
    frames: Framed<TrackedStream, MessageCodec>,
    progress: Rc<Progress>,
    silence_limit: Duration,
}

impl PeerLink {
    /// Creates a link over a connection that this node opened. The link counts as dead if no byte passes
    /// for `silence_limit` while one side expects some.
    pub fn new(stream: TcpStream, silence_limit: Duration) -> io::Result<Self> {
        Self::with_room(stream, silence_limit, None)
    }

    /// Creates a link over a connection that a peer opened, whose large messages hold memory of an account
    /// while they arrive.
    pub(crate) fn accepted(stream: TcpStream, silence_limit: Duration, memory: Memory) -> io::Result<Self> {
        Self::with_room(stream, silence_limit, Some(MessageRoom::new(memory)))
    }

    fn with_room(
        stream: TcpStream,
        silence_limit: Duration,
        room: Option<Rc<MessageRoom>>,
    ) -> io::Result<Self> {
        configure_socket(&stream, Some(silence_limit))?;
        let progress = Progress::new();
        let tracked = TrackedStream {
            stream,
            progress: progress.clone(),
            room: room.clone(),
            place: None,
        };
        Ok(PeerLink {
            frames: Framed::new(tracked, MessageCodec::new(room)),
            progress,
            silence_limit,
        })
    }

    /// Gives the link a place among those that peers opened, until it ends. It fails when another link
    /// needs the place.
    pub(crate) fn take_place(&mut self, place: ConnectionPlace) {
        place.connection().record_heard();
        self.frames.get_mut().place = Some(place);
    }

    /// Connects to the node at an address.
    pub async fn connect(address: SocketAddr, silence_limit: Duration) -> io::Result<Self> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
        Self::new(stream, silence_limit)
    }

    /// Returns the connection of the link, and bytes that followed the last message.
    pub fn into_stream(self) -> (TcpStream, BytesMut) {
        let parts = self.frames.into_parts();
        (parts.io.stream, parts.read_buf)
    }

    /// Returns the link with another silence limit, for peers with a different heartbeat
    /// interval.
    pub fn with_silence_limit(self, silence_limit: Duration) -> Self {
        PeerLink {
            silence_limit,
            ..self
        }
    }

    /// Returns the next message, or `None` at the end. Waits without a limit, for peers that
    /// send no heartbeats.
    pub async fn next(&mut self) -> io::Result<Option<BytesMut>> {
        self.frames.next().await.transpose()
    }

    /// Returns the next message of a peer that sends heartbeats, or `None` at the end.
    ///
    /// Errors: `TimedOut` if no byte arrives for the silence limit.
    pub async fn next_or_timeout(&mut self) -> io::Result<Option<BytesMut>> {
        let progress = self.progress.clone();
        tokio::select! {
            // Reads first: bytes that arrived while this process was suspended are not silence.
            biased;
            message = self.frames.next() => message.transpose(),
            () = wait_for_silence(&progress.read_at, self.silence_limit) => Err(io::ErrorKind::TimedOut.into()),
        }
    }

    /// Sends a message.
    ///
    /// Errors: `TimedOut` if no byte of it can be written for the silence limit.
    pub async fn send(&mut self, message: Bytes) -> io::Result<()> {
        let progress = self.progress.clone();
        progress.written_at.set(Instant::now());
        tokio::select! {
            biased;
            sent = self.frames.send(message) => sent,
            () = wait_for_silence(&progress.written_at, self.silence_limit) => Err(io::ErrorKind::TimedOut.into()),
        }
    }
}

/// Waits until `last` is at least `limit` ago.
async fn wait_for_silence(last: &Cell<Instant>, limit: Duration) {
    loop {
        let until = last.get() + limit;
        if Instant::now() >= until {
            return;
        }
        sleep_until(until).await;
    }
}
