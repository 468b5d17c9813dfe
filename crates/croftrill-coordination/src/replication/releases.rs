//! Recording confirmed unloads.

use super::{ProposeOutcome, Replica};
use croftrill_protocol::peer::ReportOutcome;
use croftrill_state::entry::Change;
use croftrill_state::{EngineId, ModelId, Revision, Term};

impl Replica {
    /// Records that an engine confirmed the unload of the replica that the entry
    /// at `release` released. A report of a release that is over is answered
    /// with `Recorded`, and changes nothing: whenever it arrives, it never ends
    /// a later release of the same replica.
    pub async fn record_release(&self, model: ModelId, engine: EngineId, release: Revision) -> ReportOutcome {
        if self.head() < release && !self.learned_of(release).await {
            return ReportOutcome::TryLater;
        }
        for _ in 0..self.config.propose_attempts {
            let state = self.state();
            if state.release_revision(&model, &engine) != Some(release) {
                return ReportOutcome::Recorded;
            }
            let change = Change::Released {
                model: model.clone(),
                engine: engine.clone(),
                release,
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

    /// Catches up with the log; whether the copy holds the entry at `revision`
    /// then.
    async fn learned_of(&self, revision: Revision) -> bool {
        self.catch_up_from_log().await.is_ok() && self.head() >= revision
    }
}
