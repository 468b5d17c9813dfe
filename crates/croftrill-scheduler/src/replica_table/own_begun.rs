//! When a node's own requests at a replica began, so that an account of the replica's load
//! which is older than they are is not taken to count them.

use std::collections::VecDeque;

use crate::time::Moment;

/// Begins that are kept: more than a node sends to one replica while an account is on its
/// way.
const MOST_KEPT: usize = 16;

/// The last begins, oldest first.
#[derive(Debug, Clone, Default)]
pub(super) struct OwnBegun(VecDeque<Moment>);

impl OwnBegun {
    pub(super) fn note(&mut self, at: Moment) {
        if self.0.len() == MOST_KEPT {
            self.0.pop_front();
        }
        self.0.push_back(at);
    }

    /// How many of them lie after a moment.
    pub(super) fn after(&self, at: Moment) -> u32 {
        self.0.iter().rev().take_while(|begun| **begun > at).count() as u32
    }
}
