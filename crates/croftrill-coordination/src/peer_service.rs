//! The service that every node offers its peers, composed of the node's parts.

use crate::load_permits::LoadPermitService;
use crate::replication::Replica;
use async_trait::async_trait;
use croftrill_protocol::peer::{
    ClaimHandOver, ClaimOutcome, ClaimRequest, ClaimResult, FinishOutcome, HandOverOutcome, LoadPermit,
    LoadPermitRequest, LoadReport, LogPage, Peer, ReportOutcome,
};
use croftrill_state::{AttemptId, EngineId, IdempotencyKey, ModelId, PlanId, RequestId, Revision};
use std::sync::Arc;
use tarpc::context::Context;

/// Most entries in one answer, whatever the caller asks for.
const MOST_ENTRIES: u32 = 1_000;

/// Knows the plans that this node made.
#[async_trait]
pub trait PlanSource: Send + Sync {
    /// JSON of the plan; empty if unknown.
    async fn plan_json(&self, plan: &PlanId) -> String;
}

/// Holds claims of idempotency keys.
#[async_trait]
pub trait ClaimHolder: Send + Sync {
    /// Claims a key.
    async fn claim(&self, request: ClaimRequest) -> ClaimOutcome;
    /// Takes in how a claimed request ended.
    async fn finish(&self, key: IdempotencyKey, request: RequestId, result: ClaimResult) -> FinishOutcome;
    /// Takes over a part of the claims of a former holder.
    async fn hand_over(&self, part: ClaimHandOver) -> HandOverOutcome;
}

/// Drops attempts whose gateway gave up.
#[async_trait]
pub trait AttemptCanceller: Send + Sync {
    /// Drops an attempt, if it is here.
    async fn cancel(&self, attempt: AttemptId) -> ReportOutcome;
}

/// The parts behind the service.
pub struct PeerParts {
    /// The node's copy of the log.
    pub replica: Arc<Replica>,
    /// The coordinator's load permits.
    pub permits: Arc<LoadPermitService>,
    /// Plans made here.
    pub plans: Arc<dyn PlanSource>,
    /// Claims held here.
    pub claims: Arc<dyn ClaimHolder>,
    /// Attempts queued or running here.
    pub attempts: Arc<dyn AttemptCanceller>,
}

/// The service; cloned for every call.
#[derive(Clone)]
pub struct PeerService {
    parts: Arc<PeerParts>,
}

impl PeerService {
    /// The service over its parts.
    pub fn new(parts: PeerParts) -> Self {
        Self {
            parts: Arc::new(parts),
        }
    }

    /// Records a confirmed unload in the log.
    pub async fn record_release(&self, model: ModelId, engine: EngineId, release: Revision) -> ReportOutcome {
        self.parts.replica.record_release(model, engine, release).await
    }
}

impl Peer for PeerService {
    async fn fetch_log(self, _context: Context, after: Revision, limit: u32) -> LogPage {
        self.parts.replica.log_page(after, limit.min(MOST_ENTRIES))
    }

    async fn claim(self, _context: Context, request: ClaimRequest) -> ClaimOutcome {
        self.parts.claims.claim(request).await
    }

    async fn finish_claim(
        self,
        _context: Context,
        key: IdempotencyKey,
        request: RequestId,
        result: ClaimResult,
    ) -> FinishOutcome {
        self.parts.claims.finish(key, request, result).await
    }

    async fn hand_over_claims(self, _context: Context, part: ClaimHandOver) -> HandOverOutcome {
        self.parts.claims.hand_over(part).await
    }

    async fn request_load(self, _context: Context, request: LoadPermitRequest) -> LoadPermit {
        self.parts.permits.request_load(&request)
    }

    async fn finish_load(self, _context: Context, report: LoadReport) -> ReportOutcome {
        self.parts.permits.finish_load(&report)
    }

    async fn report_release(
        self,
        _context: Context,
        model: ModelId,
        engine: EngineId,
        release: Revision,
    ) -> ReportOutcome {
        self.record_release(model, engine, release).await
    }

    async fn cancel_attempt(self, _context: Context, attempt: AttemptId) -> ReportOutcome {
        self.parts.attempts.cancel(attempt).await
    }

    async fn fetch_plan(self, _context: Context, plan: PlanId) -> String {
        self.parts.plans.plan_json(&plan).await
    }
}
