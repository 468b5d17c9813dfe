//! Which nodes pass news on to others in a large fleet.
//!
//! A few orderers telling hundreds of nodes would fill their links. So in each
//! zone a few strong nodes, its relays, listen to the orderers, and the other
//! nodes of the zone listen to one of them. Every node works this out from the
//! list of nodes alone; nodes whose lists differ for a while only link less
//! evenly, as a relay serves whoever asks.

use std::cmp::Reverse;

use xxhash_rust::xxh3::xxh3_64;

/// Fleets of up to so many nodes have no relays: each orderer tells that many
/// directly. Chosen, not measured: between the fleets of 8 and of 86 nodes played.
const MOST_WITHOUT_RELAYS: usize = 32;
/// Nodes of a zone for each of its relays. Chosen, not measured: at 295 nodes in
/// six zones it gives relays and orderers about twenty listeners each.
const NODES_PER_RELAY: usize = 24;
/// Relays of a zone at least, so that one can fail.
const LEAST_RELAYS: usize = 2;

/// A node as its place in the tree is worked out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TreeNode<'a> {
    /// Its name.
    pub name: &'a str,
    /// Its zone.
    pub zone: &'a str,
    /// Processor time that it may use, in thousandths of a core.
    pub processor_millicores: u32,
    /// True if it is an orderer now.
    pub is_orderer: bool,
}

impl TreeNode<'_> {
    /// Relays are the first by this rank: orderers have enough to do, and the
    /// strongest carry most.
    fn rank(&self) -> (bool, Reverse<u32>, u64) {
        let hash = xxh3_64(self.name.as_bytes());
        (self.is_orderer, Reverse(self.processor_millicores), hash)
    }
}

/// Whom a node listens to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TreePlace<'a> {
    /// The orderers, and it serves nobody in particular.
    Direct,
    /// The orderers, and it passes on what it hears.
    Relay,
    /// One of these relays of its zone; the first that can be reached.
    Below(Vec<&'a str>),
}

/// The place of `own` among `nodes`, which may contain it.
pub fn place<'a>(own: TreeNode<'a>, nodes: impl Iterator<Item = TreeNode<'a>>) -> TreePlace<'a> {
    let nodes: Vec<TreeNode<'a>> = nodes.collect();
    if own.is_orderer || nodes.len() <= MOST_WITHOUT_RELAYS {
        return TreePlace::Direct;
    }
    let mut zone: Vec<TreeNode<'a>> = nodes.into_iter().filter(|node| node.zone == own.zone).collect();
    if zone.iter().all(|node| node.name != own.name) {
        zone.push(own);
    }
    zone.sort_by_key(TreeNode::rank);
    let count = zone.len().div_ceil(NODES_PER_RELAY).max(LEAST_RELAYS);
    let mut relays: Vec<&'a str> = zone.iter().take(count).map(|node| node.name).collect();
    if relays.contains(&own.name) {
        return TreePlace::Relay;
    }
    // Each node begins with another one, so that the relays share the nodes.
    let first = xxh3_64(own.name.as_bytes()) as usize % relays.len();
    relays.rotate_left(first);
    TreePlace::Below(relays)
}
