//! Which node keeps the quotas of which tenants, and the limits of which replicas.

use std::cmp::Reverse;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::candidacy::Candidate;

/// Number of parts. Each part costs every node a link; more of them spread the
/// questions, and lose less with one keeper. Two: a keeper at 380 nodes and 3,100
/// requests a second answers 1,600 questions.
pub const QUOTA_PART_COUNT: usize = 2;
/// Number of parts of the replicas. A node links to their keepers only while a replica of
/// the part names a limit; two for the same reason.
pub const LIMIT_PART_COUNT: usize = 2;

const PART_COUNT: usize = QUOTA_PART_COUNT + LIMIT_PART_COUNT;

/// Some of the tenants, whose quotas one node keeps; or some of the replicas, whose limits
/// one does. The parts of the replicas follow those of the tenants.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QuotaPart(u8);

impl QuotaPart {
    /// All parts.
    pub fn all() -> impl Iterator<Item = QuotaPart> {
        (0..PART_COUNT as u8).map(QuotaPart)
    }

    /// The part of a number; `None` beyond the last.
    pub fn from_index(index: usize) -> Option<QuotaPart> {
        (index < PART_COUNT).then_some(QuotaPart(index as u8))
    }

    /// The part that a tenant belongs to.
    pub fn of_tenant(name: &str) -> QuotaPart {
        QuotaPart((xxh3_64(name.as_bytes()) % QUOTA_PART_COUNT as u64) as u8)
    }

    /// The part that a replica belongs to.
    pub fn of_replica(id: &str) -> QuotaPart {
        let among = (xxh3_64(id.as_bytes()) % LIMIT_PART_COUNT as u64) as u8;
        QuotaPart(QUOTA_PART_COUNT as u8 + among)
    }

    /// True if it is a part of the replicas.
    pub fn is_of_replicas(self) -> bool {
        self.index() >= QUOTA_PART_COUNT
    }

    /// Its number, from zero.
    pub fn index(self) -> usize {
        usize::from(self.0)
    }
}

/// The nodes in the order in which they should keep a part: those
/// with most processor time first, equals in an order that differs between parts.
/// Where one leaves, the others keep their order.
pub fn keeper_order<'a, T>(
    part: QuotaPart,
    nodes: impl Iterator<Item = T>,
    candidate: impl Fn(&T) -> Candidate<'a>,
) -> Vec<T> {
    /// Tells these draws from those for orderers.
    const SALT: u64 = 0x51;
    let mut order: Vec<T> = nodes.collect();
    order.sort_by_cached_key(|node| {
        let node = candidate(node);
        let salted = xxh3_64_with_seed(node.name.as_bytes(), SALT + part.index() as u64);
        (Reverse(node.processor_millicores), salted)
    });
    order
}
