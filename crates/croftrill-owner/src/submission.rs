//! One attempt inside the owner, and the stream of events that its gateway
//! reads.

use crate::actor::Message;
use croftrill_protocol::attempt::{AttemptEvent, AttemptRequest, QueueLoad};
use croftrill_state::outcome::Refusal;
use croftrill_state::{AttemptId, Instant};
use futures::Stream;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use tokio::sync::mpsc;
use tokio_util::task::task_tracker::TaskTrackerToken;

/// Events that may wait for a slow gateway before the engine's stream is held
/// back.
pub(crate) const EVENT_BUFFER: usize = 64;

/// Tells two submissions with the same attempt id apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct SubmissionId(pub(crate) u64);

/// An attempt on its way through the owner.
pub(crate) struct Submission {
    pub(crate) id: SubmissionId,
    pub(crate) request: AttemptRequest,
    pub(crate) arrival: Instant,
    /// Whether its target was not loaded when it came.
    pub(crate) cold: bool,
    pub(crate) events: mpsc::Sender<AttemptEvent>,
    /// Keeps a drain waiting until the final event was sent.
    pub(crate) _pending: TaskTrackerToken,
}

impl Submission {
    /// Sends an event that is certain to find room: at most two are sent
    /// before the attempt is handed to its runner.
    pub(crate) fn send_early(&self, event: AttemptEvent) {
        let _ = self.events.try_send(event);
    }

    /// Ends the attempt before it was handed to an engine.
    pub(crate) fn refuse(self, refusal: Refusal, load: QueueLoad) {
        let attempt = self.request.attempt;
        self.send_early(AttemptEvent::Refused {
            attempt,
            refusal,
            load,
        });
    }
}

/// The load of one queue, as last published by its actor.
#[derive(Clone, Debug, Default)]
pub(crate) struct SharedLoad(Arc<Mutex<QueueLoad>>);

impl SharedLoad {
    pub(crate) fn get(&self) -> QueueLoad {
        *self.0.lock().expect("the lock of a load is never poisoned")
    }

    pub(crate) fn set(&self, load: QueueLoad) {
        *self.0.lock().expect("the lock of a load is never poisoned") = load;
    }
}

/// The events of one attempt. Dropping it cancels the attempt.
pub(crate) struct AttemptStream {
    pub(crate) attempt: AttemptId,
    pub(crate) submission: SubmissionId,
    pub(crate) events: mpsc::Receiver<AttemptEvent>,
    pub(crate) actor: mpsc::UnboundedSender<Message>,
}

impl Stream for AttemptStream {
    type Item = AttemptEvent;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<AttemptEvent>> {
        self.events.poll_recv(context)
    }
}

impl Drop for AttemptStream {
    fn drop(&mut self) {
        let _ = self.actor.send(Message::Abandoned {
            attempt: self.attempt,
            submission: self.submission,
        });
    }
}
