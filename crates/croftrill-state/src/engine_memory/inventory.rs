//! Answers of the engine: inventories and outcomes of orders.

use super::held::{AdapterReplica, Phase, Replica};
use super::{
    CheckpointLocality, EngineMemory, HeldAdapterReplica, HeldReplica, HeldReport, InventoryTicket,
    OrderAnswer, Settled,
};
use crate::cluster::Target;
use crate::configuration::Adapter;
use crate::identifiers::{AdapterId, ModelId};
use crate::time::Instant;
use std::collections::BTreeMap;

/// Doublings of the pause after failed orders.
const MAX_BACKOFF_DOUBLINGS: u32 = 6;

/// An inventory as it is judged: asked for at `ticket`, answered at `now`.
#[derive(Clone, Copy)]
struct Judgement {
    ticket: InventoryTicket,
    now: Instant,
}

impl EngineMemory {
    /// Call when asking for an inventory, and pass the ticket with its answer.
    pub fn inventory_asked(&mut self, now: Instant) -> InventoryTicket {
        self.sequence += 1;
        InventoryTicket {
            sequence: self.sequence,
            asked_at: now,
        }
    }

    /// Takes in what the engine holds. What changed after the inventory was
    /// asked for, and what an unanswered order is about, keeps its state.
    pub fn reconcile(&mut self, ticket: InventoryTicket, report: HeldReport, now: Instant) -> Vec<Settled> {
        if self.inventory.is_some_and(|newest| newest >= ticket) {
            return Vec::new();
        }
        self.inventory = Some(ticket);
        self.cached_in_memory = report.cached_in_memory;
        self.cached_on_disk = report.cached_on_disk;
        self.others_running = report.others_running;
        let judgement = Judgement { ticket, now };
        let replicas = report.replicas.into_iter();
        let held: BTreeMap<ModelId, HeldReplica> = replicas.map(|held| (held.model.clone(), held)).collect();
        let mut settled = self.remove_absent(&held, judgement);
        for held in held.into_values() {
            settled.extend(self.take_in(held, judgement));
        }
        settled
    }

    fn remove_absent(&mut self, held: &BTreeMap<ModelId, HeldReplica>, judgement: Judgement) -> Vec<Settled> {
        let absent: Vec<ModelId> = self
            .replicas
            .iter()
            .filter(|(id, _)| !held.contains_key(*id))
            .filter(|(_, replica)| judgement.shows_absent(replica.phase, replica.changed, replica.hold_until))
            .map(|(id, _)| id.clone())
            .collect();
        absent
            .into_iter()
            .filter_map(|model| self.remove(model, judgement))
            .collect()
    }

    /// Takes an absent replica out of the books, unless an order about one of
    /// its adapters is on its way, which would find the next replica.
    fn remove(&mut self, model: ModelId, judgement: Judgement) -> Option<Settled> {
        let replica = self.replicas.get_mut(&model)?;
        let phase = std::mem::replace(&mut replica.phase, Phase::Answered);
        let kept = judgement.adapter_order_may_arrive(replica);
        if !kept {
            self.replicas.remove(&model);
        }
        if matches!(phase, Phase::Loading | Phase::LostLoad) {
            self.failed(&model, None, judgement.now);
            return Some(Settled::LoadFailed(model));
        }
        self.backoff.remove(&base_of(&model));
        (!kept).then_some(Settled::Gone(model))
    }

    fn take_in(&mut self, held: HeldReplica, judgement: Judgement) -> Option<Settled> {
        let now = judgement.now;
        let model = held.model.clone();
        let expected_at = self.expected_at(&model, now);
        let entry = self.replicas.entry(model.clone());
        let replica = entry.or_insert_with(|| Replica::found(&held, expected_at, now));
        if !judgement.shows_present(replica.phase, replica.changed, replica.hold_until) {
            return None;
        }
        replica.version = held.version;
        replica.accelerators = held.accelerators;
        replica.memory = held.memory_mib_per_accelerator;
        let was_loaded = replica.phase == Phase::Loaded;
        replica.phase = if held.loaded {
            Phase::Loaded
        } else {
            Phase::Loading
        };
        let newly_loaded = held.loaded && !was_loaded;
        if newly_loaded {
            replica.loaded_at = now;
        }
        let adapters = take_in_adapters(replica, held.adapters, judgement);
        for (adapter, loaded) in adapters {
            self.adapter_load_ended(&model, adapter, loaded, now);
        }
        if newly_loaded {
            self.backoff.remove(&base_of(&model));
        }
        newly_loaded.then_some(Settled::Loaded(model))
    }

    fn adapter_load_ended(&mut self, base: &ModelId, adapter: AdapterId, loaded: bool, now: Instant) {
        if !loaded {
            self.failed(base, Some(&adapter), now);
            return;
        }
        self.backoff.remove(&Target {
            model: base.clone(),
            adapter: Some(adapter),
        });
    }

    fn expected_at(&self, model: &ModelId, now: Instant) -> Instant {
        match self.assigned.get(model) {
            Some(assigned) => now + self.load_millis(&assigned.model, now),
            None => now,
        }
    }

    /// A load that `decide` reserved was given up before it was ordered.
    pub fn load_given_up(&mut self, model: &ModelId) {
        let replica = self.replicas.get(model);
        if replica.is_some_and(|replica| replica.phase == Phase::Reserved) {
            self.replicas.remove(model);
        }
    }

    /// The engine's answer to the order to load a model.
    pub fn load_answered(&mut self, model: &ModelId, answer: OrderAnswer, now: Instant) {
        match answer {
            OrderAnswer::Done => self.set_phase(model, Phase::Loading, now),
            OrderAnswer::Lost => self.set_phase(model, Phase::LostLoad, self.lost_until(now)),
            OrderAnswer::NoEffect => {
                self.load_given_up(model);
                self.failed(model, None, now);
            }
        }
    }

    /// The engine's answer to the order to unload a model. Its memory is free
    /// only when a later inventory shows that it is gone.
    pub fn unload_answered(&mut self, model: &ModelId, answer: OrderAnswer, now: Instant) {
        match answer {
            OrderAnswer::Done => self.set_phase(model, Phase::Answered, now),
            OrderAnswer::Lost => self.set_phase(model, Phase::LostUnload, self.lost_until(now)),
            OrderAnswer::NoEffect => {
                self.set_phase(model, Phase::Answered, now);
                self.failed(model, None, now);
            }
        }
    }

    /// The engine's answer to the order to load an adapter.
    pub fn adapter_load_answered(&mut self, adapter: &Adapter, answer: OrderAnswer, now: Instant) {
        match answer {
            OrderAnswer::Done => self.set_adapter_phase(&adapter.base, &adapter.id, Phase::Loading, now),
            OrderAnswer::Lost => {
                let until = self.lost_until(now);
                self.set_adapter_phase(&adapter.base, &adapter.id, Phase::LostLoad, until);
            }
            OrderAnswer::NoEffect => {
                if let Some(replica) = self.replicas.get_mut(&adapter.base) {
                    replica.adapters.remove(&adapter.id);
                }
                self.failed(&adapter.base, Some(&adapter.id), now);
            }
        }
    }

    /// The engine's answer to the order to unload an adapter.
    pub fn adapter_unload_answered(
        &mut self,
        adapter: &AdapterId,
        base: &ModelId,
        answer: OrderAnswer,
        now: Instant,
    ) {
        let (phase, until) = match answer {
            OrderAnswer::Lost => (Phase::LostUnload, self.lost_until(now)),
            OrderAnswer::Done | OrderAnswer::NoEffect => (Phase::Answered, now),
        };
        self.set_adapter_phase(base, adapter, phase, until);
        if answer != OrderAnswer::Done {
            self.failed(base, Some(adapter), now);
        }
    }

    /// Tells when a load under way is expected to be done.
    pub fn expect_loaded(&mut self, model: &ModelId, at: Instant) {
        if let Some(replica) = self.replicas.get_mut(model) {
            replica.expected_at = at;
        }
    }

    /// Learns from a load that ended.
    pub fn observe_load(&mut self, model: &ModelId, source: CheckpointLocality, millis: u64, now: Instant) {
        if let Some(assigned) = self.assigned.get(model) {
            let mib = assigned.model.checkpoint_mib;
            self.load_time.observe(source, mib, millis, now);
        }
    }

    /// Pauses orders about a model or adapter after a failure.
    fn failed(&mut self, model: &ModelId, adapter: Option<&AdapterId>, now: Instant) {
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

    fn lost_until(&self, now: Instant) -> Instant {
        now + self.config.lost_order_hold_millis
    }

    fn set_phase(&mut self, model: &ModelId, phase: Phase, hold_until: Instant) {
        self.sequence += 1;
        if let Some(replica) = self.replicas.get_mut(model) {
            replica.phase = phase;
            replica.changed = self.sequence;
            replica.hold_until = hold_until;
        }
    }

    fn set_adapter_phase(&mut self, base: &ModelId, adapter: &AdapterId, phase: Phase, hold_until: Instant) {
        self.sequence += 1;
        let replica = self.replicas.get_mut(base);
        if let Some(entry) = replica.and_then(|replica| replica.adapters.get_mut(adapter)) {
            entry.phase = phase;
            entry.changed = self.sequence;
            entry.hold_until = hold_until;
        }
    }
}

impl Judgement {
    fn is_later_than(&self, phase: Phase, changed: u64) -> bool {
        !phase.is_unanswered() && changed < self.ticket.sequence
    }

    /// Whether absence from the inventory means that the books can be closed.
    /// An order whose answer was lost may still arrive: a load would take the
    /// memory, and an unload would hit the next replica.
    fn shows_absent(&self, phase: Phase, changed: u64, hold_until: Instant) -> bool {
        let may_arrive = phase.is_lost() && self.ticket.asked_at < hold_until;
        self.is_later_than(phase, changed) && !may_arrive
    }

    /// Whether presence in the inventory means that the engine goes on holding
    /// it.
    fn shows_present(&self, phase: Phase, changed: u64, hold_until: Instant) -> bool {
        let may_arrive = phase == Phase::LostUnload && self.ticket.asked_at < hold_until;
        self.is_later_than(phase, changed) && !may_arrive
    }

    fn adapter_order_may_arrive(&self, replica: &Replica) -> bool {
        replica.adapters.values().any(|adapter| {
            adapter.phase.is_unanswered()
                || adapter.phase.is_lost() && self.ticket.asked_at < adapter.hold_until
        })
    }
}

/// Takes in the adapters of a replica; returns those whose load ended and
/// whether they are loaded.
fn take_in_adapters(
    replica: &mut Replica,
    held: Vec<HeldAdapterReplica>,
    judgement: Judgement,
) -> Vec<(AdapterId, bool)> {
    let held: BTreeMap<AdapterId, HeldAdapterReplica> = held
        .into_iter()
        .map(|held| (held.adapter.clone(), held))
        .collect();
    let mut ended = Vec::new();
    replica.adapters.retain(|id, entry| {
        let absent = !held.contains_key(id);
        let gone = absent && judgement.shows_absent(entry.phase, entry.changed, entry.hold_until);
        if gone && matches!(entry.phase, Phase::Loading | Phase::LostLoad) {
            ended.push((id.clone(), false));
        }
        !gone
    });
    for (id, held) in held {
        let entry = replica.adapters.entry(id.clone());
        let entry = entry.or_insert_with(|| AdapterReplica::found(&held));
        if judgement.shows_present(entry.phase, entry.changed, entry.hold_until) {
            entry.version = held.version;
            entry.memory = held.memory_mib_per_accelerator;
            if held.loaded && entry.phase != Phase::Loaded {
                ended.push((id, true));
            }
            entry.phase = if held.loaded {
                Phase::Loaded
            } else {
                Phase::Loading
            };
        }
    }
    ended
}

pub(super) fn base_of(model: &ModelId) -> Target {
    Target {
        model: model.clone(),
        adapter: None,
    }
}
