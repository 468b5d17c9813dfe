//! Answers of the engine: inventories and outcomes of orders.

use super::{
    AdapterReplica, EngineMemory, HeldAdapterReplica, HeldReplica, HeldReport, InventoryTicket, Phase,
    Replica,
};
use crate::cluster::Target;
use crate::configuration::Adapter;
use crate::identifiers::{AdapterId, ModelId};
use crate::time::Instant;
use std::collections::BTreeMap;

/// Doublings of the pause after failed orders.
const MAX_BACKOFF_DOUBLINGS: u32 = 6;

/// What an inventory showed of loads and unloads under way.
#[derive(Clone, Debug, PartialEq)]
pub enum Settled {
    /// The model is loaded now.
    Loaded(ModelId),
    /// The model that was being loaded is not there: the load failed.
    LoadFailed(ModelId),
    /// The model is gone.
    Gone(ModelId),
}

impl EngineMemory {
    /// Call when asking for an inventory, and pass the ticket with its answer.
    pub fn inventory_asked(&mut self) -> InventoryTicket {
        self.sequence += 1;
        InventoryTicket(self.sequence)
    }

    /// Takes in what the engine holds. What changed after the inventory was
    /// asked for, and what an unanswered order is about, keeps its state.
    pub fn reconcile(&mut self, ticket: InventoryTicket, report: HeldReport, now: Instant) -> Vec<Settled> {
        if self.inventory.is_some_and(|newest| newest >= ticket.0) {
            return Vec::new();
        }
        self.inventory = Some(ticket.0);
        self.cached_in_memory = report.cached_in_memory;
        self.cached_on_disk = report.cached_on_disk;
        let mut settled = Vec::new();
        let held: BTreeMap<ModelId, HeldReplica> = report
            .replicas
            .into_iter()
            .map(|h| (h.model.clone(), h))
            .collect();
        self.remove_absent(&held, ticket, now, &mut settled);
        for held in held.into_values() {
            self.take_in(held, ticket, now, &mut settled);
        }
        settled
    }

    fn remove_absent(
        &mut self,
        held: &BTreeMap<ModelId, HeldReplica>,
        ticket: InventoryTicket,
        now: Instant,
        settled: &mut Vec<Settled>,
    ) {
        let absent: Vec<(ModelId, Phase)> = self
            .replicas
            .iter()
            .filter(|(id, replica)| {
                !held.contains_key(*id) && is_judged(replica.phase, replica.changed, ticket)
            })
            .map(|(id, replica)| (id.clone(), replica.phase))
            .collect();
        for (model, phase) in absent {
            self.replicas.remove(&model);
            if phase == Phase::Loading {
                self.failed(&model, None, now);
                settled.push(Settled::LoadFailed(model));
            } else {
                settled.push(Settled::Gone(model));
            }
        }
    }

    fn take_in(
        &mut self,
        held: HeldReplica,
        ticket: InventoryTicket,
        now: Instant,
        settled: &mut Vec<Settled>,
    ) {
        let expected_at = self.expected_at(&held, now);
        let model = held.model.clone();
        let replica = self.replicas.entry(model.clone()).or_insert_with(|| Replica {
            version: held.version,
            accelerators: held.accelerators.clone(),
            memory: held.memory_mib_per_accelerator,
            phase: Phase::Uncertain,
            changed: 0,
            loaded_at: now,
            expected_at,
            yielding: false,
            adapters: BTreeMap::new(),
        });
        if !is_judged(replica.phase, replica.changed, ticket) {
            return;
        }
        replica.version = held.version;
        replica.accelerators = held.accelerators;
        replica.memory = held.memory_mib_per_accelerator;
        let next = if held.loaded {
            Phase::Loaded
        } else {
            Phase::Loading
        };
        if next == Phase::Loaded && replica.phase != Phase::Loaded {
            replica.loaded_at = now;
            settled.push(Settled::Loaded(model.clone()));
        }
        replica.phase = next;
        take_in_adapters(replica, held.adapters, ticket, now);
        if next == Phase::Loaded {
            self.backoff.remove(&base_of(&model));
        }
    }

    fn expected_at(&self, held: &HeldReplica, now: Instant) -> Instant {
        match self.assigned.get(&held.model) {
            Some(assigned) => now + self.load_millis(&assigned.model, now),
            None => now,
        }
    }

    /// The engine accepted the load of a model.
    pub fn load_accepted(&mut self, model: &ModelId) {
        self.set_phase(model, Phase::Loading);
    }

    /// The load of a model was certainly not begun: its reservation ends.
    pub fn load_not_begun(&mut self, model: &ModelId) {
        let reserved = |replica: &Replica| replica.phase == Phase::Reserved;
        if self.replicas.get(model).is_some_and(reserved) {
            self.replicas.remove(model);
        }
    }

    /// An order about a model was answered, or its answer was lost; the next
    /// inventory tells what the engine holds.
    pub fn order_uncertain(&mut self, model: &ModelId) {
        self.set_phase(model, Phase::Uncertain);
    }

    /// Tells when a load under way is expected to be done.
    pub fn expect_loaded(&mut self, model: &ModelId, at: Instant) {
        if let Some(replica) = self.replicas.get_mut(model) {
            replica.expected_at = at;
        }
    }

    /// Learns from a load that ended.
    pub fn observe_load(
        &mut self,
        model: &ModelId,
        source: super::CheckpointLocality,
        millis: u64,
        now: Instant,
    ) {
        if let Some(assigned) = self.assigned.get(model) {
            let mib = assigned.model.checkpoint_mib;
            self.load_time.observe(source, mib, millis, now);
        }
    }

    /// An order about an adapter was answered; `held` tells whether the engine
    /// holds it now, `None` that nobody can say.
    pub fn adapter_answered(
        &mut self,
        adapter: &AdapterId,
        base: &ModelId,
        held: Option<bool>,
        now: Instant,
    ) {
        self.sequence += 1;
        let sequence = self.sequence;
        let Some(replica) = self.replicas.get_mut(base) else {
            return;
        };
        if held == Some(false) {
            replica.adapters.remove(adapter);
            return;
        }
        if let Some(entry) = replica.adapters.get_mut(adapter) {
            entry.phase = if held.is_some() {
                Phase::Loaded
            } else {
                Phase::Uncertain
            };
            entry.changed = sequence;
            entry.loaded_at = now;
        }
    }

    /// Pauses orders about a model or adapter after a failure.
    pub fn failed(&mut self, model: &ModelId, adapter: Option<&AdapterId>, now: Instant) {
        let key = Target {
            model: model.clone(),
            adapter: adapter.cloned(),
        };
        let pause = self.config.order_backoff_millis;
        let backoff = self.backoff.entry(key).or_default();
        let doublings = backoff.failures.min(MAX_BACKOFF_DOUBLINGS);
        backoff.until = now + (pause << doublings);
        backoff.failures += 1;
    }

    fn set_phase(&mut self, model: &ModelId, phase: Phase) {
        self.sequence += 1;
        if let Some(replica) = self.replicas.get_mut(model) {
            replica.phase = phase;
            replica.changed = self.sequence;
        }
    }

    pub(super) fn reserve_adapter(&mut self, adapter: &Adapter, now: Instant) {
        self.sequence += 1;
        let entry = AdapterReplica {
            version: adapter.version,
            memory: adapter.memory_mib_per_accelerator,
            phase: Phase::Reserved,
            changed: self.sequence,
            loaded_at: now,
        };
        if let Some(replica) = self.replicas.get_mut(&adapter.base) {
            replica.adapters.insert(adapter.id.clone(), entry);
        }
    }
}

/// Whether an inventory asked for at `ticket` tells the truth about an entry.
fn is_judged(phase: Phase, changed: u64, ticket: InventoryTicket) -> bool {
    let order_unanswered = matches!(phase, Phase::Reserved | Phase::Unloading);
    !order_unanswered && changed < ticket.0
}

fn take_in_adapters(
    replica: &mut Replica,
    held: Vec<HeldAdapterReplica>,
    ticket: InventoryTicket,
    now: Instant,
) {
    let present: BTreeMap<AdapterId, HeldAdapterReplica> =
        held.into_iter().map(|h| (h.adapter.clone(), h)).collect();
    replica
        .adapters
        .retain(|id, entry| present.contains_key(id) || !is_judged(entry.phase, entry.changed, ticket));
    for (id, held) in present {
        let entry = replica.adapters.entry(id).or_insert_with(|| AdapterReplica {
            version: held.version,
            memory: held.memory_mib_per_accelerator,
            phase: Phase::Loaded,
            changed: 0,
            loaded_at: now,
        });
        if is_judged(entry.phase, entry.changed, ticket) {
            entry.version = held.version;
            entry.memory = held.memory_mib_per_accelerator;
            entry.phase = Phase::Loaded;
        }
    }
}

pub(super) fn base_of(model: &ModelId) -> Target {
    Target {
        model: model.clone(),
        adapter: None,
    }
}
