//! The truth beside an `EngineMemory`: the engine, the log, the orders on their
//! way, the requests that run.

pub mod campaign;

use croftrill_state::cluster::Target;
use croftrill_state::configuration::{Adapter, Model, PriorityClass};
use croftrill_state::engine_memory::*;
use croftrill_state::placement::{AssignmentState, Residency};
use croftrill_state::{AdapterId, Instant, ModelId};
use std::collections::BTreeMap;

pub const MODELS: usize = 6;
pub const ACCELERATORS: usize = 3;
pub const CAPACITY: u64 = 100;
const ADAPTER_MEMORY: u64 = 15;
const LOST_ORDER_HOLD: u64 = 2_000;

pub struct Spec {
    pub accelerators: u32,
    pub memory: u64,
}

pub fn spec(number: usize) -> Spec {
    let (accelerators, memory) = [(1, 30), (1, 60), (2, 50), (3, 40), (1, 90), (2, 85)][number];
    Spec { accelerators, memory }
}

pub fn model_id(number: usize) -> ModelId {
    ModelId::new(format!("model-{number}"))
}

pub fn target(number: usize, adapter: bool) -> Target {
    Target {
        model: model_id(number),
        adapter: adapter.then(|| AdapterId::new(format!("adapter-{number}"))),
    }
}

pub fn accelerators_from(first: u32, count: u32) -> Vec<u32> {
    (0..count).map(|n| (first + n) % ACCELERATORS as u32).collect()
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    Answered,
    AnswerLost,
    Undelivered,
    Delayed,
}

#[derive(Clone, Debug)]
struct TrueModel {
    version: u32,
    loaded: bool,
    accelerators: Vec<u32>,
    memory: u64,
    adapters: BTreeMap<AdapterId, TrueAdapter>,
}

#[derive(Clone, Debug)]
struct TrueAdapter {
    version: u32,
    loaded: bool,
    memory: u64,
}

#[derive(Clone, Debug)]
struct Order {
    token: u64,
    action: MemoryAction,
    /// When a delayed order must have arrived.
    arrives_before: Instant,
}

struct Snapshot {
    token: u64,
    ticket: InventoryTicket,
    report: HeldReport,
}

#[derive(Clone, Debug)]
struct Run {
    token: u64,
    target: Target,
}

pub struct World {
    pub memory: EngineMemory,
    eviction: EvictionPolicy,
    now: Instant,
    token: u64,
    models: Vec<Model>,
    adapters: Vec<Adapter>,
    log: BTreeMap<ModelId, AssignedModel>,
    demands: Vec<Demand>,
    engine: BTreeMap<ModelId, TrueModel>,
    orders: Vec<Order>,
    late: Vec<Order>,
    snapshots: Vec<Snapshot>,
    runs: Vec<Run>,
    /// The engine restarted and no inventory has shown it yet.
    restart_unseen: bool,
    has_inventory: bool,
}

fn memory(eviction: EvictionPolicy) -> EngineMemory {
    EngineMemory::new(MemoryConfig {
        eviction,
        idle_unload_millis: 8_000,
        tight_idle_unload_millis: 16_000,
        lost_order_hold_millis: LOST_ORDER_HOLD,
        minimum_residence_millis: 500,
        ..MemoryConfig::default()
    })
}

impl World {
    pub fn new(eviction: EvictionPolicy) -> Self {
        let models = (0..MODELS).map(|number| Model {
            id: model_id(number),
            version: 1,
            accelerators: spec(number).accelerators,
            memory_mib_per_accelerator: spec(number).memory,
            checkpoint_mib: spec(number).memory,
            min_replicas: 0,
            max_replicas: 1,
        });
        let adapters = (0..MODELS).map(|number| Adapter {
            id: target(number, true).adapter.unwrap(),
            base: model_id(number),
            version: 1,
            memory_mib_per_accelerator: ADAPTER_MEMORY,
        });
        let mut world = Self {
            memory: memory(eviction),
            eviction,
            now: Instant(1),
            token: 1,
            models: models.collect(),
            adapters: adapters.collect(),
            log: BTreeMap::new(),
            demands: Vec::new(),
            engine: BTreeMap::new(),
            orders: Vec::new(),
            late: Vec::new(),
            snapshots: Vec::new(),
            runs: Vec::new(),
            restart_unseen: false,
            has_inventory: false,
        };
        world.apply_log();
        world.fence();
        world
    }

    /// A new owner that has not heard from the engine.
    pub fn forget_inventory(&mut self) {
        self.memory = memory(self.eviction);
        self.snapshots.clear();
        self.has_inventory = false;
        self.apply_log();
    }

    fn apply_log(&mut self) {
        let assigned = self.log.values().cloned().collect();
        self.memory
            .set_assignments(vec![CAPACITY; ACCELERATORS], assigned, self.adapters.clone());
    }

    fn fence(&mut self) {
        self.ask_inventory();
        self.take_inventory(0);
    }

    // The log.

    fn is_valid(log: &BTreeMap<ModelId, AssignedModel>) -> bool {
        let mut free = [CAPACITY; ACCELERATORS];
        for assigned in log.values() {
            if let Residency::Resident { accelerators } = &assigned.residency {
                for accelerator in accelerators {
                    let slot = &mut free[*accelerator as usize];
                    match slot.checked_sub(assigned.model.memory_mib_per_accelerator) {
                        Some(left) => *slot = left,
                        None => return false,
                    }
                }
            }
        }
        log.values().all(|assigned| {
            let need = assigned.model.memory_mib_per_accelerator;
            let fitting = free.iter().filter(|free| **free >= need).count();
            assigned.residency != Residency::OnDemand
                || assigned.state == AssignmentState::Releasing
                || fitting >= assigned.model.accelerators as usize
        })
    }

    fn change_log(&mut self, change: impl FnOnce(&mut BTreeMap<ModelId, AssignedModel>)) {
        let mut next = self.log.clone();
        change(&mut next);
        if Self::is_valid(&next) {
            self.log = next;
            self.apply_log();
        }
    }

    pub fn assign(&mut self, number: usize, residency: Residency, state: AssignmentState) {
        let model = self.models[number].clone();
        self.change_log(|log| {
            log.insert(
                model.id.clone(),
                AssignedModel {
                    model,
                    residency,
                    state,
                },
            );
        });
    }

    pub fn release(&mut self, number: usize) {
        self.change_log(|log| {
            if let Some(assigned) = log.get_mut(&model_id(number)) {
                assigned.state = AssignmentState::Releasing;
            }
        });
    }

    pub fn record_releases(&mut self) {
        for released in self.memory.released() {
            if !self.restart_unseen {
                assert!(
                    !self.engine.contains_key(&released),
                    "{released} reported but held"
                );
            }
            self.change_log(|log| {
                log.remove(&released);
            });
        }
    }

    pub fn unassign(&mut self, number: usize) {
        self.change_log(|log| {
            log.remove(&model_id(number));
        });
    }

    pub fn new_version(&mut self, number: usize) {
        self.models[number].version += 1;
        let model = self.models[number].clone();
        self.change_log(|log| {
            if let Some(assigned) = log.get_mut(&model.id) {
                assigned.model = model;
            }
        });
    }

    pub fn new_adapter_version(&mut self, number: usize) {
        self.adapters[number].version += 1;
        self.apply_log();
    }

    // Requests.

    pub fn demand(&mut self, target: Target, slack: u64) {
        self.withdraw(&target);
        self.memory.requested(&target, slack, self.now);
        self.demands.push(Demand {
            target,
            priority: PriorityClass::ALL[(slack % 4) as usize],
            earliest_deadline: self.now + slack,
            latest_deadline: self.now + slack,
            oldest_arrival: self.now,
        });
    }

    pub fn demands(&self) -> Vec<Demand> {
        self.demands.clone()
    }

    pub fn withdraw(&mut self, target: &Target) {
        self.demands.retain(|demand| demand.target != *target);
    }

    pub fn come_back(&mut self, target: &Target) {
        self.memory.told_to_come_back(target, 1_000, self.now);
    }

    pub fn start_use(&mut self, target: &Target) {
        if !self.memory.is_usable(target) {
            return;
        }
        let truth = self.engine.get(&target.model);
        if !self.restart_unseen {
            let truth = truth.expect("usable, but the engine does not hold it");
            assert!(truth.loaded);
            assert_eq!(truth.version, self.log[&target.model].model.version);
            let adapter_loaded = |id| truth.adapters.get(id).is_some_and(|held| held.loaded);
            assert!(target.adapter.as_ref().is_none_or(adapter_loaded));
            self.memory.use_started(target, PriorityClass::Standard, self.now);
            self.runs.push(Run {
                token: self.token,
                target: target.clone(),
            });
        }
    }

    pub fn end_use(&mut self, number: usize) {
        let own: Vec<usize> = (0..self.runs.len())
            .filter(|at| self.runs[*at].token == self.token)
            .collect();
        if own.is_empty() {
            return;
        }
        let run = self.runs.remove(own[number % own.len()]);
        self.memory
            .use_ended(&run.target, PriorityClass::Standard, self.now);
    }

    pub fn former_owners_requests_end(&mut self) {
        self.runs.retain(|run| run.token == self.token);
    }

    // Orders.

    pub fn decide(&mut self) {
        let now = self.now;
        self.demands.retain(|demand| demand.latest_deadline > now);
        let actions = self.memory.decide(&self.demands, now);
        for action in actions {
            self.check_decision(&action);
            self.orders.push(Order {
                token: self.token,
                action,
                arrives_before: now,
            });
        }
    }

    fn check_decision(&self, action: &MemoryAction) {
        match action {
            MemoryAction::Load {
                model, accelerators, ..
            } => {
                let assigned = &self.log[&model.id];
                assert_eq!(assigned.state, AssignmentState::Active);
                assert_eq!(assigned.model.version, model.version);
                assert_eq!(accelerators.len(), model.accelerators as usize);
                if let Residency::Resident {
                    accelerators: decided,
                } = &assigned.residency
                {
                    assert_eq!(decided, accelerators);
                }
            }
            MemoryAction::Unload { model, reason } => {
                assert!(!self.runs.iter().any(|run| run.target.model == *model));
                if matches!(reason, UnloadReason::Evicted | UnloadReason::Idle) {
                    let assigned = self.log.get(model);
                    assert!(assigned.is_none_or(|a| a.residency == Residency::OnDemand));
                }
            }
            MemoryAction::LoadAdapter { adapter } => {
                assert_eq!(self.log[&adapter.base].state, AssignmentState::Active);
            }
            MemoryAction::UnloadAdapter { adapter, .. } => {
                let used = |run: &Run| run.target.adapter.as_ref() == Some(adapter);
                assert!(!self.runs.iter().any(used));
            }
        }
    }

    pub fn deliver(&mut self, number: usize, delivery: Delivery) {
        if self.orders.is_empty() {
            return;
        }
        let mut order = self.orders.remove(number % self.orders.len());
        let answer = match delivery {
            Delivery::Answered => self.carry_out(&order),
            Delivery::AnswerLost => {
                self.carry_out(&order);
                OrderAnswer::Lost
            }
            Delivery::Undelivered => OrderAnswer::NoEffect,
            Delivery::Delayed => {
                order.arrives_before = self.now + LOST_ORDER_HOLD;
                self.late.push(order.clone());
                OrderAnswer::Lost
            }
        };
        if order.token == self.token {
            self.answer(&order.action, answer);
        }
    }

    fn answer(&mut self, action: &MemoryAction, answer: OrderAnswer) {
        let now = self.now;
        match action {
            MemoryAction::Load { model, .. } => self.memory.load_answered(&model.id, answer, now),
            MemoryAction::Unload { model, .. } => self.memory.unload_answered(model, answer, now),
            MemoryAction::LoadAdapter { adapter } => self.memory.adapter_load_answered(adapter, answer, now),
            MemoryAction::UnloadAdapter { adapter, base } => {
                self.memory.adapter_unload_answered(adapter, base, answer, now);
            }
        }
    }

    pub fn arrive_late(&mut self, number: usize) {
        if self.late.is_empty() {
            return;
        }
        let order = self.late.remove(number % self.late.len());
        if self.now < order.arrives_before {
            self.carry_out(&order);
        }
    }

    pub fn give_up(&mut self, number: usize) {
        if self.orders.is_empty() {
            return;
        }
        let at = number % self.orders.len();
        let current = self.orders[at].token == self.token;
        if let (MemoryAction::Load { model, .. }, true) = (self.orders[at].action.clone(), current) {
            self.orders.remove(at);
            self.memory.load_given_up(&model.id);
        }
    }

    /// The engine carries out an order, or breaks the test if it must not.
    fn carry_out(&mut self, order: &Order) -> OrderAnswer {
        if order.token < self.token {
            return OrderAnswer::NoEffect;
        }
        match &order.action {
            MemoryAction::Load {
                model, accelerators, ..
            } => {
                let held = TrueModel {
                    version: model.version,
                    loaded: false,
                    accelerators: accelerators.clone(),
                    memory: model.memory_mib_per_accelerator,
                    adapters: BTreeMap::new(),
                };
                let before = self.engine.insert(model.id.clone(), held);
                assert!(before.is_none(), "{} loaded twice", model.id);
            }
            MemoryAction::Unload { model, .. } => {
                let used = |run: &Run| run.target.model == *model;
                assert!(!self.runs.iter().any(used), "{model} unloaded in use");
                self.engine.remove(model);
            }
            MemoryAction::LoadAdapter { adapter } => {
                let Some(base) = self.engine.get_mut(&adapter.base) else {
                    return OrderAnswer::NoEffect;
                };
                let held = TrueAdapter {
                    version: adapter.version,
                    loaded: false,
                    memory: adapter.memory_mib_per_accelerator,
                };
                base.adapters.insert(adapter.id.clone(), held);
            }
            MemoryAction::UnloadAdapter { adapter, base } => {
                let used = |run: &Run| run.target.adapter.as_ref() == Some(adapter);
                assert!(!self.runs.iter().any(used), "{adapter} unloaded in use");
                if let Some(base) = self.engine.get_mut(base) {
                    base.adapters.remove(adapter);
                }
            }
        }
        self.check_engine();
        OrderAnswer::Done
    }

    // Inventories.

    pub fn ask_inventory(&mut self) {
        let ticket = self.memory.inventory_asked(self.now);
        let replicas = self.engine.iter().map(|(id, held)| HeldReplica {
            model: id.clone(),
            version: held.version,
            loaded: held.loaded,
            accelerators: held.accelerators.clone(),
            memory_mib_per_accelerator: held.memory,
            adapters: held
                .adapters
                .iter()
                .map(|(id, held)| HeldAdapterReplica {
                    adapter: id.clone(),
                    version: held.version,
                    loaded: held.loaded,
                    memory_mib_per_accelerator: held.memory,
                })
                .collect(),
        });
        let report = HeldReport {
            replicas: replicas.collect(),
            others_running: self.runs.iter().any(|run| run.token < self.token),
            ..HeldReport::default()
        };
        self.snapshots.push(Snapshot {
            token: self.token,
            ticket,
            report,
        });
    }

    pub fn take_inventory(&mut self, number: usize) {
        if self.snapshots.is_empty() {
            return;
        }
        let snapshot = self.snapshots.remove(number % self.snapshots.len());
        if snapshot.token < self.token {
            return;
        }
        let newest = self.snapshots.is_empty();
        self.memory.reconcile(snapshot.ticket, snapshot.report, self.now);
        self.has_inventory = true;
        if newest {
            self.restart_unseen = false;
        }
    }

    /// An inventory without delay; older answers are lost.
    pub fn look(&mut self) {
        self.snapshots.clear();
        self.ask_inventory();
        self.take_inventory(0);
    }

    /// Everything that waking a target takes, without failures.
    pub fn wake(&mut self, target: &Target) {
        self.demand(target.clone(), 20_000);
        for _ in 0..3 {
            self.decide();
            while !self.orders.is_empty() {
                self.deliver(0, Delivery::Answered);
            }
            self.loads_finish();
            self.look();
        }
        self.withdraw(target);
    }

    // The engine.

    pub fn loads_finish(&mut self) {
        for held in self.engine.values_mut() {
            held.loaded = true;
            for adapter in held.adapters.values_mut() {
                adapter.loaded = true;
            }
        }
    }

    pub fn load_fails(&mut self, number: usize) {
        let id = model_id(number);
        if let Some(held) = self.engine.get_mut(&id) {
            held.adapters.retain(|_, adapter| adapter.loaded);
        }
        if self.engine.get(&id).is_some_and(|held| !held.loaded) {
            self.engine.remove(&id);
        }
    }

    /// The engine loses everything; the streams of its requests break.
    pub fn engine_restarts(&mut self) {
        self.engine.clear();
        self.snapshots.clear();
        for run in std::mem::take(&mut self.runs) {
            if run.token == self.token {
                self.memory
                    .use_ended(&run.target, PriorityClass::Standard, self.now);
            }
        }
        self.restart_unseen = true;
    }

    /// Another owner fences the engine. Requests of the former one run on;
    /// its orders are refused.
    pub fn owner_changes(&mut self) {
        self.token += 1;
        self.demands.clear();
        self.forget_inventory();
        self.fence();
    }

    pub fn pass(&mut self, millis: u64) {
        self.now = self.now + millis;
    }

    // Checks.

    fn truly_taken(&self) -> Vec<u64> {
        let mut taken = vec![0; ACCELERATORS];
        for held in self.engine.values() {
            let adapters: u64 = held.adapters.values().map(|adapter| adapter.memory).sum();
            for accelerator in &held.accelerators {
                taken[*accelerator as usize] += held.memory + adapters;
            }
        }
        taken
    }

    fn check_engine(&self) {
        for taken in self.truly_taken() {
            assert!(taken <= CAPACITY, "the engine's memory is overcommitted");
        }
    }

    pub fn check(&self) {
        self.check_engine();
        let committed = self.memory.committed();
        let truly = self.truly_taken();
        for (committed, truly) in committed.iter().zip(&truly) {
            assert!(*committed <= CAPACITY, "memory is overcommitted");
            assert!(committed >= truly, "the engine holds more than is accounted for");
        }
    }

    /// Lets everything on its way arrive and the failures be over.
    pub fn settle(&mut self) {
        for _ in 0..60 {
            while !self.orders.is_empty() {
                self.deliver(0, Delivery::Answered);
            }
            self.late.clear();
            self.former_owners_requests_end();
            while self.runs.iter().any(|run| run.token == self.token) {
                self.end_use(0);
            }
            self.loads_finish();
            self.snapshots.clear();
            self.ask_inventory();
            self.take_inventory(0);
            self.record_releases();
            self.pass(1_000);
            self.decide();
            self.check();
        }
    }

    pub fn check_settled(&self) {
        for (id, assigned) in &self.log {
            assert_ne!(assigned.state, AssignmentState::Releasing, "{id} not released");
            let resident = matches!(assigned.residency, Residency::Resident { .. });
            if resident && assigned.state == AssignmentState::Active {
                let held = self.engine.get(id).expect("a resident is not loaded");
                assert_eq!(held.version, assigned.model.version);
            }
        }
        for id in self.engine.keys() {
            let active = |assigned: &AssignedModel| assigned.state == AssignmentState::Active;
            assert!(self.log.get(id).is_some_and(active), "{id} is held unassigned");
        }
    }

    pub fn check_can_wake(&mut self, target: &Target) {
        let assigned = self.log.get(&target.model);
        if assigned.is_none_or(|assigned| assigned.state != AssignmentState::Active) {
            return;
        }
        for _ in 0..20 {
            self.demand(target.clone(), 60_000);
            self.decide();
            while !self.orders.is_empty() {
                self.deliver(0, Delivery::Answered);
            }
            self.loads_finish();
            self.ask_inventory();
            self.take_inventory(0);
            self.check();
            self.pass(1_000);
        }
        assert!(self.memory.is_usable(target), "{} cannot be woken", target.model);
        self.withdraw(target);
    }
}
