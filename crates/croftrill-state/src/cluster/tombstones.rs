//! When deleted objects were deleted.
//!
//! Without this memory an absent object would count as "never changed", and a
//! plan made before the deletion could bring it back. The memory is bounded;
//! past the bound the answer is conservative: every absent object counts as
//! changed at the latest deletion that was dropped.

use crate::identifiers::{AdapterId, EngineId, GroupId, ModelId, NodeId, Revision};
use nanoserde::{DeBin, SerBin};
use std::collections::BTreeMap;
use std::fmt;

/// Deletions that are remembered one by one.
pub const REMEMBERED_DELETIONS: usize = 1024;

/// Something that a plan can name and that can change under it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, SerBin, DeBin)]
pub enum ObjectName {
    /// A group.
    Group(GroupId),
    /// A model.
    Model(ModelId),
    /// An adapter.
    Adapter(AdapterId),
    /// A node.
    Node(NodeId),
    /// An engine.
    Engine(EngineId),
    /// The set of assignments of a model.
    Placement(ModelId),
}

impl fmt::Display for ObjectName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ObjectName::Group(id) => write!(formatter, "group {id}"),
            ObjectName::Model(id) => write!(formatter, "model {id}"),
            ObjectName::Adapter(id) => write!(formatter, "adapter {id}"),
            ObjectName::Node(id) => write!(formatter, "node {id}"),
            ObjectName::Engine(id) => write!(formatter, "engine {id}"),
            ObjectName::Placement(id) => write!(formatter, "placement of model {id}"),
        }
    }
}

/// The remembered deletions.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct Tombstones {
    /// Deleted objects and the revision that deleted them, at most
    /// [`REMEMBERED_DELETIONS`].
    deleted: BTreeMap<ObjectName, Revision>,
    /// The latest deletion that was dropped from `deleted`.
    dropped_up_to: Revision,
}

impl Tombstones {
    /// Remembers that an object was deleted.
    pub fn record(&mut self, object: ObjectName, at: Revision) {
        self.deleted.insert(object, at);
        while self.deleted.len() > REMEMBERED_DELETIONS {
            self.drop_oldest();
        }
    }

    /// The latest revision at which an object may have been deleted.
    pub fn deleted_at(&self, object: &ObjectName) -> Revision {
        self.deleted.get(object).copied().unwrap_or(self.dropped_up_to)
    }

    /// Deletions that are remembered now.
    pub fn len(&self) -> usize {
        self.deleted.len()
    }

    /// Whether no deletion is remembered.
    pub fn is_empty(&self) -> bool {
        self.deleted.is_empty()
    }

    fn drop_oldest(&mut self) {
        let oldest = self.deleted.iter().min_by_key(|(_, at)| **at);
        let Some((object, at)) = oldest.map(|(object, at)| (object.clone(), *at)) else {
            return;
        };
        self.deleted.remove(&object);
        self.dropped_up_to = self.dropped_up_to.max(at);
    }
}
