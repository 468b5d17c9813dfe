//! Which models and adapters should be where.
//!
//! Pure choices over one service's replicas: how many holders a model deserves,
//! which replica loads a model next, what makes way for it.

use std::cell::OnceCell;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use crate::catalog::{AdapterName, EngineSpec, ModelName, ServiceName};
use crate::demand::{Demand, ModelKey};
use crate::replica::{Holdings, ReplicaId, ReplicaState};
use crate::replica_ledger::ReplicaLedger;
use crate::time::Moment;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Tunable figures of placement.
#[derive(Debug, Clone, Copy)]
pub struct PlacementConfig {
    /// Cost tokens a second that one holder of a model should carry at most.
    pub tokens_per_holder: f64,
    /// Requests a second from which a model may get a spare holder.
    pub spare_holder_from: f64,
    /// Part of a model's value that its spare holder counts for.
    pub spare_share: f64,
    /// What comes must be worth so many times what makes way for it.
    pub least_gain: f64,
    /// Time for which demand is taken to go on as it is.
    pub horizon: Duration,
    /// Requests held up by one adapter request while weights are loaded at its replica.
    pub adapter_block_share: f64,
    /// Demand that a model is expected to take over from one listed shortly
    /// before it, for each place between them.
    pub succession: [f64; 2],
    /// Expected requests a second from which a model is loaded before it is asked for.
    pub least_expected: f64,
    /// Requests a second that a model is taken to have while little is known of demand.
    pub prior_rate: f64,
    /// Time of observation after which a model that was not asked for counts as idle.
    pub prior_until: Duration,
    /// Time for which a model that was just loaded does not make way.
    pub least_residence: Duration,
}

impl Default for PlacementConfig {
    fn default() -> Self {
        PlacementConfig {
            tokens_per_holder: 45_000.0,
            spare_holder_from: 0.7,
            spare_share: 0.02,
            least_gain: 1.5,
            horizon: Duration::from_secs(20),
            adapter_block_share: 0.5,
            succession: [0.15, 0.15],
            least_expected: 0.3,
            prior_rate: 0.05,
            prior_until: Duration::from_secs(15),
            least_residence: Duration::from_millis(3000),
        }
    }
}

/// Who orders at a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Orders {
    /// This orderer.
    Own,
    /// The orderer of another shard, which can be reached.
    Other,
    /// Nobody at present: the orderer of its shard is not there.
    Nobody,
}

/// A replica that should take a model or an adapter.
#[derive(Debug, Clone, PartialEq)]
pub struct Place {
    /// The replica.
    pub replica: ReplicaId,
    /// Requests expected to miss their objective because of the load.
    pub lost: f64,
    /// Time of the load.
    pub load: Duration,
}

/// The replicas among which a place is chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Among {
    /// All at which some orderer orders, whether or not they are idle: all
    /// orderers see these alike, and so agree on whose turn it is.
    All,
    /// Those that take orders of this orderer now.
    Own,
}

/// One replica as placement sees it.
#[derive(Debug)]
pub struct PlacedReplica {
    /// Whether it takes requests.
    pub state: ReplicaState,
    /// The service it belongs to.
    pub service: ServiceName,
    /// Its account.
    pub ledger: ReplicaLedger,
    /// A model that it should load next.
    pub goal: Option<ModelName>,
    /// A model that gets no more requests, since when, because it makes way.
    pub withdrawn: Option<(ModelName, Moment)>,
    /// When models were loaded here.
    pub loaded_at: HashMap<ModelName, Moment>,
    /// When adapters were loaded here.
    pub adapters_loaded_at: HashMap<(ModelName, AdapterName), Moment>,
    /// True while a predecessor's orders forbid orders here.
    pub is_held: bool,
    /// Who orders here.
    pub orders: Orders,
}

impl PlacedReplica {
    /// True if the model was loaded less than `residence` ago.
    fn is_fresh(&self, model: &str, residence: Duration, now: Moment) -> bool {
        self.loaded_at
            .get(model)
            .is_some_and(|loaded| now.since(*loaded) < residence)
    }

    /// True if the adapter was just loaded: the requests that wait for it may
    /// still be on their way.
    fn is_fresh_adapter(&self, adapter: &(ModelName, AdapterName), now: Moment) -> bool {
        self.adapters_loaded_at
            .get(adapter)
            .is_some_and(|loaded| now.since(*loaded) < ADAPTER_RESIDENCE)
    }

    /// True if an order may be given now.
    pub fn takes_orders(&self) -> bool {
        self.orders == Orders::Own && !self.is_held && self.ledger.is_idle()
    }

    /// True if a place may be chosen here.
    fn is_candidate(&self, among: Among) -> bool {
        match among {
            Among::All => self.orders != Orders::Nobody,
            Among::Own => self.takes_orders(),
        }
    }

    /// True if the replica holds the model and will go on holding it.
    pub fn keeps(&self, model: &str) -> bool {
        let withdrawn = self.withdrawn.as_ref().is_some_and(|(name, _)| &**name == model);
        !withdrawn && self.state == ReplicaState::Ready && self.ledger.holdings().serves(model, None)
    }

    /// True if the model is on its way to the replica.
    pub fn awaits(&self, model: &str) -> bool {
        self.state == ReplicaState::Ready && self.goal.as_deref() == Some(model)
    }
}

/// Where a replica would take a model's weights from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WeightSource {
    /// Its main memory.
    Memory,
    /// Its disk.
    Disk,
    /// The weight store, which is rate-limited.
    Store,
}

/// Where the replica would load the model from.
pub fn weight_source(holdings: &Holdings, model: &str) -> WeightSource {
    if holdings.copies.in_memory.iter().any(|name| &**name == model) {
        WeightSource::Memory
    } else if holdings.copies.on_disk.iter().any(|name| &**name == model) {
        WeightSource::Disk
    } else {
        WeightSource::Store
    }
}

/// Expected time of a load; `None` if the model is not in the configuration.
pub fn load_time(engine: &EngineSpec, holdings: &Holdings, model: &str) -> Option<Duration> {
    let spec = engine.models.get(model)?;
    Some(match weight_source(holdings, model) {
        WeightSource::Memory => spec.memory_load,
        WeightSource::Disk => spec.disk_load,
        WeightSource::Store => spec.store_load,
    })
}

/// Memory for weights and adapters in use, in MB. Unknown models count as filling the replica.
pub fn memory_used(engine: &EngineSpec, holdings: &Holdings) -> f64 {
    let memory_of = |held: &crate::replica::HeldModel| match engine.models.get(&held.model) {
        Some(spec) => spec.weights_mb + spec.adapter_mb * held.adapters.len() as f64,
        None => engine.weights_mb,
    };
    holdings.models.iter().map(memory_of).sum()
}

/// Least time for which an adapter stays.
const ADAPTER_RESIDENCE: Duration = Duration::from_millis(400);
/// Time from the first request for an absent model to when it is served, besides
/// the load itself: the order, room for the weights, and the news of it.
const LOAD_OVERHEAD: Duration = Duration::from_millis(700);
/// Part of the objective up to which waiting for a load costs next to nothing.
const FREE_WAIT_SHARE: f64 = 0.5;
/// Least share of requests that miss their objective while their model is loaded.
const LEAST_MISSED: f64 = 0.1;
/// Credit of a request that is refused, comes back and is then served in time.
const LATE_CREDIT: f64 = 0.5;

/// Share of requests that miss their objective when they must wait so long for
/// their model: next to none up to half of the objective, all from the whole on.
pub fn missed_share(ready_in: Duration, objective: Duration) -> f64 {
    let objective_s = objective.as_secs_f64().max(f64::EPSILON);
    let used = ready_in.as_secs_f64() / objective_s;
    let missed = (used - FREE_WAIT_SHARE) / (1.0 - FREE_WAIT_SHARE);
    missed.clamp(LEAST_MISSED, 1.0)
}

/// The replicas of one service with the demand they face.
pub struct ServicePlacement<'a> {
    /// Tunable figures.
    pub config: &'a PlacementConfig,
    /// The service.
    pub service: &'a ServiceName,
    /// What its replicas can hold.
    pub engine: &'a EngineSpec,
    /// Demand of all nodes.
    pub demand: &'a Demand,
    /// All replicas; those of other services are passed over.
    pub replicas: &'a BTreeMap<ReplicaId, PlacedReplica>,
    /// Place of each model in the configuration's list, worked out when needed.
    pub places: OnceCell<HashMap<ModelName, usize>>,
    /// The replicas that keep each model, worked out when needed.
    pub keepers: OnceCell<HashMap<ModelName, Vec<(u64, ReplicaId)>>>,
    /// Least time in which a ready replica can load each model of which a copy
    /// lies somewhere, worked out when needed.
    pub reload_times: OnceCell<HashMap<ModelName, Duration>>,
    /// Most replicas that held each model while little was known of demand: what
    /// was given many holders is expected to be busy.
    pub first_holders: &'a HashMap<ModelName, usize>,
    /// Objective of requests for models that were not asked for yet.
    pub usual_objective: Duration,
    /// The present time.
    pub now: Moment,
}

impl ServicePlacement<'_> {
    fn place_in_list(&self, model: &ModelName) -> Option<usize> {
        let places = self.places.get_or_init(|| {
            let order = self.engine.model_order.iter().enumerate();
            order.map(|(place, name)| (name.clone(), place)).collect()
        });
        places.get(model).copied()
    }

    /// The service's replicas.
    pub fn members(&self) -> impl Iterator<Item = (&ReplicaId, &PlacedReplica)> {
        self.replicas
            .iter()
            .filter(|(_, replica)| replica.service == *self.service)
    }

    /// Replicas that hold each model, and those that await it.
    pub fn holders(&self) -> HashMap<ModelName, usize> {
        let mut holders: HashMap<ModelName, usize> = HashMap::new();
        for (_, replica) in self.members() {
            for held in &replica.ledger.holdings().models {
                if replica.keeps(&held.model) {
                    *holders.entry(held.model.clone()).or_default() += 1;
                }
            }
            if let Some(goal) = replica.goal.as_ref().filter(|goal| !replica.keeps(goal)) {
                *holders.entry(goal.clone()).or_default() += 1;
            }
        }
        holders
    }

    fn key(&self, model: &ModelName) -> ModelKey {
        ModelKey {
            service: self.service.clone(),
            model: model.clone(),
            adapter: None,
        }
    }

    /// Requests a second that a model has, or is expected to have soon.
    ///
    /// Demand moves along the configuration's list of models: when the busiest
    /// fall silent, the ones listed next rise. So a model inherits a part of the
    /// demand of the models shortly before it.
    fn expected_rate(&self, model: &ModelName) -> f64 {
        let own = self
            .demand
            .lasting_requests_per_second(&self.key(model), self.now);
        own.max(self.inherited_rate(model)).max(self.prior_rate(model))
    }

    fn inherited_rate(&self, model: &ModelName) -> f64 {
        let order = &self.engine.model_order;
        let Some(place) = self.place_in_list(model) else {
            return 0.0;
        };
        let inherited = self
            .config
            .succession
            .iter()
            .enumerate()
            .map(|(distance, share)| {
                let before = place.checked_sub(distance + 1).map(|place| &order[place]);
                before.map_or(0.0, |before| {
                    share * self.demand.requests_per_second(&self.key(before), self.now)
                })
            });
        inherited.fold(0.0, f64::max)
    }

    /// True while little is known of demand.
    fn is_demand_unknown(&self) -> bool {
        self.demand.observed(self.now) < self.config.prior_until
    }

    /// What a model is taken to be asked for while little is known of demand.
    fn prior_rate(&self, model: &ModelName) -> f64 {
        if !self.is_demand_unknown() {
            return 0.0;
        }
        let holders = self.first_holders.get(model).copied().unwrap_or(0).max(1);
        self.config.prior_rate * (holders * holders) as f64
    }

    /// True if a model that is held nowhere should be loaded before it is asked for.
    pub fn is_expected(&self, model: &ModelName) -> bool {
        self.is_demand_unknown() || self.inherited_rate(model) >= self.config.least_expected
    }

    /// Least time in which some replica can load the model.
    fn reload_time(&self, model: &ModelName) -> Duration {
        let times = self.reload_times.get_or_init(|| self.copy_load_times());
        let from_store = self.engine.models.get(model).map(|spec| spec.store_load);
        let from_copy = times.get(model).copied();
        from_copy.or(from_store).unwrap_or_default()
    }

    fn copy_load_times(&self) -> HashMap<ModelName, Duration> {
        let mut times: HashMap<ModelName, Duration> = HashMap::new();
        for (_, replica) in self.members() {
            if replica.state != ReplicaState::Ready || replica.orders == Orders::Nobody {
                continue;
            }
            let holdings = replica.ledger.holdings();
            let copies = holdings.copies.in_memory.iter().chain(&holdings.copies.on_disk);
            for model in copies {
                let Some(time) = load_time(self.engine, holdings, model) else {
                    continue;
                };
                let least = times.entry(model.clone()).or_insert(time);
                *least = time.min(*least);
            }
        }
        times
    }

    fn objective(&self, model: &ModelName) -> Duration {
        self.demand
            .objective(&self.key(model))
            .unwrap_or(self.usual_objective)
    }

    /// Share of a model's requests that miss their objective while it must be
    /// loaded for them.
    fn missed_share(&self, model: &ModelName) -> f64 {
        missed_share(self.reload_time(model) + LOAD_OVERHEAD, self.objective(model))
    }

    /// Requests a second that miss their objective while no replica holds the model.
    pub fn value_of_model(&self, model: &ModelName) -> f64 {
        self.expected_rate(model) * self.missed_share(model)
    }

    /// Requests expected to be saved by loading a model that is held nowhere and
    /// that a request waits for.
    pub fn saved_by_load(&self, model: &ModelName, load: Duration) -> f64 {
        let in_time = load + LOAD_OVERHEAD <= self.objective(model);
        let waiting = if in_time { 1.0 } else { LATE_CREDIT };
        waiting + self.value_of_model(model) * self.stay_s(load)
    }

    /// True if loading a model saves more than is lost with a holder of so much value.
    pub fn is_worth(&self, model: &ModelName, load: Duration, displaced: f64) -> bool {
        self.saved_by_load(model, load) > displaced * self.config.horizon.as_secs_f64()
    }

    /// Seconds for which a model serves once its load is over.
    pub fn stay_s(&self, load: Duration) -> f64 {
        self.config.horizon.saturating_sub(load).as_secs_f64()
    }

    /// Holders that a model's load needs.
    fn needed_holders(&self, model: &ModelName) -> usize {
        let tokens = self.demand.tokens_per_second(&self.key(model), self.now);
        let by_load = (tokens / self.config.tokens_per_holder).ceil() as usize;
        by_load.max(1)
    }

    /// Holders that a model's demand deserves: what its load needs, and a spare one.
    pub fn deserved_holders(&self, model: &ModelName) -> usize {
        let requests = self.demand.requests_per_second(&self.key(model), self.now);
        let spare = usize::from(requests >= self.config.spare_holder_from);
        let needed = self.needed_holders(model) + spare;
        needed.min(self.members().count())
    }

    /// Requests a second that depend on one holder at a replica.
    ///
    /// Holders that are still on their way save no other. Which of several are
    /// spare follows from a hash, so that no two orderers drop both of two.
    pub fn value_of_held(&self, model: &ModelName, id: &ReplicaId) -> f64 {
        let keepers = self.keepers.get_or_init(|| self.ranked_keepers());
        let ranked = keepers.get(model).map(Vec::as_slice).unwrap_or_default();
        let rank = ranked.iter().position(|(_, keeper)| keeper == id).unwrap_or(0);
        self.value_of_holder(model, rank + 1)
    }

    /// The replicas that keep each model, in an order that all orderers find.
    fn ranked_keepers(&self) -> HashMap<ModelName, Vec<(u64, ReplicaId)>> {
        let mut keepers: HashMap<ModelName, Vec<(u64, ReplicaId)>> = HashMap::new();
        for (id, replica) in self.members() {
            for held in &replica.ledger.holdings().models {
                if replica.keeps(&held.model) {
                    let seed = xxh3_64(held.model.as_bytes());
                    let hash = xxh3_64_with_seed(id.as_bytes(), seed);
                    let ranked = keepers.entry(held.model.clone()).or_default();
                    ranked.push((hash, id.clone()));
                }
            }
        }
        keepers.values_mut().for_each(|ranked| ranked.sort());
        keepers
    }

    /// Requests a second that depend on the last of so many holders of a model.
    pub fn value_of_holder(&self, model: &ModelName, holders: usize) -> f64 {
        const SURPLUS_SHARE: f64 = 0.1;
        let value = self.value_of_model(model);
        let needed = self.needed_holders(model);
        if holders <= needed {
            return value / holders.max(1) as f64;
        }
        let spare = value * self.config.spare_share;
        if holders <= self.deserved_holders(model) {
            spare
        } else {
            spare * SURPLUS_SHARE
        }
    }

    /// The model that makes way first on a replica: the least valuable.
    pub fn victim(&self, id: &ReplicaId, replica: &PlacedReplica) -> Option<ModelName> {
        let present = &replica.ledger.holdings().models;
        present
            .iter()
            .map(|held| &held.model)
            .filter(|model| replica.goal.as_ref() != Some(model))
            .filter(|model| !replica.is_fresh(model, self.config.least_residence, self.now))
            .map(|model| (self.value_of_held(model, id), model))
            .min_by(|left, right| left.0.total_cmp(&right.0))
            .map(|(_, model)| model.clone())
    }

    /// Value of what a replica must drop to make room for a model.
    fn displaced_value(&self, id: &ReplicaId, replica: &PlacedReplica, model: &ModelName) -> Option<f64> {
        let holdings = replica.ledger.holdings();
        let needed = self.engine.models.get(model)?.weights_mb;
        let mut free = self.engine.weights_mb - memory_used(self.engine, holdings);
        let mut values: Vec<(f64, f64)> = holdings
            .models
            .iter()
            .filter(|held| !replica.is_fresh(&held.model, self.config.least_residence, self.now))
            .map(|held| {
                let spec = self.engine.models.get(&held.model);
                let memory = spec.map_or(0.0, |spec| spec.weights_mb);
                (self.value_of_held(&held.model, id), memory)
            })
            .collect();
        values.sort_by(|left, right| left.0.total_cmp(&right.0));
        let mut displaced = 0.0;
        for (value, memory) in values {
            if free >= needed {
                break;
            }
            free += memory;
            displaced += value;
        }
        (free >= needed).then_some(displaced)
    }

    /// Requests a second for adapters on a replica, which its weights orders hold up.
    fn adapter_requests(&self, replica: &PlacedReplica, holders: &HashMap<ModelName, usize>) -> f64 {
        let held = replica.ledger.holdings().models.iter();
        let rates = held.map(|held| {
            let count = holders.get(&held.model).copied().unwrap_or(1).max(1);
            self.demand
                .adapter_requests_per_second(&self.key(&held.model), self.now)
                / count as f64
        });
        rates.sum()
    }

    /// The replica that should load a model next, with the value it displaces.
    pub fn best_place(
        &self,
        model: &ModelName,
        holders: &HashMap<ModelName, usize>,
        store_allowed: bool,
        among: Among,
    ) -> Option<Place> {
        let rate = self.expected_rate(model);
        let cost = |id: &ReplicaId, replica: &PlacedReplica| -> Option<(f64, Duration)> {
            let holdings = replica.ledger.holdings();
            let displaced = self.displaced_value(id, replica, model)?;
            let load = load_time(self.engine, holdings, model)?;
            let adapters = self.adapter_requests(replica, holders) * self.config.adapter_block_share;
            let displacement = displaced * self.config.horizon.as_secs_f64();
            Some((displacement + adapters * load.as_secs_f64(), load))
        };
        self.members()
            .filter(|(_, replica)| replica.state == ReplicaState::Ready && replica.goal.is_none())
            .filter(|(_, replica)| {
                replica.is_candidate(among) && !replica.ledger.holdings().serves(model, None)
            })
            .filter(|(_, replica)| {
                store_allowed || weight_source(replica.ledger.holdings(), model) != WeightSource::Store
            })
            .filter_map(|(id, replica)| cost(id, replica).map(|(lost, load)| (lost, load, id)))
            .min_by(|left, right| {
                let waits = |load: Duration| load.as_secs_f64() * (1.0 + rate);
                let total = |(lost, load, _): &(f64, Duration, &ReplicaId)| lost + waits(*load);
                total(left).total_cmp(&total(right))
            })
            .map(|(lost, load, id)| Place {
                replica: id.clone(),
                lost,
                load,
            })
    }

    /// The replica whose orderer's turn it is to load an adapter: of those that
    /// keep its model and have a place free, one by hash.
    pub fn adapter_home(&self, model: &ModelName, adapter: &AdapterName) -> Option<&ReplicaId> {
        let seed = xxh3_64(adapter.as_bytes());
        let is_full =
            |replica: &PlacedReplica| replica.ledger.holdings().adapter_count() >= self.engine.adapter_slots;
        self.members()
            .filter(|(_, replica)| replica.keeps(model) && replica.is_candidate(Among::All))
            .min_by_key(|(id, replica)| (is_full(replica), xxh3_64_with_seed(id.as_bytes(), seed)))
            .map(|(id, _)| id)
    }

    /// The replica that should load an adapter now: of those that keep its model
    /// and take orders, the one with the fewest adapters.
    pub fn adapter_place(&self, model: &ModelName) -> Option<ReplicaId> {
        self.members()
            .filter(|(_, replica)| replica.keeps(model) && replica.is_candidate(Among::Own))
            .min_by_key(|(_, replica)| replica.ledger.holdings().adapter_count())
            .map(|(id, _)| id.clone())
    }

    /// The adapter that makes way first on a replica: the one not asked for
    /// longest, as it is the least likely to be in use. One that was just
    /// brought stays until its requests have come.
    pub fn adapter_victim(&self, replica: &PlacedReplica) -> Option<(ModelName, AdapterName)> {
        let held = &replica.ledger.holdings().models;
        let adapters = held.iter().flat_map(|held| {
            held.adapters
                .iter()
                .map(move |adapter| (held.model.clone(), adapter.clone()))
        });
        adapters
            .filter(|adapter| !replica.is_fresh_adapter(adapter, self.now))
            .min_by_key(|(model, adapter)| {
                let key = ModelKey {
                    adapter: Some(adapter.clone()),
                    ..self.key(model)
                };
                self.demand.last_request(&key)
            })
    }
}
