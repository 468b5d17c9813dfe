//! Placements that are published to the nodes: only what requests may rely on, and only
//! changes.

use std::collections::HashSet;

use crate::catalog::ModelName;
use crate::placement::{load_time, TrackedReplica};
use crate::replica::{Holdings, Order, ReplicaId};
use crate::replica_table::{Arrival, Placement};
use crate::time::Moment;

use super::Orderer;

impl Orderer {
    /// Returns the placements that changed since the last call, to be published to all nodes.
    pub fn take_changes(&mut self, now: Moment) -> Vec<Placement> {
        let changed = std::mem::take(&mut self.changed);
        let placements: Vec<Placement> = changed.iter().filter_map(|id| self.placement(id, now)).collect();
        placements
            .into_iter()
            .filter_map(|placement| self.record_published(placement))
            .collect()
    }

    /// Records a placement as published and returns it, unless it is equivalent to the one
    /// published before. Copies are included only if they changed: the first ones are in the
    /// replica's listing, and in a message about all replicas they would take more bytes than
    /// everything else.
    fn record_published(&mut self, placement: Placement) -> Option<Placement> {
        let known = self.published.get(&placement.replica);
        if known.is_some_and(|known| placement.is_equivalent_to(known)) {
            return None;
        }
        let includes_copies = known.is_some_and(|known| known.usable.copies != placement.usable.copies);
        self.published
            .insert(placement.replica.clone(), placement.clone());
        Some(Placement {
            includes_copies,
            ..placement
        })
    }

    /// Returns all placements, for a node that has just connected.
    pub fn all_placements(&self, now: Moment) -> Vec<Placement> {
        self.replicas
            .iter()
            .map(|(id, _)| id)
            .filter(|id| self.config.scope.covers(id))
            .filter_map(|id| self.placement(id, now))
            .collect()
    }

    fn placement(&self, id: &ReplicaId, now: Moment) -> Option<Placement> {
        let replica = self.replicas.get(id)?;
        let usable = usable_holdings(replica);
        let mut arriving = Vec::new();
        if let Some(goal) = &replica.goal {
            arriving.push(Arrival {
                model: goal.clone(),
                ready_at: self.ready_at(replica, goal, now),
            });
        }
        Some(Placement {
            replica: id.clone(),
            started_ms: replica.started_ms,
            usable,
            arriving,
            includes_copies: false,
        })
    }

    /// Returns when a replica's goal should be ready: at the expected end of its load by the
    /// ledger, or after an unload and the load if the load has not started.
    fn ready_at(&self, replica: &TrackedReplica, goal: &ModelName, now: Moment) -> Moment {
        let lag = self.config.ledger.poll_interval + self.config.ledger.report_lag / 2;
        if let Some((_, expected_at)) = replica.ledger.loading().filter(|(model, _)| *model == goal) {
            return expected_at + lag;
        }
        let engine = self
            .configuration
            .service(&replica.service)
            .and_then(|service| service.engine.as_ref());
        let load = engine.and_then(|engine| load_time(engine, replica.ledger.holdings(), goal));
        now + self.config.unload + lag + load.unwrap_or_default() + lag
    }
}

/// Returns the holdings that requests may rely on, without what is being evicted or has not
/// arrived yet.
fn usable_holdings(replica: &TrackedReplica) -> Holdings {
    let mut usable = replica.ledger.holdings().clone();
    if let Some((withdrawn, _)) = &replica.withdrawn {
        usable.models.retain(|held| held.model != *withdrawn);
    }
    for held in &mut usable.models {
        let model = &held.model;
        held.adapters
            .retain(|adapter| !replica.ledger.is_in_transit(model, adapter));
    }
    match replica.ledger.pending() {
        Some(Order::UnloadModel(model)) => usable.models.retain(|held| held.model != *model),
        Some(Order::UnloadAdapter(model, adapter)) => {
            for held in usable.models.iter_mut().filter(|held| held.model == *model) {
                held.adapters.retain(|present| present != adapter);
            }
        }
        _ => {}
    }
    remove_redundant_copies(&mut usable);
    usable
}

/// Removes copies of models that are held, and copies on disk of models that are also in
/// memory, as they carry no information. Without them an update about one replica takes about
/// 100 bytes instead of 300, and it goes to each of a few hundred listeners.
fn remove_redundant_copies(usable: &mut Holdings) {
    let held: HashSet<&ModelName> = usable.models.iter().map(|held| &held.model).collect();
    let copies = &mut usable.copies;
    copies.in_memory.retain(|model| !held.contains(model));
    let in_memory: HashSet<&ModelName> = copies.in_memory.iter().collect();
    copies
        .on_disk
        .retain(|model| !held.contains(model) && !in_memory.contains(model));
}
