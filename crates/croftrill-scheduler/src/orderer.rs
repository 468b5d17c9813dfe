//! The one node that gives orders: from demand and holdings to the next orders.
//!
//! It keeps no lasting state. A new orderer begins with the directory's list,
//! confirms each replica by a report, and counts the former's loads as just begun.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crate::catalog::{Configuration, EngineSpec, ModelName, Service, ServiceName};
use crate::demand::{Demand, ModelKey};
use crate::load_ceiling::LoadCeiling;
use crate::placement::{
    load_time, memory_used, weight_source, PlacedReplica, PlacementConfig, ServicePlacement, WeightSource,
};
use crate::replica::{Holdings, Order, OrderOutcome, ReplicaId, ReplicaListing, ReplicaReport, ReplicaState};
use crate::replica_ledger::{LedgerChange, LedgerConfig, ReplicaLedger};
use crate::replica_table::{Arrival, Placement};
use crate::time::Moment;

/// Figures of the orderer.
#[derive(Debug, Clone, Copy)]
pub struct OrdererConfig {
    /// Figures of placement.
    pub placement: PlacementConfig,
    /// Timing of the accounts.
    pub ledger: LedgerConfig,
    /// Sliding window of the ceiling on loads from the weight store.
    pub ceiling_window: Duration,
    /// Time between telling the nodes that a model makes way and dropping it.
    pub withdraw_notice: Duration,
    /// Time that an adapter takes to load.
    pub adapter_load: Duration,
    /// Time that dropping a model takes.
    pub unload: Duration,
}

/// Time between two looks at whether a model deserves one more holder.
const BALANCE_EVERY: Duration = Duration::from_millis(250);

/// Something that the orderer wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum OrdererAction {
    /// Send an order.
    Order {
        /// The replica.
        replica: ReplicaId,
        /// The order.
        order: Order,
        /// The sequence that it must name.
        expected_sequence: u64,
    },
    /// Ask a replica for its report.
    Report {
        /// The replica.
        replica: ReplicaId,
    },
}

/// Why a replica was given a goal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GoalReason {
    /// Requests wait for the model, and no replica holds it.
    Waiting,
    /// The model's demand deserves one more holder.
    Demand,
}

/// A decision about placement, for the log.
#[derive(Debug, Clone, PartialEq)]
pub enum Decision {
    /// A replica is to load a model.
    Goal {
        /// The replica.
        replica: ReplicaId,
        /// The model.
        model: ModelName,
        /// Why.
        reason: GoalReason,
        /// Replicas that hold or await it besides.
        holders: usize,
        /// Where its weights come from.
        source: WeightSource,
    },
    /// A model is to make way for a replica's goal.
    MakeWay {
        /// The replica.
        replica: ReplicaId,
        /// The model that makes way.
        model: ModelName,
        /// Cost tokens a second that depended on it there.
        value: f64,
        /// Replicas that held it.
        holders: usize,
    },
}

/// The state of the node that gives orders.
#[derive(Debug)]
pub struct Orderer {
    config: OrdererConfig,
    configuration: Arc<Configuration>,
    replicas: BTreeMap<ReplicaId, PlacedReplica>,
    demand: Demand,
    ceilings: BTreeMap<ServiceName, LoadCeiling>,
    changed: BTreeSet<ReplicaId>,
    told: BTreeMap<ReplicaId, Placement>,
    next_balance: Moment,
    decisions: Vec<Decision>,
}

impl Orderer {
    /// An orderer that has just taken over from a former one.
    pub fn new(config: OrdererConfig, configuration: Arc<Configuration>) -> Self {
        Orderer {
            config,
            configuration,
            replicas: BTreeMap::new(),
            demand: Demand::new(),
            ceilings: BTreeMap::new(),
            changed: BTreeSet::new(),
            told: BTreeMap::new(),
            next_balance: Moment::default(),
            decisions: Vec::new(),
        }
    }

    /// A newer configuration is in force.
    pub fn configure(&mut self, configuration: Arc<Configuration>) {
        self.configuration = configuration;
    }

    /// A replica is listed.
    pub fn listed(&mut self, listing: &ReplicaListing, now: Moment) {
        let is_engine = self
            .configuration
            .service(&listing.service)
            .is_some_and(|service| service.engine.is_some());
        if !is_engine {
            return;
        }
        let ledger_config = self.config.ledger;
        let replica = self
            .replicas
            .entry(listing.id.clone())
            .or_insert_with(|| PlacedReplica {
                state: listing.state,
                service: listing.service.clone(),
                ledger: ReplicaLedger::new(ledger_config, listing.holdings.clone(), now),
                goal: None,
                withdrawn: None,
                loaded_at: Default::default(),
            });
        replica.state = listing.state;
        if listing.state == ReplicaState::Draining {
            replica.goal = None;
        }
        replica.ledger.listed(&listing.holdings);
    }

    /// A replica is gone.
    pub fn removed(&mut self, id: &str) {
        self.replicas.remove(id);
        self.changed.remove(id);
        self.told.remove(id);
    }

    /// Keeps just the replicas for which `keep` holds.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.replicas.retain(|id, _| keep(id));
        self.changed.retain(|id| keep(id));
        self.told.retain(|id, _| keep(id));
    }

    /// Nodes count requests.
    pub fn count_demand(&mut self, key: &ModelKey, requests: f64, tokens: f64, now: Moment) {
        self.demand.count(key, requests, tokens, now);
    }

    /// Requests wait at a node for a model or adapter.
    pub fn mark_waiting(&mut self, key: &ModelKey, now: Moment) {
        if !self.is_held(key) {
            self.demand.mark_waiting(key, now);
        }
    }

    /// An order was answered.
    pub fn order_answered(&mut self, id: &str, outcome: OrderOutcome, now: Moment) {
        let expected_in = self.expected_time(id);
        let Some(replica) = self.replicas.get_mut(id) else {
            return;
        };
        let change = replica.ledger.answered(outcome, expected_in, now);
        self.after_change(id, change, now);
    }

    /// A replica reported, or did not.
    pub fn reported(&mut self, id: &str, report: Option<&ReplicaReport>, asked_at: Moment, now: Moment) {
        let Some(replica) = self.replicas.get_mut(id) else {
            return;
        };
        let change = match report {
            Some(report) => replica.ledger.reported(report, asked_at, now),
            None => {
                replica.ledger.report_failed(now);
                LedgerChange::None
            }
        };
        self.after_change(id, change, now);
    }

    /// Plans: what should be asked and ordered now. Orders are planned only if `may_order`.
    pub fn plan(&mut self, may_order: bool, now: Moment) -> Vec<OrdererAction> {
        let mut actions = Vec::new();
        for (id, replica) in &mut self.replicas {
            if replica.ledger.wants_report(now) {
                actions.push(OrdererAction::Report { replica: id.clone() });
            }
        }
        if !may_order {
            return actions;
        }
        let waiting = self.demand.waiting(now);
        let balances = now >= self.next_balance;
        if balances {
            self.next_balance = now + BALANCE_EVERY;
        }
        let services: Vec<Arc<Service>> = self.configuration.services().cloned().collect();
        for service in services {
            if let Some(engine) = &service.engine {
                self.set_goals(&service.name, engine, &waiting, now);
                if balances {
                    self.add_holders(&service.name, engine, now);
                }
                self.place_adapters(&service.name, engine, &waiting, now, &mut actions);
                self.step_goals(&service.name, engine, now, &mut actions);
            }
        }
        actions
    }

    /// Decisions since the last call.
    pub fn take_decisions(&mut self) -> Vec<Decision> {
        std::mem::take(&mut self.decisions)
    }

    /// What changed since the last call, to be told to all nodes.
    pub fn take_changes(&mut self, now: Moment) -> Vec<Placement> {
        let changed = std::mem::take(&mut self.changed);
        let placements: Vec<Placement> = changed.iter().filter_map(|id| self.placement(id, now)).collect();
        placements
            .into_iter()
            .filter(|placement| self.is_news(placement))
            .collect()
    }

    /// True if the placement tells more than was told before; remembers it.
    fn is_news(&mut self, placement: &Placement) -> bool {
        let known = self.told.get(&placement.replica);
        if known.is_some_and(|known| placement.says_the_same_as(known)) {
            return false;
        }
        self.told.insert(placement.replica.clone(), placement.clone());
        true
    }

    /// Everything, for a node that has just connected.
    pub fn all_placements(&self, now: Moment) -> Vec<Placement> {
        self.replicas
            .keys()
            .filter_map(|id| self.placement(id, now))
            .collect()
    }

    /// Loads from the weight store that may begin in a window.
    fn ceiling(&self, engine: &EngineSpec) -> usize {
        (engine.loads_per_second * self.config.ceiling_window.as_secs_f64()).floor() as usize
    }

    fn store_allowed(&mut self, service: &ServiceName, engine: &EngineSpec, now: Moment) -> bool {
        let ceiling = self.ceiling(engine);
        let window = self.config.ceiling_window;
        let loads = self.ceilings.entry(service.clone()).or_insert_with(|| {
            let mut loads = LoadCeiling::new(window);
            loads.assume_full(now, ceiling);
            loads
        });
        loads.admits(now, ceiling)
    }

    fn placement_of<'a>(
        &'a self,
        service: &'a ServiceName,
        engine: &'a EngineSpec,
        now: Moment,
    ) -> ServicePlacement<'a> {
        ServicePlacement {
            config: &self.config.placement,
            service,
            engine,
            demand: &self.demand,
            replicas: &self.replicas,
            now,
        }
    }

    /// Sets goals for models that are waited for and held nowhere.
    fn set_goals(&mut self, service: &ServiceName, engine: &EngineSpec, waiting: &[ModelKey], now: Moment) {
        let mut wanted: Vec<&ModelName> = waiting
            .iter()
            .filter(|key| key.service == *service)
            .map(|key| &key.model)
            .collect();
        wanted.dedup();
        if wanted.is_empty() {
            return;
        }
        let store_allowed = self.store_allowed(service, engine, now);
        for model in wanted {
            let view = self.placement_of(service, engine, now);
            let holders = view.holders();
            if holders.get(model).copied().unwrap_or(0) > 0 {
                continue;
            }
            if let Some((id, _)) = view.best_place(model, &holders, store_allowed) {
                self.set_goal(&id, model.clone(), GoalReason::Waiting, 0);
            }
        }
    }

    /// Gives one more holder to the model that deserves it most.
    fn add_holders(&mut self, service: &ServiceName, engine: &EngineSpec, now: Moment) {
        let store_allowed = self.store_allowed(service, engine, now);
        let view = self.placement_of(service, engine, now);
        let holders = view.holders();
        let mut lacking: Vec<(f64, ModelName)> = engine
            .model_order
            .iter()
            .filter_map(|model| {
                let count = holders.get(model).copied().unwrap_or(0);
                let lacks = count < view.deserved_holders(model) && (count > 0 || view.is_expected(model));
                lacks.then(|| (view.value_of_holder(model, count + 1), model.clone()))
            })
            .collect();
        lacking.sort_by(|left, right| right.0.total_cmp(&left.0));
        let Some((gain, model)) = lacking.into_iter().next() else {
            return;
        };
        let place = view.best_place(&model, &holders, store_allowed);
        let least_gain = self.config.placement.least_gain;
        if let Some((id, _)) = place.filter(|(_, displaced)| gain > least_gain * displaced) {
            let count = holders.get(&model).copied().unwrap_or(0);
            self.set_goal(&id, model, GoalReason::Demand, count);
        }
    }

    fn set_goal(&mut self, id: &ReplicaId, model: ModelName, reason: GoalReason, holders: usize) {
        if let Some(replica) = self.replicas.get_mut(id) {
            let source = weight_source(replica.ledger.holdings(), &model);
            let decision = Decision::Goal {
                replica: id.clone(),
                model: model.clone(),
                reason,
                holders,
                source,
            };
            self.decisions.push(decision);
            replica.goal = Some(model);
            self.changed.insert(id.clone());
        }
    }

    /// The next step of each replica that has a goal: load it, or make room.
    fn step_goals(
        &mut self,
        service: &ServiceName,
        engine: &EngineSpec,
        now: Moment,
        actions: &mut Vec<OrdererAction>,
    ) {
        let ids: Vec<ReplicaId> = self
            .replicas
            .iter()
            .filter(|(_, replica)| replica.service == *service && replica.goal.is_some())
            .filter(|(_, replica)| replica.ledger.is_idle())
            .map(|(id, _)| id.clone())
            .collect();
        for id in ids {
            if let Some(order) = self.next_step(&id, service, engine, now) {
                actions.push(self.send(&id, order, now));
            }
        }
    }

    fn next_step(
        &mut self,
        id: &ReplicaId,
        service: &ServiceName,
        engine: &EngineSpec,
        now: Moment,
    ) -> Option<Order> {
        let replica = self.replicas.get(id)?;
        let goal = replica.goal.clone()?;
        let holdings = replica.ledger.holdings();
        let spec = engine.models.get(&goal);
        let Some(spec) = spec.filter(|_| !holdings.serves(&goal, None)) else {
            self.drop_goal(id);
            return None;
        };
        if memory_used(engine, holdings) + spec.weights_mb <= engine.weights_mb {
            return self.load_step(id, goal, service, engine, now);
        }
        self.room_step(id, service, engine, now)
    }

    fn load_step(
        &mut self,
        id: &ReplicaId,
        goal: ModelName,
        service: &ServiceName,
        engine: &EngineSpec,
        now: Moment,
    ) -> Option<Order> {
        let from_store =
            weight_source(self.replicas.get(id)?.ledger.holdings(), &goal) == WeightSource::Store;
        if from_store {
            if !self.store_allowed(service, engine, now) {
                return None;
            }
            if let Some(ceiling) = self.ceilings.get_mut(service) {
                ceiling.begin(now);
            }
        }
        Some(Order::LoadModel(goal))
    }

    fn room_step(
        &mut self,
        id: &ReplicaId,
        service: &ServiceName,
        engine: &EngineSpec,
        now: Moment,
    ) -> Option<Order> {
        let notice = self.config.withdraw_notice;
        let replica = self.replicas.get(id)?;
        if let Some((model, since)) = &replica.withdrawn {
            if !replica.ledger.holdings().serves(model, None) {
                self.replicas.get_mut(id)?.withdrawn = None;
                return None;
            }
            return (now.since(*since) >= notice).then(|| Order::UnloadModel(model.clone()));
        }
        let view = self.placement_of(service, engine, now);
        let holders = view.holders();
        let Some(victim) = view.victim(replica, &holders) else {
            self.drop_goal(id);
            return None;
        };
        let count = holders.get(&victim).copied().unwrap_or(0);
        let value = view.value_of_holder(&victim, count);
        let decision = Decision::MakeWay {
            replica: id.clone(),
            model: victim.clone(),
            value,
            holders: count,
        };
        self.decisions.push(decision);
        self.replicas.get_mut(id)?.withdrawn = Some((victim, now));
        self.changed.insert(id.clone());
        None
    }

    fn drop_goal(&mut self, id: &ReplicaId) {
        if let Some(replica) = self.replicas.get_mut(id) {
            replica.goal = None;
            replica.withdrawn = None;
            self.changed.insert(id.clone());
        }
    }

    /// Loads adapters that are waited for onto replicas that hold their model.
    fn place_adapters(
        &mut self,
        service: &ServiceName,
        engine: &EngineSpec,
        waiting: &[ModelKey],
        now: Moment,
        actions: &mut Vec<OrdererAction>,
    ) {
        for key in waiting {
            let Some(adapter) = key.adapter.clone().filter(|_| key.service == *service) else {
                continue;
            };
            if self.is_held(key) || self.is_ordered(key) {
                continue;
            }
            let view = self.placement_of(service, engine, now);
            let Some(id) = view.adapter_place(&key.model) else {
                continue;
            };
            let Some(replica) = self.replicas.get(&id) else {
                continue;
            };
            let holdings = replica.ledger.holdings();
            let spec = engine.models.get(&key.model);
            let memory = memory_used(engine, holdings) + spec.map_or(0.0, |spec| spec.adapter_mb);
            let fits = holdings.adapter_count() < engine.adapter_slots && memory <= engine.weights_mb;
            let order = if fits {
                Order::LoadAdapter(key.model.clone(), adapter)
            } else {
                match view.adapter_victim(replica) {
                    Some((model, adapter)) => Order::UnloadAdapter(model, adapter),
                    None => continue,
                }
            };
            actions.push(self.send(&id, order, now));
        }
    }

    fn send(&mut self, id: &ReplicaId, order: Order, now: Moment) -> OrdererAction {
        let replica = self.replicas.get_mut(id).expect("orders go to known replicas");
        let expected_sequence = replica.ledger.send(order.clone(), now);
        self.changed.insert(id.clone());
        OrdererAction::Order {
            replica: id.clone(),
            order,
            expected_sequence,
        }
    }

    /// True if a ready replica holds the model, and the adapter if one is named.
    fn is_held(&self, key: &ModelKey) -> bool {
        self.replicas.values().any(|replica| {
            replica.service == key.service
                && replica.keeps(&key.model)
                && replica
                    .ledger
                    .holdings()
                    .serves(&key.model, key.adapter.as_deref())
        })
    }

    /// True if an order under way brings the adapter.
    fn is_ordered(&self, key: &ModelKey) -> bool {
        self.replicas
            .values()
            .any(|replica| match replica.ledger.pending() {
                Some(Order::LoadAdapter(model, adapter)) => {
                    *model == key.model && Some(adapter) == key.adapter.as_ref()
                }
                _ => false,
            })
    }

    fn after_change(&mut self, id: &str, change: LedgerChange, now: Moment) {
        let Some((id, replica)) = self.replicas.get_key_value(id) else {
            return;
        };
        let (id, service) = (id.clone(), replica.service.clone());
        match &change {
            LedgerChange::None => return,
            LedgerChange::Holdings => {}
            LedgerChange::Done(order) => self.order_done(&id, &service, order, now),
            LedgerChange::Failed(_) => {}
        }
        self.changed.insert(id);
    }

    fn order_done(&mut self, id: &ReplicaId, service: &ServiceName, order: &Order, now: Moment) {
        match order {
            Order::LoadModel(model) => {
                let key = ModelKey {
                    service: service.clone(),
                    model: model.clone(),
                    adapter: None,
                };
                self.demand.clear_waiting(&key);
                self.drop_goal(id);
                if let Some(replica) = self.replicas.get_mut(id) {
                    replica.loaded_at.insert(model.clone(), now);
                }
            }
            Order::LoadAdapter(model, adapter) => {
                let adapter = Some(adapter.clone());
                let key = ModelKey {
                    service: service.clone(),
                    model: model.clone(),
                    adapter,
                };
                self.demand.clear_waiting(&key);
            }
            Order::UnloadModel(_) => {
                if let Some(replica) = self.replicas.get_mut(id) {
                    replica.withdrawn = None;
                }
            }
            Order::UnloadAdapter(..) => {}
        }
    }

    /// Expected time of the order under way at a replica.
    fn expected_time(&self, id: &str) -> Duration {
        let Some(replica) = self.replicas.get(id) else {
            return Duration::ZERO;
        };
        let engine = self
            .configuration
            .service(&replica.service)
            .and_then(|service| service.engine.as_ref());
        match (replica.ledger.pending(), engine) {
            (Some(Order::LoadModel(model)), Some(engine)) => {
                load_time(engine, replica.ledger.holdings(), model).unwrap_or(self.config.unload)
            }
            (Some(Order::UnloadModel(_)), _) => self.config.unload,
            _ => self.config.adapter_load,
        }
    }

    fn placement(&self, id: &ReplicaId, now: Moment) -> Option<Placement> {
        let replica = self.replicas.get(id)?;
        let usable = usable_holdings(replica);
        let mut arriving = Vec::new();
        if let Some(goal) = &replica.goal {
            arriving.push(Arrival {
                model: goal.clone(),
                ready_at: self.ready_at(replica, goal, now),
            });
        }
        Some(Placement {
            replica: id.clone(),
            usable,
            arriving,
        })
    }

    /// When a replica's goal should be ready: its load as told by its account,
    /// or else making room and loading, both still to come.
    fn ready_at(&self, replica: &PlacedReplica, goal: &ModelName, now: Moment) -> Moment {
        let lag = self.config.ledger.poll_every + self.config.ledger.report_lag / 2;
        if let Some((_, expected_at)) = replica.ledger.loading().filter(|(model, _)| *model == goal) {
            return expected_at + lag;
        }
        let engine = self
            .configuration
            .service(&replica.service)
            .and_then(|service| service.engine.as_ref());
        let load = engine.and_then(|engine| load_time(engine, replica.ledger.holdings(), goal));
        now + self.config.unload + lag + load.unwrap_or_default() + lag
    }
}

/// Holdings that requests may rely on: without what makes way.
fn usable_holdings(replica: &PlacedReplica) -> Holdings {
    let mut usable = replica.ledger.holdings().clone();
    if let Some((withdrawn, _)) = &replica.withdrawn {
        usable.models.retain(|held| held.model != *withdrawn);
    }
    match replica.ledger.pending() {
        Some(Order::UnloadModel(model)) => usable.models.retain(|held| held.model != *model),
        Some(Order::UnloadAdapter(model, adapter)) => {
            for held in usable.models.iter_mut().filter(|held| held.model == *model) {
                held.adapters.retain(|present| present != adapter);
            }
        }
        _ => {}
    }
    usable
}
