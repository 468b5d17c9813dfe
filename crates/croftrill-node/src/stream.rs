//! Bodies of answers: complete ones, and event streams that are forwarded as they arrive.
//!
//! A dedicated task forwards each stream. When the reader closes its end, the task ends and
//! closes the connection to the replica.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

/// Maximum number of chunks that wait for a slow reader.
const MAX_BUFFERED_CHUNKS: usize = 8;

/// A chunk of a stream.
#[derive(Debug)]
pub enum StreamChunk {
    /// Data of the stream.
    Bytes(Bytes),
    /// The end of a complete stream.
    End,
}

/// The sending end of a stream. An error aborts the connection.
pub type StreamSender = mpsc::Sender<Result<StreamChunk, io::Error>>;

/// The body of an answer to a caller.
pub enum AnswerBody {
    /// A complete body.
    Full(Option<Bytes>),
    /// A stream of chunks. If the sender is dropped before it sends [`StreamChunk::End`], the
    /// connection is aborted, so that a truncated stream does not look complete.
    Stream(mpsc::Receiver<Result<StreamChunk, io::Error>>),
}

impl AnswerBody {
    /// Returns a complete body.
    pub fn full(bytes: impl Into<Bytes>) -> Self {
        AnswerBody::Full(Some(bytes.into()))
    }

    /// Returns a stream and its sending end.
    pub fn stream() -> (StreamSender, Self) {
        let (sender, receiver) = mpsc::channel(MAX_BUFFERED_CHUNKS);
        (sender, AnswerBody::Stream(receiver))
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
            AnswerBody::Stream(receiver) => receiver.poll_recv(context).map(|received| match received {
                Some(Ok(StreamChunk::Bytes(bytes))) => Some(Ok(Frame::data(bytes))),
                Some(Ok(StreamChunk::End)) => None,
                Some(Err(error)) => Some(Err(error)),
                None => Some(Err(io::ErrorKind::ConnectionAborted.into())),
            }),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, AnswerBody::Full(bytes) if bytes.as_ref().is_none_or(Bytes::is_empty))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            AnswerBody::Full(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            AnswerBody::Stream(_) => SizeHint::default(),
        }
    }
}
