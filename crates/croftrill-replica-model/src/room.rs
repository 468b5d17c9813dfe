//! Room of a replica, what takes it, and how long orders take.

use std::collections::HashMap;
use std::fmt;
use std::time::Duration;

use croftrill_scheduler::catalog::{EngineSpec, ModelName};
use croftrill_scheduler::replica::{Holdings, Order};
use croftrill_scheduler::replica_room::RoomUse;
use croftrill_scheduler::time::Moment;

/// Memory and times of one model.
#[derive(Debug, Clone, Copy)]
pub struct ModelCost {
    /// Memory of its weights, in MB.
    pub weights_mb: f64,
    /// Memory of one of its adapters, in MB.
    pub adapter_mb: f64,
    /// Duration of a load from the weight store.
    pub store_load: Duration,
    /// Duration of a load from the replica's disk.
    pub disk_load: Duration,
}

/// Room and times of a replica.
#[derive(Debug, Clone)]
pub struct ReplicaSpec {
    /// Memory for weights and adapters, in MB.
    pub weights_mb: f64,
    /// Number of adapters that it can hold, with those on their way to it.
    pub adapter_slots: usize,
    /// Number of adapters that may be on their way to it.
    pub max_in_transit: usize,
    /// Models by name.
    pub models: HashMap<ModelName, ModelCost>,
    /// Any other model.
    pub other_models: ModelCost,
    /// Duration of the unload of a model.
    pub unload: Duration,
    /// Time that an adapter takes to arrive.
    pub adapter_transit: Duration,
    /// Age of the state that a report shows.
    pub report_lag: Duration,
}

/// An order to load beyond the room of a replica.
#[derive(Debug, Clone, PartialEq)]
pub struct RoomViolation {
    /// When the replica got it.
    pub at: Moment,
    /// The order.
    pub order: Order,
    /// Sequence of the replica.
    pub sequence: u64,
    /// What took room before.
    pub taken: RoomUse,
    /// Number of adapters on their way to the replica, of those that took room.
    pub in_transit: usize,
}

impl ReplicaSpec {
    /// Returns the room and times of a service's replicas.
    pub fn of_engine(engine: &EngineSpec) -> Self {
        let models = engine.models.values().map(|spec| {
            let cost = ModelCost {
                weights_mb: spec.weights_mb,
                adapter_mb: spec.adapter_mb,
                store_load: spec.store_load,
                disk_load: spec.disk_load,
            };
            (spec.name.clone(), cost)
        });
        ReplicaSpec {
            weights_mb: engine.weights_mb,
            adapter_slots: engine.adapter_slots,
            models: models.collect(),
            ..ReplicaSpec::default()
        }
    }

    /// Returns what the room is compared with.
    pub(crate) fn fits(&self, taken: RoomUse) -> bool {
        taken.memory_mb <= self.weights_mb && taken.adapter_slots <= self.adapter_slots
    }

    pub(crate) fn cost(&self, model: &str) -> ModelCost {
        self.models.get(model).copied().unwrap_or(self.other_models)
    }

    /// Returns what an order takes once it was taken.
    pub(crate) fn taken_by(&self, order: &Order) -> RoomUse {
        let cost = self.cost(order.model());
        match order {
            Order::LoadModel(_) => RoomUse {
                memory_mb: cost.weights_mb,
                adapter_slots: 0,
            },
            Order::LoadAdapter(..) => RoomUse {
                memory_mb: cost.adapter_mb,
                adapter_slots: 1,
            },
            Order::UnloadModel(_) | Order::UnloadAdapter(..) => RoomUse::default(),
        }
    }

    /// Returns the duration of an order about weights.
    pub(crate) fn duration(&self, order: &Order, holdings: &Holdings) -> Duration {
        let cost = self.cost(order.model());
        match order {
            Order::LoadModel(model) if holdings.copies.on_disk.contains(model) => cost.disk_load,
            Order::LoadModel(_) => cost.store_load,
            Order::UnloadModel(_) | Order::LoadAdapter(..) | Order::UnloadAdapter(..) => self.unload,
        }
    }
}

impl Default for ReplicaSpec {
    fn default() -> Self {
        ReplicaSpec {
            weights_mb: 200.0,
            adapter_slots: 4,
            max_in_transit: 4,
            models: HashMap::new(),
            other_models: ModelCost {
                weights_mb: 90.0,
                adapter_mb: 1.0,
                store_load: Duration::from_millis(600),
                disk_load: Duration::from_millis(200),
            },
            unload: Duration::from_millis(150),
            adapter_transit: Duration::from_millis(10),
            report_lag: Duration::from_millis(150),
        }
    }
}

impl fmt::Display for RoomViolation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{:?} at sequence {} with {}, {} of them in transit",
            self.order, self.sequence, self.taken, self.in_transit,
        )
    }
}
