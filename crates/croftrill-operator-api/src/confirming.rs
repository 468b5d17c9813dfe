//! Confirming plans: once, on a state that they still fit.

use crate::{FetchedPlan, OperatorApi, ProposeOutcome};
use croftrill_protocol::operator::{ConfirmOutcome, IntentRequest, Plan};
use croftrill_state::cluster::ApplyError;
use croftrill_state::entry::Change;
use croftrill_state::PlanId;
use std::fmt;

/// Milliseconds to come back when the node that made a plan cannot be reached.
const RETRY_PEER_MILLIS: u64 = 1000;

/// The node that made a plan cannot be reached.
#[derive(Debug)]
pub(crate) struct MakerUnreachable(PlanId);

impl fmt::Display for MakerUnreachable {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let node = maker(&self.0);
        write!(
            formatter,
            "node {node}, which made plan {}, cannot be reached",
            self.0
        )
    }
}

/// The node that made a plan.
fn maker(id: &PlanId) -> &str {
    id.as_str().split_once('/').map_or("", |(node, _)| node)
}

impl OperatorApi {
    /// Confirms a plan of this or of another node.
    pub(crate) async fn confirm(&self, id: &PlanId) -> ConfirmOutcome {
        if let Some(revision) = self.state.load().confirmed_at(id) {
            return ConfirmOutcome::Confirmed { revision };
        }
        let plan = match self.find_plan(id).await {
            Ok(Some(plan)) => plan,
            Ok(None) => return ConfirmOutcome::Unknown,
            Err(unreachable) => {
                return ConfirmOutcome::Unavailable {
                    reason: unreachable.to_string(),
                    retry_after_millis: RETRY_PEER_MILLIS,
                }
            }
        };
        let outcome = self.log.propose(change_of(&plan)).await;
        self.confirm_outcome(&plan, outcome)
    }

    /// A plan from this node's memory, or else from the node that made it.
    pub(crate) async fn find_plan(&self, id: &PlanId) -> Result<Option<Plan>, MakerUnreachable> {
        if let Some(plan) = self.kept_plan(id) {
            return Ok(Some(plan));
        }
        if maker(id) == self.config.node.as_str() {
            return Ok(None);
        }
        match self.peers.fetch_plan(id).await {
            FetchedPlan::Unknown => Ok(None),
            FetchedPlan::Unreachable => Err(MakerUnreachable(id.clone())),
            FetchedPlan::Found(text) => Ok(self.take_fetched(id, &text)),
        }
    }

    /// Keeps a fetched plan, so that it can be confirmed again here even if its
    /// maker dies.
    fn take_fetched(&self, id: &PlanId, text: &str) -> Option<Plan> {
        match serde_json::from_str::<Plan>(text) {
            Ok(plan) if plan.id == *id => {
                self.keep_plan(&plan);
                Some(plan)
            }
            Ok(plan) => {
                log::warn!("operator: another plan was fetched asked={id} got={}", plan.id);
                None
            }
            Err(error) => {
                log::warn!("operator: fetched plan is malformed plan={id} error={error}");
                None
            }
        }
    }

    fn confirm_outcome(&self, plan: &Plan, outcome: ProposeOutcome) -> ConfirmOutcome {
        match outcome {
            ProposeOutcome::Accepted { revision } => {
                log::info!("operator: plan confirmed plan={} revision={revision}", plan.id);
                ConfirmOutcome::Confirmed { revision }
            }
            ProposeOutcome::Rejected(error) => self.rejected(plan, error),
            ProposeOutcome::Unavailable { retry_after_millis } => {
                log::warn!(
                    "operator: plan not confirmed plan={} cause=key_value_unavailable",
                    plan.id
                );
                ConfirmOutcome::Unavailable {
                    reason: "the key-value service is not available; nothing was changed, and what is \
                             configured stays in force"
                        .to_string(),
                    retry_after_millis,
                }
            }
            ProposeOutcome::OutcomeUnknown => {
                log::warn!("operator: outcome of confirmation unknown plan={}", plan.id);
                ConfirmOutcome::OutcomeUnknown
            }
        }
    }

    fn rejected(&self, plan: &Plan, error: ApplyError) -> ConfirmOutcome {
        if let ApplyError::AlreadyConfirmed { at, .. } = error {
            return ConfirmOutcome::Confirmed { revision: at };
        }
        log::info!("operator: plan refused plan={} cause=\"{error}\"", plan.id);
        let request = IntentRequest {
            intents: plan.intents.clone(),
        };
        match self.make_plan(&request) {
            Ok(fresh) => ConfirmOutcome::Stale {
                reason: error.to_string(),
                fresh: Some(fresh),
            },
            Err(refused) => ConfirmOutcome::Stale {
                reason: format!("{error}; the intents cannot be planned any more: {refused}"),
                fresh: None,
            },
        }
    }
}

fn change_of(plan: &Plan) -> Change {
    Change::ConfirmPlan {
        plan: plan.id.clone(),
        base: plan.base,
        intents: plan.intents.clone(),
        steps: plan.steps.clone(),
    }
}
