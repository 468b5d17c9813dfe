//! A node's view of the replicas: the directory's listings, the placements that orderers
//! publish, and what responses from replicas show in between.
//!
//! [`entry`] is one replica, [`index`] finds the replicas that hold a model, [`change_log`]
//! records which replicas changed, [`send_times`] records when the node's own requests
//! started, [`replica_signals`] is what replicas signal in their responses, and [`unlisted`]
//! retains what is known of replicas without a listing.

mod availability;
mod change_log;
mod entry;
mod index;
mod replica_signals;
mod send_times;
mod unlisted;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

pub use self::availability::Availability;
use self::change_log::ChangeLog;
pub use self::change_log::{ChangedReplicas, TableVersion};
pub use self::entry::ReplicaEntry;
use self::index::ServiceIndex;
use self::replica_signals::KnownSignals;
pub use self::replica_signals::{AnsweredCall, SignalChanges};
use self::unlisted::Unlisted;
use crate::answer_times::AnswerTimes;
use crate::capacity::ReplicaLoad;
use crate::catalog::{AdapterName, ModelName, ModelSpec, ServiceName};
use crate::health::SendOutcome;
use crate::placement::{weight_source, WeightSource};
use crate::quota::limits::ReportedLimit;
use crate::replica::{
    Holdings, Incarnation, ReplicaId, ReplicaListing, ReplicaSignals, StartedMs, WeightCopies,
};
use crate::shard::Shard;
use crate::time::Moment;
use crate::work::{RequestProfile, RequestWork};

/// A model that a replica is loading or is about to load.
#[derive(Debug, Clone, PartialEq)]
pub struct Arrival {
    /// The model.
    pub model: ModelName,
    /// When the model is expected to be ready.
    pub ready_at: Moment,
}

/// What an orderer publishes about one replica.
#[derive(Debug, Clone, PartialEq)]
pub struct Placement {
    /// The replica.
    pub replica: ReplicaId,
    /// When the incarnation that is meant started, if known.
    pub started_ms: Option<StartedMs>,
    /// Models and copies that requests may rely on: present, and not about to be unloaded.
    pub usable: Holdings,
    /// Models that are being loaded or are about to be.
    pub arriving: Vec<Arrival>,
    /// True if `usable` includes the weight copies. If false, the copies known before remain
    /// valid.
    pub includes_copies: bool,
}

/// Difference up to which two expected ready times count as equal.
const READY_TIME_TOLERANCE: Duration = Duration::from_millis(150);

impl Placement {
    /// Returns whether this placement holds nothing new for a node that knows `other`.
    pub fn is_equivalent_to(&self, other: &Placement) -> bool {
        let same_arrivals = self.arriving.len() == other.arriving.len()
            && self.arriving.iter().zip(&other.arriving).all(|(left, right)| {
                let apart = left
                    .ready_at
                    .since(right.ready_at)
                    .max(right.ready_at.since(left.ready_at));
                left.model == right.model && apart < READY_TIME_TOLERANCE
            });
        same_arrivals
            && self.usable.models == other.usable.models
            && self.usable.copies == other.usable.copies
    }
}

/// All replicas that a node knows.
#[derive(Debug, Default)]
pub struct ReplicaTable {
    replicas: BTreeMap<ReplicaId, ReplicaEntry>,
    services: HashMap<ServiceName, ServiceIndex>,
    /// Replicas with recorded outcomes of requests.
    with_outcomes: BTreeSet<ReplicaId>,
    /// Replicas that were listed before their orderer published a placement for them.
    awaiting_placement: BTreeSet<ReplicaId>,
    /// Placements of replicas that are not listed.
    unlisted: Unlisted<Placement>,
    /// Signals of replicas that are not listed.
    unlisted_signals: Unlisted<KnownSignals>,
    /// Start times of replicas that are not listed.
    unlisted_starts: Unlisted<Option<StartedMs>>,
    changes: ChangeLog,
    /// Shortest times to load a model, received from nodes that know all replicas.
    received_reload_times: HashMap<(ServiceName, ModelName), Duration>,
    /// Typical requests to each service, by this node's own requests.
    usual_runs: HashMap<ServiceName, RequestProfile>,
    /// Times until answers of each service began, by this node's own requests.
    answer_times: HashMap<ServiceName, AnswerTimes>,
    /// True if the requests of all services are routed by capacity.
    all_by_capacity: bool,
}

/// Failure rate that stands for a replica without recent outcomes.
const UNKNOWN_FAILURE_RATE: f64 = 0.5;
/// Number of replicas with recorded outcomes above which those without a recent outcome
/// are removed.
const MAX_WITH_OUTCOMES: usize = 64;

impl ReplicaTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the current version. A reader of the whole table has followed it up to there.
    pub fn version(&self) -> TableVersion {
        self.changes.version()
    }

    /// Returns the replicas that changed after `version`.
    pub fn changed_since(&self, version: TableVersion) -> ChangedReplicas {
        self.changes.since(version)
    }

    /// Applies a listing. Its holdings may be older than the latest order, so they are used
    /// only while no orderer publishes placements for the replica.
    pub fn apply_listing(&mut self, listing: ReplicaListing) {
        self.unlisted.remove(&listing.id);
        let entry = match self.replicas.get(&listing.id) {
            None => self.newly_listed(listing),
            Some(known) => match relisted(known, listing) {
                Some(entry) => ReplicaEntry {
                    knows_copies: true,
                    ..entry
                },
                None => return,
            },
        };
        self.put(entry);
    }

    /// Returns the entry of a replica that was not listed. Its earlier signals remain valid, as
    /// its directory entry may have lapsed while it kept running.
    fn newly_listed(&mut self, listing: ReplicaListing) -> ReplicaEntry {
        let signals = self.unlisted_signals.remove(&listing.id).unwrap_or_default();
        let former_start = self.unlisted_starts.remove(&listing.id);
        let is_later = |former| Incarnation::of(listing.started_ms, former) == Incarnation::Later;
        ReplicaEntry {
            signals: signals.of_incarnation(listing.started_ms),
            has_former_life: former_start.is_some_and(is_later),
            ..ReplicaEntry::new(listing)
        }
    }

    /// Applies the signals that a replica sent in its response to `call`, and returns what
    /// changed.
    pub fn apply_signals(
        &mut self,
        id: &ReplicaId,
        call: AnsweredCall,
        signals: ReplicaSignals,
    ) -> SignalChanges {
        let Some(entry) = self.replicas.get_mut(id) else {
            let mut known = self.unlisted_signals.remove(id).unwrap_or_default();
            let changes = known.apply(call, signals);
            if !known.is_empty() {
                self.unlisted_signals.insert(id.clone(), known);
            }
            return changes;
        };
        if Incarnation::of(call.started_ms, entry.listing.started_ms) == Incarnation::Earlier {
            return SignalChanges::default();
        }
        let changes = entry.signals.apply(call, signals);
        if changes != SignalChanges::default() {
            self.changes.note(id, self.replicas.len());
        }
        changes
    }

    /// Records that the listing of a known replica says that its incarnation that started at
    /// `started_ms` is leaving, although the rest of the listing is not applied. Returns whether
    /// that was not known.
    pub fn record_leaving(&mut self, id: &str, started_ms: Option<StartedMs>, now: Moment) -> bool {
        let Some(id) = self.replicas.get(id).map(|entry| entry.listing.id.clone()) else {
            return false;
        };
        let call = AnsweredCall {
            started_ms,
            sent_at: now,
            answered_at: now,
        };
        let signals = ReplicaSignals {
            is_leaving: true,
            ..ReplicaSignals::default()
        };
        self.apply_signals(&id, call, signals).leaving
    }

    /// Returns the request limit that a replica reported to this node, and when the incarnation
    /// that reported it started, if known.
    pub fn limit_of(&self, id: &str) -> Option<(ReportedLimit, Option<StartedMs>)> {
        let signals = match self.replicas.get(id) {
            Some(entry) => entry.signals,
            None => *self.unlisted_signals.get(id)?,
        };
        signals.limit().map(|limit| (limit, signals.started_ms()))
    }

    /// Returns whether the replica has asked this node not to send it requests, for now or for
    /// good.
    pub fn rejects_requests(&self, id: &str, now: Moment) -> bool {
        let signals = match self.replicas.get(id) {
            Some(entry) => entry.signals,
            None => self.unlisted_signals.get(id).copied().unwrap_or_default(),
        };
        signals.is_leaving() || signals.cooldown_until(now).is_some()
    }

    /// Applies the holdings in a listing of a known replica, unless an orderer publishes
    /// placements for it. Returns its new placement if anything changed.
    pub fn apply_listed_holdings(&mut self, listing: ReplicaListing) -> Option<Placement> {
        let known = self.replicas.get(&listing.id)?;
        let is_same = Incarnation::of(listing.started_ms, known.listing.started_ms) == Incarnation::Same;
        let is_changed = known.listing.holdings != listing.holdings || !known.absent.is_empty();
        if known.from_orderer || !is_same || !is_changed {
            return None;
        }
        let mut entry = known.clone();
        entry.absent.clear();
        entry.knows_copies = true;
        entry.listing.holdings = listing.holdings;
        let placement = Placement {
            includes_copies: true,
            ..entry.placement()
        };
        self.put(entry);
        Some(placement)
    }

    /// Applies a listing from a source that carries no holdings. A placement that arrived while
    /// the replica was not listed remains valid.
    pub fn apply_relayed_listing(&mut self, listing: ReplicaListing) {
        let placement = self.unlisted.remove(&listing.id);
        let id = listing.id.clone();
        let known = self.replicas.get(&id);
        let is_new = known.is_none_or(|known| {
            Incarnation::of(listing.started_ms, known.listing.started_ms) == Incarnation::Later
        });
        let knew_copies = known.is_none_or(|known| known.knows_copies);
        self.apply_listing(listing);
        if is_new || !knew_copies {
            self.note_unknown_copies(&id);
        }
        if let Some(placement) = placement {
            self.apply_placement(placement);
        } else if is_new {
            self.awaiting_placement.insert(id);
        }
    }

    fn note_unknown_copies(&mut self, id: &str) {
        let Some(entry) = self.replicas.get(id) else {
            return;
        };
        if entry.listing.holdings.copies == WeightCopies::default() {
            let entry = ReplicaEntry {
                knows_copies: false,
                ..entry.clone()
            };
            self.put(entry);
        }
    }

    /// Returns whether a ready replica of the service was listed but its placement has not
    /// arrived yet, although the orderer of its shard is linked.
    pub fn awaits_placement(&self, service: &str, is_linked: impl Fn(Shard) -> bool) -> bool {
        let awaiting = self
            .awaiting_placement
            .iter()
            .filter_map(|id| self.replicas.get(id));
        let mut awaiting = awaiting.filter(|entry| &*entry.listing.service == service && entry.is_ready());
        awaiting.any(|entry| is_linked(Shard::of_replica(&entry.listing.id)))
    }

    /// Inserts or replaces an entry. Every change to a field that is indexed goes through here.
    fn put(&mut self, entry: ReplicaEntry) {
        let id = entry.listing.id.clone();
        self.remove_entry(&id);
        self.services
            .entry(entry.listing.service.clone())
            .or_default()
            .add(&entry);
        self.replicas.insert(id.clone(), entry);
        self.unlisted.note_listed(self.replicas.len());
        self.unlisted_signals.note_listed(self.replicas.len());
        self.unlisted_starts.note_listed(self.replicas.len());
        self.changes.note(&id, self.replicas.len());
    }

    fn remove_entry(&mut self, id: &str) -> Option<ReplicaEntry> {
        let entry = self.replicas.remove(id)?;
        if let Some(index) = self.services.get_mut(&entry.listing.service) {
            index.remove(&entry);
        }
        Some(entry)
    }

    /// Removes a replica that is no longer listed. Its signals and placement are retained, in
    /// case it is listed again.
    pub fn remove(&mut self, id: &str) {
        let Some(entry) = self.remove_entry(id) else {
            return;
        };
        self.with_outcomes.remove(id);
        self.awaiting_placement.remove(id);
        self.changes.note(&entry.listing.id, self.replicas.len());
        if !entry.signals.is_empty() {
            self.unlisted_signals
                .insert(entry.listing.id.clone(), entry.signals);
        }
        if entry.from_orderer {
            self.unlisted.insert(entry.listing.id.clone(), entry.placement());
        }
        self.unlisted_starts
            .insert(entry.listing.id.clone(), entry.listing.started_ms);
    }

    /// Removes a replica about which this node receives no more updates. It may still be
    /// running.
    pub fn forget(&mut self, id: &str) {
        self.remove(id);
        self.unlisted.remove(id);
    }

    /// Removes all replicas for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&ReplicaId) -> bool) {
        let removed: Vec<ReplicaId> = self.replicas.keys().filter(|id| !keep(id)).cloned().collect();
        for id in removed {
            self.remove(&id);
        }
    }

    /// Applies a placement from an orderer. Returns false, and leaves the entry as it is, unless
    /// the placement is about the listed incarnation.
    pub fn apply_placement(&mut self, placement: Placement) -> bool {
        let Some(known) = self.replicas.get(&placement.replica) else {
            self.unlisted.insert(placement.replica.clone(), placement);
            return false;
        };
        match Incarnation::of(placement.started_ms, known.listing.started_ms) {
            Incarnation::Same => {}
            Incarnation::Earlier => return false,
            Incarnation::Later => {
                // The listing of this incarnation has not arrived yet.
                self.unlisted.insert(placement.replica.clone(), placement);
                return false;
            }
        }
        let mut entry = known.clone();
        entry.from_orderer = true;
        self.awaiting_placement.remove(&placement.replica);
        entry.absent.clear();
        let former = std::mem::replace(&mut entry.listing.holdings, placement.usable);
        if placement.includes_copies {
            entry.knows_copies = true;
        } else {
            entry.listing.holdings.copies = former.copies;
        }
        entry.arriving = placement.arriving;
        self.put(entry);
        true
    }

    /// Returns the known placements, for a node that has none yet.
    pub fn placements(&self) -> Vec<Placement> {
        let known = self.replicas.values().filter(|entry| entry.has_known_holdings());
        known.map(ReplicaEntry::placement).collect()
    }

    /// Handles the loss of a shard's orderer: from now on, listed holdings are used again.
    pub fn orderer_lost(&mut self, shard: Shard) {
        let is_placed =
            |entry: &&ReplicaEntry| entry.from_orderer && Shard::of_replica(&entry.listing.id) == shard;
        let lost: Vec<ReplicaEntry> = self.replicas.values().filter(is_placed).cloned().collect();
        for mut entry in lost {
            entry.from_orderer = false;
            entry.arriving.clear();
            self.put(entry);
        }
        self.unlisted.retain(|id| Shard::of_replica(id) != shard);
    }

    /// Records that a replica responded that it does not hold a model or adapter.
    pub fn mark_absent(&mut self, id: &str, model: ModelName, adapter: Option<AdapterName>) {
        if let Some(entry) = self.replicas.get_mut(id) {
            entry.absent.push((model, adapter));
        }
    }

    /// Records that a request is sent to the replica.
    pub fn begin_send(&mut self, id: &str, work: RequestWork, now: Moment) {
        if let Some(entry) = self.replicas.get_mut(id) {
            entry.own_sends += 1;
            entry.own_tokens += work.prompt_tokens;
            entry.send_times.record(now);
            let service = entry.listing.service.clone();
            self.usual_runs.entry(service).or_default().record_work(work);
        }
    }

    /// Records that the replica has processed the prompt of a request: the first token arrived,
    /// or the request ended.
    pub fn prompt_done(&mut self, id: &str, tokens: u64) {
        if let Some(entry) = self.replicas.get_mut(id) {
            entry.own_tokens = entry.own_tokens.saturating_sub(tokens);
        }
    }

    /// Records that a request at the replica ended.
    pub fn end_send(&mut self, id: &str) {
        if let Some(entry) = self.replicas.get_mut(id) {
            entry.own_sends = entry.own_sends.saturating_sub(1);
        }
    }

    /// Records for how long a completed request occupied its slot at the replica.
    pub fn record_run_time(&mut self, id: &str, held: Duration) {
        if let Some(entry) = self.replicas.get(id) {
            let service = entry.listing.service.clone();
            let usual = self.usual_runs.entry(service).or_default();
            usual.record_slot_time(held, entry.capacity.speed());
        }
    }

    /// Records how long a service's replica took until its answer began.
    pub fn record_answer_time(&mut self, service: &ServiceName, time: Duration) {
        self.answer_times.entry(service.clone()).or_default().record(time);
    }

    /// Returns a time within which answers of a service usually begin, if this node has seen any.
    pub fn usual_answer_time(&self, service: &str) -> Option<Duration> {
        self.answer_times.get(service)?.usual()
    }

    /// Records the longest pause between two events of a completed stream.
    pub fn record_pause(&mut self, id: &str, longest: Duration) {
        if let Some(entry) = self.replicas.get(id) {
            let service = entry.listing.service.clone();
            let usual = self.usual_runs.entry(service).or_default();
            usual.record_longest_pause(longest, entry.capacity.speed());
        }
    }

    /// Returns what requests to the service are usually like, if this node has sent any.
    pub fn usual_run(&self, service: &str) -> Option<&RequestProfile> {
        self.usual_runs.get(service)
    }

    /// Routes the requests of all services by the capacity of replicas from now on.
    pub fn route_all_by_capacity(&mut self) {
        self.all_by_capacity = true;
    }

    /// Returns whether requests to the service are routed by capacity: its replicas report their
    /// work time, or the node's settings ask for it.
    pub fn routes_by_capacity(&self, service: &str) -> bool {
        let reports = |index: &ServiceIndex| index.reports_work_time();
        self.all_by_capacity || self.services.get(service).is_some_and(reports)
    }

    /// Records the outcome of a request for the replica's health.
    pub fn record_outcome(&mut self, id: &str, outcome: SendOutcome, now: Moment) {
        let Some(entry) = self.replicas.get_mut(id) else {
            return;
        };
        entry.health.record(outcome, now);
        self.with_outcomes.insert(entry.listing.id.clone());
        if self.with_outcomes.len() > MAX_WITH_OUTCOMES {
            let replicas = &self.replicas;
            let is_recent = |id: &ReplicaId| {
                let entry = replicas.get(id);
                entry.is_some_and(|entry| entry.health.failure_rate(now).is_some() || !entry.is_in_reach(now))
            };
            self.with_outcomes.retain(is_recent);
        }
    }

    /// Records a load that the replica reported at `at`, to this node or to another one.
    pub fn record_load(&mut self, id: &str, load: ReplicaLoad, at: Moment) {
        let Some(entry) = self.replicas.get_mut(id) else {
            return;
        };
        entry.capacity.record(load, entry.own_sends_at(at), at);
        if let Some(index) = self.services.get_mut(&entry.listing.service) {
            index.note_capacity(entry);
        }
    }

    /// Returns the entry of a replica.
    pub fn get(&self, id: &str) -> Option<&ReplicaEntry> {
        self.replicas.get(id)
    }

    /// Returns all replicas.
    pub fn iter(&self) -> impl Iterator<Item = &ReplicaEntry> {
        self.replicas.values()
    }

    /// Returns the replicas of a service, in no particular order.
    pub fn of_service<'a>(&'a self, service: &str) -> impl Iterator<Item = &'a ReplicaEntry> + 'a {
        let ids = self
            .services
            .get(service)
            .into_iter()
            .flat_map(|index| &index.ids);
        ids.filter_map(|id| self.replicas.get(id))
    }

    /// Returns the replicas of a service that hold a model or are about to.
    pub fn with_model<'a>(
        &'a self,
        service: &str,
        model: &'a str,
    ) -> impl Iterator<Item = &'a ReplicaEntry> + 'a {
        let index = self.services.get(service).into_iter();
        let ids = index.flat_map(move |index| index.with_model(model));
        ids.filter_map(|id| self.replicas.get(id))
    }

    /// Returns the usual failure rate of a service's replicas: the median of their rates, or the
    /// lower one of the two in the middle. It is at most what it would be if replicas without recent
    /// outcomes failed half of their requests, so that some that fail at once, and therefore never look
    /// busy, do not set the measure by themselves.
    pub fn usual_failure_rate(&self, service: &str, now: Moment) -> f64 {
        let with_outcomes = self.with_outcomes.iter().filter_map(|id| self.replicas.get(id));
        let mut rates: Vec<f64> = with_outcomes
            .filter(|entry| &*entry.listing.service == service)
            .filter_map(|entry| entry.health.failure_rate(now))
            .collect();
        rates.sort_by(f64::total_cmp);
        let middle = rates.len().saturating_sub(1) / 2;
        let of_known = rates.get(middle).copied().unwrap_or(0.0);
        let replicas = self.services.get(service).map_or(0, |index| index.ids.len());
        of_known.min(median_with_unknown(&rates, replicas.saturating_sub(rates.len())))
    }

    /// Returns the earliest time at which a model that a replica in reach is loading for the service
    /// should be ready.
    pub fn arrival(&self, service: &str, model: &str, now: Moment) -> Option<Moment> {
        self.with_model(service, model)
            .filter(|entry| entry.is_ready() && entry.is_in_reach(now))
            .filter_map(|entry| entry.arrival(model))
            .min()
    }

    /// Returns the shortest time in which a ready and reachable replica of the service could load
    /// the model. A time received from a node that knows all replicas takes precedence over the
    /// replicas known here.
    pub fn reload_time(&self, service: &str, spec: &ModelSpec, now: Moment) -> Duration {
        let key = (ServiceName::from(service), spec.name.clone());
        if let Some(received) = self.received_reload_times.get(&key) {
            return *received;
        }
        let index = self.services.get(service).into_iter();
        let ids = index.flat_map(|index| index.with_copy(&spec.name));
        ids.filter_map(|id| self.replicas.get(id))
            .filter(|entry| entry.is_ready() && entry.is_in_reach(now))
            .map(|entry| match weight_source(&entry.listing.holdings, &spec.name) {
                WeightSource::Memory => spec.memory_load,
                WeightSource::Disk => spec.disk_load,
                WeightSource::Store => spec.store_load,
            })
            .min()
            .unwrap_or(spec.store_load)
    }

    /// Returns whether a replica of the service may have a copy of the model that this node does
    /// not know of. The load time from the weight store is then only an upper bound.
    pub fn may_have_unknown_copy(&self, service: &str, model: &ModelName) -> bool {
        let is_received = self
            .received_reload_times
            .contains_key(&(ServiceName::from(service), model.clone()));
        let Some(index) = self.services.get(service) else {
            return false;
        };
        let mut unknown = index.unknown_copies.iter().filter_map(|id| self.replicas.get(id));
        !is_received && index.with_copy(model).next().is_none() && unknown.any(ReplicaEntry::is_ready)
    }

    /// Records how soon a replica could load a model, as received from a node that knows all
    /// replicas.
    pub fn record_reload_time(&mut self, service: ServiceName, model: ModelName, reload: Duration) {
        self.received_reload_times.insert((service, model), reload);
    }

    /// Drops the received load times, because this table knows all replicas itself from now on.
    pub fn clear_received_reload_times(&mut self) {
        self.received_reload_times.clear();
    }

    /// Returns the number of ready replicas that hold the model, with or without adapters.
    pub fn holders(&self, service: &str, model: &str) -> usize {
        self.with_model(service, model)
            .filter(|entry| entry.is_ready() && entry.serves(model, None))
            .count()
    }

    /// Returns the number of ready holders that accept requests and are reachable, as far as is
    /// known.
    pub fn reachable_holders(&self, service: &str, model: &str, now: Moment) -> usize {
        self.with_model(service, model)
            .filter(|entry| entry.takes_requests(now) && entry.serves(model, None))
            .filter(|entry| entry.is_in_reach(now))
            .count()
    }

    /// Returns the replicas that were out of reach when this node last tried them, for a while.
    pub fn out_of_reach(&self, now: Moment) -> BTreeSet<ReplicaId> {
        let tried = self.with_outcomes.iter().filter_map(|id| self.replicas.get(id));
        let out_of_reach = tried.filter(|entry| !entry.is_in_reach(now));
        out_of_reach.map(|entry| entry.listing.id.clone()).collect()
    }

    /// Returns the earliest end of a cooldown among the model's ready holders in reach.
    pub fn earliest_holder_cooldown_end(&self, service: &str, model: &str, now: Moment) -> Option<Moment> {
        let holders = self.with_model(service, model);
        earliest_cooldown_end(holders.filter(|entry| entry.serves(model, None)), now)
    }

    /// Returns the earliest end of a cooldown among the service's ready replicas in reach.
    pub fn earliest_service_cooldown_end(&self, service: &str, now: Moment) -> Option<Moment> {
        earliest_cooldown_end(self.of_service(service), now)
    }

    /// Returns the number of replicas.
    pub fn len(&self) -> usize {
        self.replicas.len()
    }

    /// Returns whether no replica is known.
    pub fn is_empty(&self) -> bool {
        self.replicas.is_empty()
    }
}

fn earliest_cooldown_end<'a>(entries: impl Iterator<Item = &'a ReplicaEntry>, now: Moment) -> Option<Moment> {
    let ready = entries.filter(|entry| entry.is_ready() && entry.is_in_reach(now));
    ready.filter_map(|entry| entry.cooldown_until(now)).min()
}

/// Returns the entry of a known replica after a new listing, or `None` if the listing is of an
/// earlier incarnation than the known one and therefore out of date.
fn relisted(known: &ReplicaEntry, listing: ReplicaListing) -> Option<ReplicaEntry> {
    match Incarnation::of(listing.started_ms, known.listing.started_ms) {
        Incarnation::Same => {}
        Incarnation::Earlier => return None,
        Incarnation::Later => return Some(known.started_again(listing)),
    }
    let mut entry = known.clone();
    if entry.from_orderer {
        // The directory entry lists weight copies as early as a report does. A listing from a
        // source without holdings repeats the known copies.
        let mut holdings = std::mem::take(&mut entry.listing.holdings);
        holdings.copies = listing.holdings.copies.clone();
        entry.listing = ReplicaListing { holdings, ..listing };
    } else {
        entry.absent.clear();
        entry.listing = listing;
    }
    Some(entry)
}

/// Returns the median, or the lower one of the two in the middle, of sorted failure rates and of so many
/// unknown ones.
fn median_with_unknown(rates: &[f64], unknown: usize) -> f64 {
    let lower = rates.partition_point(|rate| *rate < UNKNOWN_FAILURE_RATE);
    let middle = (rates.len() + unknown).saturating_sub(1) / 2;
    if (lower..lower + unknown).contains(&middle) {
        return UNKNOWN_FAILURE_RATE;
    }
    let index = if middle < lower { middle } else { middle - unknown };
    rates.get(index).copied().unwrap_or(0.0)
}
