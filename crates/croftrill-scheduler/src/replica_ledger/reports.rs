//! Reports of the replica: when they are requested, and what they change.

use std::time::Duration;

use super::transit::RequestedReport;
use super::{LedgerChange, Pending, Progress, ReplicaLedger};
use crate::replica::{ModelAdapter, Order, ReplicaReport};
use crate::time::Moment;

/// Multiple of its expected duration after which an order counts as failed.
const MAX_ORDER_SLOWDOWN: u32 = 6;

impl ReplicaLedger {
    /// Returns since when a report has been due, if one should be requested now.
    pub fn report_due(&self, now: Moment) -> Option<Moment> {
        let is_due = !self.is_report_requested && now >= self.next_report_at && !self.awaits_answer();
        is_due.then_some(self.next_report_at)
    }

    /// Returns true if an order depends on the next report. Otherwise the report only
    /// shows changes that no order caused.
    pub fn is_report_awaited(&self) -> bool {
        self.is_awaited || self.pending.is_some() || self.busy
    }

    /// Notes that an order will follow as soon as a report has confirmed the ledger.
    pub fn await_confirmation(&mut self, now: Moment) {
        if !self.confirmed && !self.is_awaited {
            self.is_awaited = true;
            self.next_report_at = self.next_report_at.min(now);
        }
    }

    /// Notes that an order will follow as soon as a report has shown adapters in transit as present.
    pub fn await_arrivals(&mut self) {
        let Some(arrives_at) = self.in_transit.first_arrival() else {
            return;
        };
        let interval = if self.in_transit.any_awaits_report() {
            self.config.report_lag
        } else {
            self.config.poll_interval
        };
        let report_at = arrives_at.max(self.last_report_at) + interval;
        self.is_awaited = true;
        self.next_report_at = self.next_report_at.min(report_at);
    }

    /// Records that a report is being requested.
    pub fn record_report_request(&mut self) {
        self.is_report_requested = true;
        self.is_awaited = false;
    }

    /// Records that the requested report did not arrive.
    pub fn record_report_failure(&mut self, now: Moment) {
        self.is_report_requested = false;
        self.next_report_at = now + self.config.report_lag;
    }

    /// Applies a report that was requested at `requested_at`.
    pub fn apply_report(
        &mut self,
        report: &ReplicaReport,
        requested_at: Moment,
        now: Moment,
    ) -> LedgerChange {
        self.is_report_requested = false;
        self.last_report_at = now;
        self.next_report_at = now + self.config.poll_interval;
        if self.awaits_answer() {
            return LedgerChange::None;
        }
        let before = (self.holdings.clone(), self.in_transit.unusable());
        let change = self.apply_settled_report(report, requested_at, now);
        self.await_arrivals_if_needed();
        match change {
            LedgerChange::None if before != (self.holdings.clone(), self.in_transit.unusable()) => {
                LedgerChange::Holdings
            }
            other => other,
        }
    }

    fn apply_settled_report(
        &mut self,
        report: &ReplicaReport,
        requested_at: Moment,
        now: Moment,
    ) -> LedgerChange {
        if report.holdings.sequence < self.holdings.sequence && !self.is_corrected_by(requested_at) {
            self.in_transit
                .mark_present(self.requested_report(report, requested_at));
            return LedgerChange::None;
        }
        let change = self.update_pending(report, requested_at, now);
        if self.pending.is_none() {
            self.adopt(report, requested_at, now);
        }
        change
    }

    /// Returns true if a report requested then counts although its sequence is lower. A report that is
    /// older than it should be does no harm: the next order names its sequence, and is a conflict.
    fn is_corrected_by(&self, requested_at: Moment) -> bool {
        let unanswered_since = match &self.pending {
            Some(Pending {
                progress: Progress::Unknown { since },
                ..
            }) => Some(*since + self.config.report_lag),
            _ => None,
        };
        let correctable_from = self.correctable_from.filter(|_| self.pending.is_none());
        correctable_from
            .or(unanswered_since)
            .is_some_and(|from| requested_at >= from)
    }

    fn requested_report<'r>(&self, report: &'r ReplicaReport, requested_at: Moment) -> RequestedReport<'r> {
        RequestedReport {
            report,
            requested_at,
            lag: self.config.report_lag,
        }
    }

    /// Asks for a report if an order or requests wait for adapters in transit.
    pub(super) fn await_arrivals_if_needed(&mut self) {
        if !self.may_load_adapter() || self.in_transit.any_awaits_report() {
            self.await_arrivals();
        }
    }

    /// Replaces what is known by a report.
    fn adopt(&mut self, report: &ReplicaReport, requested_at: Moment, now: Moment) {
        self.holdings = report.holdings.clone();
        let requested = self.requested_report(report, requested_at);
        self.in_transit.update(requested, now, &self.config);
        for ModelAdapter { model, adapter } in self.in_transit.adapters() {
            Order::LoadAdapter(model.clone(), adapter.clone()).apply_to(&mut self.holdings);
        }
        let holdings = &self.holdings;
        self.own_adapters
            .retain(|adapter| holdings.serves(&adapter.model, Some(&adapter.adapter)));
        self.busy = report.busy;
        self.confirmed = true;
        self.correctable_from = None;
        let pause = if report.busy {
            self.config.poll_interval
        } else {
            self.config.idle_poll_interval
        };
        self.next_report_at = now + pause;
    }

    /// Updates the pending order by a report of the same or a later sequence.
    fn update_pending(&mut self, report: &ReplicaReport, requested_at: Moment, now: Moment) -> LedgerChange {
        let Some(mut pending) = self.pending.take() else {
            return LedgerChange::None;
        };
        let advanced = report.holdings.sequence > self.holdings.sequence;
        match pending.progress {
            Progress::Sent => self.pending = Some(pending),
            Progress::Unknown { .. } if advanced && matches!(pending.order, Order::LoadAdapter(..)) => {
                return self.settle_adapter_load(pending.order, report, now);
            }
            Progress::Unknown { since } if advanced => {
                self.holdings.sequence = report.holdings.sequence;
                pending.progress = Progress::Accepted { expected_at: since };
                self.pending = Some(pending);
                return self.update_pending(report, requested_at, now);
            }
            Progress::Unknown { since } => {
                // The order had not been accepted when the report was made. It may still
                // be executed, but only in the state against which it was checked.
                if requested_at.since(since) >= self.config.report_lag {
                    return LedgerChange::Failed(pending.order);
                }
                self.pending = Some(pending);
            }
            Progress::Accepted { .. } => {
                if pending.order.holds_in(&report.holdings) && !(pending.order.is_weights() && report.busy) {
                    return LedgerChange::Done(pending.order);
                }
                let requested_after_acceptance =
                    requested_at.since(pending.sent_at) >= self.config.report_lag * 2;
                let ended = pending.order.is_weights() && !report.busy && requested_after_acceptance;
                if ended || now.since(pending.sent_at) >= self.order_timeout(&pending) {
                    return LedgerChange::Failed(pending.order);
                }
                self.pending = Some(pending);
            }
        }
        LedgerChange::None
    }

    /// Returns the time after which an accepted order counts as failed. It allows for
    /// loads that share the weight store, which take longer than they would alone.
    fn order_timeout(&self, pending: &Pending) -> Duration {
        let expected = match pending.progress {
            Progress::Accepted { expected_at } => expected_at.since(pending.sent_at),
            Progress::Sent | Progress::Unknown { .. } => Duration::ZERO,
        };
        self.config.min_order_timeout.max(expected * MAX_ORDER_SLOWDOWN)
    }

    /// Settles an unanswered load of an adapter by a report of a later sequence: the replica took this
    /// order or another one.
    fn settle_adapter_load(&mut self, order: Order, report: &ReplicaReport, now: Moment) -> LedgerChange {
        let Order::LoadAdapter(model, adapter) = &order else {
            return LedgerChange::None;
        };
        let is_in_transit = match &report.in_transit {
            Some(told) => told
                .iter()
                .any(|told| told.model == *model && told.adapter == *adapter),
            // It may be.
            None => true,
        };
        if order.holds_in(&report.holdings) {
            return LedgerChange::Done(order);
        }
        if !is_in_transit {
            return LedgerChange::Failed(order);
        }
        self.holdings.sequence = report.holdings.sequence;
        self.begin_transit(&order, now, now);
        LedgerChange::Done(order)
    }

    fn awaits_answer(&self) -> bool {
        matches!(
            &self.pending,
            Some(Pending {
                progress: Progress::Sent,
                ..
            })
        )
    }

    pub(super) fn require_report(&mut self, report_at: Moment) {
        self.confirmed = false;
        self.correctable_from = Some(report_at);
        self.next_report_at = report_at;
    }
}
