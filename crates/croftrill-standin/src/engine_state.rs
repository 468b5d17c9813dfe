//! State of a stand-in replica: what it holds, and past runs.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use croftrill_http::engine_wire::{Operation, WireAdapter, WireHoldings, WireOrder, WireReport};
use croftrill_replica_model::{ModelCost, ReplicaModel, ReplicaSpec};
use croftrill_scheduler::catalog::ModelName;
use croftrill_scheduler::replica::{Order, OrderOutcome};
use croftrill_scheduler::time::Moment;

use crate::answer_ends::AnswerFaults;

/// Sizes and times of a replica.
#[derive(Debug, Clone)]
pub struct EngineConfig {
    /// Number of requests that can run at the same time.
    pub slots: usize,
    /// Room for models and adapters, and the times of orders.
    pub room: ReplicaSpec,
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
            room: ReplicaSpec {
                weights_mb: 190.0,
                adapter_slots: 4,
                other_models: ModelCost {
                    weights_mb: 90.0,
                    adapter_mb: 1.0,
                    store_load: Duration::from_millis(600),
                    disk_load: Duration::from_millis(200),
                },
                unload: Duration::from_millis(20),
                adapter_transit: Duration::from_millis(20),
                report_lag: Duration::from_millis(100),
                ..ReplicaSpec::default()
            },
            event_interval: Duration::from_millis(5),
            work_time_pct: None,
            answer_faults: AnswerFaults::default(),
        }
    }
}

/// Duration of work while a replica is slowed, in percent of its normal duration.
const SLOWED_PCT: u32 = 250;

/// A violated guarantee of the system, as observed by this replica.
pub type Violation = String;

/// What a replica holds, and its past runs.
#[derive(Debug)]
pub struct EngineState {
    config: EngineConfig,
    started_at: Instant,
    replica: ReplicaModel,
    highest_token: u64,
    running: usize,
    runs: BTreeMap<String, u32>,
    violations: Vec<Violation>,
    is_slowed: bool,
    /// Slots that are taken by others.
    taken_slots: usize,
    rejected_requests: u32,
}

impl EngineState {
    /// Creates a replica with `models` in memory and `on_disk` on its disk.
    pub fn new(config: EngineConfig, models: &[String], on_disk: &[String]) -> Self {
        let models: Vec<ModelName> = models.iter().map(|model| model.as_str().into()).collect();
        let started = Moment::default();
        let mut replica = ReplicaModel::new(config.room.clone(), &models, None, started);
        replica.edit_holdings(started, |holdings| {
            holdings.copies.on_disk = on_disk.iter().map(|model| model.as_str().into()).collect();
        });
        EngineState {
            config,
            started_at: Instant::now(),
            replica,
            highest_token: 0,
            running: 0,
            runs: BTreeMap::new(),
            violations: Vec::new(),
            is_slowed: false,
            taken_slots: 0,
            rejected_requests: 0,
        }
    }

    fn moment(&self, now: Instant) -> Moment {
        Moment::from_start(now.saturating_duration_since(self.started_at))
    }

    /// Returns true if the fencing token of an order that arrives is not lower than a former one.
    pub fn admits(&mut self, order: &WireOrder) -> bool {
        let is_admitted = order.fencing_token >= self.highest_token;
        if !is_admitted {
            self.violations.push(format!(
                "token {} after {}",
                order.fencing_token, self.highest_token
            ));
        }
        self.highest_token = self.highest_token.max(order.fencing_token);
        is_admitted
    }

    /// Carries out an order that was admitted, or answers why not. One beyond the replica's room is a
    /// violation, and ends the replica.
    pub fn order(&mut self, order: &WireOrder, now: Instant) -> OrderOutcome {
        let had_fallen = self.has_fallen();
        let at = self.moment(now);
        let outcome = self
            .replica
            .order(&replica_order(order), Some(order.expected_sequence), at);
        if let Some(violation) = self.replica.violation().filter(|_| !had_fallen) {
            self.violations.push(format!(
                "no room, {} ms after the start: {violation}",
                now.saturating_duration_since(self.started_at).as_millis()
            ));
        }
        outcome
    }

    /// Returns true if the replica got an order beyond its room.
    pub fn has_fallen(&self) -> bool {
        self.replica.violation().is_some()
    }

    /// Returns the time that adapters take to arrive whose load begins now.
    pub fn adapter_transit(&self) -> Duration {
        self.replica.adapter_transit()
    }

    /// Sets the time that adapters take to arrive whose load begins from now on.
    pub fn set_adapter_transit(&mut self, adapter_transit: Duration) {
        self.replica.set_adapter_transit(adapter_transit);
    }

    /// Starts to run a request if the model is present and a slot is free.
    pub fn start_run(
        &mut self,
        attempt: &str,
        model: &str,
        adapter: Option<&str>,
        now: Instant,
    ) -> StartOutcome {
        self.replica.advance(self.moment(now));
        if !self.replica.holdings().serves(model, adapter) {
            return StartOutcome::Absent;
        }
        if self.running + self.taken_slots >= self.config.slots || self.replica.is_unloading(model, adapter) {
            self.rejected_requests += 1;
            return StartOutcome::Full;
        }
        self.running += 1;
        self.replica.begin_request(model, adapter);
        *self.runs.entry(attempt.to_string()).or_default() += 1;
        StartOutcome::Running
    }

    /// Records the end of a run. What it used may be unloaded then.
    pub fn end_run(&mut self, model: &str, adapter: Option<&str>, now: Instant) {
        self.running = self.running.saturating_sub(1);
        self.replica.end_request(model, adapter, self.moment(now));
    }

    /// Returns the replica's report; `None` once it has fallen.
    pub fn report(&mut self, now: Instant) -> Option<WireReport> {
        let report = self.replica.report(self.moment(now))?;
        let in_transit = report.in_transit.iter().flatten().map(|adapter| WireAdapter {
            model: adapter.model.to_string(),
            adapter: adapter.adapter.to_string(),
        });
        Some(WireReport {
            in_transit: Some(in_transit.collect()),
            holdings: (&report.holdings).into(),
            busy: report.busy,
            waiting: 0,
            running: self.running as u32,
            started_ms: None,
        })
    }

    /// Returns the models and adapters that the replica holds.
    pub fn holdings(&mut self, now: Instant) -> WireHoldings {
        self.replica.advance(self.moment(now));
        self.replica.holdings().into()
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

    /// Sets how many slots are taken by others from now on.
    pub fn set_taken_slots(&mut self, slots: usize) {
        self.taken_slots = slots;
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
}

fn replica_order(wire: &WireOrder) -> Order {
    let model = wire.model.as_str().into();
    let adapter = wire.adapter.as_deref().map(Into::into);
    match (wire.operation, adapter) {
        (Operation::Load, None) => Order::LoadModel(model),
        (Operation::Load, Some(adapter)) => Order::LoadAdapter(model, adapter),
        (Operation::Unload, None) => Order::UnloadModel(model),
        (Operation::Unload, Some(adapter)) => Order::UnloadAdapter(model, adapter),
    }
}

/// Outcome of [`EngineState::start_run`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartOutcome {
    /// The request is running.
    Running,
    /// The replica does not hold the model or adapter.
    Absent,
    /// No slot is free, or the model or adapter is being unloaded.
    Full,
}
