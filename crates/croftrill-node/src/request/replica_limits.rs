//! Reservations at replicas that limit the request rate of all nodes together.

use croftrill_scheduler::admission::{decide_in_cooldown, retry_after_cooldown, Admission};
use croftrill_scheduler::quota::limits::LimitRequest;
use croftrill_scheduler::replica::ReplicaId;
use croftrill_scheduler::time::Moment;

use super::RequestRun;
use crate::node::Lifecycle;
use crate::ports::Platform;
use crate::quota::LimitVerdict;
use crate::replica_reservation;

/// Maximum number of times that a request waits before it requests another reservation. A wait in
/// vain shows that more callers wait than the time that was told accounts for, and each further
/// request costs the keeper and this node time that others need.
const MAX_RESERVATION_WAITS: u32 = 1;

/// A replica whose rate limit leaves no reservation in time.
pub(super) struct RateLimitedReplica {
    pub(super) replica: ReplicaId,
    /// When a reservation may be granted.
    pub(super) retry_at: Moment,
}

impl<P: Platform> RequestRun<P> {
    /// Takes a reservation at a replica and waits until it is due. Returns false if it would be due
    /// too late. All sends need one, as the replica counts them all: first sends, repeats and
    /// resumed streams. Returns immediately for a replica that announced no limit.
    pub(super) async fn take_reservation(&mut self, replica: &ReplicaId) -> bool {
        self.reservation = None;
        let limit_request = LimitRequest {
            patience: self.max_wait(),
            is_urgent: self
                .configuration
                .is_most_urgent_of(&self.service, self.route.priority),
        };
        if !self.take_rejection_risk(replica, limit_request).await {
            return false;
        }
        let Some(decision) =
            replica_reservation::request(&self.node, replica, "request", limit_request).await
        else {
            return true;
        };
        match decision.verdict {
            LimitVerdict::Granted(credit, after) => {
                self.reservation = credit;
                let reservation_at = self.now() + after;
                self.node
                    .clock
                    .sleep_until(reservation_at.min(self.deadline))
                    .await;
                true
            }
            LimitVerdict::Refused { retry_after } => {
                let limit_age = self.now().since(decision.limit.received_at);
                tracing::info!(target: "limit", id = self.facts.id, replica = &**replica, outcome = "refused",
                    limit_per_s = decision.limit.rate.per_s(), heard_ms_ago = limit_age.as_millis() as u64,
                    is_urgent = limit_request.is_urgent, patience_ms = limit_request.patience.as_millis() as u64,
                    again_after_ms = retry_after.as_millis() as u64);
                self.rate_limited.push(RateLimitedReplica {
                    replica: replica.clone(),
                    retry_at: self.now() + retry_after,
                });
                false
            }
        }
    }

    /// Decides what to do while the rate limits of all replicas that could take the request leave
    /// no reservation. Returns `None` if rate limits are not the cause. The expected time of the
    /// reservation accounts for the calls of all nodes.
    pub(super) fn reservation_decision(&self) -> Option<Admission> {
        let reservation_at = self.rate_limited.iter().map(|limited| limited.retry_at).min()?;
        let arrival = self.model_key().and_then(|key| {
            let state = self.node.state.borrow();
            state.replicas.arrival(&self.service, &key.model, self.now())
        });
        let first_at = arrival.map_or(reservation_at, |arrival| arrival.min(reservation_at));
        let ready_in = first_at.since(self.now());
        let work = self.remaining_work(ready_in);
        let decision = decide_in_cooldown(&self.caller_time(), &work, self.rank(), self.uniform_sample());
        let may_wait =
            self.reservation_waits < MAX_RESERVATION_WAITS && self.node.lifecycle() != Lifecycle::Stopping;
        if decision == Admission::Wait && !may_wait {
            let come_back_after = retry_after_cooldown(ready_in, self.rank(), self.uniform_sample());
            return Some(Admission::Refuse { come_back_after });
        }
        Some(decision)
    }

    /// Waits until another reservation may be requested.
    pub(super) async fn wait_for_reservation(&mut self) {
        self.reservation_waits += 1;
        let Some(reservation_at) = self.rate_limited.iter().map(|limited| limited.retry_at).min() else {
            return;
        };
        while self.now() < reservation_at.min(self.deadline) && self.choose(&self.tried).is_none() {
            self.wait_for_view_change().await;
        }
        self.rate_limited.clear();
        self.permit_refusals = 0;
    }
}
