//! The memory that each engine has left, as assignments are drafted.

use crate::configuration::Model;
use crate::identifiers::{EngineId, ModelId, ZoneId};
use crate::placement::{Assignment, Engine, Residency};
use xxhash_rust::xxh3::xxh3_64;

/// Memory that an on-demand assignment needs beside the residents.
#[derive(Clone, Copy)]
struct Need {
    accelerators: usize,
    memory_mib: u64,
}

/// One engine, with what residents leave free.
pub(super) struct EngineRoom {
    pub(super) id: EngineId,
    pub(super) zone: ZoneId,
    free_mib: Vec<u64>,
    total_mib: u64,
    promised_mib: u64,
    on_demand: Vec<Need>,
}

impl EngineRoom {
    /// An engine that holds nothing.
    pub(super) fn new(engine: &Engine) -> Self {
        Self {
            id: engine.id.clone(),
            zone: engine.zone.clone(),
            free_mib: engine.accelerator_memory_mib.clone(),
            total_mib: engine.accelerator_memory_mib.iter().sum::<u64>().max(1),
            promised_mib: 0,
            on_demand: Vec::new(),
        }
    }

    /// Counts an assignment that is not being released.
    pub(super) fn count(&mut self, assignment: &Assignment, model: &Model) {
        let need = need_of(model);
        self.promised_mib += need.accelerators as u64 * need.memory_mib;
        match &assignment.residency {
            Residency::Resident { accelerators } => self.take(accelerators, need.memory_mib),
            Residency::OnDemand => self.on_demand.push(need),
        }
    }

    /// Counts the memory that a releasing replica holds on each of its
    /// accelerators, whatever its model's record says by now.
    pub(super) fn count_releasing(&mut self, assignment: &Assignment, held_mib: u64) {
        if let Residency::Resident { accelerators } = &assignment.residency {
            self.promised_mib += accelerators.len() as u64 * held_mib;
            self.take(accelerators, held_mib);
        }
    }

    fn take(&mut self, accelerators: &[u32], memory_mib: u64) {
        for accelerator in accelerators {
            if let Some(free) = self.free_mib.get_mut(*accelerator as usize) {
                *free = free.saturating_sub(memory_mib);
            }
        }
    }

    /// Whether a replica fits when nothing but the residents is loaded.
    pub(super) fn fits_on_demand(&self, model: &Model) -> bool {
        fits(&self.free_mib, need_of(model))
    }

    /// Accelerators that can be reserved for a replica without taking the last
    /// room of any on-demand assignment; the fullest that fit.
    pub(super) fn resident_place(&self, model: &Model) -> Option<Vec<u32>> {
        let need = need_of(model);
        let mut fitting: Vec<usize> = (0..self.free_mib.len())
            .filter(|&index| self.free_mib[index] >= need.memory_mib)
            .collect();
        fitting.sort_by_key(|&index| (self.free_mib[index], index));
        fitting.truncate(need.accelerators);
        if fitting.len() < need.accelerators {
            return None;
        }
        let mut left = self.free_mib.clone();
        for &index in &fitting {
            left[index] -= need.memory_mib;
        }
        if !self.on_demand.iter().all(|need| fits(&left, *need)) {
            return None;
        }
        fitting.sort_unstable();
        Some(fitting.into_iter().map(|index| index as u32).collect())
    }

    /// Memory promised to assignments, in thousandths of all of it. Above 1000
    /// the on-demand assignments cannot all be loaded at once.
    pub(super) fn promised_thousandths(&self) -> u64 {
        self.promised_mib.saturating_mul(1_000) / self.total_mib
    }

    /// Spreads models over engines that are equally good.
    pub(super) fn tie_break(&self, model: &ModelId) -> u64 {
        xxh3_64(format!("{model}\0{}", self.id).as_bytes())
    }
}

fn need_of(model: &Model) -> Need {
    Need {
        accelerators: model.accelerators as usize,
        memory_mib: model.memory_mib_per_accelerator,
    }
}

fn fits(free_mib: &[u64], need: Need) -> bool {
    let fitting = free_mib.iter().filter(|&&free| free >= need.memory_mib).count();
    fitting >= need.accelerators
}
