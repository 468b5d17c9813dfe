//! Forecast of when loads start: slots become free as running loads end, and
//! starts keep the store's rate.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// The forecast; loads are added in the order in which they will be granted.
pub(super) struct Schedule {
    /// When each slot becomes free, in milliseconds from now.
    slots: BinaryHeap<Reverse<u64>>,
    next_token: u64,
    millis_per_token: u64,
}

impl Schedule {
    /// A forecast from the remaining times of the running loads, the number of
    /// slots, the time of the next token, and the time between tokens, all in
    /// milliseconds.
    pub(super) fn new(mut remaining: Vec<u64>, slots: usize, next_token: u64, millis_per_token: u64) -> Self {
        remaining.sort_unstable();
        // With more loads than slots (the limit was lowered), the first to end
        // free nothing.
        let surplus = remaining.len().saturating_sub(slots.max(1));
        let mut free_at: BinaryHeap<Reverse<u64>> =
            remaining.into_iter().skip(surplus).map(Reverse).collect();
        while free_at.len() < slots.max(1) {
            free_at.push(Reverse(0));
        }
        Self {
            slots: free_at,
            next_token,
            millis_per_token,
        }
    }

    /// Adds a load; returns its start, in milliseconds from now.
    pub(super) fn add(&mut self, duration_millis: u64) -> u64 {
        let Reverse(free_at) = self.slots.pop().unwrap_or(Reverse(0));
        let start = free_at.max(self.next_token);
        self.slots.push(Reverse(start + duration_millis));
        self.next_token = start + self.millis_per_token;
        start
    }
}
