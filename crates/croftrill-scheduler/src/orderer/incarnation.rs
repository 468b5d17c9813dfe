//! Handling of replicas that restart under the same id.

use crate::capacity::Capacity;
use crate::placement::{ControlCalls, TrackedReplica};
use crate::replica::{Incarnation, OrderOutcome, ReplicaReport, StartedMs};
use crate::replica_ledger::ReplicaLedger;
use crate::time::Moment;

use super::Orderer;

impl Orderer {
    /// Compares the incarnation that a message is about with the known one of the replica.
    pub(super) fn incarnation(&self, id: &str, reported: Option<StartedMs>) -> Incarnation {
        let known = self.replicas.get(id);
        known.map_or(Incarnation::Same, |known| {
            Incarnation::of(reported, known.started_ms)
        })
    }

    /// Resets the state of a replica that restarted under the same id. The known holdings
    /// and pending orders are lost, and its order sequence starts over.
    fn reset_restarted(&mut self, id: &str, started_ms: Option<StartedMs>, now: Moment) {
        let Some((id, former)) = self.replicas.remove(id) else {
            return;
        };
        self.store_loads.remove(&id);
        self.published.remove(&id);
        self.changed.insert(id.clone());
        let replica = TrackedReplica {
            state: former.state,
            service: former.service,
            started_ms,
            ledger: ReplicaLedger::new(self.config.ledger, Default::default(), now),
            unanswered: former.unanswered,
            goal: None,
            withdrawn: None,
            loaded_at: Default::default(),
            adapters_loaded_at: Default::default(),
            is_blocked_by_predecessor: former.is_blocked_by_predecessor,
            ordered_by: former.ordered_by,
            // It told of its restart.
            is_out_of_reach: false,
            control_calls: ControlCalls::Free,
            listed_slots: former.listed_slots,
            capacity: Capacity::default(),
        };
        self.replicas.insert(id.clone(), replica);
        self.assume_unknown_orders(&id, true);
    }

    /// Records the outcome of an order that was sent to the incarnation started at
    /// `started_ms`. It has no effect on the ledger of a later incarnation.
    pub fn record_order_outcome_from(
        &mut self,
        id: &str,
        started_ms: Option<StartedMs>,
        outcome: OrderOutcome,
        now: Moment,
    ) {
        let is_answered = outcome != OrderOutcome::Unknown;
        self.history.record_ended(&id.into(), is_answered, now);
        self.record_answer(id, started_ms, outcome);
        if self.incarnation(id, started_ms) == Incarnation::Same {
            self.apply_order_outcome(id, outcome, now);
        }
    }

    /// Returns the start time of a replica's current incarnation, if it reports one.
    pub fn started_ms(&self, id: &str) -> Option<StartedMs> {
        self.replicas.get(id).and_then(|replica| replica.started_ms)
    }

    /// Applies a replica's report that was requested at `requested_at`; `None` if it did not
    /// arrive.
    pub fn record_report(
        &mut self,
        id: &str,
        report: Option<&ReplicaReport>,
        requested_at: Moment,
        now: Moment,
    ) {
        let reported = report.and_then(|report| report.started_ms);
        match self.incarnation(id, reported) {
            Incarnation::Same => {
                // The listing may lack the start time.
                if let Some(replica) = self.replicas.get_mut(id) {
                    let is_start_new = replica.started_ms.is_none();
                    replica.started_ms = replica.started_ms.or(reported);
                    if is_start_new {
                        self.assume_unknown_orders(id, false);
                    }
                }
            }
            Incarnation::Earlier => return self.apply_report(id, None, requested_at, now),
            Incarnation::Later => self.reset_restarted(id, reported, now),
        }
        self.apply_report(id, report, requested_at, now);
    }
}
