//! One attempt at one engine.

use crate::caller_request::CallerRequest;
use crate::claim_ticket::ClaimTicket;
use crate::dispatch::{AnswerEvent, AnswerSummary, Dispatcher};
use crate::interruption::{Interruption, InterruptionWatch};
use crate::retry_policy::shows_not_loaded;
use crate::routing::Candidate;
use croftrill_protocol::attempt::{AttemptEvent, AttemptRequest, QueueLoad, ResumePoint};
use croftrill_state::outcome::{Refusal, RefusalCause};
use croftrill_state::stream_assembly::{FinishOutcome, Progress, StreamAssembly, TokenChunk, TokenOutcome};
use croftrill_state::{AttemptId, Instant, Revision};
use croftrill_transport::attempt_client::{AttemptError, AttemptStream};
use futures::StreamExt;
use log::{info, warn};
use std::sync::Arc;

/// When a caller should come back after an owner could not be reached, in
/// milliseconds.
const UNREACHABLE_RETRY_AFTER_MILLIS: u64 = 1000;
/// The owner is told a deadline that is this much earlier, in milliseconds, so
/// that its own answer (which knows whether the request ran) comes in time.
const DEADLINE_MARGIN_MILLIS: u64 = 50;
/// The margin is at most this part of the time that remains.
const DEADLINE_MARGIN_DIVISOR: u64 = 10;

/// How an attempt ended.
pub(crate) enum AttemptEnd {
    /// The answer is whole.
    Whole(AnswerSummary),
    /// It failed, and is known to have run or not as the refusal says.
    Failed(Refusal),
    /// It was given up; it may have run.
    Interrupted(Interruption),
}

/// An attempt under way.
pub(crate) struct AttemptRun<'a> {
    pub dispatcher: &'a Arc<Dispatcher>,
    pub request: &'a CallerRequest,
    pub claim: &'a ClaimTicket,
    pub candidate: &'a Candidate,
    pub revision: Revision,
    pub watch: &'a mut InterruptionWatch,
    pub assembly: &'a mut StreamAssembly,
}

impl AttemptRun<'_> {
    /// Runs to the end; dropping the stream at any end cancels what still runs.
    pub async fn run(mut self) -> AttemptEnd {
        // Right before the dispatch, since the process may have been paused.
        if let Err(refusal) = self.claim.check_dispatch(tokio::time::Instant::now()) {
            return AttemptEnd::Failed(refusal);
        }
        let attempt = AttemptId(rand::random());
        let progress = self.assembly.begin_attempt(attempt);
        if progress.is_some() {
            self.dispatcher.metrics.record_resume();
        }
        self.dispatcher.metrics.record_attempt();
        info!(
            "gateway: attempt sent request={} attempt={attempt} engine={} owner={} resumed_at={}",
            self.request.id,
            self.candidate.engine,
            self.candidate.owner,
            self.assembly.tokens()
        );
        let message = self.message(attempt, progress);
        let _outstanding = self.dispatcher.outstanding(&self.candidate.engine);
        let address = &self.candidate.attempt_address;
        let start = self.dispatcher.attempts.start(address, &message);
        let end = match self.watch.run(start).await {
            Err(interruption) => AttemptEnd::Interrupted(interruption),
            Ok(Err(error)) => self.connection_failed(attempt, error),
            Ok(Ok(stream)) => self.follow(attempt, stream).await,
        };
        self.assembly.end_attempt();
        end
    }

    fn message(&self, attempt: AttemptId, progress: Option<Progress>) -> AttemptRequest {
        let request = self.request;
        let now = self.dispatcher.clock.now();
        AttemptRequest {
            request: request.id,
            attempt,
            target: request.target.clone(),
            engine: self.candidate.engine.clone(),
            fencing_token: self.candidate.fencing_token,
            revision: self.revision,
            group: request.group.clone(),
            priority: request.priority,
            first_token_deadline_millis: owner_deadline(self.watch.deadline, now),
            total_deadline_millis: owner_deadline(request.total_deadline, now),
            unrepeatable: request.run_once.as_ref().map(|run_once| run_once.key.clone()),
            resume: progress.map(|progress| ResumePoint {
                tokens: progress.tokens,
                text: progress.text,
            }),
            generation: request.generation.clone(),
        }
    }

    async fn follow(&mut self, attempt: AttemptId, mut stream: AttemptStream) -> AttemptEnd {
        loop {
            let event = match self.watch.run(stream.next()).await {
                Err(interruption) => return AttemptEnd::Interrupted(interruption),
                Ok(Some(Ok(event))) => event,
                Ok(Some(Err(error))) => return self.connection_failed(attempt, error),
                Ok(None) => {
                    let error = AttemptError::Broken("no last event".to_string());
                    return self.connection_failed(attempt, error);
                }
            };
            if !self.assembly.is_live(event.attempt()) {
                self.dispatcher.metrics.record_dropped_event();
                warn!(
                    "gateway: event dropped request={} attempt={attempt} of={}",
                    self.request.id,
                    event.attempt()
                );
                continue;
            }
            if let Some(end) = self.take(event).await {
                return end;
            }
        }
    }

    /// Takes an event of the live attempt; returns the end if it is the last.
    async fn take(&mut self, event: AttemptEvent) -> Option<AttemptEnd> {
        match event {
            AttemptEvent::Accepted { load, .. } => {
                self.record_load(load);
                None
            }
            AttemptEvent::Started { .. } => None,
            AttemptEvent::Tokens {
                attempt,
                offset,
                count,
                text,
            } => {
                self.take_tokens(attempt, TokenChunk { offset, count, text })
                    .await
            }
            AttemptEvent::Finished {
                attempt,
                tokens,
                prompt_tokens,
                reason,
                load,
            } => {
                self.record_load(load);
                let summary = AnswerSummary {
                    tokens,
                    prompt_tokens,
                    reason,
                };
                Some(self.take_finish(attempt, summary))
            }
            AttemptEvent::Refused { refusal, load, .. } => {
                self.record_load(load);
                if shows_not_loaded(refusal.cause) {
                    self.forget_loaded();
                }
                Some(AttemptEnd::Failed(refusal))
            }
        }
    }

    async fn take_tokens(&mut self, attempt: AttemptId, chunk: TokenChunk) -> Option<AttemptEnd> {
        let is_first = self.assembly.tokens() == 0;
        match self.assembly.accept_tokens(attempt, &chunk) {
            TokenOutcome::New { text, .. } => {
                if is_first {
                    self.record_first_token();
                }
                let send = self.watch.caller.send(AnswerEvent::Text(text));
                match self.watch.run(send).await {
                    Ok(Ok(())) => None,
                    Ok(Err(_)) => Some(AttemptEnd::Interrupted(Interruption::CallerGone)),
                    Err(interruption) => Some(AttemptEnd::Interrupted(interruption)),
                }
            }
            TokenOutcome::Duplicate | TokenOutcome::NotLive => {
                self.dispatcher.metrics.record_dropped_event();
                None
            }
            broken @ (TokenOutcome::Gap { .. } | TokenOutcome::Conflict) => {
                Some(self.stream_damaged(attempt, &broken))
            }
        }
    }

    fn take_finish(&mut self, attempt: AttemptId, summary: AnswerSummary) -> AttemptEnd {
        match self.assembly.accept_finish(attempt, summary.tokens) {
            FinishOutcome::Whole => {
                self.record_loaded();
                AttemptEnd::Whole(summary)
            }
            broken => self.stream_damaged(attempt, &broken),
        }
    }

    fn record_first_token(&mut self) {
        self.watch.deadline = self.request.total_deadline;
        let now = self.dispatcher.clock.now();
        let millis = now.millis_since(self.request.arrived_at);
        self.dispatcher.metrics.record_first_token(millis);
        self.record_loaded();
    }

    fn record_load(&self, load: QueueLoad) {
        let now = self.dispatcher.clock.now();
        self.dispatcher
            .loads()
            .record_load(&self.candidate.engine, load, now);
    }

    fn record_loaded(&self) {
        let now = self.dispatcher.clock.now();
        let model = &self.request.target.model;
        self.dispatcher
            .loads()
            .record_loaded(model, &self.candidate.engine, now);
    }

    fn forget_loaded(&self) {
        let model = &self.request.target.model;
        self.dispatcher
            .loads()
            .forget_loaded(model, &self.candidate.engine);
    }

    fn connection_failed(&self, attempt: AttemptId, error: AttemptError) -> AttemptEnd {
        warn!(
            "gateway: attempt failed request={} attempt={attempt} error={error}",
            self.request.id
        );
        self.forget_loaded();
        let cause = RefusalCause::OwnerUnreachable;
        AttemptEnd::Failed(match error {
            AttemptError::NotSent(_) => Refusal::not_run(cause, UNREACHABLE_RETRY_AFTER_MILLIS),
            AttemptError::Broken(_) => Refusal::may_have_run(cause, UNREACHABLE_RETRY_AFTER_MILLIS),
        })
    }

    fn stream_damaged(&self, attempt: AttemptId, damage: &dyn std::fmt::Debug) -> AttemptEnd {
        warn!(
            "gateway: stream damaged request={} attempt={attempt} damage={damage:?}",
            self.request.id
        );
        let refusal = Refusal::may_have_run(RefusalCause::EngineFailed, UNREACHABLE_RETRY_AFTER_MILLIS);
        AttemptEnd::Failed(refusal)
    }
}

/// Milliseconds that the owner has, a little less than the gateway has.
fn owner_deadline(deadline: Instant, now: Instant) -> u64 {
    let remaining = deadline.millis_since(now);
    let margin = DEADLINE_MARGIN_MILLIS.min(remaining / DEADLINE_MARGIN_DIVISOR);
    remaining - margin
}
