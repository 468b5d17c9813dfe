//! Loads from decision to end: permit, order, report.

use super::{EngineActor, Message};
use croftrill_protocol::peer::{LoadPermit, LoadPermitRequest, LoadReport, ReportOutcome};
use croftrill_state::configuration::Model;
use croftrill_state::engine_memory::{CheckpointLocality, Demand, MemoryAction};
use croftrill_state::{Instant, ModelId};
use log::{info, warn};
use std::time::Duration;

/// Deadline named to the coordinator for a load that nobody waits for, in
/// milliseconds.
const NO_DEADLINE_MILLIS: u64 = 600_000;
/// Attempts to report the end of a load.
const REPORT_ATTEMPTS: u32 = 5;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// The permit is to be asked for at this time.
    AskAt(Instant),
    /// The permit is asked for.
    Asking,
    /// The order is given.
    Ordered,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PermittedBy {
    Nobody,
    Coordinator,
    LocalRate,
}

/// A load of this owner that has not ended.
#[derive(Clone, Debug)]
pub(super) struct LoadProgress {
    model: Model,
    accelerators: Vec<u32>,
    source: CheckpointLocality,
    stage: Stage,
    permitted_by: PermittedBy,
    ordered_at: Instant,
}

impl LoadProgress {
    fn remote_mib(&self) -> u64 {
        match self.source {
            CheckpointLocality::Remote => self.model.checkpoint_mib,
            CheckpointLocality::Memory | CheckpointLocality::Disk => 0,
        }
    }
}

impl EngineActor {
    pub(super) fn begin_load(
        &mut self,
        model: Model,
        accelerators: Vec<u32>,
        source: CheckpointLocality,
        now: Instant,
    ) {
        let id = model.id.clone();
        let progress = LoadProgress {
            model,
            accelerators,
            source,
            stage: Stage::AskAt(now),
            permitted_by: PermittedBy::Nobody,
            ordered_at: now,
        };
        self.loads.insert(id, progress);
    }

    /// Asks for the permits that are due, and gives up loads that no longer
    /// help anybody.
    pub(super) fn advance_loads(&mut self, demands: &[Demand], now: Instant) {
        let due: Vec<ModelId> = self
            .loads
            .iter()
            .filter(|(_, load)| matches!(load.stage, Stage::AskAt(at) if at <= now))
            .map(|(id, _)| id.clone())
            .collect();
        for id in due {
            if self.memory.is_load_wanted(&id, demands, now) {
                self.ask_permit(&id, demands, now);
            } else {
                self.loads.remove(&id);
                self.memory.load_given_up(&id);
            }
        }
    }

    fn ask_permit(&mut self, id: &ModelId, demands: &[Demand], now: Instant) {
        let deadline = demands
            .iter()
            .filter(|demand| demand.target.model == *id)
            .map(|demand| demand.earliest_deadline.millis_since(now))
            .min();
        let Some(load) = self.loads.get_mut(id) else {
            return;
        };
        load.stage = Stage::Asking;
        let request = LoadPermitRequest {
            engine: self.engine.id.clone(),
            model: id.clone(),
            remote_mib: load.remote_mib(),
            deadline_millis: deadline.unwrap_or(NO_DEADLINE_MILLIS),
        };
        let permits = self.shared.permits.clone();
        let sender = self.sender.clone();
        let limit = Duration::from_millis(self.shared.config.permit_timeout_millis);
        let model = id.clone();
        tokio::spawn(async move {
            let answer = tokio::time::timeout(limit, permits.request_load(request)).await;
            let permit = match answer {
                Ok(Ok(LoadPermit::NotCoordinator)) | Ok(Err(_)) | Err(_) => None,
                Ok(Ok(permit)) => Some(permit),
            };
            let _ = sender.send(Message::Permit { model, permit });
        });
    }

    pub(super) fn permit_answered(&mut self, id: &ModelId, permit: Option<LoadPermit>) {
        let now = self.now();
        let asking = |load: &super::LoadProgress| load.stage == Stage::Asking;
        if !self.loads.get(id).is_some_and(asking) {
            self.return_unused_permit(id, permit);
            return;
        }
        if permit.is_some() {
            self.shared.local_load_rate().coordinator_answered();
        }
        match permit {
            Some(LoadPermit::Granted { expected_millis }) => {
                self.memory.expect_loaded(id, now + expected_millis);
                self.order_load(id, PermittedBy::Coordinator, now);
            }
            Some(LoadPermit::Wait {
                retry_after_millis,
                expected_millis,
            }) => {
                self.memory.expect_loaded(id, now + expected_millis);
                self.ask_again(id, now + retry_after_millis.max(1));
            }
            Some(LoadPermit::NotCoordinator) | None => self.ask_local_rate(id, now),
        }
    }

    fn ask_local_rate(&mut self, id: &ModelId, now: Instant) {
        let Some(load) = self.loads.get(id) else {
            return;
        };
        if load.remote_mib() == 0 {
            self.order_load(id, PermittedBy::Nobody, now);
            return;
        }
        let admitted = self.shared.local_load_rate().try_start(now);
        match admitted {
            Ok(()) => self.order_load(id, PermittedBy::LocalRate, now),
            Err(wait_millis) => self.ask_again(id, now + wait_millis.max(1)),
        }
    }

    fn ask_again(&mut self, id: &ModelId, at: Instant) {
        if let Some(load) = self.loads.get_mut(id) {
            load.stage = Stage::AskAt(at);
        }
    }

    fn order_load(&mut self, id: &ModelId, permitted_by: PermittedBy, now: Instant) {
        let Some(load) = self.loads.get_mut(id) else {
            return;
        };
        load.stage = Stage::Ordered;
        load.permitted_by = permitted_by;
        load.ordered_at = now;
        let action = MemoryAction::Load {
            model: load.model.clone(),
            accelerators: load.accelerators.clone(),
            source: load.source,
        };
        info!(
            "owner: model loading model={id} engine={} source={:?}",
            self.engine.id, load.source
        );
        self.send_order(action);
    }

    /// A load ended as an inventory or the answer to its order shows.
    pub(super) fn load_ended(&mut self, id: &ModelId, succeeded: bool, now: Instant) {
        let Some(load) = self.loads.remove(id) else {
            return;
        };
        let millis = now.millis_since(load.ordered_at);
        if succeeded {
            info!(
                "owner: model loaded model={id} engine={} millis={millis}",
                self.engine.id
            );
            self.shared.metrics.loaded(load.source);
            self.memory.observe_load(id, load.source, millis, now);
        } else {
            warn!(
                "owner: load failed model={id} engine={} millis={millis}",
                self.engine.id
            );
            self.shared.metrics.load_failed();
        }
        self.report_load(&load, millis, succeeded, now);
    }

    fn report_load(&self, load: &LoadProgress, millis: u64, succeeded: bool, now: Instant) {
        match load.permitted_by {
            PermittedBy::Nobody => {}
            PermittedBy::LocalRate => self.shared.local_load_rate().ended(now),
            PermittedBy::Coordinator => self.send_load_report(LoadReport {
                engine: self.engine.id.clone(),
                model: load.model.id.clone(),
                remote_mib: load.remote_mib(),
                duration_millis: millis,
                succeeded,
            }),
        }
    }

    fn return_unused_permit(&self, id: &ModelId, permit: Option<LoadPermit>) {
        if matches!(permit, Some(LoadPermit::Granted { .. })) {
            self.send_load_report(LoadReport {
                engine: self.engine.id.clone(),
                model: id.clone(),
                remote_mib: 0,
                duration_millis: 0,
                succeeded: false,
            });
        }
    }

    fn send_load_report(&self, report: LoadReport) {
        let permits = self.shared.permits.clone();
        let pause = Duration::from_millis(self.shared.config.report_retry_millis);
        tokio::spawn(async move {
            for _ in 0..REPORT_ATTEMPTS {
                if permits.finish_load(report.clone()).await == ReportOutcome::Recorded {
                    return;
                }
                tokio::time::sleep(pause).await;
            }
            warn!(
                "owner: load report lost model={} engine={}",
                report.model, report.engine
            );
        });
    }

    /// Gives the permits back when the engine is lost.
    pub(super) fn end_open_loads(&mut self) {
        let now = self.now();
        for load in std::mem::take(&mut self.loads).into_values() {
            let millis = now.millis_since(load.ordered_at);
            self.report_load(&load, millis, false, now);
        }
    }

    pub(super) fn next_load_time(&self) -> Option<Instant> {
        self.loads
            .values()
            .filter_map(|load| match load.stage {
                Stage::AskAt(at) => Some(at),
                Stage::Asking | Stage::Ordered => None,
            })
            .min()
    }
}
