//! Bodies of answers: complete ones, and event streams that are forwarded as they arrive.
//!
//! A dedicated task forwards each stream. When the reader closes its end, the task ends and
//! closes the connection to the replica.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use tokio::sync::{mpsc, Notify};

use crate::eviction::Eviction;
use crate::memory::HeldMemory;

/// Maximum number of chunks that wait for a slow reader.
const MAX_BUFFERED_CHUNKS: usize = 8;
/// Bytes that wait for a slow reader, above which no further chunk is taken.
const MAX_BUFFERED_BYTES: usize = 32 * 1024;
/// Size of the parts in which a held answer leaves, each a copy, so that the last part does not keep the
/// others.
const PART_BYTES: usize = 64 * 1024;

/// A chunk of a stream.
#[derive(Debug)]
pub enum StreamChunk {
    /// Data of the stream.
    Bytes(Bytes),
    /// The end of a complete stream.
    End,
}

impl StreamChunk {
    pub(crate) fn size_bytes(&self) -> usize {
        match self {
            StreamChunk::Bytes(bytes) => bytes.len(),
            StreamChunk::End => 0,
        }
    }
}

type SentChunk = Result<StreamChunk, io::Error>;

/// The reader of a stream has gone.
#[derive(Debug, thiserror::Error)]
#[error("the reader of the stream has gone")]
pub struct ReaderGone;

/// Bytes of a stream that wait for its reader.
#[derive(Debug, Default)]
struct WaitingBytes {
    bytes: Cell<usize>,
    /// Notified when the reader takes some.
    taken: Notify,
}

impl WaitingBytes {
    fn take(&self, bytes: usize) {
        self.bytes.set(self.bytes.get().saturating_sub(bytes));
        self.taken.notify_one();
    }
}

/// The sending end of a stream.
#[derive(Debug)]
pub struct StreamSender {
    chunks: mpsc::Sender<SentChunk>,
    waiting: Rc<WaitingBytes>,
}

impl StreamSender {
    /// Sends a chunk, once the reader has taken most of the earlier ones. An error aborts the connection.
    ///
    /// Errors: the reader has gone.
    pub async fn send(&self, chunk: SentChunk) -> Result<(), ReaderGone> {
        let size_bytes = chunk.as_ref().map_or(0, StreamChunk::size_bytes);
        while self.has_waiting() && self.waiting.bytes.get() + size_bytes > MAX_BUFFERED_BYTES {
            tokio::select! {
                () = self.waiting.taken.notified() => {}
                () = self.chunks.closed() => return Err(ReaderGone),
            }
        }
        self.waiting.bytes.set(self.waiting.bytes.get() + size_bytes);
        self.chunks.send(chunk).await.map_err(|_| ReaderGone)
    }

    /// Returns whether the reader has not taken all that was sent.
    pub fn has_waiting(&self) -> bool {
        self.waiting.bytes.get() > 0
    }

    /// Waits until the reader has gone.
    pub async fn closed(&self) {
        self.chunks.closed().await;
    }
}

/// The receiving end of a stream.
pub struct StreamReceiver {
    chunks: mpsc::Receiver<SentChunk>,
    waiting: Rc<WaitingBytes>,
    /// Tells that others need the memory of what the caller does not read.
    eviction: Option<Rc<Eviction>>,
}

/// A complete body, with the memory that it holds.
pub struct HeldAnswerBody {
    bytes: Bytes,
    held: HeldMemory,
}

/// The body of an answer to a caller.
pub enum AnswerBody {
    /// A complete body.
    Full(Option<Bytes>),
    /// A large complete body.
    Held(HeldAnswerBody),
    /// A stream of chunks. If the sender is dropped before it sends [`StreamChunk::End`], the
    /// connection is aborted, so that a truncated stream does not look complete.
    Stream(StreamReceiver),
}

impl AnswerBody {
    /// Returns a complete body.
    pub fn full(bytes: impl Into<Bytes>) -> Self {
        AnswerBody::Full(Some(bytes.into()))
    }

    /// Returns a complete body that may hold memory of the node's account until it has left.
    pub(crate) fn held(bytes: Bytes, held: Option<HeldMemory>) -> Self {
        match held {
            Some(held) => AnswerBody::Held(HeldAnswerBody { bytes, held }),
            None => AnswerBody::full(bytes),
        }
    }

    /// Returns a stream and its sending end.
    pub fn stream() -> (StreamSender, Self) {
        Self::stream_with(None)
    }

    /// Returns a stream that ends when `eviction` asks for it.
    pub(crate) fn evictable_stream(eviction: Rc<Eviction>) -> (StreamSender, Self) {
        Self::stream_with(Some(eviction))
    }

    fn stream_with(eviction: Option<Rc<Eviction>>) -> (StreamSender, Self) {
        let (sender, receiver) = mpsc::channel(MAX_BUFFERED_CHUNKS);
        let waiting = Rc::<WaitingBytes>::default();
        let sender = StreamSender {
            chunks: sender,
            waiting: waiting.clone(),
        };
        let receiver = StreamReceiver {
            chunks: receiver,
            waiting,
            eviction,
        };
        (sender, AnswerBody::Stream(receiver))
    }

    /// Returns what tells that others need the memory of what the caller does not read.
    pub(crate) fn eviction(&self) -> Option<Rc<Eviction>> {
        match self {
            AnswerBody::Full(_) => None,
            AnswerBody::Held(body) => Some(body.held.eviction().clone()),
            AnswerBody::Stream(stream) => stream.eviction.clone(),
        }
    }
}

impl HeldAnswerBody {
    fn next_part(&mut self) -> Option<Bytes> {
        let size_bytes = self.bytes.len().min(PART_BYTES);
        if size_bytes == 0 {
            return None;
        }
        self.held.record_moved(size_bytes);
        Some(Bytes::copy_from_slice(&self.bytes.split_to(size_bytes)))
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match self.get_mut() {
            AnswerBody::Full(bytes) => {
                let bytes = bytes.take().filter(|bytes| !bytes.is_empty());
                Poll::Ready(bytes.map(|bytes| Ok(Frame::data(bytes))))
            }
            AnswerBody::Held(body) => Poll::Ready(body.next_part().map(|part| Ok(Frame::data(part)))),
            AnswerBody::Stream(stream) => stream.chunks.poll_recv(context).map(|received| match received {
                Some(Ok(StreamChunk::Bytes(bytes))) => {
                    stream.waiting.take(bytes.len());
                    Some(Ok(Frame::data(bytes)))
                }
                Some(Ok(StreamChunk::End)) => None,
                Some(Err(error)) => Some(Err(error)),
                None => Some(Err(io::ErrorKind::ConnectionAborted.into())),
            }),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            AnswerBody::Full(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            AnswerBody::Held(body) => body.bytes.is_empty(),
            AnswerBody::Stream(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            AnswerBody::Full(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            AnswerBody::Held(body) => SizeHint::with_exact(body.bytes.len() as u64),
            AnswerBody::Stream(_) => SizeHint::default(),
        }
    }
}
