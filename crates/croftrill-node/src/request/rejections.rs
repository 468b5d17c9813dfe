//! Requests to replicas that fall over if they must reject too many requests.

use std::time::Duration;

use croftrill_scheduler::brittle::{reservation_subject, KnownRoom, RejectionRisk};
use croftrill_scheduler::quota::limits::LimitRequest;
use croftrill_scheduler::replica::ReplicaId;

use super::replica_limits::RateLimitedReplica;
use super::RequestRun;
use crate::metrics::Metrics;
use crate::ports::Platform;
use crate::quota::{LimitQuery, LimitVerdict};

/// Age up to which a load sample tells what room a replica has: about as old as the samples that
/// nodes exchange.
const MAX_SAMPLE_AGE: Duration = Duration::from_secs(1);
/// Period in which this node's sends to a replica are counted.
const RATE_PERIOD: Duration = Duration::from_secs(1);

/// What a send to a replica that bears few rejections was based on, for the log of a rejection.
#[derive(Debug, Clone, Copy)]
pub(super) struct RiskBasis {
    room: Option<KnownRoom>,
    nodes: usize,
    is_reserved: bool,
}

impl<P: Platform> RequestRun<P> {
    /// Takes a reservation at a replica that may have to reject the request and falls over after some
    /// rejections. Returns false if there is none in time. Returns immediately for others.
    pub(super) async fn take_rejection_risk(
        &mut self,
        replica: &ReplicaId,
        limit_request: LimitRequest,
    ) -> bool {
        self.rejection_risk = None;
        self.risk_basis = None;
        if self.node.state.borrow().brittle_replicas.is_empty() {
            return true;
        }
        let nodes = self.node.share().nodes;
        let room = self.known_room(replica);
        let risk = {
            let state = self.node.state.borrow();
            let brittle = &state.brittle_replicas;
            brittle.risk(&self.service, replica, room, nodes, self.now())
        };
        let RejectionRisk::Limited(limit) = risk else {
            self.risk_basis = Some(RiskBasis {
                room,
                nodes,
                is_reserved: false,
            });
            return true;
        };
        let query = LimitQuery {
            replica: &reservation_subject(replica),
            started_ms: None,
            limit,
            request: limit_request,
            nodes,
        };
        match self.node.quotas.reserve_limit(query).await {
            LimitVerdict::Granted(credit, after) => {
                Metrics::count(&self.node.metrics.limited, "rejections", "at risk");
                self.rejection_risk = credit;
                self.risk_basis = Some(RiskBasis {
                    room,
                    nodes,
                    is_reserved: true,
                });
                let risk_at = self.now() + after;
                self.node.clock.sleep_until(risk_at.min(self.deadline)).await;
                true
            }
            LimitVerdict::Refused { retry_after } => {
                Metrics::count(&self.node.metrics.limited, "rejections", "refused");
                tracing::info!(target: "limit", id = self.facts.id, replica = &**replica,
                    outcome = "refused: it may have no room", ?room, nodes, limit_per_s = limit.rate.per_s(),
                    again_after_ms = retry_after.as_millis() as u64);
                self.rate_limited.push(RateLimitedReplica {
                    replica: replica.clone(),
                    retry_at: self.now() + retry_after,
                });
                false
            }
        }
    }

    /// Logs a rejection by a replica that may bear few of them, and what the send was based on.
    pub(super) fn log_rejection(&self, replica: &ReplicaId) {
        let Some(basis) = self.risk_basis else { return };
        let outcome = if basis.is_reserved {
            "rejected with a reservation"
        } else {
            "rejected without a reservation"
        };
        Metrics::count(&self.node.metrics.limited, "rejections", outcome);
        tracing::info!(target: "limit", id = self.facts.id, replica = &**replica, outcome,
            room = ?basis.room, nodes = basis.nodes);
    }

    /// Returns the room of a replica as it was told a short time ago.
    fn known_room(&self, replica: &ReplicaId) -> Option<KnownRoom> {
        let state = self.node.state.borrow();
        let entry = state.replicas.get(replica)?;
        let (load, at) = entry.capacity.newest()?;
        let now = self.now();
        let is_recent = now.since(at) <= MAX_SAMPLE_AGE;
        is_recent.then(|| KnownRoom {
            free_slots: entry.slots().saturating_sub(load.requests()),
            age: now.since(at),
            sent_since: entry.own_sends_since(at),
            sent_per_s: entry.own_sends_since(now - RATE_PERIOD),
        })
    }
}
