//! Calls to peers over `tarpc`, in the shapes that the parts ask for.

use async_trait::async_trait;
use croftrill_coordination::claim_service::{ClaimCallError, ClaimPeers};
use croftrill_coordination::replication::{PeerConnector, PeerError};
use croftrill_protocol::peer::{
    ClaimHandOver, ClaimOutcome, ClaimRequest, ClaimResult, FinishOutcome, HandOverOutcome, LoadPermit,
    LoadPermitRequest, LoadReport, LogPage, PeerClient, ReportOutcome,
};
use croftrill_state::{EngineId, IdempotencyKey, ModelId, PlanId, RequestId, Revision};
use croftrill_transport::peer::{call_context, PeerClients, PeerClientsConfig, PeerTraffic};
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;
use tarpc::client::RpcError;

/// Longest wait for an answer, unless a call brings its own limit.
const CALL_LIMIT: Duration = Duration::from_secs(3);

/// Calls to peers by address. One pool for each runtime.
pub struct PeerCalls {
    clients: PeerClients,
}

impl Default for PeerCalls {
    fn default() -> Self {
        Self::new()
    }
}

impl PeerCalls {
    /// No connection yet.
    pub fn new() -> Self {
        Self {
            clients: PeerClients::new(PeerClientsConfig::default()),
        }
    }

    /// Counts the frames of these calls; the node's peer service counts in it too.
    pub fn traffic(&self) -> &Arc<PeerTraffic> {
        self.clients.traffic()
    }

    /// Fetches a plan that the node at `address` made.
    pub async fn fetch_plan(&self, address: &str, plan: &PlanId) -> Result<String, PeerError> {
        let plan = plan.clone();
        self.call(address, |client| async move {
            client.fetch_plan(call_context(CALL_LIMIT), plan).await
        })
        .await
    }

    async fn call<T, F>(&self, address: &str, call: impl FnOnce(PeerClient) -> F) -> Result<T, PeerError>
    where
        F: Future<Output = Result<T, RpcError>>,
    {
        let failed = |reason: String| PeerError {
            address: address.to_string(),
            reason,
        };
        let client = self.clients.client(address).await;
        let client = client.map_err(|error| failed(error.to_string()))?;
        call(client).await.map_err(|error| {
            self.clients.discard(address);
            failed(error.to_string())
        })
    }

    /// The same for calls that must tell whether the peer may have got them.
    async fn claim_call<T, F>(
        &self,
        address: &str,
        limit: Duration,
        call: impl FnOnce(PeerClient) -> F,
    ) -> Result<T, ClaimCallError>
    where
        F: Future<Output = Result<T, RpcError>>,
    {
        let client = tokio::time::timeout(limit, self.clients.client(address)).await;
        let Ok(Ok(client)) = client else {
            return Err(ClaimCallError::NotSent);
        };
        call(client).await.map_err(|_| {
            self.clients.discard(address);
            ClaimCallError::Unanswered
        })
    }
}

#[async_trait]
impl PeerConnector for PeerCalls {
    async fn fetch_log(&self, address: &str, after: Revision, limit: u32) -> Result<LogPage, PeerError> {
        self.call(address, |client| async move {
            client.fetch_log(call_context(CALL_LIMIT), after, limit).await
        })
        .await
    }

    async fn request_load(&self, address: &str, request: LoadPermitRequest) -> Result<LoadPermit, PeerError> {
        self.call(address, |client| async move {
            client.request_load(call_context(CALL_LIMIT), request).await
        })
        .await
    }

    async fn finish_load(&self, address: &str, report: LoadReport) -> Result<ReportOutcome, PeerError> {
        self.call(address, |client| async move {
            client.finish_load(call_context(CALL_LIMIT), report).await
        })
        .await
    }

    async fn report_release(
        &self,
        address: &str,
        model: ModelId,
        engine: EngineId,
        release: Revision,
    ) -> Result<ReportOutcome, PeerError> {
        self.call(address, |client| async move {
            client
                .report_release(call_context(CALL_LIMIT), model, engine, release)
                .await
        })
        .await
    }
}

impl ClaimPeers for PeerCalls {
    async fn claim(
        &self,
        address: &str,
        request: ClaimRequest,
        limit: Duration,
    ) -> Result<ClaimOutcome, ClaimCallError> {
        self.claim_call(address, limit, |client| async move {
            client.claim(call_context(limit), request).await
        })
        .await
    }

    async fn finish_claim(
        &self,
        address: &str,
        key: IdempotencyKey,
        request: RequestId,
        result: ClaimResult,
        limit: Duration,
    ) -> Result<FinishOutcome, ClaimCallError> {
        self.claim_call(address, limit, |client| async move {
            client
                .finish_claim(call_context(limit), key, request, result)
                .await
        })
        .await
    }

    async fn hand_over_claims(
        &self,
        address: &str,
        part: ClaimHandOver,
        limit: Duration,
    ) -> Result<HandOverOutcome, ClaimCallError> {
        self.claim_call(address, limit, |client| async move {
            client.hand_over_claims(call_context(limit), part).await
        })
        .await
    }
}
