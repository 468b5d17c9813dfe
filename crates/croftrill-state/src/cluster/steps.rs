//! Applying placement steps and confirmed releases.
//!
//! A releasing replica holds the memory that its model had before the entry
//! that released it, also when the model's record changes meanwhile.

use super::apply::Applying;
use super::{missing, versioned, ApplyError, ClusterState, ObjectName};
use crate::entry::PlacementStep;
use crate::identifiers::{EngineId, FencingToken, ModelId, NodeId, Revision};
use crate::placement::{Assignment, AssignmentState};
use std::collections::BTreeMap;

impl ClusterState {
    pub(super) fn apply_steps(
        &mut self,
        steps: &[PlacementStep],
        applying: &mut Applying,
    ) -> Result<(), ApplyError> {
        for step in steps {
            match step {
                PlacementStep::Assign { assignment } => self.assign(assignment, applying)?,
                PlacementStep::Release { model, engine } => self.release(model, engine, applying)?,
                PlacementStep::SetOwner { engine, owner } => self.set_owner(engine, owner, applying.at)?,
            }
        }
        Ok(())
    }

    fn assign(&mut self, assignment: &Assignment, applying: &mut Applying) -> Result<(), ApplyError> {
        let Assignment { model, engine, .. } = assignment;
        if assignment.state == AssignmentState::Releasing {
            return Err(ApplyError::Invalid(format!(
                "model {model} is assigned to engine {engine} as releasing"
            )));
        }
        let present = self.assignment(model, engine).map(|found| &found.state);
        if present == Some(&AssignmentState::Releasing) {
            return Err(ApplyError::Invalid(format!(
                "model {model} is still being released from engine {engine}"
            )));
        }
        // It may be loaded, so it counts until it is released.
        let waits = matches!(assignment.state, AssignmentState::WaitingFor { .. });
        if waits && present == Some(&AssignmentState::Active) {
            return Err(ApplyError::Invalid(format!(
                "model {model} may be loaded on engine {engine} and cannot wait"
            )));
        }
        applying.touch(model, engine);
        self.assignments
            .entry(model.clone())
            .or_default()
            .insert(engine.clone(), versioned(applying.at, assignment));
        Ok(())
    }

    fn release(
        &mut self,
        model: &ModelId,
        engine: &EngineId,
        applying: &mut Applying,
    ) -> Result<(), ApplyError> {
        let Some(present) = self.assignment(model, engine) else {
            return Err(ApplyError::Invalid(format!(
                "model {model} is not assigned to engine {engine}"
            )));
        };
        if present.state == AssignmentState::Releasing {
            return Ok(());
        }
        applying.touch(model, engine);
        match applying.before.assignment(model, engine) {
            Some(before) if before.counts_as_replica() => self.start_release(before, applying),
            // Nothing was ever loaded there, so nobody has to confirm.
            _ => self.remove_assignment(model, engine, applying),
        }
        Ok(())
    }

    /// Marks a replica that may be loaded as it was before the entry.
    fn start_release(&mut self, before: &Assignment, applying: &Applying) {
        let Assignment { model, engine, .. } = before;
        let held = applying.before.models.get(model);
        let held = held.map_or(0, |found| found.value.memory_mib_per_accelerator);
        self.releasing_memory_mib
            .entry(model.clone())
            .or_default()
            .insert(engine.clone(), held);
        let releasing = Assignment {
            state: AssignmentState::Releasing,
            ..before.clone()
        };
        self.assignments
            .entry(model.clone())
            .or_default()
            .insert(engine.clone(), versioned(applying.at, &releasing));
    }

    fn set_owner(&mut self, id: &EngineId, owner: &NodeId, at: Revision) -> Result<(), ApplyError> {
        if !self.nodes.contains_key(owner) {
            return Err(missing("node", owner.as_str()));
        }
        let engine = self
            .engines
            .get_mut(id)
            .ok_or_else(|| missing("engine", id.as_str()))?;
        engine.value.owner = Some(owner.clone());
        engine.value.fencing_token = FencingToken(at.0);
        Ok(())
    }

    /// Whether exactly this release is under way.
    pub(super) fn require_releasing(
        &self,
        model: &ModelId,
        engine: &EngineId,
        release: Revision,
    ) -> Result<(), ApplyError> {
        if self.release_revision(model, engine) == Some(release) {
            return Ok(());
        }
        Err(ApplyError::Invalid(format!(
            "model {model} is not being released from engine {engine} since revision {release}"
        )))
    }

    /// Removes an assignment together with what was noted of its memory.
    pub(super) fn remove_assignment(&mut self, model: &ModelId, engine: &EngineId, applying: &mut Applying) {
        applying.touch(model, engine);
        remove_inner(&mut self.assignments, model, engine);
        remove_inner(&mut self.releasing_memory_mib, model, engine);
        self.tombstones
            .record(ObjectName::Placement(model.clone()), applying.at);
    }

    /// Activates waiting assignments while the decided replicas stay below the
    /// model's most; those whose engine to wait for is gone go first.
    pub(super) fn activate_waiting(&mut self, model: &ModelId, applying: &mut Applying) {
        if self.retiring_models.contains(model) {
            return;
        }
        let most = self
            .models
            .get(model)
            .map_or(0, |found| found.value.max_replicas as usize);
        while self.decided_replicas(model) < most {
            let Some(engine) = self.next_to_activate(model) else {
                return;
            };
            applying.touch(model, &engine);
            self.activate(model, &engine, applying.at);
        }
    }

    fn next_to_activate(&self, model: &ModelId) -> Option<EngineId> {
        let waiting = self.assignments_of_model(model).filter_map(|assignment| {
            let AssignmentState::WaitingFor { engine: awaited } = &assignment.state else {
                return None;
            };
            let still_held = self.assignment(model, awaited).is_some();
            Some((still_held, &assignment.engine))
        });
        waiting.min().map(|(_, engine)| engine.clone())
    }

    fn activate(&mut self, model: &ModelId, engine: &EngineId, at: Revision) {
        let waiting = self
            .assignments
            .get_mut(model)
            .and_then(|by_engine| by_engine.get_mut(engine));
        if let Some(assignment) = waiting {
            assignment.value.state = AssignmentState::Active;
            assignment.changed_at = at;
        }
    }
}

/// Removes one entry, and the model's map with its last one.
fn remove_inner<T>(
    by_model: &mut BTreeMap<ModelId, BTreeMap<EngineId, T>>,
    model: &ModelId,
    engine: &EngineId,
) {
    let Some(by_engine) = by_model.get_mut(model) else {
        return;
    };
    by_engine.remove(engine);
    if by_engine.is_empty() {
        by_model.remove(model);
    }
}
