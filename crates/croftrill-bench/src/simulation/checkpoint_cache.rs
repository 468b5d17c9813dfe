//! Checkpoints in a machine's memory and on its disk, the least recently used
//! given up first.

use crate::identifiers::ModelIndex;
use std::collections::VecDeque;

/// Where a load reads its checkpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum CheckpointSource {
    /// The machine's memory.
    Memory,
    /// The machine's disk.
    Disk,
    /// The weight store.
    Remote,
}

/// One level of the cache.
#[derive(Clone, Debug)]
struct Level {
    capacity_mib: u64,
    /// The most recently used last.
    held: VecDeque<(ModelIndex, u64)>,
}

impl Level {
    fn new(capacity_mib: u64) -> Self {
        Self {
            capacity_mib,
            held: VecDeque::new(),
        }
    }

    fn holds(&self, model: ModelIndex) -> bool {
        self.held.iter().any(|(held, _)| *held == model)
    }

    fn put(&mut self, model: ModelIndex, mib: u64) {
        self.held.retain(|(held, _)| *held != model);
        if mib > self.capacity_mib {
            return;
        }
        self.held.push_back((model, mib));
        while self.held.iter().map(|(_, mib)| mib).sum::<u64>() > self.capacity_mib {
            self.held.pop_front();
        }
    }
}

/// The cache of one machine.
#[derive(Clone, Debug)]
pub(super) struct CheckpointCache {
    memory: Level,
    disk: Level,
}

impl CheckpointCache {
    pub(super) fn new(memory_mib: u64, disk_mib: u64) -> Self {
        Self {
            memory: Level::new(memory_mib),
            disk: Level::new(disk_mib),
        }
    }

    pub(super) fn put_on_disk(&mut self, model: ModelIndex, mib: u64) {
        self.disk.put(model, mib);
    }

    /// Records that a checkpoint was read.
    pub(super) fn used(&mut self, model: ModelIndex, mib: u64) {
        self.memory.put(model, mib);
        self.disk.put(model, mib);
    }

    pub(super) fn in_memory(&self) -> impl Iterator<Item = ModelIndex> + '_ {
        self.memory.held.iter().map(|(model, _)| *model)
    }

    pub(super) fn on_disk(&self) -> impl Iterator<Item = ModelIndex> + '_ {
        self.disk.held.iter().map(|(model, _)| *model)
    }

    pub(super) fn source(&self, model: ModelIndex) -> CheckpointSource {
        if self.memory.holds(model) {
            CheckpointSource::Memory
        } else if self.disk.holds(model) {
            CheckpointSource::Disk
        } else {
            CheckpointSource::Remote
        }
    }
}
