//! Bodies of answers as they arrive: how each is framed, and how it ended.
//!
//! The end of the bytes is not the end of the answer. A body without a length or chunks ends
//! with its connection, also if its sender broke off; and a sender that breaks off may frame what
//! it has as whole. All readers of answers learn from here what is known of the end.

use bytes::{Bytes, BytesMut};
use http::{header, response, HeaderMap, Method, Response, StatusCode};
use http_body::Body;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::de::IgnoredAny;

use crate::answer_budget::{AnswerBudget, HeldAnswer};
use crate::events::EventScanner;

/// What tells where a body ends. Source: RFC 9112, section 6.3.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// The answer has no body.
    NoBody,
    /// `Content-Length`.
    Length,
    /// The last chunk.
    Chunks,
    /// Nothing but the end of the connection.
    Connection,
}

impl Framing {
    fn of(method: &Method, head: &response::Parts) -> Self {
        let has_no_body = *method == Method::HEAD
            || matches!(head.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
        if has_no_body {
            Framing::NoBody
        } else if is_chunked(&head.headers) {
            Framing::Chunks
        } else if head.headers.contains_key(header::TRANSFER_ENCODING) {
            Framing::Connection
        } else if head.headers.contains_key(header::CONTENT_LENGTH) {
            Framing::Length
        } else {
            Framing::Connection
        }
    }

    /// Returns the name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Framing::NoBody => "no body",
            Framing::Length => "length",
            Framing::Chunks => "chunks",
            Framing::Connection => "connection",
        }
    }
}

/// Returns whether `chunked` is the last transfer coding.
fn is_chunked(headers: &HeaderMap) -> bool {
    let last = headers.get_all(header::TRANSFER_ENCODING).iter().next_back();
    last.and_then(|value| value.to_str().ok())
        .and_then(|value| value.rsplit(',').next())
        .is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked"))
}

/// Maximum number of bytes of a stream in which no event ends. An event holds some tokens; a comment
/// keeps a connection open.
const MAX_BYTES_WITHOUT_EVENT: u64 = 1024 * 1024;

/// What a body holds, as far as that tells whether it is whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Content {
    /// Anything: only the framing tells.
    Bytes,
    /// A JSON document.
    Document {
        /// Whether there may be no body, as the status says all.
        may_be_empty: bool,
    },
    /// Events.
    Events {
        /// Whether there may be no event, as the stream goes on after the last one.
        may_be_empty: bool,
        /// Whether the type of the answer says that it holds events. If not, one whose length or last
        /// chunk arrived, and in which nothing looks like an event, is whole.
        is_declared: bool,
    },
}

impl Content {
    /// Returns the content that the headers tell. Without a type, it is `otherwise`.
    pub fn of(headers: &HeaderMap, otherwise: Content) -> Self {
        let Some(value) = headers.get(header::CONTENT_TYPE) else {
            return otherwise;
        };
        let kind = value.to_str().ok().and_then(|value| value.split(';').next());
        match kind.map(|kind| kind.trim().to_ascii_lowercase()).as_deref() {
            Some("text/event-stream") => Content::Events {
                may_be_empty: true,
                is_declared: true,
            },
            Some("application/json") => Content::Document { may_be_empty: false },
            _ => Content::Bytes,
        }
    }
}

/// How a body ended.
#[derive(Debug)]
pub enum BodyEnd {
    /// Whole, as its length or its last chunk says.
    Whole,
    /// With its connection, which was closed at a place where the body may end. Nothing tells
    /// whether the sender had more to send.
    Closed,
    /// Inside an event, so that the sender broke off, however it framed the body.
    InsideEvent {
        /// Bytes after the last complete event.
        partial_bytes: u64,
    },
    /// With its connection, which was closed before a first event.
    BeforeFirstEvent,
    /// With its connection, which was closed inside a document.
    InsideDocument,
    /// Not at all: this node gave up, as more came than a body, or a part of a stream without an event,
    /// may hold.
    TooLong,
    /// With a connection that failed, or was closed before the length or the last chunk.
    Broken(hyper::Error),
}

impl BodyEnd {
    /// Returns whether the sender or the connection broke off before the body was whole.
    pub fn is_cut_off(&self) -> bool {
        match self {
            BodyEnd::Whole | BodyEnd::Closed => false,
            BodyEnd::InsideEvent { .. }
            | BodyEnd::BeforeFirstEvent
            | BodyEnd::InsideDocument
            | BodyEnd::TooLong
            | BodyEnd::Broken(_) => true,
        }
    }

    /// Returns the name in logs and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            BodyEnd::Whole => "whole",
            BodyEnd::Closed => "closed",
            BodyEnd::InsideEvent { .. } => "inside an event",
            BodyEnd::BeforeFirstEvent => "before the first event",
            BodyEnd::InsideDocument => "inside a document",
            BodyEnd::TooLong => "too long",
            BodyEnd::Broken(_) => "broken",
        }
    }
}

/// What arrives of a body.
#[derive(Debug)]
pub enum BodyPart {
    /// Further bytes.
    Bytes(Bytes),
    /// The end, after which nothing follows.
    End(BodyEnd),
}

/// What arrived of a body that was read to its end.
pub(crate) struct ReadAnswer {
    pub(crate) body: Bytes,
    pub(crate) end: BodyEnd,
    /// The memory that the body holds.
    pub(crate) held: HeldAnswer,
}

impl ReadAnswer {
    fn new(received: BytesMut, end: BodyEnd, held: HeldAnswer) -> Self {
        ReadAnswer {
            body: received.freeze(),
            end,
            held,
        }
    }
}

/// Reads the body of an answer.
#[derive(Debug)]
pub struct AnswerReader<B = Incoming> {
    body: B,
    framing: Framing,
    content: Content,
    events: EventScanner,
}

impl AnswerReader {
    /// Returns an answer to a request of this method with a reader of its body.
    pub fn wrap(method: &Method, answer: Response<Incoming>) -> Response<Self> {
        let (head, body) = answer.into_parts();
        let reader = AnswerReader {
            body,
            framing: Framing::of(method, &head),
            content: Content::of(&head.headers, Content::Bytes),
            events: EventScanner::default(),
        };
        Response::from_parts(head, reader)
    }
}

impl<B: Body<Data = Bytes, Error = hyper::Error> + Unpin> AnswerReader<B> {
    /// Sets what the body holds.
    pub fn set_content(&mut self, content: Content) {
        self.content = content;
    }

    /// Returns whether the body holds events.
    pub fn holds_events(&self) -> bool {
        matches!(self.content, Content::Events { .. })
    }

    /// Returns how the body is framed.
    pub fn framing(&self) -> Framing {
        self.framing
    }

    /// Returns the number of bytes that are still to come, if the framing tells it.
    pub fn remaining_bytes(&self) -> Option<u64> {
        self.body.size_hint().exact()
    }

    /// Returns the number of bytes that arrived after the last complete event.
    pub fn partial_bytes(&self) -> u64 {
        self.events.partial_bytes()
    }

    /// Waits for the next part of the body.
    pub async fn next(&mut self) -> BodyPart {
        loop {
            match self.body.frame().await {
                None => return BodyPart::End(self.judge_end()),
                Some(Err(error)) => return BodyPart::End(BodyEnd::Broken(error)),
                Some(Ok(frame)) => {
                    // No caller needs trailers.
                    let Ok(bytes) = frame.into_data() else { continue };
                    if matches!(self.content, Content::Events { .. }) {
                        self.events.push(&bytes);
                        if self.events.bytes_since_event() > MAX_BYTES_WITHOUT_EVENT {
                            return BodyPart::End(BodyEnd::TooLong);
                        }
                    }
                    return BodyPart::Bytes(bytes);
                }
            }
        }
    }

    /// Reads the remaining body, for as long as `budget` admits what arrives. A large one is given up if
    /// `is_late` then. Returns what arrived of it, and how it ended.
    pub(crate) async fn read_to_end(
        &mut self,
        budget: &AnswerBudget,
        is_late: impl Fn() -> bool,
    ) -> ReadAnswer {
        let announced = self.body.size_hint();
        let mut held = budget.hold(announced.exact());
        let mut received = BytesMut::new();
        if announced.lower() > budget.max_answer_bytes() {
            return ReadAnswer::new(received, BodyEnd::TooLong, held);
        }
        loop {
            match self.next().await {
                BodyPart::Bytes(bytes) => {
                    let is_admitted = held.admit(bytes.len() as u64).await;
                    if !is_admitted || held.is_large() && is_late() {
                        return ReadAnswer::new(received, BodyEnd::TooLong, held);
                    }
                    received.extend_from_slice(&bytes);
                }
                BodyPart::End(end) => return ReadAnswer::new(received, end, held),
            }
        }
    }

    /// Returns how the body ended after its last byte, if its connection did not fail.
    fn judge_end(&self) -> BodyEnd {
        let partial_bytes = self.events.partial_bytes();
        if partial_bytes > 0 && self.must_hold_events() {
            return BodyEnd::InsideEvent { partial_bytes };
        }
        match self.framing {
            Framing::NoBody | Framing::Length | Framing::Chunks => BodyEnd::Whole,
            Framing::Connection if self.lacks_first_event() => BodyEnd::BeforeFirstEvent,
            Framing::Connection => BodyEnd::Closed,
        }
    }

    fn must_hold_events(&self) -> bool {
        let is_declared = matches!(
            self.content,
            Content::Events {
                is_declared: true,
                ..
            }
        );
        is_declared || self.framing == Framing::Connection || self.events.has_field()
    }

    fn lacks_first_event(&self) -> bool {
        let must_have_one = matches!(
            self.content,
            Content::Events {
                may_be_empty: false,
                ..
            }
        );
        must_have_one && self.events.events() == 0
    }

    /// Returns how a body ended that was read to its end, given all that arrived of it: one that was
    /// closed inside a document is cut off. `end` is what its framing tells.
    pub fn judge_document(&self, received: &[u8], end: BodyEnd) -> BodyEnd {
        let Content::Document { may_be_empty } = self.content else {
            return end;
        };
        let is_whole = serde_json::from_slice::<IgnoredAny>(received).is_ok();
        if matches!(end, BodyEnd::Closed) && !is_whole && !(may_be_empty && received.is_empty()) {
            return BodyEnd::InsideDocument;
        }
        end
    }
}
