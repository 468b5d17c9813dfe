//! Replicas that start again under their identity: what is over, and what begins anew.

use crate::capacity::Capacity;
use crate::placement::{ControlCalls, TrackedReplica};
use crate::replica::{Incarnation, OrderOutcome, ReplicaReport, StartedMs};
use crate::replica_ledger::ReplicaLedger;
use crate::time::Moment;

use super::Orderer;

impl Orderer {
    /// What an account of a replica is to what is known of it.
    pub(super) fn incarnation(&self, id: &str, told: Option<StartedMs>) -> Incarnation {
        let known = self.replicas.get(id);
        known.map_or(Incarnation::Same, |known| Incarnation::of(told, known.started_ms))
    }

    /// A replica started again under its identity: it holds nothing that was known of
    /// it, no order to it counts, and its count of orders began anew.
    fn started_again(&mut self, id: &str, started_ms: Option<StartedMs>, now: Moment) {
        let Some((id, former)) = self.replicas.remove(id) else {
            return;
        };
        self.store_loads.remove(&id);
        self.told.remove(&id);
        self.changed.insert(id.clone());
        let anew = TrackedReplica {
            state: former.state,
            service: former.service,
            started_ms,
            ledger: ReplicaLedger::new(self.config.ledger, Default::default(), now),
            goal: None,
            withdrawn: None,
            loaded_at: Default::default(),
            adapters_loaded_at: Default::default(),
            is_blocked_by_predecessor: former.is_blocked_by_predecessor,
            ordered_by: former.ordered_by,
            control_calls: ControlCalls::Free,
            listed_slots: former.listed_slots,
            capacity: Capacity::default(),
        };
        self.replicas.insert(id, anew);
    }

    /// An order that went to the incarnation born then was answered: the answer says
    /// nothing of a later one.
    pub fn order_answered_by(
        &mut self,
        id: &str,
        started_ms: Option<StartedMs>,
        outcome: OrderOutcome,
        now: Moment,
    ) {
        if self.incarnation(id, started_ms) == Incarnation::Same {
            self.order_answered(id, outcome, now);
        } else {
            let is_answered = outcome != OrderOutcome::Unknown;
            self.history.record_ended(&id.into(), is_answered, now);
        }
    }

    /// When the present incarnation of a replica started, if it tells.
    pub fn started_ms(&self, id: &str) -> Option<StartedMs> {
        self.replicas.get(id).and_then(|replica| replica.started_ms)
    }

    /// A replica reported, or did not.
    pub fn reported(&mut self, id: &str, report: Option<&ReplicaReport>, asked_at: Moment, now: Moment) {
        let told = report.and_then(|report| report.started_ms);
        match self.incarnation(id, told) {
            Incarnation::Same => {
                // Its listing may not tell.
                if let Some(replica) = self.replicas.get_mut(id) {
                    replica.started_ms = replica.started_ms.or(told);
                }
            }
            Incarnation::Earlier => return self.take_report(id, None, asked_at, now),
            Incarnation::Later => self.started_again(id, told, now),
        }
        self.take_report(id, report, asked_at, now);
    }
}
