//! What of a plan the state accepts.
//!
//! One change that the state refuses must not hold up all the others, so a
//! refused plan is cut down to the changes that are accepted. This costs a few
//! trial applications for each refused change.

use crate::cluster::ClusterState;
use crate::entry::{Change, LogEntry, PlacementStep};
use crate::identifiers::{CellId, EngineId, EntryId, ModelId, NodeId, Term};
use crate::placement::{Engine, Node};
use std::collections::BTreeMap;

/// Changes that make sense only together.
#[derive(Clone, Debug)]
enum Part {
    PutNode(Node),
    RemoveNode(NodeId),
    PutEngine(Engine),
    RemoveEngine(EngineId),
    Steps(Vec<PlacementStep>),
}

/// Parts that were accepted together so far.
struct Accepted<'a> {
    state: &'a ClusterState,
    cell: &'a CellId,
    parts: Vec<Part>,
}

/// The change, or as much of it as the state accepts.
pub(super) fn accepted_part(state: &ClusterState, change: Change) -> Option<Change> {
    let Change::Reconcile { cell, .. } = &change else {
        return Some(change);
    };
    if is_accepted(state, cell, &change) {
        return Some(change);
    }
    let cell = cell.clone();
    let parts = split(change);
    let mut accepted = Accepted {
        state,
        cell: &cell,
        parts: Vec::new(),
    };
    accepted.add(&parts);
    if accepted.parts.is_empty() {
        return None;
    }
    Some(joined(&cell, &accepted.parts))
}

impl Accepted<'_> {
    /// Adds the parts that the state accepts beside those added before, by
    /// halving.
    fn add(&mut self, parts: &[Part]) {
        if parts.is_empty() {
            return;
        }
        let mut tried = self.parts.clone();
        tried.extend_from_slice(parts);
        if is_accepted(self.state, self.cell, &joined(self.cell, &tried)) {
            self.parts = tried;
            return;
        }
        if parts.len() == 1 {
            return;
        }
        let (first, second) = parts.split_at(parts.len() / 2);
        self.add(first);
        self.add(second);
    }
}

fn is_accepted(state: &ClusterState, cell: &CellId, change: &Change) -> bool {
    let coordinator = state.coordinators.get(cell);
    let entry = LogEntry {
        revision: state.revision.next(),
        entry_id: EntryId(0),
        author: coordinator.map(|c| c.node.clone()).unwrap_or_default(),
        term: coordinator.map_or(Term(0), |c| c.term),
        change: change.clone(),
    };
    state.after(&entry).is_ok()
}

/// Machines first, so that steps find the engines that they name.
fn split(change: Change) -> Vec<Part> {
    let Change::Reconcile {
        put_nodes,
        remove_nodes,
        put_engines,
        remove_engines,
        steps,
        ..
    } = change
    else {
        return Vec::new();
    };
    let mut parts = Vec::new();
    parts.extend(put_nodes.into_iter().map(Part::PutNode));
    parts.extend(remove_nodes.into_iter().map(Part::RemoveNode));
    parts.extend(put_engines.into_iter().map(Part::PutEngine));
    parts.extend(remove_engines.into_iter().map(Part::RemoveEngine));
    parts.extend(split_steps(steps));
    parts
}

/// The steps of one model stay together; each owner is a part of its own.
fn split_steps(steps: Vec<PlacementStep>) -> Vec<Part> {
    let mut parts = Vec::new();
    let mut by_model: BTreeMap<ModelId, Vec<PlacementStep>> = BTreeMap::new();
    for step in steps {
        match &step {
            PlacementStep::SetOwner { .. } => parts.push(Part::Steps(vec![step])),
            PlacementStep::Assign { assignment } => {
                by_model.entry(assignment.model.clone()).or_default().push(step);
            }
            PlacementStep::Release { model, .. } => {
                by_model.entry(model.clone()).or_default().push(step);
            }
        }
    }
    parts.extend(by_model.into_values().map(Part::Steps));
    parts
}

fn joined(cell: &CellId, parts: &[Part]) -> Change {
    let mut put_nodes = Vec::new();
    let mut remove_nodes = Vec::new();
    let mut put_engines = Vec::new();
    let mut remove_engines = Vec::new();
    let mut steps = Vec::new();
    for part in parts.iter().cloned() {
        match part {
            Part::PutNode(node) => put_nodes.push(node),
            Part::RemoveNode(id) => remove_nodes.push(id),
            Part::PutEngine(engine) => put_engines.push(engine),
            Part::RemoveEngine(id) => remove_engines.push(id),
            Part::Steps(more) => steps.extend(more),
        }
    }
    Change::Reconcile {
        cell: cell.clone(),
        put_nodes,
        remove_nodes,
        put_engines,
        remove_engines,
        steps,
    }
}
