//! Calls to the peers' services, as the coordination parts need them.

use async_trait::async_trait;
use croftrill_protocol::peer::{LoadPermit, LoadPermitRequest, LoadReport, LogPage, ReportOutcome};
use croftrill_state::{EngineId, ModelId, Revision};
use thiserror::Error;

/// A call that brought no answer.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("peer {address} does not answer: {reason}")]
pub struct PeerError {
    /// `ip:port` of the peer.
    pub address: String,
    /// Why.
    pub reason: String,
}

/// Calls to a peer by its address (`ip:port`).
#[async_trait]
pub trait PeerConnector: Send + Sync {
    /// Fetches entries of the log.
    async fn fetch_log(&self, address: &str, after: Revision, limit: u32) -> Result<LogPage, PeerError>;

    /// Asks the coordinator for a load.
    async fn request_load(&self, address: &str, request: LoadPermitRequest) -> Result<LoadPermit, PeerError>;

    /// Reports the end of a load to the coordinator.
    async fn finish_load(&self, address: &str, report: LoadReport) -> Result<ReportOutcome, PeerError>;

    /// Reports to the coordinator the confirmed unload of the replica that the
    /// entry at `release` released.
    async fn report_release(
        &self,
        address: &str,
        model: ModelId,
        engine: EngineId,
        release: Revision,
    ) -> Result<ReportOutcome, PeerError>;
}
