//! What the owner needs of the rest of the daemon.

use async_trait::async_trait;
use croftrill_coordination::load_permits::LoadPermitClient;
use croftrill_owner::{EngineConnector, LoadPermits, PermitsUnreachable};
use croftrill_platform::engine::EngineClient;
use croftrill_platform::http::{HttpEngineClient, HttpEngineConfig};
use croftrill_protocol::peer::{LoadPermit, LoadPermitRequest, LoadReport, ReportOutcome};
use croftrill_state::placement::Engine;
use croftrill_state::{EngineId, ModelId, Revision};
use std::sync::Arc;

/// Engines over HTTP.
pub struct HttpEngines;

impl EngineConnector for HttpEngines {
    fn connect(&self, engine: &Engine) -> Arc<dyn EngineClient> {
        Arc::new(HttpEngineClient::new(HttpEngineConfig::new(
            engine.address.clone(),
        )))
    }
}

/// Permits of the cell's coordinator.
pub struct CoordinatorPermits(pub LoadPermitClient);

#[async_trait]
impl LoadPermits for CoordinatorPermits {
    async fn request_load(&self, request: LoadPermitRequest) -> Result<LoadPermit, PermitsUnreachable> {
        Ok(self.0.request(request).await)
    }

    async fn finish_load(&self, report: LoadReport) -> ReportOutcome {
        self.0.finish(report).await
    }

    async fn report_release(&self, model: ModelId, engine: EngineId, release: Revision) -> ReportOutcome {
        self.0.report_release(model, engine, release).await
    }
}
