//! Log of changed replicas, for readers that follow a table incrementally.

use std::collections::{BTreeMap, HashMap};

use crate::replica::ReplicaId;

/// Number of changes that the log retains beyond one for each present replica, for replicas
/// that were removed. A reader that is further behind reads the whole table.
const MOST_GONE: usize = 1024;

/// Version of a table that a reader has reached; the default is a reader that has read nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct TableVersion(u64);

/// What a reader has to read again.
#[derive(Debug, PartialEq, Eq)]
pub enum ChangedReplicas {
    /// These replicas; those that are not in the table were removed.
    These(Vec<ReplicaId>),
    /// The whole table, because the reader is too far behind.
    Everything,
}

/// The last change of each replica.
#[derive(Debug, Default)]
pub(super) struct ChangeLog {
    version: u64,
    changes: BTreeMap<u64, ReplicaId>,
    changed_at: HashMap<ReplicaId, u64>,
    /// Changes up to this version may be missing from the log.
    complete_after: u64,
}

impl ChangeLog {
    /// Records a change of a replica; `present` is the number of replicas in the table.
    pub(super) fn note(&mut self, id: &ReplicaId, present: usize) {
        self.version += 1;
        if let Some(former) = self.changed_at.insert(id.clone(), self.version) {
            self.changes.remove(&former);
        }
        self.changes.insert(self.version, id.clone());
        while self.changes.len() > present + MOST_GONE {
            let Some((version, id)) = self.changes.pop_first() else {
                break;
            };
            self.changed_at.remove(&id);
            self.complete_after = version;
        }
    }

    pub(super) fn version(&self) -> TableVersion {
        TableVersion(self.version)
    }

    pub(super) fn since(&self, reader: TableVersion) -> ChangedReplicas {
        if reader == TableVersion::default() || reader.0 < self.complete_after {
            return ChangedReplicas::Everything;
        }
        let later = self.changes.range(reader.0 + 1..);
        ChangedReplicas::These(later.map(|(_, id)| id.clone()).collect())
    }
}
