//! State of the stand-in store: items, leases and history.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use croftrill_http::store_wire::{WireItem, WireItems, WireTransaction};

/// Maximum number of past changes that watches can read.
const MAX_HISTORY_CHANGES: usize = 4096;

#[derive(Debug, Clone)]
struct Stored {
    value: String,
    revision: u64,
    lease: u64,
}

#[derive(Debug, Clone, Copy)]
struct Lease {
    time_to_live: Duration,
    expires_at: Instant,
}

/// Error of a watch whose start revision is no longer in the history, or not yet reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HistoryGone;

/// Outcome of a transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TransactionOutcome {
    /// Applied at this revision.
    Done(u64),
    /// A condition did not hold.
    Rejected,
    /// A write names a lease that does not exist or has ended.
    NoSuchLease,
}

/// Items with revisions, leases and the history of changes.
#[derive(Debug, Default, Clone)]
pub struct StoreState {
    revision: u64,
    items: BTreeMap<String, Stored>,
    leases: BTreeMap<u64, Lease>,
    history: VecDeque<WireItem>,
    compacted_up_to: u64,
    next_lease: u64,
}

impl StoreState {
    /// Creates an empty store.
    pub fn new() -> Self {
        Self::default()
    }

    /// Restores an earlier copy; all changes since then are lost. Leases in the copy run for
    /// their full time to live from `now`.
    pub fn restore(&mut self, copy: &StoreState, now: Instant) {
        *self = StoreState {
            // Lease ids are never reused.
            next_lease: self.next_lease,
            ..copy.clone()
        };
        self.compact();
        for lease in self.leases.values_mut() {
            lease.expires_at = now + lease.time_to_live;
        }
    }

    /// Returns the current revision.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns all items under a prefix.
    pub fn items(&self, prefix: &str) -> WireItems {
        let under = self.items.iter().filter(|(key, _)| key.starts_with(prefix));
        let items = under.map(|(key, stored)| WireItem {
            key: key.clone(),
            value: Some(stored.value.clone()),
            revision: stored.revision,
        });
        WireItems {
            items: items.collect(),
            revision: self.revision,
        }
    }

    /// Returns the changes under a prefix after a revision.
    pub fn changes(&self, prefix: &str, after: u64) -> Result<WireItems, HistoryGone> {
        if after < self.compacted_up_to || after > self.revision {
            return Err(HistoryGone);
        }
        let changes = self
            .history
            .iter()
            .filter(|item| item.revision > after && item.key.starts_with(prefix));
        Ok(WireItems {
            items: changes.cloned().collect(),
            revision: self.revision,
        })
    }

    /// Discards the history.
    pub fn compact(&mut self) {
        self.history.clear();
        self.compacted_up_to = self.revision;
    }

    /// Applies a transaction atomically.
    pub fn transact(&mut self, transaction: &WireTransaction) -> TransactionOutcome {
        let holds = transaction.conditions.iter().all(|condition| {
            self.items.get(&condition.key).map_or(0, |stored| stored.revision) == condition.revision
        });
        if !holds {
            return TransactionOutcome::Rejected;
        }
        let is_live = |lease: u64| lease == 0 || self.leases.contains_key(&lease);
        if !transaction.writes.iter().all(|write| is_live(write.lease)) {
            return TransactionOutcome::NoSuchLease;
        }
        self.revision += 1;
        for write in &transaction.writes {
            let stored = Stored {
                value: write.value.clone(),
                revision: self.revision,
                lease: write.lease,
            };
            self.record_change(write.key.clone(), Some(write.value.clone()));
            self.items.insert(write.key.clone(), stored);
        }
        TransactionOutcome::Done(self.revision)
    }

    /// Grants a lease and returns its id.
    pub fn grant(&mut self, time_to_live: Duration, now: Instant) -> u64 {
        self.next_lease += 1;
        self.leases.insert(
            self.next_lease,
            Lease {
                time_to_live,
                expires_at: now + time_to_live,
            },
        );
        self.next_lease
    }

    /// Renews a lease. Returns false if it does not exist.
    pub fn renew(&mut self, lease: u64, now: Instant) -> bool {
        let Some(known) = self.leases.get_mut(&lease) else {
            return false;
        };
        known.expires_at = now + known.time_to_live;
        true
    }

    /// Ends a lease and removes its keys. Returns false if it does not exist.
    pub fn end(&mut self, lease: u64) -> bool {
        if self.leases.remove(&lease).is_none() {
            return false;
        }
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, stored)| stored.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.items.remove(&key);
            self.record_change(key, None);
        }
        true
    }

    /// Ends all expired leases. Returns true if there were any, so that keys may have been
    /// removed.
    pub fn expire(&mut self, now: Instant) -> bool {
        let expired: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires_at <= now)
            .map(|(number, _)| *number)
            .collect();
        for lease in &expired {
            self.end(*lease);
        }
        !expired.is_empty()
    }

    fn record_change(&mut self, key: String, value: Option<String>) {
        self.history.push_back(WireItem {
            key,
            value,
            revision: self.revision,
        });
        while self.history.len() > MAX_HISTORY_CHANGES {
            if let Some(dropped) = self.history.pop_front() {
                self.compacted_up_to = dropped.revision;
            }
        }
    }
}
