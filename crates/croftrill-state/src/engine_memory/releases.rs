//! Releases under way and their confirmation.
//!
//! A release is named by its revision. It is confirmed once the engine is known
//! not to hold the model by an inventory that was asked for after the release
//! was learned.

use super::{ConfirmedRelease, EngineMemory};
use crate::identifiers::{ModelId, Revision};
use crate::placement::AssignmentState;

/// A release and when it was learned.
#[derive(Clone, Copy, Debug)]
pub(super) struct LearnedRelease {
    /// The revision of the entry that released the model.
    release: Revision,
    /// Only inventories of a later sequence number confirm it.
    learned: u64,
}

impl EngineMemory {
    /// Takes over the releases of the assignments; those known before keep the
    /// moment at which they were learned.
    pub(super) fn learn_releases(&mut self) {
        self.sequence += 1;
        let learned = self.sequence;
        let known = std::mem::take(&mut self.releases);
        self.releases = self
            .assigned
            .iter()
            .filter(|(_, assigned)| assigned.state == AssignmentState::Releasing)
            .map(|(id, assigned)| {
                let release = assigned.changed_at;
                let same = known.get(id).filter(|known| known.release == release);
                let found = same.copied().unwrap_or(LearnedRelease { release, learned });
                (id.clone(), found)
            })
            .collect();
    }

    /// The releases that the engine confirmed.
    pub fn released(&self) -> Vec<ConfirmedRelease> {
        self.absent_releases()
            .filter(|(_, found)| self.is_inventory_later(found))
            .map(|(model, found)| ConfirmedRelease {
                model: model.clone(),
                release: found.release,
            })
            .collect()
    }

    /// Whether a new inventory is all that a release waits for.
    pub fn release_awaits_inventory(&self) -> bool {
        self.absent_releases()
            .any(|(_, found)| !self.is_inventory_later(found))
    }

    /// The releases of models that are not in the books.
    fn absent_releases(&self) -> impl Iterator<Item = (&ModelId, &LearnedRelease)> {
        self.releases
            .iter()
            .filter(|(model, _)| !self.replicas.contains_key(*model))
    }

    fn is_inventory_later(&self, found: &LearnedRelease) -> bool {
        self.inventory
            .is_some_and(|newest| newest.sequence > found.learned)
    }
}
