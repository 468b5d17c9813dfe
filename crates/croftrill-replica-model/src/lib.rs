//! A model replica as a state machine: what it holds, the orders that it carries out, and its room.
//!
//! It has no clock, network or randomness of its own. Stand-ins, the emulator and tests put these
//! around it, so that all of them have the same idea of a replica.

mod holdings;
mod room;
mod uses;

use std::collections::VecDeque;
use std::time::Duration;

use croftrill_scheduler::catalog::ModelName;
use croftrill_scheduler::replica::{
    Holdings, ModelAdapter, Order, OrderOutcome, ReplicaReport, StartedMs, WeightCopies,
};
use croftrill_scheduler::replica_room::RoomUse;
use croftrill_scheduler::time::Moment;

use crate::holdings::{apply, held_models};
pub use crate::room::{ModelCost, ReplicaSpec, RoomViolation};
use crate::uses::Uses;

/// The order about weights in progress.
#[derive(Debug, Clone)]
struct InProgress {
    order: Order,
    done_at: Moment,
}

#[derive(Debug, Clone)]
struct Transit {
    adapter: ModelAdapter,
    arrives_at: Moment,
}

/// An adapter that is unloaded once the requests that use it have ended, `ends_at` at the earliest.
#[derive(Debug, Clone)]
struct Departure {
    adapter: ModelAdapter,
    ends_at: Moment,
}

/// A replica.
#[derive(Debug, Clone)]
pub struct ReplicaModel {
    spec: ReplicaSpec,
    started_ms: Option<StartedMs>,
    holdings: Holdings,
    in_progress: Option<InProgress>,
    in_transit: Vec<Transit>,
    /// Adapters that take their room until their unload is done.
    departing: Vec<Departure>,
    /// Time that an adapter whose load begins now takes to arrive.
    adapter_transit: Duration,
    /// Minimum time that the unload of an adapter takes.
    adapter_unload: Duration,
    /// What running requests use.
    uses: Uses,
    /// Past reports with the time from which each was true, oldest first.
    reports: VecDeque<(Moment, ReplicaReport)>,
    violation: Option<RoomViolation>,
    peak: RoomUse,
}

impl ReplicaModel {
    /// Creates a replica that holds `models`, with copies of them on its disk.
    pub fn new(spec: ReplicaSpec, models: &[ModelName], started_ms: Option<StartedMs>, now: Moment) -> Self {
        let holdings = Holdings {
            sequence: 0,
            models: held_models(models),
            copies: WeightCopies {
                on_disk: models.to_vec(),
                ..WeightCopies::default()
            },
        };
        let mut replica = ReplicaModel {
            adapter_transit: spec.adapter_transit,
            spec,
            started_ms,
            holdings,
            in_progress: None,
            in_transit: Vec::new(),
            departing: Vec::new(),
            adapter_unload: Duration::ZERO,
            uses: Uses::default(),
            reports: VecDeque::new(),
            violation: None,
            peak: RoomUse::default(),
        };
        replica.peak = replica.room_taken();
        replica.record(now);
        replica
    }

    /// Starts the replica again under its id: it holds nothing, and its sequence starts over. Its
    /// disk survives.
    pub fn restart(&mut self, now: Moment) {
        let on_disk = std::mem::take(&mut self.holdings.copies.on_disk);
        let started_ms = self.started_ms.map(|started_ms| started_ms + 1);
        let mut next = ReplicaModel::new(self.spec.clone(), &[], started_ms, now);
        next.holdings.copies.on_disk = on_disk;
        next.adapter_transit = self.adapter_transit;
        next.adapter_unload = self.adapter_unload;
        next.reports.clear();
        next.record(now);
        *self = next;
    }

    /// Returns the time that adapters take to arrive whose load begins now.
    pub fn adapter_transit(&self) -> Duration {
        self.adapter_transit
    }

    /// Sets the time that adapters take to arrive whose load begins from now on.
    pub fn set_adapter_transit(&mut self, adapter_transit: Duration) {
        self.adapter_transit = adapter_transit;
    }

    /// Sets the minimum time that unloads of models and of adapters take from now on, as if requests used
    /// them for so long.
    pub fn set_unload(&mut self, model: Duration, adapter: Duration) {
        self.spec.unload = model;
        self.adapter_unload = adapter;
    }

    /// Records that a request begins to run. What it uses stays until it ends.
    pub fn begin_request(&mut self, model: &str, adapter: Option<&str>) {
        self.uses.begin(model, adapter);
    }

    /// Records the end of a request.
    pub fn end_request(&mut self, model: &str, adapter: Option<&str>, now: Moment) {
        self.advance(now);
        self.uses.end(model, adapter);
        self.advance(now);
    }

    /// Returns what the replica holds.
    pub fn holdings(&self) -> &Holdings {
        &self.holdings
    }

    /// Changes what the replica holds without an order.
    pub fn edit_holdings(&mut self, now: Moment, edit: impl FnOnce(&mut Holdings)) {
        edit(&mut self.holdings);
        self.record(now);
    }

    /// Returns the start time that it reports.
    pub fn started_ms(&self) -> Option<StartedMs> {
        self.started_ms
    }

    /// Returns the order beyond its room that it got. It has fallen then, and answers nothing until
    /// it is restarted.
    pub fn violation(&self) -> Option<&RoomViolation> {
        self.violation.as_ref()
    }

    /// Returns the most that it has held, loaded or had in transit at a time since its start.
    pub fn peak(&self) -> RoomUse {
        self.peak
    }

    /// Returns true while it loads or unloads weights.
    pub fn is_busy(&self) -> bool {
        self.in_progress.is_some()
    }

    /// Returns true while it unloads the model or the adapter.
    pub fn is_unloading(&self, model: &str, adapter: Option<&str>) -> bool {
        let order = self.in_progress.as_ref().map(|progress| &progress.order);
        let is_adapter = |departure: &Departure| {
            &*departure.adapter.model == model && Some(&*departure.adapter.adapter) == adapter
        };
        matches!(order, Some(Order::UnloadModel(unloading)) if &**unloading == model)
            || self.departing.iter().any(is_adapter)
    }

    /// Takes an order, or answers why not. `expected_sequence` is compared if it is given.
    pub fn order(&mut self, order: &Order, expected_sequence: Option<u64>, now: Moment) -> OrderOutcome {
        self.advance(now);
        if self.violation.is_some() {
            return OrderOutcome::Unknown;
        }
        let is_other = expected_sequence.is_some_and(|expected| expected != self.holdings.sequence);
        if self.is_busy() || is_other {
            return OrderOutcome::Conflict;
        }
        match order {
            Order::UnloadAdapter(model, adapter) if self.holdings.serves(model, Some(adapter)) => {
                return self.unload_adapter(
                    ModelAdapter {
                        model: model.clone(),
                        adapter: adapter.clone(),
                    },
                    now,
                );
            }
            Order::LoadAdapter(model, _) if !self.holdings.serves(model, None) => {
                return OrderOutcome::Rejected;
            }
            _ if order.holds_in(&self.holdings) || self.has_in_transit(order) => {
                return OrderOutcome::AlreadyHolds;
            }
            _ => {}
        }
        if matches!(order, Order::LoadAdapter(..)) && self.in_transit.len() >= self.spec.max_in_transit {
            return OrderOutcome::Conflict;
        }
        if !self.has_room_for(order) {
            self.fall(order, now);
            return OrderOutcome::Unknown;
        }
        self.begin(order, now);
        OrderOutcome::Accepted
    }

    /// Unloads an adapter, at once if no request uses it.
    fn unload_adapter(&mut self, adapter: ModelAdapter, now: Moment) -> OrderOutcome {
        if self
            .departing
            .iter()
            .any(|departure| departure.adapter == adapter)
        {
            return OrderOutcome::Conflict;
        }
        self.holdings.sequence += 1;
        let outcome = if self.adapter_unload.is_zero() && !self.uses.uses_adapter(&adapter) {
            apply(&mut self.holdings, &unload(&adapter));
            OrderOutcome::AlreadyHolds
        } else {
            let ends_at = now + self.adapter_unload;
            self.departing.push(Departure { adapter, ends_at });
            OrderOutcome::Accepted
        };
        self.record(now);
        outcome
    }

    /// Returns true if the load of the model would come from the weight store.
    pub fn loads_from_store(&self, order: &Order) -> bool {
        let copies = &self.holdings.copies;
        matches!(order, Order::LoadModel(model) if !copies.on_disk.contains(model))
    }

    /// Returns the report that it gives now, which shows its state of a while ago; `None` once it has
    /// fallen.
    pub fn report(&mut self, now: Moment) -> Option<ReplicaReport> {
        self.advance(now);
        if self.violation.is_some() {
            return None;
        }
        let lag = self.spec.report_lag;
        while self.reports.get(1).is_some_and(|(since, _)| *since + lag <= now) {
            self.reports.pop_front();
        }
        self.reports.front().map(|(_, report)| report.clone())
    }

    /// Carries out what is due by `now`.
    pub fn advance(&mut self, now: Moment) {
        while let Some((at, event)) = self.next_event().filter(|(at, _)| *at <= now) {
            match event {
                Event::Done => {
                    if let Some(progress) = self.in_progress.take() {
                        apply(&mut self.holdings, &progress.order);
                    }
                    let holdings = &self.holdings;
                    self.departing.retain(|departure| {
                        holdings.serves(&departure.adapter.model, Some(&departure.adapter.adapter))
                    });
                }
                Event::Arrived(index) => {
                    let ModelAdapter { model, adapter } = self.in_transit.remove(index).adapter;
                    apply(&mut self.holdings, &Order::LoadAdapter(model, adapter));
                }
                Event::Departed(index) => {
                    let departure = self.departing.remove(index);
                    apply(&mut self.holdings, &unload(&departure.adapter));
                }
            }
            // What requests used may be gone later than it should be.
            let recorded_at = self.reports.back().map_or(at, |(since, _)| at.max(*since));
            self.record(recorded_at);
        }
    }

    /// Returns what takes room now.
    pub fn room_taken(&self) -> RoomUse {
        let held = self.holdings.models.iter().map(|held| {
            let cost = self.spec.cost(&held.model);
            RoomUse {
                memory_mb: cost.weights_mb + cost.adapter_mb * held.adapters.len() as f64,
                adapter_slots: held.adapters.len(),
            }
        });
        let in_transit = self.in_transit.iter().map(|transit| RoomUse {
            memory_mb: self.spec.cost(&transit.adapter.model).adapter_mb,
            adapter_slots: 1,
        });
        let loading = self
            .in_progress
            .iter()
            .map(|progress| self.spec.taken_by(&progress.order));
        held.chain(in_transit).chain(loading).sum()
    }

    fn has_room_for(&self, order: &Order) -> bool {
        let taken = self.room_taken() + self.spec.taken_by(order);
        let is_load = matches!(order, Order::LoadModel(_) | Order::LoadAdapter(..));
        !is_load || self.spec.fits(taken)
    }

    fn has_in_transit(&self, order: &Order) -> bool {
        let Order::LoadAdapter(model, adapter) = order else {
            return false;
        };
        let is_same =
            |transit: &Transit| transit.adapter.model == *model && transit.adapter.adapter == *adapter;
        self.in_transit.iter().any(is_same)
    }

    fn begin(&mut self, order: &Order, now: Moment) {
        self.holdings.sequence += 1;
        let done_at = now + self.spec.duration(order, &self.holdings);
        match order {
            Order::LoadAdapter(model, adapter) => self.in_transit.push(Transit {
                adapter: ModelAdapter {
                    model: model.clone(),
                    adapter: adapter.clone(),
                },
                arrives_at: now + self.adapter_transit,
            }),
            _ => {
                self.in_progress = Some(InProgress {
                    order: order.clone(),
                    done_at,
                });
            }
        }
        self.peak = self.peak.max(self.room_taken());
        self.record(now);
    }

    fn fall(&mut self, order: &Order, now: Moment) {
        self.violation = Some(RoomViolation {
            at: now,
            order: order.clone(),
            sequence: self.holdings.sequence,
            taken: self.room_taken(),
            in_transit: self.in_transit.len(),
        });
    }

    fn next_event(&self) -> Option<(Moment, Event)> {
        let is_free = |progress: &&InProgress| match &progress.order {
            Order::UnloadModel(model) => !self.uses.uses_model(model),
            _ => true,
        };
        let done = self.in_progress.iter().filter(is_free);
        let done = done.map(|progress| (progress.done_at, Event::Done));
        let transits = self.in_transit.iter().enumerate();
        let arrived = transits.map(|(index, transit)| (transit.arrives_at, Event::Arrived(index)));
        let departing = self.departing.iter().enumerate();
        let departing = departing.filter(|(_, departure)| !self.uses.uses_adapter(&departure.adapter));
        let departed = departing.map(|(index, departure)| (departure.ends_at, Event::Departed(index)));
        done.chain(arrived).chain(departed).min_by_key(|(at, _)| *at)
    }

    fn record(&mut self, since: Moment) {
        let report = ReplicaReport {
            holdings: self.holdings.clone(),
            in_transit: Some(
                self.in_transit
                    .iter()
                    .map(|transit| transit.adapter.clone())
                    .collect(),
            ),
            busy: self.is_busy(),
            waiting: 0,
            running: 0,
            started_ms: self.started_ms,
        };
        self.reports.push_back((since, report));
    }
}

/// What happens next at a replica.
#[derive(Debug, Clone, Copy)]
enum Event {
    /// The order about weights is done.
    Done,
    /// The adapter with this index arrives.
    Arrived(usize),
    /// The adapter with this index is not used any more.
    Departed(usize),
}

fn unload(ModelAdapter { model, adapter }: &ModelAdapter) -> Order {
    Order::UnloadAdapter(model.clone(), adapter.clone())
}
