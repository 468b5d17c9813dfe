//! The keys and leases of the key-value stand-in, with the ledger of changes.

use super::{ChangeKind, KeyValueChange};
use croftrill_platform::key_value::{LeaseId, StoredValue, WriteOutcome};
use croftrill_platform::wire::key_value::WriteRequest;
use std::collections::{BTreeMap, HashMap};
use std::ops::Bound;

#[derive(Default)]
pub(super) struct Store {
    keys: BTreeMap<String, Key>,
    leases: HashMap<LeaseId, Lease>,
    last_version: u64,
    last_lease: u64,
    ledger: Vec<KeyValueChange>,
}

struct Key {
    stored: StoredValue,
    lease: Option<LeaseId>,
}

struct Lease {
    ttl_millis: u64,
    ends_at_millis: u64,
}

impl Store {
    pub(super) fn ledger(&self) -> &[KeyValueChange] {
        &self.ledger
    }

    pub(super) fn get(&self, key: &str) -> Option<StoredValue> {
        self.keys.get(key).map(|key| key.stored.clone())
    }

    pub(super) fn list(&self, prefix: &str, after: &str, limit: u32) -> Vec<StoredValue> {
        let from = if after < prefix {
            Bound::Included(prefix)
        } else {
            Bound::Excluded(after)
        };
        self.keys
            .range::<str, _>((from, Bound::Unbounded))
            .take_while(|(name, _)| name.starts_with(prefix))
            .take(limit as usize)
            .map(|(_, key)| key.stored.clone())
            .collect()
    }

    /// `None` if the lease is not known.
    pub(super) fn write_if(&mut self, request: WriteRequest, now_millis: u64) -> Option<WriteOutcome> {
        if request
            .lease
            .is_some_and(|lease| !self.leases.contains_key(&lease))
        {
            return None;
        }
        let present = self.get(&request.key);
        if present.as_ref().map(|stored| stored.version) != request.expected {
            return Some(WriteOutcome::Conflict(present));
        }
        let kind = if present.is_some() {
            ChangeKind::Updated
        } else {
            ChangeKind::Created
        };
        let version = self.record(&request.key, kind, now_millis);
        let stored = StoredValue {
            key: request.key.clone(),
            value: request.value,
            version,
        };
        self.keys.insert(
            request.key,
            Key {
                stored,
                lease: request.lease,
            },
        );
        Some(WriteOutcome::Written(version))
    }

    pub(super) fn delete_if(&mut self, key: &str, expected: u64, now_millis: u64) -> WriteOutcome {
        let present = self.get(key);
        if present.as_ref().map(|stored| stored.version) != Some(expected) {
            return WriteOutcome::Conflict(present);
        }
        self.keys.remove(key);
        WriteOutcome::Written(self.record(key, ChangeKind::Deleted, now_millis))
    }

    pub(super) fn grant(&mut self, ttl_millis: u64, now_millis: u64) -> LeaseId {
        self.last_lease += 1;
        let lease = LeaseId(self.last_lease);
        self.leases.insert(
            lease,
            Lease {
                ttl_millis,
                ends_at_millis: now_millis + ttl_millis,
            },
        );
        lease
    }

    pub(super) fn renew(&mut self, lease: LeaseId, now_millis: u64) -> bool {
        let Some(lease) = self.leases.get_mut(&lease) else {
            return false;
        };
        lease.ends_at_millis = now_millis + lease.ttl_millis;
        true
    }

    pub(super) fn revoke(&mut self, lease: LeaseId, now_millis: u64) -> bool {
        if self.leases.remove(&lease).is_none() {
            return false;
        }
        self.remove_keys_of(lease, now_millis);
        true
    }

    pub(super) fn end_leases(&mut self, now_millis: u64) {
        let leases = self.leases.iter();
        let ended = leases.filter(|(_, lease)| lease.ends_at_millis <= now_millis);
        let mut ended: Vec<LeaseId> = ended.map(|(id, _)| *id).collect();
        ended.sort();
        for lease in ended {
            self.revoke(lease, now_millis);
        }
    }

    pub(super) fn mark_answer_lost(&mut self, version: u64) {
        if let Some(change) = self
            .ledger
            .iter_mut()
            .rev()
            .find(|change| change.version == version)
        {
            change.answer_lost = true;
        }
    }

    fn remove_keys_of(&mut self, lease: LeaseId, now_millis: u64) {
        let held = self.keys.iter().filter(|(_, key)| key.lease == Some(lease));
        let held: Vec<String> = held.map(|(name, _)| name.clone()).collect();
        for name in held {
            self.keys.remove(&name);
            self.record(&name, ChangeKind::LeaseEnded, now_millis);
        }
    }

    fn record(&mut self, key: &str, kind: ChangeKind, at_millis: u64) -> u64 {
        self.last_version += 1;
        self.ledger.push(KeyValueChange {
            at_millis,
            key: key.to_string(),
            kind,
            version: self.last_version,
            answer_lost: false,
        });
        self.last_version
    }
}
