//! What the gateway needs of the holders of idempotency keys.

use async_trait::async_trait;
use croftrill_protocol::peer::ClaimResult;
use croftrill_state::{IdempotencyKey, RequestId};
use tokio::time::Instant;

/// The answer to a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimDecision {
    /// This request, and no other, may run.
    Granted {
        /// No attempt may be dispatched after this time, because the key may be
        /// free for others later.
        dispatch_before: Instant,
    },
    /// Another request holds the key.
    Taken {
        /// Whether it is known to have finished.
        finished: bool,
    },
    /// Nobody knows now whether the key was used; the request must not run.
    HistoryUnknown {
        /// When to try again, in milliseconds.
        retry_after_millis: u64,
    },
    /// The holder cannot be asked; the request must not run.
    Unavailable {
        /// When to try again, in milliseconds.
        retry_after_millis: u64,
    },
}

/// Grants the right to run unrepeatable requests.
#[async_trait]
pub trait ClaimAuthority: Send + Sync + 'static {
    /// Claims a key for a request. Claiming again for the same request is safe.
    async fn claim(&self, key: &IdempotencyKey, request: RequestId) -> ClaimDecision;

    /// Tells how the request of a claim ended. It is called once for every claim
    /// that was granted, or whose answer is not known.
    async fn finish(&self, key: &IdempotencyKey, request: RequestId, result: ClaimResult);
}
