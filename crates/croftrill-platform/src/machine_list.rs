//! The platform's lagging list of machines.

use async_trait::async_trait;
use croftrill_state::placement::{Engine, Lifecycle, Node};
use croftrill_state::{EngineId, NodeId};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// A machine of the list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum Machine {
    /// It runs the daemon.
    Node(Node),
    /// It runs an engine (`owner` and `fencing_token` are unset).
    Engine(Engine),
}

impl Machine {
    /// Whether it is on its way out.
    pub fn lifecycle(&self) -> Lifecycle {
        match self {
            Machine::Node(node) => node.lifecycle,
            Machine::Engine(engine) => engine.lifecycle,
        }
    }

    /// The node's name, if it is one.
    pub fn node_id(&self) -> Option<&NodeId> {
        match self {
            Machine::Node(node) => Some(&node.id),
            Machine::Engine(_) => None,
        }
    }

    /// The engine's name, if it is one.
    pub fn engine_id(&self) -> Option<&EngineId> {
        match self {
            Machine::Node(_) => None,
            Machine::Engine(engine) => Some(&engine.id),
        }
    }
}

/// The list cannot be read now.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("the machine list cannot be read: {0}")]
pub struct MachineListError(pub String);

/// Calls to the machine list.
#[async_trait]
pub trait MachineList: Send + Sync {
    /// Every machine that the platform believes to exist.
    async fn machines(&self) -> Result<Vec<Machine>, MachineListError>;
}
