//! Checks of a request against the crash reports of all nodes, and its own reports to them.

use std::time::Duration;

use croftrill_scheduler::crash_ledger::{Fingerprint, Verdict};
use croftrill_scheduler::replica::ReplicaId;
use http::StatusCode;

use super::fingerprint::fingerprint;
use super::RequestRun;
use crate::answer_reader::BodyEnd;
use crate::broken_requests::{BrokenRequest, ExchangeEnd};
use crate::crash_reports::ClearingAnswer;
use crate::crash_trial::{self, TrialOutcome};
use crate::ports::{CallerAddress, Platform};
use crate::{crash_reports, crash_watch};

impl<P: Platform> RequestRun<P> {
    /// Returns the identity of the request's content, which is the same for each copy of it.
    pub(super) fn fingerprint(&self) -> Fingerprint {
        *self.fingerprint.get_or_init(|| {
            let target = self
                .head
                .uri
                .path_and_query()
                .map_or("/", |target| target.as_str());
            fingerprint(target, self.facts.group.as_deref(), &self.body)
        })
    }

    /// Returns the verdict that keeps the request from being sent now, if replicas ended under it.
    /// Once two replicas were tried, first waits until it is known whether the last one has ended.
    /// After the first replica there is no wait, as a single end blocks nothing.
    pub(super) async fn blocking_verdict(&self) -> Option<Verdict> {
        if let [_, .., last] = self.tried.as_slice() {
            crash_watch::wait_until_checked(&self.node, last).await;
        }
        let verdict = self.verdict();
        (!matches!(verdict, Verdict::Free | Verdict::OneAtATime)).then_some(verdict)
    }

    /// Returns the verdict on the request by the reports of all nodes. The body is not hashed while
    /// there are no reports.
    fn verdict(&self) -> Verdict {
        if self.node.state.borrow().crash_ledger.is_empty() {
            return Verdict::Free;
        }
        crash_reports::verdict(&self.node, self.fingerprint())
    }

    /// Returns the verdict that keeps the request from being sent at this moment. A second check is
    /// needed after the wait for a replica: crashes may have been reported meanwhile, and other
    /// copies of the request may have waited as well. Takes the trial of a suspect of which only
    /// one copy may run at a time.
    pub(super) async fn blocking_verdict_before_send(&mut self) -> Option<Verdict> {
        if let Some(verdict) = self.blocking_verdict().await {
            return Some(verdict);
        }
        let verdict = self.verdict();
        if self.trial.is_some() || verdict != Verdict::OneAtATime {
            return None;
        }
        match crash_trial::acquire(&self.node, self.fingerprint()).await {
            TrialOutcome::Acquired(trial) => self.trial = Some(trial),
            TrialOutcome::Busy => return Some(verdict),
            // The request may be harmless, and without the store no node can find out.
            TrialOutcome::StoreUnavailable => {}
        }
        None
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
    }

    /// Records that an answer ended with its connection, which may be the end of the replica.
    pub(super) fn record_closed_answer(
        &self,
        replica: &ReplicaId,
        status: StatusCode,
        answer_duration: Duration,
    ) {
        self.report_exchange(replica, ExchangeEnd::Closed { status }, Some(answer_duration));
    }

    pub(super) fn caller(&self) -> Option<CallerAddress> {
        self.head.extensions.get::<CallerAddress>().copied()
    }

    /// Records that the connection to a replica ended, or went silent, before the answer was
    /// complete. `answer_duration` is the time since the answer's head, or `None` if no head arrived.
    pub(super) fn report_broken_request(&self, replica: &ReplicaId, answer_duration: Option<Duration>) {
        self.report_exchange(replica, ExchangeEnd::CutOff, answer_duration);
    }

    fn report_exchange(&self, replica: &ReplicaId, end: ExchangeEnd, answer_duration: Option<Duration>) {
        let broken = BrokenRequest {
            id: self.facts.id.clone(),
            fingerprint: self.fingerprint(),
            parts: self.facts.parts.clone(),
            end,
            caller: self.caller(),
            answer_duration,
        };
        crash_watch::record_broken_request(&self.node, replica, broken);
    }
}
