//! Attempts on their way through the queue: admission, dispatch, end.

use super::{EngineActor, Message, Retired, RunningAttempt, REMEMBERED_ATTEMPTS};
use crate::runner::{self, Run, RunEnd};
use crate::submission::{Submission, SubmissionId};
use croftrill_protocol::attempt::{AttemptEvent, AttemptRequest};
use croftrill_state::cluster::Target;
use croftrill_state::engine_memory::EngineMemory;
use croftrill_state::outcome::{Refusal, RefusalCause};
use croftrill_state::placement::Lifecycle;
use croftrill_state::replica_queue::{QueueItem, Wake, Work};
use croftrill_state::{AttemptId, Instant};
use log::debug;
use tokio_util::sync::CancellationToken;

/// Bytes of a prompt that count as one token when its cost is estimated.
const BYTES_PER_TOKEN: usize = 4;

impl EngineActor {
    pub(super) fn submit(&mut self, mut submission: Submission) {
        let attempt = submission.request.attempt;
        let now = self.now();
        if self.is_known(attempt) {
            let refusal = Refusal::may_have_run(RefusalCause::Invalid, 0);
            self.refuse(submission, refusal);
            return;
        }
        if let Some(cause) = self.cause_to_refuse(&submission.request) {
            let refusal = self.refusal(cause);
            self.refuse(submission, refusal);
            return;
        }
        let item = self.queue_item(&submission.request, submission.arrival);
        let (target, slack) = (item.target.clone(), item.first_token_deadline.millis_since(now));
        let wake = self.wake(&target, now);
        submission.cold = wake != Wake::Ready;
        if !matches!(wake, Wake::Never { .. }) {
            self.memory.requested(&target, slack, now);
        }
        let (link_up, memory) = (self.link.is_up(), &self.memory);
        let pushed = self
            .queue
            .push(item, |target| wake_of(link_up, memory, target, now), now);
        match pushed {
            Ok(displaced) => {
                self.accept(submission);
                self.refuse_items(displaced);
            }
            Err(refusal) => {
                self.await_return(&target, &refusal, now);
                self.refuse(submission, refusal);
            }
        }
    }

    /// A caller that was refused since the load takes too long will come back.
    fn await_return(&mut self, target: &Target, refusal: &Refusal, now: Instant) {
        if refusal.cause == RefusalCause::LoadTooSlow {
            self.memory
                .told_to_come_back(target, refusal.retry_after_millis, now);
        }
    }

    fn refuse_items(&mut self, refused: impl IntoIterator<Item = (QueueItem, Refusal)>) {
        for (item, refusal) in refused {
            if let Some(submission) = self.waiting.remove(&item.attempt) {
                self.refuse(submission, refusal);
            }
        }
    }

    fn wake(&self, target: &Target, now: Instant) -> Wake {
        wake_of(self.link.is_up(), &self.memory, target, now)
    }

    fn is_known(&self, attempt: AttemptId) -> bool {
        let open = self.waiting.contains_key(&attempt) || self.running.contains_key(&attempt);
        open || self.ended_set.contains(&attempt)
    }

    fn cause_to_refuse(&self, request: &AttemptRequest) -> Option<RefusalCause> {
        if self.retired.is_some() || request.fencing_token != self.token {
            return Some(RefusalCause::NotOwner);
        }
        if self.engine.lifecycle == Lifecycle::Leaving || self.shared.is_leaving() {
            return Some(RefusalCause::Leaving);
        }
        self.link.has_failed().then_some(RefusalCause::EngineFailed)
    }

    fn accept(&mut self, submission: Submission) {
        let attempt = submission.request.attempt;
        self.publish_load();
        submission.send_early(AttemptEvent::Accepted {
            attempt,
            load: self.load.get(),
        });
        debug!(
            "owner: attempt queued engine={} attempt={attempt}",
            self.engine.id
        );
        self.waiting.insert(attempt, submission);
    }

    pub(super) fn refuse(&self, submission: Submission, refusal: Refusal) {
        debug!(
            "owner: attempt refused engine={} attempt={} cause={:?}",
            self.engine.id, submission.request.attempt, refusal.cause
        );
        self.shared.metrics.refused(refusal.cause);
        submission.refuse(refusal, self.load.get());
    }

    pub(super) fn refuse_late(&mut self, now: Instant) {
        let (link_up, memory) = (self.link.is_up(), &self.memory);
        let refused = self
            .queue
            .expire(now, |target| wake_of(link_up, memory, target, now));
        for (item, refusal) in &refused {
            self.await_return(&item.target, refusal, now);
        }
        self.refuse_items(refused);
    }

    pub(super) fn refuse_waiting(&mut self, cause: RefusalCause) {
        self.queue.take_waiting();
        let refusal = self.refusal(cause);
        for submission in std::mem::take(&mut self.waiting).into_values() {
            self.refuse(submission, refusal.clone());
        }
    }

    pub(super) fn abandoned(&mut self, attempt: AttemptId, submission: SubmissionId) {
        let waits = self
            .waiting
            .get(&attempt)
            .is_some_and(|found| found.id == submission);
        let runs = self
            .running
            .get(&attempt)
            .is_some_and(|found| found.submission == submission);
        if waits || runs {
            self.cancel(attempt);
        }
    }

    /// Drops a waiting attempt, or stops a running one.
    pub(super) fn cancel(&mut self, attempt: AttemptId) {
        self.queue.cancel(attempt);
        if let Some(submission) = self.waiting.remove(&attempt) {
            let refusal = Refusal::not_run(RefusalCause::DeadlineExpired, 0);
            submission.refuse(refusal, self.load.get());
            self.remember(attempt);
        }
        if let Some(running) = self.running.get(&attempt) {
            running.cancel.cancel();
        }
    }

    pub(super) fn dispatch(&mut self, now: Instant) {
        loop {
            let memory = &self.memory;
            let Some(item) = self.queue.pop_ready(|target| memory.is_usable(target), now) else {
                return;
            };
            match self.waiting.remove(&item.attempt) {
                Some(submission) => self.start(item, submission, now),
                None => self.queue.finish(item.attempt, None, now),
            }
        }
    }

    fn start(&mut self, item: QueueItem, submission: Submission, now: Instant) {
        let attempt = item.attempt;
        self.memory.use_started(&item.target, item.priority, now);
        if submission.cold {
            self.shared
                .metrics
                .cold_start(now.millis_since(submission.arrival));
        }
        let cancel = CancellationToken::new();
        let running = RunningAttempt {
            submission: submission.id,
            target: item.target.clone(),
            priority: item.priority,
            cancel: cancel.clone(),
        };
        self.running.insert(attempt, running);
        let run = self.prepare_run(&item, submission, cancel);
        let sender = self.sender.clone();
        tokio::spawn(async move {
            let end = runner::run(run).await;
            let _ = sender.send(Message::RunEnded { attempt, end });
        });
    }

    fn prepare_run(&self, item: &QueueItem, submission: Submission, cancel: CancellationToken) -> Run {
        let config = &self.shared.config;
        let sender = self.sender.clone();
        let metrics = self.shared.metrics.clone();
        let clock = self.shared.clock;
        let arrival = submission.arrival;
        let attempt = item.attempt;
        let repeatable = submission.request.unrepeatable.is_none();
        Run {
            submission,
            client: self.client.clone(),
            token: self.token,
            clock,
            load: self.load.clone(),
            cancel,
            first_token_deadline: item.first_token_deadline,
            total_deadline: item.total_deadline,
            cut_late_first_token: config.cut_late_first_token && repeatable,
            call_timeout: self.call_timeout(),
            retry_after_millis: config.engine_backoff_millis,
            on_first_token: Box::new(move || {
                metrics.first_token(clock.now().millis_since(arrival));
                let _ = sender.send(Message::FirstToken(attempt));
            }),
        }
    }

    pub(super) fn run_ended(&mut self, attempt: AttemptId, end: RunEnd) {
        let now = self.now();
        self.queue.finish(attempt, served(&end), now);
        if let Some(running) = self.running.remove(&attempt) {
            self.memory.use_ended(&running.target, running.priority, now);
        }
        self.remember(attempt);
        match end {
            RunEnd::Finished { .. } | RunEnd::Cancelled => {}
            RunEnd::EngineFailed => self.link.request_failed(now),
            RunEnd::EngineRefused => self.link.ask_soon(now),
            RunEnd::Fenced => self.retire(Retired::ByEngine),
        }
    }

    fn remember(&mut self, attempt: AttemptId) {
        if !self.ended_set.insert(attempt) {
            return;
        }
        self.ended.push_back(attempt);
        if self.ended.len() > REMEMBERED_ATTEMPTS {
            if let Some(oldest) = self.ended.pop_front() {
                self.ended_set.remove(&oldest);
            }
        }
    }

    fn queue_item(&self, request: &AttemptRequest, arrival: Instant) -> QueueItem {
        let done = request.resume.as_ref().map_or(0, |resume| resume.tokens);
        let prompt_tokens = request.generation.prompt.len() / BYTES_PER_TOKEN;
        QueueItem {
            attempt: request.attempt,
            target: request.target.clone(),
            group: request.group.clone(),
            priority: request.priority,
            first_token_deadline: arrival + request.first_token_deadline_millis,
            total_deadline: arrival + request.total_deadline_millis,
            work: Work {
                prompt_tokens: u32::try_from(prompt_tokens).unwrap_or(u32::MAX),
                output_tokens: request.generation.max_tokens.saturating_sub(done),
                load_mib: self.memory.load_mib_if_absent(&request.target.model),
            },
        }
    }
}

/// Before the first inventory nothing is known to be loaded, and waiting for it
/// costs one round trip.
fn wake_of(link_up: bool, memory: &EngineMemory, target: &Target, now: Instant) -> Wake {
    if link_up {
        memory.wake(target, now)
    } else {
        Wake::In(0)
    }
}

/// What a run took of the engine, if its answer is whole.
fn served(end: &RunEnd) -> Option<Work> {
    match end {
        RunEnd::Finished {
            prompt_tokens,
            generated_tokens,
        } => Some(Work {
            prompt_tokens: *prompt_tokens,
            output_tokens: *generated_tokens,
            load_mib: 0,
        }),
        _ => None,
    }
}
