//! Orders and report requests to replicas with a limit. The replica counts them like callers'
//! requests, so each needs a reservation, and their rate is limited.

use std::collections::HashMap;
use std::time::Duration;

use croftrill_scheduler::quota::limits::{LimitRequest, MIN_RATE_PER_S};
use croftrill_scheduler::replica::ReplicaId;
use croftrill_scheduler::time::Moment;

use crate::node::Node;
use crate::ports::Platform;
use crate::quota::{Credit, LimitVerdict};
use crate::replica_reservation;

/// Maximum fraction of a limit for an orderer's calls. The remainder is for callers: a load
/// needs one order and one report, and serves many requests.
const MAX_CONTROL_FRACTION: f64 = 0.25;

/// Times of the next call to each replica with a limit.
#[derive(Debug, Default)]
pub(super) struct ControlRates {
    next_at: HashMap<ReplicaId, Moment>,
}

impl ControlRates {
    /// Records that a call to the replica is made now, whether or not it gets a reservation.
    pub(super) fn record_call<P: Platform>(&mut self, node: &Node<P>, replica: &ReplicaId) {
        let Some((limit, _)) = node.state.borrow().replicas.limit_of(replica) else {
            return;
        };
        let calls_per_s = limit.rate.per_s().max(MIN_RATE_PER_S) * MAX_CONTROL_FRACTION;
        let pause = Duration::from_secs_f64(1.0 / calls_per_s);
        self.next_at.insert(replica.clone(), node.clock.now() + pause);
    }

    /// Returns the replicas whose pause has ended since the last call.
    pub(super) fn take_due(&mut self, now: Moment) -> Vec<ReplicaId> {
        let due = self.next_at.iter().filter(|(_, at)| **at <= now);
        let due: Vec<ReplicaId> = due.map(|(id, _)| id.clone()).collect();
        for id in &due {
            self.next_at.remove(id);
        }
        due
    }

    /// Returns whether no call may be made to the replica yet.
    pub(super) fn is_paused(&self, replica: &str) -> bool {
        self.next_at.contains_key(replica)
    }
}

/// Whether an orderer's call may be sent to a replica now.
pub(super) enum ControlReservation {
    /// The call may be sent. The reservation is returned unless the credit is spent.
    Granted(Option<Credit>),
    /// The replica's limit is used up.
    Refused,
}

/// Requests a reservation for a call, and waits until its time, which is at most `patience`
/// ahead.
pub(super) async fn reserve_call<P: Platform>(
    node: &Node<P>,
    replica: &ReplicaId,
    call: &'static str,
    patience: Duration,
    is_urgent: bool,
) -> ControlReservation {
    let want = LimitRequest { patience, is_urgent };
    let Some(reservation) = replica_reservation::request(node, replica, call, want).await else {
        return ControlReservation::Granted(None);
    };
    match reservation.verdict {
        LimitVerdict::Granted(credit, after) => {
            node.clock.sleep_until(node.clock.now() + after).await;
            ControlReservation::Granted(credit)
        }
        LimitVerdict::Refused { retry_after } => {
            tracing::info!(target: "limit", call, replica = &**replica, outcome = "refused",
                limit_per_s = reservation.limit.rate.per_s(), again_after_ms = retry_after.as_millis() as u64);
            ControlReservation::Refused
        }
    }
}
