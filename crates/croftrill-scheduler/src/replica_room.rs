//! Room of a replica: its memory for weights and adapters, and its adapter slots.

use std::fmt;
use std::iter::Sum;
use std::ops::Add;

use crate::catalog::EngineSpec;
use crate::replica::{Holdings, ModelAdapter, Order};

/// What takes room at a replica.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct RoomUse {
    /// Memory of weights and adapters, in MB.
    pub memory_mb: f64,
    /// Occupied adapter slots.
    pub adapter_slots: usize,
}

impl RoomUse {
    /// Returns what models and adapters take that a replica holds, and adapters on their way to it. An
    /// adapter that is in both counts once. A model that is not in the configuration is assumed to fill
    /// the replica.
    pub fn of<'a>(
        engine: &EngineSpec,
        holdings: &Holdings,
        in_transit: impl IntoIterator<Item = &'a ModelAdapter>,
    ) -> Self {
        let held = holdings.models.iter().map(|held| RoomUse {
            memory_mb: weights_mb(engine, &held.model)
                + adapter_mb(engine, &held.model) * held.adapters.len() as f64,
            adapter_slots: held.adapters.len(),
        });
        let is_held = |adapter: &&ModelAdapter| holdings.serves(&adapter.model, Some(&adapter.adapter));
        let others = in_transit.into_iter().filter(|adapter| !is_held(adapter));
        let others = others.map(|adapter| RoomUse {
            memory_mb: adapter_mb(engine, &adapter.model),
            adapter_slots: 1,
        });
        held.chain(others).sum()
    }

    /// Returns what an order takes once it is carried out; nothing for an unload.
    pub fn of_order(engine: &EngineSpec, order: &Order) -> Self {
        match order {
            Order::LoadModel(model) => RoomUse {
                memory_mb: weights_mb(engine, model),
                adapter_slots: 0,
            },
            Order::LoadAdapter(model, _) => RoomUse {
                memory_mb: adapter_mb(engine, model),
                adapter_slots: 1,
            },
            Order::UnloadModel(_) | Order::UnloadAdapter(..) => RoomUse::default(),
        }
    }

    /// Returns the most that any order can take.
    pub fn of_largest_order(engine: &EngineSpec) -> Self {
        let models = engine.models.values();
        let largest = models.map(|spec| RoomUse {
            memory_mb: spec.weights_mb.max(spec.adapter_mb),
            adapter_slots: usize::from(spec.adapter_count > 0),
        });
        largest.fold(RoomUse::default(), RoomUse::max)
    }

    /// Returns what an empty replica has left beside this.
    pub fn left_beside(self, engine: &EngineSpec) -> Self {
        RoomUse {
            memory_mb: (engine.weights_mb - self.memory_mb).max(0.0),
            adapter_slots: engine.adapter_slots.saturating_sub(self.adapter_slots),
        }
    }

    /// Returns true if it is within the room of a replica.
    pub fn fits(self, engine: &EngineSpec) -> bool {
        self.memory_mb <= engine.weights_mb && self.adapter_slots <= engine.adapter_slots
    }

    /// Returns the smaller of each.
    pub fn min(self, other: Self) -> Self {
        RoomUse {
            memory_mb: self.memory_mb.min(other.memory_mb),
            adapter_slots: self.adapter_slots.min(other.adapter_slots),
        }
    }

    /// Returns the greater of each.
    pub fn max(self, other: Self) -> Self {
        RoomUse {
            memory_mb: self.memory_mb.max(other.memory_mb),
            adapter_slots: self.adapter_slots.max(other.adapter_slots),
        }
    }
}

fn weights_mb(engine: &EngineSpec, model: &str) -> f64 {
    let spec = engine.models.get(model);
    spec.map_or(engine.weights_mb, |spec| spec.weights_mb)
}

fn adapter_mb(engine: &EngineSpec, model: &str) -> f64 {
    engine.models.get(model).map_or(0.0, |spec| spec.adapter_mb)
}

impl Add for RoomUse {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        RoomUse {
            memory_mb: self.memory_mb + other.memory_mb,
            adapter_slots: self.adapter_slots + other.adapter_slots,
        }
    }
}

impl Sum for RoomUse {
    fn sum<I: Iterator<Item = Self>>(items: I) -> Self {
        items.fold(RoomUse::default(), Add::add)
    }
}

impl fmt::Display for RoomUse {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{} adapters, {:.0} MB",
            self.adapter_slots, self.memory_mb
        )
    }
}
