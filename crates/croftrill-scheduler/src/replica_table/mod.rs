//! One node's view of replicas: the directory's list, what the orderer tells of
//! placement, and what answers show in between.
//!
//! [`entry`] is one replica, [`index`] finds those that hold a model, [`change_log`]
//! tells which changed, [`own_begun`] when own requests began, [`own_word`] is what
//! replicas told of themselves, [`unlisted`] keeps what was told of replicas without a
//! listing.

mod change_log;
mod entry;
mod index;
mod own_begun;
mod own_word;
mod unlisted;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use self::change_log::ChangeLog;
pub use self::change_log::{ChangedReplicas, TableVersion};
pub use self::entry::ReplicaEntry;
use self::index::ServiceIndex;
use self::own_word::OwnWord;
pub use self::own_word::{AnsweredCall, WordNews};
use self::unlisted::Unlisted;
use crate::capacity::ReplicaLoad;
use crate::catalog::{AdapterName, ModelName, ModelSpec, ServiceName};
use crate::health::SendOutcome;
use crate::placement::{weight_source, WeightSource};
use crate::quota::limits::NamedLimit;
use crate::replica::{BornMs, Holdings, Incarnation, ReplicaId, ReplicaListing, ReplicaWord, WeightCopies};
use crate::shard::Shard;
use crate::time::Moment;
use crate::work::{RequestWork, UsualRun};

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
    /// When the incarnation that is meant started, if it tells.
    pub born_ms: Option<BornMs>,
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

/// All replicas that this node knows.
#[derive(Debug, Default)]
pub struct ReplicaTable {
    replicas: BTreeMap<ReplicaId, ReplicaEntry>,
    services: HashMap<ServiceName, ServiceIndex>,
    /// Replicas of which outcomes of sends are known.
    judged: BTreeSet<ReplicaId>,
    /// Replicas that were listed before their orderer's word came.
    awaiting_word: BTreeSet<ReplicaId>,
    /// What orderers told of replicas that are not listed.
    unlisted: Unlisted<Placement>,
    /// What such replicas told of themselves.
    unlisted_words: Unlisted<OwnWord>,
    changes: ChangeLog,
    /// Least times to load a model, from whoever knows all replicas.
    told_reloads: HashMap<(ServiceName, ModelName), Duration>,
    /// Requests to each service, as those of this node usually are.
    usual_runs: HashMap<ServiceName, UsualRun>,
    /// True if all services' requests go by capacity.
    by_capacity: bool,
}

/// Judged replicas from which on those without a recent outcome are sorted out.
const MOST_JUDGED: usize = 64;

impl ReplicaTable {
    /// An empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// How far whoever has read the whole table now has followed it.
    pub fn version(&self) -> TableVersion {
        self.changes.version()
    }

    /// What changed after a version.
    pub fn changed_since(&self, version: TableVersion) -> ChangedReplicas {
        self.changes.since(version)
    }

    /// Takes in a listing. Its holdings may be older than an order, so they are
    /// believed only while no orderer tells of this replica.
    pub fn apply_listing(&mut self, listing: ReplicaListing) {
        self.unlisted.take(&listing.id);
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

    /// The entry of a replica that was not listed: what it told of itself before holds on,
    /// as its entry may have lapsed while it lives.
    fn newly_listed(&mut self, listing: ReplicaListing) -> ReplicaEntry {
        let told = self.unlisted_words.take(&listing.id).unwrap_or_default();
        ReplicaEntry {
            own_word: told.of_incarnation(listing.born_ms),
            ..ReplicaEntry::new(listing)
        }
    }

    /// A replica told this node of itself, in answer to a call.
    pub fn hear(&mut self, id: &ReplicaId, call: AnsweredCall, word: ReplicaWord) -> WordNews {
        let Some(entry) = self.replicas.get_mut(id) else {
            let mut told = self.unlisted_words.take(id).unwrap_or_default();
            let news = told.hear(call, word);
            if !told.is_empty() {
                self.unlisted_words.keep(id.clone(), told);
            }
            return news;
        };
        if Incarnation::of(call.born_ms, entry.listing.born_ms) == Incarnation::Earlier {
            return WordNews::default();
        }
        let news = entry.own_word.hear(call, word);
        if news != WordNews::default() {
            self.changes.note(id, self.replicas.len());
        }
        news
    }

    /// The limit that a replica named to this node, and the start of the incarnation that
    /// did, if it told.
    pub fn limit_of(&self, id: &str) -> Option<(NamedLimit, Option<BornMs>)> {
        let told = match self.replicas.get(id) {
            Some(entry) => entry.own_word,
            None => *self.unlisted_words.get(id)?,
        };
        told.limit().map(|limit| (limit, told.born_ms()))
    }

    /// True if the replica told this node not to send it anything (for now).
    pub fn is_turned_away(&self, id: &str, now: Moment) -> bool {
        let told = match self.replicas.get(id) {
            Some(entry) => entry.own_word,
            None => self.unlisted_words.get(id).copied().unwrap_or_default(),
        };
        told.is_leaving() || told.rests_until(now).is_some()
    }

    /// Takes in what a listed replica holds by its listing, unless its orderer tells; answers
    /// what it holds if that is news.
    pub fn apply_listed_holdings(&mut self, listing: ReplicaListing) -> Option<Placement> {
        let known = self.replicas.get(&listing.id)?;
        let is_same = Incarnation::of(listing.born_ms, known.listing.born_ms) == Incarnation::Same;
        let is_news = known.listing.holdings != listing.holdings || !known.absent.is_empty();
        if known.from_orderer || !is_same || !is_news {
            return None;
        }
        let mut entry = known.clone();
        entry.absent.clear();
        entry.knows_copies = true;
        entry.listing.holdings = listing.holdings;
        let placement = Placement {
            tells_copies: true,
            ..entry.placement()
        };
        self.put(entry);
        Some(placement)
    }

    /// Takes in a listing that came by a way which tells nothing of what the replica
    /// holds: what its orderer told while it was not listed holds on.
    pub fn apply_relayed_listing(&mut self, listing: ReplicaListing) {
        let told = self.unlisted.take(&listing.id);
        let id = listing.id.clone();
        let known = self.replicas.get(&id);
        let is_new = known.is_none_or(|known| {
            Incarnation::of(listing.born_ms, known.listing.born_ms) == Incarnation::Later
        });
        let knew_copies = known.is_none_or(|known| known.knows_copies);
        self.apply_listing(listing);
        if is_new || !knew_copies {
            self.note_unknown_copies(&id);
        }
        if let Some(told) = told {
            self.apply_placement(told);
        } else if is_new {
            self.awaiting_word.insert(id);
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

    /// True if a ready replica of the service was just listed, and the orderer of its
    /// shard, which is linked, has not told yet what it holds.
    pub fn awaits_word(&self, service: &str, is_linked: impl Fn(Shard) -> bool) -> bool {
        let awaiting = self.awaiting_word.iter().filter_map(|id| self.replicas.get(id));
        let mut awaiting = awaiting.filter(|entry| &*entry.listing.service == service && entry.is_ready());
        awaiting.any(|entry| is_linked(Shard::of_replica(&entry.listing.id)))
    }

    /// The one way in which an entry comes into the table or changes what is indexed.
    fn put(&mut self, entry: ReplicaEntry) {
        let id = entry.listing.id.clone();
        self.take_out(&id);
        self.services
            .entry(entry.listing.service.clone())
            .or_default()
            .add(&entry);
        self.replicas.insert(id.clone(), entry);
        self.unlisted.note_listed(self.replicas.len());
        self.unlisted_words.note_listed(self.replicas.len());
        self.changes.note(&id, self.replicas.len());
    }

    fn take_out(&mut self, id: &str) -> Option<ReplicaEntry> {
        let entry = self.replicas.remove(id)?;
        if let Some(index) = self.services.get_mut(&entry.listing.service) {
            index.take_out(&entry);
        }
        Some(entry)
    }

    /// Forgets a replica that is gone.
    pub fn remove(&mut self, id: &str) {
        let Some(entry) = self.take_out(id) else {
            return;
        };
        self.judged.remove(id);
        self.awaiting_word.remove(id);
        self.changes.note(&entry.listing.id, self.replicas.len());
        if !entry.own_word.is_empty() {
            self.unlisted_words.keep(entry.listing.id.clone(), entry.own_word);
        }
        if entry.from_orderer {
            self.unlisted.keep(entry.listing.id.clone(), entry.placement());
        }
    }

    /// Forgets a replica that this node is not told of any more: it may be there still.
    pub fn forget(&mut self, id: &str) {
        self.remove(id);
        self.unlisted.take(id);
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
        let Some(known) = self.replicas.get(&placement.replica) else {
            self.unlisted.keep(placement.replica.clone(), placement);
            return false;
        };
        match Incarnation::of(placement.born_ms, known.listing.born_ms) {
            Incarnation::Same => {}
            Incarnation::Earlier => return false,
            Incarnation::Later => {
                // Its listing is still to come.
                self.unlisted.keep(placement.replica.clone(), placement);
                return false;
            }
        }
        let mut entry = known.clone();
        entry.from_orderer = true;
        self.awaiting_word.remove(&placement.replica);
        entry.absent.clear();
        let former = std::mem::replace(&mut entry.listing.holdings, placement.usable);
        if placement.tells_copies {
            entry.knows_copies = true;
        } else {
            entry.listing.holdings.copies = former.copies;
        }
        entry.arriving = placement.arriving;
        self.put(entry);
        true
    }

    /// What is known of what replicas hold, for a node that knows nothing of it yet.
    pub fn placements(&self) -> Vec<Placement> {
        let known = self.replicas.values().filter(|entry| entry.tells_holdings());
        known.map(ReplicaEntry::placement).collect()
    }

    /// The orderer of a shard no longer tells: from now on the list is believed again.
    pub fn orderer_lost(&mut self, shard: Shard) {
        let told =
            |entry: &&ReplicaEntry| entry.from_orderer && Shard::of_replica(&entry.listing.id) == shard;
        let lost: Vec<ReplicaEntry> = self.replicas.values().filter(told).cloned().collect();
        for mut entry in lost {
            entry.from_orderer = false;
            entry.arriving.clear();
            self.put(entry);
        }
        self.unlisted.retain(|id| Shard::of_replica(id) != shard);
    }

    /// A replica answered that it does not hold a model or adapter.
    pub fn mark_absent(&mut self, id: &str, model: ModelName, adapter: Option<AdapterName>) {
        if let Some(entry) = self.replicas.get_mut(id) {
            entry.absent.push((model, adapter));
        }
    }

    /// A request goes to the replica.
    pub fn begin_send(&mut self, id: &str, work: RequestWork, now: Moment) {
        if let Some(entry) = self.replicas.get_mut(id) {
            entry.own_sends += 1;
            entry.own_tokens += work.prompt_tokens;
            entry.own_begun.note(now);
            let service = entry.listing.service.clone();
            self.usual_runs.entry(service).or_default().note_work(work);
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

    /// A request held its place at the replica for so long, to its end.
    pub fn ran_for(&mut self, id: &str, held: Duration) {
        if let Some(entry) = self.replicas.get(id) {
            let service = entry.listing.service.clone();
            let usual = self.usual_runs.entry(service).or_default();
            usual.note_held(held, entry.capacity.speed());
        }
    }

    /// A stream at the replica ended; its longest pause between two events.
    pub fn paused_for(&mut self, id: &str, longest: Duration) {
        if let Some(entry) = self.replicas.get(id) {
            let service = entry.listing.service.clone();
            let usual = self.usual_runs.entry(service).or_default();
            usual.note_pause(longest, entry.capacity.speed());
        }
    }

    /// What the requests to a service usually are, if this node sent any.
    pub fn usual_run(&self, service: &str) -> Option<&UsualRun> {
        self.usual_runs.get(service)
    }

    /// From now on the requests to all services go by what is known of replicas' capacity.
    pub fn go_by_capacity(&mut self) {
        self.by_capacity = true;
    }

    /// True if requests to the service go by capacity: its replicas tell how long work
    /// takes there, or the node's operators asked for it.
    pub fn goes_by_capacity(&self, service: &str) -> bool {
        let tells = |index: &ServiceIndex| index.tells_work_time();
        self.by_capacity || self.services.get(service).is_some_and(tells)
    }

    /// Counts the outcome of a send for the replica's health.
    pub fn record_outcome(&mut self, id: &str, outcome: SendOutcome, now: Moment) {
        let Some(entry) = self.replicas.get_mut(id) else {
            return;
        };
        entry.health.record(outcome, now);
        self.judged.insert(entry.listing.id.clone());
        if self.judged.len() > MOST_JUDGED {
            let replicas = &self.replicas;
            let is_recent = |id: &ReplicaId| {
                let entry = replicas.get(id);
                entry.is_some_and(|entry| entry.health.failure_rate(now).is_some())
            };
            self.judged.retain(is_recent);
        }
    }

    /// A replica told its load at `at`: to this node, or to another that told of it.
    pub fn told_load(&mut self, id: &str, load: ReplicaLoad, at: Moment) {
        let Some(entry) = self.replicas.get_mut(id) else {
            return;
        };
        entry.capacity.hear(load, entry.own_sends_at(at), at);
        if let Some(index) = self.services.get_mut(&entry.listing.service) {
            index.note_capacity(entry);
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
            .services
            .get(service)
            .into_iter()
            .flat_map(|index| &index.ids);
        ids.filter_map(|id| self.replicas.get(id))
    }

    /// Those that hold or await a model.
    pub fn with_model<'a>(
        &'a self,
        service: &str,
        model: &'a str,
    ) -> impl Iterator<Item = &'a ReplicaEntry> + 'a {
        let index = self.services.get(service).into_iter();
        let ids = index.flat_map(move |index| index.with_model(model));
        ids.filter_map(|id| self.replicas.get(id))
    }

    /// Usual share of failures among a service's replicas: their median, the
    /// lower one of two.
    pub fn usual_failure_rate(&self, service: &str, now: Moment) -> f64 {
        let judged = self.judged.iter().filter_map(|id| self.replicas.get(id));
        let mut rates: Vec<f64> = judged
            .filter(|entry| &*entry.listing.service == service)
            .filter_map(|entry| entry.health.failure_rate(now))
            .collect();
        rates.sort_by(f64::total_cmp);
        let middle = rates.len().saturating_sub(1) / 2;
        rates.get(middle).copied().unwrap_or(0.0)
    }

    /// Earliest moment at which a model on its way to the service should be ready.
    pub fn arrival(&self, service: &str, model: &str) -> Option<Moment> {
        self.with_model(service, model)
            .filter(|entry| entry.is_ready())
            .flat_map(|entry| &entry.arriving)
            .filter(|arrival| &*arrival.model == model)
            .map(|arrival| arrival.ready_at)
            .min()
    }

    /// Least time in which a ready replica of the service that can be reached could load
    /// the model: as told by whoever knows all replicas, else by those known here.
    pub fn reload_time(&self, service: &str, spec: &ModelSpec, now: Moment) -> Duration {
        let key = (ServiceName::from(service), spec.name.clone());
        if let Some(told) = self.told_reloads.get(&key) {
            return *told;
        }
        let index = self.services.get(service).into_iter();
        let ids = index.flat_map(|index| index.with_copy(&spec.name));
        ids.filter_map(|id| self.replicas.get(id))
            .filter(|entry| entry.is_ready() && !entry.health.is_unreachable(now))
            .map(|entry| match weight_source(&entry.listing.holdings, &spec.name) {
                WeightSource::Memory => spec.memory_load,
                WeightSource::Disk => spec.disk_load,
                WeightSource::Store => spec.store_load,
            })
            .min()
            .unwrap_or(spec.store_load)
    }

    /// True if a copy of the model may lie at a replica of the service without this node
    /// having heard of it: its time from the weight store is then no more than a bound.
    pub fn may_have_unknown_copy(&self, service: &str, model: &ModelName) -> bool {
        let is_told = self
            .told_reloads
            .contains_key(&(ServiceName::from(service), model.clone()));
        let Some(index) = self.services.get(service) else {
            return false;
        };
        let mut unknown = index.unknown_copies.iter().filter_map(|id| self.replicas.get(id));
        !is_told && index.with_copy(model).next().is_none() && unknown.any(ReplicaEntry::is_ready)
    }

    /// Whoever knows all replicas told how soon one of them could load a model.
    pub fn told_reload(&mut self, service: ServiceName, model: ModelName, reload: Duration) {
        self.told_reloads.insert((service, model), reload);
    }

    /// From now on this table knows all replicas itself.
    pub fn forget_told_reloads(&mut self) {
        self.told_reloads.clear();
    }

    /// Number of ready replicas that hold the model, with or without an adapter.
    pub fn holders(&self, service: &str, model: &str) -> usize {
        self.with_model(service, model)
            .filter(|entry| entry.is_ready() && entry.serves(model, None))
            .count()
    }

    /// Number of those that requests can be sent to, as far as is known.
    pub fn reachable_holders(&self, service: &str, model: &str, now: Moment) -> usize {
        self.with_model(service, model)
            .filter(|entry| entry.takes_requests(now) && entry.serves(model, None))
            .filter(|entry| !entry.health.is_unreachable(now))
            .count()
    }

    /// When the first of a model's holders that only rest wants requests again.
    pub fn holder_rests_until(&self, service: &str, model: &str, now: Moment) -> Option<Moment> {
        let holders = self.with_model(service, model);
        first_rest_end(holders.filter(|entry| entry.serves(model, None)), now)
    }

    /// When the first of a service's replicas that only rest wants requests again.
    pub fn service_rests_until(&self, service: &str, now: Moment) -> Option<Moment> {
        first_rest_end(self.of_service(service), now)
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

fn first_rest_end<'a>(entries: impl Iterator<Item = &'a ReplicaEntry>, now: Moment) -> Option<Moment> {
    let ready = entries.filter(|entry| entry.is_ready());
    ready.filter_map(|entry| entry.rests_until(now)).min()
}

/// A known replica after it was listed anew; `None` if the listing is of an earlier start
/// than the known one, and so was written late.
fn relisted(known: &ReplicaEntry, listing: ReplicaListing) -> Option<ReplicaEntry> {
    match Incarnation::of(listing.born_ms, known.listing.born_ms) {
        Incarnation::Same => {}
        Incarnation::Earlier => return None,
        Incarnation::Later => return Some(known.started_again(listing)),
    }
    let mut entry = known.clone();
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
    Some(entry)
}
