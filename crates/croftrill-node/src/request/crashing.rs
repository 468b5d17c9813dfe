//! A request's part in what all nodes know of requests that crash replicas.

use std::time::Duration;

use croftrill_scheduler::crash_ledger::{Fingerprint, Verdict};
use croftrill_scheduler::replica::ReplicaId;

use super::fingerprint::fingerprint;
use super::RequestRun;
use crate::broken_requests::BrokenRequest;
use crate::crash_trial::{self, TrialOutcome};
use crate::ports::{CallerAddress, Platform};
use crate::{crash_reports, crash_watch};

impl<P: Platform> RequestRun<P> {
    /// Identity of the request's content, the same whenever it comes again.
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

    /// Why the request may not be sent (now), if so: replicas ended under it. From
    /// its second break on it waits until it is known whether the replica has ended:
    /// a first one bars nothing.
    pub(super) async fn barred(&self) -> Option<Verdict> {
        if let [_, .., last] = self.tried.as_slice() {
            crash_watch::wait_until_checked(&self.node, last).await;
        }
        let verdict = self.verdict();
        (!matches!(verdict, Verdict::Free | Verdict::OneAtATime)).then_some(verdict)
    }

    /// What all nodes' reports say of the request. Its body is not hashed while they
    /// say nothing of any.
    fn verdict(&self) -> Verdict {
        if self.node.state.borrow().crash_ledger.is_empty() {
            return Verdict::Free;
        }
        crash_reports::verdict(&self.node, self.fingerprint())
    }

    /// Why the request may not be sent at this moment, if so. What it crashed while it
    /// waited may be known only now, and other copies of it may have waited with it.
    pub(super) async fn barred_from_sending(&mut self) -> Option<Verdict> {
        if let Some(verdict) = self.barred().await {
            return Some(verdict);
        }
        let verdict = self.verdict();
        if self.trial.is_some() || verdict != Verdict::OneAtATime {
            return None;
        }
        match crash_trial::acquire(&self.node, self.fingerprint()).await {
            TrialOutcome::Acquired(trial) => self.trial = Some(trial),
            TrialOutcome::Busy => return Some(verdict),
            // It may be innocent, and without the store nobody could tell.
            TrialOutcome::StoreUnavailable => {}
        }
        None
    }

    /// A replica answered whole, so the request did not crash it.
    pub(super) fn answered_whole(&self) {
        if !self.node.state.borrow().crash_ledger.is_empty() {
            crash_reports::record_complete_answer(&self.node, self.fingerprint());
        }
    }

    pub(super) fn caller(&self) -> Option<CallerAddress> {
        self.head.extensions.get::<CallerAddress>().copied()
    }

    /// The connection to a replica ended, or fell silent, before the answer did. Time
    /// that the answer went on for: `None` if not even its head came.
    pub(super) fn broke_at(&self, replica: &ReplicaId, answer_duration: Option<Duration>) {
        let broken = BrokenRequest {
            id: self.facts.id.clone(),
            fingerprint: self.fingerprint(),
            caller: self.caller(),
            answer_duration,
        };
        crash_watch::record_broken_request(&self.node, replica, broken);
    }
}
