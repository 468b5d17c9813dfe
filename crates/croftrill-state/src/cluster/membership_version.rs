//! Counting the changes of a cell's live nodes.
//!
//! Holders of claims are chosen among a cell's live nodes; the version tells
//! whether two nodes chose by the same set, however it came to change.

use super::ClusterState;
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
        let changed = changed_cells(&before.live_nodes(), &self.live_nodes());
        for cell in changed {
            let membership = self.cell_memberships.entry(cell).or_default();
            membership.changed_at = at;
            membership.version += 1;
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

fn changed_cells(before: &LiveNodes<'_>, after: &LiveNodes<'_>) -> Vec<CellId> {
    let cells: BTreeSet<&CellId> = before.keys().chain(after.keys()).copied().collect();
    cells
        .into_iter()
        .filter(|cell| before.get(cell) != after.get(cell))
        .cloned()
        .collect()
}
