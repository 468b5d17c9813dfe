//! Index of the models of a service, so that the cost of a choice depends on the number of a
//! model's holders and not on the size of the fleet.

use std::collections::{BTreeSet, HashMap};

use super::ReplicaEntry;
use crate::catalog::ModelName;
use crate::replica::ReplicaId;

/// The replicas of one service, by the models that they hold.
///
/// Invariant: contains exactly the replicas that were added and not removed since, each under
/// the models of its entry at that time.
#[derive(Debug, Default)]
pub(super) struct ServiceIndex {
    /// All replicas of the service.
    pub(super) ids: BTreeSet<ReplicaId>,
    /// Replicas that hold a model or are about to.
    by_model: HashMap<ModelName, BTreeSet<ReplicaId>>,
    /// Replicas that store a copy of a model's weights outside their accelerator.
    by_copy: HashMap<ModelName, BTreeSet<ReplicaId>>,
    /// Replicas that report how long work takes there.
    telling_work_time: BTreeSet<ReplicaId>,
    /// Replicas whose weight copies are unknown.
    pub(super) unknown_copies: BTreeSet<ReplicaId>,
}

impl ServiceIndex {
    pub(super) fn add(&mut self, entry: &ReplicaEntry) {
        let id = &entry.listing.id;
        self.ids.insert(id.clone());
        for model in entry.models() {
            self.by_model.entry(model.clone()).or_default().insert(id.clone());
        }
        for model in entry.copies() {
            self.by_copy.entry(model.clone()).or_default().insert(id.clone());
        }
        if !entry.knows_copies {
            self.unknown_copies.insert(id.clone());
        }
        self.note_capacity(entry);
    }

    /// Updates the index after an indexed replica reported its load.
    pub(super) fn note_capacity(&mut self, entry: &ReplicaEntry) {
        let id = &entry.listing.id;
        if entry.capacity.tells_work_time() && !self.telling_work_time.contains(id) {
            self.telling_work_time.insert(id.clone());
        }
    }

    /// Returns whether any of the replicas reports its work time.
    pub(super) fn tells_work_time(&self) -> bool {
        !self.telling_work_time.is_empty()
    }

    pub(super) fn take_out(&mut self, entry: &ReplicaEntry) {
        let id = &entry.listing.id;
        self.ids.remove(id);
        self.telling_work_time.remove(id);
        self.unknown_copies.remove(id);
        entry
            .models()
            .for_each(|model| take_from(&mut self.by_model, model, id));
        entry
            .copies()
            .for_each(|model| take_from(&mut self.by_copy, model, id));
    }

    /// Returns the replicas that hold a model or are about to.
    pub(super) fn with_model(&self, model: &str) -> impl Iterator<Item = &ReplicaId> {
        self.by_model.get(model).into_iter().flatten()
    }

    /// Returns the replicas that store a copy of a model's weights.
    pub(super) fn with_copy(&self, model: &str) -> impl Iterator<Item = &ReplicaId> {
        self.by_copy.get(model).into_iter().flatten()
    }
}

fn take_from(index: &mut HashMap<ModelName, BTreeSet<ReplicaId>>, model: &ModelName, id: &ReplicaId) {
    if let Some(ids) = index.get_mut(model) {
        ids.remove(id);
        if ids.is_empty() {
            index.remove(model);
        }
    }
}
