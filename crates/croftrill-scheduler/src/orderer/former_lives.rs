//! Orders to former lives of replicas, which may be carried out in the present one.

use crate::replica::{OrderOutcome, ReplicaId};
use crate::time::Moment;
use crate::unanswered_orders::{Life, UnansweredOrders, UNANSWERED_ORDER_LIFETIME};

use super::Orderer;

impl Orderer {
    /// Keeps the orders of a replica that is not listed any more, as it may be listed again.
    pub(super) fn keep_unanswered(&mut self, id: ReplicaId, unanswered: UnansweredOrders) {
        if !unanswered.is_empty() {
            self.absent_orders.insert(id, unanswered);
        }
    }

    /// Records the outcome of an order that was sent to a life of a replica.
    pub(super) fn record_answer(&mut self, id: &str, life: Life, outcome: OrderOutcome) {
        let unanswered = match self.replicas.get_mut_unindexed(id) {
            Some(replica) => Some(&mut replica.unanswered),
            None => self.absent_orders.get_mut(id),
        };
        if let Some(unanswered) = unanswered {
            unanswered.record_outcome(life, outcome);
        }
    }

    /// Assumes orders of other machines to a former life of a replica, if they may reach the present one:
    /// this orderer knows only its own. `has_former_life` is true if one is known.
    pub(super) fn assume_unknown_orders(&mut self, id: &str, has_former_life: bool) {
        let Some(others) = self.config.others_orders else {
            return;
        };
        let until = self.took_over_at + UNANSWERED_ORDER_LIFETIME;
        let Some(replica) = self.replicas.get_mut_unindexed(id) else {
            return;
        };
        let started_ms = replica.started_ms;
        if started_ms.is_some_and(|started_ms| others.may_reach(started_ms, has_former_life)) {
            replica.unanswered.assume_unknown_until(until);
            self.with_unanswered.insert(id.into());
        }
    }

    /// Forgets orders that can have no effect any more.
    pub(super) fn prune_unanswered(&mut self, now: Moment) {
        let replicas = &mut self.replicas;
        self.with_unanswered.retain(|id| {
            let Some(replica) = replicas.get_mut_unindexed(id) else {
                return false;
            };
            replica.unanswered.prune(now);
            !replica.unanswered.is_empty()
        });
        self.absent_orders.retain(|_, unanswered| {
            unanswered.prune(now);
            !unanswered.is_empty()
        });
    }
}
