//! Chooses the replica for a request.
//!
//! Requests to services without models go to the least loaded replica, with a preference
//! for the node's own zone. Requests to model services go to the replica holding the model
//! and adapter that will finish reading the prompt first, given the prompt tokens queued
//! there and whether its KV cache likely contains the shared prefix of the prompt. The home
//! replica of a shared prefix is chosen by rendezvous hashing, so that all nodes agree on it
//! without communicating.
//!
//! Services that are routed by capacity (see [`ReplicaTable::routes_by_capacity`]) use the
//! replica's [`ReplicaEstimate`] instead: the fractions of the time for which the request's caller
//! waits for the first event and for the end, and of the replica's slots, that the request would take. A full replica is the last choice.

use std::cmp::Ordering;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::replica::ReplicaId;
use crate::replica_estimate::{EstimateInput, ReplicaEstimate};
use crate::replica_table::{ReplicaEntry, ReplicaTable};
use crate::software_versions::RequiredVersion;
use crate::stored_versions::RecordedVersions;
use crate::time::Moment;
use crate::work::RequestWork;

/// The model that a request needs, and the prompt prefix that it shares with others.
#[derive(Debug, Clone, Copy)]
pub struct ModelNeed<'a> {
    /// The model.
    pub model: &'a str,
    /// The adapter of the model, if one is needed.
    pub adapter: Option<&'a str>,
    /// Hash of the longest prefix of the prompt that other requests share.
    pub shared_prefix_hash: Option<u64>,
    /// Length of that prefix in tokens.
    pub shared_prefix_tokens: u64,
}

/// A request to be routed.
#[derive(Debug, Clone, Copy)]
pub struct RoutingRequest<'a> {
    /// The service.
    pub service: &'a str,
    /// The model that is needed; `None` for services without models.
    pub need: Option<ModelNeed<'a>>,
    /// Zone of the routing node.
    pub zone: &'a str,
    /// Replicas that were tried already.
    pub tried: &'a [ReplicaId],
    /// The software version that its replica must run, if one is required.
    pub version: Option<RequiredVersion<'a>>,
    /// At which software versions it may begin, if that is restricted.
    pub begins_at: Option<RecordedVersions<'a>>,
    /// Differs between requests, to break ties.
    pub salt: u64,
    /// Expected work of the request.
    pub work: RequestWork,
    /// Time left until the caller gives up waiting for the first event.
    pub attempt_left: Duration,
    /// Maximum pause between two events of an answer that is in time.
    pub pause_objective: Option<Duration>,
    /// Time left until the caller or the route ends the request.
    pub deadline_left: Duration,
    /// KV cache of a replica in tokens; zero if unknown.
    pub kv_cache_tokens: u64,
}

/// Assumed prompt tokens of a request that is ahead in a replica's queue.
const TOKENS_PER_REQUEST: f64 = 700.0;
/// Penalty for a replica in another zone, in requests.
const OTHER_ZONE_COST: f64 = 0.2;
/// Penalty for a replica that limits its requests, in requests: another holder takes the
/// request unless a fair number of requests are queued there already.
const LIMITED_REPLICA_COST: f64 = 16.0;
/// Cost that makes a failing replica the last choice.
const OUTLIER_COST: f64 = 1e6;

/// Cost that makes a full replica the last choice among the healthy ones.
const FULL_COST: f64 = 1e3;
/// Exponent of the probability that a stream stays free of long pauses, in a weight that is
/// proportional to the free slots: a stream that pauses too long is late, while one more
/// request in a batch delays the others only a little.
const STALL_FREE_EXPONENT: f64 = 6.0;
/// Weight factor for a replica in another zone: as if half of its slots were taken. Traffic between
/// zones costs operators, and passes over links that may fail.
const OTHER_ZONE_WEIGHT_FACTOR: f64 = 0.5;
/// Weight factor for a full replica: next to nothing beside a replica with free slots, but
/// not zero, as there may be no other replica.
const FULL_WEIGHT_FACTOR: f64 = 1e-9;
/// Minimum of the free slots in a weight, so that a replica that limits its requests ranks
/// before a full one.
const MIN_FREE_SLOTS: f64 = 0.1;
/// Minimum of each probability in a weight, so that a replica with free slots ranks before a
/// full one even for a request that will be late anyway.
const MIN_PROBABILITY: f64 = 0.01;
/// Minimum time left in a division by the time left.
const MIN_TIME_LEFT: Duration = Duration::from_millis(1);

/// Returns the replica for a request, or `None` if no replica can take it.
pub fn choose(table: &ReplicaTable, request: &RoutingRequest<'_>, now: Moment) -> Option<ReplicaId> {
    if table.routes_by_capacity(request.service) {
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

/// Draws a replica with a probability proportional to its weight. All nodes act on the same
/// load samples, which are up to a second old: if each took the best replica by these, they
/// would all choose the same one. If no replica has a weight, the lowest cost decides.
fn choose_by_capacity(table: &ReplicaTable, request: &RoutingRequest<'_>, now: Moment) -> Option<ReplicaId> {
    let drawn = weighted_candidates(table, request, now).map(|candidate| {
        let tie = tie_break(candidate.entry, request.salt);
        Draw {
            sampling_key: sampling_key(tie, candidate.weight),
            tie,
            candidate,
        }
    });
    drawn
        .max_by(Draw::cmp)
        .map(|drawn| drawn.candidate.entry.listing.id.clone())
}

/// A replica in the weighted draw; the greatest is chosen.
struct Draw<'a> {
    sampling_key: f64,
    tie: u64,
    candidate: WeightedReplica<'a>,
}

impl Draw<'_> {
    fn cmp(&self, other: &Self) -> Ordering {
        let by_cost = || other.candidate.cost.total_cmp(&self.candidate.cost);
        let by_sampling_key = self.sampling_key.total_cmp(&other.sampling_key);
        by_sampling_key
            .then_with(by_cost)
            .then_with(|| other.tie.cmp(&self.tie))
    }
}

/// Returns the key of a replica for weighted random sampling (Efraimidis and Spirakis). If
/// `tie` is uniformly distributed, a replica has the greatest key with a probability
/// proportional to its weight.
fn sampling_key(tie: u64, weight: f64) -> f64 {
    let unit = (tie as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    if weight > 0.0 {
        unit.ln() / weight
    } else {
        f64::NEG_INFINITY
    }
}

/// A candidate for a request that is routed by capacity, with its cost and weight.
#[derive(Debug, Clone, Copy)]
pub struct WeightedReplica<'a> {
    /// The replica.
    pub entry: &'a ReplicaEntry,
    /// Cost of the request at this replica; decides between replicas without a weight.
    pub cost: f64,
    /// Relative share of such requests that the replica should get: free slots times speed,
    /// reduced by the fraction of the request's time that it would take. Next to zero for a
    /// full replica; zero for one that fails or is unreachable.
    pub weight: f64,
}

/// Returns the candidates for a request, weighted by their capacity.
pub fn weighted_candidates<'a>(
    table: &'a ReplicaTable,
    request: &'a RoutingRequest<'a>,
    now: Moment,
) -> impl Iterator<Item = WeightedReplica<'a>> + 'a {
    let usual_failures = table.usual_failure_rate(request.service, now);
    let home = request.need.and_then(|need| home_of(table, request, &need, now));
    candidates(table, request, now).map(move |entry| {
        let estimate = estimate_input(table, entry, home.as_ref(), request).estimate(entry, now);
        let health = health_cost(entry, usual_failures, now);
        WeightedReplica {
            entry,
            cost: capacity_cost(entry, &estimate, request, now) + health,
            weight: if health > 0.0 {
                0.0
            } else {
                weight(entry, &estimate, request, now)
            },
        }
    })
}

/// Returns the cost that makes a failing or unreachable replica the last choice.
fn health_cost(entry: &ReplicaEntry, usual_failures: f64, now: Moment) -> f64 {
    if entry.health.is_unreachable(now) {
        2.0 * OUTLIER_COST
    } else if entry.health.is_outlier(usual_failures, now) {
        OUTLIER_COST
    } else {
        0.0
    }
}

/// Returns the replicas that may take a request. For a model service only replicas indexed
/// under the model are examined.
pub fn candidates<'a>(
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
    entry.takes_requests(now)
        && fits
        && runs_version(entry, request)
        && !request.tried.contains(&entry.listing.id)
}

/// Returns whether a replica runs a version at which a request may run.
fn runs_version(entry: &ReplicaEntry, request: &RoutingRequest<'_>) -> bool {
    let listing = &entry.listing;
    let required = request.version;
    let begins_at = request.begins_at;
    required.is_none_or(|required| required.is_run_by(&listing.id, listing.started_ms))
        && begins_at.is_none_or(|recorded| recorded.permit(&listing.id, listing.started_ms))
}

fn plain_cost(entry: &ReplicaEntry, request: &RoutingRequest<'_>, now: Moment) -> f64 {
    let zone = if &*entry.listing.zone == request.zone {
        0.0
    } else {
        OTHER_ZONE_COST
    };
    (entry.load(now) + zone + limit_penalty(entry)) / f64::from(entry.listing.slots.max(1))
}

fn limit_penalty(entry: &ReplicaEntry) -> f64 {
    if entry.is_limited() {
        LIMITED_REPLICA_COST
    } else {
        0.0
    }
}

/// Returns the prompt tokens that the replica must read before the request's first event:
/// those of the requests ahead, and the shared prefix unless the replica is its home.
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
    let others = (entry.load(now) + limit_penalty(entry)) * TOKENS_PER_REQUEST;
    let unshared = if home == Some(&entry.listing.id) {
        0.0
    } else {
        need.shared_prefix_tokens as f64
    };
    entry.own_tokens() as f64 + others + unshared + zone
}

fn estimate_input<'a>(
    table: &'a ReplicaTable,
    entry: &ReplicaEntry,
    home: Option<&ReplicaId>,
    request: &RoutingRequest<'_>,
) -> EstimateInput<'a> {
    let is_home = home == Some(&entry.listing.id);
    let cached_tokens = request
        .need
        .filter(|_| is_home)
        .map(|need| need.shared_prefix_tokens);
    EstimateInput {
        work: request.work,
        cached_tokens: cached_tokens.unwrap_or(0),
        kv_cache_tokens: request.kv_cache_tokens,
        pause_objective: request.pause_objective,
        profile: table.usual_run(request.service),
    }
}

/// Returns the sum of the fractions of its caller's time and of the replica's slots that the request
/// would take, plus a penalty for a full replica.
fn capacity_cost(
    entry: &ReplicaEntry,
    estimate: &ReplicaEstimate,
    request: &RoutingRequest<'_>,
    now: Moment,
) -> f64 {
    let full = if estimate.is_full() { FULL_COST } else { 0.0 };
    let is_near = &*entry.listing.zone == request.zone;
    let zone = if is_near { 0.0 } else { OTHER_ZONE_COST };
    let taken = estimate.requests + 1.0 + zone + limit_penalty(entry);
    let (first_event, end) = time_fractions(estimate, request);
    first_event + end + taken / (estimate.slots * entry.capacity.speed_now(now)) + full
}

fn weight(
    entry: &ReplicaEntry,
    estimate: &ReplicaEstimate,
    request: &RoutingRequest<'_>,
    now: Moment,
) -> f64 {
    // A stream outlasts a short slowdown of the replica, a request without a model does not.
    let speed = match request.need {
        Some(_) => entry.capacity.speed(),
        None => entry.capacity.speed_now(now),
    };
    if estimate.is_full() {
        return FULL_WEIGHT_FACTOR * speed / estimate.fill().max(1.0);
    }
    let free_slots = (estimate.free_slots() - limit_penalty(entry)).max(MIN_FREE_SLOTS);
    let is_near = &*entry.listing.zone == request.zone;
    let zone = if is_near { 1.0 } else { OTHER_ZONE_WEIGHT_FACTOR };
    let (first_event, end) = time_fractions(estimate, request);
    let in_time = (1.0 - first_event).max(MIN_PROBABILITY) * (1.0 - end).max(MIN_PROBABILITY);
    let stall_free = estimate
        .stall_free_probability
        .powf(STALL_FREE_EXPONENT)
        .max(MIN_PROBABILITY);
    free_slots * speed * zone * in_time * stall_free
}

/// Returns the fractions of the time for its first event and of that for its end that it would take.
fn time_fractions(estimate: &ReplicaEstimate, request: &RoutingRequest<'_>) -> (f64, f64) {
    let fraction_of =
        |time: Duration, left: Duration| time.as_secs_f64() / left.max(MIN_TIME_LEFT).as_secs_f64();
    (
        fraction_of(estimate.first_event_after, request.attempt_left),
        fraction_of(estimate.ends_after, request.deadline_left),
    )
}

/// Known load and free capacity of the candidates for a request, summed up.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct FreeCapacity {
    /// Number of replicas that may take the request.
    pub candidates: usize,
    /// Number of candidates with a free slot.
    pub free_candidates: usize,
    /// Estimated number of requests at the candidates, running and waiting.
    pub requests: f64,
    /// Requests that the candidates run concurrently.
    pub slots: f64,
    /// Shortest expected time to the first event.
    pub first_event_after: Option<Duration>,
    /// Shortest expected time to the end of the answer.
    pub ends_after: Option<Duration>,
    /// Age of the newest load sample of any candidate, if there is one.
    pub newest_sample_age: Option<Duration>,
}

impl FreeCapacity {
    /// Returns the fraction of the slots that is taken; above one if requests wait.
    pub fn fill(&self) -> f64 {
        self.requests / self.slots.max(1.0)
    }
}

/// Returns the free capacity of a request's candidates, leaving out unreachable ones.
pub fn free_capacity(table: &ReplicaTable, request: &RoutingRequest<'_>, now: Moment) -> FreeCapacity {
    let home = request.need.and_then(|need| home_of(table, request, &need, now));
    let mut free_capacity = FreeCapacity::default();
    for entry in candidates(table, request, now).filter(|entry| !entry.health.is_unreachable(now)) {
        let estimate = estimate_input(table, entry, home.as_ref(), request).estimate(entry, now);
        free_capacity.candidates += 1;
        free_capacity.free_candidates += usize::from(!estimate.is_full());
        free_capacity.requests += estimate.requests;
        free_capacity.slots += estimate.slots;
        free_capacity.first_event_after =
            shortest(free_capacity.first_event_after, Some(estimate.first_event_after));
        free_capacity.ends_after = shortest(free_capacity.ends_after, Some(estimate.ends_after));
        let age = entry.capacity.newest().map(|(_, at)| now.since(at));
        free_capacity.newest_sample_age = shortest(free_capacity.newest_sample_age, age);
    }
    free_capacity
}

fn shortest(left: Option<Duration>, right: Option<Duration>) -> Option<Duration> {
    left.into_iter().chain(right).min()
}

/// Returns the home replica of a shared prefix: the one with the highest hash of prefix and
/// replica ID among the reachable replicas that hold the model and take requests.
fn home_of(
    table: &ReplicaTable,
    request: &RoutingRequest<'_>,
    need: &ModelNeed<'_>,
    now: Moment,
) -> Option<ReplicaId> {
    let prefix_hash = need.shared_prefix_hash?;
    table
        .with_model(request.service, need.model)
        .filter(|entry| entry.takes_requests(now) && entry.serves(need.model, need.adapter))
        .filter(|entry| runs_version(entry, request))
        .filter(|entry| !entry.health.is_unreachable(now))
        .max_by_key(|entry| xxh3_64_with_seed(entry.listing.id.as_bytes(), prefix_hash))
        .map(|entry| entry.listing.id.clone())
}

fn tie_break(entry: &ReplicaEntry, salt: u64) -> u64 {
    xxh3_64_with_seed(entry.listing.id.as_bytes(), salt)
}
