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
use http::Version;
use http_body::{Body, Frame, SizeHint};
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::stream::AnswerBody;

/// What a connection and the body of its current answer know of each other.
#[derive(Default)]
pub(crate) struct CallerLink {
    /// Whether the answer ends with its connection and is not whole yet.
    is_open_ended: Cell<bool>,
    /// Present while the body waits until all written bytes were passed to the socket.
    waits_for_flush: RefCell<Option<Waker>>,
}

impl CallerLink {
    fn record_flushed(&self) {
        if let Some(waker) = self.waits_for_flush.take() {
            waker.wake();
        }
    }
}

/// The caller's end of a connection.
pub(crate) struct CallerStream {
    stream: TcpStream,
    link: Rc<CallerLink>,
    /// Whether closing the socket resets the connection.
    resets_on_close: bool,
}

impl CallerStream {
    pub(crate) fn new(stream: TcpStream, link: Rc<CallerLink>) -> Self {
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
            SockRef::from(&self.stream).set_linger(linger)?;
            self.resets_on_close = resets_on_close;
        }
        Ok(())
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.update_close()?;
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.update_close()?;
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.link.record_flushed();
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.link.is_open_ended.get() {
            // A close would look like the end of a whole answer.
            return Poll::Ready(Ok(()));
        }
        self.update_close()?;
        Pin::new(&mut self.stream).poll_shutdown(context)
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
        CallerBody {
            body,
            link,
            error: None,
        }
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
