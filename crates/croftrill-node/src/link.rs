//! A link between two nodes that tells silence from slowness.
//!
//! Bytes count, not messages: over a narrow link a large message takes longer
//! than any silence that is borne. A connection can go silent in one direction
//! or in both without a reset, so both reads and writes have a limit.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures::{SinkExt, StreamExt};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{sleep_until, timeout, Instant};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::connection::tune;

/// Largest message between nodes, in bytes.
const MOST_MESSAGE_BYTES: usize = 1024 * 1024;
/// Longest time for a link to come up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// When bytes last passed, each way.
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

/// A stream that notes when bytes pass.
struct NotedStream {
    stream: TcpStream,
    progress: Rc<Progress>,
}

impl AsyncRead for NotedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        if buffer.filled().len() > before {
            self.progress.read_at.set(Instant::now());
        }
        polled
    }
}

impl AsyncWrite for NotedStream {
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
    frames: Framed<NotedStream, LengthDelimitedCodec>,
    progress: Rc<Progress>,
    silence_limit: Duration,
}

impl PeerLink {
    /// A link over an open connection, which counts as dead once no byte passed
    /// for `silence_limit` where some should.
    pub fn new(stream: TcpStream, silence_limit: Duration) -> io::Result<Self> {
        tune(&stream, Some(silence_limit))?;
        let progress = Progress::new();
        let codec = LengthDelimitedCodec::builder()
            .max_frame_length(MOST_MESSAGE_BYTES)
            .new_codec();
        let noted = NotedStream {
            stream,
            progress: progress.clone(),
        };
        Ok(PeerLink {
            frames: Framed::new(noted, codec),
            progress,
            silence_limit,
        })
    }

    /// A link to the node at an address.
    pub async fn connect(address: SocketAddr, silence_limit: Duration) -> io::Result<Self> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
        Self::new(stream, silence_limit)
    }

    /// The link with another limit on silence: for sides that agreed on rarer signs of
    /// life.
    pub fn with_silence_limit(self, silence_limit: Duration) -> Self {
        PeerLink {
            silence_limit,
            ..self
        }
    }

    /// The next message; `None` at the end. It waits as long as it takes: for a
    /// side that hears nothing regular from the other one.
    pub async fn next(&mut self) -> io::Result<Option<BytesMut>> {
        self.frames.next().await.transpose()
    }

    /// The next message, from a side that sends signs of life; `None` at the end.
    ///
    /// Errors: `TimedOut` once no byte came for the silence limit.
    pub async fn hear(&mut self) -> io::Result<Option<BytesMut>> {
        let progress = self.progress.clone();
        tokio::select! {
            // What lay unread while this process stood still was not silence.
            biased;
            message = self.frames.next() => message.transpose(),
            () = silent(&progress.read_at, self.silence_limit) => Err(io::ErrorKind::TimedOut.into()),
        }
    }

    /// Sends a message.
    ///
    /// Errors: `TimedOut` once no byte of it could be written for the silence limit.
    pub async fn send(&mut self, message: Bytes) -> io::Result<()> {
        let progress = self.progress.clone();
        progress.written_at.set(Instant::now());
        tokio::select! {
            biased;
            sent = self.frames.send(message) => sent,
            () = silent(&progress.written_at, self.silence_limit) => Err(io::ErrorKind::TimedOut.into()),
        }
    }
}

/// Ends once `last` has lain back for `limit`.
async fn silent(last: &Cell<Instant>, limit: Duration) {
    loop {
        let until = last.get() + limit;
        if Instant::now() >= until {
            return;
        }
        sleep_until(until).await;
    }
}
