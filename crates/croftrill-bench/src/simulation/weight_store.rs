//! The weight store: it starts loads at its rate, runs a number of them at full
//! speed, shares its bandwidth among more, and is slow at times.

use crate::identifiers::{Micros, SECOND};
use crate::scenario::WeightStoreProfile;
use std::collections::BTreeMap;

/// A transfer that ends within this much is done, in MiB.
const ROUNDING_MIB: f64 = 1e-6;

/// The store.
#[derive(Clone, Debug)]
pub struct WeightStore {
    profile: WeightStoreProfile,
    next_start: Micros,
    /// MiB left of each transfer.
    transfers: BTreeMap<u64, f64>,
    updated: Micros,
    /// Raised with each change; a check of an earlier one is void.
    generation: u64,
    busy_slot_micros: f64,
    most_at_once: usize,
    moved_mib: f64,
}

impl WeightStore {
    pub(super) fn new(profile: WeightStoreProfile) -> Self {
        Self {
            profile,
            next_start: 0,
            transfers: BTreeMap::new(),
            updated: 0,
            generation: 0,
            busy_slot_micros: 0.0,
            most_at_once: 0,
            moved_mib: 0.0,
        }
    }

    /// Reserves the next start at the store's rate; returns its time.
    pub(super) fn reserve_start(&mut self, now: Micros) -> Micros {
        let start = self.next_start.max(now);
        let gap = SECOND as f64 / self.profile.loads_per_second;
        self.next_start = start + gap as Micros;
        start
    }

    /// Starts a transfer.
    pub(super) fn begin(&mut self, now: Micros, load: u64, mib: u64) {
        self.advance(now);
        self.transfers.insert(load, mib as f64);
        self.most_at_once = self.most_at_once.max(self.transfers.len());
        self.generation += 1;
    }

    /// Ends transfers that are done; void if the generation is an old one.
    pub(super) fn take_done(&mut self, now: Micros, generation: u64) -> Vec<u64> {
        if generation != self.generation {
            return Vec::new();
        }
        self.advance(now);
        self.generation += 1;
        let done: Vec<u64> = self
            .transfers
            .iter()
            .filter(|(_, left)| **left <= ROUNDING_MIB)
            .map(|(load, _)| *load)
            .collect();
        for load in &done {
            self.transfers.remove(load);
        }
        done
    }

    /// When to check again, and with which generation.
    pub(super) fn next_check(&self) -> Option<(Micros, u64)> {
        let least = self.transfers.values().copied().min_by(f64::total_cmp)?;
        let micros = (least / self.mib_per_micro(self.updated)).ceil() as Micros;
        let done = self.updated + micros.max(1);
        let change = self.next_speed_change(self.updated).unwrap_or(Micros::MAX);
        Some((done.min(change), self.generation))
    }

    /// Transfers that run now.
    pub fn running(&self) -> usize {
        self.transfers.len()
    }

    /// Most transfers that ever ran at once.
    pub fn most_at_once(&self) -> usize {
        self.most_at_once
    }

    /// Time that slots at full speed were in use, in microseconds times slots.
    pub fn busy_slot_micros(&self) -> f64 {
        self.busy_slot_micros
    }

    /// What it has sent, in MiB.
    pub fn moved_mib(&self) -> f64 {
        self.moved_mib
    }

    fn advance(&mut self, now: Micros) {
        let elapsed = now.saturating_sub(self.updated) as f64;
        let moved = elapsed * self.mib_per_micro(self.updated);
        for left in self.transfers.values_mut() {
            *left -= moved;
        }
        let slots = self.transfers.len().min(self.profile.concurrent_loads);
        self.busy_slot_micros += elapsed * slots as f64;
        self.moved_mib += moved * self.transfers.len() as f64;
        self.updated = now;
    }

    /// Speed of each transfer. Speed changes only at checks, since each speed
    /// change has its own check.
    fn mib_per_micro(&self, at: Micros) -> f64 {
        let full = self.profile.mib_per_second as f64 / SECOND as f64;
        let sharing = self.transfers.len() as f64 / self.profile.concurrent_loads as f64;
        full / sharing.max(1.0) / self.slowness(at)
    }

    fn slowness(&self, at: Micros) -> f64 {
        self.profile
            .slowdowns
            .iter()
            .filter(|slow| slow.from_second * SECOND <= at && at < slow.to_second * SECOND)
            .map(|slow| slow.factor)
            .fold(1.0, f64::max)
    }

    fn next_speed_change(&self, after: Micros) -> Option<Micros> {
        self.profile
            .slowdowns
            .iter()
            .flat_map(|slow| [slow.from_second * SECOND, slow.to_second * SECOND])
            .filter(|change| *change > after)
            .min()
    }
}
