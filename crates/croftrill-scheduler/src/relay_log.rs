//! The newest changes that a node passed on, for listeners that missed some.

use std::collections::{HashSet, VecDeque};

/// A change and its place in the store's history.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Revised<T> {
    /// Store revision of the change.
    pub revision: u64,
    /// The change.
    pub change: T,
    /// Its size in a message, in bytes.
    pub size_bytes: usize,
}

/// Changes of one unbroken span of the store's history, the oldest dropped
/// first when they take too much memory.
///
/// Invariant: it holds every change that was passed on of the revisions after
/// `begins_after` up to `reached`.
#[derive(Debug)]
pub struct RelayLog<T> {
    most_bytes: usize,
    size_bytes: usize,
    begins_after: u64,
    reached: u64,
    changes: VecDeque<Revised<T>>,
}

impl<T: Clone> RelayLog<T> {
    /// An empty log of up to `most_bytes`.
    pub fn new(most_bytes: usize) -> Self {
        RelayLog {
            most_bytes,
            size_bytes: 0,
            begins_after: 0,
            reached: 0,
            changes: VecDeque::new(),
        }
    }

    /// The span after `after` up to `reached` was passed on, with these changes.
    /// Where it does not go on from the last one, the log begins anew.
    pub fn push(&mut self, after: u64, reached: u64, changes: impl IntoIterator<Item = Revised<T>>) {
        if after > self.reached || self.reached == 0 {
            self.changes.clear();
            self.size_bytes = 0;
            self.begins_after = after;
            self.reached = after;
        }
        for change in changes {
            if change.revision > self.reached {
                self.size_bytes += change.size_bytes;
                self.changes.push_back(change);
            }
        }
        self.reached = self.reached.max(reached);
        while self.size_bytes > self.most_bytes {
            let Some(oldest) = self.changes.pop_front() else {
                break;
            };
            self.size_bytes -= oldest.size_bytes;
            self.begins_after = oldest.revision;
        }
    }

    /// The last revision, and what changed after `revision`; `None` if the log
    /// does not reach back so far.
    pub fn since(&self, revision: u64) -> Option<(u64, Vec<Revised<T>>)> {
        let is_covered = self.reached > 0 && (self.begins_after..=self.reached).contains(&revision);
        is_covered.then(|| {
            let newer = self.changes.iter().filter(|change| change.revision > revision);
            (self.reached, newer.cloned().collect())
        })
    }
}

/// Leaves out each write that a later one of the same key replaces. `key`: the key
/// that a change writes; `None` keeps the change.
pub fn keep_last_writes<T>(changes: &mut Vec<T>, key: impl Fn(&T) -> Option<&str>) {
    let mut later: HashSet<String> = HashSet::new();
    let mut kept: Vec<T> = Vec::with_capacity(changes.len());
    for change in changes.drain(..).rev() {
        let is_replaced = key(&change).is_some_and(|key| !later.insert(key.to_string()));
        if !is_replaced {
            kept.push(change);
        }
    }
    kept.reverse();
    *changes = kept;
}
