//! The parts behind the peer service that live in other crates.

use crate::peer_calls::PeerCalls;
use async_trait::async_trait;
use croftrill_coordination::claim_service::ClaimHolderService;
use croftrill_coordination::peer_service::{AttemptCanceller, ClaimHolder, PlanSource};
use croftrill_operator_api::OperatorApi;
use croftrill_owner::OwnerService;
use croftrill_protocol::peer::{
    ClaimHandOver, ClaimOutcome, ClaimRequest, ClaimResult, FinishOutcome, HandOverOutcome, ReportOutcome,
};
use croftrill_state::{AttemptId, IdempotencyKey, PlanId, RequestId};
use std::sync::{Arc, OnceLock};

/// When a gateway should ask again while the holder is still starting, in
/// milliseconds.
const STARTING_RETRY_MILLIS: u64 = 500;

/// The claim holder, once the node knows enough of the log to be one.
#[derive(Clone, Default)]
pub struct StartedClaims(pub Arc<OnceLock<Arc<ClaimHolderService<PeerCalls>>>>);

#[async_trait]
impl ClaimHolder for StartedClaims {
    async fn claim(&self, request: ClaimRequest) -> ClaimOutcome {
        match self.0.get() {
            Some(holder) => holder.claim(request).await,
            None => ClaimOutcome::HistoryUnknown {
                retry_after_millis: STARTING_RETRY_MILLIS,
            },
        }
    }

    async fn finish(&self, key: IdempotencyKey, request: RequestId, result: ClaimResult) -> FinishOutcome {
        match self.0.get() {
            Some(holder) => holder.finish_claim(key, request, result).await,
            None => FinishOutcome::NotHolder,
        }
    }

    async fn hand_over(&self, part: ClaimHandOver) -> HandOverOutcome {
        match self.0.get() {
            Some(holder) => holder.hand_over_claims(part).await,
            None => HandOverOutcome::TryLater,
        }
    }
}

/// Plans of this node's API.
pub struct OwnPlans(pub Arc<OperatorApi>);

#[async_trait]
impl PlanSource for OwnPlans {
    async fn plan_json(&self, plan: &PlanId) -> String {
        self.0.plan_json(plan)
    }
}

/// Attempts at this node's owner service.
pub struct OwnAttempts(pub OwnerService);

#[async_trait]
impl AttemptCanceller for OwnAttempts {
    async fn cancel(&self, attempt: AttemptId) -> ReportOutcome {
        self.0.cancel(attempt);
        ReportOutcome::Recorded
    }
}
