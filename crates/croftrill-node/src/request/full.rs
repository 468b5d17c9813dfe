//! Requests whose holders are all full: they queue at a replica, wait here, or are refused with a
//! retry delay.

use std::rc::Rc;
use std::time::Duration;

use croftrill_scheduler::demand::ModelKey;
use croftrill_scheduler::full_holders::{decide_full, FullDecision, FullRequest};
use croftrill_scheduler::routing::{free_capacity, FreeCapacity};
use croftrill_scheduler::waiting_requests::{WaitingId, WaitingRequest};

use super::cold::{NextReplica, MIN_READY_IN};
use super::RequestRun;
use crate::metrics::Metrics;
use crate::node::{Lifecycle, Node};
use crate::ports::Platform;

/// A request's entry among the waiting ones. Removed when dropped.
struct WaitTicket<P: Platform> {
    node: Rc<Node<P>>,
    id: WaitingId,
}

impl<P: Platform> WaitTicket<P> {
    fn enter(node: &Rc<Node<P>>, request: WaitingRequest) -> Self {
        let now = node.clock.now();
        let id = node.state.borrow_mut().waiting_requests.enter(request, now);
        WaitTicket {
            node: node.clone(),
            id,
        }
    }

    fn is_waiting(&self) -> bool {
        self.node.state.borrow().waiting_requests.is_waiting(self.id)
    }

    fn is_next(&self) -> bool {
        self.node.state.borrow().waiting_requests.is_next(self.id)
    }

    fn admit(self) {
        let now = self.node.clock.now();
        self.node.state.borrow_mut().waiting_requests.admit(self.id, now);
    }
}

impl<P: Platform> Drop for WaitTicket<P> {
    fn drop(&mut self) {
        self.node.state.borrow_mut().waiting_requests.leave(self.id);
        self.node.replica_slot_freed.notify_waiters();
    }
}

impl<P: Platform> RequestRun<P> {
    /// Waits until the request may be sent to one of its holders. It may be sent at once if one has
    /// a free slot or nothing is known about their slots. Returns how the request ends if it may
    /// not be sent.
    pub(super) async fn await_slot(&mut self) -> Option<NextReplica> {
        let key = self.model_key()?;
        let mut ticket: Option<WaitTicket<P>> = None;
        loop {
            let free_capacity = self.holder_capacity()?;
            if free_capacity.free_candidates > 0 && self.is_next_for_model(ticket.as_ref(), &key) {
                self.end_wait(ticket, "a place is free");
                return None;
            }
            let request = self.full_request(&free_capacity, &key);
            let decision = decide_full(&request, self.rank(), self.uniform_sample());
            if ticket.is_none() {
                self.log_full(&free_capacity, &request, decision);
            }
            match decision {
                FullDecision::Send => {
                    self.end_wait(ticket, "queues at a replica");
                    return None;
                }
                FullDecision::Refuse { come_back_after } => {
                    return self.refuse_full("its replicas are full", come_back_after);
                }
                FullDecision::Wait => {}
            }
            if self.node.lifecycle() == Lifecycle::Stopping {
                return self.refuse_full("the node is stopping", super::OTHER_NODE_RETRY_AFTER);
            }
            let waiting =
                ticket.get_or_insert_with(|| WaitTicket::enter(&self.node, self.waiting_request(&key)));
            if !waiting.is_waiting() {
                return self.refuse_full("more urgent requests wait", request.work.ready_in);
            }
            self.wait_for_capacity().await;
            if self.now() >= self.deadline {
                return Some(NextReplica::GiveUp("out of time", None));
            }
        }
    }

    /// Returns what is known about the slots of the request's holders. Returns `None` if nothing
    /// is, or if the request's answer has started already and is only resumed.
    fn holder_capacity(&self) -> Option<FreeCapacity> {
        if self.answered_after.is_some() {
            return None;
        }
        let now = self.now();
        let state = self.node.state.borrow();
        if !state.replicas.routes_by_capacity(&self.service) {
            return None;
        }
        let request = self.routing_request(&self.tried, &state);
        let free_capacity = free_capacity(&state.replicas, &request, now);
        free_capacity.newest_sample_age.is_some().then_some(free_capacity)
    }

    /// Returns whether no other request of this node is ahead of this one for its model.
    fn is_next_for_model(&self, ticket: Option<&WaitTicket<P>>, key: &ModelKey) -> bool {
        match ticket {
            Some(ticket) => ticket.is_next(),
            None => !self.node.state.borrow().waiting_requests.waits_for(&key.base()),
        }
    }

    /// Returns the expected time until a holder starts to run the request: until its turn among those
    /// that wait at this node, or until a holder's queue is done if that is later.
    fn starts_in(&self, free_capacity: &FreeCapacity, key: &ModelKey) -> Duration {
        let first_event = free_capacity.first_event_after.unwrap_or_default();
        let holder_free_in = first_event.saturating_sub(self.first_event_after());
        let waiting = &self.node.state.borrow().waiting_requests;
        let turn_in = waiting.turn_in(&self.waiting_request(key), self.now());
        holder_free_in.max(turn_in).max(MIN_READY_IN)
    }

    fn full_request(&self, free_capacity: &FreeCapacity, key: &ModelKey) -> FullRequest {
        let (configuration, rank) = (&self.configuration, self.route.priority);
        FullRequest {
            time: self.caller_time(),
            work: self.remaining_work(self.starts_in(free_capacity, key)),
            is_most_urgent: configuration.is_most_urgent_of(&self.service, rank),
            has_less_urgent: configuration.has_less_urgent_route(&self.service, rank),
            was_rejected: self.was_rejected,
        }
    }

    fn waiting_request(&self, key: &ModelKey) -> WaitingRequest {
        WaitingRequest {
            model: key.base(),
            rank: self.rank(),
            tenant: self.tenant.clone(),
            due: self.attempt_end(),
            size_bytes: self.body.bytes.len(),
        }
    }

    fn end_wait(&self, ticket: Option<WaitTicket<P>>, outcome: &'static str) {
        let Some(ticket) = ticket else { return };
        ticket.admit();
        Metrics::count(&self.node.metrics.full_holders, "wait", outcome);
        tracing::info!(target: "full", id = self.facts.id, outcome, waited_ms = self.waited().as_millis() as u64);
    }

    fn refuse_full(&self, cause: &'static str, retry_after: Duration) -> Option<NextReplica> {
        self.count_late();
        Metrics::count(&self.node.metrics.full_holders, "request", cause);
        Some(NextReplica::GiveUp(cause, Some(retry_after)))
    }

    /// Logs the decision with the values that it is based on.
    fn log_full(&self, free_capacity: &FreeCapacity, request: &FullRequest, decision: FullDecision) {
        tracing::info!(target: "full", id = self.facts.id, model = self.facts.model.as_deref(), ?decision,
            rank = self.rank(), tenant = self.tenant.as_deref(), waited_ms = self.waited().as_millis() as u64,
            starts_in_ms = request.work.ready_in.as_millis() as u64, holders = free_capacity.candidates, fill = free_capacity.fill(),
            heard_ms_ago = free_capacity.newest_sample_age.map(|age| age.as_millis() as u64),
            attempt_left_ms = request.time.attempt_left.as_millis() as u64);
    }

    async fn wait_for_capacity(&self) {
        // In time to queue at a replica, or to tell the caller before it leaves.
        let last_decision_at = self.now() + self.max_wait().saturating_sub(MIN_READY_IN);
        let latest = self.next_check_at(last_decision_at);
        let wake = async {
            tokio::select! {
                () = self.node.replica_slot_freed.notified() => {}
                () = self.node.view_changed.notified() => {}
                () = self.node.stop_requested.notified() => {}
            }
        };
        // A timeout is expected: the caller checks the holders either way.
        let _ = self.node.clock.timeout_at(latest, wake).await;
    }
}
