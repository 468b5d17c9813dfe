//! A plan in the making: the state, and the changes drafted so far.

use crate::cluster::ClusterState;
use crate::entry::{Change, PlacementStep};
use crate::identifiers::{CellId, EngineId, NodeId};
use crate::placement::{Engine, Node};
use std::collections::{BTreeMap, BTreeSet};

/// The changes drafted so far.
pub(super) struct Draft<'a> {
    pub(super) state: &'a ClusterState,
    pub(super) cell: CellId,
    put_nodes: BTreeMap<NodeId, Node>,
    remove_nodes: BTreeSet<NodeId>,
    put_engines: BTreeMap<EngineId, Engine>,
    remove_engines: BTreeSet<EngineId>,
    steps: Vec<PlacementStep>,
    left: usize,
}

impl<'a> Draft<'a> {
    /// Nothing yet; room for `most` changes.
    pub(super) fn new(state: &'a ClusterState, cell: CellId, most: usize) -> Self {
        Self {
            state,
            cell,
            put_nodes: BTreeMap::new(),
            remove_nodes: BTreeSet::new(),
            put_engines: BTreeMap::new(),
            remove_engines: BTreeSet::new(),
            steps: Vec::new(),
            left: most,
        }
    }

    /// Whether `changes` more fit in the plan.
    pub(super) fn has_room(&self, changes: usize) -> bool {
        self.left >= changes
    }

    pub(super) fn put_node(&mut self, node: Node) {
        self.take_room();
        self.put_nodes.insert(node.id.clone(), node);
    }

    pub(super) fn remove_node(&mut self, id: NodeId) {
        self.take_room();
        self.remove_nodes.insert(id);
    }

    pub(super) fn put_engine(&mut self, engine: Engine) {
        self.take_room();
        self.put_engines.insert(engine.id.clone(), engine);
    }

    pub(super) fn remove_engine(&mut self, id: EngineId) {
        self.take_room();
        self.remove_engines.insert(id);
    }

    pub(super) fn step(&mut self, step: PlacementStep) {
        self.take_room();
        self.steps.push(step);
    }

    /// The nodes as they will be, of every cell.
    pub(super) fn nodes(&self) -> impl Iterator<Item = &Node> {
        let kept = self
            .state
            .nodes
            .values()
            .map(|versioned| &versioned.value)
            .filter(|node| !self.put_nodes.contains_key(&node.id))
            .filter(|node| !self.remove_nodes.contains(&node.id));
        kept.chain(self.put_nodes.values())
    }

    /// The engines as they will be, of every cell.
    pub(super) fn engines(&self) -> impl Iterator<Item = &Engine> {
        let kept = self
            .state
            .engines
            .values()
            .map(|versioned| &versioned.value)
            .filter(|engine| !self.put_engines.contains_key(&engine.id))
            .filter(|engine| !self.remove_engines.contains(&engine.id));
        kept.chain(self.put_engines.values())
    }

    /// The plan, if it changes anything.
    pub(super) fn into_change(self) -> Option<Change> {
        let empty = self.put_nodes.is_empty()
            && self.remove_nodes.is_empty()
            && self.put_engines.is_empty()
            && self.remove_engines.is_empty()
            && self.steps.is_empty();
        if empty {
            return None;
        }
        Some(Change::Reconcile {
            cell: self.cell,
            put_nodes: self.put_nodes.into_values().collect(),
            remove_nodes: self.remove_nodes.into_iter().collect(),
            put_engines: self.put_engines.into_values().collect(),
            remove_engines: self.remove_engines.into_iter().collect(),
            steps: self.steps,
        })
    }

    fn take_room(&mut self) {
        self.left = self.left.saturating_sub(1);
    }
}
