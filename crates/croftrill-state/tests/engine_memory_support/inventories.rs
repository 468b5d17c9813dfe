//! What the owner learns of the engine, and when.

use super::*;

impl World {
    pub fn ask_inventory(&mut self) {
        let ticket = self.memory.inventory_asked(self.now);
        self.inventories_asked += 1;
        let replicas = self.engine.iter().map(|(id, held)| HeldReplica {
            model: id.clone(),
            version: held.version,
            loaded: held.loaded,
            accelerators: held.accelerators.clone(),
            memory_mib_per_accelerator: held.memory,
            adapters: held
                .adapters
                .iter()
                .map(|(id, held)| HeldAdapterReplica {
                    adapter: id.clone(),
                    version: held.version,
                    loaded: held.loaded,
                    memory_mib_per_accelerator: held.memory,
                })
                .collect(),
        });
        let report = HeldReport {
            replicas: replicas.collect(),
            others_running: self.runs.iter().any(|run| run.token < self.token),
            ..HeldReport::default()
        };
        self.snapshots.push(Snapshot {
            token: self.token,
            number: self.inventories_asked,
            ticket,
            report,
        });
    }

    pub fn take_inventory(&mut self, number: usize) {
        if self.snapshots.is_empty() {
            return;
        }
        let snapshot = self.snapshots.remove(number % self.snapshots.len());
        if snapshot.token < self.token {
            return;
        }
        let newest = self.snapshots.is_empty();
        self.memory.reconcile(snapshot.ticket, snapshot.report, self.now);
        self.newest_inventory = self.newest_inventory.max(Some(snapshot.number));
        if newest {
            self.restart_unseen = false;
        }
    }

    /// An inventory without delay; older answers are lost.
    pub fn look(&mut self) {
        self.snapshots.clear();
        self.ask_inventory();
        self.take_inventory(0);
    }

    /// A new owner that has not heard from the engine.
    pub fn forget_inventory(&mut self) {
        self.memory = memory(self.eviction);
        self.snapshots.clear();
        self.newest_inventory = None;
        self.releases.clear();
        self.apply_log();
    }

    pub(super) fn fence(&mut self) {
        self.ask_inventory();
        self.take_inventory(0);
    }
}
