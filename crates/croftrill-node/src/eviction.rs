//! Tells a task that what it holds is needed by others.

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::task::{Context, Poll, Waker};

/// A request to one task to give up what it holds.
#[derive(Debug, Default)]
pub(crate) struct Eviction {
    is_requested: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

impl Eviction {
    /// Asks the task to give up what it holds.
    pub(crate) fn request(&self) {
        self.is_requested.set(true);
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }

    /// Returns whether the task was asked.
    pub(crate) fn is_requested(&self) -> bool {
        self.is_requested.get()
    }

    /// Polls whether the task was asked. Only the last task that polled is woken.
    pub(crate) fn poll_requested(&self, context: &mut Context<'_>) -> Poll<()> {
        if self.is_requested.get() {
            return Poll::Ready(());
        }
        let mut waker = self.waker.borrow_mut();
        if !waker
            .as_ref()
            .is_some_and(|waker| waker.will_wake(context.waker()))
        {
            *waker = Some(context.waker().clone());
        }
        Poll::Pending
    }

    /// Waits until the task is asked.
    pub(crate) async fn requested(&self) {
        poll_fn(|context| self.poll_requested(context)).await;
    }
}
