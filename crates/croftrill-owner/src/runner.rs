//! Runs one dispatched attempt on its engine and streams the answer through.

use crate::clock::Clock;
use crate::submission::{SharedLoad, Submission};
use croftrill_platform::engine::{EngineClient, EngineError, EngineEvent, EngineRequest, EngineStream};
use croftrill_protocol::attempt::{AttemptEvent, FinishReason};
use croftrill_state::outcome::{Refusal, RefusalCause};
use croftrill_state::{AttemptId, FencingToken, Instant};
use futures::StreamExt;
use std::sync::Arc;
use std::time::Duration;
use tokio_util::sync::CancellationToken;

/// What a run taught about the engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum RunEnd {
    /// The answer is whole.
    Finished,
    /// The caller or a deadline ended it.
    Cancelled,
    /// The engine could not be reached, or broke off.
    EngineFailed,
    /// The engine refused the request.
    EngineRefused,
    /// Another owner's token was seen.
    Fenced,
}

/// A dispatched attempt.
pub(crate) struct Run {
    pub(crate) submission: Submission,
    pub(crate) client: Arc<dyn EngineClient>,
    pub(crate) token: FencingToken,
    pub(crate) clock: Clock,
    pub(crate) load: SharedLoad,
    pub(crate) cancel: CancellationToken,
    pub(crate) first_token_deadline: Instant,
    pub(crate) total_deadline: Instant,
    pub(crate) cut_late_first_token: bool,
    pub(crate) call_timeout: Duration,
    pub(crate) retry_after_millis: u64,
    pub(crate) on_first_token: Box<dyn Fn() + Send + Sync>,
}

/// How the attempt left the engine.
enum Outcome {
    Finished {
        tokens: u32,
        prompt_tokens: u32,
        reached_length: bool,
    },
    Cancelled,
    Late,
    Failed {
        error: EngineError,
        handed_over: bool,
    },
}

/// Runs the attempt to its end and sends its final event.
pub(crate) async fn run(run: Run) -> RunEnd {
    let attempt = run.submission.request.attempt;
    let started = AttemptEvent::Started { attempt };
    if run.submission.events.send(started).await.is_err() {
        return RunEnd::Cancelled;
    }
    let outcome = run.stream_through().await;
    run.stop_engine(&outcome).await;
    let (event, end) = run.final_event(outcome);
    send_final(&run, event).await;
    end
}

/// Sends the last event, unless the gateway is gone or takes nothing any more.
async fn send_final(run: &Run, event: AttemptEvent) {
    let _ = tokio::time::timeout(run.call_timeout, run.submission.events.send(event)).await;
}

impl Run {
    async fn stream_through(&self) -> Outcome {
        let events = self.submission.events.clone();
        let cancel = self.cancel.clone();
        let total = self.clock.at(self.total_deadline);
        tokio::select! {
            biased;
            () = cancel.cancelled() => Outcome::Cancelled,
            () = events.closed() => Outcome::Cancelled,
            () = tokio::time::sleep_until(total) => Outcome::Late,
            outcome = self.pass_events() => outcome,
        }
    }

    async fn pass_events(&self) -> Outcome {
        let first_token = self.first_token_limit();
        let opened = tokio::time::timeout_at(first_token, self.client.run(self.engine_request())).await;
        let mut stream = match opened {
            Err(_) => return Outcome::Late,
            Ok(Err(error)) => {
                let handed_over = matches!(error, EngineError::Broken(_));
                return Outcome::Failed { error, handed_over };
            }
            Ok(Ok(stream)) => stream,
        };
        let first = match tokio::time::timeout_at(first_token, stream.next()).await {
            Err(_) => return Outcome::Late,
            Ok(first) => first,
        };
        (self.on_first_token)();
        self.pass_rest(first, &mut stream).await
    }

    fn first_token_limit(&self) -> tokio::time::Instant {
        let limit = if self.cut_late_first_token {
            self.first_token_deadline.min(self.total_deadline)
        } else {
            self.total_deadline
        };
        self.clock.at(limit)
    }

    async fn pass_rest(
        &self,
        first: Option<Result<EngineEvent, EngineError>>,
        stream: &mut EngineStream,
    ) -> Outcome {
        let attempt = self.submission.request.attempt;
        let mut next = first;
        let mut any_tokens = false;
        loop {
            match next {
                None => return broken_off(),
                Some(Err(error)) => {
                    let handed_over = any_tokens || !refused_by_engine(&error);
                    return Outcome::Failed { error, handed_over };
                }
                Some(Ok(EngineEvent::Tokens { offset, count, text })) => {
                    any_tokens = true;
                    let event = tokens(attempt, offset, count, text);
                    if self.submission.events.send(event).await.is_err() {
                        return Outcome::Cancelled;
                    }
                }
                Some(Ok(EngineEvent::Finished {
                    tokens,
                    prompt_tokens,
                    reached_length,
                })) => {
                    return Outcome::Finished {
                        tokens,
                        prompt_tokens,
                        reached_length,
                    }
                }
            }
            next = stream.next().await;
        }
    }

    /// Makes sure that an attempt which did not end by itself no longer runs,
    /// as far as the engine answers.
    async fn stop_engine(&self, outcome: &Outcome) {
        let may_run = match outcome {
            Outcome::Finished { .. } => false,
            Outcome::Cancelled | Outcome::Late => true,
            Outcome::Failed { handed_over, .. } => *handed_over,
        };
        if may_run {
            let attempt = self.submission.request.attempt;
            let _ = tokio::time::timeout(self.call_timeout, self.client.cancel(attempt)).await;
        }
    }

    fn engine_request(&self) -> EngineRequest {
        let request = &self.submission.request;
        let resume = request.resume.clone().unwrap_or_default();
        EngineRequest {
            attempt: request.attempt,
            fencing_token: self.token,
            model: request.target.model.clone(),
            adapter: request.target.adapter.clone(),
            priority: request.priority,
            prompt: request.generation.prompt.clone(),
            max_tokens: request.generation.max_tokens,
            temperature_thousandths: request.generation.temperature_thousandths,
            seed: request.generation.seed,
            stop: request.generation.stop.clone(),
            resume_tokens: resume.tokens,
            resume_text: resume.text,
            idempotency_key: request.unrepeatable.clone(),
        }
    }

    fn final_event(&self, outcome: Outcome) -> (AttemptEvent, RunEnd) {
        let retry = self.retry_after_millis;
        match outcome {
            Outcome::Finished {
                tokens,
                prompt_tokens,
                reached_length,
            } => {
                let event = AttemptEvent::Finished {
                    attempt: self.submission.request.attempt,
                    tokens,
                    prompt_tokens,
                    reason: finish_reason(reached_length),
                    load: self.load.get(),
                };
                (event, RunEnd::Finished)
            }
            Outcome::Cancelled | Outcome::Late => {
                let refusal = Refusal::may_have_run(RefusalCause::DeadlineExpired, retry);
                (self.refused(refusal), RunEnd::Cancelled)
            }
            Outcome::Failed { error, handed_over } => self.failed(error, handed_over),
        }
    }

    fn failed(&self, error: EngineError, handed_over: bool) -> (AttemptEvent, RunEnd) {
        let retry = self.retry_after_millis;
        let (cause, retry, end) = match error {
            EngineError::Unreachable(_) | EngineError::Broken(_) => {
                (RefusalCause::EngineFailed, retry, RunEnd::EngineFailed)
            }
            EngineError::Refused {
                retry_after_millis, ..
            } => (
                RefusalCause::EngineFailed,
                retry_after_millis,
                RunEnd::EngineRefused,
            ),
            EngineError::Fenced { .. } => (RefusalCause::NotOwner, retry, RunEnd::Fenced),
        };
        let refusal = if handed_over {
            Refusal::may_have_run(cause, retry)
        } else {
            Refusal::not_run(cause, retry)
        };
        (self.refused(refusal), end)
    }

    fn refused(&self, refusal: Refusal) -> AttemptEvent {
        AttemptEvent::Refused {
            attempt: self.submission.request.attempt,
            refusal,
            load: self.load.get(),
        }
    }
}

fn finish_reason(reached_length: bool) -> FinishReason {
    if reached_length {
        FinishReason::Length
    } else {
        FinishReason::Stop
    }
}

fn tokens(attempt: AttemptId, offset: u32, count: u32, text: String) -> AttemptEvent {
    AttemptEvent::Tokens {
        attempt,
        offset,
        count,
        text,
    }
}

/// Whether an error on an open stream says that the engine did not run the
/// request.
fn refused_by_engine(error: &EngineError) -> bool {
    matches!(error, EngineError::Refused { .. } | EngineError::Fenced { .. })
}

fn broken_off() -> Outcome {
    Outcome::Failed {
        error: EngineError::Broken("the stream ended before the answer was whole".to_string()),
        handed_over: true,
    }
}
