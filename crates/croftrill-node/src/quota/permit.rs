//! Permits for requests to replicas that bear few rejections.
//!
//! [`Quotas::request_permit`] asks the replica's keeper; the [`Permit`] reports how its request goes.
//! The keeper's side is in [`super::permit_keeper`].

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use croftrill_scheduler::quota::keeper::ReservationDecision;
use croftrill_scheduler::quota::keepers::QuotaPartition;
use croftrill_scheduler::quota::permits::{PermitAnswer, PermitEnd, PermitRequest};
use croftrill_scheduler::time::Moment;
use tokio::sync::{mpsc, oneshot};

use super::wire::{
    ToKeeper, WirePermitAnswer, WirePermitEnd, WirePermitEnded, WirePermitQuery, WirePermitStart,
};
use super::{KeeperLink, PendingKind, PendingQuery, Quotas, Uplink, ANSWER_TIMEOUT, LINK_TIMEOUT};

/// Maximum time for which a request waits at a keeper. A keeper that does not confirm in
/// [`ANSWER_TIMEOUT`] that the request waits no longer counts as lost.
pub(super) const MAX_WAIT: Duration = Duration::from_millis(250);

/// A request for a permit.
#[derive(Debug, Clone, Copy)]
pub struct PermitQuery<'a> {
    /// The replica.
    pub replica: &'a Arc<str>,
    /// The request.
    pub request: PermitRequest,
}

/// The answer to a request for a permit.
#[derive(Debug)]
pub enum PermitVerdict {
    /// The request may be sent.
    Granted(Permit),
    /// No slot is free in time.
    Refused {
        /// Expected time until one is.
        retry_after: Duration,
    },
    /// The keeper runs an older build, which keeps no permits.
    NotKept,
    /// No keeper is reached.
    Unreachable,
}

/// Where a permit is returned to.
#[derive(Debug, Clone)]
enum Grantor {
    Own,
    /// A link, which does not end later because a permit was granted over it.
    Linked(mpsc::WeakSender<ToKeeper>),
}

/// A permit for one request. Dropping it reports how the request ended.
#[derive(Debug)]
pub struct Permit {
    quotas: QuotasRef,
    partition: QuotaPartition,
    replica: Arc<str>,
    number: u64,
    grantor: Grantor,
    sent_at: Cell<Option<Moment>>,
    /// How its request ended, as far as that is still to be reported.
    end: Cell<Option<PermitEnd>>,
}

/// [`Quotas`] have no form that a log could show.
struct QuotasRef(Rc<Quotas>);

impl std::fmt::Debug for QuotasRef {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("Quotas")
    }
}

impl Permit {
    /// Records that the request is being sent. From now on it may run.
    pub fn sent(&self) {
        self.sent_at.set(Some(self.quotas.0.clock.now()));
        self.end.set(Some(PermitEnd::Unknown));
    }

    /// Reports the start of the answer, and the number of requests at the replica if it told them.
    pub fn started(&self, requests: Option<u32>) {
        let message = WirePermitStart {
            id: self.number,
            replica: self.replica.to_string(),
            answer: WirePermitAnswer::from_answer(self.answer(requests)),
        };
        self.report(ToKeeper::PermitStarted(message));
    }

    /// Records that the replica answered the request to the end.
    pub fn completed(&self, requests: Option<u32>) {
        self.end.set(Some(PermitEnd::Complete(self.answer(requests))));
    }

    /// Records that the replica rejected the request, possibly for want of room.
    pub fn rejected(&self) {
        self.end.set(Some(PermitEnd::Rejected));
    }

    /// Records that the request takes no slot.
    pub fn not_sent(&self) {
        self.end.set(Some(PermitEnd::NotSent));
    }

    fn answer(&self, requests: Option<u32>) -> PermitAnswer {
        let now = self.quotas.0.clock.now();
        PermitAnswer {
            elapsed: self
                .sent_at
                .get()
                .map_or(Duration::ZERO, |sent_at| now.since(sent_at)),
            requests,
        }
    }

    fn report_end(&self) {
        if let Some(end) = self.end.take() {
            self.report(permit_ended(&self.replica, self.number, end));
        }
    }

    fn report(&self, message: ToKeeper) {
        match &self.grantor {
            Grantor::Own => self.quotas.0.apply_own_report(self.partition, message),
            // With the link, the keeper has lost the permit too.
            Grantor::Linked(link) => {
                let sent = link.upgrade().map(|link| link.try_send(message));
                if matches!(sent, Some(Err(_))) {
                    tracing::debug!(target: "quota", event = "permit not returned", replica = &*self.replica);
                }
            }
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.report_end();
    }
}

fn wire_query(number: u64, query: PermitQuery<'_>) -> WirePermitQuery {
    let request = PermitRequest {
        patience: query.request.patience.min(MAX_WAIT),
        ..query.request
    };
    WirePermitQuery::from_request(number, query.replica, &request)
}

fn permit_ended(replica: &str, number: u64, end: PermitEnd) -> ToKeeper {
    ToKeeper::PermitEnded(WirePermitEnded {
        id: number,
        replica: replica.to_string(),
        end: WirePermitEnd::from_end(end),
    })
}

impl Quotas {
    /// Requests a permit for a request to a replica that bears few rejections.
    pub async fn request_permit(self: &Rc<Self>, query: PermitQuery<'_>) -> PermitVerdict {
        let partition = QuotaPartition::of_replica(query.replica);
        self.need_limits(partition);
        let deadline = self.clock.now() + query.request.patience.clamp(ANSWER_TIMEOUT, LINK_TIMEOUT);
        let Some(uplink) = self.linked_uplink(partition, deadline).await else {
            return PermitVerdict::Unreachable;
        };
        match uplink {
            Uplink::Linked(link) if link.keeps_permits => {
                self.request_linked_permit(partition, &link, query).await
            }
            Uplink::Own if self.partitions[partition.index()].is_keeper.get() => {
                self.request_own_permit(partition, query).await
            }
            Uplink::Linked(_) => PermitVerdict::NotKept,
            Uplink::Own | Uplink::Connecting => PermitVerdict::Unreachable,
        }
    }

    async fn request_linked_permit(
        self: &Rc<Self>,
        partition: QuotaPartition,
        link: &KeeperLink,
        query: PermitQuery<'_>,
    ) -> PermitVerdict {
        let (number, decided) = self.enter_permit_query(partition, query.replica);
        let grantor = Grantor::Linked(link.messages.downgrade());
        let message = ToKeeper::RequestPermit(wire_query(number, query));
        if link.messages.try_send(message).is_err() {
            self.give_up_link(partition, link);
            return PermitVerdict::Unreachable;
        }
        let verdict = self
            .await_permit(partition, query, number, grantor, decided)
            .await;
        if matches!(verdict, PermitVerdict::Unreachable) {
            self.give_up_link(partition, link);
        }
        verdict
    }

    async fn request_own_permit(
        self: &Rc<Self>,
        partition: QuotaPartition,
        query: PermitQuery<'_>,
    ) -> PermitVerdict {
        let (number, decided) = self.enter_permit_query(partition, query.replica);
        let message = ToKeeper::RequestPermit(wire_query(number, query));
        self.apply_own_report(partition, message);
        self.await_permit(partition, query, number, Grantor::Own, decided)
            .await
    }

    fn enter_permit_query(
        &self,
        partition: QuotaPartition,
        replica: &Arc<str>,
    ) -> (u64, oneshot::Receiver<ReservationDecision>) {
        let state = &self.partitions[partition.index()];
        let number = state.next_id.get();
        state.next_id.set(number + 1);
        let (answer, decided) = oneshot::channel();
        let pending = PendingQuery {
            answer,
            subject: replica.clone(),
            kind: PendingKind::Permit,
        };
        state.pending.borrow_mut().insert(number, pending);
        (number, decided)
    }

    /// Waits for the decision on a request. After its patience, the keeper is told that the request
    /// waits no longer, and confirms it.
    async fn await_permit(
        self: &Rc<Self>,
        partition: QuotaPartition,
        query: PermitQuery<'_>,
        number: u64,
        grantor: Grantor,
        mut decided: oneshot::Receiver<ReservationDecision>,
    ) -> PermitVerdict {
        let permit = Permit {
            quotas: QuotasRef(self.clone()),
            partition,
            replica: query.replica.clone(),
            number,
            grantor,
            sent_at: Cell::new(None),
            end: Cell::new(Some(PermitEnd::NotSent)),
        };
        let patience = query.request.patience.min(MAX_WAIT);
        let patient_until = self.clock.now() + patience.max(MAX_WAIT / 2);
        let decision = match self.clock.timeout_at(patient_until, &mut decided).await {
            Ok(decision) => Some(decision),
            Err(_) => {
                permit.report_end();
                let lost_at = self.clock.now() + ANSWER_TIMEOUT;
                self.clock.timeout_at(lost_at, decided).await.ok()
            }
        };
        let is_given_up = permit.end.get().is_none();
        match decision {
            Some(Ok(ReservationDecision::Granted { .. })) if is_given_up => PermitVerdict::Refused {
                retry_after: MAX_WAIT,
            },
            Some(Ok(ReservationDecision::Granted { .. })) => PermitVerdict::Granted(permit),
            Some(Ok(ReservationDecision::Refused { retry_after, .. })) => {
                permit.end.set(None);
                PermitVerdict::Refused { retry_after }
            }
            Some(Err(_)) | None => PermitVerdict::Unreachable,
        }
    }

    /// Completes a query. What is granted to a request that has ended is returned.
    pub(super) fn complete_query(&self, partition: QuotaPartition, id: u64, decision: ReservationDecision) {
        let state = &self.partitions[partition.index()];
        let Some(pending) = state.pending.borrow_mut().remove(&id) else {
            return;
        };
        let undelivered = pending.answer.send(decision);
        if matches!(undelivered, Err(ReservationDecision::Granted { .. })) {
            match pending.kind {
                PendingKind::Units(cost) => self.refund(partition, &pending.subject, cost),
                // Its guard has told the keeper that it is not needed.
                PendingKind::Permit => {}
            }
        }
    }
}
