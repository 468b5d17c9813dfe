//! Checks of a request against the crash reports of all nodes, and its own reports to them.

use std::time::Duration;

use croftrill_scheduler::crash_ledger::{
    Fingerprint, PartHash, SuspectId, Verdict, MAX_PARTS_OF_REQUEST, SAME_MOMENT,
};
use croftrill_scheduler::replica::ReplicaId;
use http::StatusCode;

use super::fingerprint::fingerprint;
use super::guards::SendGuard;
use super::RequestRun;
use crate::answer_reader::BodyEnd;
use crate::broken_requests::{BrokenRequest, ExchangeEnd};
use crate::crash_reports::ClearingAnswer;
use crate::crash_trial::{self, TrialOutcome};
use crate::ports::{CallerAddress, Platform};
use crate::{crash_reports, crash_watch};

/// Whether a request may be sent, and by which suspect.
#[derive(Debug, Clone, Copy)]
pub(super) struct Judgment {
    pub(super) suspect: SuspectId,
    pub(super) verdict: Verdict,
}

impl Judgment {
    /// Returns the stricter one of two. The earlier one stands among equals.
    fn stricter(self, other: Self) -> Self {
        if strictness(other.verdict) > strictness(self.verdict) {
            other
        } else {
            self
        }
    }
}

fn strictness(verdict: Verdict) -> u8 {
    match verdict {
        Verdict::Free => 0,
        Verdict::OneAtATime => 1,
        Verdict::Retrial => 2,
        Verdict::Held(_) => 3,
        Verdict::Refused => 4,
    }
}

impl<P: Platform> RequestRun<P> {
    /// Returns the identity of the request's content, which is the same for each copy of it.
    pub(super) fn fingerprint(&self) -> Fingerprint {
        *self.fingerprint.get_or_init(|| {
            let target = self
                .head
                .uri
                .path_and_query()
                .map_or("/", |target| target.as_str());
            fingerprint(target, self.facts.group.as_deref(), &self.body.bytes)
        })
    }

    /// Returns the judgment that keeps the request from being sent now, if replicas ended under it or
    /// under a part of its prompt. Where another end might do so, first waits until it is known whether
    /// the last replica that was tried has ended.
    pub(super) async fn blocking_judgment(&self) -> Option<Judgment> {
        if let Some(last) = self.tried.last().filter(|_| self.may_be_blocked_by_an_end()) {
            crash_watch::wait_until_checked(&self.node, last).await;
        }
        let judgment = self.judgment()?;
        let may_be_sent = matches!(judgment.verdict, Verdict::OneAtATime | Verdict::Retrial);
        (!may_be_sent).then_some(judgment)
    }

    /// Returns whether one end more may keep the request from being sent: a single one under a request
    /// does not, but it may not be the first one under a part.
    fn may_be_blocked_by_an_end(&self) -> bool {
        let ledger = &self.node.state.borrow().crash_ledger;
        let mut parts = self.facts.parts.iter();
        self.tried.len() > 1 || parts.any(|part| ledger.is_suspect(PartHash(part.hash)))
    }

    /// Returns the strictest judgment on the request, or on a part of its prompt, by the reports of all
    /// nodes; `None` if it may be sent. The body is not hashed while there are no reports.
    fn judgment(&self) -> Option<Judgment> {
        if self.node.state.borrow().crash_ledger.is_empty() {
            return None;
        }
        let shared = &self.facts.parts[..self.facts.parts.len().saturating_sub(1)];
        let parts = shared.iter().take(MAX_PARTS_OF_REQUEST);
        let parts: Vec<PartHash> = parts.map(|part| PartHash(part.hash)).collect();
        let suspects = parts.iter().map(|part| SuspectId::Part(*part));
        let suspects = suspects.chain(std::iter::once(self.fingerprint().into()));
        let judgments = suspects.map(|suspect| Judgment {
            suspect,
            verdict: crash_reports::verdict(&self.node, suspect, &parts),
        });
        judgments
            .filter(|judgment| judgment.verdict != Verdict::Free)
            .reduce(Judgment::stricter)
    }

    /// Returns the judgment that keeps the request from being sent at this moment. A second check is
    /// needed after the wait for a replica: crashes may have been reported meanwhile, and other
    /// requests of the suspect may have waited as well. Takes the trial of a suspect of which only
    /// one may run at a time.
    pub(super) async fn blocking_judgment_before_send(&mut self) -> Option<Judgment> {
        if let Some(judgment) = self.blocking_judgment().await {
            return Some(judgment);
        }
        let judgment = self.judgment()?;
        if self.trial.is_some() {
            return None;
        }
        match crash_trial::acquire(&self.node, judgment.suspect).await {
            TrialOutcome::Acquired(trial) => {
                tracing::info!(target: "crash", event = "runs as a trial", id = self.facts.id,
                    suspect = %judgment.suspect, sends = self.sends);
                self.trial = Some(trial);
            }
            TrialOutcome::Busy => return Some(judgment),
            TrialOutcome::StoreUnavailable if judgment.verdict == Verdict::Retrial => return Some(judgment),
            // The request may be harmless, and without the store no node can find out.
            TrialOutcome::StoreUnavailable => {}
        }
        None
    }

    /// Records that a replica may run the request from now on. Returns whether one may have before,
    /// under the same trial.
    pub(super) fn mark_trial_run(&mut self) -> bool {
        let trial = self.trial.as_mut();
        trial.is_some_and(|trial| std::mem::replace(&mut trial.may_have_run, true))
    }

    /// Records that a replica sent a complete answer. If the request's run produced it, the request
    /// did not crash the replica.
    pub(super) fn record_complete_answer(&self, replica: &ReplicaId, status: StatusCode) {
        if self.node.state.borrow().crash_ledger.is_empty() {
            return;
        }
        let answer = ClearingAnswer {
            id: self.facts.id.clone(),
            fingerprint: self.fingerprint(),
            status,
            ended: BodyEnd::Whole.name(),
        };
        crash_reports::record_complete_answer(&self.node, replica, &answer);
        self.record_answered_parts(status);
    }

    /// Records that a replica answered, so that the parts of the prompt did not crash it.
    pub(super) fn record_answered_parts(&self, status: StatusCode) {
        if !self.node.state.borrow().crash_ledger.is_empty() {
            let parts = self.facts.parts.iter().map(|part| PartHash(part.hash));
            crash_reports::record_answered_parts(&self.node, status, &parts.collect::<Vec<_>>());
        }
    }

    /// Records that an answer ended with its connection, which may be the end of the replica.
    pub(super) fn record_closed_answer(
        &self,
        send: &SendGuard<P>,
        status: StatusCode,
        answer_duration: Duration,
    ) {
        self.report_exchange(send, ExchangeEnd::Closed { status }, Some(answer_duration));
    }

    pub(super) fn caller(&self) -> Option<CallerAddress> {
        self.head.extensions.get::<CallerAddress>().copied()
    }

    /// Records that the connection to a replica ended before the answer was complete. `answer_duration` is the time since the answer's head, or `None` if no head arrived.
    pub(super) fn report_broken_request(&self, send: &SendGuard<P>, answer_duration: Option<Duration>) {
        self.report_exchange(send, ExchangeEnd::CutOff, answer_duration);
    }

    /// Records that a replica went silent before the answer was complete. `answer_duration` is the time
    /// from the answer's head to the last data, or `None` if no head arrived.
    pub(super) fn report_silent_replica(&self, send: &SendGuard<P>, answer_duration: Option<Duration>) {
        self.report_exchange(send, ExchangeEnd::Silent, answer_duration);
    }

    fn report_exchange(&self, send: &SendGuard<P>, end: ExchangeEnd, answer_duration: Option<Duration>) {
        let earliest = self.broke_at.get().map(|earlier| earlier + SAME_MOMENT);
        let broke_at = earliest.map_or(self.now(), |earliest| earliest.max(self.now()));
        self.broke_at.set(Some(broke_at));
        let broken = BrokenRequest {
            id: self.facts.id.clone(),
            fingerprint: self.fingerprint(),
            parts: self.facts.parts.clone(),
            end,
            caller: self.caller(),
            broke_at,
            answer_duration,
        };
        crash_watch::record_broken_request(&self.node, &send.replica, broken);
    }
}
