//! Orders as they enter the books: reserved before a load, out of use before an
//! unload.

use super::held::{AdapterReplica, Phase, Replica};
use super::inventory::base_of;
use super::{EngineMemory, MemoryAction, UnloadReason};
use crate::cluster::Target;
use crate::configuration::{Adapter, Model};
use crate::identifiers::{AdapterId, ModelId};
use crate::time::Instant;

impl EngineMemory {
    pub(super) fn reserve(
        &mut self,
        model: &Model,
        accelerators: Vec<u32>,
        now: Instant,
        actions: &mut Vec<MemoryAction>,
    ) {
        self.sequence += 1;
        let expected_at = now + self.load_millis(model, now);
        let replica = Replica::reserved(model, accelerators.clone(), self.sequence, expected_at, now);
        self.replicas.insert(model.id.clone(), replica);
        actions.push(MemoryAction::Load {
            model: model.clone(),
            accelerators,
            source: self.source(&model.id),
        });
    }

    pub(super) fn reserve_adapter(&mut self, adapter: &Adapter) {
        self.sequence += 1;
        let entry = AdapterReplica::reserved(adapter, self.sequence);
        if let Some(replica) = self.replicas.get_mut(&adapter.base) {
            replica.adapters.insert(adapter.id.clone(), entry);
        }
    }

    /// Orders an unload, unless the model is in use or an order is under way.
    pub(super) fn unload(
        &mut self,
        id: &ModelId,
        reason: UnloadReason,
        now: Instant,
        actions: &mut Vec<MemoryAction>,
    ) {
        let waits = self.others_running || self.in_use(id) || self.backoff_millis(&base_of(id), now) > 0;
        let orders_open = |replica: &Replica| {
            replica.phase != Phase::Loaded && replica.phase != Phase::Loading
                || replica
                    .adapters
                    .values()
                    .any(|adapter| adapter.phase.is_unanswered())
        };
        if waits || self.replicas.get(id).is_none_or(orders_open) {
            return;
        }
        self.sequence += 1;
        if let Some(replica) = self.replicas.get_mut(id) {
            replica.phase = Phase::Unloading;
            replica.changed = self.sequence;
        }
        actions.push(MemoryAction::Unload {
            model: id.clone(),
            reason,
        });
    }

    pub(super) fn unload_adapter(
        &mut self,
        base: &ModelId,
        adapter: &AdapterId,
        now: Instant,
        actions: &mut Vec<MemoryAction>,
    ) {
        let target = Target {
            model: base.clone(),
            adapter: Some(adapter.clone()),
        };
        if self.others_running || self.target_in_use(&target) || self.backoff_millis(&target, now) > 0 {
            return;
        }
        self.sequence += 1;
        let sequence = self.sequence;
        let held = self
            .replicas
            .get_mut(base)
            .and_then(|r| r.adapters.get_mut(adapter));
        let Some(held) = held.filter(|held| held.phase == Phase::Loaded) else {
            return;
        };
        held.phase = Phase::Unloading;
        held.changed = sequence;
        actions.push(MemoryAction::UnloadAdapter {
            adapter: adapter.clone(),
            base: base.clone(),
        });
    }
}
