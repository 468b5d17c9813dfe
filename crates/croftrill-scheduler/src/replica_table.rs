//! One node's view of all replicas: the directory's list, what the orderer
//! tells of placement, and what answers show in between.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use crate::catalog::{AdapterName, ModelName, ModelSpec, ServiceName};
use crate::health::{ReplicaHealth, SendOutcome};
use crate::placement::{weight_source, WeightSource};
use crate::replica::{Holdings, ReplicaId, ReplicaListing, ReplicaState};
use crate::shard::Shard;
use crate::time::Moment;

/// A model on its way to a replica.
#[derive(Debug, Clone, PartialEq)]
pub struct Arrival {
    /// The model.
    pub model: ModelName,
    /// When it should be ready.
    pub ready_at: Moment,
}

/// What the orderer tells of one replica.
#[derive(Debug, Clone, PartialEq)]
pub struct Placement {
    /// The replica.
    pub replica: ReplicaId,
    /// What requests may rely on: present, and not about to be dropped.
    pub usable: Holdings,
    /// Models on their way.
    pub arriving: Vec<Arrival>,
    /// True if the copies in `usable` are told; else what is known of them holds on.
    pub tells_copies: bool,
}

/// Expected times that differ by less are the same to the nodes.
const SAME_ARRIVAL: Duration = Duration::from_millis(150);

impl Placement {
    /// True if a node that knows `other` learns nothing from this one.
    pub fn says_the_same_as(&self, other: &Placement) -> bool {
        let same_arrivals = self.arriving.len() == other.arriving.len()
            && self.arriving.iter().zip(&other.arriving).all(|(left, right)| {
                let apart = left
                    .ready_at
                    .since(right.ready_at)
                    .max(right.ready_at.since(left.ready_at));
                left.model == right.model && apart < SAME_ARRIVAL
            });
        same_arrivals
            && self.usable.models == other.usable.models
            && self.usable.copies == other.usable.copies
    }
}

/// Load that a replica told in an answer, with the sends that this node had there.
#[derive(Debug, Clone, Copy, Default)]
struct ToldLoad {
    others: f64,
    at: Moment,
}

/// How fast a told load loses its meaning.
const TOLD_LOAD_MEMORY: Duration = Duration::from_millis(700);

/// One replica in the table.
#[derive(Debug, Clone)]
pub struct ReplicaEntry {
    /// The replica as listed; its holdings are the newest known.
    pub listing: ReplicaListing,
    /// Models on their way, as the orderer told.
    pub arriving: Vec<Arrival>,
    /// Health as answers showed it.
    pub health: ReplicaHealth,
    from_orderer: bool,
    absent: Vec<(ModelName, Option<AdapterName>)>,
    own_sends: u32,
    own_tokens: u64,
    told: ToldLoad,
}

impl ReplicaEntry {
    fn placement(&self) -> Placement {
        Placement {
            replica: self.listing.id.clone(),
            usable: self.listing.holdings.clone(),
            arriving: self.arriving.clone(),
            tells_copies: false,
        }
    }

    /// True while its orderer's word on what it holds is known.
    pub fn is_told(&self) -> bool {
        self.from_orderer
    }

    fn new(listing: ReplicaListing) -> Self {
        ReplicaEntry {
            listing,
            arriving: Vec::new(),
            health: ReplicaHealth::default(),
            from_orderer: false,
            absent: Vec::new(),
            own_sends: 0,
            own_tokens: 0,
            told: ToldLoad::default(),
        }
    }

    /// True if the replica takes new requests.
    pub fn is_ready(&self) -> bool {
        self.listing.state == ReplicaState::Ready
    }

    /// True if the model and adapter are usable there, as far as is known.
    pub fn serves(&self, model: &str, adapter: Option<&str>) -> bool {
        let denied = self.absent.iter().any(|(absent_model, absent_adapter)| {
            &**absent_model == model && (absent_adapter.is_none() || absent_adapter.as_deref() == adapter)
        });
        !denied && self.listing.holdings.serves(model, adapter)
    }

    /// Requests believed to be there: this node's own and the others'.
    pub fn load(&self, now: Moment) -> f64 {
        let age = now.since(self.told.at).as_secs_f64() / TOLD_LOAD_MEMORY.as_secs_f64();
        f64::from(self.own_sends) + self.told.others * (-age).exp()
    }

    /// Prompt tokens that this node's unanswered requests have there.
    pub fn own_tokens(&self) -> u64 {
        self.own_tokens
    }
}

/// All replicas that this node knows.
#[derive(Debug, Default)]
pub struct ReplicaTable {
    replicas: BTreeMap<ReplicaId, ReplicaEntry>,
    by_service: HashMap<ServiceName, Vec<ReplicaId>>,
    /// What orderers told of replicas that are not listed (yet, or any more), the
    /// oldest first.
    told_unlisted: VecDeque<Placement>,
}

/// Most replicas that are not listed of which an orderer's word is kept: as many as
/// lapse together when the store is away from a large fleet. Some 200 bytes each.
const MOST_TOLD_UNLISTED: usize = 1024;

impl ReplicaTable {
    /// An empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in a listing. Its holdings may be older than an order, so they are
    /// believed only while no orderer tells of this replica.
    pub fn apply_listing(&mut self, listing: ReplicaListing) {
        self.take_unlisted(&listing.id);
        let Some(entry) = self.replicas.get_mut(&listing.id) else {
            self.by_service
                .entry(listing.service.clone())
                .or_default()
                .push(listing.id.clone());
            self.replicas
                .insert(listing.id.clone(), ReplicaEntry::new(listing));
            return;
        };
        if entry.from_orderer {
            // Copies stand in the entry as soon as in a report; a listing that came
            // by a way which tells nothing of them names the known ones.
            let mut holdings = std::mem::take(&mut entry.listing.holdings);
            holdings.copies = listing.holdings.copies.clone();
            entry.listing = ReplicaListing { holdings, ..listing };
        } else {
            entry.absent.clear();
            entry.listing = listing;
        }
    }

    /// Takes in a listing that came by a way which tells nothing of what the replica
    /// holds: what its orderer told while it was not listed holds on.
    pub fn apply_relayed_listing(&mut self, listing: ReplicaListing) {
        let told = self.take_unlisted(&listing.id);
        self.apply_listing(listing);
        if let Some(told) = told {
            self.apply_placement(told);
        }
    }

    fn take_unlisted(&mut self, id: &str) -> Option<Placement> {
        let index = self.told_unlisted.iter().position(|told| &*told.replica == id)?;
        self.told_unlisted.remove(index)
    }

    /// Keeps what an orderer told of a replica that is not listed: it may come, or
    /// come back, by a slower way.
    fn keep_unlisted(&mut self, told: Placement) {
        self.take_unlisted(&told.replica);
        if self.told_unlisted.len() == MOST_TOLD_UNLISTED {
            self.told_unlisted.pop_front();
        }
        self.told_unlisted.push_back(told);
    }

    /// Forgets a replica that is gone.
    pub fn remove(&mut self, id: &str) {
        if let Some(entry) = self.replicas.remove(id) {
            if entry.from_orderer {
                self.keep_unlisted(entry.placement());
            }
            if let Some(ids) = self.by_service.get_mut(&entry.listing.service) {
                ids.retain(|other| &**other != id);
            }
        }
    }

    /// Keeps just the replicas for which `keep` holds.
    pub fn retain(&mut self, keep: impl Fn(&ReplicaId) -> bool) {
        let gone: Vec<ReplicaId> = self.replicas.keys().filter(|id| !keep(id)).cloned().collect();
        for id in gone {
            self.remove(&id);
        }
    }

    /// Takes in what the orderer tells; true if it changes what can be used.
    pub fn apply_placement(&mut self, placement: Placement) -> bool {
        let Some(entry) = self.replicas.get_mut(&placement.replica) else {
            self.keep_unlisted(placement);
            return false;
        };
        entry.from_orderer = true;
        entry.absent.clear();
        let known = std::mem::replace(&mut entry.listing.holdings, placement.usable);
        if !placement.tells_copies {
            entry.listing.holdings.copies = known.copies;
        }
        entry.arriving = placement.arriving;
        true
    }

    /// What is known of what replicas hold, for a node that knows nothing of it yet.
    pub fn placements(&self) -> Vec<Placement> {
        let known = self
            .replicas
            .values()
            .filter(|entry| entry.from_orderer || !entry.listing.holdings.models.is_empty());
        known.map(ReplicaEntry::placement).collect()
    }

    /// The orderer of a shard no longer tells: from now on the list is believed again.
    pub fn orderer_lost(&mut self, shard: Shard) {
        let entries = self.replicas.iter_mut();
        let lost = entries.filter(|(id, _)| Shard::of_replica(id) == shard);
        for (_, entry) in lost {
            entry.from_orderer = false;
            entry.arriving.clear();
        }
        self.told_unlisted
            .retain(|told| Shard::of_replica(&told.replica) != shard);
    }

    /// A replica answered that it does not hold a model or adapter.
    pub fn mark_absent(&mut self, id: &str, model: ModelName, adapter: Option<AdapterName>) {
        if let Some(entry) = self.replicas.get_mut(id) {
            entry.absent.push((model, adapter));
        }
    }

    /// A request of `tokens` prompt tokens goes to the replica.
    pub fn begin_send(&mut self, id: &str, tokens: u64) {
        if let Some(entry) = self.replicas.get_mut(id) {
            entry.own_sends += 1;
            entry.own_tokens += tokens;
        }
    }

    /// The prompt of a request has been read: its first token came, or it is over.
    pub fn prompt_done(&mut self, id: &str, tokens: u64) {
        if let Some(entry) = self.replicas.get_mut(id) {
            entry.own_tokens = entry.own_tokens.saturating_sub(tokens);
        }
    }

    /// A request at the replica is over.
    pub fn end_send(&mut self, id: &str) {
        if let Some(entry) = self.replicas.get_mut(id) {
            entry.own_sends = entry.own_sends.saturating_sub(1);
        }
    }

    /// Counts the outcome of a send for the replica's health.
    pub fn record_outcome(&mut self, id: &str, outcome: SendOutcome, now: Moment) {
        if let Some(entry) = self.replicas.get_mut(id) {
            entry.health.record(outcome, now);
        }
    }

    /// A replica told how many requests it has, running and waiting.
    pub fn told_load(&mut self, id: &str, requests: u32, now: Moment) {
        if let Some(entry) = self.replicas.get_mut(id) {
            let others = f64::from(requests) - f64::from(entry.own_sends);
            entry.told = ToldLoad {
                others: others.max(0.0),
                at: now,
            };
        }
    }

    /// The entry of a replica.
    pub fn get(&self, id: &str) -> Option<&ReplicaEntry> {
        self.replicas.get(id)
    }

    /// All replicas.
    pub fn iter(&self) -> impl Iterator<Item = &ReplicaEntry> {
        self.replicas.values()
    }

    /// The replicas of a service, in no particular order.
    pub fn of_service<'a>(&'a self, service: &str) -> impl Iterator<Item = &'a ReplicaEntry> + 'a {
        let ids = self
            .by_service
            .get(service)
            .map(Vec::as_slice)
            .unwrap_or_default();
        ids.iter().filter_map(|id| self.replicas.get(id))
    }

    /// Usual share of failures among a service's replicas: their median, the
    /// lower one of two.
    pub fn usual_failure_rate(&self, service: &str, now: Moment) -> f64 {
        let mut rates: Vec<f64> = self
            .of_service(service)
            .filter_map(|entry| entry.health.failure_rate(now))
            .collect();
        rates.sort_by(f64::total_cmp);
        let middle = rates.len().saturating_sub(1) / 2;
        rates.get(middle).copied().unwrap_or(0.0)
    }

    /// Earliest moment at which a model on its way to the service should be ready.
    pub fn arrival(&self, service: &str, model: &str) -> Option<Moment> {
        self.of_service(service)
            .filter(|entry| entry.is_ready())
            .flat_map(|entry| &entry.arriving)
            .filter(|arrival| &*arrival.model == model)
            .map(|arrival| arrival.ready_at)
            .min()
    }

    /// Least time in which a ready replica of the service that can be reached could load
    /// the model.
    pub fn reload_time(&self, service: &str, spec: &ModelSpec, now: Moment) -> Duration {
        self.of_service(service)
            .filter(|entry| entry.is_ready() && !entry.health.is_unreachable(now))
            .map(|entry| match weight_source(&entry.listing.holdings, &spec.name) {
                WeightSource::Memory => spec.memory_load,
                WeightSource::Disk => spec.disk_load,
                WeightSource::Store => spec.store_load,
            })
            .min()
            .unwrap_or(spec.store_load)
    }

    /// Number of ready replicas that hold the model, with or without an adapter.
    pub fn holders(&self, service: &str, model: &str) -> usize {
        self.of_service(service)
            .filter(|entry| entry.is_ready() && entry.serves(model, None))
            .count()
    }

    /// Number of those that requests can be sent to, as far as is known.
    pub fn reachable_holders(&self, service: &str, model: &str, now: Moment) -> usize {
        self.of_service(service)
            .filter(|entry| entry.is_ready() && entry.serves(model, None))
            .filter(|entry| !entry.health.is_unreachable(now))
            .count()
    }

    /// Number of replicas.
    pub fn len(&self) -> usize {
        self.replicas.len()
    }

    /// True if no replica is known.
    pub fn is_empty(&self) -> bool {
        self.replicas.is_empty()
    }
}
