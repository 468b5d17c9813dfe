//! Whether a node sees enough of its cell to judge who is dead.

use crate::replication::LiveMembers;
use croftrill_state::placement::Lifecycle;
use croftrill_state::{CellId, ClusterState};

/// Whether fewer than half of the cell's live nodes seem alive, or none of the
/// others is heard. The latter shows a cut at once; until each member is held
/// for dead takes longer the more there are.
pub(super) fn is_isolated(state: &ClusterState, cell: &CellId, members: &dyn LiveMembers) -> bool {
    let mut all = 0;
    let mut alive = 0;
    for versioned in state.nodes.values() {
        let node = &versioned.value;
        if node.cell != *cell || node.lifecycle != Lifecycle::Live {
            continue;
        }
        all += 1;
        if members.is_alive(&node.id) {
            alive += 1;
        }
    }
    2 * alive < all || (all > 1 && !members.hears_others())
}
