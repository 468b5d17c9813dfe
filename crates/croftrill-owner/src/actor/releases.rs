//! Reports that a releasing replica is gone, repeated until the log shows it.
//!
//! A report names the release that this actor acted on, never one that a later
//! state holds.

use super::{EngineActor, Message};
use croftrill_protocol::peer::ReportOutcome;
use croftrill_state::engine_memory::ConfirmedRelease;
use croftrill_state::Instant;
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
        let confirmed = self.memory.released();
        self.releases.retain(|known, _| confirmed.contains(known));
        for released in confirmed {
            let progress = self.releases.get(&released).copied();
            let due = progress.is_none_or(|progress| progress.next_at <= now);
            if due {
                let attempts = progress.map_or(0, |progress| progress.attempts);
                self.report_release(released, attempts, now);
            }
        }
    }

    fn report_release(&mut self, released: ConfirmedRelease, attempts: u32, now: Instant) {
        let pause = self.shared.config.report_retry_millis << attempts.min(MAX_DOUBLINGS);
        let progress = ReleaseProgress {
            attempts: attempts + 1,
            next_at: now + pause,
        };
        self.releases.insert(released.clone(), progress);
        info!(
            "owner: release reported model={} engine={} release={}",
            released.model, self.engine.id, released.release
        );
        let permits = self.shared.permits.clone();
        let engine = self.engine.id.clone();
        let sender = self.sender.clone();
        tokio::spawn(async move {
            let ConfirmedRelease { model, release } = released.clone();
            let outcome = permits.report_release(model, engine, release).await;
            let _ = sender.send(Message::ReleaseReported { released, outcome });
        });
    }

    /// A recorded report is repeated less often; the log has the last word.
    pub(super) fn release_reported(&mut self, released: &ConfirmedRelease, outcome: ReportOutcome) {
        if let Some(progress) = self.releases.get_mut(released) {
            if outcome == ReportOutcome::Recorded {
                progress.attempts = progress.attempts.max(MAX_DOUBLINGS);
            }
        }
    }

    pub(super) fn next_release_time(&self) -> Option<Instant> {
        self.releases.values().map(|progress| progress.next_at).min()
    }
}
