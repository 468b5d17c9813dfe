//! Where things are: nodes, engines, their owners, and which engine may hold
//! which model.
//!
//! An [`Assignment`] delegates: it lets the engine's owner load one replica of
//! one model on one engine. A *resident* assignment has its memory reserved and
//! its replica is kept loaded. *On-demand* assignments of an engine share what
//! the residents leave free; the owner loads and evicts among them by itself,
//! without a new log entry, so that idle models wake while the key-value
//! service is down. Since a model has at most `max_replicas` assignments, no
//! sequence of such loads exceeds the decided replica count.

use crate::identifiers::{CellId, EngineId, FencingToken, ModelId, NodeId, ZoneId};
use nanoserde::{DeBin, SerBin};
use serde::{Deserialize, Serialize};

/// Whether a machine takes part or is on its way out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, SerBin, DeBin, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Lifecycle {
    /// Takes new work.
    #[default]
    Live,
    /// Finishes what it has and takes nothing new.
    Leaving,
    /// A node whose process announced a planned stop; it finishes what it has
    /// and takes nothing new. Live again once a new process of it answers.
    Stopping,
}

/// A machine that runs the daemon.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin, Serialize, Deserialize)]
pub struct Node {
    /// Its name.
    pub id: NodeId,
    /// Its zone.
    pub zone: ZoneId,
    /// The cell whose coordinator it obeys.
    pub cell: CellId,
    /// `ip:port` of the peer service (TCP) and of membership probes (UDP, the
    /// same port number).
    pub peer_address: String,
    /// `ip:port` where the node takes attempts from gateways (HTTP/2).
    pub attempt_address: String,
    /// Whether it takes new work.
    pub lifecycle: Lifecycle,
}

/// One model engine and its accelerators.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin, Serialize, Deserialize)]
pub struct Engine {
    /// Its name.
    pub id: EngineId,
    /// Its zone.
    pub zone: ZoneId,
    /// The cell that it belongs to.
    pub cell: CellId,
    /// `ip:port` of its HTTP interface.
    pub address: String,
    /// Memory of each of its accelerators, in MiB.
    pub accelerator_memory_mib: Vec<u64>,
    /// Requests that it runs at once.
    pub max_running: u32,
    /// The node whose queue all its requests pass, if any is assigned.
    pub owner: Option<NodeId>,
    /// The token of the present owner's orders; 0 if none was ever assigned.
    pub fencing_token: FencingToken,
    /// Whether it takes new work.
    pub lifecycle: Lifecycle,
}

/// How a replica uses the memory of its engine.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "residency")]
pub enum Residency {
    /// Kept loaded, with memory reserved on these accelerators (indexes).
    Resident {
        /// Indexes of the reserved accelerators.
        accelerators: Vec<u32>,
    },
    /// Loaded by the owner when asked for, in memory shared with others.
    OnDemand,
}

/// Progress of an assignment.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "state")]
pub enum AssignmentState {
    /// The owner may load it.
    Active,
    /// Not yet usable: becomes active when the assignment of the same model on
    /// this other engine has been released. Does not count as a replica.
    WaitingFor {
        /// The engine that must release first.
        engine: EngineId,
    },
    /// The owner must drain and unload it; it still counts as a replica and
    /// holds its memory until the engine confirmed the unload.
    Releasing,
}

/// The right of an engine's owner to load one replica of a model on it.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin, Serialize, Deserialize)]
pub struct Assignment {
    /// The model.
    pub model: ModelId,
    /// The engine.
    pub engine: EngineId,
    /// Memory use.
    pub residency: Residency,
    /// Progress.
    pub state: AssignmentState,
}

impl Assignment {
    /// Whether a replica may exist because of it: true unless it only waits.
    pub fn counts_as_replica(&self) -> bool {
        !matches!(self.state, AssignmentState::WaitingFor { .. })
    }
}
