//! Owners of engines: every engine gets a live one, in its own zone if there is
//! any, spread evenly; no engine moves without need.

use super::draft::Draft;
use super::{lasted, Observation, Reconciler};
use crate::engine_owners::{self, choose_owner, OwnerCandidate};
use crate::entry::PlacementStep;
use crate::identifiers::{CellId, NodeId};
use crate::placement::{Engine, Lifecycle, Node};
use std::collections::BTreeMap;

impl Reconciler {
    pub(super) fn draft_owners(&self, draft: &mut Draft, observation: &Observation) {
        let unowned = self.without_owner(draft, observation);
        if unowned.is_empty() {
            return;
        }
        let mut candidates = candidates(draft, observation);
        for engine in unowned {
            if !draft.has_room(1) {
                return;
            }
            let Some(owner) = choose_owner(&mut candidates, &engine) else {
                return;
            };
            draft.step(PlacementStep::SetOwner {
                engine: engine.id,
                owner,
            });
        }
    }

    /// Engines of the cell without a usable owner.
    pub(super) fn without_owner(&self, draft: &Draft, observation: &Observation) -> Vec<Engine> {
        let nodes: BTreeMap<&NodeId, &Node> = draft.nodes().map(|node| (&node.id, node)).collect();
        draft
            .engines()
            .filter(|engine| engine.cell == draft.cell)
            .filter(|engine| {
                let owner = engine.owner.as_ref().and_then(|id| nodes.get(id));
                !owner.is_some_and(|node| self.keeps_engines(node, &draft.cell, observation))
            })
            .cloned()
            .collect()
    }

    fn keeps_engines(&self, node: &Node, cell: &CellId, observation: &Observation) -> bool {
        let dead = lasted(
            &self.dead_since,
            &node.id,
            self.config.owner_dead_millis,
            observation.now,
        );
        node.lifecycle == Lifecycle::Live && node.cell == *cell && !dead
    }
}

/// The live nodes of the cell that answer.
pub(super) fn candidates(draft: &Draft, observation: &Observation) -> Vec<OwnerCandidate> {
    let usable = draft
        .nodes()
        .filter(|node| node.cell == draft.cell)
        .filter(|node| node.lifecycle == Lifecycle::Live)
        .filter(|node| (observation.alive)(&node.id));
    engine_owners::candidates(usable, draft.engines())
}
