//! The orderer's ledger of one replica: its holdings, what is on its way to it, and the pending order.
//!
//! Safety: at most one order is pending, and each order names the sequence that it
//! expects, which the replica has surely reached. An unanswered order may still be executed, but only while the replica is
//! at that sequence, that is, in the state against which the order was checked; any
//! later order that is accepted invalidates it. So an order that was checked to fit
//! the replica's memory fits whenever it is executed in the same incarnation. Those
//! that may reach a later one are kept in [`crate::unanswered_orders`].
//!
//! What is in transit takes room from its acceptance until a report shows otherwise,
//! however long that takes: only requests rely on the time at which it should arrive.

mod orders;
mod reports;
mod transit;

use std::collections::BTreeSet;
use std::time::Duration;

use self::transit::Transits;
use crate::catalog::{EngineSpec, ModelName};
use crate::replica::{Holdings, ModelAdapter, Order};
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

    fn apply(&mut self, order: &Order) {
        order.apply_to(&mut self.holdings);
    }
}

/// Returns true if a listing names the same models as the ledger.
fn lists_same_models(listed: &Holdings, known: &Holdings) -> bool {
    let names = |model: &crate::replica::HeldModel| known.model(&model.model).is_some();
    listed.models.len() == known.models.len() && listed.models.iter().all(names)
}
