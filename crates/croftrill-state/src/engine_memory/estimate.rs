//! When a target is expected to take work.

use super::held::{Phase, Replica};
use super::{AssignedModel, CheckpointLocality, EngineMemory};
use crate::cluster::Target;
use crate::configuration::{Adapter, Model};
use crate::identifiers::ModelId;
use crate::placement::AssignmentState;
use crate::replica_queue::Wake;
use crate::time::Instant;

/// An overdue load is expected to take this part of its delay more.
const OVERDUE_DIVISOR: u64 = 2;

impl EngineMemory {
    /// When the target is expected to take work.
    pub fn wake(&self, target: &Target, now: Instant) -> Wake {
        let Some(assigned) = self.assigned.get(&target.model) else {
            return self.never();
        };
        if assigned.state != AssignmentState::Active {
            return self.never();
        }
        if self.is_usable(target) {
            return Wake::Ready;
        }
        let base = self.base_wake_millis(assigned, now);
        let adapter = self.adapter_wake_millis(target, now);
        let backoff = self.backoff_millis(target, now);
        Wake::In(base + adapter + backoff)
    }

    fn never(&self) -> Wake {
        Wake::Never {
            retry_after_millis: self.config.displace_after_millis,
        }
    }

    fn base_wake_millis(&self, assigned: &AssignedModel, now: Instant) -> u64 {
        let model = &assigned.model;
        let current = |replica: &&Replica| replica.version == model.version && !replica.draining;
        match self.replicas.get(&model.id).filter(current) {
            Some(replica) if replica.phase == Phase::Loaded => 0,
            Some(replica) if matches!(replica.phase, Phase::Loading | Phase::Reserved) => {
                remaining_millis(replica.expected_at, now)
            }
            _ => self.blocked_millis(assigned, now) + self.load_millis(model, now),
        }
    }

    fn adapter_wake_millis(&self, target: &Target, now: Instant) -> u64 {
        match target.adapter.as_ref().and_then(|id| self.adapters.get(id)) {
            Some(adapter) if !self.holds_adapter(adapter) => self.load_time.estimate(
                CheckpointLocality::Remote,
                adapter.memory_mib_per_accelerator,
                now,
            ),
            _ => 0,
        }
    }

    /// Estimated time to load a model or adapter again, in milliseconds.
    pub(super) fn reload_millis(&self, target: &Target, now: Instant) -> u64 {
        let adapter = target.adapter.as_ref().and_then(|id| self.adapters.get(id));
        if let Some(adapter) = adapter {
            let mib = adapter.memory_mib_per_accelerator;
            return self.load_time.estimate(CheckpointLocality::Remote, mib, now);
        }
        let assigned = self.assigned.get(&target.model);
        assigned.map_or(0, |assigned| self.load_millis(&assigned.model, now))
    }

    fn holds_adapter(&self, adapter: &Adapter) -> bool {
        let base = self.replicas.get(&adapter.base);
        let held = base.and_then(|base| base.adapters.get(&adapter.id));
        held.is_some_and(|held| held.phase == Phase::Loaded && held.version == adapter.version)
    }

    pub(super) fn backoff_millis(&self, target: &Target, now: Instant) -> u64 {
        let base = Target {
            model: target.model.clone(),
            adapter: None,
        };
        [&base, target]
            .into_iter()
            .filter_map(|key| self.backoff.get(key))
            .map(|backoff| backoff.until.millis_since(now))
            .max()
            .unwrap_or(0)
    }

    /// Estimated time of a load of the model, in milliseconds.
    pub fn load_millis(&self, model: &Model, now: Instant) -> u64 {
        let source = self.source(&model.id);
        self.load_time.estimate(source, model.checkpoint_mib, now)
    }

    /// Where the engine would read the checkpoint of a model.
    pub fn source(&self, model: &ModelId) -> CheckpointLocality {
        if self.cached_in_memory.contains(model) {
            CheckpointLocality::Memory
        } else if self.cached_on_disk.contains(model) {
            CheckpointLocality::Disk
        } else {
            CheckpointLocality::Remote
        }
    }
}

/// Time until a load is done. The longer it is overdue, the longer it is
/// expected to take still, so that nobody waits for a load that hangs.
fn remaining_millis(expected_at: Instant, now: Instant) -> u64 {
    let overdue = now.millis_since(expected_at);
    expected_at.millis_since(now) + overdue / OVERDUE_DIVISOR
}
