//! Orders requests that wait at a node for a slot at a full holder.
//!
//! Among requests for the same model, the more urgent rank goes first. Within a rank, the tenant
//! with the fewest admitted requests goes first, so that a tenant with many requests does not
//! delay the others. Within a tenant, the request whose caller gives up first goes first. Number
//! and bytes are bounded; beyond the bounds, the last request in this order is removed.
//!
//! When a request's turn comes follows from how often requests for its model were admitted while
//! others waited. This accounts for what the other nodes send to the same holders.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use crate::demand::ModelKey;
use crate::time::Moment;

/// A request that waits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WaitingRequest {
    /// The model that it waits for.
    pub model: ModelKey,
    /// Rank; 0 is the most urgent.
    pub rank: u8,
    /// The tenant, if the request has a key.
    pub tenant: Option<Arc<str>>,
    /// When its caller gives up.
    pub due: Moment,
    /// Bytes that it occupies in memory.
    pub size_bytes: usize,
}

/// Identifies a waiting request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WaitingId(u64);

/// Bounds on the requests that wait at one node.
#[derive(Debug, Clone, Copy)]
pub struct WaitingBounds {
    /// Number of requests.
    pub requests: usize,
    /// Total size of the requests.
    pub size_bytes: usize,
}

/// Weight of the latest interval in the mean interval between two admissions.
const INTERVAL_GAIN: f64 = 0.25;

/// How often requests for one model are admitted while others wait.
#[derive(Debug, Clone, Copy)]
struct Progress {
    /// When the last request was admitted, or the first one began to wait.
    since: Moment,
    mean_interval: Option<Duration>,
}

impl Progress {
    fn record_admission(&mut self, now: Moment) {
        let interval = now.since(self.since);
        let mean = self.mean_interval.unwrap_or(interval);
        self.mean_interval = Some(mean.mul_f64(1.0 - INTERVAL_GAIN) + interval.mul_f64(INTERVAL_GAIN));
        self.since = now;
    }

    /// Returns the expected interval between two admissions. The present one shows it, too, once it
    /// is longer.
    fn interval(&self, now: Moment) -> Duration {
        self.mean_interval.unwrap_or_default().max(now.since(self.since))
    }
}

/// The requests that wait at one node.
#[derive(Debug)]
pub struct WaitingRequests {
    bounds: WaitingBounds,
    next_id: u64,
    waiting: BTreeMap<WaitingId, WaitingRequest>,
    size_bytes: usize,
    /// Number of admitted requests by tenant, while any request waits.
    admitted: HashMap<Option<Arc<str>>, u64>,
    /// By model, while a request waits for it.
    progress: HashMap<ModelKey, Progress>,
}

impl WaitingRequests {
    /// Creates an empty queue.
    pub fn new(bounds: WaitingBounds) -> Self {
        WaitingRequests {
            bounds,
            next_id: 0,
            waiting: BTreeMap::new(),
            size_bytes: 0,
            admitted: HashMap::new(),
            progress: HashMap::new(),
        }
    }

    /// Adds a request and removes requests beyond the bounds, possibly this one.
    pub fn enter(&mut self, request: WaitingRequest, now: Moment) -> WaitingId {
        let id = WaitingId(self.next_id);
        self.next_id += 1;
        // A tenant that arrives later does not catch up on what others were admitted before.
        let min_admitted = self.admitted.values().copied().min().unwrap_or(0);
        self.admitted
            .entry(request.tenant.clone())
            .or_insert(min_admitted);
        self.size_bytes += request.size_bytes;
        self.progress.entry(request.model.clone()).or_insert(Progress {
            since: now,
            mean_interval: None,
        });
        self.waiting.insert(id, request);
        while self.is_over_bounds() {
            let Some(last) = self.last() else { break };
            self.leave(last);
        }
        id
    }

    fn is_over_bounds(&self) -> bool {
        self.waiting.len() > self.bounds.requests || self.size_bytes > self.bounds.size_bytes
    }

    fn last(&self) -> Option<WaitingId> {
        let order = |(id, request): (&WaitingId, &WaitingRequest)| (self.order(*id, request), *id);
        self.waiting.iter().map(order).max().map(|(_, id)| id)
    }

    fn order(&self, id: WaitingId, request: &WaitingRequest) -> (u8, u64, Moment, WaitingId) {
        let admitted = self.admitted.get(&request.tenant).copied().unwrap_or(0);
        (request.rank, admitted, request.due, id)
    }

    /// Returns true while the request waits: it was neither admitted nor removed.
    pub fn is_waiting(&self, id: WaitingId) -> bool {
        self.waiting.contains_key(&id)
    }

    /// Returns true if a request waits for this model.
    pub fn waits_for(&self, model: &ModelKey) -> bool {
        self.waiting.values().any(|request| request.model == *model)
    }

    /// Returns true if no other request for its model goes first.
    pub fn is_next(&self, id: WaitingId) -> bool {
        let Some(request) = self.waiting.get(&id) else {
            return false;
        };
        let own = self.order(id, request);
        let mut others = self
            .waiting
            .iter()
            .filter(|(_, other)| other.model == request.model);
        others.all(|(other_id, other)| *other_id == id || self.order(*other_id, other) > own)
    }

    /// Returns the expected time until the turn of a request, whether it waits already or not.
    pub fn turn_in(&self, request: &WaitingRequest, now: Moment) -> Duration {
        let Some(progress) = self.progress.get(&request.model) else {
            return Duration::ZERO;
        };
        let first = WaitingId(0);
        let own = self.order(first, request);
        let others = self.waiting.values().filter(|other| other.model == request.model);
        let ahead = others.filter(|other| self.order(first, other) < own).count();
        let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
        progress.interval(now).saturating_mul(ahead)
    }

    /// Removes a request that goes to a holder and counts it for its tenant.
    pub fn admit(&mut self, id: WaitingId, now: Moment) {
        let Some(request) = self.leave(id) else { return };
        if let Some(progress) = self.progress.get_mut(&request.model) {
            progress.record_admission(now);
        }
        if self.waiting.is_empty() {
            return;
        }
        *self.admitted.entry(request.tenant).or_insert(0) += 1;
    }

    /// Removes a request that was refused or whose caller left.
    pub fn leave(&mut self, id: WaitingId) -> Option<WaitingRequest> {
        let request = self.waiting.remove(&id)?;
        self.size_bytes -= request.size_bytes;
        if !self.waits_for(&request.model) {
            self.progress.remove(&request.model);
        }
        if self.waiting.is_empty() {
            self.admitted.clear();
        }
        Some(request)
    }

    /// Returns the number of waiting requests of each rank.
    pub fn count_by_rank(&self) -> BTreeMap<u8, usize> {
        let mut counts = BTreeMap::new();
        for request in self.waiting.values() {
            *counts.entry(request.rank).or_insert(0) += 1;
        }
        counts
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns true if no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
