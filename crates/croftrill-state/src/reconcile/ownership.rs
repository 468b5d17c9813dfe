//! Owners of engines: every engine gets a live one, in its own zone if there is
//! any, spread evenly; no engine moves without need.

use super::draft::Draft;
use super::{lasted, Observation, Reconciler};
use crate::entry::PlacementStep;
use crate::identifiers::{CellId, EngineId, NodeId, ZoneId};
use crate::placement::{Lifecycle, Node};
use std::collections::BTreeMap;

/// A node that may own engines.
pub(super) struct Candidate {
    pub(super) id: NodeId,
    pub(super) zone: ZoneId,
    pub(super) owned: usize,
}

/// An engine without a usable owner.
pub(super) struct Orphan {
    id: EngineId,
    zone: ZoneId,
}

impl Reconciler {
    pub(super) fn draft_owners(&self, draft: &mut Draft, observation: &Observation) {
        let orphans = self.orphans(draft, observation);
        if orphans.is_empty() {
            return;
        }
        let mut candidates = candidates(draft, observation);
        for orphan in orphans {
            if !draft.has_room(1) {
                return;
            }
            let Some(chosen) = choose(&mut candidates, &orphan) else {
                return;
            };
            chosen.owned += 1;
            draft.step(PlacementStep::SetOwner {
                engine: orphan.id,
                owner: chosen.id.clone(),
            });
        }
    }

    pub(super) fn orphans(&self, draft: &Draft, observation: &Observation) -> Vec<Orphan> {
        let nodes: BTreeMap<&NodeId, &Node> = draft.nodes().map(|node| (&node.id, node)).collect();
        draft
            .engines()
            .filter(|engine| engine.cell == draft.cell)
            .filter(|engine| {
                let owner = engine.owner.as_ref().and_then(|id| nodes.get(id));
                !owner.is_some_and(|node| self.keeps_engines(node, &draft.cell, observation))
            })
            .map(|engine| Orphan {
                id: engine.id.clone(),
                zone: engine.zone.clone(),
            })
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

pub(super) fn candidates(draft: &Draft, observation: &Observation) -> Vec<Candidate> {
    let mut owned: BTreeMap<&NodeId, usize> = BTreeMap::new();
    for owner in draft.engines().filter_map(|engine| engine.owner.as_ref()) {
        *owned.entry(owner).or_default() += 1;
    }
    draft
        .nodes()
        .filter(|node| node.cell == draft.cell)
        .filter(|node| node.lifecycle == Lifecycle::Live)
        .filter(|node| (observation.alive)(&node.id))
        .map(|node| Candidate {
            id: node.id.clone(),
            zone: node.zone.clone(),
            owned: owned.get(&node.id).copied().unwrap_or(0),
        })
        .collect()
}

fn choose<'a>(candidates: &'a mut [Candidate], orphan: &Orphan) -> Option<&'a mut Candidate> {
    candidates.iter_mut().min_by(|left, right| {
        let left_key = (left.zone != orphan.zone, left.owned, &left.id);
        let right_key = (right.zone != orphan.zone, right.owned, &right.id);
        left_key.cmp(&right_key)
    })
}
