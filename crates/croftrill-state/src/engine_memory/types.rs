//! What goes into the decisions and what comes out.

use crate::cluster::Target;
use crate::configuration::{Adapter, Model, PriorityClass};
use crate::identifiers::{AdapterId, ModelId};
use crate::placement::{AssignmentState, Residency};
use crate::time::Instant;
use std::collections::BTreeSet;

/// Where a checkpoint is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum CheckpointLocality {
    /// In the machine's memory.
    Memory,
    /// On the machine's disk.
    Disk,
    /// In the weight store.
    Remote,
}

/// An assignment on the engine with its model.
#[derive(Clone, Debug, PartialEq)]
pub struct AssignedModel {
    /// The model.
    pub model: Model,
    /// Memory use.
    pub residency: Residency,
    /// Progress.
    pub state: AssignmentState,
}

/// A model that the engine says it holds.
#[derive(Clone, Debug, PartialEq)]
pub struct HeldReplica {
    /// The model.
    pub model: ModelId,
    /// Its version.
    pub version: u32,
    /// Whether it is ready; otherwise it is being loaded.
    pub loaded: bool,
    /// Accelerators that it spans.
    pub accelerators: Vec<u32>,
    /// Memory on each, in MiB.
    pub memory_mib_per_accelerator: u64,
    /// Adapters beside it.
    pub adapters: Vec<HeldAdapterReplica>,
}

/// An adapter that the engine says it holds.
#[derive(Clone, Debug, PartialEq)]
pub struct HeldAdapterReplica {
    /// The adapter.
    pub adapter: AdapterId,
    /// Its version.
    pub version: u32,
    /// Whether it is ready; otherwise it is being loaded.
    pub loaded: bool,
    /// Memory on each accelerator of the base, in MiB.
    pub memory_mib_per_accelerator: u64,
}

/// What the engine says it holds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HeldReport {
    /// Models.
    pub replicas: Vec<HeldReplica>,
    /// Checkpoints in the machine's memory.
    pub cached_in_memory: BTreeSet<ModelId>,
    /// Checkpoints on the machine's disk.
    pub cached_on_disk: BTreeSet<ModelId>,
    /// Whether requests of a former owner still run, on models that are not
    /// known.
    pub others_running: bool,
}

/// Marks the moment when an inventory was asked for. What changed later than
/// that is not judged by its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct InventoryTicket {
    pub(super) sequence: u64,
    pub(super) asked_at: Instant,
}

/// A target that requests wait for.
#[derive(Clone, Debug, PartialEq)]
pub struct Demand {
    /// The target.
    pub target: Target,
    /// The most urgent class that waits.
    pub priority: PriorityClass,
    /// The earliest first-token deadline.
    pub earliest_deadline: Instant,
    /// The latest first-token deadline.
    pub latest_deadline: Instant,
    /// When the oldest request came.
    pub oldest_arrival: Instant,
}

/// What to order from the engine.
#[derive(Clone, Debug, PartialEq)]
pub enum MemoryAction {
    /// Load a model; its memory is reserved.
    Load {
        /// The model.
        model: Model,
        /// Accelerators to span.
        accelerators: Vec<u32>,
        /// Where the checkpoint is.
        source: CheckpointLocality,
    },
    /// Unload a model.
    Unload {
        /// The model.
        model: ModelId,
        /// Why.
        reason: UnloadReason,
    },
    /// Load an adapter; its memory is reserved.
    LoadAdapter {
        /// The adapter.
        adapter: Adapter,
    },
    /// Unload an adapter.
    UnloadAdapter {
        /// The adapter.
        adapter: AdapterId,
        /// Its base.
        base: ModelId,
    },
}

/// Why a model is unloaded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum UnloadReason {
    /// The engine holds it without an active assignment.
    NotAssigned,
    /// Its assignment is being released.
    Released,
    /// It is not the version in force.
    OldVersion,
    /// It makes room.
    Evicted,
    /// Nobody asked for it for long.
    Idle,
}

/// What an answer says of an order's effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderAnswer {
    /// Carried out, begun, or so already.
    Done,
    /// It certainly had no effect.
    NoEffect,
    /// The answer was lost; nobody can say.
    Lost,
}

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
