//! The orderer's ledger of one replica: its holdings and the pending order.
//!
//! Safety: at most one order is pending, and each order names the sequence that it
//! expects. An unanswered order may still be executed, but only while the replica is
//! at that sequence, that is, in the state against which the order was checked; any
//! later order that is accepted invalidates it. So an order that was checked to fit
//! the replica's memory fits whenever it is executed.

use std::time::Duration;

use crate::catalog::{AdapterName, ModelName};
use crate::replica::{Holdings, Order, OrderOutcome, ReplicaReport};
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

/// An adapter whose load was accepted, and that should have arrived or arrive soon.
#[derive(Debug, Clone, PartialEq, Eq)]
struct AdapterInTransit {
    model: ModelName,
    adapter: AdapterName,
    expected_at: Moment,
    has_arrived: bool,
}

/// The orderer's ledger of one replica.
#[derive(Debug, Clone)]
pub struct ReplicaLedger {
    config: LedgerConfig,
    holdings: Holdings,
    confirmed: bool,
    pending: Option<Pending>,
    /// Adapters that count as held since their load was accepted, without waiting for
    /// a report, so that the next order may follow at once. They stay here for as long
    /// as reports may lack them.
    in_transit: Vec<AdapterInTransit>,
    busy: bool,
    is_report_requested: bool,
    next_report_at: Moment,
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
            pending: None,
            in_transit: Vec::new(),
            busy: false,
            is_report_requested: false,
            next_report_at: now,
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
        let in_transit = self.in_transit.iter().filter(|adapter| !adapter.has_arrived);
        let may_send = in_transit.count() < self.config.max_adapters_in_transit;
        self.confirmed && self.pending.is_none() && !self.busy && may_send
    }

    /// Returns true if the adapter counts as held, but requests may not rely on it yet.
    pub fn is_in_transit(&self, model: &str, adapter: &str) -> bool {
        self.in_transit
            .iter()
            .filter(|transit| !transit.has_arrived)
            .any(|transit| &*transit.model == model && &*transit.adapter == adapter)
    }

    /// Marks the adapters that should have arrived by now. Returns true if there are any.
    pub fn mark_arrivals(&mut self, now: Moment) -> bool {
        let mut any = false;
        for transit in &mut self.in_transit {
            let arrives = !transit.has_arrived && transit.expected_at <= now;
            transit.has_arrived |= arrives;
            any |= arrives;
        }
        let retention = self.config.report_lag * 2;
        self.in_transit
            .retain(|transit| now.since(transit.expected_at) < retention);
        any
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
        self.end_transit(&order);
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
                self.begin_transit(&pending.order, now + expected_in);
                LedgerChange::Done(pending.order)
            }
            OrderOutcome::Accepted => {
                self.holdings.sequence += 1;
                pending.progress = Progress::Accepted {
                    expected_at: now + expected_in,
                };
                self.next_report_at = now + expected_in.max(self.config.poll_interval);
                self.pending = Some(pending);
                LedgerChange::Holdings
            }
            OrderOutcome::AlreadyHolds => {
                // Unloading an adapter completes at once and counts as an accepted order.
                if matches!(pending.order, Order::UnloadAdapter(..)) {
                    self.holdings.sequence += 1;
                }
                self.apply(&pending.order);
                LedgerChange::Done(pending.order)
            }
            OrderOutcome::Unknown => {
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
        self.next_report_at = now + self.config.poll_interval;
        if self.awaits_answer() {
            return LedgerChange::None;
        }
        if report.holdings.sequence < self.holdings.sequence {
            return LedgerChange::None;
        }
        let before = self.holdings.clone();
        let change = self.update_pending(report, requested_at, now);
        if self.pending.is_none() {
            self.holdings = report.holdings.clone();
            self.reapply_in_transit();
            self.busy = report.busy;
            self.confirmed = true;
            let pause = if report.busy {
                self.config.poll_interval
            } else {
                self.config.idle_poll_interval
            };
            self.next_report_at = now + pause;
        }
        match change {
            LedgerChange::None if self.holdings != before => LedgerChange::Holdings,
            other => other,
        }
    }

    /// Updates the pending order by a report of the same or a later sequence.
    fn update_pending(&mut self, report: &ReplicaReport, requested_at: Moment, now: Moment) -> LedgerChange {
        let Some(mut pending) = self.pending.take() else {
            return LedgerChange::None;
        };
        let advanced = report.holdings.sequence > self.holdings.sequence;
        match pending.progress {
            Progress::Sent => self.pending = Some(pending),
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

    /// Reserves the adapter's slot at once, so that no later order uses it.
    fn begin_transit(&mut self, order: &Order, expected_at: Moment) {
        self.apply(order);
        if let Order::LoadAdapter(model, adapter) = order {
            self.in_transit.push(AdapterInTransit {
                model: model.clone(),
                adapter: adapter.clone(),
                expected_at,
                has_arrived: false,
            });
        }
    }

    /// Adds the adapters in transit to the holdings of a report, which may have been made
    /// before they arrived.
    fn reapply_in_transit(&mut self) {
        for transit in std::mem::take(&mut self.in_transit) {
            self.apply(&Order::LoadAdapter(
                transit.model.clone(),
                transit.adapter.clone(),
            ));
            self.in_transit.push(transit);
        }
    }

    /// Ends the transit of an adapter that is being unloaded.
    fn end_transit(&mut self, order: &Order) {
        if let Order::UnloadAdapter(model, adapter) = order {
            self.in_transit
                .retain(|transit| transit.model != *model || transit.adapter != *adapter);
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
        self.next_report_at = report_at;
    }

    fn apply(&mut self, order: &Order) {
        match order {
            Order::LoadModel(model) => {
                if self.holdings.model(model).is_none() {
                    let held = crate::replica::HeldModel {
                        model: model.clone(),
                        adapters: Vec::new(),
                    };
                    self.holdings.models.push(held);
                }
            }
            Order::UnloadModel(model) => self.holdings.models.retain(|held| held.model != *model),
            Order::LoadAdapter(model, adapter) => {
                let held = self.holdings.models.iter_mut().find(|held| held.model == *model);
                if let Some(held) = held.filter(|held| !held.adapters.contains(adapter)) {
                    held.adapters.push(adapter.clone());
                }
            }
            Order::UnloadAdapter(model, adapter) => {
                if let Some(held) = self.holdings.models.iter_mut().find(|held| held.model == *model) {
                    held.adapters.retain(|present| present != adapter);
                }
            }
        }
    }
}

/// Returns true if a listing names the same models as the ledger.
fn lists_same_models(listed: &Holdings, known: &Holdings) -> bool {
    let names = |model: &crate::replica::HeldModel| known.model(&model.model).is_some();
    listed.models.len() == known.models.len() && listed.models.iter().all(names)
}
