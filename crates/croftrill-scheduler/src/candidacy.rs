//! Which node should become the orderer of a shard.
//!
//! Each node waits for its place in line before it asks the store, so that one
//! asks and the others learn of it. The store alone decides; this only spares
//! calls, and puts the orderers where there is processor time: an orderer short of
//! it serves callers late and takes configurations late.

use std::cmp::Reverse;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::shard::Shard;

/// Places that a node lets pass for each shard whose orderer it is already.
const HOLDER_PLACES: u32 = 8;
/// Most places that a node lets pass otherwise.
const MOST_PLACES: u32 = 30;

/// An orderer hands its shard on to a node with so many times its processor time. Nodes of
/// one kind never do: a change of orderers leaves the shard without orders for a moment.
const MUCH_STRONGER: u32 = 2;

/// True if an orderer had better hand its shard on: one of the nodes that are no orderers
/// has much more processor time. Whoever asks first becomes the orderer, and of hundreds of
/// nodes that start together and know nobody yet, that is a weak one now and then.
pub fn should_hand_on<'a>(own: Candidate<'_>, mut others: impl Iterator<Item = Candidate<'a>>) -> bool {
    let least = own.processor_millicores.saturating_mul(MUCH_STRONGER);
    others.any(|other| other.processor_millicores >= least)
}

/// A node that may become an orderer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate<'a> {
    /// Its name.
    pub name: &'a str,
    /// Processor time that it may use, in thousandths of a core.
    pub processor_millicores: u32,
}

impl Candidate<'_> {
    /// Those with most processor time come first, equals in an order that
    /// differs between shards.
    fn rank(&self, shard: Shard) -> (Reverse<u32>, u64) {
        let salted = xxh3_64_with_seed(self.name.as_bytes(), shard.index() as u64);
        (Reverse(self.processor_millicores), salted)
    }
}

/// What a node knows when it considers becoming a shard's orderer.
#[derive(Debug, Clone, Copy)]
pub struct Candidacy<'a> {
    /// The shard.
    pub shard: Shard,
    /// The node itself.
    pub own: Candidate<'a>,
    /// Shards whose orderer it is already.
    pub terms_held: usize,
    /// The node that last was the shard's orderer.
    pub last_orderer: Option<&'a str>,
}

impl Candidacy<'_> {
    /// The node's place in line; zero goes at once. The last orderer comes first,
    /// as it need not wait for others' orders; a node that is an orderer already
    /// comes later, so that one machine does not hold all shards.
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
