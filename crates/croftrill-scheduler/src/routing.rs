//! Which replica takes a request.
//!
//! Services without models: the least loaded replica, the own zone first among
//! equals. Model services: of the replicas that hold the model and adapter, the
//! one where the prompt will be read soonest, given the tokens that wait there
//! and the shared part of the prompt that its home replica has likely kept.
//! The home of a shared part is chosen by rendezvous hashing, so all nodes agree
//! on it without talking.
//!
//! Services whose requests go by capacity: see [`ReplicaTable::goes_by_capacity`]. There a
//! replica's [`Outlook`] decides: the part of the request's objective, of its deadline and
//! of the replica's places that it would take. A full one is the last choice.

use std::cmp::Ordering;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::outlook::{Outlook, OutlookAsk};
use crate::replica::ReplicaId;
use crate::replica_table::{ReplicaEntry, ReplicaTable};
use crate::time::Moment;
use crate::work::RequestWork;

/// What a request needs of a model service.
#[derive(Debug, Clone, Copy)]
pub struct ModelNeed<'a> {
    /// The model.
    pub model: &'a str,
    /// An adapter of it.
    pub adapter: Option<&'a str>,
    /// Hash of the deepest part of the prompt that other requests share.
    pub shared_part: Option<u64>,
    /// Tokens of the prompt up to the end of that part.
    pub shared_tokens: u64,
}

/// What is asked of routing.
#[derive(Debug, Clone, Copy)]
pub struct RoutingRequest<'a> {
    /// The service.
    pub service: &'a str,
    /// Present for model services.
    pub need: Option<ModelNeed<'a>>,
    /// Zone of the asking node.
    pub zone: &'a str,
    /// Replicas that were tried already.
    pub tried: &'a [ReplicaId],
    /// Varies between requests, to break ties.
    pub salt: u64,
    /// What it asks of a replica.
    pub work: RequestWork,
    /// Time until its first event should come.
    pub objective_left: Duration,
    /// Longest pause of an answer that is in time.
    pub pause_objective: Option<Duration>,
    /// Time until its caller, or the route, ends it.
    pub deadline_left: Duration,
    /// Tokens of prompt memory of a replica; zero if not known.
    pub memory_tokens: u64,
}

/// Prompt tokens that one request waiting ahead is taken to cost.
const TOKENS_PER_REQUEST: f64 = 700.0;
/// Load that another zone counts as, in requests.
const OTHER_ZONE_COST: f64 = 0.2;
/// Load that a replica in need counts as, in requests: another holder takes the request
/// unless it has a fair queue already.
const LIMITED_COST: f64 = 16.0;
/// Cost that makes a failing replica the last choice.
const OUTLIER_COST: f64 = 1e6;

/// Cost that makes a full replica the last choice among those that are well.
const FULL_COST: f64 = 1e3;
/// Power to which the chance of no long pause goes into a weight, in which free places count
/// once: a stream that pauses is late, while one more in a batch holds the others up by
/// little.
const STEADINESS: f64 = 6.0;
/// Part of a replica's weight that is left in another zone: as if half its places were taken,
/// since bytes between zones cost something.
const OTHER_ZONE_PART: f64 = 0.5;
/// Weight of a full replica beside one with room: none may be left.
const FULL_PART: f64 = 1e-9;
/// Free places that a replica in need counts as at least, so that it ranks before a full one.
const LEAST_ROOM: f64 = 0.1;
/// Chance to be in time that any request counts as, so that a replica with room ranks before
/// a full one also for a request that will be late anyway.
const LEAST_CHANCE: f64 = 0.01;
/// Shortest time that a request is taken to have left.
const LEAST_TIME_LEFT: Duration = Duration::from_millis(1);

/// Chooses the replica for a request; `None` if no replica can take it.
pub fn choose(table: &ReplicaTable, request: &RoutingRequest<'_>, now: Moment) -> Option<ReplicaId> {
    if table.goes_by_capacity(request.service) {
        return choose_by_capacity(table, request, now);
    }
    let usual_failures = table.usual_failure_rate(request.service, now);
    let home = request.need.and_then(|need| home_of(table, request, &need, now));
    let costed = candidates(table, request, now).map(|entry| {
        let cost = match &request.need {
            Some(need) => model_cost(entry, need, home.as_ref(), request, now),
            None => plain_cost(entry, request, now),
        };
        let cost = cost + health_cost(entry, usual_failures, now);
        (cost, tie_break(entry, request.salt), entry)
    });
    costed
        .min_by(|left, right| left.0.total_cmp(&right.0).then(left.1.cmp(&right.1)))
        .map(|(_, _, entry)| entry.listing.id.clone())
}

/// Draws a replica by its weight. Nodes act on the same accounts, up to a second old: if
/// each took the replica that is best by them, all would go to the same. Where none has a
/// weight, the least cost decides.
fn choose_by_capacity(table: &ReplicaTable, request: &RoutingRequest<'_>, now: Moment) -> Option<ReplicaId> {
    let drawn = weigh(table, request, now).map(|weighed| {
        let tie = tie_break(weighed.entry, request.salt);
        Drawn {
            lot: lot(tie, weighed.weight),
            tie,
            weighed,
        }
    });
    drawn
        .max_by(Drawn::cmp)
        .map(|drawn| drawn.weighed.entry.listing.id.clone())
}

/// A replica in the draw; the greatest is chosen.
struct Drawn<'a> {
    lot: f64,
    tie: u64,
    weighed: Weighed<'a>,
}

impl Drawn<'_> {
    fn cmp(&self, other: &Self) -> Ordering {
        let by_cost = || other.weighed.cost.total_cmp(&self.weighed.cost);
        let by_lot = self.lot.total_cmp(&other.lot);
        by_lot.then_with(by_cost).then_with(|| other.tie.cmp(&self.tie))
    }
}

/// A weighted lot (Efraimidis and Spirakis): with `tie` evenly spread, the greatest of
/// several is each one's with a probability in proportion to its weight.
fn lot(tie: u64, weight: f64) -> f64 {
    let unit = (tie as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    if weight > 0.0 {
        unit.ln() / weight
    } else {
        f64::NEG_INFINITY
    }
}

/// A replica that may take a request, as it is weighed where requests go by capacity.
#[derive(Debug, Clone, Copy)]
pub struct Weighed<'a> {
    /// The replica.
    pub entry: &'a ReplicaEntry,
    /// What the request would take and cost there.
    pub cost: f64,
    /// Its part of such requests, relative to the others': its free places by its speed, the
    /// less the more of the request's time it would take. Next to none if it is full; none
    /// if it is not well.
    pub weight: f64,
}

/// The replicas that may take a request, weighed by their capacity.
pub fn weigh<'a>(
    table: &'a ReplicaTable,
    request: &'a RoutingRequest<'a>,
    now: Moment,
) -> impl Iterator<Item = Weighed<'a>> + 'a {
    let usual_failures = table.usual_failure_rate(request.service, now);
    let home = request.need.and_then(|need| home_of(table, request, &need, now));
    candidates(table, request, now).map(move |entry| {
        let outlook = outlook_ask(table, entry, home.as_ref(), request).at(entry, now);
        let health = health_cost(entry, usual_failures, now);
        Weighed {
            entry,
            cost: capacity_cost(entry, &outlook, request, now) + health,
            weight: if health > 0.0 {
                0.0
            } else {
                weight(entry, &outlook, request, now)
            },
        }
    })
}

/// What makes a replica that fails, or cannot be reached, the last choice.
fn health_cost(entry: &ReplicaEntry, usual_failures: f64, now: Moment) -> f64 {
    if entry.health.is_unreachable(now) {
        2.0 * OUTLIER_COST
    } else if entry.health.is_outlier(usual_failures, now) {
        OUTLIER_COST
    } else {
        0.0
    }
}

/// The replicas that may take a request: of a model service, only its holders are looked
/// at.
fn candidates<'a>(
    table: &'a ReplicaTable,
    request: &'a RoutingRequest<'a>,
    now: Moment,
) -> Box<dyn Iterator<Item = &'a ReplicaEntry> + 'a> {
    let fit = move |entry: &&ReplicaEntry| is_candidate(entry, request, now);
    match &request.need {
        Some(need) => Box::new(table.with_model(request.service, need.model).filter(fit)),
        None => Box::new(table.of_service(request.service).filter(fit)),
    }
}

fn is_candidate(entry: &ReplicaEntry, request: &RoutingRequest<'_>, now: Moment) -> bool {
    let fits = request
        .need
        .is_none_or(|need| entry.serves(need.model, need.adapter));
    entry.takes_requests(now) && fits && !request.tried.contains(&entry.listing.id)
}

fn plain_cost(entry: &ReplicaEntry, request: &RoutingRequest<'_>, now: Moment) -> f64 {
    let zone = if &*entry.listing.zone == request.zone {
        0.0
    } else {
        OTHER_ZONE_COST
    };
    (entry.load(now) + zone + need_load(entry)) / f64::from(entry.listing.slots.max(1))
}

fn need_load(entry: &ReplicaEntry) -> f64 {
    if entry.is_limited() {
        LIMITED_COST
    } else {
        0.0
    }
}

/// Prompt tokens ahead of this request, and of its own that must be read.
fn model_cost(
    entry: &ReplicaEntry,
    need: &ModelNeed<'_>,
    home: Option<&ReplicaId>,
    request: &RoutingRequest<'_>,
    now: Moment,
) -> f64 {
    let zone = if &*entry.listing.zone == request.zone {
        0.0
    } else {
        OTHER_ZONE_COST * TOKENS_PER_REQUEST
    };
    let others = (entry.load(now) + need_load(entry)) * TOKENS_PER_REQUEST;
    let unshared = if home == Some(&entry.listing.id) {
        0.0
    } else {
        need.shared_tokens as f64
    };
    entry.own_tokens() as f64 + others + unshared + zone
}

fn outlook_ask<'a>(
    table: &'a ReplicaTable,
    entry: &ReplicaEntry,
    home: Option<&ReplicaId>,
    request: &RoutingRequest<'_>,
) -> OutlookAsk<'a> {
    let is_home = home == Some(&entry.listing.id);
    let kept = request.need.filter(|_| is_home).map(|need| need.shared_tokens);
    OutlookAsk {
        work: request.work,
        kept_tokens: kept.unwrap_or(0),
        memory_tokens: request.memory_tokens,
        pause_objective: request.pause_objective,
        usual: table.usual_run(request.service),
    }
}

/// Parts of the request's time, and of the replica's places, that it would take there.
fn capacity_cost(entry: &ReplicaEntry, outlook: &Outlook, request: &RoutingRequest<'_>, now: Moment) -> f64 {
    let full = if outlook.is_full() { FULL_COST } else { 0.0 };
    let is_near = &*entry.listing.zone == request.zone;
    let zone = if is_near { 0.0 } else { OTHER_ZONE_COST };
    let taken = outlook.requests + 1.0 + zone + need_load(entry);
    let (first_event, end) = parts_of_time(outlook, request);
    first_event + end + taken / (outlook.slots * entry.capacity.speed_now(now)) + full
}

fn weight(entry: &ReplicaEntry, outlook: &Outlook, request: &RoutingRequest<'_>, now: Moment) -> f64 {
    // A stream outlasts a disturbance, another request does not.
    let speed = match request.need {
        Some(_) => entry.capacity.speed(),
        None => entry.capacity.speed_now(now),
    };
    if outlook.is_full() {
        return FULL_PART * speed / outlook.fill().max(1.0);
    }
    let room = (outlook.free_slots() - need_load(entry)).max(LEAST_ROOM);
    let is_near = &*entry.listing.zone == request.zone;
    let zone = if is_near { 1.0 } else { OTHER_ZONE_PART };
    let (first_event, end) = parts_of_time(outlook, request);
    let in_time = (1.0 - first_event).max(LEAST_CHANCE) * (1.0 - end).max(LEAST_CHANCE);
    let steady = outlook.steady_chance.powf(STEADINESS).max(LEAST_CHANCE);
    room * speed * zone * in_time * steady
}

/// Parts of the request's objective and of its deadline that it would take there.
fn parts_of_time(outlook: &Outlook, request: &RoutingRequest<'_>) -> (f64, f64) {
    let part_of =
        |time: Duration, left: Duration| time.as_secs_f64() / left.max(LEAST_TIME_LEFT).as_secs_f64();
    (
        part_of(outlook.first_event_after, request.objective_left),
        part_of(outlook.ends_after, request.deadline_left),
    )
}

/// How much room the candidates for a request have, as far as is known.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Room {
    /// Replicas that may take it.
    pub candidates: usize,
    /// Of these, those with a free place.
    pub free: usize,
    /// Requests believed to be at them.
    pub requests: f64,
    /// Requests that they run at the same time.
    pub slots: f64,
    /// Earliest expected time to the first event.
    pub first_event_after: Option<Duration>,
    /// Earliest expected time to the end of the answer.
    pub ends_after: Option<Duration>,
    /// Age of the newest account of the candidates' loads, if there is one.
    pub newest_account: Option<Duration>,
}

impl Room {
    /// Part of the candidates' places that is taken; above one if requests wait.
    pub fn fill(&self) -> f64 {
        self.requests / self.slots.max(1.0)
    }
}

/// The room that a request's candidates have. Those that cannot be reached are left out.
pub fn room(table: &ReplicaTable, request: &RoutingRequest<'_>, now: Moment) -> Room {
    let home = request.need.and_then(|need| home_of(table, request, &need, now));
    let mut room = Room::default();
    for entry in candidates(table, request, now).filter(|entry| !entry.health.is_unreachable(now)) {
        let outlook = outlook_ask(table, entry, home.as_ref(), request).at(entry, now);
        room.candidates += 1;
        room.free += usize::from(!outlook.is_full());
        room.requests += outlook.requests;
        room.slots += outlook.slots;
        room.first_event_after = least(room.first_event_after, Some(outlook.first_event_after));
        room.ends_after = least(room.ends_after, Some(outlook.ends_after));
        let age = entry.capacity.newest().map(|(_, at)| now.since(at));
        room.newest_account = least(room.newest_account, age);
    }
    room
}

fn least(left: Option<Duration>, right: Option<Duration>) -> Option<Duration> {
    left.into_iter().chain(right).min()
}

/// The replica that keeps a shared part: the highest hash of part and replica
/// among the replicas that hold the model and are well.
fn home_of(
    table: &ReplicaTable,
    request: &RoutingRequest<'_>,
    need: &ModelNeed<'_>,
    now: Moment,
) -> Option<ReplicaId> {
    let part = need.shared_part?;
    table
        .with_model(request.service, need.model)
        .filter(|entry| entry.takes_requests(now) && entry.serves(need.model, need.adapter))
        .filter(|entry| !entry.health.is_unreachable(now))
        .max_by_key(|entry| xxh3_64_with_seed(entry.listing.id.as_bytes(), part))
        .map(|entry| entry.listing.id.clone())
}

fn tie_break(entry: &ReplicaEntry, salt: u64) -> u64 {
    xxh3_64_with_seed(entry.listing.id.as_bytes(), salt)
}
