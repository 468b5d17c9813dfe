//! The calls that claims make to other nodes.

use croftrill_protocol::peer::{
    ClaimHandOver, ClaimOutcome, ClaimRequest, ClaimResult, FinishOutcome, HandOverOutcome,
};
use croftrill_state::{IdempotencyKey, RequestId};
use std::future::Future;
use std::time::Duration;
use thiserror::Error;

/// Why a call got no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ClaimCallError {
    /// The peer certainly did not get the call.
    #[error("the peer cannot be reached")]
    NotSent,
    /// The peer may have got the call.
    #[error("the peer did not answer")]
    Unanswered,
}

/// Calls to the claim holder at `ip:port`, each answered within `limit` or
/// given up.
pub trait ClaimPeers: Send + Sync + 'static {
    /// Claims a key.
    fn claim(
        &self,
        address: &str,
        request: ClaimRequest,
        limit: Duration,
    ) -> impl Future<Output = Result<ClaimOutcome, ClaimCallError>> + Send;

    /// Reports the end of a claimed request.
    fn finish_claim(
        &self,
        address: &str,
        key: IdempotencyKey,
        request: RequestId,
        result: ClaimResult,
        limit: Duration,
    ) -> impl Future<Output = Result<FinishOutcome, ClaimCallError>> + Send;

    /// Hands over a part of the claims.
    fn hand_over_claims(
        &self,
        address: &str,
        part: ClaimHandOver,
        limit: Duration,
    ) -> impl Future<Output = Result<HandOverOutcome, ClaimCallError>> + Send;
}
