//! Answers that end with their connection, or that are broken off after any byte.

use std::cell::RefCell;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use croftrill_node::events::EventScanner;
use croftrill_node::stream::AnswerBody;
use http::{Response, Version};
use http_body::{Body, Frame, SizeHint};

/// Bytes up to which answers break off: some events.
const MAX_SENT_BYTES: u64 = 1200;

/// How many answers are without a length, and how many break off.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AnswerFaults {
    /// Answers without a length or chunks, in percent.
    pub unframed_pct: u64,
    /// Answers that break off after at most some bytes, in percent.
    pub broken_pct: u64,
}

impl AnswerFaults {
    /// Draws the end of an answer. Equal names have equal ends.
    pub fn draw(self, name: &str) -> AnswerEnd {
        let number = |what: &str, limit: u64| {
            let mut hasher = DefaultHasher::new();
            (name, what).hash(&mut hasher);
            hasher.finish() % limit
        };
        let breaks = number("breaks", 100) < self.broken_pct;
        AnswerEnd {
            is_unframed: number("framing", 100) < self.unframed_pct,
            sent_bytes: breaks.then(|| number("bytes", MAX_SENT_BYTES) as usize),
            is_reset: number("end", 2) == 0,
        }
    }
}

/// How an answer is framed and ends.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AnswerEnd {
    /// Whether it has neither a length nor chunks, and ends with its connection.
    pub is_unframed: bool,
    /// Bytes of the body after which it breaks off.
    pub sent_bytes: Option<usize>,
    /// Whether the connection is then reset rather than closed.
    pub is_reset: bool,
}

/// Names of answers that were closed after a whole event, though not whole, where neither a length
/// nor chunks tell it.
pub type ClosedBetweenEvents = Rc<RefCell<Vec<String>>>;

/// The body of an answer that may break off.
pub struct BreakingBody {
    body: AnswerBody,
    end: AnswerEnd,
    left: Option<usize>,
    has_flushed: bool,
    events: EventScanner,
    name: String,
    closed_between_events: ClosedBetweenEvents,
    /// Set when the connection is to be reset.
    reset: Arc<AtomicBool>,
}

impl BreakingBody {
    /// Gives an answer this end.
    pub fn wrap(
        answer: Response<AnswerBody>,
        end: AnswerEnd,
        name: String,
        closed_between_events: ClosedBetweenEvents,
        reset: Arc<AtomicBool>,
    ) -> Response<Self> {
        let mut answer = answer.map(|body| BreakingBody {
            body,
            end,
            left: end.sent_bytes,
            has_flushed: false,
            events: EventScanner::default(),
            name,
            closed_between_events,
            reset,
        });
        if end.is_unframed {
            // The server sends no chunks in this version.
            *answer.version_mut() = Version::HTTP_10;
        }
        answer
    }

    fn break_off(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if !std::mem::replace(&mut self.has_flushed, true) {
            // What was sent so far leaves before the connection ends.
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        self.reset.store(self.end.is_reset, Ordering::Relaxed);
        let is_unknowable = self.end.is_unframed && !self.end.is_reset && self.events.partial_bytes() == 0;
        if is_unknowable {
            self.closed_between_events.borrow_mut().push(self.name.clone());
        }
        Poll::Ready(Some(Err(io::ErrorKind::ConnectionAborted.into())))
    }
}

impl Body for BreakingBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if self.left == Some(0) {
            return self.break_off(context);
        }
        let polled = Pin::new(&mut self.body).poll_frame(context);
        let Poll::Ready(Some(Ok(frame))) = polled else {
            return polled;
        };
        let Ok(mut bytes) = frame.into_data() else {
            return Poll::Ready(None);
        };
        if let Some(left) = &mut self.left {
            bytes.truncate(*left);
            *left -= bytes.len();
        }
        self.events.push(&bytes);
        Poll::Ready(Some(Ok(Frame::data(bytes))))
    }

    fn is_end_stream(&self) -> bool {
        self.left != Some(0) && self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        if self.end.is_unframed {
            return SizeHint::default();
        }
        self.body.size_hint()
    }
}
