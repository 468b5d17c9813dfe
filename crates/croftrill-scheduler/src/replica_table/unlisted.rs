//! What is known of replicas that are not listed yet, or no longer.

use std::collections::{BTreeMap, HashMap};

use crate::replica::ReplicaId;

/// Entries that are retained in a fleet of any size, about 200 bytes each. A larger fleet
/// retains as many as it has replicas, because all of them lapse together when the store is
/// unavailable for long.
const LEAST_KEPT: usize = 1024;

/// A bounded map of values for replicas without a listing. The oldest values are dropped first.
#[derive(Debug)]
pub(super) struct Unlisted<T> {
    known: HashMap<ReplicaId, (u64, T)>,
    order: BTreeMap<u64, ReplicaId>,
    next: u64,
    most_listed: usize,
}

impl<T> Default for Unlisted<T> {
    fn default() -> Self {
        Unlisted {
            known: HashMap::new(),
            order: BTreeMap::new(),
            next: 0,
            most_listed: 0,
        }
    }
}

impl<T> Unlisted<T> {
    /// Records the number of replicas that are listed now.
    pub(super) fn note_listed(&mut self, count: usize) {
        self.most_listed = self.most_listed.max(count);
    }

    pub(super) fn keep(&mut self, id: ReplicaId, known: T) {
        self.take(&id);
        while self.known.len() >= LEAST_KEPT.max(self.most_listed) {
            let Some((_, oldest)) = self.order.pop_first() else {
                break;
            };
            self.known.remove(&oldest);
        }
        let number = self.next;
        self.next += 1;
        self.order.insert(number, id.clone());
        self.known.insert(id, (number, known));
    }

    pub(super) fn get(&self, id: &str) -> Option<&T> {
        self.known.get(id).map(|(_, known)| known)
    }

    pub(super) fn take(&mut self, id: &str) -> Option<T> {
        let (number, known) = self.known.remove(id)?;
        self.order.remove(&number);
        Some(known)
    }

    /// Removes the values of all replicas for which `keep` returns false.
    pub(super) fn retain(&mut self, keep: impl Fn(&ReplicaId) -> bool) {
        self.known.retain(|id, _| keep(id));
        let known = &self.known;
        self.order.retain(|_, id| known.contains_key(id));
    }
}
