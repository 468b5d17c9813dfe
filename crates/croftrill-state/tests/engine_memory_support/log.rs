//! The log's side of the model: assignments, releases and their revisions.

use super::*;

impl World {
    pub(super) fn apply_log(&mut self) {
        let known = std::mem::take(&mut self.releases);
        for (id, assigned) in &self.log {
            if assigned.state == AssignmentState::Releasing {
                let new = (assigned.changed_at, self.inventories_asked);
                let same = known.get(id).filter(|known| known.0 == new.0);
                self.releases.insert(id.clone(), *same.unwrap_or(&new));
            }
        }
        let assigned = self.log.values().cloned().collect();
        self.memory
            .set_assignments(vec![CAPACITY; ACCELERATORS], assigned, self.adapters.clone());
    }

    pub(super) fn is_valid(log: &BTreeMap<ModelId, AssignedModel>) -> bool {
        let mut free = [CAPACITY; ACCELERATORS];
        for assigned in log.values() {
            if let Residency::Resident { accelerators } = &assigned.residency {
                for accelerator in accelerators {
                    let slot = &mut free[*accelerator as usize];
                    match slot.checked_sub(assigned.model.memory_mib_per_accelerator) {
                        Some(left) => *slot = left,
                        None => return false,
                    }
                }
            }
        }
        log.values().all(|assigned| {
            let need = assigned.model.memory_mib_per_accelerator;
            let fitting = free.iter().filter(|free| **free >= need).count();
            assigned.residency != Residency::OnDemand
                || assigned.state == AssignmentState::Releasing
                || fitting >= assigned.model.accelerators as usize
        })
    }

    pub(super) fn change_log(&mut self, change: impl FnOnce(&mut BTreeMap<ModelId, AssignedModel>)) {
        let mut next = self.log.clone();
        change(&mut next);
        if Self::is_valid(&next) {
            self.revision = self.revision.next();
            for (id, assigned) in &mut next {
                let before = self.log.get(id);
                let changed = before.is_none_or(|before| {
                    before.state != assigned.state || before.residency != assigned.residency
                });
                if changed {
                    assigned.changed_at = self.revision;
                }
            }
            self.log = next;
            self.apply_log();
        }
    }

    pub fn assign(&mut self, number: usize, residency: Residency, state: AssignmentState) {
        let model = self.models[number].clone();
        self.change_log(|log| {
            log.insert(
                model.id.clone(),
                AssignedModel {
                    model,
                    residency,
                    state,
                    changed_at: Revision(0),
                },
            );
        });
    }

    pub fn release(&mut self, number: usize) {
        self.change_log(|log| {
            if let Some(assigned) = log.get_mut(&model_id(number)) {
                assigned.state = AssignmentState::Releasing;
            }
        });
    }

    pub fn record_releases(&mut self) {
        for ConfirmedRelease {
            model: released,
            release,
        } in self.memory.released()
        {
            let (present, asked_before) = self.releases[&released];
            assert_eq!(release, present, "{released} reported for another release");
            assert!(
                self.newest_inventory.is_some_and(|newest| newest > asked_before),
                "{released} reported from an inventory asked for before its release"
            );
            if !self.restart_unseen {
                assert!(
                    !self.engine.contains_key(&released),
                    "{released} reported but held"
                );
            }
            self.change_log(|log| {
                log.remove(&released);
            });
        }
    }

    pub fn unassign(&mut self, number: usize) {
        self.change_log(|log| {
            log.remove(&model_id(number));
        });
    }

    pub fn new_version(&mut self, number: usize) {
        self.models[number].version += 1;
        let model = self.models[number].clone();
        self.change_log(|log| {
            if let Some(assigned) = log.get_mut(&model.id) {
                assigned.model = model;
            }
        });
    }

    pub fn new_adapter_version(&mut self, number: usize) {
        self.adapters[number].version += 1;
        self.apply_log();
    }
}
