//! Where a service's models are, so that a choice costs a model's holders and not the
//! fleet.

use std::collections::{BTreeSet, HashMap};

use super::ReplicaEntry;
use crate::catalog::ModelName;
use crate::replica::ReplicaId;

/// The replicas of one service, by what they hold.
///
/// Invariant: exactly the replicas that were last added and not taken out since stand
/// here, each under the models of its entry at that time.
#[derive(Debug, Default)]
pub(super) struct ServiceIndex {
    /// All of them.
    pub(super) ids: BTreeSet<ReplicaId>,
    /// Those that hold or await a model.
    by_model: HashMap<ModelName, BTreeSet<ReplicaId>>,
    /// Those that keep a copy of a model's weights outside their accelerator.
    by_copy: HashMap<ModelName, BTreeSet<ReplicaId>>,
    /// Those that tell how long work takes there.
    telling_work_time: BTreeSet<ReplicaId>,
    /// Those of whose copies nothing is known.
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

    /// A replica that stands here told its load.
    pub(super) fn note_capacity(&mut self, entry: &ReplicaEntry) {
        let id = &entry.listing.id;
        if entry.capacity.tells_work_time() && !self.telling_work_time.contains(id) {
            self.telling_work_time.insert(id.clone());
        }
    }

    /// True if one of the replicas tells how long work takes there.
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

    /// Replicas that hold or await a model.
    pub(super) fn with_model(&self, model: &str) -> impl Iterator<Item = &ReplicaId> {
        self.by_model.get(model).into_iter().flatten()
    }

    /// Replicas that keep a copy of its weights.
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
