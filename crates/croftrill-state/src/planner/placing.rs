//! Decides the assignments of one model.
//!
//! What is there is kept where it can be. New replicas go to the zone with the
//! fewest replicas of the model, there to the engine with the lowest cost: the
//! pressure on its memory plus a penalty for a checkpoint that is not cached.

use super::{CacheLevel, EngineFacts};
use crate::configuration::Model;
use crate::identifiers::{EngineId, ZoneId};
use crate::occupancy::{EngineOccupancy, Occupancy, ReplicaSpread};
use crate::placement::{Assignment, AssignmentState, Residency};
use crate::ClusterState;
use std::collections::{BTreeMap, BTreeSet};

/// Cost of reading a checkpoint from the disk rather than from memory, in
/// thousandths of an engine's free memory.
const DISK_PENALTY: u64 = 100;
/// Cost of reading a checkpoint from the weight store, likewise.
const REMOTE_PENALTY: u64 = 500;

/// What a plan does with the replicas of one model.
#[derive(Clone, Debug, Default)]
pub(super) struct ModelPlacement {
    /// Assignments that stay as they are.
    pub kept: Vec<Assignment>,
    /// Assignments that stay with another residency.
    pub converted: Vec<Assignment>,
    /// Assignments that end.
    pub released: Vec<Assignment>,
    /// New assignments.
    pub added: Vec<Assignment>,
    /// Residents that found no room.
    pub missing_residents: u32,
    /// Replicas, resident or not, that found no room.
    pub missing_replicas: u32,
}

/// Places models one after the other on the same engines.
pub(super) struct Placer<'a> {
    before: &'a ClusterState,
    facts: &'a EngineFacts,
    occupancy: Occupancy,
}

impl<'a> Placer<'a> {
    /// A placer on the engines of `before` with the lifecycles of `wanted`.
    pub fn new(before: &'a ClusterState, wanted: &ClusterState, facts: &'a EngineFacts) -> Self {
        let mut occupancy = Occupancy::of(before);
        occupancy.take_lifecycles(wanted);
        Self {
            before,
            facts,
            occupancy,
        }
    }

    /// Pressure on each engine's memory, in thousandths.
    pub fn pressures(&self) -> impl Iterator<Item = (&EngineId, u64)> {
        let engines = self.occupancy.engines.iter();
        engines.map(|(id, engine)| (id, engine.present_pressure()))
    }

    /// Ends every replica of a deleted model.
    pub fn release_all(&mut self, model: &Model) -> ModelPlacement {
        let mut placement = ModelPlacement::default();
        for assignment in self.present(model) {
            self.forget(&assignment);
            self.end(assignment, &mut placement);
        }
        placement
    }

    /// Decides the replicas of a model.
    pub fn place(&mut self, model: &Model) -> ModelPlacement {
        let mut placement = ModelPlacement::default();
        let mut kept = self.keep_what_fits(model, &mut placement);
        self.release_surplus(model, &mut kept, &mut placement);
        for assignment in &kept {
            self.occupancy.add(model, assignment);
        }
        let mut replicas = Replicas::new(model, self.before, kept);
        self.convert_to_on_demand(model, &mut replicas);
        self.convert_to_resident(model, &mut replicas);
        self.add_residents(model, &mut replicas, &mut placement);
        self.add_on_demand(model, &mut replicas, &mut placement);
        replicas.finish(model, &mut placement);
        placement
    }

    fn present(&self, model: &Model) -> Vec<Assignment> {
        self.before
            .assignments_of_model(&model.id)
            .filter(|assignment| assignment.state != AssignmentState::Releasing)
            .cloned()
            .collect()
    }

    /// Takes a present assignment out of the occupancy.
    fn forget(&mut self, assignment: &Assignment) {
        if let Some(before) = self.before.models.get(&assignment.model) {
            self.occupancy.remove(&before.value, assignment);
        }
    }

    /// Ends an assignment that is not in the occupancy. If it may be loaded it
    /// holds its memory on.
    fn end(&mut self, assignment: Assignment, placement: &mut ModelPlacement) {
        if assignment.state == AssignmentState::Active {
            let before = self.before.models.get(&assignment.model);
            let held = before.map_or(0, |found| found.value.memory_mib_per_accelerator);
            self.occupancy.hold(&assignment, held);
        }
        placement.released.push(assignment);
    }

    /// The present assignments that may stay, taken out of the occupancy.
    fn keep_what_fits(&mut self, model: &Model, placement: &mut ModelPlacement) -> Vec<Assignment> {
        let mut kept = Vec::new();
        for assignment in self.present(model) {
            self.forget(&assignment);
            if self.may_stay(model, &assignment) {
                kept.push(assignment);
            } else {
                self.end(assignment, placement);
            }
        }
        kept
    }

    fn may_stay(&self, model: &Model, assignment: &Assignment) -> bool {
        let Some(engine) = self.occupancy.engines.get(&assignment.engine) else {
            return false;
        };
        let fits = match &assignment.residency {
            Residency::Resident { accelerators } => engine.fits_resident(model, accelerators),
            Residency::OnDemand => engine.fits_on_demand(model),
        };
        engine.live && fits
    }

    fn release_surplus(&mut self, model: &Model, kept: &mut Vec<Assignment>, placement: &mut ModelPlacement) {
        while kept.len() > model.max_replicas as usize {
            let zones = self.occupancy.replicas_by_zone(kept.iter().map(|a| &a.engine));
            let first = (0..kept.len()).max_by_key(|&index| self.surplus_order(model, &kept[index], &zones));
            let Some(index) = first else {
                return;
            };
            let assignment = kept.remove(index);
            self.end(assignment, placement);
        }
    }

    /// The greatest goes first: one that only waits, then on-demand ones, those
    /// of crowded zones, those of crowded engines.
    fn surplus_order(
        &self,
        model: &Model,
        assignment: &Assignment,
        zones: &BTreeMap<ZoneId, usize>,
    ) -> (bool, bool, usize, u64) {
        let engine = self.occupancy.engines.get(&assignment.engine);
        let in_zone = engine.and_then(|engine| zones.get(&engine.zone)).copied();
        (
            assignment.state != AssignmentState::Active,
            assignment.residency == Residency::OnDemand,
            in_zone.unwrap_or(0),
            engine.map_or(0, |engine| engine.pressure_with(model)),
        )
    }

    /// Residents beyond `min_replicas` become on-demand.
    fn convert_to_on_demand(&mut self, model: &Model, replicas: &mut Replicas) {
        for index in (0..replicas.kept.len()).rev() {
            if replicas.residents() <= model.min_replicas {
                return;
            }
            if replicas.kept[index].residency != Residency::OnDemand {
                self.convert(model, replicas, index, Residency::OnDemand);
            }
        }
    }

    /// On-demand replicas become resident where they are.
    fn convert_to_resident(&mut self, model: &Model, replicas: &mut Replicas) {
        for index in 0..replicas.kept.len() {
            if replicas.residents() >= model.min_replicas {
                return;
            }
            if replicas.kept[index].residency != Residency::OnDemand {
                continue;
            }
            let engine = self.occupancy.engines.get(&replicas.kept[index].engine);
            let accelerators = engine.and_then(|engine| engine.accelerators_for_resident(model));
            if let Some(accelerators) = accelerators {
                self.convert(model, replicas, index, Residency::Resident { accelerators });
            }
        }
    }

    fn convert(&mut self, model: &Model, replicas: &mut Replicas, index: usize, residency: Residency) {
        let assignment = &mut replicas.kept[index];
        self.occupancy.remove(model, assignment);
        assignment.residency = residency;
        self.occupancy.add(model, assignment);
        replicas.converted.insert(assignment.engine.clone());
    }

    fn add_residents(&mut self, model: &Model, replicas: &mut Replicas, placement: &mut ModelPlacement) {
        while replicas.residents() < model.min_replicas {
            let chosen = self.choose(model, replicas, |engine| engine.accelerators_for_resident(model));
            let Some((engine, accelerators)) = chosen else {
                placement.missing_residents = model.min_replicas - replicas.residents();
                return;
            };
            if replicas.count() >= model.max_replicas {
                self.make_place(model, replicas, placement);
            }
            self.add(model, replicas, engine, Residency::Resident { accelerators });
        }
    }

    /// Ends an on-demand replica that cannot become resident where it is, in
    /// favour of a resident one elsewhere.
    fn make_place(&mut self, model: &Model, replicas: &mut Replicas, placement: &mut ModelPlacement) {
        let on_demand = |assignment: &Assignment| assignment.residency == Residency::OnDemand;
        let Some(index) = replicas.kept.iter().position(on_demand) else {
            return;
        };
        let assignment = replicas.kept.remove(index);
        self.occupancy.remove(model, &assignment);
        self.end(assignment, placement);
    }

    fn add_on_demand(&mut self, model: &Model, replicas: &mut Replicas, placement: &mut ModelPlacement) {
        while replicas.count() < model.max_replicas {
            let fits = |engine: &EngineOccupancy| engine.fits_on_demand(model).then_some(());
            let Some((engine, ())) = self.choose(model, replicas, fits) else {
                placement.missing_replicas = model.max_replicas - replicas.count();
                return;
            };
            self.add(model, replicas, engine, Residency::OnDemand);
        }
    }

    fn add(&mut self, model: &Model, replicas: &mut Replicas, engine: EngineId, residency: Residency) {
        let assignment = Assignment {
            model: model.id.clone(),
            engine: engine.clone(),
            residency,
            state: AssignmentState::Active,
        };
        self.occupancy.add(model, &assignment);
        replicas.used.insert(engine);
        replicas.added.push(assignment);
    }

    /// The best engine for one more replica, with what `fits` said of it.
    fn choose<T>(
        &self,
        model: &Model,
        replicas: &Replicas,
        fits: impl Fn(&EngineOccupancy) -> Option<T>,
    ) -> Option<(EngineId, T)> {
        let spread = ReplicaSpread {
            taken: &replicas.used,
            by_zone: self.occupancy.replicas_by_zone(replicas.engines()),
        };
        self.occupancy.best_engine(&spread, fits, |id, engine| {
            engine.pressure_with(model) + self.locality_penalty(id, model)
        })
    }

    fn locality_penalty(&self, engine: &EngineId, model: &Model) -> u64 {
        match self.facts.cache_level(engine, &model.id) {
            CacheLevel::Memory => 0,
            CacheLevel::Disk => DISK_PENALTY,
            CacheLevel::Remote => REMOTE_PENALTY,
        }
    }
}

/// The replicas of the model that is being placed.
struct Replicas {
    kept: Vec<Assignment>,
    converted: BTreeSet<EngineId>,
    added: Vec<Assignment>,
    /// Engines that cannot take another replica of the model.
    used: BTreeSet<EngineId>,
    /// Engines whose releases were not confirmed yet before the plan.
    releasing: Vec<EngineId>,
}

impl Replicas {
    fn new(model: &Model, before: &ClusterState, kept: Vec<Assignment>) -> Self {
        let assignments = || before.assignments_of_model(&model.id);
        let releasing = assignments().filter(|a| a.state == AssignmentState::Releasing);
        Self {
            kept,
            converted: BTreeSet::new(),
            added: Vec::new(),
            used: assignments().map(|a| a.engine.clone()).collect(),
            releasing: releasing.map(|a| a.engine.clone()).collect(),
        }
    }

    fn count(&self) -> u32 {
        (self.kept.len() + self.added.len()) as u32
    }

    fn residents(&self) -> u32 {
        let all = self.kept.iter().chain(&self.added);
        all.filter(|a| a.residency != Residency::OnDemand).count() as u32
    }

    fn engines(&self) -> impl Iterator<Item = &EngineId> {
        self.kept.iter().chain(&self.added).map(|a| &a.engine)
    }

    /// Lets the new replicas wait that would exceed the most of the model, and
    /// sorts the kept ones into unchanged and converted.
    fn finish(mut self, model: &Model, placement: &mut ModelPlacement) {
        self.let_excess_wait(model, placement);
        placement.added = self.added;
        for assignment in self.kept {
            if self.converted.contains(&assignment.engine) {
                placement.converted.push(assignment);
            } else {
                placement.kept.push(assignment);
            }
        }
    }

    fn let_excess_wait(&mut self, model: &Model, placement: &ModelPlacement) {
        let newly_releasing = placement.released.iter().filter(|a| a.counts_as_replica());
        let awaited: Vec<EngineId> = newly_releasing
            .map(|a| a.engine.clone())
            .chain(self.releasing.iter().cloned())
            .collect();
        let active = self.kept.iter().filter(|a| a.counts_as_replica()).count();
        let allowed = (model.max_replicas as usize).saturating_sub(active + awaited.len());
        let excess = self.added.iter_mut().skip(allowed);
        for (assignment, engine) in excess.zip(awaited.iter().cycle()) {
            assignment.state = AssignmentState::WaitingFor {
                engine: engine.clone(),
            };
        }
    }
}
