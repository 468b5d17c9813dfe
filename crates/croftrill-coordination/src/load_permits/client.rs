//! The owner's side of load permits.

use crate::replication::{PeerConnector, Replica};
use croftrill_protocol::peer::{LoadPermit, LoadPermitRequest, LoadReport, ReportOutcome};
use croftrill_state::{CellId, EngineId, ModelId};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// What a node may do without a coordinator.
#[derive(Clone, Debug)]
pub struct FallbackRate {
    /// Between two loads that this node starts, in milliseconds.
    pub between_loads_millis: u64,
    /// Speed that it assumes, in MiB a second.
    pub mib_per_second: u64,
}

impl Default for FallbackRate {
    fn default() -> Self {
        Self {
            between_loads_millis: 10_000,
            mib_per_second: 300,
        }
    }
}

/// Asks the present coordinator of the cell.
pub struct LoadPermitClient {
    replica: Arc<Replica>,
    connector: Arc<dyn PeerConnector>,
    cell: CellId,
    fallback: FallbackRate,
    next_unaided: Mutex<Option<Instant>>,
}

impl LoadPermitClient {
    /// A client for one cell.
    pub fn new(
        replica: Arc<Replica>,
        connector: Arc<dyn PeerConnector>,
        cell: CellId,
        fallback: FallbackRate,
    ) -> Self {
        Self {
            replica,
            connector,
            cell,
            fallback,
            next_unaided: Mutex::new(None),
        }
    }

    /// Asks for a load; never answers `NotCoordinator`. Without a coordinator
    /// the answer follows from this node's own slow rate.
    pub async fn request(&self, request: LoadPermitRequest) -> LoadPermit {
        if let Some(address) = self.coordinator_address() {
            match self.connector.request_load(&address, request.clone()).await {
                Ok(LoadPermit::NotCoordinator) => {}
                Ok(permit) => return permit,
                Err(error) => log::warn!("permits: coordinator not reached error=\"{error}\""),
            }
        }
        self.unaided(&request)
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

    fn unaided(&self, request: &LoadPermitRequest) -> LoadPermit {
        let expected_millis = request.remote_mib.saturating_mul(1_000) / self.fallback.mib_per_second.max(1);
        if request.remote_mib == 0 {
            return LoadPermit::Granted { expected_millis };
        }
        let now = Instant::now();
        let mut next = self.next_unaided.lock().unwrap_or_else(PoisonError::into_inner);
        let wait = next.map_or(Duration::ZERO, |at| at.saturating_duration_since(now));
        if wait.is_zero() {
            *next = Some(now + Duration::from_millis(self.fallback.between_loads_millis));
            return LoadPermit::Granted { expected_millis };
        }
        let retry_after_millis = wait.as_millis() as u64;
        LoadPermit::Wait {
            retry_after_millis,
            expected_millis: retry_after_millis + expected_millis,
        }
    }
}
