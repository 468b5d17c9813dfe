//! Room of a replica: its memory for weights and adapters, and its adapter slots.

use std::collections::BTreeSet;
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
    pub fn of(engine: &EngineSpec, holdings: &Holdings, in_transit: &[ModelAdapter]) -> Self {
        let weights = holdings
            .models
            .iter()
            .map(|held| match engine.models.get(&held.model) {
                Some(spec) => spec.weights_mb,
                None => engine.weights_mb,
            });
        let held = holdings.models.iter().flat_map(|held| {
            let model = &held.model;
            held.adapters.iter().map(move |adapter| (model, adapter))
        });
        let in_transit = in_transit
            .iter()
            .map(|transit| (&transit.model, &transit.adapter));
        let adapters: BTreeSet<_> = held.chain(in_transit).collect();
        let adapter_memory = adapters.iter().map(|(model, _)| {
            let spec = engine.models.get(*model);
            spec.map_or(0.0, |spec| spec.adapter_mb)
        });
        RoomUse {
            memory_mb: weights.sum::<f64>() + adapter_memory.sum::<f64>(),
            adapter_slots: adapters.len(),
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

    /// Returns whether it is within the room of a replica.
    pub fn fits(self, engine: &EngineSpec) -> bool {
        self.memory_mb <= engine.weights_mb && self.adapter_slots <= engine.adapter_slots
    }

    /// Returns the greater of each.
    pub fn max(self, other: Self) -> Self {
        RoomUse {
            memory_mb: self.memory_mb.max(other.memory_mb),
            adapter_slots: self.adapter_slots.max(other.adapter_slots),
        }
    }

    /// Returns what an order takes once it is carried out; nothing for an unload.
    pub fn of_order(engine: &EngineSpec, order: &Order) -> Self {
        let spec = engine.models.get(order.model());
        match order {
            Order::LoadModel(_) => RoomUse {
                memory_mb: spec.map_or(engine.weights_mb, |spec| spec.weights_mb),
                adapter_slots: 0,
            },
            Order::LoadAdapter(..) => RoomUse {
                memory_mb: spec.map_or(0.0, |spec| spec.adapter_mb),
                adapter_slots: 1,
            },
            Order::UnloadModel(_) | Order::UnloadAdapter(..) => RoomUse::default(),
        }
    }
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
