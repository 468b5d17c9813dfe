//! Load samples: what nodes learn of replicas' loads from responses, on its way to all others.
//!
//! A single node rarely receives a sample from a given replica, but all nodes together often do.
//! [`HeardLoads`] collects samples until they are forwarded, [`LoadTelling`] chooses which of
//! them to publish to all nodes, and [`LoadKeys`] maps samples to replicas. All of this state
//! is soft: if samples are lost, delayed or dropped, nodes only use older ones.

mod heard;
mod keys;
mod telling;

use std::time::Duration;

pub use self::heard::{HeardLoads, Hearing};
pub use self::keys::{LoadKey, LoadKeys};
pub use self::telling::{LoadTelling, TellingConfig};
use crate::capacity::ReplicaLoad;
use crate::time::Moment;

/// Age from which a sample is not forwarded: it says little about present requests.
pub const LONGEST_AGE: Duration = Duration::from_secs(2);
/// Number of replicas of which samples are stored at a time.
pub const MOST_REPLICAS: usize = 4096;
/// Difference in time up to which two equal samples count as one that arrived by two routes:
/// each hop rounds the sample's age.
const SAME_ACCOUNT: Duration = Duration::from_millis(100);

/// The load that an incarnation of a replica reported, and when.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadAccount {
    /// The incarnation.
    pub key: LoadKey,
    /// The reported load.
    pub load: ReplicaLoad,
    /// When the replica reported it, by the clock of the node that stores the sample.
    pub at: Moment,
}

impl LoadAccount {
    /// Returns whether the sample adds to `newest`, the newest known sample of the replica.
    pub fn is_news(&self, newest: Option<(ReplicaLoad, Moment)>) -> bool {
        newest.is_none_or(|(load, at)| {
            let is_same = load == self.load && self.at.since(at) <= SAME_ACCOUNT;
            self.at > at && !is_same
        })
    }
}
