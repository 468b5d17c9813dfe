//! Checkpoints kept on the engine's machine, the least recently used evicted.

use croftrill_state::ModelId;

pub(super) struct CheckpointCache {
    max_mib: u64,
    /// The least recently used first.
    checkpoints: Vec<(ModelId, u64)>,
}

impl CheckpointCache {
    pub(super) fn new(max_mib: u64) -> Self {
        Self {
            max_mib,
            checkpoints: Vec::new(),
        }
    }

    pub(super) fn contains(&self, model: &ModelId) -> bool {
        self.checkpoints.iter().any(|(cached, _)| cached == model)
    }

    pub(super) fn insert(&mut self, model: &ModelId, mib: u64) {
        self.checkpoints.retain(|(cached, _)| cached != model);
        if mib > self.max_mib {
            return;
        }
        self.checkpoints.push((model.clone(), mib));
        while self.used_mib() > self.max_mib {
            self.checkpoints.remove(0);
        }
    }

    pub(super) fn models(&self) -> Vec<ModelId> {
        self.checkpoints.iter().map(|(model, _)| model.clone()).collect()
    }

    pub(super) fn clear(&mut self) {
        self.checkpoints.clear();
    }

    fn used_mib(&self) -> u64 {
        self.checkpoints.iter().map(|(_, mib)| mib).sum()
    }
}
