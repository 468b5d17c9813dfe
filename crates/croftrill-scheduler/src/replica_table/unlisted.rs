//! What orderers told of replicas that are not listed (yet, or any more).

use std::collections::{BTreeMap, HashMap};

use super::Placement;
use crate::replica::ReplicaId;
use crate::shard::Shard;

/// Placements that are kept in any fleet, some 200 bytes each. A larger one keeps as many
/// as it has replicas: all of them lapse together when the store is away for long.
const LEAST_KEPT: usize = 1024;

/// Placements of replicas without a listing, the oldest dropped first.
#[derive(Debug, Default)]
pub(super) struct UnlistedPlacements {
    told: HashMap<ReplicaId, (u64, Placement)>,
    order: BTreeMap<u64, ReplicaId>,
    next: u64,
    most_listed: usize,
}

impl UnlistedPlacements {
    /// So many replicas are listed now.
    pub(super) fn note_listed(&mut self, count: usize) {
        self.most_listed = self.most_listed.max(count);
    }

    pub(super) fn keep(&mut self, placement: Placement) {
        self.take(&placement.replica);
        while self.told.len() >= LEAST_KEPT.max(self.most_listed) {
            let Some((_, oldest)) = self.order.pop_first() else {
                break;
            };
            self.told.remove(&oldest);
        }
        let number = self.next;
        self.next += 1;
        self.order.insert(number, placement.replica.clone());
        self.told.insert(placement.replica.clone(), (number, placement));
    }

    pub(super) fn take(&mut self, id: &str) -> Option<Placement> {
        let (number, placement) = self.told.remove(id)?;
        self.order.remove(&number);
        Some(placement)
    }

    /// The orderer of a shard no longer tells.
    pub(super) fn forget_shard(&mut self, shard: Shard) {
        self.told.retain(|id, _| Shard::of_replica(id) != shard);
        let told = &self.told;
        self.order.retain(|_, id| told.contains_key(id));
    }
}
