//! Resources that a request holds until they are dropped: its count, its slot and its sends.

use std::rc::Rc;
use std::sync::Arc;

use croftrill_scheduler::catalog::Configuration;
use croftrill_scheduler::health::SendOutcome;
use croftrill_scheduler::replica::{ReplicaId, StartedMs};
use croftrill_scheduler::software_versions::SoftwareVersion;
use croftrill_scheduler::time::Moment;
use croftrill_scheduler::work::RequestWork;

use super::cost;
use crate::node::Node;
use crate::ports::{Platform, RequestFacts};
use crate::quota::Permit;

/// Counts a request as in flight until dropped.
pub(super) struct InFlightGuard<P: Platform>(Rc<Node<P>>);

impl<P: Platform> InFlightGuard<P> {
    pub(super) fn start(node: &Rc<Node<P>>) -> Self {
        node.in_flight.set(node.in_flight.get() + 1);
        node.metrics.in_flight.inc();
        InFlightGuard(node.clone())
    }
}

impl<P: Platform> Drop for InFlightGuard<P> {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
        self.0.metrics.in_flight.dec();
    }
}

/// A slot among the requests that the node serves at the same time.
pub(super) struct ServiceSlot<P: Platform> {
    pub(super) node: Rc<Node<P>>,
}

impl<P: Platform> Drop for ServiceSlot<P> {
    fn drop(&mut self) {
        self.node.state.borrow_mut().fair_queue.release();
        self.node.admission_slot_freed.notify_waiters();
    }
}

/// Group of requests that name no group.
const NO_GROUP: &str = "";

/// Waits for a slot at this node, in the order given by the groups' shares. Returns `None` if the
/// number of slots is unlimited.
pub(super) async fn acquire_slot<P: Platform>(
    node: &Rc<Node<P>>,
    configuration: &Configuration,
    facts: &RequestFacts,
) -> Option<ServiceSlot<P>> {
    node.settings.max_concurrent_requests?;
    let group: Arc<str> = facts.group.as_deref().unwrap_or(NO_GROUP).into();
    let share = configuration.group_shares.get(&group).copied().unwrap_or(1);
    let cost = cost(facts);
    let ticket = QueueTicket {
        node: node.clone(),
        number: node.state.borrow_mut().fair_queue.enter(&group, share, cost),
    };
    loop {
        let freed = node.admission_slot_freed.notified();
        if node.state.borrow_mut().fair_queue.try_start(ticket.number) {
            return Some(ServiceSlot { node: node.clone() });
        }
        freed.await;
    }
}

/// A request in the fair queue. Leaves the queue when dropped.
pub(super) struct QueueTicket<P: Platform> {
    pub(super) node: Rc<Node<P>>,
    pub(super) number: u64,
}

impl<P: Platform> Drop for QueueTicket<P> {
    fn drop(&mut self) {
        self.node.state.borrow_mut().fair_queue.leave(self.number);
        self.node.admission_slot_freed.notify_waiters();
    }
}

/// Counts a request as sent to a replica until dropped.
pub(super) struct SendGuard<P: Platform> {
    pub(super) node: Rc<Node<P>>,
    pub(super) replica: ReplicaId,
    /// When the incarnation that the request is sent to started, if known.
    pub(super) started_ms: Option<StartedMs>,
    /// The software version of that incarnation, if known.
    pub(super) software_version: Option<SoftwareVersion>,
    /// When the send started, before any byte was sent.
    pub(super) sent_at: Moment,
    pub(super) work: RequestWork,
    pub(super) is_reading_prompt: bool,
    /// When the replica started to run the request, if it did.
    run_started_at: Option<Moment>,
    /// Accounts for the request at a replica that bears few rejections.
    permit: Option<Permit>,
}

impl<P: Platform> SendGuard<P> {
    pub(super) fn start(
        node: &Rc<Node<P>>,
        replica: &ReplicaId,
        work: RequestWork,
        permit: Option<Permit>,
    ) -> Self {
        let sent_at = node.clock.now();
        let mut state = node.state.borrow_mut();
        state.replicas.begin_send(replica, work, sent_at);
        let started_ms = state
            .replicas
            .get(replica)
            .and_then(|entry| entry.listing.started_ms);
        // One that is back answers before its listing is here, and may run another version.
        let has_ended = state.crash_ledger.has_ended(replica, started_ms);
        let software_version = state.software_versions.version_of(replica, started_ms);
        let software_version = software_version.filter(|_| !has_ended).cloned();
        drop(state);
        SendGuard {
            node: node.clone(),
            replica: replica.clone(),
            started_ms,
            software_version,
            sent_at,
            work,
            is_reading_prompt: true,
            run_started_at: None,
            permit,
        }
    }

    /// Applies to the permit, if the replica needs one.
    pub(super) fn report_permit(&self, report: impl FnOnce(&Permit)) {
        if let Some(permit) = &self.permit {
            report(permit);
        }
    }

    /// Records that the replica has read the prompt, as its answer started.
    pub(super) fn prompt_done(&mut self) {
        if std::mem::take(&mut self.is_reading_prompt) {
            self.node
                .state
                .borrow_mut()
                .replicas
                .prompt_done(&self.replica, self.work.prompt_tokens);
        }
    }

    /// Records when the replica started to run the request.
    pub(super) fn run_started(&mut self, at: Moment) {
        self.run_started_at = Some(at);
    }

    pub(super) fn record(&self, outcome: SendOutcome) {
        let now = self.node.clock.now();
        self.node
            .state
            .borrow_mut()
            .replicas
            .record_outcome(&self.replica, outcome, now);
    }
}

impl<P: Platform> Drop for SendGuard<P> {
    fn drop(&mut self) {
        self.prompt_done();
        let mut state = self.node.state.borrow_mut();
        state.replicas.end_send(&self.replica);
        if let Some(run_started_at) = self.run_started_at {
            let run_time = self.node.clock.now().since(run_started_at);
            state.replicas.record_run_time(&self.replica, run_time);
        }
        drop(state);
        self.node.replica_slot_freed.notify_waiters();
    }
}
