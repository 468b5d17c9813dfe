//! Which replica takes a request.
//!
//! Services without models: the least loaded replica, the own zone first among
//! equals. Model services: of the replicas that hold the model and adapter, the
//! one where the prompt will be read soonest, given the tokens that wait there
//! and the shared part of the prompt that its home replica has likely kept.
//! The home of a shared part is chosen by rendezvous hashing, so all nodes agree
//! on it without talking.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::replica::ReplicaId;
use crate::replica_table::{ReplicaEntry, ReplicaTable};
use crate::time::Moment;

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

/// Chooses the replica for a request; `None` if no replica can take it.
pub fn choose(table: &ReplicaTable, request: &RoutingRequest<'_>, now: Moment) -> Option<ReplicaId> {
    let usual_failures = table.usual_failure_rate(request.service, now);
    let home = request.need.and_then(|need| home_of(table, request, &need, now));
    let costed = candidates(table, request, now).map(|entry| {
        let mut cost = match &request.need {
            Some(need) => model_cost(entry, need, home.as_ref(), request, now),
            None => plain_cost(entry, request, now),
        };
        if entry.health.is_unreachable(now) {
            cost += 2.0 * OUTLIER_COST;
        } else if entry.health.is_outlier(usual_failures, now) {
            cost += OUTLIER_COST;
        }
        (cost, tie_break(entry, request.salt), entry)
    });
    costed
        .min_by(|left, right| left.0.total_cmp(&right.0).then(left.1.cmp(&right.1)))
        .map(|(_, _, entry)| entry.listing.id.clone())
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
