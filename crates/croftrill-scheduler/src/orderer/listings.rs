//! Listings and entries of replicas, and their removal.

use crate::capacity::{Capacity, ReplicaLoad};
use crate::placement::{ControlCalls, TrackedReplica};
use crate::replica::{Incarnation, ReplicaId, ReplicaListing, ReplicaState};
use crate::replica_ledger::{LedgerChange, ReplicaLedger};
use crate::replica_table::ReplicaEntry;
use crate::time::Moment;

use super::{responsible_orderer, Orderer};

impl Orderer {
    /// Applies an entry of the replica table, which holds what is known from a replica's
    /// listing, its signals and the orderer of its shard.
    pub fn apply_entry(&mut self, entry: &ReplicaEntry, now: Moment) {
        if entry.state() == entry.listing.state {
            self.apply_listing(&entry.listing, now);
        } else {
            let listing = ReplicaListing {
                state: entry.state(),
                ..entry.listing.clone()
            };
            self.apply_listing(&listing, now);
        }
        if self.config.scope.covers(&entry.listing.id) {
            self.set_limited(&entry.listing.id, entry.is_limited());
            if entry.has_former_life() {
                self.assume_unknown_orders(&entry.listing.id, true);
            }
            self.republish_if_lost(entry);
            return;
        }
        if let Some(replica) = self.replicas.get_mut(&entry.listing.id) {
            replica.goal = entry.arriving.first().map(|arrival| arrival.model.clone());
        }
    }

    /// Records whether a replica limits calls of any kind.
    fn set_limited(&mut self, id: &str, is_limited: bool) {
        let Some(replica) = self.replicas.get_mut(id) else {
            return;
        };
        replica.control_calls = match replica.control_calls {
            _ if !is_limited => ControlCalls::Free,
            ControlCalls::Free => ControlCalls::Sparse,
            sparse => sparse,
        };
    }

    /// Pauses or resumes orders and report requests to a replica that limits calls.
    pub fn pause_calls(&mut self, id: &str, is_paused: bool) {
        let Some(replica) = self.replicas.get_mut(id) else {
            return;
        };
        replica.control_calls = match replica.control_calls {
            ControlCalls::Free => ControlCalls::Free,
            _ if is_paused => ControlCalls::Paused,
            _ => ControlCalls::Sparse,
        };
    }

    /// Publishes the placement of a replica again if its entry has none. An entry that was
    /// removed and restored between two reads of the table looks unchanged here, but all
    /// nodes lost the published placement with it.
    fn republish_if_lost(&mut self, entry: &ReplicaEntry) {
        let id = &entry.listing.id;
        if !entry.has_orderer_placement() && self.published.remove(id).is_some() {
            self.changed.insert(id.clone());
        }
    }

    /// Records the load that a replica reported at `at` in an answer to a node.
    pub fn record_load(&mut self, id: &str, load: ReplicaLoad, at: Moment) {
        self.replicas.record_load(id, load, at);
    }

    /// Applies a replica's listing.
    pub fn apply_listing(&mut self, listing: &ReplicaListing, now: Moment) {
        let is_engine = self
            .configuration
            .service(&listing.service)
            .is_some_and(|service| service.engine.is_some());
        if !is_engine {
            return;
        }
        let incarnation = self.incarnation(&listing.id, listing.started_ms);
        match incarnation {
            Incarnation::Same => {}
            // The entry was written late.
            Incarnation::Earlier => return,
            Incarnation::Later => self.remove_replica(&listing.id),
        }
        let has_former_life = incarnation == Incarnation::Later;
        let ledger_config = self.config.ledger;
        let is_own = self.config.scope.covers(&listing.id);
        let ordered_by = responsible_orderer(self.config.scope, &self.reachable, &listing.id);
        let is_new = !self.replicas.contains_key(&listing.id);
        if is_new {
            let replica = TrackedReplica {
                state: listing.state,
                service: listing.service.clone(),
                started_ms: listing.started_ms,
                ledger: ReplicaLedger::new(ledger_config, listing.holdings.clone(), now),
                goal: None,
                withdrawn: None,
                unanswered: self.absent_orders.remove(&listing.id).unwrap_or_default(),
                loaded_at: Default::default(),
                adapters_loaded_at: Default::default(),
                is_blocked_by_predecessor: false,
                ordered_by,
                is_out_of_reach: self.out_of_reach.contains(&listing.id),
                control_calls: ControlCalls::Free,
                listed_slots: listing.slots,
                capacity: Capacity::default(),
            };
            self.replicas.insert(listing.id.clone(), replica);
        }
        let Some(replica) = self.replicas.get_mut(&listing.id) else {
            return;
        };
        replica.state = listing.state;
        let is_start_new = is_new || replica.started_ms.is_none();
        replica.started_ms = replica.started_ms.or(listing.started_ms);
        if listing.state == ReplicaState::Draining {
            replica.goal = None;
        }
        let change = replica.ledger.apply_listing(&listing.holdings);
        if is_own && (is_new || change != LedgerChange::None) {
            // The other nodes learn of holdings only from placements.
            self.changed.insert(listing.id.clone());
        }
        if is_new && !replica.unanswered.is_empty() {
            self.with_unanswered.insert(listing.id.clone());
        }
        if is_start_new {
            self.assume_unknown_orders(&listing.id, has_former_life);
        }
    }

    /// Removes a replica.
    pub fn remove_replica(&mut self, id: &str) {
        if let Some((id, replica)) = self.replicas.remove(id) {
            self.keep_unanswered(id, replica.unanswered);
        }
        self.version_waits.forget_goal(id);
        self.store_loads.remove(id);
        self.changed.remove(id);
        self.published.remove(id);
    }

    /// Removes the replicas for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        let is_removed = |id: &&ReplicaId| !keep(id);
        let removed: Vec<ReplicaId> = self
            .replicas
            .iter()
            .map(|(id, _)| id)
            .filter(is_removed)
            .cloned()
            .collect();
        for id in removed {
            self.remove_replica(&id);
        }
        self.version_waits.retain_goals(&keep);
        self.store_loads.retain(|id, _| keep(id));
        self.changed.retain(|id| keep(id));
        self.published.retain(|id, _| keep(id));
    }
}
