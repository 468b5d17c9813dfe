//! Assigns tenants' quotas and replicas' limits to the nodes that keep them.

use std::cmp::Reverse;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::candidacy::Candidate;

/// Number of partitions of the tenants. Each partition costs every node a link; more partitions
/// spread the load and lose less with one keeper. With two, a keeper at 380 nodes and 3,100
/// requests per second handles 1,600 requests per second.
pub const QUOTA_PART_COUNT: usize = 2;
/// Number of partitions of the replicas, two for the same reason. A node links to their keepers
/// only while a replica of the partition reports a limit.
pub const LIMIT_PART_COUNT: usize = 2;

const PART_COUNT: usize = QUOTA_PART_COUNT + LIMIT_PART_COUNT;

/// A subset of the tenants or of the replicas; one node keeps all its quotas or limits.
/// Partitions of tenants come first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QuotaPart(u8);

impl QuotaPart {
    /// Returns all partitions.
    pub fn all() -> impl Iterator<Item = QuotaPart> {
        (0..PART_COUNT as u8).map(QuotaPart)
    }

    /// Returns the partition with this index, or `None` if there is none.
    pub fn from_index(index: usize) -> Option<QuotaPart> {
        (index < PART_COUNT).then_some(QuotaPart(index as u8))
    }

    /// Returns the partition of a tenant.
    pub fn of_tenant(name: &str) -> QuotaPart {
        QuotaPart((xxh3_64(name.as_bytes()) % QUOTA_PART_COUNT as u64) as u8)
    }

    /// Returns the partition of a replica.
    pub fn of_replica(id: &str) -> QuotaPart {
        let among = (xxh3_64(id.as_bytes()) % LIMIT_PART_COUNT as u64) as u8;
        QuotaPart(QUOTA_PART_COUNT as u8 + among)
    }

    /// Returns true if this is a partition of the replicas.
    pub fn is_of_replicas(self) -> bool {
        self.index() >= QUOTA_PART_COUNT
    }

    /// Returns the index, starting at zero.
    pub fn index(self) -> usize {
        usize::from(self.0)
    }
}

/// Returns the nodes in order of preference as keeper of a partition: by processor time, and
/// among equals in an order that differs between partitions. Removing a node does not change the
/// order of the others.
pub fn keeper_order<'a, T>(
    part: QuotaPart,
    nodes: impl Iterator<Item = T>,
    candidate: impl Fn(&T) -> Candidate<'a>,
) -> Vec<T> {
    /// Makes these hashes independent of those that rank orderers.
    const SALT: u64 = 0x51;
    let mut order: Vec<T> = nodes.collect();
    order.sort_by_cached_key(|node| {
        let node = candidate(node);
        let salted = xxh3_64_with_seed(node.name.as_bytes(), SALT + part.index() as u64);
        (Reverse(node.processor_millicores), salted)
    });
    order
}
