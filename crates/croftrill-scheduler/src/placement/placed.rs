//! One replica as placement sees it: its account, its goal, where weights come from.

use std::collections::HashMap;
use std::time::Duration;

use super::choice::Among;
use crate::capacity::Capacity;
use crate::catalog::{AdapterName, EngineSpec, ModelName, ServiceName};
use crate::replica::{BornMs, Holdings, ReplicaState};
use crate::replica_ledger::ReplicaLedger;
use crate::time::Moment;

/// Least time for which an adapter stays.
const ADAPTER_RESIDENCE: Duration = Duration::from_millis(400);

/// Who orders at a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Orders {
    /// This orderer.
    Own,
    /// The orderer of another shard, which can be reached.
    Other,
    /// Nobody at present: the orderer of its shard is not there.
    Nobody,
}

/// How freely orders and questions for reports go to a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ControlCalls {
    /// As they are wanted.
    Free,
    /// It takes only so many calls of any kind: orders go there where no other place is.
    Sparse,
    /// It has just had one of those, or none was possible: for now nothing goes there.
    Paused,
}

/// One replica as placement sees it.
#[derive(Debug)]
pub struct PlacedReplica {
    /// Whether it takes requests.
    pub state: ReplicaState,
    /// The service it belongs to.
    pub service: ServiceName,
    /// When the incarnation that all else here is about started, if it tells.
    pub born_ms: Option<BornMs>,
    /// Its account.
    pub ledger: ReplicaLedger,
    /// A model that it should load next.
    pub goal: Option<ModelName>,
    /// A model that gets no more requests, since when, because it makes way.
    pub withdrawn: Option<(ModelName, Moment)>,
    /// When models were loaded here.
    pub loaded_at: HashMap<ModelName, Moment>,
    /// When adapters were loaded here.
    pub adapters_loaded_at: HashMap<(ModelName, AdapterName), Moment>,
    /// True while a predecessor's orders forbid orders here.
    pub is_held: bool,
    /// Who orders here.
    pub orders: Orders,
    /// How freely.
    pub control_calls: ControlCalls,
    /// Requests that it runs at the same time, as it is listed.
    pub listed_slots: u32,
    /// What it can do, as nodes heard of it in its answers.
    pub capacity: Capacity,
}

impl PlacedReplica {
    /// True if the model was loaded less than `residence` ago.
    pub(super) fn is_fresh(&self, model: &str, residence: Duration, now: Moment) -> bool {
        self.loaded_at
            .get(model)
            .is_some_and(|loaded| now.since(*loaded) < residence)
    }

    /// True if the adapter was just loaded: the requests that wait for it may
    /// still be on their way.
    pub(super) fn is_fresh_adapter(&self, adapter: &(ModelName, AdapterName), now: Moment) -> bool {
        self.adapters_loaded_at
            .get(adapter)
            .is_some_and(|loaded| now.since(*loaded) < ADAPTER_RESIDENCE)
    }

    /// True if an order may be given now.
    pub fn takes_orders(&self) -> bool {
        let may_call = self.control_calls != ControlCalls::Paused;
        self.orders == Orders::Own && may_call && !self.is_held && self.ledger.is_idle()
    }

    /// True if a place may be chosen here.
    pub(super) fn is_candidate(&self, among: Among) -> bool {
        match among {
            Among::All => self.orders != Orders::Nobody,
            Among::Own => self.takes_orders(),
        }
    }

    /// True if the replica holds the model and will go on holding it.
    pub fn keeps(&self, model: &str) -> bool {
        let withdrawn = self.withdrawn.as_ref().is_some_and(|(name, _)| &**name == model);
        !withdrawn && self.state == ReplicaState::Ready && self.ledger.holdings().serves(model, None)
    }
}

/// Where a replica would take a model's weights from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WeightSource {
    /// Its main memory.
    Memory,
    /// Its disk.
    Disk,
    /// The weight store, which is rate-limited.
    Store,
}

/// Where the replica would load the model from.
pub fn weight_source(holdings: &Holdings, model: &str) -> WeightSource {
    if holdings.copies.in_memory.iter().any(|name| &**name == model) {
        WeightSource::Memory
    } else if holdings.copies.on_disk.iter().any(|name| &**name == model) {
        WeightSource::Disk
    } else {
        WeightSource::Store
    }
}

/// Expected time of a load; `None` if the model is not in the configuration.
pub fn load_time(engine: &EngineSpec, holdings: &Holdings, model: &str) -> Option<Duration> {
    let spec = engine.models.get(model)?;
    Some(match weight_source(holdings, model) {
        WeightSource::Memory => spec.memory_load,
        WeightSource::Disk => spec.disk_load,
        WeightSource::Store => spec.store_load,
    })
}

/// Memory for weights and adapters in use, in MB. Unknown models count as filling the replica.
pub fn memory_used(engine: &EngineSpec, holdings: &Holdings) -> f64 {
    let memory_of = |held: &crate::replica::HeldModel| match engine.models.get(&held.model) {
        Some(spec) => spec.weights_mb + spec.adapter_mb * held.adapters.len() as f64,
        None => engine.weights_mb,
    };
    holdings.models.iter().map(memory_of).sum()
}
