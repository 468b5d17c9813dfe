//! Recording confirmed unloads.

use super::{ProposeOutcome, Replica};
use croftrill_protocol::peer::ReportOutcome;
use croftrill_state::entry::Change;
use croftrill_state::placement::AssignmentState;
use croftrill_state::{ClusterState, EngineId, ModelId, Revision, Term};

impl Replica {
    /// Records that an engine confirmed an unload. A report that was recorded
    /// before is answered with `Recorded` again, and changes nothing.
    ///
    /// The report is taken for the release that is in the log when it arrives.
    /// If this node is paused meanwhile and the model is released from the
    /// engine a second time, that second release stays open.
    pub async fn record_release(&self, model: ModelId, engine: EngineId) -> ReportOutcome {
        let mut reported = releasing_since(&self.state(), &model, &engine);
        if reported.is_none() {
            // Our copy may only be behind.
            if self.catch_up_from_log().await.is_err() {
                return ReportOutcome::TryLater;
            }
            reported = releasing_since(&self.state(), &model, &engine);
        }
        for _ in 0..self.config.propose_attempts {
            let state = self.state();
            if reported.is_none() || releasing_since(&state, &model, &engine) != reported {
                return ReportOutcome::Recorded;
            }
            let change = Change::Released {
                model: model.clone(),
                engine: engine.clone(),
            };
            match self.propose_at(state.revision, change, Term(0)).await {
                ProposeOutcome::Applied(_) => return ReportOutcome::Recorded,
                ProposeOutcome::Stale { .. } => {}
                outcome => {
                    log::warn!("coordinator: release not recorded outcome={outcome:?}");
                    return ReportOutcome::TryLater;
                }
            }
        }
        ReportOutcome::TryLater
    }
}

/// The revision that released the model from the engine, if it is not over.
fn releasing_since(state: &ClusterState, model: &ModelId, engine: &EngineId) -> Option<Revision> {
    let assignment = state.assignments.get(model)?.get(engine)?;
    let releasing = assignment.value.state == AssignmentState::Releasing;
    releasing.then_some(assignment.changed_at)
}
