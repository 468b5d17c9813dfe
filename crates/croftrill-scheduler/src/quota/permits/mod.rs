//! Permits for requests to replicas that fall over if they must reject too many requests.
//!
//! One node keeps the permits of a replica ([`PermitKeeper`]), and the others request one before
//! each send and report how it ended. No more permits are out than the replica has slots. Requests
//! there that no permit accounts for are bounded by evidence: everything counts as taken until an
//! answer tells a lower load, again when no answer has come for a while, and after each rejection.
//!
//! A request beyond the slots that are known to be free is a probe, which the replica may reject.
//! Probes under way and rejections in the last second together are at most half of what the replica
//! bears. The other half is left for what the evidence missed: requests that are late on their way,
//! and nodes that reach no keeper.
//!
//! A keeper that replaces another one knows nothing of the permits granted before, which count as
//! taken like all else.

mod load_sample;
mod replica_permits;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use self::replica_permits::ReplicaPermits;
use super::limits::KeeperRole;
use crate::replica::StartedMs;
use crate::time::Moment;

/// A node that requests permits. Unique at a keeper.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequesterId(pub u64);

/// A permit, or the request for one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PermitId {
    /// The node that requests it.
    pub requester: RequesterId,
    /// Number that the node gave it.
    pub number: u64,
}

/// A request for a permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PermitRequest {
    /// When the incarnation of the replica started, if known.
    pub started_ms: Option<StartedMs>,
    /// Requests that the replica runs at the same time.
    pub slots: u32,
    /// Rejections a second that the replica bears.
    pub max_rejections_per_s: u32,
    /// Time for which the request can wait for its permit.
    pub patience: Duration,
    /// Time after which the replica stops to work on the request.
    pub lifetime: Duration,
    /// True if no other requests are more urgent.
    pub is_urgent: bool,
}

/// The decision on a request for a permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PermitDecision {
    /// The request may be sent.
    Granted,
    /// It waits; a later decision follows unless it is cancelled.
    Queued,
    /// No slot is free in time.
    Refused {
        /// Expected time until one is.
        retry_after: Duration,
    },
}

/// How the request of a permit ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PermitEnd {
    /// It was not sent.
    NotSent,
    /// The replica answered it to the end.
    Complete(PermitAnswer),
    /// The replica rejected it.
    Rejected,
    /// It may still run.
    Unknown,
}

/// What an answer shows, or its head if more of it is to come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PermitAnswer {
    /// Time from the send to the answer, by the node's clock.
    pub elapsed: Duration,
    /// Requests at the replica, running and waiting, if it tells them.
    pub requests: Option<u32>,
}

/// The permits that one node keeps for all nodes.
#[derive(Debug)]
pub struct PermitKeeper {
    role: KeeperRole,
    replicas: HashMap<Arc<str>, ReplicaPermits>,
}

impl Default for PermitKeeper {
    fn default() -> Self {
        PermitKeeper {
            role: KeeperRole::Secondary,
            replicas: HashMap::new(),
        }
    }
}

impl PermitKeeper {
    /// Sets this keeper's role.
    pub fn set_role(&mut self, role: KeeperRole) {
        self.role = role;
    }

    /// Decides on a request for a permit.
    pub fn request(
        &mut self,
        replica: &Arc<str>,
        id: PermitId,
        request: &PermitRequest,
        now: Moment,
    ) -> PermitDecision {
        if !self.replicas.contains_key(replica) {
            self.replicas.retain(|_, permits| !permits.is_idle(now));
        }
        let permits = self.replicas.entry(replica.clone());
        let permits = permits.or_insert_with(|| ReplicaPermits::new(request, now));
        permits.request(id, request, self.role, now)
    }

    /// Returns whether a request for a permit waits.
    pub fn is_waiting(&self, replica: &str, id: PermitId) -> bool {
        let permits = self.replicas.get(replica);
        permits.is_some_and(|permits| permits.is_waiting(id))
    }

    /// Records that the answer to a permit's request has started. Returns the permits that are
    /// granted by it.
    pub fn start(&mut self, replica: &str, id: PermitId, answer: PermitAnswer, now: Moment) -> Vec<PermitId> {
        self.change(replica, now, |permits| permits.start(id, answer, now))
    }

    /// Records how a permit's request ended, or that a request for a permit was given up. Returns the
    /// permits that are granted by it.
    pub fn end(&mut self, replica: &str, id: PermitId, end: PermitEnd, now: Moment) -> Vec<PermitId> {
        self.change(replica, now, |permits| permits.end(id, end, now))
    }

    fn change(
        &mut self,
        replica: &str,
        now: Moment,
        apply: impl FnOnce(&mut ReplicaPermits),
    ) -> Vec<PermitId> {
        let Some(permits) = self.replicas.get_mut(replica) else {
            return Vec::new();
        };
        permits.settle(self.role, now);
        apply(permits);
        permits.apply_samples(now);
        permits.grant_waiting(self.role, now)
    }

    /// Handles the loss of the link to a node.
    pub fn lose_requester(&mut self, requester: RequesterId) {
        for permits in self.replicas.values_mut() {
            permits.lose_requester(requester);
        }
    }
}
