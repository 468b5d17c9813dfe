//! Assigns tenants' quotas and replicas' limits to the nodes that keep them.

use std::cmp::Reverse;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::candidacy::Candidate;

/// Number of partitions of the tenants. Each partition costs every node a link; more partitions
/// spread the load and lose less with one keeper. With two, a keeper at 380 nodes and 3,100
/// requests per second handles 1,600 requests per second.
pub const QUOTA_PARTITION_COUNT: usize = 2;
/// Number of partitions of the replicas, two for the same reason. A node links to their keepers
/// only while a replica of the partition reports a limit.
pub const LIMIT_PARTITION_COUNT: usize = 2;

const PARTITION_COUNT: usize = QUOTA_PARTITION_COUNT + LIMIT_PARTITION_COUNT;

/// A subset of the tenants or of the replicas; one node keeps all its quotas or limits.
/// Partitions of tenants come first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QuotaPartition(u8);

impl QuotaPartition {
    /// Returns all partitions.
    pub fn all() -> impl Iterator<Item = QuotaPartition> {
        (0..PARTITION_COUNT as u8).map(QuotaPartition)
    }

    /// Returns the partition with this index, or `None` if there is none.
    pub fn from_index(index: usize) -> Option<QuotaPartition> {
        (index < PARTITION_COUNT).then_some(QuotaPartition(index as u8))
    }

    /// Returns the partition of a tenant.
    pub fn of_tenant(name: &str) -> QuotaPartition {
        QuotaPartition((xxh3_64(name.as_bytes()) % QUOTA_PARTITION_COUNT as u64) as u8)
    }

    /// Returns the partition of a replica.
    pub fn of_replica(id: &str) -> QuotaPartition {
        let offset = (xxh3_64(id.as_bytes()) % LIMIT_PARTITION_COUNT as u64) as u8;
        QuotaPartition(QUOTA_PARTITION_COUNT as u8 + offset)
    }

    /// Returns true if this is a partition of the replicas.
    pub fn covers_replicas(self) -> bool {
        self.index() >= QUOTA_PARTITION_COUNT
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
    partition: QuotaPartition,
    nodes: impl Iterator<Item = T>,
    candidate: impl Fn(&T) -> Candidate<'a>,
) -> Vec<T> {
    /// Makes these hashes independent of those that rank orderers.
    const SALT: u64 = 0x51;
    let mut order: Vec<T> = nodes.collect();
    order.sort_by_cached_key(|node| {
        let node = candidate(node);
        let salted = xxh3_64_with_seed(node.name.as_bytes(), SALT + partition.index() as u64);
        (Reverse(node.processor_millicores), salted)
    });
    order
}
