//! The state of one replica that placement decides on, and the sources of its weights.

use std::collections::HashMap;
use std::time::Duration;

use super::target_selection::CandidateScope;
use crate::capacity::Capacity;
use crate::catalog::{AdapterName, EngineSpec, ModelName, ServiceName};
use crate::replica::{Holdings, Order, ReplicaState, StartedMs};
use crate::replica_ledger::ReplicaLedger;
use crate::replica_room::RoomUse;
use crate::time::Moment;
use crate::unanswered_orders::UnansweredOrders;

/// Time for which an adapter is not evicted after its load.
const MIN_ADAPTER_RESIDENCE: Duration = Duration::from_millis(400);

/// The orderer that sends orders to a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderedBy {
    /// This orderer.
    ThisOrderer,
    /// The orderer of another shard, which is reachable.
    OtherOrderer,
    /// No orderer at the moment: that of the replica's shard is unreachable.
    Nobody,
}

/// Restriction on orders and report requests to a replica, least restricted first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ControlCalls {
    /// They are sent whenever needed.
    Free,
    /// The replica limits calls of any kind: it gets orders only if no other replica can take
    /// them.
    Sparse,
    /// Such a replica just got a call, or its limit left none: nothing is sent for now.
    Paused,
}

/// One replica with what placement knows of it.
#[derive(Debug)]
pub struct TrackedReplica {
    /// Whether it accepts requests.
    pub state: ReplicaState,
    /// The service it belongs to.
    pub service: ServiceName,
    /// Start time of the incarnation that the other fields describe, if it reports one.
    pub started_ms: Option<StartedMs>,
    /// Its holdings and the order under way.
    pub ledger: ReplicaLedger,
    /// Orders that got no answer.
    pub unanswered: UnansweredOrders,
    /// The model that it should load next.
    pub goal: Option<ModelName>,
    /// A model that is to be evicted, and the time since which it gets no more requests.
    pub withdrawn: Option<(ModelName, Moment)>,
    /// Times at which models were loaded here.
    pub loaded_at: HashMap<ModelName, Moment>,
    /// Times at which adapters were loaded here.
    pub adapters_loaded_at: HashMap<(ModelName, AdapterName), Moment>,
    /// True while orders of a predecessor may still be under way, so that none may be sent.
    pub is_blocked_by_predecessor: bool,
    /// The orderer that sends orders here.
    pub ordered_by: OrderedBy,
    /// True while the orderer's node cannot connect to it, though it is listed.
    pub is_out_of_reach: bool,
    /// Restriction on those orders.
    pub control_calls: ControlCalls,
    /// Number of requests that it runs concurrently, according to its listing.
    pub listed_slots: u32,
    /// Speed and load, from the answers that nodes received from it.
    pub capacity: Capacity,
}

impl TrackedReplica {
    /// Returns true if the model was loaded less than `residence` ago.
    pub(super) fn is_recently_loaded(&self, model: &str, residence: Duration, now: Moment) -> bool {
        self.loaded_at
            .get(model)
            .is_some_and(|loaded| now.since(*loaded) < residence)
    }

    /// Returns true if the adapter was just loaded: the requests that wait for it may not
    /// have arrived yet.
    pub(super) fn is_adapter_recently_loaded(&self, adapter: &(ModelName, AdapterName), now: Moment) -> bool {
        self.adapters_loaded_at
            .get(adapter)
            .is_some_and(|loaded| now.since(*loaded) < MIN_ADAPTER_RESIDENCE)
    }

    /// Returns what is known to take room, or may take it by an order that can still be carried out.
    pub fn room_use(&self, engine: &EngineSpec) -> RoomUse {
        self.ledger.room_use(engine) + self.reserve(engine, self.ledger.holdings())
    }

    /// Returns true if the effect of the order fits whatever else may take room.
    pub fn has_room_for(&self, engine: &EngineSpec, order: &Order) -> bool {
        let taken = self.ledger.room_use(engine) + RoomUse::of_order(engine, order);
        let holdings_then = order.applied_to(self.ledger.holdings());
        (taken + self.reserve(engine, &holdings_then)).fits(engine)
    }

    fn reserve(&self, engine: &EngineSpec, holdings: &Holdings) -> RoomUse {
        self.unanswered.room_use(engine, self.started_ms, holdings)
    }

    /// Returns true if this orderer may send an order now.
    pub fn takes_orders(&self) -> bool {
        let may_call = self.control_calls != ControlCalls::Paused;
        self.ordered_by == OrderedBy::ThisOrderer
            && may_call
            && !self.is_out_of_reach
            && !self.is_blocked_by_predecessor
            && self.ledger.is_idle()
    }

    /// Returns true if the replica may be selected to load something.
    pub(super) fn is_candidate(&self, scope: CandidateScope) -> bool {
        match scope {
            CandidateScope::All => self.ordered_by != OrderedBy::Nobody && !self.is_out_of_reach,
            CandidateScope::Own => self.takes_orders(),
        }
    }

    /// Returns true if the replica is in reach, holds the model and is not about to evict it.
    pub fn retains(&self, model: &str) -> bool {
        let withdrawn = self.withdrawn.as_ref().is_some_and(|(name, _)| &**name == model);
        !withdrawn && self.is_usable() && self.ledger.holdings().serves(model, None)
    }

    /// Returns true if the replica is in reach, and is to load the model.
    pub fn awaits(&self, model: &str) -> bool {
        self.is_usable() && self.goal.as_deref() == Some(model) && !self.retains(model)
    }

    fn is_usable(&self) -> bool {
        self.state == ReplicaState::Ready && !self.is_out_of_reach
    }
}

/// The source from which a replica loads a model's weights.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WeightSource {
    /// Main memory of the replica.
    Memory,
    /// Disk of the replica.
    Disk,
    /// The weight store, which is rate-limited.
    Store,
}

/// Returns the fastest source from which a replica can load the model.
pub fn weight_source(holdings: &Holdings, model: &str) -> WeightSource {
    if holdings.copies.in_memory.iter().any(|name| &**name == model) {
        WeightSource::Memory
    } else if holdings.copies.on_disk.iter().any(|name| &**name == model) {
        WeightSource::Disk
    } else {
        WeightSource::Store
    }
}

/// Returns the expected load time, or `None` if the model is not in the configuration.
pub fn load_time(engine: &EngineSpec, holdings: &Holdings, model: &str) -> Option<Duration> {
    let spec = engine.models.get(model)?;
    Some(match weight_source(holdings, model) {
        WeightSource::Memory => spec.memory_load,
        WeightSource::Disk => spec.disk_load,
        WeightSource::Store => spec.store_load,
    })
}
