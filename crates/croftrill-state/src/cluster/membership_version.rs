//! Counting the changes of a cell's live nodes.
//!
//! Holders of claims are chosen among a cell's live nodes; the version tells
//! whether two nodes chose by the same set, however it came to change.

use super::{CellMembership, ClusterState, FormerMembership, FORMER_MEMBERSHIPS};
use crate::identifiers::{CellId, NodeId, Revision};
use crate::placement::Lifecycle;
use std::collections::{BTreeMap, BTreeSet};

type LiveNodes<'a> = BTreeMap<&'a CellId, BTreeSet<&'a NodeId>>;

impl ClusterState {
    /// Counts one change of each cell whose live nodes differ from `before`.
    pub(super) fn note_membership_changes(&mut self, before: &ClusterState, at: Revision) {
        if self.nodes.is_same(&before.nodes) {
            return;
        }
        let former = before.live_nodes();
        for cell in changed_cells(&former, &self.live_nodes()) {
            let nodes = former.get(&cell).into_iter().flatten();
            let nodes = nodes.map(|node| (*node).clone()).collect();
            let membership = self.cell_memberships.entry(cell).or_default();
            membership.replace(nodes, at);
        }
    }

    fn live_nodes(&self) -> LiveNodes<'_> {
        let mut cells = LiveNodes::new();
        for (id, node) in &self.nodes {
            if node.value.lifecycle == Lifecycle::Live {
                cells.entry(&node.value.cell).or_default().insert(id);
            }
        }
        cells
    }
}

impl CellMembership {
    /// Counts one change, made at `at`; `former` are the live nodes before it.
    fn replace(&mut self, former: Vec<NodeId>, at: Revision) {
        if self.version > 0 {
            self.former.push(FormerMembership {
                changed_at: self.changed_at,
                nodes: former,
            });
        }
        if self.former.len() > FORMER_MEMBERSHIPS {
            self.former.remove(0);
        }
        self.changed_at = at;
        self.version += 1;
    }
}

fn changed_cells(before: &LiveNodes<'_>, after: &LiveNodes<'_>) -> Vec<CellId> {
    let cells: BTreeSet<&CellId> = before.keys().chain(after.keys()).copied().collect();
    cells
        .into_iter()
        .filter(|cell| before.get(cell) != after.get(cell))
        .cloned()
        .collect()
}
