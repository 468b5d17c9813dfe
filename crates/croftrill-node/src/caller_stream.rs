//! A caller's connection, whose end tells a whole answer from one that was cut off.
//!
//! An answer with a length or chunks is cut off by closing the connection before their end. An
//! answer without them, as callers of HTTP/1.0 get it, ends with its connection, so only a reset tells
//! that it was cut off. Its connection resets from the first byte on until the answer is whole, so that
//! the end of this process cuts it off, too.

use std::cell::{Cell, RefCell};
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use bytes::Bytes;
use croftrill_scheduler::connection_slots::ConnectionPhase;
use http::Version;
use http_body::{Body, Frame, SizeHint};
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::eviction::Eviction;
use crate::port_connections::PortConnection;
use crate::stream::AnswerBody;

/// The socket of a connection, which the connection reads and writes, and its task watches.
pub(crate) type SharedStream = Rc<RefCell<TcpStream>>;

/// What a connection and the body of its current answer know of each other.
pub(crate) struct CallerLink {
    connection: Rc<PortConnection>,
    /// Whether the current answer has left the body, so that it is over once it is written.
    is_body_over: Cell<bool>,
    /// Whether the connection waits for bytes of its caller.
    waits_for_bytes: Cell<bool>,
    /// Whether the next read may take the rest of a body whose request was answered without it.
    drains_body: Cell<bool>,
    /// Whether the current request is the last one of the connection.
    has_ended_requests: Cell<bool>,
    /// Tells that others need the memory of the current answer.
    answer_eviction: RefCell<Option<Rc<Eviction>>>,
    /// Whether the answer ends with its connection and is not whole yet.
    is_open_ended: Cell<bool>,
    /// Present while the body waits until all written bytes were passed to the socket.
    waits_for_flush: RefCell<Option<Waker>>,
}

impl CallerLink {
    pub(crate) fn new(connection: Rc<PortConnection>) -> Self {
        CallerLink {
            connection,
            is_body_over: Cell::new(false),
            waits_for_bytes: Cell::new(false),
            drains_body: Cell::new(false),
            has_ended_requests: Cell::new(false),
            answer_eviction: RefCell::default(),
            is_open_ended: Cell::new(false),
            waits_for_flush: RefCell::default(),
        }
    }

    /// Returns the connection.
    pub(crate) fn connection(&self) -> &PortConnection {
        &self.connection
    }

    /// Records that the header block of a request has arrived.
    pub(crate) fn record_request(&self, has_body: bool) {
        self.is_body_over.set(false);
        self.connection.set_phase(if has_body {
            ConnectionPhase::Body
        } else {
            ConnectionPhase::Running
        });
    }

    fn record_read(&self) {
        if !self.drains_body.take() {
            self.connection.record_read();
        }
    }

    /// Records that the answer to the current request begins.
    fn record_answer(&self, eviction: Option<Rc<Eviction>>) {
        let is_body_unread = self.connection.phase() == ConnectionPhase::Body;
        self.drains_body.set(is_body_unread);
        self.answer_eviction.replace(eviction);
        self.connection.set_phase(ConnectionPhase::Running);
    }

    fn record_flushed(&self) {
        if let Some(waker) = self.waits_for_flush.take() {
            waker.wake();
        }
        if self.is_body_over.take() {
            self.connection.set_phase(ConnectionPhase::Idle);
        }
    }

    /// Makes the current request the last one of the connection, which reads nothing more.
    pub(crate) fn end_requests(&self) {
        self.has_ended_requests.set(true);
    }

    /// Returns whether the connection reads no further for now, so that it does not see that its caller
    /// closes it.
    pub(crate) fn has_stopped_reading(&self) -> bool {
        !self.waits_for_bytes.get()
    }

    /// Polls whether the connection has to close, for another one or as others need the memory of its
    /// answer.
    pub(crate) fn poll_evicted(&self, context: &mut Context<'_>) -> Poll<()> {
        let answer = self.answer_eviction.borrow();
        let answer = answer.as_ref().map(|eviction| eviction.poll_requested(context));
        if matches!(answer, Some(Poll::Ready(()))) {
            return Poll::Ready(());
        }
        self.connection.eviction().poll_requested(context)
    }
}

/// The caller's end of a connection.
pub(crate) struct CallerStream {
    stream: SharedStream,
    link: Rc<CallerLink>,
    /// Whether closing the socket resets the connection.
    resets_on_close: bool,
}

impl CallerStream {
    pub(crate) fn new(stream: SharedStream, link: Rc<CallerLink>) -> Self {
        CallerStream {
            stream,
            link,
            resets_on_close: false,
        }
    }

    /// Sets whether a close of the socket resets the connection, as the current answer needs it.
    fn update_close(&mut self) -> io::Result<()> {
        let resets_on_close = self.link.is_open_ended.get();
        if self.resets_on_close != resets_on_close {
            let linger = resets_on_close.then_some(Duration::ZERO);
            SockRef::from(&*self.stream.borrow()).set_linger(linger)?;
            self.resets_on_close = resets_on_close;
        }
        Ok(())
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.link.has_ended_requests.get() {
            return Poll::Ready(Ok(()));
        }
        let before = buffer.filled().len();
        let polled = Pin::new(&mut *self.stream.borrow_mut()).poll_read(context, buffer);
        self.link.waits_for_bytes.set(polled.is_pending());
        if buffer.filled().len() > before {
            self.link.record_read();
        }
        polled
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.update_close()?;
        Pin::new(&mut *self.stream.borrow_mut()).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.update_close()?;
        Pin::new(&mut *self.stream.borrow_mut()).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.borrow().is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.link.record_flushed();
        Pin::new(&mut *self.stream.borrow_mut()).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.link.is_open_ended.get() {
            // A close would look like the end of a whole answer.
            return Poll::Ready(Ok(()));
        }
        self.update_close()?;
        Pin::new(&mut *self.stream.borrow_mut()).poll_shutdown(context)
    }
}

/// The body of an answer to a caller.
pub(crate) struct CallerBody {
    body: AnswerBody,
    link: Rc<CallerLink>,
    /// Why the answer was cut off, until what was written before has left.
    error: Option<io::Error>,
}

impl CallerBody {
    /// Returns the body of an answer to a request of this version.
    pub(crate) fn new(body: AnswerBody, version: Version, link: Rc<CallerLink>) -> Self {
        let is_open_ended = version == Version::HTTP_10 && matches!(body, AnswerBody::Stream(_));
        link.is_open_ended.set(is_open_ended);
        link.record_answer(body.eviction());
        CallerBody {
            body,
            link,
            error: None,
        }
    }
}

impl Drop for CallerBody {
    fn drop(&mut self) {
        self.link.answer_eviction.replace(None);
        self.link.is_body_over.set(true);
    }
}

impl Body for CallerBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if let Some(error) = self.error.take() {
            if self.link.waits_for_flush.borrow().is_none() {
                return Poll::Ready(Some(Err(error)));
            }
            self.error = Some(error);
            return Poll::Pending;
        }
        match Pin::new(&mut self.body).poll_frame(context) {
            Poll::Ready(Some(Err(error))) => {
                // The connection drops what it has not written yet when the body fails.
                self.error = Some(error);
                self.link.waits_for_flush.replace(Some(context.waker().clone()));
                Poll::Pending
            }
            Poll::Ready(None) => {
                self.link.is_open_ended.set(false);
                Poll::Ready(None)
            }
            other => other,
        }
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
