//! Reports that a releasing replica is gone, repeated until the log shows it.

use super::{EngineActor, Message};
use croftrill_protocol::peer::ReportOutcome;
use croftrill_state::{Instant, ModelId};
use log::info;

/// Doublings of the pause between reports.
const MAX_DOUBLINGS: u32 = 6;

/// A release that the log does not show yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReleaseProgress {
    attempts: u32,
    next_at: Instant,
}

impl EngineActor {
    /// Reports the releases that the engine confirmed.
    pub(super) fn report_releases(&mut self, now: Instant) {
        let released = self.memory.released();
        self.releases.retain(|id, _| released.contains(id));
        for id in released {
            let progress = self.releases.get(&id).copied();
            let due = progress.is_none_or(|progress| progress.next_at <= now);
            if due {
                self.report_release(id, progress.map_or(0, |progress| progress.attempts), now);
            }
        }
    }

    fn report_release(&mut self, id: ModelId, attempts: u32, now: Instant) {
        let pause = self.shared.config.report_retry_millis << attempts.min(MAX_DOUBLINGS);
        let progress = ReleaseProgress {
            attempts: attempts + 1,
            next_at: now + pause,
        };
        self.releases.insert(id.clone(), progress);
        info!("owner: release reported model={id} engine={}", self.engine.id);
        let permits = self.shared.permits.clone();
        let engine = self.engine.id.clone();
        let sender = self.sender.clone();
        tokio::spawn(async move {
            let outcome = permits.report_release(id.clone(), engine).await;
            let _ = sender.send(Message::ReleaseReported { model: id, outcome });
        });
    }

    /// A recorded report is repeated less often; the log has the last word.
    pub(super) fn release_reported(&mut self, id: &ModelId, outcome: ReportOutcome) {
        if let Some(progress) = self.releases.get_mut(id) {
            if outcome == ReportOutcome::Recorded {
                progress.attempts = progress.attempts.max(MAX_DOUBLINGS);
            }
        }
    }

    pub(super) fn next_release_time(&self) -> Option<Instant> {
        self.releases.values().map(|progress| progress.next_at).min()
    }
}
