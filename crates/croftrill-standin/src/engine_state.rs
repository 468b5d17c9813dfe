//! The state of a stand-in replica: what it holds, what it does, what it ran.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use croftrill_http::engine_wire::{Operation, WireHeldModel, WireHoldings, WireOrder, WireReport};

/// Sizes and times of a replica.
#[derive(Debug, Clone)]
pub struct EngineConfig {
    /// Requests at the same time.
    pub slots: usize,
    /// Models that fit at the same time.
    pub model_places: usize,
    /// Adapters that fit at the same time.
    pub adapter_places: usize,
    /// Time of a load from the weight store.
    pub store_load: Duration,
    /// Time of a load from its disk.
    pub disk_load: Duration,
    /// Time of an adapter's load.
    pub adapter_load: Duration,
    /// Time of one event of a stream.
    pub event_time: Duration,
    /// How long its work takes, in percent of the usual time; its answers tell it and its
    /// slots. `None`: the usual time, and neither is told.
    pub work_time_pct: Option<u32>,
}

impl Default for EngineConfig {
    fn default() -> Self {
        EngineConfig {
            slots: 16,
            model_places: 2,
            adapter_places: 4,
            store_load: Duration::from_millis(600),
            disk_load: Duration::from_millis(200),
            adapter_load: Duration::from_millis(20),
            event_time: Duration::from_millis(5),
            work_time_pct: None,
        }
    }
}

/// Work time of a slowed replica, in percent of its own.
const SLOWED_PCT: u32 = 250;

/// How an order was taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderAnswer {
    /// It is in progress.
    Accepted,
    /// It already holds.
    AlreadyHolds,
    /// Another is in progress, or the sequence is not the expected one.
    Conflict,
    /// A newer token was seen.
    Fenced,
    /// It cannot be carried out.
    Rejected,
}

#[derive(Debug, Clone)]
struct InProgress {
    order: WireOrder,
    done_at: Instant,
}

/// A promise of the system that was broken, as this replica saw it.
pub type Violation = String;

/// What a replica holds, does, and ran.
#[derive(Debug)]
pub struct EngineState {
    config: EngineConfig,
    holdings: WireHoldings,
    in_progress: Option<InProgress>,
    highest_token: u64,
    running: usize,
    runs: BTreeMap<String, u32>,
    violations: Vec<Violation>,
    is_slowed: bool,
    turned_away: u32,
}

impl EngineState {
    /// A replica that holds some models, and copies of others on its disk.
    pub fn new(config: EngineConfig, models: &[String], on_disk: &[String]) -> Self {
        let held = models.iter().map(|model| WireHeldModel {
            model: model.clone(),
            adapters: Vec::new(),
        });
        let holdings = WireHoldings {
            models: held.collect(),
            on_disk: on_disk.to_vec(),
            ..WireHoldings::default()
        };
        EngineState {
            config,
            holdings,
            in_progress: None,
            highest_token: 0,
            running: 0,
            runs: BTreeMap::new(),
            violations: Vec::new(),
            is_slowed: false,
            turned_away: 0,
        }
    }

    /// Takes an order.
    pub fn order(&mut self, order: WireOrder, now: Instant) -> OrderAnswer {
        self.advance(now);
        if order.fencing_token < self.highest_token {
            self.violations.push(format!(
                "token {} after {}",
                order.fencing_token, self.highest_token
            ));
            return OrderAnswer::Fenced;
        }
        self.highest_token = order.fencing_token;
        if self.in_progress.is_some() || order.expected_sequence != self.holdings.sequence {
            return OrderAnswer::Conflict;
        }
        if self.holds(&order) == (order.operation == Operation::Load) {
            return OrderAnswer::AlreadyHolds;
        }
        if !self.fits(&order) {
            self.violations
                .push(format!("no room for {} {:?}", order.model, order.adapter));
            return OrderAnswer::Rejected;
        }
        self.holdings.sequence += 1;
        if order.operation == Operation::Unload && order.adapter.is_some() {
            self.apply(&order);
            return OrderAnswer::AlreadyHolds;
        }
        let done_at = now + self.time_of(&order);
        self.in_progress = Some(InProgress { order, done_at });
        OrderAnswer::Accepted
    }

    /// Begins to run a request; false if the model is not there or no slot is free.
    pub fn begin(&mut self, attempt: &str, model: &str, adapter: Option<&str>, now: Instant) -> BeginOutcome {
        self.advance(now);
        let held = self.holdings.models.iter().find(|held| held.model == model);
        let present = held.is_some_and(|held| {
            adapter.is_none_or(|adapter| held.adapters.iter().any(|present| present == adapter))
        });
        if !present {
            return BeginOutcome::Absent;
        }
        if self.running >= self.config.slots || self.is_leaving(model) {
            self.turned_away += 1;
            return BeginOutcome::Full;
        }
        self.running += 1;
        *self.runs.entry(attempt.to_string()).or_default() += 1;
        BeginOutcome::Running
    }

    /// A run is over.
    pub fn end(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// The report.
    pub fn report(&mut self, now: Instant) -> WireReport {
        self.advance(now);
        WireReport {
            holdings: self.holdings.clone(),
            busy: self
                .in_progress
                .as_ref()
                .is_some_and(|progress| progress.order.adapter.is_none()),
            waiting: 0,
            running: self.running as u32,
        }
    }

    /// What it holds.
    pub fn holdings(&mut self, now: Instant) -> WireHoldings {
        self.advance(now);
        self.holdings.clone()
    }

    /// Runs by attempt.
    pub fn runs(&self) -> &BTreeMap<String, u32> {
        &self.runs
    }

    /// Promises that were broken here.
    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }

    /// Requests that found no free slot.
    pub fn turned_away(&self) -> u32 {
        self.turned_away
    }

    /// From now on its work takes longer than its usual time, or no more.
    pub fn slow_down(&mut self, is_slowed: bool) {
        self.is_slowed = is_slowed;
    }

    /// Time of one event of a stream.
    pub fn event_time(&self) -> Duration {
        self.config.event_time * self.work_time_pct().unwrap_or(100) / 100
    }

    /// Its load, as its answers tell it.
    pub fn load(&self) -> String {
        match self.work_time_pct() {
            Some(pct) => format!("{},0,{},{pct}", self.running, self.config.slots),
            None => self.running.to_string(),
        }
    }

    fn work_time_pct(&self) -> Option<u32> {
        let pct = self.config.work_time_pct?;
        Some(if self.is_slowed {
            pct * SLOWED_PCT / 100
        } else {
            pct
        })
    }

    fn advance(&mut self, now: Instant) {
        if let Some(progress) = self.in_progress.take_if(|progress| progress.done_at <= now) {
            self.apply(&progress.order);
        }
    }

    fn is_leaving(&self, model: &str) -> bool {
        self.in_progress.as_ref().is_some_and(|progress| {
            progress.order.operation == Operation::Unload && progress.order.model == model
        })
    }

    fn holds(&self, order: &WireOrder) -> bool {
        let held = self.holdings.models.iter().find(|held| held.model == order.model);
        held.is_some_and(|held| {
            order
                .adapter
                .as_ref()
                .is_none_or(|adapter| held.adapters.contains(adapter))
        })
    }

    fn fits(&self, order: &WireOrder) -> bool {
        let adapters: usize = self.holdings.models.iter().map(|held| held.adapters.len()).sum();
        match (order.operation, &order.adapter) {
            (Operation::Unload, _) => true,
            (Operation::Load, None) => self.holdings.models.len() < self.config.model_places,
            (Operation::Load, Some(_)) => adapters < self.config.adapter_places,
        }
    }

    fn time_of(&self, order: &WireOrder) -> Duration {
        match (order.operation, &order.adapter) {
            (Operation::Unload, _) => Duration::from_millis(20),
            (Operation::Load, Some(_)) => self.config.adapter_load,
            (Operation::Load, None) if self.holdings.on_disk.contains(&order.model) => self.config.disk_load,
            (Operation::Load, None) => self.config.store_load,
        }
    }

    fn apply(&mut self, order: &WireOrder) {
        let models = &mut self.holdings.models;
        match (order.operation, &order.adapter) {
            (Operation::Load, None) => {
                models.push(WireHeldModel {
                    model: order.model.clone(),
                    adapters: Vec::new(),
                });
                if !self.holdings.on_disk.contains(&order.model) {
                    self.holdings.on_disk.push(order.model.clone());
                }
            }
            (Operation::Unload, None) => models.retain(|held| held.model != order.model),
            (operation, Some(adapter)) => {
                let held = models.iter_mut().find(|held| held.model == order.model);
                let Some(held) = held else { return };
                match operation {
                    Operation::Load => held.adapters.push(adapter.clone()),
                    Operation::Unload => held.adapters.retain(|present| present != adapter),
                }
            }
        }
    }
}

/// Whether a request began to run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BeginOutcome {
    /// It runs.
    Running,
    /// The model or adapter is not there.
    Absent,
    /// No slot is free, or the model is leaving.
    Full,
}
