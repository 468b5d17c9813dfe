//! Emulates replicas and their orderer in simulated time.
//!
//! Answers can be lost, orders can be executed late, and reports lag. The orderer is the
//! scheduler's production code.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use croftrill_replica_model::{ReplicaModel, ReplicaSpec};
use croftrill_scheduler::catalog::{
    CallerLimits, Configuration, EngineSpec, ModelName, ModelSpec, Service, ServiceName,
};
use croftrill_scheduler::orderer::{Orderer, OrdererAction, OrdererConfig};
use croftrill_scheduler::placement::PlacementConfig;
use croftrill_scheduler::replica::{
    Holdings, Order, OrderOutcome, ReplicaId, ReplicaListing, ReplicaState, StartedMs,
};
use croftrill_scheduler::replica_ledger::LedgerConfig;
use croftrill_scheduler::shard::OrderScope;
use croftrill_scheduler::time::Moment;

/// Memory of a replica for models and adapters, in MB.
pub const WEIGHTS_MB: f64 = 200.0;
/// Adapter slots of a replica.
pub const ADAPTER_SLOTS: usize = 3;
/// Ceiling on loads from the weight store, per second.
pub const LOADS_PER_SECOND: f64 = 2.0;
/// Number of adapters of each model.
const ADAPTERS_OF_MODEL: u32 = 9;
/// Start time that replicas report in their first life; it rises by one with each restart.
pub const FIRST_START_MS: StartedMs = 1;
/// Window over which the ceiling on loads from the weight store is enforced.
pub const CEILING_WINDOW: Duration = Duration::from_secs(5);

/// Returns the moment the given number of milliseconds after the start.
pub fn at(millis: u64) -> Moment {
    Moment::from_start(Duration::from_millis(1_000_000 + millis))
}

/// Returns a configuration with one service whose models have two sizes: every third one is small.
pub fn configuration(models: usize) -> Arc<Configuration> {
    let specs: Vec<ModelSpec> = (0..models)
        .map(|index| ModelSpec {
            name: format!("m{index}").into(),
            weights_mb: if index % 3 == 0 { 45.0 } else { 72.0 },
            adapter_mb: 2.0,
            adapter_count: ADAPTERS_OF_MODEL,
            store_load: Duration::from_millis(2000),
            disk_load: Duration::from_millis(800),
            memory_load: Duration::from_millis(400),
        })
        .collect();
    let engine = EngineSpec {
        model_order: specs.iter().map(|spec| spec.name.clone()).collect(),
        models: specs.into_iter().map(|spec| (spec.name.clone(), spec)).collect(),
        weights_mb: WEIGHTS_MB,
        adapter_slots: ADAPTER_SLOTS,
        loads_per_second: LOADS_PER_SECOND,
        kv_capacity: 100_000,
    };
    let service = Service {
        name: "llm".into(),
        max_connections: 100,
        engine: Some(engine),
    };
    Arc::new(Configuration::new(
        1,
        CallerLimits::default(),
        vec![service],
        Vec::new(),
    ))
}

fn engine_of(configuration: &Configuration) -> &EngineSpec {
    let service = configuration.service(&ServiceName::from("llm"));
    let engine = service.and_then(|service| service.engine.as_ref());
    engine.expect("the service has an engine")
}

/// Returns the orderer settings of a node.
pub fn orderer_config() -> OrdererConfig {
    OrdererConfig {
        placement: PlacementConfig::default(),
        ledger: LedgerConfig::default(),
        scope: OrderScope::Everything,
        order_gap: Duration::from_millis(3250),
        ceiling_window: CEILING_WINDOW,
        withdraw_notice: Duration::from_millis(30),
        adapter_load: Duration::from_millis(30),
        unload: Duration::from_millis(200),
        others_orders: None,
        callers_compete: false,
    }
}

/// A simulated replica, and the orders that reach it late.
pub struct SimulatedReplica {
    /// Its state.
    pub model: ReplicaModel,
    late_orders: Vec<(Moment, Order, u64)>,
}

impl SimulatedReplica {
    fn new(models: &[&str], spec: ReplicaSpec) -> Self {
        let models: Vec<ModelName> = models.iter().map(|model| (*model).into()).collect();
        SimulatedReplica {
            model: ReplicaModel::new(spec, &models, Some(FIRST_START_MS), at(0)),
            late_orders: Vec::new(),
        }
    }

    /// Returns what the replica holds.
    pub fn holdings(&self) -> &Holdings {
        self.model.holdings()
    }

    /// Restarts the replica under the same ID, with empty holdings and a reset order sequence.
    /// Orders that are late still reach it.
    pub fn restart(&mut self, now: Moment) {
        self.model.restart(now);
    }

    /// Accepts or rejects an order; returns the outcome and whether a load from the weight store starts.
    fn receive_order(&mut self, order: &Order, expected: u64, now: Moment) -> (OrderOutcome, bool) {
        let from_store = self.model.loads_from_store(order);
        let outcome = self.model.order(order, Some(expected), now);
        (outcome, from_store && outcome == OrderOutcome::Accepted)
    }

    fn step(&mut self, now: Moment) -> usize {
        self.model.advance(now);
        let (due, later) = self.late_orders.drain(..).partition(|late| late.0 <= now);
        self.late_orders = later;
        let due: Vec<(Moment, Order, u64)> = due;
        let mut store_loads = 0;
        for (_, order, expected) in due {
            store_loads += usize::from(self.receive_order(&order, expected, now).1);
        }
        store_loads
    }
}

/// What happens to an order and its answer.
#[derive(Debug, Clone, Copy)]
pub enum OrderDelivery {
    /// The order and its answer arrive.
    Answered,
    /// The order arrives, but its answer is lost.
    AnswerLost,
    /// The order arrives after the given number of milliseconds, and its answer is lost.
    Late(u64),
}

/// The outcome of an order, with the life of the replica that it was sent to.
struct OrderAnswer {
    replica: ReplicaId,
    started_ms: Option<StartedMs>,
    outcome: OrderOutcome,
}

/// An orderer and its replicas in simulated time.
pub struct World {
    /// The configuration in force.
    pub configuration: Arc<Configuration>,
    /// The orderer.
    pub orderer: Orderer,
    /// The replicas.
    pub replicas: BTreeMap<ReplicaId, SimulatedReplica>,
    /// All orders sent so far.
    pub orders: Vec<(Moment, ReplicaId, Order)>,
    /// Start times of the loads from the weight store.
    pub store_loads: Vec<Moment>,
    /// What happens to the next orders; orders beyond the queue are answered.
    pub deliveries: VecDeque<OrderDelivery>,
    answers: Vec<(Moment, OrderAnswer)>,
    reports: Vec<(Moment, ReplicaId, Moment)>,
    /// The current simulated time.
    pub now: Moment,
    /// Whether the orderer may send orders, as after its quiet period.
    pub may_order: bool,
}

impl World {
    /// Creates replicas that hold the given models, and an orderer that has just started.
    pub fn new(models: usize, holdings: &[&[&str]]) -> Self {
        let configuration = configuration(models);
        Self::with_config(configuration, orderer_config(), holdings)
    }

    /// Creates a world with the given configuration and orderer settings.
    pub fn with_config(
        configuration: Arc<Configuration>,
        config: OrdererConfig,
        holdings: &[&[&str]],
    ) -> Self {
        let mut orderer = Orderer::new(config, configuration.clone(), at(0));
        let spec = ReplicaSpec::of_engine(engine_of(&configuration));
        let mut replicas = BTreeMap::new();
        for (index, models) in holdings.iter().enumerate() {
            let id: ReplicaId = format!("r{index}").into();
            let replica = SimulatedReplica::new(models, spec.clone());
            orderer.apply_listing(&listing(&id, replica.holdings()), at(0));
            replicas.insert(id, replica);
        }
        World {
            configuration,
            orderer,
            replicas,
            orders: Vec::new(),
            store_loads: Vec::new(),
            deliveries: VecDeque::new(),
            answers: Vec::new(),
            reports: Vec::new(),
            now: at(0),
            may_order: true,
        }
    }

    /// Creates replicas that hold two models each, assigned round-robin.
    pub fn round_robin(replicas: usize, models: usize, config: OrdererConfig) -> Self {
        let held: Vec<Vec<String>> = (0..replicas)
            .map(|replica| {
                (0..2)
                    .map(|offset| format!("m{}", (replica * 2 + offset) % models))
                    .collect()
            })
            .collect();
        let names: Vec<Vec<&str>> = held
            .iter()
            .map(|models| models.iter().map(String::as_str).collect())
            .collect();
        let slices: Vec<&[&str]> = names.iter().map(Vec::as_slice).collect();
        Self::with_config(configuration(models), config, &slices)
    }

    /// Replaces the orderer by one that knows only what the replicas list. Answers to the former
    /// one are lost; its orders that are late still reach the replicas.
    pub fn replace_orderer(&mut self, config: OrdererConfig) {
        self.orderer = Orderer::new(config, self.configuration.clone(), self.now);
        self.answers.clear();
        self.reports.clear();
        for (id, replica) in &self.replicas {
            let listing = listing_of(id, replica);
            self.orderer.apply_listing(&listing, self.now);
        }
    }

    /// Restarts a replica under its id. Its entry says so at once.
    pub fn restart(&mut self, id: &str) {
        if let Some(replica) = self.replicas.get_mut(id) {
            replica.restart(self.now);
            let listing = listing_of(&id.into(), replica);
            self.orderer.apply_listing(&listing, self.now);
        }
    }

    /// Sets the time that adapters take to arrive from now on, in milliseconds.
    pub fn set_adapter_transit_ms(&mut self, transit_ms: u64) {
        for replica in self.replicas.values_mut() {
            replica
                .model
                .set_adapter_transit(Duration::from_millis(transit_ms));
        }
    }

    /// Sets for how long requests still use what is to be unloaded from now on, in milliseconds.
    pub fn set_use_ms(&mut self, use_ms: u64) {
        let in_use = Duration::from_millis(use_ms);
        let unload = ReplicaSpec::default().unload;
        for replica in self.replicas.values_mut() {
            replica.model.set_unload(unload.max(in_use), in_use);
        }
    }

    /// Returns the orders that were beyond the room of a replica, with the replica.
    pub fn violations(&self) -> Vec<String> {
        let of_replica = |(id, replica): (&ReplicaId, &SimulatedReplica)| {
            let violation = replica.model.violation()?;
            Some(format!("{id}: {violation}"))
        };
        self.replicas.iter().filter_map(of_replica).collect()
    }

    /// Advances the simulation by the given time in steps of 20 ms.
    pub fn run(&mut self, millis: u64) {
        let end = self.now + Duration::from_millis(millis);
        while self.now < end {
            self.now = self.now + Duration::from_millis(20);
            let now = self.now;
            for replica in self.replicas.values_mut() {
                let loads = replica.step(now);
                self.store_loads.extend(std::iter::repeat_n(now, loads));
            }
            self.deliver_answers(now);
            for action in self.orderer.plan(self.may_order, now) {
                self.execute(action);
            }
        }
    }

    fn deliver_answers(&mut self, now: Moment) {
        let (due, later) = self.answers.drain(..).partition(|answer| answer.0 <= now);
        self.answers = later;
        let due: Vec<(Moment, OrderAnswer)> = due;
        for (_, answer) in due {
            let OrderAnswer {
                replica,
                started_ms,
                outcome,
            } = answer;
            self.orderer
                .record_order_outcome_from(&replica, started_ms, outcome, now);
        }
        let (due, later) = self.reports.drain(..).partition(|report| report.0 <= now);
        self.reports = later;
        let due: Vec<(Moment, ReplicaId, Moment)> = due;
        for (_, id, requested_at) in due {
            let replica = self.replicas.get_mut(&id);
            let report = replica.and_then(|replica| replica.model.report(now));
            self.orderer
                .record_report(&id, report.as_ref(), requested_at, now);
        }
    }

    fn execute(&mut self, action: OrdererAction) {
        let now = self.now;
        match action {
            OrdererAction::RequestReport { replica, .. } => {
                self.reports.push((now + Duration::from_millis(20), replica, now));
            }
            OrdererAction::Order {
                replica,
                order,
                expected_sequence,
            } => {
                self.orders.push((now, replica.clone(), order.clone()));
                let target = self.replicas.get_mut(&replica).expect("the replica exists");
                let delivery = self.deliveries.pop_front().unwrap_or(OrderDelivery::Answered);
                let outcome = match delivery {
                    OrderDelivery::Late(delay) => {
                        target.late_orders.push((
                            now + Duration::from_millis(delay),
                            order,
                            expected_sequence,
                        ));
                        None
                    }
                    OrderDelivery::Answered | OrderDelivery::AnswerLost => {
                        let (outcome, from_store) = target.receive_order(&order, expected_sequence, now);
                        if from_store {
                            self.store_loads.push(now);
                        }
                        matches!(delivery, OrderDelivery::Answered).then_some(outcome)
                    }
                };
                let (delay, outcome) = match outcome {
                    Some(outcome) => (20, outcome),
                    None => (500, OrderOutcome::Unknown),
                };
                let answer = OrderAnswer {
                    started_ms: self.orderer.started_ms(&replica),
                    replica,
                    outcome,
                };
                self.answers.push((now + Duration::from_millis(delay), answer));
            }
        }
    }
}

/// Returns the listing of a replica.
pub fn listing(id: &ReplicaId, holdings: &Holdings) -> ReplicaListing {
    ReplicaListing {
        id: id.clone(),
        service: "llm".into(),
        address: "10.0.0.1:1".into(),
        zone: "a".into(),
        slots: 8,
        state: ReplicaState::Ready,
        leaves_in: None,
        started_ms: None,
        holdings: holdings.clone(),
    }
}

/// Returns the listing of a replica as it is now.
fn listing_of(id: &ReplicaId, replica: &SimulatedReplica) -> ReplicaListing {
    ReplicaListing {
        started_ms: replica.model.started_ms(),
        ..listing(id, replica.holdings())
    }
}

/// Returns the maximum number of events in any window of the given length.
pub fn max_in_window(moments: &[Moment], window: Duration) -> usize {
    let mut counts: HashMap<usize, usize> = HashMap::new();
    for (index, first) in moments.iter().enumerate() {
        let count = moments[index..]
            .iter()
            .take_while(|other| other.since(*first) <= window)
            .count();
        counts.insert(index, count);
    }
    counts.into_values().max().unwrap_or(0)
}
