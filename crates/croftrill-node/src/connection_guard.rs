//! Decides when a caller's connection is closed although its caller has not closed it.

use std::future::Future;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;

use croftrill_scheduler::connection_slots::ConnectionPhase;
use croftrill_scheduler::time::Moment;
use futures::FutureExt;
use socket2::SockRef;
use tokio::io::{AsyncRead, Interest, ReadBuf};
use tokio::time::{sleep, Sleep};

use crate::caller_stream::{CallerLink, SharedStream};
use crate::front::SOCKET_BUFFER_BYTES;
use crate::port_connections::ConnectionPlace;

/// Interval at which a connection that reads no further is checked for its caller's close.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Bytes behind a running request from which on the caller's close may be held up by them: half of what the
/// kernel takes.
const MAX_UNREAD_BYTES: usize = SOCKET_BUFFER_BYTES / 2;
/// Bytes behind the last request of a connection that are discarded to see its caller's close.
const MAX_DISCARDED_BYTES: usize = 16 * 1024 * 1024;
/// Size of the buffer into which they are read.
const DISCARD_BUFFER_BYTES: usize = 8 * 1024;

/// Watches one connection of a caller. Polled after the connection itself, in the same task.
pub(crate) struct ConnectionGuard {
    stream: SharedStream,
    link: Rc<CallerLink>,
    place: ConnectionPlace,
    header_timeout: Duration,
    /// Runs while the header block is incomplete that began to arrive then.
    header_timer: Option<(Moment, Pin<Box<Sleep>>)>,
    /// Runs while the connection reads no further, for bytes behind a request or for want of memory.
    close_timer: Option<Pin<Box<Sleep>>>,
    /// Bytes that were discarded behind the current request, which is the last one then.
    discarded_bytes: Option<usize>,
}

impl ConnectionGuard {
    pub(crate) fn new(
        stream: SharedStream,
        link: Rc<CallerLink>,
        place: ConnectionPlace,
        header_timeout: Duration,
    ) -> Self {
        ConnectionGuard {
            stream,
            link,
            place,
            header_timeout,
            header_timer: None,
            close_timer: None,
            discarded_bytes: None,
        }
    }

    /// Polls whether the connection has to close. Returns why.
    pub(crate) fn poll_overdue(&mut self, context: &mut Context<'_>) -> Poll<&'static str> {
        if self.link.poll_evicted(context).is_ready() {
            return Poll::Ready("needed by others");
        }
        if self.poll_header_timer(context).is_ready() {
            return Poll::Ready("header timeout");
        }
        self.poll_hidden_close(context)
    }

    fn poll_header_timer(&mut self, context: &mut Context<'_>) -> Poll<()> {
        if self.place.connection().phase() != ConnectionPhase::Head {
            self.header_timer = None;
            return Poll::Pending;
        }
        let began_at = self.place.connection().since();
        let is_running = matches!(&self.header_timer, Some((since, _)) if *since == began_at);
        if !is_running {
            self.header_timer = Some((began_at, Box::pin(sleep(self.header_timeout))));
        }
        match &mut self.header_timer {
            Some((_, timer)) => timer.as_mut().poll(context),
            None => Poll::Pending,
        }
    }

    fn poll_hidden_close(&mut self, context: &mut Context<'_>) -> Poll<&'static str> {
        if self.discarded_bytes.is_some() {
            return self.poll_discard(context);
        }
        if !self.link.has_stopped_reading() {
            self.close_timer = None;
            return Poll::Pending;
        }
        loop {
            let new_timer = || Box::pin(sleep(CLOSE_CHECK_INTERVAL));
            let timer = self.close_timer.get_or_insert_with(new_timer);
            if timer.as_mut().poll(context).is_pending() {
                return Poll::Pending;
            }
            self.close_timer = None;
            if self.is_closed_by_caller() {
                return Poll::Ready("caller gone");
            }
            if self.place.connection().phase() == ConnectionPhase::Running && self.hides_close() {
                self.link.end_requests();
                self.discarded_bytes = Some(0);
                return self.poll_discard(context);
            }
        }
    }

    /// Returns whether the caller has closed the connection, as far as that has arrived.
    fn is_closed_by_caller(&self) -> bool {
        let stream = self.stream.borrow();
        let ready = stream.ready(Interest::READABLE).now_or_never();
        ready.is_some_and(|ready| ready.is_ok_and(|ready| ready.is_read_closed()))
    }

    /// Returns whether so many bytes are unread that a close may not arrive behind them.
    fn hides_close(&self) -> bool {
        let mut unread = [MaybeUninit::uninit(); MAX_UNREAD_BYTES];
        let peeked = SockRef::from(&*self.stream.borrow()).peek(&mut unread);
        peeked.is_ok_and(|unread_bytes| unread_bytes >= MAX_UNREAD_BYTES)
    }

    /// Discards what follows the current request, until the caller closes.
    fn poll_discard(&mut self, context: &mut Context<'_>) -> Poll<&'static str> {
        let mut buffer = [0; DISCARD_BUFFER_BYTES];
        loop {
            let mut read = ReadBuf::new(&mut buffer);
            let polled = Pin::new(&mut *self.stream.borrow_mut()).poll_read(context, &mut read);
            match ready!(polled) {
                Ok(()) if !read.filled().is_empty() => {}
                // A connection that failed is closed, too.
                Ok(()) | Err(_) => return Poll::Ready("caller gone"),
            }
            let discarded_bytes = self.discarded_bytes.unwrap_or_default() + read.filled().len();
            if discarded_bytes > MAX_DISCARDED_BYTES {
                return Poll::Ready("requests without end");
            }
            self.discarded_bytes = Some(discarded_bytes);
        }
    }
}
