//! Shares a node's slots fairly among groups of callers.
//!
//! This is start-time fair queueing. Each group has a virtual time that grows by cost over share,
//! and the waiting request with the lowest start tag goes first. A group that was idle starts at
//! the current virtual time, so it neither accumulates nor loses its share.

use std::collections::{BTreeMap, HashMap};

use xxhash_rust::xxh3::xxh3_64;

/// Maximum number of groups whose virtual times are kept. Callers may name any number of them.
pub const MAX_GROUPS: usize = 4096;

/// A waiting request.
#[derive(Debug, Clone)]
struct Waiting {
    start_tag: f64,
}

/// Requests that wait for a slot, by group.
///
/// Invariant: at most `slots` requests are started and not released.
#[derive(Debug)]
pub struct FairQueue {
    slots: usize,
    started: usize,
    virtual_time: f64,
    /// By the hash of the group's name.
    finish_tags: HashMap<u64, f64>,
    waiting: BTreeMap<u64, Waiting>,
    next_number: u64,
}

impl FairQueue {
    /// Creates a queue for this number of slots.
    pub fn new(slots: usize) -> Self {
        FairQueue {
            slots,
            started: 0,
            virtual_time: 0.0,
            finish_tags: HashMap::new(),
            waiting: BTreeMap::new(),
            next_number: 0,
        }
    }

    /// Adds a request of a group, with its cost in tokens, and returns its number.
    pub fn enter(&mut self, group: &str, share: u32, cost: u64) -> u64 {
        let group = xxh3_64(group.as_bytes());
        if self.finish_tags.len() >= MAX_GROUPS && !self.finish_tags.contains_key(&group) {
            self.forget_groups();
        }
        let finish_tag = self.finish_tags.entry(group).or_insert(0.0);
        let start_tag = finish_tag.max(self.virtual_time);
        *finish_tag = start_tag + cost.max(1) as f64 / f64::from(share.max(1));
        self.next_number += 1;
        self.waiting.insert(self.next_number, Waiting { start_tag });
        self.next_number
    }

    /// Forgets the groups that are least ahead, which start at the current virtual time again.
    fn forget_groups(&mut self) {
        let mut tags: Vec<f64> = self.finish_tags.values().copied().collect();
        tags.sort_by(f64::total_cmp);
        let kept_above = tags[tags.len() / 2].max(self.virtual_time);
        self.finish_tags.retain(|_, tag| *tag > kept_above);
    }

    /// Starts a request if a slot is free and the request is first in the queue.
    pub fn try_start(&mut self, number: u64) -> bool {
        if self.started >= self.slots || self.first() != Some(number) {
            return false;
        }
        if let Some(waiting) = self.waiting.remove(&number) {
            self.virtual_time = self.virtual_time.max(waiting.start_tag);
            self.started += 1;
        }
        true
    }

    /// Removes a request that has not started.
    pub fn leave(&mut self, number: u64) {
        self.waiting.remove(&number);
    }

    /// Releases the slot of a started request.
    pub fn release(&mut self) {
        self.started = self.started.saturating_sub(1);
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the number of groups whose virtual times are kept.
    pub fn known_groups(&self) -> usize {
        self.finish_tags.len()
    }

    fn first(&self) -> Option<u64> {
        let lowest = self
            .waiting
            .iter()
            .min_by(|left, right| left.1.start_tag.total_cmp(&right.1.start_tag));
        lowest.map(|(number, _)| *number)
    }
}
