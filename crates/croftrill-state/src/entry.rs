//! Entries of the revision log: the one total order of everything decided.

use crate::configuration::{Adapter, Group, Model};
use crate::identifiers::{
    AdapterId, CellId, EngineId, EntryId, GroupId, ModelId, NodeId, PlanId, Revision, Term,
};
use crate::placement::{Assignment, Engine, Node};
use nanoserde::{DeBin, SerBin};
use serde::{Deserialize, Serialize};

/// What an operator wants.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "intent", content = "value")]
pub enum Intent {
    /// Create or replace a group.
    PutGroup(Group),
    /// Delete a group.
    DeleteGroup(GroupId),
    /// Create or replace a model.
    PutModel(Model),
    /// Delete a model.
    DeleteModel(ModelId),
    /// Create or replace an adapter.
    PutAdapter(Adapter),
    /// Delete an adapter.
    DeleteAdapter(AdapterId),
    /// Move all work away from a node.
    DrainNode(NodeId),
    /// Move all work away from an engine.
    DrainEngine(EngineId),
}

/// One step of a change of placement.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "step")]
pub enum PlacementStep {
    /// Add or replace an assignment.
    Assign {
        /// The assignment.
        assignment: Assignment,
    },
    /// Drain and unload a replica; `Change::Released` ends it.
    Release {
        /// The model.
        model: ModelId,
        /// The engine.
        engine: EngineId,
    },
    /// Give an engine to a node, whose fencing token is the entry's revision.
    SetOwner {
        /// The engine.
        engine: EngineId,
        /// The new owner.
        owner: NodeId,
    },
}

/// A change that an entry makes.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin, Serialize, Deserialize)]
pub enum Change {
    /// An operator confirmed a plan. Rejected if an object that it names
    /// changed after `base`.
    ConfirmPlan {
        /// The plan.
        plan: PlanId,
        /// The revision that it was made from.
        base: Revision,
        /// What the operator wanted.
        intents: Vec<Intent>,
        /// What the plan does.
        steps: Vec<PlacementStep>,
    },
    /// A node became coordinator of a cell in the entry's term.
    ElectCoordinator {
        /// The cell.
        cell: CellId,
        /// The node.
        node: NodeId,
    },
    /// The coordinator of `cell` recorded what the platform's machine list says
    /// and changed the placement accordingly. Rejected if the entry's term is
    /// not the cell's present term.
    Reconcile {
        /// The cell.
        cell: CellId,
        /// Nodes that joined or changed.
        put_nodes: Vec<Node>,
        /// Nodes that are gone.
        remove_nodes: Vec<NodeId>,
        /// Engines that joined or changed (`owner` and `fencing_token` are kept
        /// from the present state).
        put_engines: Vec<Engine>,
        /// Engines that are gone, with all that they held.
        remove_engines: Vec<EngineId>,
        /// Changes of placement.
        steps: Vec<PlacementStep>,
    },
    /// The engine's owner reports a confirmed unload of a releasing replica.
    Released {
        /// The model.
        model: ModelId,
        /// The engine.
        engine: EngineId,
        /// The revision of the entry that released it. A report of an earlier
        /// release of the same replica says nothing about the present one.
        release: Revision,
    },
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin, Serialize, Deserialize)]
pub struct LogEntry {
    /// Its position.
    pub revision: Revision,
    /// Unique to the writer's attempt.
    pub entry_id: EntryId,
    /// The node that wrote it.
    pub author: NodeId,
    /// The author's term as coordinator; 0 if it is not one.
    pub term: Term,
    /// What it changes.
    pub change: Change,
}
