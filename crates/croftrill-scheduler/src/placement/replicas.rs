//! The replicas that an orderer knows, with an index by what they hold.
//!
//! Methods that may change what the index reflects mark the replicas they change. The index is
//! updated for just those when it is next read.

use std::cell::{Ref, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::ops::Bound;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::{OrderedBy, TrackedReplica};
use crate::capacity::ReplicaLoad;
use crate::catalog::{ModelName, ServiceName};
use crate::replica::{ReplicaId, ReplicaState};
use crate::time::Moment;

/// Number of replicas rated for one model besides those with a copy of its weights. A sample is
/// enough in a large fleet: the chance that 256 replicas include none of the best twentieth is
/// one in 500,000.
const MAX_SAMPLED_CANDIDATES: usize = 256;

/// All replicas by id, with their index.
#[derive(Debug, Default)]
pub struct TrackedReplicas {
    replicas: BTreeMap<ReplicaId, TrackedReplica>,
    changed: RefCell<BTreeSet<ReplicaId>>,
    index: RefCell<Index>,
    /// Services whose replicas report their load; the value is true if any of them reports
    /// its work time as well.
    load_reporting: HashMap<ServiceName, bool>,
}

/// The state of one replica that the index reflects.
#[derive(Debug, Clone, Default, PartialEq)]
struct Indexed {
    service: ServiceName,
    retained: Vec<ModelName>,
    goal: Option<ModelName>,
    awaits: Option<ModelName>,
    copies: Vec<ModelName>,
    is_own: bool,
}

#[derive(Debug, Default)]
struct Index {
    replicas: HashMap<ReplicaId, Indexed>,
    services: HashMap<ServiceName, ServiceFleet>,
}

/// Index of one service's replicas by what they hold.
#[derive(Debug, Default)]
pub struct ServiceFleet {
    /// All replicas in hash order, which is the same for all orderers.
    ring: BTreeSet<(u64, ReplicaId)>,
    /// The current holders of each model in hash order, which is the same for all orderers.
    holders: HashMap<ModelName, BTreeMap<u64, ReplicaId>>,
    /// Number of replicas that are to load each model.
    awaited: HashMap<ModelName, usize>,
    /// Ready replicas with a reachable orderer, by the models whose weights they have copies of.
    copies: HashMap<ModelName, BTreeSet<ReplicaId>>,
    with_goal: BTreeSet<ReplicaId>,
    own_count: usize,
    /// Number of changes to the current holders of any model.
    holder_changes: u64,
}

impl ServiceFleet {
    /// Returns the number of replicas.
    pub fn len(&self) -> usize {
        self.ring.len()
    }

    /// Returns true if the service has no replicas.
    pub fn is_empty(&self) -> bool {
        self.ring.is_empty()
    }

    /// Iterates over the ids of all replicas.
    pub fn ids(&self) -> impl Iterator<Item = &ReplicaId> {
        self.ring.iter().map(|(_, id)| id)
    }

    /// Returns a counter that increases whenever the current holders of any model change.
    pub fn holder_changes(&self) -> u64 {
        self.holder_changes
    }

    /// Returns the number of replicas that this orderer sends orders to.
    pub fn own_count(&self) -> usize {
        self.own_count
    }

    /// Iterates over the current holders of a model: the ready replicas that hold it and are
    /// not about to evict it.
    pub fn current_holders(&self, model: &str) -> impl Iterator<Item = &ReplicaId> {
        self.holders.get(model).into_iter().flat_map(BTreeMap::values)
    }

    /// Returns the number of current holders of a model.
    pub fn current_holder_count(&self, model: &str) -> usize {
        self.holders.get(model).map_or(0, BTreeMap::len)
    }

    /// Returns the rank of a replica among the current holders; 0 if it is not one of them.
    /// Beyond the second holder the exact rank hardly matters, so that at most
    /// `MAX_SAMPLED_CANDIDATES` holders are counted.
    pub fn current_holder_rank(&self, model: &str, id: &ReplicaId) -> usize {
        let Some(holders) = self.holders.get(model) else {
            return 0;
        };
        let rank = holder_hash(model, id);
        if holders.get(&rank) != Some(id) {
            return 0;
        }
        holders.range(..rank).take(MAX_SAMPLED_CANDIDATES).count()
    }

    /// Returns true if no current holder of a model precedes this replica in hash order, which
    /// is the same for all orderers. The replica need not hold the model itself.
    pub fn ranks_first(&self, model: &str, id: &ReplicaId) -> bool {
        let first = self.holders.get(model).and_then(|holders| holders.keys().next());
        first.is_none_or(|first| holder_hash(model, id) <= *first)
    }

    /// Returns the number of replicas that hold a model or are to load it.
    pub fn expected_holder_count(&self, model: &str) -> usize {
        self.current_holder_count(model) + self.awaited.get(model).copied().unwrap_or(0)
    }

    /// Iterates over the ready replicas with a copy of a model's weights outside the
    /// accelerator.
    pub fn with_copy(&self, model: &str) -> impl Iterator<Item = &ReplicaId> {
        self.copies.get(model).into_iter().flatten()
    }

    /// Iterates over the replicas that are to load a model.
    pub fn with_goal(&self) -> impl Iterator<Item = &ReplicaId> {
        self.with_goal.iter()
    }

    /// Returns the replicas that are rated for loading a model: all in a fleet of a few hundred,
    /// else some with a copy of the weights and some selected by a hash of the model. All
    /// orderers select the same ones.
    pub fn candidates_for(&self, model: &str) -> BTreeSet<&ReplicaId> {
        if self.ring.len() <= 2 * MAX_SAMPLED_CANDIDATES {
            return self.ring.iter().map(|(_, id)| id).collect();
        }
        let begin = (
            Bound::Included((xxh3_64(model.as_bytes()), ReplicaId::from(""))),
            Bound::Unbounded,
        );
        let sampled = self.ring.range(begin).chain(&self.ring).map(|(_, id)| id);
        let with_copy = self.with_copy(model).take(MAX_SAMPLED_CANDIDATES);
        with_copy.chain(sampled.take(MAX_SAMPLED_CANDIDATES)).collect()
    }

    fn add(&mut self, id: &ReplicaId, indexed: &Indexed) {
        self.ring.insert((xxh3_64(id.as_bytes()), id.clone()));
        for model in &indexed.retained {
            let holders = self.holders.entry(model.clone()).or_default();
            holders.insert(holder_hash(model, id), id.clone());
        }
        if let Some(model) = &indexed.awaits {
            *self.awaited.entry(model.clone()).or_default() += 1;
        }
        for model in &indexed.copies {
            self.copies.entry(model.clone()).or_default().insert(id.clone());
        }
        if indexed.goal.is_some() {
            self.with_goal.insert(id.clone());
        }
        self.own_count += usize::from(indexed.is_own);
    }

    fn remove(&mut self, id: &ReplicaId, indexed: &Indexed) {
        self.ring.remove(&(xxh3_64(id.as_bytes()), id.clone()));
        for model in &indexed.retained {
            if let Some(holders) = self.holders.get_mut(model) {
                holders.remove(&holder_hash(model, id));
            }
        }
        if let Some(awaited) = indexed
            .awaits
            .as_ref()
            .and_then(|model| self.awaited.get_mut(model))
        {
            *awaited -= 1;
        }
        for model in &indexed.copies {
            if let Some(copies) = self.copies.get_mut(model) {
                copies.remove(id);
            }
        }
        self.with_goal.remove(id);
        self.own_count -= usize::from(indexed.is_own);
    }
}

fn holder_hash(model: &str, id: &ReplicaId) -> u64 {
    xxh3_64_with_seed(id.as_bytes(), xxh3_64(model.as_bytes()))
}

impl Indexed {
    fn of(replica: &TrackedReplica) -> Self {
        let held = replica.ledger.holdings().models.iter().map(|held| &held.model);
        let retained = held.filter(|model| replica.retains(model)).cloned().collect();
        let awaits = replica.goal.clone().filter(|goal| replica.awaits(goal));
        let takes_loads = replica.state == ReplicaState::Ready
            && !replica.is_out_of_reach
            && replica.ordered_by != OrderedBy::Nobody;
        let copies = &replica.ledger.holdings().copies;
        let copies = copies
            .in_memory
            .iter()
            .chain(&copies.on_disk)
            .filter(|_| takes_loads);
        Indexed {
            service: replica.service.clone(),
            retained,
            goal: replica.goal.clone(),
            awaits,
            copies: copies.cloned().collect(),
            is_own: replica.ordered_by == OrderedBy::ThisOrderer,
        }
    }
}

impl Index {
    fn update(&mut self, id: &ReplicaId, replica: Option<&TrackedReplica>) {
        let current = replica.map(Indexed::of);
        if self.replicas.get(id) == current.as_ref() {
            return;
        }
        let former = self.replicas.remove(id);
        let retained = |indexed: Option<&Indexed>| {
            indexed
                .map(|indexed| indexed.retained.clone())
                .unwrap_or_default()
        };
        let holders_changed = retained(former.as_ref()) != retained(current.as_ref());
        if let Some(former) = former {
            if let Some(fleet) = self.services.get_mut(&former.service) {
                fleet.remove(id, &former);
                fleet.holder_changes += u64::from(holders_changed);
            }
        }
        if let Some(current) = current {
            let fleet = self.services.entry(current.service.clone()).or_default();
            fleet.add(id, &current);
            fleet.holder_changes += u64::from(holders_changed);
            self.replicas.insert(id.clone(), current);
        }
    }
}

impl TrackedReplicas {
    /// Returns the up-to-date index of a service's replicas.
    pub fn fleet(&self, service: &ServiceName) -> Ref<'_, ServiceFleet> {
        let changed = self.changed.take();
        if !changed.is_empty() {
            let mut index = self.index.borrow_mut();
            for id in &changed {
                index.update(id, self.replicas.get(id));
            }
        }
        if !self.index.borrow().services.contains_key(service) {
            let mut index = self.index.borrow_mut();
            index.services.insert(service.clone(), ServiceFleet::default());
        }
        Ref::map(self.index.borrow(), |index| &index.services[service])
    }

    fn mark_changed(&self, id: &str) {
        if let Some((id, _)) = self.replicas.get_key_value(id) {
            self.changed.borrow_mut().insert(id.clone());
        }
    }

    /// Returns a replica.
    pub fn get(&self, id: &str) -> Option<&TrackedReplica> {
        self.replicas.get(id)
    }

    /// Returns a replica and its id.
    pub fn get_key_value(&self, id: &str) -> Option<(&ReplicaId, &TrackedReplica)> {
        self.replicas.get_key_value(id)
    }

    /// Returns a replica for changes of any kind.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut TrackedReplica> {
        self.mark_changed(id);
        self.replicas.get_mut(id)
    }

    /// Returns a replica to change what no index depends on.
    pub fn get_mut_unindexed(&mut self, id: &str) -> Option<&mut TrackedReplica> {
        self.replicas.get_mut(id)
    }

    /// Records a load that a replica reported at `at`.
    pub fn record_load(&mut self, id: &str, load: ReplicaLoad, at: Moment) {
        if let Some(replica) = self.replicas.get_mut(id) {
            if replica.capacity.newest().is_some_and(|(_, known)| at <= known) {
                // The same report arrived before by another path.
                return;
            }
            replica.capacity.record(load, 0, at);
            let reports_work_time = self.load_reporting.entry(replica.service.clone()).or_default();
            *reports_work_time |= load.work_time_pct.is_some();
        }
    }

    /// Returns true if replicas of the service report their load.
    pub fn reports_load(&self, service: &ServiceName) -> bool {
        self.load_reporting.contains_key(service)
    }

    /// Returns true if replicas of the service report their work time.
    pub fn reports_work_time(&self, service: &ServiceName) -> bool {
        self.load_reporting.get(service).is_some_and(|reports| *reports)
    }

    /// Adds a replica, or replaces the one of the same id.
    pub fn insert(&mut self, id: ReplicaId, replica: TrackedReplica) {
        self.changed.borrow_mut().insert(id.clone());
        self.replicas.insert(id, replica);
    }

    /// Removes a replica.
    pub fn remove(&mut self, id: &str) -> Option<(ReplicaId, TrackedReplica)> {
        self.mark_changed(id);
        self.replicas.remove_entry(id)
    }

    /// Removes the replicas for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        let removed: Vec<ReplicaId> = self.replicas.keys().filter(|id| !keep(id)).cloned().collect();
        for id in removed {
            self.remove(&id);
        }
    }

    /// Iterates over all replicas.
    pub fn iter(&self) -> impl Iterator<Item = (&ReplicaId, &TrackedReplica)> {
        self.replicas.iter()
    }

    /// Iterates over all replicas for changes of any kind.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&ReplicaId, &mut TrackedReplica)> {
        self.changed.borrow_mut().extend(self.replicas.keys().cloned());
        self.replicas.iter_mut()
    }

    /// Iterates over all replicas for changes that the index does not reflect. What a replica
    /// holds, is to load, is about to evict or has copies of must not change, nor its state,
    /// its service or who sends orders there.
    pub fn iter_mut_unindexed(&mut self) -> impl Iterator<Item = (&ReplicaId, &mut TrackedReplica)> {
        self.replicas.iter_mut()
    }

    /// Returns true if a replica of this id is known.
    pub fn contains_key(&self, id: &str) -> bool {
        self.replicas.contains_key(id)
    }
}

impl FromIterator<(ReplicaId, TrackedReplica)> for TrackedReplicas {
    fn from_iter<T: IntoIterator<Item = (ReplicaId, TrackedReplica)>>(replicas: T) -> Self {
        let mut placed = TrackedReplicas::default();
        for (id, replica) in replicas {
            placed.insert(id, replica);
        }
        placed
    }
}
