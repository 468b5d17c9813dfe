//! One request from its claim to its final answer. It runs as a task of its
//! own, so that it is brought to its end also when the caller hangs up.

use crate::attempt_run::{AttemptEnd, AttemptRun};
use crate::caller_request::CallerRequest;
use crate::claim_ticket::{ClaimFailure, ClaimTicket};
use crate::dispatch::{AnswerEvent, AnswerSummary, Dispatcher};
use crate::interruption::{Interruption, InterruptionWatch};
use crate::metrics::RequestOutcome;
use crate::retry_policy::{next_step, NextStep};
use crate::routing::Candidate;
use croftrill_protocol::peer::ClaimResult;
use croftrill_state::outcome::{Execution, Refusal, RefusalCause};
use croftrill_state::stream_assembly::StreamAssembly;
use croftrill_state::{EngineId, Revision};
use log::{info, warn};
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};

/// When a caller should come back if nothing better is known, in milliseconds.
const DEFAULT_RETRY_AFTER_MILLIS: u64 = 1000;
/// First pause before an engine is tried again, in milliseconds; it doubles.
const FIRST_PAUSE_MILLIS: u64 = 50;
/// Pauses of one request; all together at most 6.4 s.
const MOST_PAUSES: u32 = 7;
/// Longest wait for the holder of a key to free it, before the caller is told
/// that the request did not run.
const FREE_KEY_WAIT: Duration = Duration::from_millis(250);

/// How a request ended.
enum Ending {
    Whole(AnswerSummary),
    Refused(Refusal),
    CallerGone,
}

/// A request under way.
pub(crate) struct RequestRun {
    dispatcher: Arc<Dispatcher>,
    request: CallerRequest,
    watch: InterruptionWatch,
    assembly: StreamAssembly,
    /// Whether an attempt was made that is not provably not run.
    may_have_run: bool,
    claim: ClaimTicket,
    attempts_made: u32,
    /// Those that may have cost an engine work; only they count against the
    /// limit of attempts. The others are limited by the pauses.
    attempts_that_may_have_run: u32,
    pauses_made: u32,
    /// Engines that refused and would refuse again.
    refused_by: HashSet<EngineId>,
    /// Engines that failed and may recover after a pause.
    failed_at: HashSet<EngineId>,
    last_failure: Option<Refusal>,
}

impl RequestRun {
    pub fn new(
        dispatcher: Arc<Dispatcher>,
        request: CallerRequest,
        caller: mpsc::Sender<AnswerEvent>,
    ) -> Self {
        let watch = InterruptionWatch {
            clock: dispatcher.clock,
            caller,
            deadline: request.first_token_deadline,
        };
        let claims = dispatcher.claims.clone();
        let claim = ClaimTicket::new(claims, request.id, request.run_once.clone());
        Self {
            dispatcher,
            request,
            watch,
            assembly: StreamAssembly::new(),
            may_have_run: false,
            claim,
            attempts_made: 0,
            attempts_that_may_have_run: 0,
            pauses_made: 0,
            refused_by: HashSet::new(),
            failed_at: HashSet::new(),
            last_failure: None,
        }
    }

    /// Runs to the final answer and finishes the claim.
    pub async fn run(mut self) {
        let ending = match self.claim.ask(&self.watch).await {
            Ok(()) => self.serve().await,
            Err(ClaimFailure::Refused(refusal)) => Ending::Refused(refusal),
            Err(ClaimFailure::CallerGone) => Ending::CallerGone,
        };
        self.record(&ending);
        let result = self.claim_result(&ending);
        let mut finishing = self.claim.finish(result);
        if let (Some(finishing), ClaimResult::NotRun) = (&mut finishing, result) {
            // The caller may try again as soon as it is told.
            let _ = timeout(FREE_KEY_WAIT, finishing).await;
        }
        self.answer(ending).await;
        if let Some(finishing) = finishing.filter(|finishing| !finishing.is_finished()) {
            let _ = finishing.await;
        }
    }

    /// Makes attempts until one gives the whole answer or none may follow.
    async fn serve(&mut self) -> Ending {
        loop {
            let (revision, candidate) = match self.next_candidate().await {
                Ok(found) => found,
                Err(ending) => return ending,
            };
            if let Err(ending) = self.spend_retry() {
                return ending;
            }
            match self.attempt(revision, &candidate).await {
                AttemptEnd::Whole(summary) => return Ending::Whole(summary),
                AttemptEnd::Interrupted(interruption) => {
                    self.may_have_run = true;
                    return self.interrupted(interruption);
                }
                AttemptEnd::Failed(failure) => {
                    if let Some(ending) = self.after_failure(failure, candidate.engine) {
                        return ending;
                    }
                }
            }
        }
    }

    async fn attempt(&mut self, revision: Revision, candidate: &Candidate) -> AttemptEnd {
        self.attempts_made += 1;
        let attempt = AttemptRun {
            dispatcher: &self.dispatcher,
            request: &self.request,
            claim: &self.claim,
            candidate,
            revision,
            watch: &mut self.watch,
            assembly: &mut self.assembly,
        };
        attempt.run().await
    }

    /// The next engine to try. When all were tried, those that may recover are
    /// tried again after a pause, and so is an engine that has no owner now but
    /// may get one.
    async fn next_candidate(&mut self) -> Result<(Revision, Candidate), Ending> {
        let may_recover = !self.failed_at.is_empty();
        loop {
            if let Some(found) = self.untried_candidate() {
                return Ok(found);
            }
            if !may_recover || self.pauses_made >= MOST_PAUSES {
                return Err(self.give_up());
            }
            let pause = self.next_pause();
            self.watch
                .run(sleep(pause))
                .await
                .map_err(|interruption| self.interrupted(interruption))?;
            self.failed_at.clear();
        }
    }

    /// Takes an attempt after a failed one out of the retry budget.
    fn spend_retry(&self) -> Result<(), Ending> {
        let Some(failure) = &self.last_failure else {
            return Ok(());
        };
        let now = self.dispatcher.clock.now();
        let mut budget = self.dispatcher.retry_budget();
        if budget.try_retry(now) {
            self.dispatcher.metrics.record_retry(failure);
            return Ok(());
        }
        let until = budget.millis_until_retry(now);
        let retry_after_millis = until.unwrap_or(DEFAULT_RETRY_AFTER_MILLIS);
        Err(self.refuse(RefusalCause::RetryBudgetExhausted, retry_after_millis))
    }

    /// A pause that doubles, with a random part, so that requests which failed
    /// together do not come back together.
    fn next_pause(&mut self) -> Duration {
        let whole = FIRST_PAUSE_MILLIS << self.pauses_made;
        self.pauses_made += 1;
        Duration::from_millis(rand::random_range(whole / 2..=whole))
    }

    fn untried_candidate(&self) -> Option<(Revision, Candidate)> {
        let (revision, candidates) = self.dispatcher.route(&self.request);
        let untried = candidates
            .into_iter()
            .find(|candidate| !self.was_tried(&candidate.engine))?;
        Some((revision, untried))
    }

    fn was_tried(&self, engine: &EngineId) -> bool {
        self.refused_by.contains(engine) || self.failed_at.contains(engine)
    }

    /// Decides whether another attempt may follow a failed one; returns the
    /// ending if not.
    fn after_failure(&mut self, failure: Refusal, engine: EngineId) -> Option<Ending> {
        self.may_have_run |= failure.execution == Execution::MayHaveRun;
        let step = self.next_step(&failure);
        if failure.execution == Execution::MayHaveRun {
            self.attempts_that_may_have_run += 1;
        }
        self.last_failure = Some(failure);
        if self.attempts_that_may_have_run >= self.dispatcher.config.most_attempts {
            return Some(self.give_up());
        }
        match step {
            NextStep::GiveUp => return Some(self.give_up()),
            NextStep::OtherEngine => self.refused_by.insert(engine),
            NextStep::AnyEngine => self.failed_at.insert(engine),
        };
        None
    }

    /// What may follow a failure. An unrepeatable request is never dispatched
    /// again once any of its attempts may have run.
    fn next_step(&self, failure: &Refusal) -> NextStep {
        let run_once = self.request.run_once.is_some();
        if run_once && self.execution() == Execution::MayHaveRun {
            return NextStep::GiveUp;
        }
        next_step(failure.cause)
    }

    /// The last failure is the answer.
    fn give_up(&self) -> Ending {
        match &self.last_failure {
            Some(failure) => self.refuse(failure.cause, failure.retry_after_millis),
            None => self.refuse(RefusalCause::NoReplica, DEFAULT_RETRY_AFTER_MILLIS),
        }
    }

    fn interrupted(&self, interruption: Interruption) -> Ending {
        match interruption {
            Interruption::CallerGone => Ending::CallerGone,
            Interruption::DeadlinePassed => {
                self.refuse(RefusalCause::DeadlineExpired, DEFAULT_RETRY_AFTER_MILLIS)
            }
        }
    }

    fn refuse(&self, cause: RefusalCause, retry_after_millis: u64) -> Ending {
        Ending::Refused(Refusal {
            execution: self.execution(),
            cause,
            retry_after_millis: retry_after_millis.max(1),
        })
    }

    fn execution(&self) -> Execution {
        if self.may_have_run || self.assembly.tokens() > 0 {
            Execution::MayHaveRun
        } else {
            Execution::NotRun
        }
    }

    fn claim_result(&self, ending: &Ending) -> ClaimResult {
        match (ending, self.execution()) {
            (Ending::Whole(_), _) => ClaimResult::Finished,
            (_, Execution::NotRun) => ClaimResult::NotRun,
            (_, Execution::MayHaveRun) => ClaimResult::Unknown,
        }
    }

    fn record(&self, ending: &Ending) {
        let metrics = &self.dispatcher.metrics;
        let id = self.request.id;
        let attempts = self.attempts_made;
        match ending {
            Ending::Whole(summary) => {
                self.dispatcher.retry_budget().record_success();
                metrics.record_request(RequestOutcome::Served);
                info!(
                    "gateway: request served request={id} attempts={attempts} tokens={}",
                    summary.tokens
                );
            }
            Ending::Refused(refusal) => {
                metrics.record_request(RequestOutcome::Refused(refusal));
                info!(
                    "gateway: request refused request={id} attempts={attempts} cause={:?} execution={:?}",
                    refusal.cause, refusal.execution
                );
            }
            Ending::CallerGone => {
                metrics.record_request(RequestOutcome::Cancelled);
                info!("gateway: caller gone request={id} attempts={attempts}");
            }
        }
    }

    async fn answer(&mut self, ending: Ending) {
        let last = match ending {
            Ending::Whole(summary) => AnswerEvent::Finished(summary),
            Ending::Refused(refusal) => AnswerEvent::Failed(refusal),
            Ending::CallerGone => return,
        };
        // A caller that reads too slowly must not hold the request for ever.
        let send = self.watch.caller.send(last);
        let limit = Duration::from_millis(self.dispatcher.config.slow_caller_millis);
        if timeout(limit, send).await.is_err() {
            warn!("gateway: caller does not read request={}", self.request.id);
        }
    }
}
