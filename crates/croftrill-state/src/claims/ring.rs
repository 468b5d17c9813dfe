//! The nodes that share the keys of a cell, at one revision.

use crate::cluster::ClusterState;
use crate::identifiers::{CellId, IdempotencyKey, NodeId, Revision};
use crate::placement::Lifecycle;
use crate::rendezvous;
use std::collections::BTreeSet;

/// The nodes that hold the keys of a cell between two changes of them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClaimRing {
    /// The revision of the entry that made it.
    pub revision: Revision,
    /// Counts the rings of the cell; the first is 1, and 0 means "none yet".
    pub version: u64,
    /// The live nodes.
    pub nodes: BTreeSet<NodeId>,
    /// The rings before, the latest last, as far as remembered.
    pub former: Vec<FormerRing>,
}

/// A ring that was replaced.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FormerRing {
    /// The revision of the entry that made it.
    pub revision: Revision,
    /// Its nodes.
    pub nodes: BTreeSet<NodeId>,
}

impl FormerRing {
    /// The node that held a key.
    pub fn holder(&self, key: &IdempotencyKey) -> Option<&NodeId> {
        rendezvous::highest(key.as_str(), &self.nodes)
    }
}

impl ClaimRing {
    /// The present ring of a cell.
    pub fn of_cell(state: &ClusterState, cell: &CellId) -> Self {
        let membership = state.cell_memberships.get(cell).cloned().unwrap_or_default();
        let nodes = state
            .nodes
            .values()
            .map(|node| &node.value)
            .filter(|node| node.cell == *cell && node.lifecycle == Lifecycle::Live)
            .map(|node| node.id.clone())
            .collect();
        let former = membership
            .former
            .into_iter()
            .map(|former| FormerRing {
                revision: former.changed_at,
                nodes: former.nodes.into_iter().collect(),
            })
            .collect();
        Self {
            revision: membership.changed_at,
            version: membership.version,
            nodes,
            former,
        }
    }

    /// This ring as one that was replaced.
    pub fn to_former(&self) -> FormerRing {
        FormerRing {
            revision: self.revision,
            nodes: self.nodes.clone(),
        }
    }

    /// The node that holds a key.
    pub fn holder(&self, key: &IdempotencyKey) -> Option<&NodeId> {
        rendezvous::highest(key.as_str(), &self.nodes)
    }
}

/// The revision of the entry that last changed the live nodes of a cell.
pub fn membership_revision(state: &ClusterState, cell: &CellId) -> Revision {
    let membership = state.cell_memberships.get(cell);
    membership.map_or(Revision(0), |membership| membership.changed_at)
}
