//! Requests to replicas that fall over if they must reject too many requests.

use std::time::Duration;

use croftrill_scheduler::brittle::{reservation_subject, KnownRoom, RejectionRisk};
use croftrill_scheduler::quota::limits::{LimitRequest, ReportedLimit};
use croftrill_scheduler::quota::permits::PermitRequest;
use croftrill_scheduler::replica::ReplicaId;

use super::replica_limits::RateLimitedReplica;
use super::RequestRun;
use crate::metrics::Metrics;
use crate::ports::Platform;
use crate::quota::{LimitQuery, LimitVerdict, PermitQuery, PermitVerdict};

/// Age up to which a load sample tells what room a replica has: about as old as the samples that
/// nodes exchange.
const MAX_SAMPLE_AGE: Duration = Duration::from_secs(1);
/// Period in which this node's sends to a replica are counted.
const RATE_PERIOD: Duration = Duration::from_secs(1);

/// Number of replicas whose keepers refused a permit after which a request asks no other one: each
/// costs a round trip and a keeper's time, and routing has chosen those that are likely to have room.
const MAX_PERMIT_REFUSALS: u32 = 2;

/// What a send to a replica that bears few rejections was based on, for the log of a rejection.
#[derive(Debug, Clone, Copy)]
pub(super) enum RiskBasis {
    Permit,
    /// A reservation of a rejection.
    Reservation,
    /// The replica seemed to have room.
    Room(Option<KnownRoom>),
}

impl RiskBasis {
    fn room(self) -> Option<KnownRoom> {
        match self {
            RiskBasis::Room(room) => room,
            RiskBasis::Permit | RiskBasis::Reservation => None,
        }
    }
}

impl<P: Platform> RequestRun<P> {
    /// Takes a permit, or a reservation where no keeper of permits is reached, at a replica that falls
    /// over after some rejections. Returns false if there is none in time. Returns immediately for
    /// others.
    pub(super) async fn take_rejection_risk(
        &mut self,
        replica: &ReplicaId,
        limit_request: LimitRequest,
    ) -> bool {
        self.permit = None;
        self.rejection_risk = None;
        self.risk_basis = None;
        if self.node.state.borrow().brittle_replicas.is_empty() {
            return true;
        }
        let Some(request) = self.permit_request(replica, limit_request) else {
            return true;
        };
        match self
            .node
            .quotas
            .request_permit(PermitQuery { replica, request })
            .await
        {
            PermitVerdict::Granted(permit) => {
                Metrics::count(&self.node.metrics.limited, "permits", "granted");
                self.permit = Some(permit);
                self.risk_basis = Some(RiskBasis::Permit);
                true
            }
            PermitVerdict::Refused { retry_after } => {
                Metrics::count(&self.node.metrics.limited, "permits", "refused");
                tracing::info!(target: "limit", id = self.facts.id, replica = &**replica,
                    outcome = "refused: no permit", ?request, again_after_ms = retry_after.as_millis() as u64);
                self.permit_refusals += 1;
                self.rate_limited.push(RateLimitedReplica {
                    replica: replica.clone(),
                    retry_at: self.now() + retry_after,
                });
                false
            }
            PermitVerdict::NotKept => {
                Metrics::count(&self.node.metrics.limited, "permits", "not kept");
                self.take_rejection_reservation(replica, limit_request).await
            }
            PermitVerdict::Unreachable => {
                Metrics::count(&self.node.metrics.limited, "permits", "no keeper");
                self.take_standalone_rejection(replica, limit_request).await
            }
        }
    }

    /// Returns the request for a permit at a replica, or `None` if that bears any rejection.
    fn permit_request(&self, replica: &ReplicaId, limit_request: LimitRequest) -> Option<PermitRequest> {
        let now = self.now();
        let state = self.node.state.borrow();
        let brittle = &state.brittle_replicas;
        let max_rejections_per_s = brittle.max_rejections_per_s(&self.service, replica, now)?;
        let entry = state.replicas.get(replica)?;
        let (started_ms, slots) = (entry.listing.started_ms, entry.slots());
        drop(state);
        let patience = if self.has_alternative_to(replica) {
            Duration::ZERO
        } else {
            limit_request.patience
        };
        Some(PermitRequest {
            started_ms,
            slots,
            max_rejections_per_s,
            patience,
            lifetime: self.deadline.since(now),
            is_urgent: limit_request.is_urgent,
        })
    }

    /// Returns whether another replica may be asked for a permit.
    fn has_alternative_to(&self, replica: &ReplicaId) -> bool {
        if self.permit_refusals + 1 >= MAX_PERMIT_REFUSALS {
            return false;
        }
        let excluded: Vec<ReplicaId> = self.tried.iter().chain([replica]).cloned().collect();
        self.choose(&excluded).is_some()
    }

    /// Returns whether enough replicas had no permit left that asking others is not worth it.
    pub(super) fn has_searched_enough(&self) -> bool {
        self.permit_refusals >= MAX_PERMIT_REFUSALS
    }

    /// Takes a reservation of a rejection from a keeper that keeps no permits, unless the replica seems
    /// to have room. Returns false if there is none in time.
    async fn take_rejection_reservation(&mut self, replica: &ReplicaId, limit_request: LimitRequest) -> bool {
        let room = self.known_room(replica);
        let Some(limit) = self.rejection_limit(replica, room) else {
            self.risk_basis = Some(RiskBasis::Room(room));
            return true;
        };
        let subject = reservation_subject(replica);
        let query = self.rejection_query(&subject, limit, limit_request);
        let verdict = self.node.quotas.reserve_limit(query).await;
        self.apply_rejection_verdict(replica, verdict).await
    }

    /// Takes a rejection from this node's own share, as no keeper tells what the other nodes send.
    /// Returns false if there is none in time.
    async fn take_standalone_rejection(&mut self, replica: &ReplicaId, limit_request: LimitRequest) -> bool {
        let Some(limit) = self.rejection_limit(replica, None) else {
            return true;
        };
        let subject = reservation_subject(replica);
        let query = self.rejection_query(&subject, limit, limit_request);
        let verdict = self.node.quotas.standalone_verdict(&query);
        self.apply_rejection_verdict(replica, verdict).await
    }

    /// Returns the limit on requests that a replica may reject, or `None` if it seems to have room.
    fn rejection_limit(&self, replica: &ReplicaId, room: Option<KnownRoom>) -> Option<ReportedLimit> {
        let nodes = self.node.share().nodes;
        let state = self.node.state.borrow();
        let brittle = &state.brittle_replicas;
        match brittle.risk(&self.service, replica, room, nodes, self.now()) {
            RejectionRisk::None => None,
            RejectionRisk::Limited(limit) => Some(limit),
        }
    }

    fn rejection_query<'a>(
        &self,
        subject: &'a ReplicaId,
        limit: ReportedLimit,
        request: LimitRequest,
    ) -> LimitQuery<'a> {
        LimitQuery {
            replica: subject,
            started_ms: None,
            limit,
            request,
            nodes: self.node.share().nodes,
        }
    }

    async fn apply_rejection_verdict(&mut self, replica: &ReplicaId, verdict: LimitVerdict) -> bool {
        match verdict {
            LimitVerdict::Granted(credit, after) => {
                Metrics::count(&self.node.metrics.limited, "rejections", "at risk");
                self.rejection_risk = credit;
                self.risk_basis = Some(RiskBasis::Reservation);
                let risk_at = self.now() + after;
                self.node.clock.sleep_until(risk_at.min(self.deadline)).await;
                true
            }
            LimitVerdict::Refused { retry_after } => {
                Metrics::count(&self.node.metrics.limited, "rejections", "refused");
                tracing::info!(target: "limit", id = self.facts.id, replica = &**replica,
                    outcome = "refused: it may have no room", again_after_ms = retry_after.as_millis() as u64);
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
        let outcome = match basis {
            RiskBasis::Permit => "rejected with a permit",
            RiskBasis::Reservation => "rejected with a reservation",
            RiskBasis::Room(_) => "rejected without a reservation",
        };
        Metrics::count(&self.node.metrics.limited, "rejections", outcome);
        tracing::info!(target: "limit", id = self.facts.id, replica = &**replica, outcome, room = ?basis.room());
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
