//! Selection of the replicas to request reports from.
//!
//! Reports that an order depends on are requested at once. Routine reports show what changed
//! at a replica without orders, which its listing also shows a heartbeat later. They are
//! requested at a limited rate, the longest overdue first, so that an orderer's work does not
//! grow with the number of its replicas.

use crate::demand::ModelKey;
use crate::placement::{ControlCalls, OrderedBy};
use crate::replica::ReplicaId;
use crate::time::Moment;

use super::{Orderer, OrdererAction};

/// Rate of routine reports: that of 60 replicas with one report every 2.5 s each. A report
/// takes about 100 us of an orderer and, in a fleet of thousands of replicas, a connection.
const ROUTINE_REPORTS_PER_SECOND: f64 = 24.0;
/// Maximum number of routine reports requested at once, as at the start of a term.
const MAX_ROUTINE_REPORT_BURST: f64 = 64.0;

/// Token bucket that limits the rate of routine reports.
#[derive(Debug)]
pub(super) struct RoutineReports {
    tokens: f64,
    refilled_at: Moment,
}

impl RoutineReports {
    pub(super) fn new(now: Moment) -> Self {
        RoutineReports {
            tokens: MAX_ROUTINE_REPORT_BURST,
            refilled_at: now,
        }
    }

    /// Refills the bucket and returns the number of reports that may be requested now.
    fn available(&mut self, now: Moment) -> usize {
        let gained = now.since(self.refilled_at).as_secs_f64() * ROUTINE_REPORTS_PER_SECOND;
        self.tokens = (self.tokens + gained).min(MAX_ROUTINE_REPORT_BURST);
        self.refilled_at = now;
        self.tokens as usize
    }

    fn consume(&mut self, count: usize) {
        self.tokens -= count as f64;
    }
}

impl Orderer {
    /// Requests the reports that are due, and marks the adapters that should have arrived.
    pub(super) fn request_reports(&mut self, now: Moment) -> Vec<OrdererAction> {
        let mut awaited: Vec<ReplicaId> = Vec::new();
        let mut routine: Vec<(Moment, ReplicaId)> = Vec::new();
        for (id, replica) in self.replicas.iter_mut_unindexed() {
            if replica.ordered_by != OrderedBy::ThisOrderer {
                continue;
            }
            replica.is_blocked_by_predecessor = !self.history.permits(id, now);
            if replica.ledger.mark_arrivals(now) {
                self.changed.insert(id.clone());
            }
            if replica.control_calls == ControlCalls::Paused {
                continue;
            }
            match replica.ledger.report_due(now) {
                None => {}
                Some(_) if replica.ledger.is_report_awaited() => awaited.push(id.clone()),
                Some(due) => routine.push((due, id.clone())),
            }
        }
        let allowed = self.routine_reports.available(now).min(routine.len());
        routine.sort_unstable();
        routine.truncate(allowed);
        self.routine_reports.consume(allowed);
        let awaited = awaited.into_iter().map(|id| (id, true));
        let routine = routine.into_iter().map(|(_, id)| (id, false));
        let actions: Vec<OrdererAction> = awaited
            .chain(routine)
            .map(|(replica, is_awaited)| OrdererAction::RequestReport { replica, is_awaited })
            .collect();
        for action in &actions {
            if let OrdererAction::RequestReport { replica, .. } = action {
                if let Some(replica) = self.replicas.get_mut(replica) {
                    replica.ledger.record_report_request();
                }
            }
        }
        actions
    }

    /// Notes that an order will be sent to this replica once a report shows an adapter in transit there
    /// as present.
    pub(super) fn await_arrivals(&mut self, id: &str) {
        if let Some(replica) = self.replicas.get_mut_unindexed(id) {
            replica.ledger.await_arrivals();
        }
    }

    /// Requests reports from the replicas to which the adapter is in transit.
    pub(super) fn await_arrivals_of(&mut self, key: &ModelKey) {
        let Some(adapter) = &key.adapter else {
            return;
        };
        let fleet = self.replicas.fleet(&key.service);
        let holders: Vec<ReplicaId> = fleet.current_holders(&key.model).cloned().collect();
        drop(fleet);
        for id in holders {
            if let Some(replica) = self.replicas.get_mut_unindexed(&id) {
                let ledger = &mut replica.ledger;
                let is_own = replica.ordered_by == OrderedBy::ThisOrderer;
                if is_own
                    && ledger.holdings().serves(&key.model, Some(adapter))
                    && !ledger.is_present(&key.model, adapter)
                {
                    ledger.await_arrivals();
                }
            }
        }
    }

    /// Notes that an order will be sent to this replica once a report confirms its ledger.
    pub(super) fn await_confirmation(&mut self, id: &str, now: Moment) {
        if let Some(replica) = self.replicas.get_mut(id) {
            if replica.ordered_by == OrderedBy::ThisOrderer {
                replica.ledger.await_confirmation(now);
            }
        }
    }
}
