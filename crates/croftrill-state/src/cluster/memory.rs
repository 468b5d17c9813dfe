//! Checks of replica counts and accelerator memory.

use super::{ApplyError, ClusterState};
use crate::configuration::Model;
use crate::identifiers::{EngineId, ModelId};
use crate::placement::{Assignment, AssignmentState, Engine, Residency};
use std::collections::BTreeSet;

impl ClusterState {
    /// Memory of each accelerator of an engine that residents leave free, in
    /// MiB. Releasing residents still hold theirs.
    pub fn free_beside_residents(&self, engine: &Engine) -> Result<Vec<u64>, ApplyError> {
        let mut free = engine.accelerator_memory_mib.clone();
        for assignment in self.assignments_on_engine(&engine.id) {
            self.subtract_resident(assignment, &mut free)?;
        }
        Ok(free)
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
            .ok_or_else(|| ApplyError::Invalid(format!("model {id} does not exist")))
    }

    /// Checks every invariant of the state.
    pub fn check(&self) -> Result<(), ApplyError> {
        let models: BTreeSet<ModelId> = self.assignments.keys().cloned().collect();
        let engines: BTreeSet<EngineId> = self.engines.keys().cloned().collect();
        self.check_touched(&models, &engines)
    }

    /// Checks the invariants of some models and engines, and of the engines
    /// that hold those models.
    pub(super) fn check_touched(
        &self,
        models: &BTreeSet<ModelId>,
        engines: &BTreeSet<EngineId>,
    ) -> Result<(), ApplyError> {
        let mut engines = engines.clone();
        for model in models {
            self.check_replica_count(model)?;
            engines.extend(self.assignments_of_model(model).map(|a| a.engine.clone()));
        }
        for engine in &engines {
            self.check_engine_memory(engine)?;
        }
        Ok(())
    }

    fn check_replica_count(&self, id: &ModelId) -> Result<(), ApplyError> {
        let decided = self.decided_replicas(id);
        if decided == 0 {
            return Ok(());
        }
        let model = self.required_model(id)?;
        let most = model.max_replicas as usize;
        if decided > most {
            return Err(ApplyError::Invalid(format!(
                "model {id} would have {decided} replicas, more than {most}"
            )));
        }
        Ok(())
    }

    fn check_engine_memory(&self, id: &EngineId) -> Result<(), ApplyError> {
        let Some(engine) = self.engines.get(id) else {
            return match self.assignments_on_engine(id).next() {
                None => Ok(()),
                Some(assignment) => Err(ApplyError::Invalid(format!(
                    "engine {id} of an assignment of model {} does not exist",
                    assignment.model
                ))),
            };
        };
        let free = self.free_beside_residents(&engine.value)?;
        for assignment in self.assignments_on_engine(id) {
            self.check_on_demand_fits(assignment, &free)?;
        }
        Ok(())
    }

    fn check_on_demand_fits(&self, assignment: &Assignment, free: &[u64]) -> Result<(), ApplyError> {
        let model = self.required_model(&assignment.model)?;
        if let Residency::Resident { accelerators } = &assignment.residency {
            let distinct: BTreeSet<&u32> = accelerators.iter().collect();
            if distinct.len() != model.accelerators as usize {
                return Err(ApplyError::Invalid(format!(
                    "model {} needs {} distinct accelerators on engine {}",
                    assignment.model, model.accelerators, assignment.engine
                )));
            }
            return Ok(());
        }
        if assignment.state == AssignmentState::Releasing {
            return Ok(());
        }
        let fitting = free
            .iter()
            .filter(|&&memory| memory >= model.memory_mib_per_accelerator)
            .count();
        if fitting < model.accelerators as usize {
            return Err(ApplyError::Invalid(format!(
                "model {} does not fit on engine {} beside its residents",
                assignment.model, assignment.engine
            )));
        }
        Ok(())
    }
}
