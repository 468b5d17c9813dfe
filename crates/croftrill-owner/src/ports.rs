//! What the owner needs from the rest of the daemon.

use async_trait::async_trait;
use croftrill_platform::engine::EngineClient;
use croftrill_protocol::peer::{LoadPermit, LoadPermitRequest, LoadReport, ReportOutcome};
use croftrill_state::placement::Engine;
use croftrill_state::{EngineId, ModelId, Revision};
use std::sync::Arc;
use thiserror::Error;

/// Makes clients of engines.
pub trait EngineConnector: Send + Sync {
    /// A client of the engine at its present address.
    fn connect(&self, engine: &Engine) -> Arc<dyn EngineClient>;
}

/// No coordinator of the cell answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("no coordinator of the cell can be reached")]
pub struct PermitsUnreachable;

/// Calls to the coordinator of the cell.
#[async_trait]
pub trait LoadPermits: Send + Sync {
    /// Asks for the right to start a load. `NotCoordinator` and an error both
    /// make the owner fall back to its own conservative rate.
    async fn request_load(&self, request: LoadPermitRequest) -> Result<LoadPermit, PermitsUnreachable>;
    /// Reports the end of a permitted load.
    async fn finish_load(&self, report: LoadReport) -> ReportOutcome;
    /// Reports that the engine confirmed the unload of the replica that the
    /// entry at `release` released.
    async fn report_release(&self, model: ModelId, engine: EngineId, release: Revision) -> ReportOutcome;
}
