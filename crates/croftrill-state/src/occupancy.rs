//! Memory of the engines while assignments are planned: what residents leave
//! free and how much on-demand replicas share it.
//!
//! Serves the planner of operators' intents and the coordinator's own plans, so
//! that both judge alike whether a replica fits. Invariant: a replica that fits
//! here is one that the state accepts: it fits beside the residents, and takes
//! the last room of no on-demand replica.

use crate::configuration::Model;
use crate::identifiers::{EngineId, ModelId, ZoneId};
use crate::placement::{Assignment, AssignmentState, Engine, Lifecycle, Residency};
use crate::ClusterState;
use std::collections::{BTreeMap, BTreeSet};

/// Pressure of an engine on which on-demand replicas would take exactly the
/// memory that is free, in thousandths.
const FULL_THOUSANDTHS: u64 = 1000;

/// What one on-demand replica needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Need {
    accelerators: usize,
    memory_mib: u64,
}

impl Need {
    fn of(model: &Model) -> Self {
        Self {
            accelerators: model.accelerators as usize,
            memory_mib: model.memory_mib_per_accelerator,
        }
    }

    fn total_mib(&self) -> u64 {
        self.memory_mib.saturating_mul(self.accelerators as u64)
    }

    fn fits(&self, free: &[i64]) -> bool {
        let needed = signed(self.memory_mib);
        let fitting = free.iter().filter(|&&memory| memory >= needed).count();
        fitting >= self.accelerators
    }
}

/// One engine.
#[derive(Clone, Debug)]
pub(crate) struct EngineOccupancy {
    /// Its zone.
    pub zone: ZoneId,
    /// Whether it takes new work.
    pub live: bool,
    /// Memory of each accelerator that residents leave free, in MiB; negative
    /// if a machine came back smaller than what it still holds.
    free_mib: Vec<i64>,
    /// Memory of all its accelerators, in MiB.
    total_mib: u64,
    on_demand: BTreeMap<ModelId, Need>,
}

impl EngineOccupancy {
    fn empty(engine: &Engine) -> Self {
        Self {
            zone: engine.zone.clone(),
            live: engine.lifecycle == Lifecycle::Live,
            free_mib: engine
                .accelerator_memory_mib
                .iter()
                .copied()
                .map(signed)
                .collect(),
            total_mib: engine.accelerator_memory_mib.iter().sum(),
            on_demand: BTreeMap::new(),
        }
    }

    /// Whether one more on-demand replica fits beside the residents.
    pub fn fits_on_demand(&self, model: &Model) -> bool {
        Need::of(model).fits(&self.free_mib)
    }

    /// Accelerators for a new resident that leave every on-demand replica room:
    /// the fullest that fit, else the emptiest.
    pub fn accelerators_for_resident(&self, model: &Model) -> Option<Vec<u32>> {
        let needed = model.accelerators as usize;
        let memory = signed(model.memory_mib_per_accelerator);
        let mut fitting: Vec<u32> = (0..self.free_mib.len() as u32)
            .filter(|&index| self.free_mib[index as usize] >= memory)
            .collect();
        if fitting.len() < needed {
            return None;
        }
        fitting.sort_by_key(|&index| self.free_mib[index as usize]);
        let fullest = fitting[..needed].to_vec();
        let emptiest = fitting[fitting.len() - needed..].to_vec();
        [fullest, emptiest]
            .into_iter()
            .find(|accelerators| self.leaves_room(model, accelerators))
            .map(sorted)
    }

    /// Whether a resident on these accelerators fits and leaves room.
    pub fn fits_resident(&self, model: &Model, accelerators: &[u32]) -> bool {
        let distinct: BTreeSet<&u32> = accelerators.iter().collect();
        distinct.len() == model.accelerators as usize
            && accelerators.len() == distinct.len()
            && self.leaves_room(model, accelerators)
    }

    fn leaves_room(&self, model: &Model, accelerators: &[u32]) -> bool {
        let memory = signed(model.memory_mib_per_accelerator);
        let mut free = self.free_mib.clone();
        for accelerator in accelerators {
            let Some(slot) = free.get_mut(*accelerator as usize) else {
                return false;
            };
            *slot -= memory;
            if *slot < 0 {
                return false;
            }
        }
        self.on_demand
            .iter()
            .filter(|(other, _)| **other != model.id)
            .all(|(_, need)| need.fits(&free))
    }

    fn change_free(&mut self, accelerators: &[u32], by_mib: i64) {
        for accelerator in accelerators {
            if let Some(slot) = self.free_mib.get_mut(*accelerator as usize) {
                *slot += by_mib;
            }
        }
    }

    /// Memory that all on-demand replicas would take against what is free, in
    /// thousandths, with one more replica.
    pub fn pressure_with(&self, model: &Model) -> u64 {
        self.pressure(Need::of(model).total_mib())
    }

    /// The same for the replicas that are there.
    pub fn present_pressure(&self) -> u64 {
        self.pressure(0)
    }

    fn pressure(&self, more_mib: u64) -> u64 {
        let free: i64 = self.free_mib.iter().map(|&memory| memory.max(0)).sum();
        let wanted = self.on_demand_mib().saturating_add(more_mib);
        wanted.saturating_mul(FULL_THOUSANDTHS) / free.max(1).unsigned_abs()
    }

    /// Memory promised to residents and on-demand replicas, in thousandths of
    /// all of it. Above 1000 they cannot all be loaded at once.
    pub fn promised_thousandths(&self) -> u64 {
        let free: i64 = self.free_mib.iter().sum();
        let residents = signed(self.total_mib).saturating_sub(free).max(0).unsigned_abs();
        let promised = residents.saturating_add(self.on_demand_mib());
        promised.saturating_mul(FULL_THOUSANDTHS) / self.total_mib.max(1)
    }

    fn on_demand_mib(&self) -> u64 {
        self.on_demand.values().map(Need::total_mib).sum()
    }
}

/// Memory sizes stay far below 2^63 MiB.
fn signed(memory_mib: u64) -> i64 {
    i64::try_from(memory_mib).unwrap_or(i64::MAX / 2)
}

fn sorted(mut accelerators: Vec<u32>) -> Vec<u32> {
    accelerators.sort_unstable();
    accelerators
}

/// What is known of a model's replicas when an engine is chosen for one more.
pub(crate) struct ReplicaSpread<'a> {
    /// Engines that cannot take another replica of the model.
    pub taken: &'a BTreeSet<EngineId>,
    /// Replicas of the model in each zone.
    pub by_zone: BTreeMap<ZoneId, usize>,
}

/// All engines with all that is assigned to them.
#[derive(Clone, Debug)]
pub(crate) struct Occupancy {
    /// By name.
    pub engines: BTreeMap<EngineId, EngineOccupancy>,
}

impl Occupancy {
    /// The occupancy that a state decides.
    pub fn of(state: &ClusterState) -> Self {
        Self::of_engines(state, state.engines.values().map(|engine| &engine.value))
    }

    /// The same for these engines only, which may differ from the state's.
    pub fn of_engines<'e>(state: &ClusterState, engines: impl Iterator<Item = &'e Engine>) -> Self {
        let engines = engines
            .map(|engine| (engine.id.clone(), EngineOccupancy::empty(engine)))
            .collect();
        let mut occupancy = Self { engines };
        for assignment in state.all_assignments() {
            if assignment.state == AssignmentState::Releasing {
                let held = state.releasing_memory(&assignment.model, &assignment.engine);
                occupancy.hold(assignment, held);
            } else if let Some(model) = state.models.get(&assignment.model) {
                occupancy.add(&model.value, assignment);
            }
        }
        occupancy
    }

    /// Takes over which engines are live.
    pub fn take_lifecycles(&mut self, state: &ClusterState) {
        for (id, engine) in &mut self.engines {
            engine.live = state
                .engines
                .get(id)
                .is_some_and(|found| found.value.lifecycle == Lifecycle::Live);
        }
    }

    /// Notes a replica that has the right to be loaded.
    pub fn add(&mut self, model: &Model, assignment: &Assignment) {
        let Some(engine) = self.engines.get_mut(&assignment.engine) else {
            return;
        };
        match &assignment.residency {
            Residency::Resident { accelerators } => {
                engine.change_free(accelerators, -signed(model.memory_mib_per_accelerator));
            }
            Residency::OnDemand => {
                engine.on_demand.insert(model.id.clone(), Need::of(model));
            }
        }
    }

    /// Forgets a replica noted by [`Occupancy::add`] with the same model.
    pub fn remove(&mut self, model: &Model, assignment: &Assignment) {
        let Some(engine) = self.engines.get_mut(&assignment.engine) else {
            return;
        };
        match &assignment.residency {
            Residency::Resident { accelerators } => {
                engine.change_free(accelerators, signed(model.memory_mib_per_accelerator));
            }
            Residency::OnDemand => {
                engine.on_demand.remove(&model.id);
            }
        }
    }

    /// Replicas in each zone, of those on the given engines.
    pub fn replicas_by_zone<'e>(
        &self,
        engines: impl Iterator<Item = &'e EngineId>,
    ) -> BTreeMap<ZoneId, usize> {
        let mut zones = BTreeMap::new();
        for engine in engines.filter_map(|id| self.engines.get(id)) {
            *zones.entry(engine.zone.clone()).or_default() += 1;
        }
        zones
    }

    /// The best live engine for one more replica of a model, with what `fits`
    /// said of it: in the zone with the fewest replicas, there with the lowest
    /// cost.
    pub fn best_engine<T, C: Ord>(
        &self,
        spread: &ReplicaSpread,
        fits: impl Fn(&EngineOccupancy) -> Option<T>,
        cost: impl Fn(&EngineId, &EngineOccupancy) -> C,
    ) -> Option<(EngineId, T)> {
        let fitting = self.engines.iter().filter_map(|(id, engine)| {
            if !engine.live || spread.taken.contains(id) {
                return None;
            }
            let fitting = fits(engine)?;
            let in_zone = spread.by_zone.get(&engine.zone).copied().unwrap_or(0);
            Some(((in_zone, cost(id, engine), id), fitting))
        });
        let (key, fitting) = fitting.min_by(|(left, _), (right, _)| left.cmp(right))?;
        Some((key.2.clone(), fitting))
    }

    /// Notes the memory that a releasing resident still holds.
    pub fn hold(&mut self, assignment: &Assignment, held_mib: u64) {
        let Residency::Resident { accelerators } = &assignment.residency else {
            return;
        };
        if let Some(engine) = self.engines.get_mut(&assignment.engine) {
            engine.change_free(accelerators, -signed(held_mib));
        }
    }
}
