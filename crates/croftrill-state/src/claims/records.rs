//! The records of keys, bounded in number, each kept for the claim window.

use super::message::{ClaimRecord, ClaimResult};
use crate::identifiers::{IdempotencyKey, RequestId};
use crate::time::Instant;
use std::collections::{BTreeMap, BTreeSet};

/// What is known of one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Claim {
    pub(super) request: RequestId,
    pub(super) result: Option<ClaimResult>,
    pub(super) changed_at: Instant,
}

impl Claim {
    /// Whether no other request may run.
    pub(super) fn is_taken(&self) -> bool {
        self.result != Some(ClaimResult::NotRun)
    }
}

/// The records, oldest first for expiry.
#[derive(Debug)]
pub(super) struct ClaimRecords {
    window_millis: u64,
    by_key: BTreeMap<IdempotencyKey, Claim>,
    by_age: BTreeSet<(Instant, IdempotencyKey)>,
}

impl ClaimRecords {
    pub(super) fn new(window_millis: u64) -> Self {
        Self {
            window_millis,
            by_key: BTreeMap::new(),
            by_age: BTreeSet::new(),
        }
    }

    pub(super) fn len(&self) -> usize {
        self.by_key.len()
    }

    pub(super) fn get(&self, key: &IdempotencyKey) -> Option<&Claim> {
        self.by_key.get(key)
    }

    pub(super) fn put(&mut self, key: IdempotencyKey, claim: Claim) {
        self.remove(&key);
        self.by_age.insert((claim.changed_at, key.clone()));
        self.by_key.insert(key, claim);
    }

    pub(super) fn remove(&mut self, key: &IdempotencyKey) -> Option<Claim> {
        let claim = self.by_key.remove(key)?;
        self.by_age.remove(&(claim.changed_at, key.clone()));
        Some(claim)
    }

    /// Forgets records whose window has passed.
    pub(super) fn expire(&mut self, now: Instant) {
        while let Some((changed_at, _)) = self.by_age.first() {
            if now < *changed_at + self.window_millis {
                return;
            }
            if let Some((_, key)) = self.by_age.pop_first() {
                self.by_key.remove(&key);
            }
        }
    }

    /// Takes out the records of keys that `moved` accepts.
    pub(super) fn take_moved(
        &mut self,
        moved: impl Fn(&IdempotencyKey) -> bool,
    ) -> Vec<(IdempotencyKey, Claim)> {
        let keys: Vec<IdempotencyKey> = self.by_key.keys().filter(|key| moved(key)).cloned().collect();
        keys.into_iter()
            .filter_map(|key| self.remove(&key).map(|claim| (key, claim)))
            .collect()
    }

    /// Adds what a former holder knew. Between two reports the one that keeps
    /// the key taken wins, and between two of one request the later end.
    pub(super) fn merge(&mut self, record: &ClaimRecord, now: Instant) {
        let incoming = Claim {
            request: record.request,
            result: record.result,
            changed_at: now - record.age_millis,
        };
        let keep_present = self
            .get(&record.key)
            .is_some_and(|present| wins(present, &incoming));
        if !keep_present {
            self.put(record.key.clone(), incoming);
        }
    }
}

fn wins(present: &Claim, incoming: &Claim) -> bool {
    if present.request == incoming.request {
        return present.result.is_some() || incoming.result.is_none();
    }
    present.is_taken() || !incoming.is_taken()
}
