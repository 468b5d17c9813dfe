//! Selection of the replica that loads an adapter and of the adapter that is evicted for it.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::{CandidateScope, ServicePlacement, TrackedReplica};
use crate::catalog::{AdapterName, ModelName};
use crate::demand::ModelKey;
use crate::replica::ReplicaId;

impl ServicePlacement<'_> {
    /// Returns the replica whose orderer is responsible for loading an adapter: one of the
    /// model's holders by rendezvous hashing, if possible one with a free adapter slot.
    pub fn adapter_home(&self, model: &ModelName, adapter: &AdapterName) -> Option<&ReplicaId> {
        let seed = xxh3_64(adapter.as_bytes());
        let is_full =
            |replica: &TrackedReplica| self.adapter_slots_used(replica) >= self.engine.adapter_slots;
        self.current_holders(model)
            .filter(|(_, replica)| replica.is_candidate(CandidateScope::All))
            .min_by_key(|(id, replica)| (is_full(replica), xxh3_64_with_seed(id.as_bytes(), seed)))
            .map(|(id, _)| id)
    }

    /// Iterates over the current holders of a model.
    fn current_holders(&self, model: &str) -> impl Iterator<Item = (&ReplicaId, &TrackedReplica)> {
        let ids: Vec<ReplicaId> = self.fleet().current_holders(model).cloned().collect();
        ids.into_iter().filter_map(|id| self.replicas.get_key_value(&id))
    }

    /// Returns the replica that should load an adapter now: of the model's holders that take
    /// orders, the one with the least restricted calls, and of those the one with the fewest
    /// adapters.
    pub fn adapter_target(&self, model: &ModelName) -> Option<ReplicaId> {
        self.current_holders(model)
            .filter(|(_, replica)| {
                replica.is_candidate(CandidateScope::Own) && replica.ledger.may_load_adapter()
            })
            .min_by_key(|(_, replica)| (replica.control_calls, self.adapter_slots_used(replica)))
            .map(|(id, _)| id.clone())
    }

    fn adapter_slots_used(&self, replica: &TrackedReplica) -> usize {
        replica.room_use(self.engine).adapter_slots
    }

    /// Returns the adapter to evict first from a replica: the least recently requested one,
    /// as it is the least likely to be in use. One that was just loaded stays until its
    /// requests have arrived, and one that no report has shown as present is not there to evict.
    pub fn adapter_victim(&self, replica: &TrackedReplica) -> Option<(ModelName, AdapterName)> {
        let held = &replica.ledger.holdings().models;
        let adapters = held.iter().flat_map(|held| {
            held.adapters
                .iter()
                .map(move |adapter| (held.model.clone(), adapter.clone()))
        });
        adapters
            .filter(|(model, adapter)| replica.ledger.is_present(model, adapter))
            .filter(|adapter| !replica.is_adapter_recently_loaded(adapter, self.now))
            .min_by_key(|(model, adapter)| {
                let key = ModelKey {
                    adapter: Some(adapter.clone()),
                    ..self.key(model)
                };
                self.demand.last_request(&key)
            })
    }
}
