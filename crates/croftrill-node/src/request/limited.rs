//! Reservations at replicas that limit the request rate of all nodes together.

use std::time::Duration;

use croftrill_scheduler::admission::{decide_in_cooldown, retry_after_cooldown, ColdDecision, ColdRequest};
use croftrill_scheduler::quota::limits::LimitRequest;
use croftrill_scheduler::replica::ReplicaId;
use croftrill_scheduler::time::Moment;

use super::RequestRun;
use crate::node::Lifecycle;
use crate::ports::Platform;
use crate::quota::LimitVerdict;
use crate::replica_reservation;

/// Maximum number of times that a request waits before it requests another reservation. A wait that
/// ends without one costs the caller more than an immediate refusal.
const MAX_RESERVATION_WAITS: u32 = 1;

/// A replica whose rate limit leaves no reservation in time.
pub(super) struct HeldBack {
    pub(super) replica: ReplicaId,
    /// When a reservation may be granted.
    again_at: Moment,
}

impl<P: Platform> RequestRun<P> {
    /// Takes a reservation at a replica and waits until it is due. Returns false if it would be due
    /// too late. All sends need one, as the replica counts them all: first sends, repeats and
    /// resumed streams. Returns immediately for a replica that announced no limit.
    pub(super) async fn take_turn(&mut self, replica: &ReplicaId) -> bool {
        self.turn = None;
        let want = LimitRequest {
            patience: self.turn_patience(),
            is_urgent: self
                .configuration
                .is_most_urgent_of(&self.service, self.route.priority),
        };
        let Some(turn) = replica_reservation::request(&self.node, replica, "request", want).await else {
            return true;
        };
        match turn.verdict {
            LimitVerdict::Granted(credit, after) => {
                self.turn = credit;
                let turn_at = self.now() + after;
                self.node.clock.sleep_until(turn_at.min(self.deadline)).await;
                true
            }
            LimitVerdict::Refused { retry_after } => {
                let heard_ago = self.now().since(turn.limit.received_at);
                tracing::info!(target: "limit", id = self.facts.id, replica = &**replica, outcome = "refused",
                    limit_per_s = turn.limit.rate.per_s(), heard_ms_ago = heard_ago.as_millis() as u64,
                    is_urgent = want.is_urgent, patience_ms = want.patience.as_millis() as u64,
                    again_after_ms = retry_after.as_millis() as u64);
                self.held_back.push(HeldBack {
                    replica: replica.clone(),
                    again_at: self.now() + retry_after,
                });
                false
            }
        }
    }

    /// Returns the time for which the request can wait for its reservation and still meet its
    /// objective. A resumed stream can wait as long as a pause within its pause objective.
    fn turn_patience(&self) -> Duration {
        let spent = self.waited() + self.first_event_after();
        let left = self.route.objective.saturating_sub(spent);
        let pause = self.answered_after.and(self.route.pause_objective);
        left.max(pause.unwrap_or_default())
    }

    /// Decides what to do while the rate limits of all replicas that could take the request leave
    /// no reservation. Returns `None` if rate limits are not the cause. The time of the next
    /// reservation accounts for the calls of all nodes, so a request that would then be in time
    /// waits, but only once. If that wait was in vain, it is refused.
    pub(super) fn turn_decision(&self) -> Option<ColdDecision> {
        let turn_at = self.held_back.iter().map(|held| held.again_at).min()?;
        let arrival = self.model_key().and_then(|key| {
            let state = self.node.state.borrow();
            state.replicas.arrival(&self.service, &key.model)
        });
        let first_at = arrival.map_or(turn_at, |arrival| arrival.min(turn_at));
        let ready_in = first_at.since(self.now());
        let request = ColdRequest {
            waited: self.waited(),
            ready_in,
            first_event_after: self.first_event_after(),
            objective: self.route.objective,
            patience: self.patience(),
            left: self.deadline.since(self.now()),
        };
        let decision = decide_in_cooldown(&request, self.rank(), self.unit());
        let may_wait =
            self.turn_waits < MAX_RESERVATION_WAITS && self.node.lifecycle() != Lifecycle::Stopping;
        if decision == ColdDecision::Wait && !may_wait {
            let come_back_after = retry_after_cooldown(ready_in, self.rank(), self.unit());
            return Some(ColdDecision::Refuse { come_back_after });
        }
        Some(decision)
    }

    /// Waits until the request may request another reservation.
    pub(super) async fn wait_for_turn(&mut self) {
        self.turn_waits += 1;
        let Some(turn_at) = self.held_back.iter().map(|held| held.again_at).min() else {
            return;
        };
        while self.now() < turn_at.min(self.deadline) && self.choose(&self.tried).is_none() {
            self.wait_for_view().await;
        }
        self.held_back.clear();
    }
}
