//! Recording confirmed unloads.

use super::{ProposeOutcome, Replica};
use croftrill_protocol::peer::ReportOutcome;
use croftrill_state::entry::Change;
use croftrill_state::placement::AssignmentState;
use croftrill_state::{ClusterState, EngineId, ModelId, Term};

impl Replica {
    /// Records that an engine confirmed an unload. A report that was recorded
    /// before is answered with `Recorded` again, and changes nothing.
    pub async fn record_release(&self, model: ModelId, engine: EngineId) -> ReportOutcome {
        if !is_releasing(&self.state(), &model, &engine) {
            // Our copy may only be behind.
            let read = self.catch_up_from_log().await;
            if !is_releasing(&self.state(), &model, &engine) {
                return read.map_or(ReportOutcome::TryLater, |()| ReportOutcome::Recorded);
            }
        }
        let change = Change::Released { model, engine };
        match self.propose(change, Term(0)).await {
            ProposeOutcome::Applied(_) => ReportOutcome::Recorded,
            outcome => {
                log::warn!("coordinator: release not recorded outcome={outcome:?}");
                ReportOutcome::TryLater
            }
        }
    }
}

fn is_releasing(state: &ClusterState, model: &ModelId, engine: &EngineId) -> bool {
    let by_engine = state.assignments.get(model);
    let assignment = by_engine.and_then(|by_engine| by_engine.get(engine));
    assignment.is_some_and(|found| found.value.state == AssignmentState::Releasing)
}
