//! The state that the revision log builds, applied entry by entry.
//!
//! Every node applies the same entries in the same order, so every node accepts
//! and rejects the same ones. A rejected entry keeps its revision and changes
//! nothing else.
//!
//! Invariants after every entry, checked by [`ClusterState::check`]:
//! - every assignment's model and engine exist;
//! - a model has at most `max_replicas` assignments that are not releasing;
//! - while it has more than `max_replicas` that count as replicas (its most was
//!   lowered and releases are not confirmed yet), none becomes active;
//! - a deleted model has only releasing assignments;
//! - on every accelerator the resident assignments fit the memory;
//! - every on-demand assignment that is not releasing fits beside the residents
//!   of its engine.

mod apply;
mod intents;
mod machines;
mod membership_version;
mod memory;
mod shared;
mod staleness;
mod steps;
mod tombstones;

pub use shared::Shared;
pub use tombstones::{ObjectName, Tombstones, REMEMBERED_DELETIONS};

use crate::configuration::{Adapter, Group, Model};
use crate::identifiers::{AdapterId, CellId, EngineId, GroupId, ModelId, NodeId, PlanId, Revision, Term};
use crate::placement::{Assignment, AssignmentState, Engine, Node};
use nanoserde::{DeBin, SerBin};
use std::collections::{BTreeMap, BTreeSet};
use thiserror::Error;

/// Confirmed plans that are remembered, so that a second confirmation of the
/// same plan is answered with the first one's revision.
pub const REMEMBERED_PLANS: usize = 1024;

/// A value with the revision that last changed it.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub struct Versioned<T> {
    /// The revision of the entry that wrote it.
    pub changed_at: Revision,
    /// The value.
    pub value: T,
}

/// The present coordinator of a cell.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct Coordinator {
    /// The node.
    pub node: NodeId,
    /// Its term.
    pub term: Term,
}

/// Which of the sets of live nodes that a cell had is the present one.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct CellMembership {
    /// The revision of the entry that last changed the cell's live nodes.
    pub changed_at: Revision,
    /// Counts these changes, so that nobody misses one between two states.
    pub version: u64,
    /// The sets before, the latest last; at most [`FORMER_MEMBERSHIPS`].
    pub former: Vec<FormerMembership>,
}

/// Sets of live nodes of a cell that are remembered besides the present one.
pub const FORMER_MEMBERSHIPS: usize = 4;

/// A set of live nodes that a cell had.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct FormerMembership {
    /// The revision of the entry that made it.
    pub changed_at: Revision,
    /// The live nodes.
    pub nodes: Vec<NodeId>,
}

/// Why an entry was rejected.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ApplyError {
    /// The entry does not follow the last applied one.
    #[error("entry {found} does not follow revision {applied}")]
    OutOfOrder {
        /// The last applied revision.
        applied: Revision,
        /// The entry's revision.
        found: Revision,
    },
    /// An object that the plan names changed after the plan was made.
    #[error("{object} changed at revision {changed_at}, after the plan's base {base}")]
    Stale {
        /// Kind and name of the object.
        object: String,
        /// When it changed.
        changed_at: Revision,
        /// The base of the plan.
        base: Revision,
    },
    /// The plan was confirmed before.
    #[error("plan {plan} was confirmed at revision {at}")]
    AlreadyConfirmed {
        /// The plan.
        plan: PlanId,
        /// Its revision.
        at: Revision,
    },
    /// The author's term is not the present one of the cell.
    #[error("term {found} is not the present term {present} of the cell")]
    StaleTerm {
        /// The present term.
        present: Term,
        /// The author's term.
        found: Term,
    },
    /// The result would break an invariant or name a missing object.
    #[error("{0}")]
    Invalid(String),
}

/// Everything that the log decides, at one revision.
#[derive(Clone, Debug, Default, PartialEq, SerBin, DeBin)]
pub struct ClusterState {
    /// The last applied revision.
    pub revision: Revision,
    /// Research groups.
    pub groups: Shared<BTreeMap<GroupId, Versioned<Group>>>,
    /// Models.
    pub models: Shared<BTreeMap<ModelId, Versioned<Model>>>,
    /// Adapters.
    pub adapters: Shared<BTreeMap<AdapterId, Versioned<Adapter>>>,
    /// Nodes.
    pub nodes: Shared<BTreeMap<NodeId, Versioned<Node>>>,
    /// Engines.
    pub engines: Shared<BTreeMap<EngineId, Versioned<Engine>>>,
    /// Assignments by model, then engine.
    pub assignments: Shared<BTreeMap<ModelId, BTreeMap<EngineId, Versioned<Assignment>>>>,
    /// Coordinators.
    pub coordinators: Shared<BTreeMap<CellId, Coordinator>>,
    /// Changes of the live nodes of each cell.
    pub cell_memberships: Shared<BTreeMap<CellId, CellMembership>>,
    /// Confirmed plans and their revisions, the latest [`REMEMBERED_PLANS`].
    pub confirmed_plans: Shared<BTreeMap<Revision, PlanId>>,
    /// Deleted models whose replicas are not all released yet. They are not
    /// served any more.
    pub retiring_models: Shared<BTreeSet<ModelId>>,
    /// Memory that each releasing replica holds on each of its accelerators, in
    /// MiB, by model, then engine.
    pub releasing_memory_mib: Shared<BTreeMap<ModelId, BTreeMap<EngineId, u64>>>,
    /// When deleted objects were deleted.
    pub tombstones: Shared<Tombstones>,
}

impl ClusterState {
    /// All assignments.
    pub fn all_assignments(&self) -> impl Iterator<Item = &Assignment> {
        self.assignments
            .values()
            .flat_map(|by_engine| by_engine.values())
            .map(|versioned| &versioned.value)
    }

    /// The assignments of one model.
    pub fn assignments_of_model<'a>(
        &'a self,
        model: &ModelId,
    ) -> impl Iterator<Item = &'a Assignment> + use<'a> {
        self.assignments
            .get(model)
            .into_iter()
            .flat_map(|by_engine| by_engine.values())
            .map(|versioned| &versioned.value)
    }

    /// The assignments on one engine.
    pub fn assignments_on_engine<'a>(
        &'a self,
        engine: &'a EngineId,
    ) -> impl Iterator<Item = &'a Assignment> + 'a {
        self.assignments
            .values()
            .filter_map(move |by_engine| by_engine.get(engine))
            .map(|versioned| &versioned.value)
    }

    /// The base model that serves a name, which may be a model or an adapter.
    pub fn resolve(&self, name: &str) -> Option<Target> {
        let model = ModelId::from(name);
        if self.is_retiring(&model) {
            return None;
        }
        if self.models.contains_key(&model) {
            return Some(Target { model, adapter: None });
        }
        let adapter = AdapterId::from(name);
        let found = self.adapters.get(&adapter)?;
        Some(Target {
            model: found.value.base.clone(),
            adapter: Some(adapter),
        })
    }

    /// Replicas of a model that the log lets exist at once.
    pub fn decided_replicas(&self, model: &ModelId) -> usize {
        self.assignments_of_model(model)
            .filter(|assignment| assignment.counts_as_replica())
            .count()
    }

    /// The assignment of a model to an engine.
    pub fn assignment(&self, model: &ModelId, engine: &EngineId) -> Option<&Assignment> {
        let found = self.assignments.get(model)?.get(engine)?;
        Some(&found.value)
    }

    /// The revision of the entry that released a model from an engine, while the
    /// release is not over. It tells this release from every other one.
    pub fn release_revision(&self, model: &ModelId, engine: &EngineId) -> Option<Revision> {
        let found = self.assignments.get(model)?.get(engine)?;
        let releasing = found.value.state == AssignmentState::Releasing;
        releasing.then_some(found.changed_at)
    }

    /// Whether a model was deleted but still has replicas to release.
    pub fn is_retiring(&self, model: &ModelId) -> bool {
        self.retiring_models.contains(model)
    }
}

fn versioned<T: Clone>(at: Revision, value: &T) -> Versioned<T> {
    Versioned {
        changed_at: at,
        value: value.clone(),
    }
}

fn missing(kind: &str, name: &str) -> ApplyError {
    ApplyError::Invalid(format!("{kind} {name} does not exist"))
}

/// What a caller's model name stands for.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, SerBin, DeBin)]
pub struct Target {
    /// The base model.
    pub model: ModelId,
    /// The adapter, if the name is one's.
    pub adapter: Option<AdapterId>,
}
