//! Keys that identify replicas in load samples.

use std::collections::HashMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::replica::{BornMs, ReplicaId};
use crate::replica_table::{ChangedReplicas, ReplicaTable, TableVersion};

/// Identifies one incarnation of a replica: part of a hash of the replica's identity and of its
/// start time. A restarted replica has another key, so a sample of the former incarnation
/// matches no known replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LoadKey(pub u32);

impl LoadKey {
    /// Returns the key of the incarnation that started at `born_ms`, or of a replica whose start
    /// time is unknown.
    pub fn of(id: &str, born_ms: Option<BornMs>) -> Self {
        LoadKey(xxh3_64_with_seed(id.as_bytes(), born_ms.unwrap_or(0)) as u32)
    }
}

/// The keys of all replicas of a table.
#[derive(Debug, Default)]
pub struct LoadKeys {
    /// More than one replica if their keys collide.
    replicas: HashMap<LoadKey, Vec<ReplicaId>>,
    keys: HashMap<ReplicaId, LoadKey>,
    followed: TableVersion,
}

impl LoadKeys {
    /// Applies the changes of the table since the last call.
    pub fn follow(&mut self, table: &ReplicaTable) {
        let followed = std::mem::replace(&mut self.followed, table.version());
        if followed == self.followed && !self.keys.is_empty() {
            return;
        }
        match table.changed_since(followed) {
            ChangedReplicas::Everything => {
                self.replicas.clear();
                self.keys.clear();
                for entry in table.iter() {
                    self.add(&entry.listing.id, entry.listing.born_ms);
                }
            }
            ChangedReplicas::These(ids) => {
                for id in ids {
                    self.take_out(&id);
                    if let Some(entry) = table.get(&id) {
                        self.add(&id, entry.listing.born_ms);
                    }
                }
            }
        }
    }

    /// Returns the replica that a key identifies, or `None` if it matches none or several.
    pub fn replica(&self, key: LoadKey) -> Option<&ReplicaId> {
        match self.replicas.get(&key)?.as_slice() {
            [id] => Some(id),
            _ => None,
        }
    }

    /// Returns the key of a replica's present incarnation.
    pub fn key(&self, id: &str) -> Option<LoadKey> {
        self.keys.get(id).copied()
    }

    fn add(&mut self, id: &ReplicaId, born_ms: Option<BornMs>) {
        let key = LoadKey::of(id, born_ms);
        self.replicas.entry(key).or_default().push(id.clone());
        self.keys.insert(id.clone(), key);
    }

    fn take_out(&mut self, id: &ReplicaId) {
        let Some(key) = self.keys.remove(id) else { return };
        if let Some(ids) = self.replicas.get_mut(&key) {
            ids.retain(|other| other != id);
            if ids.is_empty() {
                self.replicas.remove(&key);
            }
        }
    }
}
