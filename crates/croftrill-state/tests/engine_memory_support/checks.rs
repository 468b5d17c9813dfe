//! What must hold at any time, and once the failures are over.

use super::*;

impl World {
    pub(super) fn truly_taken(&self) -> Vec<u64> {
        let mut taken = vec![0; ACCELERATORS];
        for held in self.engine.values() {
            let adapters: u64 = held.adapters.values().map(|adapter| adapter.memory).sum();
            for accelerator in &held.accelerators {
                taken[*accelerator as usize] += held.memory + adapters;
            }
        }
        taken
    }

    pub(super) fn check_engine(&self) {
        for taken in self.truly_taken() {
            assert!(taken <= CAPACITY, "the engine's memory is overcommitted");
        }
    }

    pub fn check(&self) {
        self.check_engine();
        let committed = self.memory.committed();
        let truly = self.truly_taken();
        for (committed, truly) in committed.iter().zip(&truly) {
            assert!(*committed <= CAPACITY, "memory is overcommitted");
            assert!(committed >= truly, "the engine holds more than is accounted for");
        }
    }

    /// Lets everything on its way arrive and the failures be over.
    pub fn settle(&mut self) {
        for _ in 0..60 {
            while !self.orders.is_empty() {
                self.deliver(0, Delivery::Answered);
            }
            self.late.clear();
            self.former_owners_requests_end();
            while self.runs.iter().any(|run| run.token == self.token) {
                self.end_use(0);
            }
            self.loads_finish();
            self.snapshots.clear();
            self.ask_inventory();
            self.take_inventory(0);
            self.record_releases();
            self.pass(1_000);
            self.decide();
            self.check();
        }
    }

    pub fn check_settled(&self) {
        for (id, assigned) in &self.log {
            assert_ne!(assigned.state, AssignmentState::Releasing, "{id} not released");
            let resident = matches!(assigned.residency, Residency::Resident { .. });
            if resident && assigned.state == AssignmentState::Active {
                let held = self.engine.get(id).expect("a resident is not loaded");
                assert_eq!(held.version, assigned.model.version);
            }
        }
        for id in self.engine.keys() {
            let active = |assigned: &AssignedModel| assigned.state == AssignmentState::Active;
            assert!(self.log.get(id).is_some_and(active), "{id} is held unassigned");
        }
    }

    pub fn check_can_wake(&mut self, target: &Target) {
        let assigned = self.log.get(&target.model);
        if assigned.is_none_or(|assigned| assigned.state != AssignmentState::Active) {
            return;
        }
        for _ in 0..20 {
            self.demand(target.clone(), 60_000);
            self.decide();
            while !self.orders.is_empty() {
                self.deliver(0, Delivery::Answered);
            }
            self.loads_finish();
            self.ask_inventory();
            self.take_inventory(0);
            self.check();
            self.pass(1_000);
        }
        assert!(self.memory.is_usable(target), "{} cannot be woken", target.model);
        self.withdraw(target);
    }
}
