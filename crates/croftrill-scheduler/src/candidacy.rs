//! Ranks the nodes that may become the orderer of a shard.
//!
//! Each node delays its request to the store by its position in line, so that one
//! node tries and the others learn of its success. The store alone decides; the
//! ranking only saves calls and places orderers on nodes with processor time: an
//! orderer without enough of it serves callers late and applies configurations late.

use std::cmp::Reverse;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::shard::Shard;

/// Positions by which a node falls back for each shard that it already orders for.
const HOLDER_PLACES: u32 = 8;
/// Maximum number of other nodes that a node without a shard lets pass.
const MOST_PLACES: u32 = 30;

/// Ratio of processor time from which an orderer hands its shard over to another node.
/// Above one, so that similar nodes never do: a change of orderers briefly leaves the
/// shard without orders.
const MUCH_STRONGER: u32 = 2;

/// Returns true if an orderer should hand its shard over because one of the nodes that
/// are not orderers has much more processor time. The first node to request the lease
/// becomes the orderer, and when hundreds of nodes start together without knowing each
/// other, that is sometimes a weak one.
pub fn should_hand_on<'a>(own: Candidate<'_>, mut others: impl Iterator<Item = Candidate<'a>>) -> bool {
    let least = own.processor_millicores.saturating_mul(MUCH_STRONGER);
    others.any(|other| other.processor_millicores >= least)
}

/// A node that may become an orderer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate<'a> {
    /// The node's name.
    pub name: &'a str,
    /// Processor time available to the node, in thousandths of a core.
    pub processor_millicores: u32,
}

impl Candidate<'_> {
    /// Ranks nodes with more processor time first, and equal nodes in an order that
    /// differs between shards.
    fn rank(&self, shard: Shard) -> (Reverse<u32>, u64) {
        let salted = xxh3_64_with_seed(self.name.as_bytes(), shard.index() as u64);
        (Reverse(self.processor_millicores), salted)
    }
}

/// The inputs to a node's decision on becoming a shard's orderer.
#[derive(Debug, Clone, Copy)]
pub struct Candidacy<'a> {
    /// The shard.
    pub shard: Shard,
    /// The node itself.
    pub own: Candidate<'a>,
    /// Number of shards that the node already orders for.
    pub terms_held: usize,
    /// The node that was the shard's orderer last.
    pub last_orderer: Option<&'a str>,
}

impl Candidacy<'_> {
    /// Returns the node's position in line; a node at position zero tries at once. The
    /// last orderer comes first, as it does not have to wait out other machines' orders.
    /// A node that already orders for a shard comes later, so that one machine does not
    /// hold all shards.
    pub fn place_in_line<'b>(&self, nodes: impl Iterator<Item = Candidate<'b>>) -> u32 {
        if self.terms_held > 0 {
            return HOLDER_PLACES * self.terms_held as u32;
        }
        if self.last_orderer == Some(self.own.name) {
            return 0;
        }
        let own = self.own.rank(self.shard);
        let before = nodes.filter(|node| node.rank(self.shard) < own).count();
        1 + (before as u32).min(MOST_PLACES)
    }
}
