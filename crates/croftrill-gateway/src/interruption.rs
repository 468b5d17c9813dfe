//! What ends a request from outside: a deadline, or a caller that hung up.

use crate::clock::Clock;
use crate::dispatch::AnswerEvent;
use croftrill_state::Instant;
use std::future::Future;
use tokio::sync::mpsc;

/// Why a request stops.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Interruption {
    /// The first token's or the whole answer's deadline passed.
    DeadlinePassed,
    /// Nobody waits for the answer.
    CallerGone,
}

/// Watches the deadlines and the caller of one request.
#[derive(Clone)]
pub(crate) struct InterruptionWatch {
    pub clock: Clock,
    pub caller: mpsc::Sender<AnswerEvent>,
    /// The deadline that is in force: the first token's until it came, then the
    /// whole answer's.
    pub deadline: Instant,
}

impl InterruptionWatch {
    /// The work's result, unless the request is interrupted first; the work is
    /// dropped then.
    pub async fn run<T>(&self, work: impl Future<Output = T>) -> Result<T, Interruption> {
        tokio::select! {
            biased;
            () = self.caller.closed() => Err(Interruption::CallerGone),
            // Before the work, since a stream that always has something ready
            // would never let the deadline come into force.
            () = tokio::time::sleep_until(self.clock.timer_instant(self.deadline)) => {
                Err(Interruption::DeadlinePassed)
            }
            result = work => Ok(result),
        }
    }
}
