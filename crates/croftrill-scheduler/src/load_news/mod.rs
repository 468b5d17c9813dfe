//! News of replicas' loads: what nodes heard in answers, on its way to all others.
//!
//! A node hears a replica seldom, all nodes together hear it often. [`HeardLoads`] gathers
//! accounts until they are passed on, [`LoadTelling`] chooses which of them all nodes are
//! told, [`LoadKeys`] says which replica an account is about. All of it is soft: what is
//! lost, late or left out is old news, and nothing else.

mod heard;
mod keys;
mod telling;

use std::time::Duration;

pub use self::heard::{HeardLoads, Hearing};
pub use self::keys::{LoadKey, LoadKeys};
pub use self::telling::{LoadTelling, TellingConfig};
use crate::capacity::ReplicaLoad;
use crate::time::Moment;

/// Age from which an account is not passed on: what it says of requests has faded.
pub const LONGEST_AGE: Duration = Duration::from_secs(2);
/// Replicas of which accounts are kept at a time.
pub const MOST_REPLICAS: usize = 4096;
/// Difference in time up to which two accounts that say the same are one, which came on
/// two ways: ages are rounded at each of them.
const SAME_ACCOUNT: Duration = Duration::from_millis(100);

/// What an incarnation of a replica told of its load, and when.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadAccount {
    /// The incarnation.
    pub key: LoadKey,
    /// What it told.
    pub load: ReplicaLoad,
    /// When it did, by the clock of whoever holds the account.
    pub at: Moment,
}

impl LoadAccount {
    /// True if it says something to who knows `newest` of the replica.
    pub fn is_news(&self, newest: Option<(ReplicaLoad, Moment)>) -> bool {
        newest.is_none_or(|(load, at)| {
            let is_same = load == self.load && self.at.since(at) <= SAME_ACCOUNT;
            self.at > at && !is_same
        })
    }
}
