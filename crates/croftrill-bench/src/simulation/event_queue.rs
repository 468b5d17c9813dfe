//! Events in the order of their time; those of the same time in the order in
//! which they were scheduled.

use crate::identifiers::Micros;
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// The queue.
#[derive(Debug)]
pub struct EventQueue<E> {
    heap: BinaryHeap<Reverse<Scheduled<E>>>,
    next_sequence: u64,
}

#[derive(Debug)]
struct Scheduled<E> {
    time: Micros,
    sequence: u64,
    event: E,
}

impl<E> Scheduled<E> {
    fn key(&self) -> (Micros, u64) {
        (self.time, self.sequence)
    }
}

impl<E> PartialEq for Scheduled<E> {
    fn eq(&self, other: &Self) -> bool {
        self.key() == other.key()
    }
}

impl<E> Eq for Scheduled<E> {}

impl<E> PartialOrd for Scheduled<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Scheduled<E> {
    fn cmp(&self, other: &Self) -> Ordering {
        self.key().cmp(&other.key())
    }
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        Self {
            heap: BinaryHeap::new(),
            next_sequence: 0,
        }
    }
}

impl<E> EventQueue<E> {
    /// Schedules an event.
    pub fn push(&mut self, time: Micros, event: E) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.heap.push(Reverse(Scheduled {
            time,
            sequence,
            event,
        }));
    }

    /// The next event and its time.
    pub fn pop(&mut self) -> Option<(Micros, E)> {
        let Reverse(next) = self.heap.pop()?;
        Some((next.time, next.event))
    }
}
