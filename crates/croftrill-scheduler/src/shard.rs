//! Shards: parts of the replicas that have an orderer each.
//!
//! A failed orderer leaves only its own shard without orders; meanwhile the
//! others load what is waited for at theirs. Which shard a replica belongs to
//! follows from its identity alone, so all nodes agree on it without talking.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::replica::ReplicaId;

/// Number of shards. More shards lose less with one orderer, and split the
/// weight store's ceiling into smaller parts.
pub const SHARD_COUNT: usize = 3;

/// One of the [`SHARD_COUNT`] shards.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Shard(u8);

impl Shard {
    /// All shards.
    pub fn all() -> impl Iterator<Item = Shard> {
        (0..SHARD_COUNT as u8).map(Shard)
    }

    /// The shard of a number; `None` beyond the last.
    pub fn from_index(index: usize) -> Option<Shard> {
        (index < SHARD_COUNT).then_some(Shard(index as u8))
    }

    /// The shard that a replica belongs to.
    pub fn of_replica(id: &str) -> Shard {
        Shard((xxh3_64(id.as_bytes()) % SHARD_COUNT as u64) as u8)
    }

    /// Its number, from zero.
    pub fn index(self) -> usize {
        usize::from(self.0)
    }
}

/// The replicas that one orderer orders at.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderScope {
    /// All replicas.
    Everything,
    /// Those of one shard.
    One(Shard),
}

impl OrderScope {
    /// True if the orderer orders at a replica.
    pub fn covers(self, replica: &str) -> bool {
        match self {
            OrderScope::Everything => true,
            OrderScope::One(shard) => Shard::of_replica(replica) == shard,
        }
    }

    /// True if it is this orderer's turn to act for what waited so long: at once
    /// if it orders at `home`, the place that all orderers find best; else, as
    /// the orderer there may be lost, one shard after the other.
    pub fn has_turn(self, home: Option<&ReplicaId>, waited: Duration, patience: Duration) -> bool {
        let (OrderScope::One(own), Some(home)) = (self, home) else {
            return true;
        };
        let home = Shard::of_replica(home);
        let place_in_line = (own.index() + SHARD_COUNT - home.index()) % SHARD_COUNT;
        waited >= patience * place_in_line as u32
    }
}
