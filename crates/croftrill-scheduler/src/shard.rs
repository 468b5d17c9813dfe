//! Shards: disjoint subsets of the replicas, each with its own orderer.
//!
//! A failed orderer leaves only its own shard without orders; meanwhile the other
//! orderers load requested models at the replicas of their shards. A replica's shard
//! is a function of its id alone, so all nodes agree on it without coordination.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::replica::ReplicaId;

/// Number of shards. With more shards, the failure of one orderer affects fewer
/// replicas, but each orderer gets a smaller share of the weight store's ceiling.
pub const SHARD_COUNT: usize = 3;

/// One of the [`SHARD_COUNT`] shards.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Shard(u8);

impl Shard {
    /// Returns all shards.
    pub fn all() -> impl Iterator<Item = Shard> {
        (0..SHARD_COUNT as u8).map(Shard)
    }

    /// Returns the shard with the given index, or `None` if there is no such shard.
    pub fn from_index(index: usize) -> Option<Shard> {
        (index < SHARD_COUNT).then_some(Shard(index as u8))
    }

    /// Returns the shard that a replica belongs to.
    pub fn of_replica(id: &str) -> Shard {
        Shard((xxh3_64(id.as_bytes()) % SHARD_COUNT as u64) as u8)
    }

    /// Returns the shard's zero-based index.
    pub fn index(self) -> usize {
        usize::from(self.0)
    }
}

/// The replicas that one orderer is responsible for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderScope {
    /// All replicas.
    Everything,
    /// The replicas of one shard.
    One(Shard),
}

impl OrderScope {
    /// Returns true if the orderer is responsible for the replica.
    pub fn covers(self, replica: &str) -> bool {
        match self {
            OrderScope::Everything => true,
            OrderScope::One(shard) => Shard::of_replica(replica) == shard,
        }
    }

    /// Returns true if this orderer may act for requests that have waited for `waited`.
    ///
    /// The orderer of `home`, the replica that all orderers rank first, acts at once.
    /// As it may have failed, the other shards follow one after the other, with a
    /// delay of `patience` between them.
    pub fn has_turn(self, home: Option<&ReplicaId>, waited: Duration, patience: Duration) -> bool {
        let (OrderScope::One(own), Some(home)) = (self, home) else {
            return true;
        };
        let home = Shard::of_replica(home);
        let place_in_line = (own.index() + SHARD_COUNT - home.index()) % SHARD_COUNT;
        waited >= patience * place_in_line as u32
    }
}
