//! State of a stand-in replica: models it holds, the order in progress, and past runs.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use croftrill_http::engine_wire::{Operation, WireHeldModel, WireHoldings, WireOrder, WireReport};

use crate::answer_ends::AnswerFaults;

/// Sizes and times of a replica.
#[derive(Debug, Clone)]
pub struct EngineConfig {
    /// Number of requests that can run at the same time.
    pub slots: usize,
    /// Number of models that fit in memory.
    pub model_capacity: usize,
    /// Number of adapters that fit in memory.
    pub adapter_capacity: usize,
    /// Time to load a model from the weight store.
    pub store_load: Duration,
    /// Time to load a model from the replica's disk.
    pub disk_load: Duration,
    /// Time to load an adapter.
    pub adapter_load: Duration,
    /// Time between two events of a stream.
    pub event_interval: Duration,
    /// Duration of work in percent of the usual time, sent in answers along with the slots.
    /// `None` stands for the usual time, and neither is sent.
    pub work_time_pct: Option<u32>,
    /// How many answers are without a length, and how many break off.
    pub answer_faults: AnswerFaults,
}

impl Default for EngineConfig {
    fn default() -> Self {
        EngineConfig {
            slots: 16,
            model_capacity: 2,
            adapter_capacity: 4,
            store_load: Duration::from_millis(600),
            disk_load: Duration::from_millis(200),
            adapter_load: Duration::from_millis(20),
            event_interval: Duration::from_millis(5),
            work_time_pct: None,
            answer_faults: AnswerFaults::default(),
        }
    }
}

/// Duration of work while a replica is slowed, in percent of its normal duration.
const SLOWED_PCT: u32 = 250;

/// Outcome of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderAnswer {
    /// The order is in progress.
    Accepted,
    /// The ordered state already holds or was reached at once.
    AlreadyHolds,
    /// Another order is in progress, or the sequence number is not the expected one.
    Conflict,
    /// An order with a newer fencing token was received before.
    Fenced,
    /// The order cannot be carried out.
    Rejected,
}

#[derive(Debug, Clone)]
struct InProgress {
    order: WireOrder,
    done_at: Instant,
}

/// A violated guarantee of the system, as observed by this replica.
pub type Violation = String;

/// Models that a replica holds, its order in progress, and its past runs.
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
    rejected_requests: u32,
}

impl EngineState {
    /// Creates a replica with `models` in memory and `on_disk` on its disk.
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
            rejected_requests: 0,
        }
    }

    /// Validates an order and starts to carry it out.
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
        let done_at = now + self.duration_of(&order);
        self.in_progress = Some(InProgress { order, done_at });
        OrderAnswer::Accepted
    }

    /// Starts to run a request if the model is present and a slot is free.
    pub fn start_run(
        &mut self,
        attempt: &str,
        model: &str,
        adapter: Option<&str>,
        now: Instant,
    ) -> StartOutcome {
        self.advance(now);
        let held = self.holdings.models.iter().find(|held| held.model == model);
        let present = held.is_some_and(|held| {
            adapter.is_none_or(|adapter| held.adapters.iter().any(|present| present == adapter))
        });
        if !present {
            return StartOutcome::Absent;
        }
        if self.running >= self.config.slots || self.is_unloading(model) {
            self.rejected_requests += 1;
            return StartOutcome::Full;
        }
        self.running += 1;
        *self.runs.entry(attempt.to_string()).or_default() += 1;
        StartOutcome::Running
    }

    /// Records the end of a run.
    pub fn end_run(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Returns the replica's report.
    pub fn report(&mut self, now: Instant) -> WireReport {
        self.advance(now);
        WireReport {
            holdings: self.holdings.clone(),
            in_transit: None,
            busy: self
                .in_progress
                .as_ref()
                .is_some_and(|progress| progress.order.adapter.is_none()),
            waiting: 0,
            running: self.running as u32,
            started_ms: None,
        }
    }

    /// Returns the models and adapters that the replica holds.
    pub fn holdings(&mut self, now: Instant) -> WireHoldings {
        self.advance(now);
        self.holdings.clone()
    }

    /// Returns the number of runs by attempt id.
    pub fn runs(&self) -> &BTreeMap<String, u32> {
        &self.runs
    }

    /// Returns the violations observed so far.
    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }

    /// Returns the number of requests that were rejected for lack of a free slot or because the
    /// model was being unloaded.
    pub fn rejected_requests(&self) -> u32 {
        self.rejected_requests
    }

    /// Sets whether work takes longer than usual from now on.
    pub fn set_slowed(&mut self, is_slowed: bool) {
        self.is_slowed = is_slowed;
    }

    /// Returns the time between two events of a stream at the current speed.
    pub fn event_interval(&self) -> Duration {
        self.config.event_interval * self.work_time_pct().unwrap_or(100) / 100
    }

    /// Returns the load in the format of the answers' load header.
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

    fn is_unloading(&self, model: &str) -> bool {
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
            (Operation::Load, None) => self.holdings.models.len() < self.config.model_capacity,
            (Operation::Load, Some(_)) => adapters < self.config.adapter_capacity,
        }
    }

    fn duration_of(&self, order: &WireOrder) -> Duration {
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

/// Outcome of [`EngineState::start_run`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartOutcome {
    /// The request is running.
    Running,
    /// The replica does not hold the model or adapter.
    Absent,
    /// No slot is free, or the model is being unloaded.
    Full,
}
