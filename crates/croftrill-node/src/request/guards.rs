//! Resources that a request holds until they are dropped: its count, its slot and its sends.

use std::rc::Rc;
use std::sync::Arc;

use croftrill_scheduler::catalog::Configuration;
use croftrill_scheduler::health::SendOutcome;
use croftrill_scheduler::replica::{ReplicaId, StartedMs};
use croftrill_scheduler::time::Moment;
use croftrill_scheduler::work::RequestWork;

use super::cost;
use crate::node::Node;
use crate::ports::{Platform, RequestFacts};

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
        self.node.place_freed.notify_waiters();
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
    node.settings.most_in_service?;
    let group: Arc<str> = facts.group.as_deref().unwrap_or(NO_GROUP).into();
    let share = configuration.group_shares.get(&group).copied().unwrap_or(1);
    let cost = cost(facts);
    let ticket = QueueTicket {
        node: node.clone(),
        number: node.state.borrow_mut().fair_queue.enter(&group, share, cost),
    };
    loop {
        let freed = node.place_freed.notified();
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
        self.node.place_freed.notify_waiters();
    }
}

/// Counts a request as sent to a replica until dropped.
pub(super) struct Send<P: Platform> {
    pub(super) node: Rc<Node<P>>,
    pub(super) replica: ReplicaId,
    /// When the incarnation that the request is sent to started, if known.
    pub(super) started_ms: Option<StartedMs>,
    /// When the send started, before any byte was sent.
    pub(super) begun_at: Moment,
    pub(super) work: RequestWork,
    pub(super) reading: bool,
    /// When the replica started to run the request, if it did.
    answered_at: Option<Moment>,
}

impl<P: Platform> Send<P> {
    pub(super) fn begin(node: &Rc<Node<P>>, replica: &ReplicaId, work: RequestWork) -> Self {
        let begun_at = node.clock.now();
        let mut state = node.state.borrow_mut();
        state.replicas.begin_send(replica, work, begun_at);
        let started_ms = state
            .replicas
            .get(replica)
            .and_then(|entry| entry.listing.started_ms);
        drop(state);
        Send {
            node: node.clone(),
            replica: replica.clone(),
            started_ms,
            begun_at,
            work,
            reading: true,
            answered_at: None,
        }
    }

    /// Records that the replica has read the prompt, as its answer started.
    pub(super) fn prompt_done(&mut self) {
        if std::mem::take(&mut self.reading) {
            self.node
                .state
                .borrow_mut()
                .replicas
                .prompt_done(&self.replica, self.work.prompt_tokens);
        }
    }

    /// Records when the replica started to run the request.
    pub(super) fn answer_began(&mut self, at: Moment) {
        self.answered_at = Some(at);
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

impl<P: Platform> Drop for Send<P> {
    fn drop(&mut self) {
        self.prompt_done();
        let mut state = self.node.state.borrow_mut();
        state.replicas.end_send(&self.replica);
        if let Some(answered_at) = self.answered_at {
            let held = self.node.clock.now().since(answered_at);
            state.replicas.record_run_time(&self.replica, held);
        }
        drop(state);
        self.node.room_changed.notify_waiters();
    }
}
