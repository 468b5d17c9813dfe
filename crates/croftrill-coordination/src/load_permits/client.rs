//! The owner's side of load permits.

use crate::replication::{PeerConnector, Replica};
use croftrill_protocol::peer::{LoadPermit, LoadPermitRequest, LoadReport, ReportOutcome};
use croftrill_state::{CellId, EngineId, ModelId};
use std::sync::Arc;

/// Asks the present coordinator of the cell.
pub struct LoadPermitClient {
    replica: Arc<Replica>,
    connector: Arc<dyn PeerConnector>,
    cell: CellId,
}

impl LoadPermitClient {
    /// A client for one cell.
    pub fn new(replica: Arc<Replica>, connector: Arc<dyn PeerConnector>, cell: CellId) -> Self {
        Self {
            replica,
            connector,
            cell,
        }
    }

    /// Asks for a load. `NotCoordinator` if none answers: the owner then goes on
    /// at its own rate, and expects what it learned of loads itself.
    pub async fn request(&self, request: LoadPermitRequest) -> LoadPermit {
        if let Some(address) = self.coordinator_address() {
            match self.connector.request_load(&address, request).await {
                Ok(permit) => return permit,
                Err(error) => log::warn!("permits: coordinator not reached error=\"{error}\""),
            }
        }
        LoadPermit::NotCoordinator
    }

    /// Reports the end of a load. A lost report costs only time: the
    /// coordinator forgets the load by itself.
    pub async fn finish(&self, report: LoadReport) -> ReportOutcome {
        let Some(address) = self.coordinator_address() else {
            return ReportOutcome::TryLater;
        };
        match self.connector.finish_load(&address, report).await {
            Ok(outcome) => outcome,
            Err(error) => {
                log::warn!("permits: end of load not reported error=\"{error}\"");
                ReportOutcome::TryLater
            }
        }
    }

    /// Reports a confirmed unload; to be repeated until it is recorded.
    pub async fn report_release(&self, model: ModelId, engine: EngineId) -> ReportOutcome {
        let Some(address) = self.coordinator_address() else {
            return ReportOutcome::TryLater;
        };
        match self.connector.report_release(&address, model, engine).await {
            Ok(outcome) => outcome,
            Err(error) => {
                log::warn!("permits: release not reported error=\"{error}\"");
                ReportOutcome::TryLater
            }
        }
    }

    fn coordinator_address(&self) -> Option<String> {
        let state = self.replica.state();
        let coordinator = state.coordinators.get(&self.cell)?;
        let node = state.nodes.get(&coordinator.node)?;
        Some(node.value.peer_address.clone())
    }
}
