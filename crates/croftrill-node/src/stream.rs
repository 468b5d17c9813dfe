//! Bodies of answers: whole ones, and event streams passed on as they come.
//!
//! A stream is pumped by a task of its own. When its reader is gone the task
//! ends, and with it the connection to the replica. A stream that may be
//! resumed is cut into whole events, so that it can go on at another replica
//! after the last event that was passed on.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::{Bytes, BytesMut};
use http_body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

/// Frames that may wait for a slow reader.
const FRAMES_AHEAD: usize = 8;

/// A part of a stream.
#[derive(Debug)]
pub enum StreamPart {
    /// Bytes of it.
    Bytes(Bytes),
    /// It ends whole.
    End,
}

/// The end that feeds a stream; an error breaks the connection off.
pub type StreamSender = mpsc::Sender<Result<StreamPart, io::Error>>;

/// The body of an answer to a caller.
pub enum AnswerBody {
    /// Everything at once.
    Whole(Option<Bytes>),
    /// Parts as they come. A feeder that goes without [`StreamPart::End`] breaks
    /// the connection off, so that what it left does not look whole.
    Stream(mpsc::Receiver<Result<StreamPart, io::Error>>),
}

impl AnswerBody {
    /// A whole body.
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        AnswerBody::Whole(Some(bytes.into()))
    }

    /// A stream, and the end that feeds it.
    pub fn stream() -> (StreamSender, Self) {
        let (sender, receiver) = mpsc::channel(FRAMES_AHEAD);
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
            AnswerBody::Whole(bytes) => {
                let bytes = bytes.take().filter(|bytes| !bytes.is_empty());
                Poll::Ready(bytes.map(|bytes| Ok(Frame::data(bytes))))
            }
            AnswerBody::Stream(receiver) => receiver.poll_recv(context).map(|received| match received {
                Some(Ok(StreamPart::Bytes(bytes))) => Some(Ok(Frame::data(bytes))),
                Some(Ok(StreamPart::End)) => None,
                Some(Err(error)) => Some(Err(error)),
                None => Some(Err(io::ErrorKind::ConnectionAborted.into())),
            }),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, AnswerBody::Whole(bytes) if bytes.as_ref().is_none_or(Bytes::is_empty))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            AnswerBody::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            AnswerBody::Stream(_) => SizeHint::default(),
        }
    }
}

/// Cuts a stream into whole events and remembers the id of the last one.
#[derive(Debug, Default)]
pub struct EventCutter {
    partial: BytesMut,
    last_id: Option<String>,
}

/// End of an event.
const EVENT_END: &[u8] = b"\n\n";
/// Start of the line that gives an event's id.
const ID_FIELD: &str = "id:";

impl EventCutter {
    /// A cutter at the start of a stream, or after the event `last_id`.
    pub fn after(last_id: Option<String>) -> Self {
        EventCutter {
            partial: BytesMut::new(),
            last_id,
        }
    }

    /// Takes in bytes; answers the events that are now whole.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        self.partial.extend_from_slice(bytes);
        let end = find_last(&self.partial, EVENT_END)? + EVENT_END.len();
        let whole = self.partial.split_to(end).freeze();
        if let Some(id) = last_event_id(&whole) {
            self.last_id = Some(id);
        }
        Some(whole)
    }

    /// Id of the last whole event.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Forgets a partial event, whose stream broke off.
    pub fn drop_partial(&mut self) {
        self.partial.clear();
    }

    /// What is left after the last whole event.
    pub fn take_rest(&mut self) -> Bytes {
        self.partial.split().freeze()
    }
}

fn find_last(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).rposition(|window| window == pattern)
}

fn last_event_id(events: &[u8]) -> Option<String> {
    let text = std::str::from_utf8(events).ok()?;
    text.lines()
        .rev()
        .find_map(|line| line.strip_prefix(ID_FIELD))
        .map(|id| id.trim().to_string())
}
