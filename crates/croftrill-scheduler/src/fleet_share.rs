//! This node's part of a bound that applies to all nodes together.
//!
//! The nodes divide such a bound evenly, without messages. A node learns who else exists from the
//! entries that all nodes keep in the store under leases. But an entry that is gone does not prove
//! that its node is: the store may turn a node away, or remove its entry, while callers still use
//! it. So the parts are handed over by time:
//!
//! - A node uses its part only for [`FleetShareConfig::confirmation_lifetime`] after it was last
//!   confirmed, that is, after its view of the store was complete and contained its own entry.
//! - The others count it for that time and one window longer, so what it used is no longer in any
//!   window when they raise their parts. They count that time only while they are confirmed.
//! - A node that joins uses no part for as long: by then the others know it or have stopped to use
//!   theirs, and what an earlier process of the same name used is no longer in any window.
//!
//! Invariant: whoever uses its part at some time counts all nodes that use theirs within a window
//! of that time, so the parts used in any window add up to at most the whole.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::time::Moment;

/// Times by which parts are handed over.
#[derive(Debug, Clone, Copy)]
pub struct FleetShareConfig {
    /// Time for which a node may use its part after it was confirmed.
    pub confirmation_lifetime: Duration,
    /// Length of the longest window of the bounds that are shared.
    pub window: Duration,
}

impl FleetShareConfig {
    /// Returns the time after which nothing that a node used since it was last confirmed is in a
    /// window.
    fn hand_over_time(&self) -> Duration {
        self.confirmation_lifetime + self.window
    }
}

/// Why a node may not use its part at present.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WithheldReason {
    /// The node has not been confirmed recently, so the others may count without it.
    Unconfirmed,
    /// The node joined recently, so the others may not count it yet.
    RecentlyJoined,
}

impl WithheldReason {
    /// Returns its name in logs.
    pub fn name(self) -> &'static str {
        match self {
            WithheldReason::Unconfirmed => "unconfirmed",
            WithheldReason::RecentlyJoined => "recently joined",
        }
    }
}

/// The part of a bound that this node may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Share {
    /// Number of nodes by which the bound is divided.
    pub nodes: usize,
    /// Why the node may not use its part, if so.
    pub withheld: Option<WithheldReason>,
}

impl Share {
    /// Returns this node's part of `whole`.
    pub fn of(&self, whole: f64) -> f64 {
        match self.withheld {
            Some(_) => 0.0,
            None => whole / self.nodes.max(1) as f64,
        }
    }
}

/// Tracks which nodes may be using their parts, and whether this one may.
#[derive(Debug)]
pub struct FleetShare {
    config: FleetShareConfig,
    /// True in the first process of this node at the first start of the entire system.
    is_first_start: bool,
    /// Nodes that are not listed but may still use their parts, with the latest time at which they
    /// may have been listed.
    gone: BTreeMap<String, Moment>,
    joined_at: Option<Moment>,
    confirmed_at: Option<Moment>,
}

impl FleetShare {
    /// Creates the state of a node that is not listed yet. `is_first_start` is true at the first
    /// start of the entire system: all nodes join together, and none has used a part before.
    pub fn new(config: FleetShareConfig, is_first_start: bool) -> Self {
        FleetShare {
            config,
            is_first_start,
            gone: BTreeMap::new(),
            joined_at: None,
            confirmed_at: None,
        }
    }

    /// Records that a node is listed.
    pub fn record_listed(&mut self, key: &str) {
        self.gone.remove(key);
    }

    /// Records that a node is not listed any more.
    pub fn record_gone(&mut self, key: &str, now: Moment) {
        self.gone.insert(key.to_string(), now);
    }

    /// Records that the view of the store was complete at `at` and contained this node's own entry.
    pub fn record_confirmed(&mut self, at: Moment) {
        let unconfirmed_for = self.confirmed_at.map(|last| at.since(last));
        if unconfirmed_for.is_none_or(|gap| gap > self.config.window) {
            // The others may have stopped to count this node, and some may not know it again yet.
            self.is_first_start &= self.joined_at.is_none();
            self.joined_at = Some(at);
        }
        if unconfirmed_for.is_some_and(|gap| gap > self.config.confirmation_lifetime) {
            // Entries may have been listed meanwhile and gone again.
            for since in self.gone.values_mut() {
                *since = at.max(*since);
            }
        }
        self.confirmed_at = self.confirmed_at.max(Some(at));
        let hand_over_time = self.config.hand_over_time();
        self.gone.retain(|_, since| at.since(*since) <= hand_over_time);
    }

    /// Returns this node's share. `listed` is the number of listed nodes.
    pub fn share(&self, listed: usize, now: Moment) -> Share {
        Share {
            nodes: (listed + self.gone.len()).max(1),
            withheld: self.withheld(now),
        }
    }

    fn withheld(&self, now: Moment) -> Option<WithheldReason> {
        let is_recent =
            |moment: Option<Moment>, time: Duration| moment.is_some_and(|moment| now.since(moment) <= time);
        if !is_recent(self.confirmed_at, self.config.confirmation_lifetime) {
            return Some(WithheldReason::Unconfirmed);
        }
        let join_time = if self.is_first_start {
            self.config.confirmation_lifetime
        } else {
            self.config.hand_over_time()
        };
        is_recent(self.joined_at, join_time).then_some(WithheldReason::RecentlyJoined)
    }
}
