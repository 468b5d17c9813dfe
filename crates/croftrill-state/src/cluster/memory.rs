//! Checks of replica counts and accelerator memory.

use super::apply::Applying;
use super::{missing, ApplyError, ClusterState};
use crate::configuration::Model;
use crate::identifiers::{EngineId, ModelId};
use crate::placement::{Assignment, AssignmentState, Engine, Residency};
use std::collections::{BTreeMap, BTreeSet};

/// The assignments on each of some engines.
type AssignmentsByEngine<'a> = BTreeMap<&'a EngineId, Vec<&'a Assignment>>;

impl ClusterState {
    /// Memory of each accelerator of an engine that residents leave free, in
    /// MiB. Releasing residents still hold theirs.
    pub fn free_beside_residents(&self, engine: &Engine) -> Result<Vec<u64>, ApplyError> {
        let assignments: Vec<&Assignment> = self.assignments_on_engine(&engine.id).collect();
        self.free_beside(engine, &assignments)
    }

    fn free_beside(&self, engine: &Engine, assignments: &[&Assignment]) -> Result<Vec<u64>, ApplyError> {
        let mut free = engine.accelerator_memory_mib.clone();
        for assignment in assignments {
            if assignment.state == AssignmentState::Releasing {
                self.subtract_releasing(assignment, &mut free);
            }
        }
        for assignment in assignments {
            if assignment.state != AssignmentState::Releasing {
                self.subtract_resident(assignment, &mut free)?;
            }
        }
        Ok(free)
    }

    /// What is being released can be refused no more, so it never fails; it
    /// only leaves less to others.
    fn subtract_releasing(&self, assignment: &Assignment, free: &mut [u64]) {
        let Residency::Resident { accelerators } = &assignment.residency else {
            return;
        };
        let held = self.releasing_memory(&assignment.model, &assignment.engine);
        for accelerator in accelerators {
            if let Some(slot) = free.get_mut(*accelerator as usize) {
                *slot = slot.saturating_sub(held);
            }
        }
    }

    /// Memory that a releasing replica holds on each of its accelerators until
    /// its unload is confirmed, in MiB.
    pub fn releasing_memory(&self, model: &ModelId, engine: &EngineId) -> u64 {
        self.releasing_memory_mib
            .get(model)
            .and_then(|by_engine| by_engine.get(engine))
            .copied()
            .unwrap_or(0)
    }

    fn subtract_resident(&self, assignment: &Assignment, free: &mut [u64]) -> Result<(), ApplyError> {
        let Residency::Resident { accelerators } = &assignment.residency else {
            return Ok(());
        };
        // A waiting resident must fit the moment it becomes active, so its memory
        // is reserved from the start.
        let model = self.required_model(&assignment.model)?;
        for accelerator in accelerators {
            let slot = free.get_mut(*accelerator as usize).ok_or_else(|| {
                ApplyError::Invalid(format!(
                    "engine {} has no accelerator {accelerator}",
                    assignment.engine
                ))
            })?;
            *slot = slot
                .checked_sub(model.memory_mib_per_accelerator)
                .ok_or_else(|| {
                    ApplyError::Invalid(format!(
                        "accelerator {accelerator} of engine {} would be overcommitted by model {}",
                        assignment.engine, assignment.model
                    ))
                })?;
        }
        Ok(())
    }

    fn required_model(&self, id: &ModelId) -> Result<&Model, ApplyError> {
        self.models
            .get(id)
            .map(|versioned| &versioned.value)
            .ok_or_else(|| missing("model", id.as_str()))
    }

    /// Checks every invariant of the state.
    pub fn check(&self) -> Result<(), ApplyError> {
        for model in self.assignments.keys() {
            self.check_replica_count(model)?;
        }
        let mut engines: BTreeSet<EngineId> = self.engines.keys().cloned().collect();
        engines.extend(self.all_assignments().map(|a| a.engine.clone()));
        self.check_engines(&engines)
    }

    /// Checks the invariants of what an entry touched, and of the engines that
    /// hold the touched models.
    pub(super) fn check_touched(&self, applying: &Applying) -> Result<(), ApplyError> {
        let mut engines = applying.engines.clone();
        for model in &applying.models {
            self.check_replica_count(model)?;
            self.check_nothing_new_in_excess(model, applying.before)?;
            engines.extend(self.assignments_of_model(model).map(|a| a.engine.clone()));
        }
        self.check_engines(&engines)
    }

    fn check_replica_count(&self, id: &ModelId) -> Result<(), ApplyError> {
        if !self.assignments.contains_key(id) {
            return Ok(());
        }
        let most = self.required_model(id)?.max_replicas as usize;
        let wanted = self
            .assignments_of_model(id)
            .filter(|assignment| assignment.state != AssignmentState::Releasing)
            .count();
        if wanted > 0 && self.is_retiring(id) {
            return Err(ApplyError::Invalid(format!(
                "model {id} is deleted but keeps {wanted} replicas"
            )));
        }
        if wanted > most {
            return Err(ApplyError::Invalid(format!(
                "model {id} would have {wanted} replicas, more than {most}"
            )));
        }
        Ok(())
    }

    /// While releasing replicas keep a model above its most (which was just
    /// lowered), no other replica may become active.
    fn check_nothing_new_in_excess(&self, id: &ModelId, before: &ClusterState) -> Result<(), ApplyError> {
        let Some(model) = self.models.get(id) else {
            return Ok(());
        };
        let decided = self.decided_replicas(id);
        let most = model.value.max_replicas as usize;
        if decided <= most {
            return Ok(());
        }
        for assignment in self.assignments_of_model(id) {
            let was_decided = before
                .assignment(id, &assignment.engine)
                .is_some_and(Assignment::counts_as_replica);
            if assignment.counts_as_replica() && !was_decided {
                return Err(ApplyError::Invalid(format!(
                    "model {id} would have {decided} replicas, more than {most}, until its releases are confirmed"
                )));
            }
        }
        Ok(())
    }

    fn check_engines(&self, engines: &BTreeSet<EngineId>) -> Result<(), ApplyError> {
        let by_engine = self.assignments_by_engine(engines);
        for id in engines {
            let assignments = by_engine.get(id).map_or(&[][..], Vec::as_slice);
            self.check_engine_memory(id, assignments)?;
        }
        Ok(())
    }

    /// One pass over all assignments, instead of one for each engine.
    fn assignments_by_engine<'a>(&'a self, engines: &BTreeSet<EngineId>) -> AssignmentsByEngine<'a> {
        let mut by_engine = AssignmentsByEngine::new();
        for assignment in self.all_assignments() {
            if engines.contains(&assignment.engine) {
                by_engine.entry(&assignment.engine).or_default().push(assignment);
            }
        }
        by_engine
    }

    fn check_engine_memory(&self, id: &EngineId, assignments: &[&Assignment]) -> Result<(), ApplyError> {
        let Some(engine) = self.engines.get(id) else {
            return match assignments.first() {
                None => Ok(()),
                Some(assignment) => Err(ApplyError::Invalid(format!(
                    "engine {id} of an assignment of model {} does not exist",
                    assignment.model
                ))),
            };
        };
        let free = self.free_beside(&engine.value, assignments)?;
        for assignment in assignments {
            if assignment.state != AssignmentState::Releasing {
                self.check_assignment_fits(assignment, &free)?;
            }
        }
        Ok(())
    }

    fn check_assignment_fits(&self, assignment: &Assignment, free: &[u64]) -> Result<(), ApplyError> {
        let model = self.required_model(&assignment.model)?;
        let needed = model.accelerators as usize;
        if let Residency::Resident { accelerators } = &assignment.residency {
            let distinct: BTreeSet<&u32> = accelerators.iter().collect();
            if distinct.len() != needed || accelerators.len() != needed {
                return Err(ApplyError::Invalid(format!(
                    "model {} needs {needed} distinct accelerators on engine {}",
                    assignment.model, assignment.engine
                )));
            }
            return Ok(());
        }
        let fitting = free
            .iter()
            .filter(|&&memory| memory >= model.memory_mib_per_accelerator)
            .count();
        if fitting < needed {
            return Err(ApplyError::Invalid(format!(
                "model {} does not fit on engine {} beside its residents",
                assignment.model, assignment.engine
            )));
        }
        Ok(())
    }
}
