//! The orderer's ledger of one replica: its holdings, what is on its way to it, and the pending order.
//!
//! Safety: at most one order is pending, and each order names the sequence that it
//! expects. An unanswered order may still be executed, but only while the replica is
//! at that sequence, that is, in the state against which the order was checked; any
//! later order that is accepted invalidates it. So an order that was checked to fit
//! the replica's memory fits whenever it is executed in the same incarnation. Those
//! that may reach a later one are kept in [`crate::unanswered_orders`].
//!
//! What is in transit takes room from its acceptance until a report shows otherwise,
//! however long that takes: only requests rely on the time at which it should arrive.

mod transit;

use std::collections::BTreeSet;
use std::time::Duration;

use self::transit::{RequestedReport, Transits};
use crate::catalog::{EngineSpec, ModelName};
use crate::replica::{Holdings, ModelAdapter, Order, OrderOutcome, ReplicaReport};
use crate::replica_room::RoomUse;
use crate::time::Moment;

/// Timing of the ledger.
#[derive(Debug, Clone, Copy)]
pub struct LedgerConfig {
    /// Maximum age of a report when it arrives.
    pub report_lag: Duration,
    /// Time between requests for reports while an order is pending.
    pub poll_interval: Duration,
    /// Minimum time between requests for reports otherwise.
    pub idle_poll_interval: Duration,
    /// Minimum time after which an order without effect counts as failed.
    pub min_order_timeout: Duration,
    /// Maximum number of adapters that load at a replica at once.
    pub max_adapters_in_transit: usize,
}

impl Default for LedgerConfig {
    fn default() -> Self {
        LedgerConfig {
            report_lag: Duration::from_millis(250),
            poll_interval: Duration::from_millis(60),
            idle_poll_interval: Duration::from_millis(2500),
            min_order_timeout: Duration::from_secs(20),
            max_adapters_in_transit: 4,
        }
    }
}

/// Multiple of its expected duration after which an order counts as failed.
const MAX_ORDER_SLOWDOWN: u32 = 6;

/// Progress of the pending order.
#[derive(Debug, Clone, PartialEq)]
enum Progress {
    /// Sent, but not answered yet.
    Sent,
    /// Accepted; its effect is expected at `expected_at`.
    Accepted { expected_at: Moment },
    /// Ended without an answer at `since`; whether it was accepted is unknown.
    Unknown { since: Moment },
}

#[derive(Debug, Clone, PartialEq)]
struct Pending {
    order: Order,
    sent_at: Moment,
    progress: Progress,
}

/// The orderer's ledger of one replica.
#[derive(Debug, Clone)]
pub struct ReplicaLedger {
    config: LedgerConfig,
    /// What is held or in transit.
    holdings: Holdings,
    confirmed: bool,
    /// Request time from which a report counts even if its sequence is lower than the known one,
    /// which may be wrong.
    correctable_from: Option<Moment>,
    pending: Option<Pending>,
    /// Adapters that count as held since their load was accepted, without waiting for
    /// a report, so that the next order may follow at once.
    in_transit: Transits,
    /// Adapters whose load this ledger saw accepted, and for which no unload was sent since. Nothing but an
    /// order ends them. Of others an earlier unload may be under way, which ends without a step of the
    /// sequence once no request uses them.
    own_adapters: BTreeSet<ModelAdapter>,
    busy: bool,
    is_report_requested: bool,
    next_report_at: Moment,
    last_report_at: Moment,
    /// True if an order depends on the next report.
    is_awaited: bool,
}

/// The effect of an event on a ledger.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LedgerChange {
    /// No change that matters outside the ledger.
    None,
    /// The holdings changed.
    Holdings,
    /// The pending order is done.
    Done(Order),
    /// The pending order was not accepted or had no effect.
    Failed(Order),
}

impl ReplicaLedger {
    /// Creates a ledger from the holdings that the directory lists. A report must
    /// confirm it before the first order.
    pub fn new(config: LedgerConfig, listed: Holdings, now: Moment) -> Self {
        ReplicaLedger {
            config,
            holdings: listed,
            confirmed: false,
            correctable_from: None,
            pending: None,
            in_transit: Transits::default(),
            own_adapters: BTreeSet::new(),
            busy: false,
            is_report_requested: false,
            next_report_at: now,
            last_report_at: Moment::default(),
            is_awaited: false,
        }
    }

    /// Returns the known holdings of the replica.
    pub fn holdings(&self) -> &Holdings {
        &self.holdings
    }

    /// Returns true if a report has confirmed the ledger.
    pub fn is_confirmed(&self) -> bool {
        self.confirmed
    }

    /// Returns true if the last report said that an order about weights is in progress.
    pub fn is_busy(&self) -> bool {
        self.busy
    }

    /// Returns true if an order may be sent now.
    pub fn is_idle(&self) -> bool {
        self.confirmed && self.pending.is_none() && !self.busy
    }

    /// Returns true if one more adapter may be in transit to the replica.
    pub fn may_load_adapter(&self) -> bool {
        self.in_transit.len() < self.config.max_adapters_in_transit
    }

    /// Returns true if the adapter counts as held, but requests may not rely on it yet.
    pub fn is_in_transit(&self, model: &str, adapter: &str) -> bool {
        self.in_transit
            .get(model, adapter)
            .is_some_and(|transit| !transit.is_usable())
    }

    /// Returns true if a report has shown the adapter as present, so that it can be unloaded.
    pub fn is_present(&self, model: &str, adapter: &str) -> bool {
        self.holdings.serves(model, Some(adapter)) && self.in_transit.get(model, adapter).is_none()
    }

    /// Marks the adapters that should have arrived by now. Returns true if there are any.
    pub fn mark_arrivals(&mut self, now: Moment) -> bool {
        self.in_transit.mark_arrivals(now)
    }

    /// Returns what is known to take room: what is held or in transit, and the pending order.
    pub fn room_use(&self, engine: &EngineSpec) -> RoomUse {
        let pending = self.pending().map(|order| RoomUse::of_order(engine, order));
        RoomUse::of(engine, &self.holdings, self.in_transit.adapters()) + pending.unwrap_or_default()
    }

    /// Returns the pending order.
    pub fn pending(&self) -> Option<&Order> {
        self.pending.as_ref().map(|pending| &pending.order)
    }

    /// Returns the model that is being loaded and when its load should end.
    pub fn loading(&self) -> Option<(&ModelName, Moment)> {
        match self.pending.as_ref()? {
            Pending {
                order: Order::LoadModel(model),
                progress: Progress::Accepted { expected_at },
                ..
            } => Some((model, *expected_at)),
            _ => None,
        }
    }

    /// Applies the holdings that the directory lists. A listing may be older than an
    /// order, so it is used only until a report has confirmed the ledger.
    pub fn apply_listing(&mut self, listed: &Holdings) -> LedgerChange {
        if self.confirmed && self.pending.is_none() && !lists_same_models(listed, &self.holdings) {
            // One of the two is outdated; a report from the replica shows which.
            self.next_report_at = Moment::default();
        }
        if self.confirmed || self.pending.is_some() || *listed == self.holdings {
            return LedgerChange::None;
        }
        self.holdings = listed.clone();
        LedgerChange::Holdings
    }

    /// Records that an order is being sent. Returns the sequence that the order must name.
    pub fn begin_order(&mut self, order: Order, now: Moment) -> u64 {
        self.pending = Some(Pending {
            order,
            sent_at: now,
            progress: Progress::Sent,
        });
        self.holdings.sequence
    }

    /// Records the outcome of the pending order. `expected_in` is the time until its
    /// effect if it was accepted.
    pub fn record_outcome(
        &mut self,
        outcome: OrderOutcome,
        expected_in: Duration,
        now: Moment,
    ) -> LedgerChange {
        let Some(mut pending) = self.pending.take() else {
            return LedgerChange::None;
        };
        match outcome {
            OrderOutcome::Accepted if matches!(pending.order, Order::LoadAdapter(..)) => {
                self.holdings.sequence += 1;
                self.own_adapters.extend(pending.order.model_adapter());
                self.begin_transit(&pending.order, now + expected_in, now);
                LedgerChange::Done(pending.order)
            }
            OrderOutcome::Accepted => {
                self.holdings.sequence += 1;
                self.forget_own_adapter(&pending.order);
                pending.progress = Progress::Accepted {
                    expected_at: now + expected_in,
                };
                self.next_report_at = now + expected_in.max(self.config.poll_interval);
                self.pending = Some(pending);
                LedgerChange::Holdings
            }
            OrderOutcome::AlreadyHolds => {
                self.complete_at_once(&pending.order, now);
                LedgerChange::Done(pending.order)
            }
            OrderOutcome::Unknown => {
                self.forget_own_adapter(&pending.order);
                pending.progress = Progress::Unknown { since: now };
                self.next_report_at = now + self.config.report_lag;
                self.pending = Some(pending);
                LedgerChange::None
            }
            OrderOutcome::Conflict | OrderOutcome::Fenced | OrderOutcome::Rejected => {
                self.require_report(now + self.config.report_lag);
                LedgerChange::Failed(pending.order)
            }
            OrderOutcome::OtherIncarnation => {
                self.require_report(now + self.config.idle_poll_interval);
                LedgerChange::Failed(pending.order)
            }
        }
    }

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
    fn await_arrivals_if_needed(&mut self) {
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

    /// Counts the adapter at once, so that no later order uses its room.
    fn begin_transit(&mut self, order: &Order, expected_at: Moment, now: Moment) {
        self.apply(order);
        if let Some(adapter) = order.model_adapter() {
            self.in_transit
                .begin(adapter, self.holdings.sequence, expected_at, now);
        }
        self.await_arrivals_if_needed();
    }

    /// Applies an order whose effect the replica had or reached at once.
    fn complete_at_once(&mut self, order: &Order, now: Moment) {
        match order {
            Order::UnloadAdapter(..) => self.complete_adapter_unload(order, now),
            Order::LoadAdapter(..) => self.begin_transit(order, now, now),
            Order::LoadModel(_) | Order::UnloadModel(_) => self.apply(order),
        }
    }

    /// Applies an unload of an adapter that was done at once. The replica counts a step of the sequence only
    /// if it had the adapter, and the sequence must never be ahead of the replica's: an order that names a
    /// later one could be carried out in a state against which it was not checked.
    fn complete_adapter_unload(&mut self, order: &Order, now: Moment) {
        let next_sequence = self.holdings.sequence + 1;
        let is_in_transit = self.in_transit.note_unload(order, next_sequence);
        let was_present = self.forget_own_adapter(order) && !is_in_transit;
        if was_present {
            self.holdings.sequence = next_sequence;
        } else {
            self.require_report(now + self.config.report_lag);
        }
        if !is_in_transit {
            self.apply(order);
        }
    }

    /// Forgets that the adapter of an unload is one of this ledger's own. Returns true if it was.
    fn forget_own_adapter(&mut self, order: &Order) -> bool {
        match order {
            Order::UnloadAdapter(..) => order
                .model_adapter()
                .is_some_and(|adapter| self.own_adapters.remove(&adapter)),
            Order::UnloadModel(model) => {
                self.own_adapters.retain(|adapter| adapter.model != *model);
                false
            }
            Order::LoadModel(_) | Order::LoadAdapter(..) => false,
        }
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

    fn require_report(&mut self, report_at: Moment) {
        self.confirmed = false;
        self.correctable_from = Some(report_at);
        self.next_report_at = report_at;
    }

    fn apply(&mut self, order: &Order) {
        order.apply_to(&mut self.holdings);
    }
}

/// Returns true if a listing names the same models as the ledger.
fn lists_same_models(listed: &Holdings, known: &Holdings) -> bool {
    let names = |model: &crate::replica::HeldModel| known.model(&model.model).is_some();
    listed.models.len() == known.models.len() && listed.models.iter().all(names)
}
