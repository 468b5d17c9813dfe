//! The service that every node offers its peers, over `tarpc`.

pub use croftrill_state::claims::{
    ClaimHandOver, ClaimOutcome, ClaimRecord, ClaimRequest, ClaimResult, FinishOutcome, HandOverEnd,
    HandOverOutcome,
};
use croftrill_state::entry::LogEntry;
use croftrill_state::{
    AttemptId, ClusterState, EngineId, IdempotencyKey, ModelId, PlanId, RequestId, Revision,
};
use nanoserde::{DeBin, SerBin};

/// A node's answer to `fetch_log`.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub enum LogPage {
    /// The entries that follow the asked revision, in order; empty if none.
    Entries(Vec<LogEntry>),
    /// The asked revision is older than the entries kept: a whole state.
    Snapshot(ClusterState),
}

/// Asks the cell's coordinator for the right to start a load.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub struct LoadPermitRequest {
    /// The engine that would load.
    pub engine: EngineId,
    /// The model whose checkpoint it reads.
    pub model: ModelId,
    /// Bytes that come from the weight store, in MiB; 0 if cached locally.
    pub remote_mib: u64,
    /// Milliseconds until the most urgent waiting deadline.
    pub deadline_millis: u64,
}

/// The coordinator's answer.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub enum LoadPermit {
    /// Start now; report the end with `finish_load`.
    Granted {
        /// Expected duration at the store's present speed, in milliseconds.
        expected_millis: u64,
    },
    /// Ask again.
    Wait {
        /// When, in milliseconds.
        retry_after_millis: u64,
        /// Expected time until the load would be done, in milliseconds.
        expected_millis: u64,
    },
    /// This node is not the coordinator.
    NotCoordinator,
}

/// The end of a load.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub struct LoadReport {
    /// The engine.
    pub engine: EngineId,
    /// The model.
    pub model: ModelId,
    /// What came from the weight store, in MiB.
    pub remote_mib: u64,
    /// How long it took, in milliseconds.
    pub duration_millis: u64,
    /// Whether the model is loaded now.
    pub succeeded: bool,
}

/// Outcome of a report to the coordinator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum ReportOutcome {
    /// Recorded.
    Recorded,
    /// Not recorded now; report again later.
    TryLater,
}

/// Calls between nodes.
#[tarpc::service(derive = [SerBin, DeBin])]
pub trait Peer {
    /// The log after a revision, at most `limit` entries.
    async fn fetch_log(after: Revision, limit: u32) -> LogPage;
    /// Claims an idempotency key.
    async fn claim(request: ClaimRequest) -> ClaimOutcome;
    /// Tells the holder how a claimed request ended.
    async fn finish_claim(key: IdempotencyKey, request: RequestId, result: ClaimResult) -> FinishOutcome;
    /// Hands a part of the claims to their new holder.
    async fn hand_over_claims(part: ClaimHandOver) -> HandOverOutcome;
    /// Asks the coordinator for a load.
    async fn request_load(request: LoadPermitRequest) -> LoadPermit;
    /// Reports the end of a load to the coordinator.
    async fn finish_load(report: LoadReport) -> ReportOutcome;
    /// Reports to the coordinator that the engine confirmed the unload of the
    /// replica that the entry at `release` released.
    async fn report_release(model: ModelId, engine: EngineId, release: Revision) -> ReportOutcome;
    /// Tells an owner to drop an attempt whose gateway gave up.
    async fn cancel_attempt(attempt: AttemptId) -> ReportOutcome;
    /// A plan that this node made, as JSON of `operator::Plan`; empty if unknown.
    async fn fetch_plan(plan: PlanId) -> String;
}
