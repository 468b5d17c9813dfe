//! What the operators' API needs of the rest of the daemon.

use crate::peer_calls::PeerCalls;
use async_trait::async_trait;
use croftrill_coordination::replication::{self, Replica};
use croftrill_operator_api::{ChangeLog, FetchedPlan, PlanFetcher, ProposeOutcome};
use croftrill_state::entry::Change;
use croftrill_state::{NodeId, PlanId, Term};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// Operators' changes carry no coordinator's term.
const NO_TERM: Term = Term(0);

/// The node's copy of the log, for operators' changes.
pub struct ReplicaLog {
    replica: Arc<Replica>,
    reachable: AtomicBool,
}

impl ReplicaLog {
    /// Over the node's copy.
    pub fn new(replica: Arc<Replica>) -> Self {
        Self {
            replica,
            reachable: AtomicBool::new(true),
        }
    }
}

#[async_trait]
impl ChangeLog for ReplicaLog {
    async fn propose(&self, change: Change) -> ProposeOutcome {
        let outcome = self.replica.propose(change, NO_TERM).await;
        let unreachable = matches!(outcome, replication::ProposeOutcome::Unavailable { .. });
        self.reachable.store(!unreachable, Ordering::Relaxed);
        match outcome {
            replication::ProposeOutcome::Applied(revision) => ProposeOutcome::Accepted { revision },
            replication::ProposeOutcome::Rejected(error) => ProposeOutcome::Rejected(error),
            replication::ProposeOutcome::Unavailable { retry_after_millis } => {
                ProposeOutcome::Unavailable { retry_after_millis }
            }
            replication::ProposeOutcome::Stale { .. } | replication::ProposeOutcome::OutcomeUnknown => {
                ProposeOutcome::OutcomeUnknown
            }
        }
    }

    fn is_reachable(&self) -> bool {
        self.reachable.load(Ordering::Relaxed)
    }
}

/// Plans of other nodes.
pub struct PeerPlans {
    /// Where the nodes are.
    pub replica: Arc<Replica>,
    /// Calls to them.
    pub calls: Arc<PeerCalls>,
}

#[async_trait]
impl PlanFetcher for PeerPlans {
    async fn fetch_plan(&self, plan: &PlanId) -> FetchedPlan {
        let Some((node, _)) = plan.as_str().split_once('/') else {
            return FetchedPlan::Unknown;
        };
        let state = self.replica.state();
        let Some(node) = state.nodes.get(&NodeId::from(node)) else {
            return FetchedPlan::Unknown;
        };
        match self.calls.fetch_plan(&node.value.peer_address, plan).await {
            Ok(json) if json.is_empty() => FetchedPlan::Unknown,
            Ok(json) => FetchedPlan::Found(json),
            Err(error) => {
                log::warn!("operator: plan not fetched plan={plan} error=\"{error}\"");
                FetchedPlan::Unreachable
            }
        }
    }
}
