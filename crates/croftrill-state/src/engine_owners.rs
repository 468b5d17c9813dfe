//! Which node becomes the owner of an engine: one of the engine's cell, in its
//! own zone if there is any, with the fewest engines.
//!
//! Serves the planner, which gives away the engines of a drained node, and the
//! coordinator, which replaces owners that died.

use crate::identifiers::{CellId, NodeId, ZoneId};
use crate::placement::{Engine, Node};
use std::collections::BTreeMap;

/// A node that may own engines.
pub(crate) struct OwnerCandidate {
    /// The node.
    pub id: NodeId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its cell.
    pub cell: CellId,
    /// Engines that it owns.
    pub owned: usize,
}

/// These nodes as candidates, with the engines that each owns of all engines.
pub(crate) fn candidates<'a>(
    nodes: impl Iterator<Item = &'a Node>,
    engines: impl Iterator<Item = &'a Engine>,
) -> Vec<OwnerCandidate> {
    let mut owned: BTreeMap<&NodeId, usize> = BTreeMap::new();
    for owner in engines.filter_map(|engine| engine.owner.as_ref()) {
        *owned.entry(owner).or_default() += 1;
    }
    nodes
        .map(|node| OwnerCandidate {
            id: node.id.clone(),
            zone: node.zone.clone(),
            cell: node.cell.clone(),
            owned: owned.get(&node.id).copied().unwrap_or(0),
        })
        .collect()
}

/// The best candidate for an engine; counts the engine as its own.
pub(crate) fn choose_owner(candidates: &mut [OwnerCandidate], engine: &Engine) -> Option<NodeId> {
    let of_cell = candidates.iter_mut().filter(|node| node.cell == engine.cell);
    let chosen = of_cell.min_by(|left, right| {
        let left_key = (left.zone != engine.zone, left.owned, &left.id);
        let right_key = (right.zone != engine.zone, right.owned, &right.id);
        left_key.cmp(&right_key)
    })?;
    chosen.owned += 1;
    Some(chosen.id.clone())
}
