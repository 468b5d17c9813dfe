//! Buffers recently relayed changes, for followers that missed some.

use std::collections::{HashSet, VecDeque};

/// A change and its revision in the store's history.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Revised<T> {
    /// The store revision of the change.
    pub revision: u64,
    /// The change.
    pub change: T,
    /// The size of the change in a message, in bytes.
    pub size_bytes: usize,
}

/// The relayed changes of one contiguous span of the store's history. The oldest
/// changes are dropped first when the log exceeds its memory limit.
///
/// Invariant: it holds every relayed change with a revision after `begins_after` and
/// up to `reached`.
#[derive(Debug)]
pub struct RelayLog<T> {
    most_bytes: usize,
    size_bytes: usize,
    begins_after: u64,
    reached: u64,
    changes: VecDeque<Revised<T>>,
}

impl<T: Clone> RelayLog<T> {
    /// Creates an empty log that holds up to `most_bytes`.
    pub fn new(most_bytes: usize) -> Self {
        RelayLog {
            most_bytes,
            size_bytes: 0,
            begins_after: 0,
            reached: 0,
            changes: VecDeque::new(),
        }
    }

    /// Appends the changes of a relayed span after `after` and up to `reached`. If the
    /// span leaves a gap to the previous one, the log is cleared first.
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

    /// Returns the last revision and the changes after `revision`, or `None` if the log
    /// does not cover that revision.
    pub fn since(&self, revision: u64) -> Option<(u64, Vec<Revised<T>>)> {
        let is_covered = self.reached > 0 && (self.begins_after..=self.reached).contains(&revision);
        is_covered.then(|| {
            let newer = self.changes.iter().filter(|change| change.revision > revision);
            (self.reached, newer.cloned().collect())
        })
    }
}

/// Removes each write that a later write of the same key replaces. `key` returns the key
/// that a change writes; changes for which it returns `None` are retained.
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
