//! The order of requests that wait at a node for a place at a full holder.
//!
//! Of those that wait for the same model the more urgent rank goes first; of one rank the
//! tenant that was let in least, so that a tenant with many requests does not hold up the
//! others; of one tenant the request whose objective ends first. Bounded in number and
//! bytes: beyond the bound the last in this order is put out.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use crate::demand::ModelKey;
use crate::time::Moment;

/// A request that waits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WaitingRequest {
    /// What it waits for.
    pub model: ModelKey,
    /// Its rank; 0 is the most urgent.
    pub rank: u8,
    /// Its tenant, if it showed a key.
    pub tenant: Option<Arc<str>>,
    /// The end of its objective.
    pub due: Moment,
    /// What it keeps in memory, in bytes.
    pub size_bytes: usize,
}

/// A waiting request's number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WaitingId(u64);

/// Bounds on what waits at one node.
#[derive(Debug, Clone, Copy)]
pub struct WaitingBounds {
    /// Requests.
    pub requests: usize,
    /// Their bytes.
    pub size_bytes: usize,
}

/// The requests that wait at one node.
#[derive(Debug)]
pub struct WaitingRequests {
    bounds: WaitingBounds,
    next_id: u64,
    waiting: BTreeMap<WaitingId, WaitingRequest>,
    size_bytes: usize,
    /// Requests let in, by tenant, while some wait.
    let_in: HashMap<Option<Arc<str>>, u64>,
}

impl WaitingRequests {
    /// Nothing waits.
    pub fn new(bounds: WaitingBounds) -> Self {
        WaitingRequests {
            bounds,
            next_id: 0,
            waiting: BTreeMap::new(),
            size_bytes: 0,
            let_in: HashMap::new(),
        }
    }

    /// A request begins to wait. What is over the bounds then is out: it may be this one.
    pub fn enter(&mut self, request: WaitingRequest) -> WaitingId {
        let id = WaitingId(self.next_id);
        self.next_id += 1;
        // A tenant that comes later has no claim on what went before.
        let least = self.let_in.values().copied().min().unwrap_or(0);
        self.let_in.entry(request.tenant.clone()).or_insert(least);
        self.size_bytes += request.size_bytes;
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
        let let_in = self.let_in.get(&request.tenant).copied().unwrap_or(0);
        (request.rank, let_in, request.due, id)
    }

    /// True while the request waits: it was neither let in nor put out.
    pub fn is_waiting(&self, id: WaitingId) -> bool {
        self.waiting.contains_key(&id)
    }

    /// True if a request waits for this model.
    pub fn waits_for(&self, model: &ModelKey) -> bool {
        self.waiting.values().any(|request| request.model == *model)
    }

    /// True if no other request goes before it to a holder of its model.
    pub fn is_next(&self, id: WaitingId) -> bool {
        let Some(request) = self.waiting.get(&id) else {
            return false;
        };
        let own = self.order(id, request);
        let mut rivals = self
            .waiting
            .iter()
            .filter(|(_, other)| other.model == request.model);
        rivals.all(|(other_id, other)| *other_id == id || self.order(*other_id, other) > own)
    }

    /// A request goes to a holder.
    pub fn let_in(&mut self, id: WaitingId) {
        let Some(request) = self.leave(id) else { return };
        if self.waiting.is_empty() {
            return;
        }
        *self.let_in.entry(request.tenant).or_insert(0) += 1;
    }

    /// A request does not wait any more: it was refused, or its caller left.
    pub fn leave(&mut self, id: WaitingId) -> Option<WaitingRequest> {
        let request = self.waiting.remove(&id)?;
        self.size_bytes -= request.size_bytes;
        if self.waiting.is_empty() {
            self.let_in.clear();
        }
        Some(request)
    }

    /// Waiting requests of each rank.
    pub fn count_by_rank(&self) -> BTreeMap<u8, usize> {
        let mut counts = BTreeMap::new();
        for request in self.waiting.values() {
            *counts.entry(request.rank).or_insert(0) += 1;
        }
        counts
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// True if none waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
