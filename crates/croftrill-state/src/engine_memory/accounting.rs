//! Memory of each accelerator: what is held, reserved and free.

use super::EngineMemory;
use crate::identifiers::ModelId;
use crate::placement::Residency;

impl EngineMemory {
    /// Memory taken on each accelerator by everything held, reserved or not
    /// confirmed as unloaded, in MiB.
    pub fn committed(&self) -> Vec<u64> {
        let mut committed = vec![0; self.capacity.len()];
        for replica in self.replicas.values() {
            add_to(&mut committed, &replica.accelerators, replica.footprint());
        }
        committed
    }

    /// Memory of each accelerator that is neither committed nor kept for a
    /// resident other than `beside`, in MiB.
    pub(super) fn free(&self, beside: Option<&ModelId>) -> Vec<u64> {
        let mut taken = self.committed();
        for assigned in self.assigned.values() {
            let Residency::Resident { accelerators } = &assigned.residency else {
                continue;
            };
            if Some(&assigned.model.id) == beside || self.replicas.contains_key(&assigned.model.id) {
                continue;
            }
            add_to(
                &mut taken,
                accelerators,
                assigned.model.memory_mib_per_accelerator,
            );
        }
        self.capacity
            .iter()
            .zip(&taken)
            .map(|(capacity, taken)| capacity.saturating_sub(*taken))
            .collect()
    }
}

fn add_to(sums: &mut [u64], accelerators: &[u32], memory: u64) {
    for accelerator in accelerators {
        if let Some(sum) = sums.get_mut(*accelerator as usize) {
            *sum += memory;
        }
    }
}
