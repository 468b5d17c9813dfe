//! Effects of orders' outcomes and of reports on what the orderer knows.

use std::time::Duration;

use crate::catalog::ServiceName;
use crate::demand::ModelKey;
use crate::placement::load_time;
use crate::replica::{Order, OrderOutcome, ReplicaId, ReplicaReport};
use crate::replica_ledger::LedgerChange;
use crate::replica_room::RoomUse;
use crate::time::Moment;

use super::{Decision, Orderer};

impl Orderer {
    /// Records the outcome of the order under way at a replica.
    pub fn record_order_outcome(&mut self, id: &str, outcome: OrderOutcome, now: Moment) {
        self.record_order_outcome_from(id, self.started_ms(id), outcome, now);
    }

    /// Applies the outcome of the order under way to the replica's ledger.
    pub(super) fn apply_order_outcome(&mut self, id: &str, outcome: OrderOutcome, now: Moment) {
        let expected_in = self.expected_order_duration(id);
        let Some(replica) = self.replicas.get_mut(id) else {
            return;
        };
        let change = replica.ledger.record_outcome(outcome, expected_in, now);
        self.apply_ledger_change(id, change, now);
    }

    /// Applies a report that was requested at `requested_at`; `None` if it did not arrive.
    pub(super) fn apply_report(
        &mut self,
        id: &str,
        report: Option<&ReplicaReport>,
        requested_at: Moment,
        now: Moment,
    ) {
        if let Some(report) = report {
            self.note_uncounted_room(id, report);
        }
        let Some(replica) = self.replicas.get_mut(id) else {
            return;
        };
        let change = match report {
            Some(report) => replica.ledger.apply_report(report, requested_at, now),
            None => {
                replica.ledger.record_report_failure(now);
                LedgerChange::None
            }
        };
        self.apply_ledger_change(id, change, now);
    }

    /// Updates the orderer's state after a replica's ledger changed.
    fn apply_ledger_change(&mut self, id: &str, change: LedgerChange, now: Moment) {
        let Some((id, replica)) = self.replicas.get_key_value(id) else {
            return;
        };
        let (id, service) = (id.clone(), replica.service.clone());
        match &change {
            LedgerChange::None => return,
            LedgerChange::Holdings => {}
            LedgerChange::Done(order) => self.record_order_done(&id, &service, order, now),
            LedgerChange::Failed(_) => self.record_store_load_ended(&id, &service, None, now),
        }
        self.changed.insert(id);
    }

    fn record_order_done(&mut self, id: &ReplicaId, service: &ServiceName, order: &Order, now: Moment) {
        match order {
            Order::LoadModel(model) => {
                let key = ModelKey {
                    service: service.clone(),
                    model: model.clone(),
                    adapter: None,
                };
                self.demand.clear_waiting(&key);
                self.record_store_load_ended(id, service, Some(model), now);
                self.drop_goal(id);
                if let Some(replica) = self.replicas.get_mut(id) {
                    replica.loaded_at.insert(model.clone(), now);
                }
            }
            Order::LoadAdapter(model, adapter) => {
                if let Some(replica) = self.replicas.get_mut(id) {
                    let loaded = (model.clone(), adapter.clone());
                    replica.adapters_loaded_at.insert(loaded, now);
                }
                let adapter = Some(adapter.clone());
                let key = ModelKey {
                    service: service.clone(),
                    model: model.clone(),
                    adapter,
                };
                self.demand.clear_waiting(&key);
            }
            Order::UnloadModel(_) => {
                if let Some(replica) = self.replicas.get_mut(id) {
                    replica.withdrawn = None;
                }
            }
            Order::UnloadAdapter(..) => {}
        }
    }

    /// Records a decision if a report shows more at a replica than is counted there.
    fn note_uncounted_room(&mut self, id: &str, report: &ReplicaReport) {
        let (Some(replica), Some(counted)) = (self.replicas.get(id), self.room_use(id)) else {
            return;
        };
        let engine = self.configuration.service(&replica.service);
        let Some(engine) = engine.and_then(|service| service.engine.as_ref()) else {
            return;
        };
        let in_transit = report.in_transit.as_deref().unwrap_or_default();
        let reported = RoomUse::of(engine, &report.holdings, in_transit);
        let is_same_state = report.holdings.sequence == replica.ledger.holdings().sequence;
        let is_more =
            reported.adapter_slots > counted.adapter_slots || reported.memory_mb > counted.memory_mb;
        // While a predecessor's order is under way, its effect is not known yet, and nothing is ordered.
        let is_known = replica.ledger.is_confirmed() && !replica.ledger.is_busy();
        if is_known && is_same_state && is_more {
            let decision = Decision::UncountedRoom {
                replica: id.into(),
                sequence: report.holdings.sequence,
                reported,
                counted,
                in_transit: in_transit.len(),
            };
            self.decisions.push(decision);
        }
    }

    /// Returns the expected duration of the order under way at a replica.
    fn expected_order_duration(&self, id: &str) -> Duration {
        let Some(replica) = self.replicas.get(id) else {
            return Duration::ZERO;
        };
        let engine = self
            .configuration
            .service(&replica.service)
            .and_then(|service| service.engine.as_ref());
        match (replica.ledger.pending(), engine) {
            (Some(Order::LoadModel(model)), Some(engine)) => {
                load_time(engine, replica.ledger.holdings(), model).unwrap_or(self.config.unload)
            }
            (Some(Order::UnloadModel(_)), _) => self.config.unload,
            _ => self.config.adapter_load,
        }
    }
}
