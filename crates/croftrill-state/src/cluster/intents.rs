//! Applying operators' intents.
//!
//! A deleted model stops being served at once ([`ClusterState::resolve`] no
//! longer finds it), but its record stays, marked as retiring, until the last
//! of its replicas has been released: what still holds memory stays accounted.

use super::apply::Applying;
use super::{missing, versioned, ApplyError, ClusterState, ObjectName};
use crate::configuration::{Adapter, Model};
use crate::entry::Intent;
use crate::identifiers::{AdapterId, EngineId, GroupId, ModelId, NodeId, Revision};
use crate::placement::Lifecycle;

impl ClusterState {
    /// A copy with the intents applied and no change of placement, to plan on.
    pub(crate) fn with_intents(&self, intents: &[Intent]) -> Result<ClusterState, ApplyError> {
        let mut next = self.clone();
        let mut applying = Applying::new(self.revision.next(), self);
        next.apply_intents(intents, &mut applying)?;
        Ok(next)
    }

    pub(super) fn apply_intents(
        &mut self,
        intents: &[Intent],
        applying: &mut Applying,
    ) -> Result<(), ApplyError> {
        for intent in intents {
            self.apply_intent(intent, applying)?;
        }
        Ok(())
    }

    fn apply_intent(&mut self, intent: &Intent, applying: &mut Applying) -> Result<(), ApplyError> {
        let at = applying.at;
        match intent {
            Intent::PutGroup(group) => {
                self.groups.insert(group.id.clone(), versioned(at, group));
                Ok(())
            }
            Intent::DeleteGroup(id) => self.delete_group(id, at),
            Intent::PutModel(model) => {
                self.put_model(model, applying);
                Ok(())
            }
            Intent::DeleteModel(id) => self.delete_model(id, applying),
            Intent::PutAdapter(adapter) => self.put_adapter(adapter, at),
            Intent::DeleteAdapter(id) => self.delete_adapter(id, at),
            Intent::DrainNode(id) => self.drain_node(id, at),
            Intent::DrainEngine(id) => self.drain_engine(id, applying),
        }
    }

    fn delete_group(&mut self, id: &GroupId, at: Revision) -> Result<(), ApplyError> {
        self.groups
            .remove(id)
            .ok_or_else(|| missing("group", id.as_str()))?;
        self.tombstones.record(ObjectName::Group(id.clone()), at);
        Ok(())
    }

    fn put_model(&mut self, model: &Model, applying: &mut Applying) {
        self.models
            .insert(model.id.clone(), versioned(applying.at, model));
        self.retiring_models.remove(&model.id);
        applying.models.insert(model.id.clone());
    }

    fn delete_model(&mut self, id: &ModelId, applying: &mut Applying) -> Result<(), ApplyError> {
        if let Some(adapter) = self.adapters.values().find(|a| a.value.base == *id) {
            return Err(ApplyError::Invalid(format!(
                "model {id} still has adapter {}",
                adapter.value.id
            )));
        }
        if self.retiring_models.contains(id) {
            return Err(missing("model", id.as_str()));
        }
        let model = self
            .models
            .get_mut(id)
            .ok_or_else(|| missing("model", id.as_str()))?;
        model.changed_at = applying.at;
        self.retiring_models.insert(id.clone());
        applying.models.insert(id.clone());
        Ok(())
    }

    /// Removes the record of a deleted model that holds nothing any more.
    pub(super) fn remove_if_retired(&mut self, id: &ModelId, at: Revision) {
        if self.assignments.contains_key(id) || !self.retiring_models.remove(id) {
            return;
        }
        self.models.remove(id);
        self.tombstones.record(ObjectName::Model(id.clone()), at);
    }

    fn put_adapter(&mut self, adapter: &Adapter, at: Revision) -> Result<(), ApplyError> {
        let base = &adapter.base;
        if !self.models.contains_key(base) || self.retiring_models.contains(base) {
            return Err(missing("base model", base.as_str()));
        }
        self.adapters.insert(adapter.id.clone(), versioned(at, adapter));
        Ok(())
    }

    fn delete_adapter(&mut self, id: &AdapterId, at: Revision) -> Result<(), ApplyError> {
        self.adapters
            .remove(id)
            .ok_or_else(|| missing("adapter", id.as_str()))?;
        self.tombstones.record(ObjectName::Adapter(id.clone()), at);
        Ok(())
    }

    fn drain_node(&mut self, id: &NodeId, at: Revision) -> Result<(), ApplyError> {
        let node = self
            .nodes
            .get_mut(id)
            .ok_or_else(|| missing("node", id.as_str()))?;
        node.value.lifecycle = Lifecycle::Leaving;
        node.changed_at = at;
        Ok(())
    }

    fn drain_engine(&mut self, id: &EngineId, applying: &mut Applying) -> Result<(), ApplyError> {
        let engine = self
            .engines
            .get_mut(id)
            .ok_or_else(|| missing("engine", id.as_str()))?;
        engine.value.lifecycle = Lifecycle::Leaving;
        engine.changed_at = applying.at;
        applying.engines.insert(id.clone());
        Ok(())
    }
}
