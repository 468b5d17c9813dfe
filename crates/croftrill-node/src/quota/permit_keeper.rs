//! This node's keeper of permits: requests of its own, and those of linked nodes ([`PermitRequester`]).
//!
//! Decisions on requests that wait are sent as they are made.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use croftrill_scheduler::quota::keeper::ReservationDecision;
use croftrill_scheduler::quota::keepers::QuotaPartition;
use croftrill_scheduler::quota::limits::KeeperRole;
use croftrill_scheduler::quota::permits::{PermitDecision, PermitId, PermitKeeper, RequesterId};
use tokio::sync::mpsc;

use super::permit::MAX_WAIT;
use super::wire::{FromKeeper, ToKeeper};
use super::Quotas;

/// This node as a requester at its own keeper.
const OWN_REQUESTER: RequesterId = RequesterId(0);

/// The keeper of a partition's permits, and the nodes that request them.
#[derive(Debug, Default)]
pub(super) struct Permits {
    keeper: RefCell<PermitKeeper>,
    /// Senders of decisions to linked nodes.
    requesters: RefCell<HashMap<RequesterId, mpsc::UnboundedSender<FromKeeper>>>,
    last_requester: Cell<u64>,
}

impl Permits {
    pub(super) fn set_role(&self, role: KeeperRole) {
        self.keeper.borrow_mut().set_role(role);
    }
}

impl Quotas {
    /// Applies a message of this node to its own keeper.
    pub(super) fn apply_own_report(&self, partition: QuotaPartition, message: ToKeeper) {
        if let Ok(Some(answer)) = self.apply_permit_message(partition, OWN_REQUESTER, message) {
            self.complete_own(partition, &answer);
        }
    }

    fn complete_own(&self, partition: QuotaPartition, answer: &FromKeeper) {
        if let Some((id, decision)) = answer.to_decision() {
            self.complete_query(partition, id, decision);
        }
    }

    /// Applies a message about permits to this node's keeper. Returns the answer, if there is one now.
    ///
    /// Errors: the message, if it is about something else.
    fn apply_permit_message(
        &self,
        partition: QuotaPartition,
        requester: RequesterId,
        message: ToKeeper,
    ) -> Result<Option<FromKeeper>, Box<ToKeeper>> {
        let now = self.clock.now();
        let permits = &self.partitions[partition.index()].permits;
        let id = |number| PermitId { requester, number };
        let mut keeper = permits.keeper.borrow_mut();
        let (granted, answer) = match message {
            ToKeeper::RequestPermit(query) => {
                let request = query.to_request();
                let replica = query.replica.as_str().into();
                let decision = keeper.request(&replica, id(query.id), &request, now);
                (Vec::new(), decision_message(query.id, decision))
            }
            ToKeeper::PermitStarted(start) => {
                let answer = start.answer.to_answer();
                (keeper.start(&start.replica, id(start.id), answer, now), None)
            }
            ToKeeper::PermitEnded(ended) => {
                let was_waiting = keeper.is_waiting(&ended.replica, id(ended.id));
                let granted = keeper.end(&ended.replica, id(ended.id), ended.end.to_end(), now);
                let given_up = FromKeeper::decision(ended.id, refusal(MAX_WAIT));
                (granted, was_waiting.then_some(given_up))
            }
            other => return Err(Box::new(other)),
        };
        drop(keeper);
        self.send_grants(partition, &granted);
        Ok(answer)
    }

    /// Tells the nodes whose requests waited that their permits are granted.
    fn send_grants(&self, partition: QuotaPartition, granted: &[PermitId]) {
        let permits = &self.partitions[partition.index()].permits;
        let after = Duration::ZERO;
        for id in granted {
            let message = FromKeeper::decision(id.number, ReservationDecision::Granted { after });
            if id.requester == OWN_REQUESTER {
                self.complete_own(partition, &message);
                continue;
            }
            if let Some(requester) = permits.requesters.borrow().get(&id.requester) {
                // The link has ended otherwise, which returns the permit.
                let _ = requester.send(message);
            }
        }
    }
}

fn refusal(retry_after: Duration) -> ReservationDecision {
    let balance = 0.0;
    ReservationDecision::Refused { retry_after, balance }
}

fn decision_message(id: u64, decision: PermitDecision) -> Option<FromKeeper> {
    let after = Duration::ZERO;
    let decision = match decision {
        PermitDecision::Granted => ReservationDecision::Granted { after },
        PermitDecision::Queued => return None,
        PermitDecision::Refused { retry_after } => refusal(retry_after),
    };
    Some(FromKeeper::decision(id, decision))
}

/// A linked node at this node's keeper of permits, until dropped.
pub(super) struct PermitRequester {
    quotas: Rc<Quotas>,
    partition: QuotaPartition,
    id: RequesterId,
    granted: mpsc::UnboundedReceiver<FromKeeper>,
}

impl PermitRequester {
    pub(super) fn register(quotas: &Rc<Quotas>, partition: QuotaPartition) -> Self {
        let permits = &quotas.partitions[partition.index()].permits;
        permits.last_requester.set(permits.last_requester.get() + 1);
        let id = RequesterId(permits.last_requester.get());
        let (sender, granted) = mpsc::unbounded_channel();
        permits.requesters.borrow_mut().insert(id, sender);
        PermitRequester {
            quotas: quotas.clone(),
            partition,
            id,
            granted,
        }
    }

    /// Returns the answer to a message, if there is one now.
    ///
    /// Errors: the message, if it is not about permits.
    pub(super) fn answer(&self, message: ToKeeper) -> Result<Option<FromKeeper>, Box<ToKeeper>> {
        self.quotas.apply_permit_message(self.partition, self.id, message)
    }

    /// Waits for the next permit that is granted to a request that waited.
    pub(super) async fn granted(&mut self) -> FromKeeper {
        match self.granted.recv().await {
            Some(message) => message,
            // Never, as the sender is removed with this.
            None => std::future::pending().await,
        }
    }
}

impl Drop for PermitRequester {
    fn drop(&mut self) {
        let permits = &self.quotas.partitions[self.partition.index()].permits;
        permits.requesters.borrow_mut().remove(&self.id);
        permits.keeper.borrow_mut().lose_requester(self.id);
    }
}
