//! What operators configure: groups, models, adapters.

use crate::identifiers::{AdapterId, GroupId, ModelId};
use nanoserde::{DeBin, SerBin};
use serde::{Deserialize, Serialize};

/// Classes of urgency. A more urgent class goes first; inside one class the
/// groups share fairly.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, SerBin, DeBin, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum PriorityClass {
    /// Alerts and acknowledgements.
    Critical,
    /// Somebody waits at a screen.
    Interactive,
    /// The default.
    #[default]
    Standard,
    /// May wait.
    Batch,
}

impl PriorityClass {
    /// Every class, the most urgent first.
    pub const ALL: [PriorityClass; 4] = [
        PriorityClass::Critical,
        PriorityClass::Interactive,
        PriorityClass::Standard,
        PriorityClass::Batch,
    ];
}

/// A research group that the pool is shared among.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin, Serialize, Deserialize)]
pub struct Group {
    /// Its name.
    pub id: GroupId,
    /// Its share of the pool relative to the other groups' weights; at least 1.
    pub share_weight: u32,
    /// The most urgent class its requests may ask for; a request that asks for
    /// more is served in this class.
    pub highest_priority: PriorityClass,
}

/// A model that engines can load.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin, Serialize, Deserialize)]
pub struct Model {
    /// Its name, as callers write it.
    pub id: ModelId,
    /// The version of its weights that is in force.
    pub version: u32,
    /// Accelerators that one replica spans; at least 1.
    pub accelerators: u32,
    /// Memory that one replica takes on each of its accelerators, in MiB.
    pub memory_mib_per_accelerator: u64,
    /// Size of the checkpoint that a load reads, in MiB.
    pub checkpoint_mib: u64,
    /// Replicas that stay loaded even when idle.
    pub min_replicas: u32,
    /// Replicas that may be loaded at once; at least 1 and `min_replicas`.
    pub max_replicas: u32,
}

/// An adapter that is loaded next to a replica of its base model.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin, Serialize, Deserialize)]
pub struct Adapter {
    /// Its name, as callers write it in place of a model.
    pub id: AdapterId,
    /// The model that it adapts.
    pub base: ModelId,
    /// The version of its weights that is in force.
    pub version: u32,
    /// Memory that it takes on each accelerator of the replica, in MiB.
    pub memory_mib_per_accelerator: u64,
}
