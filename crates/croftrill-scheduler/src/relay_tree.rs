//! Chooses the nodes that relay updates to others in a large fleet.
//!
//! If a few orderers sent updates to hundreds of nodes, their links would saturate.
//! So in each zone a few nodes with the most processor time, its relays, follow the
//! orderers, and the other nodes of the zone follow one of the relays. Every node
//! computes this from the list of nodes alone. While the lists of nodes differ, the
//! followers are only spread less evenly, as a relay serves every node that requests it.

use std::cmp::Reverse;

use xxhash_rust::xxh3::xxh3_64;

/// Maximum number of nodes in a fleet without relays: each orderer sends updates to that
/// many nodes directly. It lies between the tested fleets of 8 and of 86 nodes.
const MOST_WITHOUT_RELAYS: usize = 32;
/// Number of nodes in a zone per relay. With 295 nodes in six zones, relays and orderers
/// have about twenty followers each.
const NODES_PER_RELAY: usize = 24;
/// Minimum number of relays per zone, so that one can fail.
const LEAST_RELAYS: usize = 2;

/// The properties of a node that determine its role.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TreeNode<'a> {
    /// The node's name.
    pub name: &'a str,
    /// The node's zone.
    pub zone: &'a str,
    /// Processor time available to the node, in thousandths of a core.
    pub processor_millicores: u32,
    /// True if the node is an orderer at present.
    pub is_orderer: bool,
}

impl TreeNode<'_> {
    /// Ranks the nodes of a zone; the first ones are its relays. Orderers come last, as
    /// they are busy already, and nodes with more processor time come first.
    fn rank(&self) -> (bool, Reverse<u32>, u64) {
        let hash = xxh3_64(self.name.as_bytes());
        (self.is_orderer, Reverse(self.processor_millicores), hash)
    }
}

/// What a node follows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TreePlace<'a> {
    /// The node follows the orderers and is not a relay.
    Direct,
    /// The node follows the orderers and relays their updates.
    Relay,
    /// The node follows the first of these relays of its zone that is reachable.
    Below(Vec<&'a str>),
}

/// Returns the role of `own` among `nodes`, which may contain it.
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
    // Nodes start at different relays, so that the followers spread over the relays.
    let first = xxh3_64(own.name.as_bytes()) as usize % relays.len();
    relays.rotate_left(first);
    TreePlace::Below(relays)
}
