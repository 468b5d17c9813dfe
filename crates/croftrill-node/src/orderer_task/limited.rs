//! Orders and questions for reports at replicas that named a limit: the replica counts
//! them with callers' requests, so they take their turns and come rarely.

use std::collections::HashMap;
use std::time::Duration;

use croftrill_scheduler::quota::limits::{LimitRequest, MIN_RATE_PER_S};
use croftrill_scheduler::replica::ReplicaId;
use croftrill_scheduler::time::Moment;

use crate::node::Node;
use crate::ports::Platform;
use crate::quota::{Credit, LimitVerdict};
use crate::replica_turn;

/// Part of a limit that an orderer's calls take at most. The rest is its callers': a load
/// needs an order and a report, and serves many requests.
const CONTROL_PART: f64 = 0.25;

/// When the next call may go to each replica that named a limit.
#[derive(Debug, Default)]
pub(super) struct ControlPace {
    next_at: HashMap<ReplicaId, Moment>,
}

impl ControlPace {
    /// A call goes to the replica now, or would if its turn came in time.
    pub(super) fn note_call<P: Platform>(&mut self, node: &Node<P>, replica: &ReplicaId) {
        let Some((limit, _)) = node.state.borrow().replicas.limit_of(replica) else {
            return;
        };
        let calls_per_s = limit.rate.per_s().max(MIN_RATE_PER_S) * CONTROL_PART;
        let pause = Duration::from_secs_f64(1.0 / calls_per_s);
        self.next_at.insert(replica.clone(), node.clock.now() + pause);
    }

    /// Replicas whose pause is over since the last time.
    pub(super) fn take_due(&mut self, now: Moment) -> Vec<ReplicaId> {
        let due = self.next_at.iter().filter(|(_, at)| **at <= now);
        let due: Vec<ReplicaId> = due.map(|(id, _)| id.clone()).collect();
        for id in &due {
            self.next_at.remove(id);
        }
        due
    }

    /// True while no call should go to the replica.
    pub(super) fn is_paused(&self, replica: &str) -> bool {
        self.next_at.contains_key(replica)
    }
}

/// Whether an orderer's call may go to a replica now.
pub(super) enum ControlTurn {
    /// It may. The turn goes back unless the credit is spent.
    Taken(Option<Credit>),
    /// The replica takes no more now.
    Refused,
}

/// Takes a call's turn at a replica, and waits for it, `patience` at most.
pub(super) async fn take_turn<P: Platform>(
    node: &Node<P>,
    replica: &ReplicaId,
    call: &'static str,
    patience: Duration,
    is_urgent: bool,
) -> ControlTurn {
    let want = LimitRequest { patience, is_urgent };
    let Some(turn) = replica_turn::ask(node, replica, call, want).await else {
        return ControlTurn::Taken(None);
    };
    match turn.verdict {
        LimitVerdict::Granted(credit, after) => {
            node.clock.sleep_until(node.clock.now() + after).await;
            ControlTurn::Taken(credit)
        }
        LimitVerdict::Refused { retry_after } => {
            tracing::info!(target: "limit", call, replica = &**replica, outcome = "refused",
                limit_per_s = turn.limit.rate.per_s(), again_after_ms = retry_after.as_millis() as u64);
            ControlTurn::Refused
        }
    }
}
