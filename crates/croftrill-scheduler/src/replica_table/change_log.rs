//! Which replicas changed lately, for readers that follow a table step by step.

use std::collections::{BTreeMap, HashMap};

use crate::replica::ReplicaId;

/// Replicas that are gone of which the log keeps the last change, besides one for each
/// replica that is there: a reader that is further behind reads everything.
const MOST_GONE: usize = 1024;

/// How far a reader has followed a table; the default has read nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct TableVersion(u64);

/// What a reader has to look at again.
#[derive(Debug, PartialEq, Eq)]
pub enum ChangedReplicas {
    /// These replicas; those of them that are not in the table are gone.
    These(Vec<ReplicaId>),
    /// Everything: it is too far behind.
    Everything,
}

/// The last change of each replica.
#[derive(Debug, Default)]
pub(super) struct ChangeLog {
    version: u64,
    changes: BTreeMap<u64, ReplicaId>,
    changed_at: HashMap<ReplicaId, u64>,
    /// Changes up to this version may be missing.
    complete_after: u64,
}

impl ChangeLog {
    /// A replica changed; `present`: replicas that are in the table now.
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
