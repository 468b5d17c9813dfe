//! Queries about limits that replicas report.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use croftrill_scheduler::quota::keeper::ReservationDecision;
use croftrill_scheduler::quota::keepers::QuotaPartition;
use croftrill_scheduler::quota::limits::{LimitRequest, ReportedLimit};
use croftrill_scheduler::replica::StartedMs;
use croftrill_scheduler::time::Moment;
use rand::Rng;

use super::partition_keeper::PartitionKeeper;
use super::wire::{ToKeeper, WireLimitQuery};
use super::{Credit, KeeperQuery, Quotas, Uplink, ANSWER_TIMEOUT, LINK_TIMEOUT};

/// Time after its last query for which a node keeps its link to a keeper of limits. A link
/// costs a message per second; a new one delays the next request by a few milliseconds.
const LINK_IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// A query whether a call may go to a replica that reported a limit.
#[derive(Debug, Clone, Copy)]
pub struct LimitQuery<'a> {
    /// The replica.
    pub replica: &'a Arc<str>,
    /// When the incarnation that reported the limit started.
    pub started_ms: Option<StartedMs>,
    /// The limit as this node received it.
    pub limit: ReportedLimit,
    /// The requested reservation.
    pub request: LimitRequest,
    /// Number of nodes that are listed.
    pub nodes: usize,
}

/// Whether a call may go to a replica that reported a limit.
#[derive(Debug)]
pub enum LimitVerdict {
    /// The call may go after this time. Its reservation is refunded unless the credit is
    /// spent; a standalone reservation has no credit.
    Granted(Option<Credit>, Duration),
    /// The replica accepts no more calls now.
    Refused {
        /// Time until the call could be sent, given the calls of all nodes.
        retry_after: Duration,
    },
}

impl KeeperQuery for LimitQuery<'_> {
    fn subject(&self) -> &Arc<str> {
        self.replica
    }

    fn cost(&self) -> u64 {
        1
    }

    fn message(&self, id: u64, now: Moment) -> ToKeeper {
        ToKeeper::ReserveLimit(WireLimitQuery {
            id,
            replica: self.replica.to_string(),
            started_ms: self.started_ms,
            limit_millis_per_s: self.limit.rate.millis_per_s(),
            received_ms_ago: now.since(self.limit.received_at).as_millis() as u64,
            patience_ms: self.request.patience.as_millis() as u32,
            is_urgent: self.request.is_urgent,
        })
    }

    fn reserve_locally(&self, keeper: &mut PartitionKeeper, now: Moment) -> Option<ReservationDecision> {
        let PartitionKeeper::Limits(keeper) = keeper else {
            return None;
        };
        Some(keeper.reserve(self.replica, self.started_ms, self.limit, self.request, now))
    }
}

impl Quotas {
    /// Returns whether a call may go to a replica that reported a limit. If no keeper answers
    /// in the time that the call has, this node's standalone reservations decide.
    pub async fn reserve_limit(self: &Rc<Self>, query: LimitQuery<'_>) -> LimitVerdict {
        let partition = QuotaPartition::of_replica(query.replica);
        self.need_limits(partition);
        let deadline = self.clock.now() + query.request.patience.clamp(ANSWER_TIMEOUT, LINK_TIMEOUT);
        let decision = if self.is_standalone(partition) {
            None
        } else {
            self.query_keeper(partition, &query, deadline).await
        };
        let Some(decision) = decision else {
            return self.standalone_verdict(&query);
        };
        match decision {
            ReservationDecision::Granted { after } => {
                LimitVerdict::Granted(Some(self.granted(partition, &query, after)), after)
            }
            ReservationDecision::Refused { retry_after, .. } => LimitVerdict::Refused { retry_after },
        }
    }

    /// Records that this node needs a keeper of limits now.
    pub(super) fn need_limits(&self, partition: QuotaPartition) {
        let state = &self.partitions[partition.index()];
        state.limit_needed_at.set(Some(self.clock.now()));
        state.limit_needed.notify_one();
    }

    /// Returns true if this node reaches no keeper of the partition and is not its keeper.
    fn is_standalone(&self, partition: QuotaPartition) -> bool {
        let state = &self.partitions[partition.index()];
        matches!(*state.uplink.borrow(), Uplink::Own) && !state.is_keeper.get()
    }

    /// Returns whether this node's standalone reservations admit a call, without asking a keeper.
    pub fn standalone_verdict(&self, query: &LimitQuery<'_>) -> LimitVerdict {
        let unit = rand::rng().random_range(0.0..1.0);
        let mut reservations = self.standalone_reservations.borrow_mut();
        let now = self.clock.now();
        match reservations.reserve(
            query.replica,
            query.limit.rate,
            query.nodes,
            unit,
            query.request.patience,
            now,
        ) {
            ReservationDecision::Granted { after } => LimitVerdict::Granted(None, after),
            ReservationDecision::Refused { retry_after, .. } => LimitVerdict::Refused { retry_after },
        }
    }

    /// Returns true if a recent call needed a limit of the partition.
    pub(super) fn is_limit_needed(&self, partition: QuotaPartition) -> bool {
        let needed_at = self.partitions[partition.index()].limit_needed_at.get();
        needed_at.is_some_and(|needed_at| self.clock.now().since(needed_at) < LINK_IDLE_TIMEOUT)
    }
}
