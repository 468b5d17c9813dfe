//! Claims of idempotency keys, as the gateway asks for them.

use crate::peer_calls::PeerCalls;
use async_trait::async_trait;
use croftrill_coordination::claim_service::{self, ClaimClient};
use croftrill_gateway::{ClaimAuthority, ClaimDecision};
use croftrill_protocol::peer::ClaimResult;
use croftrill_state::{IdempotencyKey, RequestId};
use std::time::Duration;

/// Longest time that a gateway spends on a claim.
const CLAIM_LIMIT: Duration = Duration::from_secs(5);

/// The cell's claim holders.
pub struct CellClaims(pub ClaimClient<PeerCalls>);

#[async_trait]
impl ClaimAuthority for CellClaims {
    async fn claim(&self, key: &IdempotencyKey, request: RequestId) -> ClaimDecision {
        let deadline = tokio::time::Instant::now() + CLAIM_LIMIT;
        match self.0.claim(key, request, deadline).await {
            claim_service::ClaimDecision::Granted(grant) => ClaimDecision::Granted {
                dispatch_before: grant.dispatch_before,
            },
            claim_service::ClaimDecision::Duplicate { finished, .. } => ClaimDecision::Taken { finished },
            claim_service::ClaimDecision::HistoryUnknown { retry_after_millis } => {
                ClaimDecision::HistoryUnknown { retry_after_millis }
            }
        }
    }

    async fn finish(&self, key: &IdempotencyKey, request: RequestId, result: ClaimResult) {
        if !self.0.finish(key, request, result).await {
            log::warn!("claims: end not reported key={key} request={request}");
        }
    }
}
