//! Records of what the engine holds, is told to hold, or may hold.

use super::{HeldAdapterReplica, HeldReplica};
use crate::configuration::{Adapter, Model, PriorityClass};
use crate::identifiers::AdapterId;
use crate::time::Instant;
use std::collections::BTreeMap;

/// Progress of a model or adapter; in every phase its memory is taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// Memory is reserved; the order to load is not given, or not answered.
    Reserved,
    /// The engine accepted the load.
    Loading,
    /// Ready.
    Loaded,
    /// An unload is ordered and not answered.
    Unloading,
    /// An unload was answered; the next inventory tells its effect.
    Answered,
    /// The answer to a load was lost; the order may still arrive.
    LostLoad,
    /// The answer to an unload was lost; the order may still arrive.
    LostUnload,
}

impl Phase {
    /// Whether an order is on its way; no inventory can judge it.
    pub(super) fn is_unanswered(self) -> bool {
        matches!(self, Phase::Reserved | Phase::Unloading)
    }

    /// Whether the answer to an order was lost.
    pub(super) fn is_lost(self) -> bool {
        matches!(self, Phase::LostLoad | Phase::LostUnload)
    }
}

/// A model on the engine.
#[derive(Clone, Debug)]
pub(super) struct Replica {
    pub(super) version: u32,
    pub(super) accelerators: Vec<u32>,
    /// Memory on each accelerator without adapters, in MiB.
    pub(super) memory: u64,
    pub(super) phase: Phase,
    /// Sequence number of the last change by us.
    pub(super) changed: u64,
    /// Until when a lost order may still arrive.
    pub(super) hold_until: Instant,
    pub(super) loaded_at: Instant,
    /// When the load is expected to be done.
    pub(super) expected_at: Instant,
    /// No new work: it is to make room.
    pub(super) draining: bool,
    pub(super) adapters: BTreeMap<AdapterId, AdapterReplica>,
}

impl Replica {
    /// One that the engine holds without our order.
    pub(super) fn found(held: &HeldReplica, expected_at: Instant, now: Instant) -> Self {
        Self {
            version: held.version,
            accelerators: held.accelerators.clone(),
            memory: held.memory_mib_per_accelerator,
            phase: Phase::Answered,
            changed: 0,
            hold_until: now,
            loaded_at: now,
            expected_at,
            draining: false,
            adapters: BTreeMap::new(),
        }
    }

    /// One whose load is about to be ordered.
    pub(super) fn reserved(
        model: &Model,
        accelerators: Vec<u32>,
        changed: u64,
        expected_at: Instant,
        now: Instant,
    ) -> Self {
        Self {
            version: model.version,
            accelerators,
            memory: model.memory_mib_per_accelerator,
            phase: Phase::Reserved,
            changed,
            hold_until: now,
            loaded_at: now,
            expected_at,
            draining: false,
            adapters: BTreeMap::new(),
        }
    }

    /// Memory that the replica and its adapters take on each accelerator.
    pub(super) fn footprint(&self) -> u64 {
        let adapters: u64 = self.adapters.values().map(|adapter| adapter.memory).sum();
        self.memory + adapters
    }
}

/// An adapter beside a replica.
#[derive(Clone, Debug)]
pub(super) struct AdapterReplica {
    pub(super) version: u32,
    /// Memory on each accelerator, in MiB.
    pub(super) memory: u64,
    pub(super) phase: Phase,
    pub(super) changed: u64,
    pub(super) hold_until: Instant,
}

impl AdapterReplica {
    pub(super) fn found(held: &HeldAdapterReplica) -> Self {
        Self {
            version: held.version,
            memory: held.memory_mib_per_accelerator,
            phase: Phase::Answered,
            changed: 0,
            hold_until: Instant::default(),
        }
    }

    pub(super) fn reserved(adapter: &Adapter, changed: u64) -> Self {
        Self {
            version: adapter.version,
            memory: adapter.memory_mib_per_accelerator,
            phase: Phase::Reserved,
            changed,
            hold_until: Instant::default(),
        }
    }
}

/// Use of a model or adapter, kept also while it is not loaded.
#[derive(Clone, Debug, Default)]
pub(super) struct Usage {
    pub(super) running: BTreeMap<PriorityClass, u32>,
    pub(super) last_used: Instant,
    /// When a request with a tight deadline last came.
    pub(super) last_tight: Option<Instant>,
    /// Requests seen lately; fades with the rate window.
    pub(super) rate: f64,
    pub(super) rate_at: Instant,
}

impl Usage {
    pub(super) fn in_use(&self) -> bool {
        self.running.values().any(|running| *running > 0)
    }

    pub(super) fn rate(&self, window_millis: u64, now: Instant) -> f64 {
        let age = now.millis_since(self.rate_at) as f64;
        self.rate * (-age / window_millis.max(1) as f64).exp()
    }
}

/// A pause of orders after failures.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Backoff {
    pub(super) failures: u32,
    pub(super) until: Instant,
}
