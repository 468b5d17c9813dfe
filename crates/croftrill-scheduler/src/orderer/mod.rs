//! The orderer: derives the next orders from the demand and the replicas' holdings.
//!
//! [`goals`] selects what replicas load and evict, [`adapters`] places adapters,
//! [`store_loads`] limits loads from the weight store, [`reports`] selects the replicas to
//! request reports from, [`work`] measures the work at the replicas, [`listings`] and
//! [`incarnation`] handle listed and restarted replicas and [`former_lives`] orders that may
//! still reach them, [`outcomes`] what orders and reports change, [`version_waits`] loads models
//! for streams that go on at one software version only, and [`placement_updates`] determines
//! what is published to the nodes.
//!
//! The orderer has no durable state. A new orderer starts with the listed replicas, confirms
//! each of them by a report, and counts its predecessor's loads as just started.

mod adapters;
mod decision;
mod former_lives;
mod goals;
mod incarnation;
mod listings;
mod outcomes;
mod placement_updates;
mod reports;
mod store_loads;
mod version_waits;
mod work;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

pub use self::decision::{Decision, GoalReason};
use self::reports::RoutineReports;
use self::version_waits::VersionWaits;
use self::work::WorkMeter;
use crate::catalog::{Configuration, EngineSpec, ModelName, Service, ServiceName};
use crate::demand::{Demand, DemandSample, ModelKey};
use crate::hand_over::{HandOver, OrderHistory, PastLoad, ReceivedResignation};
use crate::load_ceiling::LoadCeiling;
use crate::load_concurrency::LoadConcurrency;
use crate::placement::{OrderedBy, PlacementConfig, ServicePlacement, TrackedReplicas};
use crate::replica::{Order, ReplicaId};
use crate::replica_ledger::LedgerConfig;
use crate::replica_room::RoomUse;
use crate::replica_table::Placement;
use crate::shard::{OrderScope, Shard, SHARD_COUNT};
use crate::time::Moment;
use crate::unanswered_orders::{OthersOrders, UnansweredOrders};

/// Parameters of the orderer.
#[derive(Debug, Clone, Copy)]
pub struct OrdererConfig {
    /// The replicas that it sends orders to; it only tracks the others.
    pub scope: OrderScope,
    /// Parameters of placement.
    pub placement: PlacementConfig,
    /// Timing of the replica ledgers.
    pub ledger: LedgerConfig,
    /// Length of the sliding window in which loads from the weight store are limited.
    pub ceiling_window: Duration,
    /// Time between publishing that a model is withdrawn from a replica and unloading it.
    pub withdraw_notice: Duration,
    /// Minimum time between the orders of two machines at one replica.
    pub order_gap: Duration,
    /// Expected time to load an adapter.
    pub adapter_load: Duration,
    /// Expected time to unload a model.
    pub unload: Duration,
    /// What is known of orders of other machines; `None` if no other one has ever ordered.
    pub others_orders: Option<OthersOrders>,
    /// True if callers compete for capacity: the number of holders then follows the work even
    /// where replicas report only their requests, but not their work time.
    pub callers_compete: bool,
}

/// Interval at which models are checked for whether they need one more holder.
const BALANCE_INTERVAL: Duration = Duration::from_millis(250);

/// An action that the orderer requests from its node.
#[derive(Debug, Clone, PartialEq)]
pub enum OrdererAction {
    /// Send an order.
    Order {
        /// The replica.
        replica: ReplicaId,
        /// The order.
        order: Order,
        /// The sequence that the order must name.
        expected_sequence: u64,
    },
    /// Request a report from a replica.
    RequestReport {
        /// The replica.
        replica: ReplicaId,
        /// True if an order depends on the report.
        is_awaited: bool,
    },
}

/// The state of an orderer.
#[derive(Debug)]
pub struct Orderer {
    config: OrdererConfig,
    configuration: Arc<Configuration>,
    replicas: TrackedReplicas,
    /// Replicas that this orderer's node cannot connect to.
    out_of_reach: BTreeSet<ReplicaId>,
    demand: Demand,
    /// Measured work of each service whose replicas report their load.
    work: BTreeMap<ServiceName, WorkMeter>,
    /// Waiting models tried in the current round, in which each is tried once, the one with
    /// the one whose callers have the least time left first.
    tried_waiting_models: BTreeSet<ModelName>,
    /// Number of checks for additional holders so far. It determines which of the models that
    /// are not busy are considered next.
    balance_rounds: usize,
    /// Models tried for one more holder in the current round, in which each is tried once.
    tried_underprovisioned_models: BTreeSet<ModelName>,
    version_waits: VersionWaits,
    load_ceilings: BTreeMap<ServiceName, LoadCeiling>,
    load_concurrency: BTreeMap<ServiceName, LoadConcurrency>,
    /// Time since which the weight store has had a free slot.
    store_free_since: BTreeMap<ServiceName, Moment>,
    /// Start times of this orderer's running loads from the weight store.
    store_loads: BTreeMap<ReplicaId, Moment>,
    /// Replicas with orders that got no answer yet.
    with_unanswered: BTreeSet<ReplicaId>,
    /// Orders without an answer to replicas that are not listed at the moment.
    absent_orders: BTreeMap<ReplicaId, UnansweredOrders>,
    changed: BTreeSet<ReplicaId>,
    published: BTreeMap<ReplicaId, Placement>,
    next_balance: Moment,
    /// Offset in the waiting models at which the next plan continues to select targets.
    waiting_models_offset: usize,
    decisions: Vec<Decision>,
    routine_reports: RoutineReports,
    /// Time of the takeover. The predecessor's loads count as started then, unless it
    /// handed them over.
    took_over_at: Moment,
    /// True if the predecessor handed over its loads.
    predecessor_loads_known: bool,
    history: OrderHistory,
    /// By shard, whether its orderer is reachable.
    reachable: [bool; SHARD_COUNT],
}

impl Orderer {
    /// Creates an orderer that took over from its predecessor at `took_over_at`.
    pub fn new(config: OrdererConfig, configuration: Arc<Configuration>, took_over_at: Moment) -> Self {
        Orderer {
            config,
            configuration,
            replicas: TrackedReplicas::default(),
            demand: Demand::new(),
            work: BTreeMap::new(),
            tried_waiting_models: BTreeSet::new(),
            balance_rounds: 0,
            tried_underprovisioned_models: BTreeSet::new(),
            version_waits: VersionWaits::default(),
            load_ceilings: BTreeMap::new(),
            load_concurrency: BTreeMap::new(),
            store_free_since: BTreeMap::new(),
            out_of_reach: BTreeSet::new(),
            store_loads: BTreeMap::new(),
            with_unanswered: BTreeSet::new(),
            absent_orders: BTreeMap::new(),
            changed: BTreeSet::new(),
            published: BTreeMap::new(),
            next_balance: Moment::default(),
            waiting_models_offset: 0,
            decisions: Vec::new(),
            routine_reports: RoutineReports::new(took_over_at),
            took_over_at,
            predecessor_loads_known: false,
            history: OrderHistory::new(config.order_gap),
            reachable: [false; SHARD_COUNT],
        }
    }

    /// Applies the predecessor's resignation. It replaces the assumptions about the
    /// predecessor's orders and loads.
    pub fn inherit(&mut self, resignation: &ReceivedResignation) {
        self.history.inherit(resignation.held_until());
        self.predecessor_loads_known = true;
        let mut started: Vec<(Moment, &ServiceName)> = resignation
            .load_starts()
            .map(|(service, started)| (started, service))
            .collect();
        started.sort();
        let window = self.config.ceiling_window;
        for (moment, service) in started {
            self.load_ceilings
                .entry(service.clone())
                .or_insert_with(|| LoadCeiling::new(window))
                .record_start(moment);
        }
    }

    /// Notes that this machine continues an earlier process or term of its own.
    pub fn continue_own_term(&mut self, now: Moment) {
        self.history.continue_own_term(now);
    }

    /// Returns the orders and loads that a successor must take into account. Must be called
    /// after the last order of the term.
    pub fn hand_over(&self, now: Moment) -> HandOver {
        let window = self.config.ceiling_window;
        let loads = self.load_ceilings.iter().flat_map(|(service, ceiling)| {
            ceiling.started().map(move |started| PastLoad {
                service: service.clone(),
                age: now.since(started),
            })
        });
        HandOver {
            hold_all: self.history.hold_all(now),
            holds: self.history.holds(now),
            loads: loads.filter(|load| load.age <= window).collect(),
        }
    }

    /// Replaces the configuration.
    pub fn configure(&mut self, configuration: Arc<Configuration>) {
        self.configuration = configuration;
    }

    /// Sets which shards' orderers are reachable. Replicas of the other shards get no orders.
    pub fn set_reachable(&mut self, reachable: [bool; SHARD_COUNT]) {
        if self.reachable == reachable {
            return;
        }
        self.reachable = reachable;
        for (id, replica) in self.replicas.iter_mut() {
            replica.ordered_by = responsible_orderer(self.config.scope, &reachable, id);
        }
    }

    /// Sets which replicas this orderer's node cannot connect to. They have no models and get no
    /// orders, whatever their listings say.
    pub fn set_out_of_reach(&mut self, out_of_reach: BTreeSet<ReplicaId>) {
        let former = std::mem::replace(&mut self.out_of_reach, out_of_reach);
        for id in former.symmetric_difference(&self.out_of_reach) {
            if let Some(replica) = self.replicas.get_mut(id) {
                replica.is_out_of_reach = self.out_of_reach.contains(id);
            }
        }
    }

    /// Returns true if a ready replica holds the model, and the adapter if the key names one.
    pub fn is_held(&self, key: &ModelKey) -> bool {
        let fleet = self.replicas.fleet(&key.service);
        let mut holders = fleet
            .current_holders(&key.model)
            .filter_map(|id| self.replicas.get(id));
        let adapter = key.adapter.as_deref();
        holders.any(|replica| replica.ledger.holdings().serves(&key.model, adapter))
    }

    /// Returns true if one of these replicas holds the model, as [`Self::is_held`] tells it.
    pub fn is_held_by(&self, model: &str, replicas: &BTreeSet<ReplicaId>) -> bool {
        let mut replicas = replicas.iter().filter_map(|id| self.replicas.get(id));
        replicas.any(|replica| replica.retains(model))
    }

    /// Counts requests that nodes received. Those for a model or adapter that the configuration lacks are
    /// passed over, as callers may make up any number of names.
    pub fn count_demand(&mut self, key: &ModelKey, asked: &DemandSample, now: Moment) {
        if self.is_configured(key) {
            self.demand.count(key, asked, now);
        }
    }

    fn is_configured(&self, key: &ModelKey) -> bool {
        let service = self.configuration.service(&key.service);
        let engine = service.and_then(|service| service.engine.as_ref());
        engine.is_some_and(|engine| engine.find_model(&key.model, key.adapter.as_deref()).is_some())
    }

    /// Records that requests wait at a node for a model or adapter, unless a replica holds it. If it is
    /// an adapter that should have arrived, a report shows whether it has.
    pub fn mark_waiting(&mut self, key: &ModelKey, now: Moment) {
        if self.is_held(key) {
            self.await_arrivals_of(key);
        } else if self.is_configured(key) {
            self.demand.mark_waiting(key, now);
        }
    }

    /// Returns the report requests and orders to send now. There are no orders unless
    /// `may_order` is true.
    pub fn plan(&mut self, may_order: bool, now: Moment) -> Vec<OrdererAction> {
        self.history.prune(now);
        self.prune_unanswered(now);
        let mut actions = self.request_reports(now);
        if !may_order {
            return actions;
        }
        let waiting = self.demand.awaited_models(now);
        let is_balance_due = now >= self.next_balance;
        if is_balance_due {
            self.next_balance = now + BALANCE_INTERVAL;
            self.balance_rounds = self.balance_rounds.wrapping_add(1);
        }
        let services: Vec<Arc<Service>> = self.configuration.services().cloned().collect();
        for service in services {
            if let Some(engine) = &service.engine {
                if is_balance_due {
                    self.measure_work(&service.name, now);
                    self.observe_store_slots(&service.name, engine, now);
                }
                self.set_goals(&service.name, engine, &waiting, now);
                self.set_version_goals(&service.name, engine, now);
                if is_balance_due {
                    self.add_holders(&service.name, engine, now);
                }
                self.place_adapters(&service.name, engine, &waiting, now, &mut actions);
                self.step_goals(&service.name, engine, now, &mut actions);
            }
        }
        actions
    }

    /// Returns the decisions since the last call.
    pub fn take_decisions(&mut self) -> Vec<Decision> {
        std::mem::take(&mut self.decisions)
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
            reload_times: Default::default(),
            work: self.service_work(service),
            default_caller_time: self.configuration.longest_attempt(service),
            now,
        }
    }

    /// Records an order as sent and returns the action that sends it.
    fn send(&mut self, id: &ReplicaId, order: Order, now: Moment) -> OrdererAction {
        let replica = self.replicas.get_mut(id).expect("orders go to known replicas");
        let expected_sequence = replica.ledger.begin_order(order.clone(), now);
        let life = replica.started_ms;
        replica
            .unanswered
            .record_sent(order.clone(), expected_sequence, life, now);
        self.with_unanswered.insert(id.clone());
        self.history.record_sent(id);
        self.changed.insert(id.clone());
        OrdererAction::Order {
            replica: id.clone(),
            order,
            expected_sequence,
        }
    }

    /// Returns true if the adapter is being ordered or loaded at a holder of its model.
    fn is_adapter_ordered(&self, key: &ModelKey) -> bool {
        let adapter = key.adapter.as_deref().unwrap_or_default();
        let fleet = self.replicas.fleet(&key.service);
        let mut holders = fleet
            .current_holders(&key.model)
            .filter_map(|id| self.replicas.get(id));
        holders.any(|replica| match replica.ledger.pending() {
            _ if replica.ledger.is_in_transit(&key.model, adapter) => true,
            Some(Order::LoadAdapter(model, adapter)) => {
                *model == key.model && Some(adapter) == key.adapter.as_ref()
            }
            _ => false,
        })
    }

    /// Returns what is counted as taking room at a replica with models.
    pub fn room_use(&self, id: &str) -> Option<RoomUse> {
        let replica = self.replicas.get(id)?;
        let engine = self.configuration.service(&replica.service)?.engine.as_ref()?;
        Some(replica.room_use(engine))
    }
}

/// Returns the orderer that sends orders to a replica.
fn responsible_orderer(scope: OrderScope, reachable: &[bool; SHARD_COUNT], id: &str) -> OrderedBy {
    if scope.covers(id) {
        OrderedBy::ThisOrderer
    } else if reachable[Shard::of_replica(id).index()] {
        OrderedBy::OtherOrderer
    } else {
        OrderedBy::Nobody
    }
}
