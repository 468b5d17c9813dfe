//! Start times of a node's own requests at a replica, so that a load sample which is older
//! than a request is not assumed to count it.

use std::collections::VecDeque;

use crate::time::Moment;

/// More than a node sends to one replica while a load sample is on its way.
const MOST_KEPT: usize = 16;

/// The latest start times, oldest first.
#[derive(Debug, Clone, Default)]
pub(super) struct OwnBegun(VecDeque<Moment>);

impl OwnBegun {
    pub(super) fn note(&mut self, at: Moment) {
        if self.0.len() == MOST_KEPT {
            self.0.pop_front();
        }
        self.0.push_back(at);
    }

    /// Returns how many requests started after `at`.
    pub(super) fn after(&self, at: Moment) -> u32 {
        self.0.iter().rev().take_while(|begun| **begun > at).count() as u32
    }
}
