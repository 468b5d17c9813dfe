//! Computes how many replicas each role of a fleet knows and how many bytes it receives, from
//! the production tables, relay tree and messages.

use std::collections::HashMap;

use croftrill_node::membership::MemberEntry;
use croftrill_node::peer::{
    DirectoryUpdate, FromOrderer, FullViewChunk, RevisedChange, WireChange, WireListing, WirePlacement,
};
use croftrill_scheduler::interest::{FollowerInterests, Interest};
use croftrill_scheduler::relay_tree::{role, TreeNode, TreeRole};
use croftrill_scheduler::replica::{HeldModel, Holdings, ReplicaId, ReplicaListing, ReplicaState};
use croftrill_scheduler::replica_table::{Placement, ReplicaTable};
use nanoserde::SerBin;

use crate::emulator::at;

/// Number of zones.
const ZONES: usize = 6;
/// One in this many nodes of a zone has several times the processor time of the others.
const NODES_PER_STRONG: usize = 16;
/// Number of models.
const MODELS: usize = 300;
/// Number of models that a replica holds.
const MODELS_PER_REPLICA: usize = 2;
/// Number of models that the requests of one node need.
const MODELS_PER_NODE: usize = 8;
/// Size of a configuration with these models and some hundred routes.
const CONFIGURATION_BYTES: usize = 80 * 1024;
/// Size of a replica's entry in an answer of the store: its JSON in base64 and the
/// enclosing item.
const STORED_REPLICA_BYTES: usize = 560;
/// Size of a node's entry in an answer of the store.
const STORED_NODE_BYTES: usize = 260;
/// Number of orderers.
const ORDERERS: usize = 3;

/// The size of a fleet.
#[derive(Debug, Clone, Copy)]
pub struct FleetSize {
    /// Number of nodes.
    pub nodes: usize,
    /// Number of replicas of a service with models.
    pub replicas: usize,
}

/// The number of links, known replicas and bytes sent in a fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FleetCost {
    /// Number of relays.
    pub relays: usize,
    /// Maximum number of followers of one relay.
    pub max_followers: usize,
    /// Number of links to one orderer from relays and other orderers.
    pub orderer_links: usize,
    /// Number of replicas that a relay or an orderer knows.
    pub relay_replicas: usize,
    /// Number of replicas that a follower knows.
    pub follower_replicas: usize,
    /// Bytes that a follower receives before it can serve.
    pub follower_start_bytes: usize,
    /// Bytes that a follower receives when it needs one more model.
    pub interest_bytes: usize,
    /// Bytes of the longest message of a full view.
    pub longest_message_bytes: usize,
    /// Bytes of a relay's full view: nodes, listings and placements.
    pub relay_view_bytes: usize,
    /// Bytes that the store sends when all nodes start at the same time.
    pub store_start_bytes: usize,
    /// Bytes sent to all nodes together for a change of one replica that every tenth follower
    /// knows.
    pub replica_change_bytes: usize,
    /// Bytes sent to all nodes together for a change of one node.
    pub node_change_bytes: usize,
}

/// Computes the cost of a fleet of the given size.
pub fn fleet_cost(size: FleetSize) -> FleetCost {
    let members: Vec<MemberEntry> = (0..size.nodes).map(member).collect();
    let roles: Vec<TreeRole<'_>> = members.iter().map(|own| tree_role(own, &members)).collect();
    let relays = roles.iter().filter(|role| **role == TreeRole::Relay).count();
    let table = table(size.replicas);
    let mut follower = FollowerInterests::new("n0", "zone-0");
    let first = follower.add_interest(&table, interest(0));
    let interest_bytes = replicas_bytes(&table, &first);
    let further = (1..MODELS_PER_NODE).flat_map(|model| follower.add_interest(&table, interest(model)));
    let follower_replicas = first.len() + further.count();
    let node_list_bytes = node_update_bytes(&members);
    let full_view = full_view_message_bytes(&members, &table);
    let placements = FromOrderer::encode_placements(&table.placements(), at(0));
    let placements: Vec<usize> = placements.iter().map(|message| message.len()).collect();
    let longest = full_view.iter().chain(&placements).max().copied();
    let full_read_bytes =
        size.replicas * STORED_REPLICA_BYTES + size.nodes * STORED_NODE_BYTES + CONFIGURATION_BYTES;
    let zone_list_bytes = size.nodes.div_ceil(ZONES) * STORED_NODE_BYTES;
    let change = one_change_bytes(&table);
    let followers = size.nodes - relays;
    FleetCost {
        relays,
        max_followers: max_followers(&roles),
        orderer_links: relays + ORDERERS - 1,
        relay_replicas: table.len(),
        follower_replicas,
        follower_start_bytes: CONFIGURATION_BYTES + node_list_bytes,
        interest_bytes,
        longest_message_bytes: longest.expect("a full view has at least one message"),
        relay_view_bytes: full_view.iter().chain(&placements).sum(),
        store_start_bytes: size.nodes * zone_list_bytes + (relays + ORDERERS) * full_read_bytes,
        replica_change_bytes: change * (relays * ORDERERS + followers / 10),
        node_change_bytes: (node_list_bytes / size.nodes) * (relays * ORDERERS + followers),
    }
}

fn member(index: usize) -> MemberEntry {
    let is_strong = (index / ZONES) % NODES_PER_STRONG == 0;
    MemberEntry {
        name: format!("edge-zone-{}-{index}", index % ZONES),
        zone: format!("zone-{}", index % ZONES),
        front: format!("10.{}.{}.1:8149", index / 250, index % 250),
        peer: format!("10.{}.{}.1:7380", index / 250, index % 250),
        processor_millicores: if is_strong { 500 } else { 120 },
        incarnation: 1_790_000_000_000_000_000,
    }
}

fn tree_role<'a>(own: &'a MemberEntry, members: &'a [MemberEntry]) -> TreeRole<'a> {
    let node = |member: &'a MemberEntry| TreeNode {
        name: &member.name,
        zone: &member.zone,
        processor_millicores: member.processor_millicores,
        is_orderer: false,
    };
    role(node(own), members.iter().map(node))
}

/// Returns the maximum number of followers whose first choice is the same relay.
fn max_followers(roles: &[TreeRole<'_>]) -> usize {
    let mut counts: HashMap<&str, usize> = HashMap::new();
    for role in roles {
        if let TreeRole::Follower(relays) = role {
            *counts.entry(relays[0]).or_insert(0) += 1;
        }
    }
    counts.into_values().max().unwrap_or(0)
}

fn table(replicas: usize) -> ReplicaTable {
    let mut table = ReplicaTable::new();
    for index in 0..replicas {
        table.apply_listing(listing(index));
        table.apply_placement(placement(index));
    }
    table
}

fn listing(index: usize) -> ReplicaListing {
    ReplicaListing {
        id: format!("i-{index:010x}").into(),
        service: "llm".into(),
        address: format!("10.128.{}.{}:8080", index / 250, index % 250).into(),
        zone: format!("zone-{}", index % ZONES).into(),
        slots: 64,
        state: ReplicaState::Ready,
        leaves_in: None,
        started_ms: Some(1_790_000_000_000),
        holdings: Holdings::default(),
    }
}

fn placement(index: usize) -> Placement {
    let held = (0..MODELS_PER_REPLICA).map(|offset| HeldModel {
        model: model(index * MODELS_PER_REPLICA + offset).into(),
        adapters: Vec::new(),
    });
    Placement {
        replica: format!("i-{index:010x}").into(),
        started_ms: Some(1_790_000_000_000),
        usable: Holdings {
            sequence: 2,
            models: held.collect(),
            copies: Default::default(),
        },
        arriving: Vec::new(),
        includes_copies: false,
    }
}

fn model(index: usize) -> String {
    format!("model{:05x}", index % MODELS)
}

fn interest(index: usize) -> Interest {
    Interest {
        service: "llm".into(),
        model: Some(model(index).into()),
        adapter: None,
    }
}

/// Returns the bytes of the listings and placements of the given replicas.
fn replicas_bytes(table: &ReplicaTable, ids: &[ReplicaId]) -> usize {
    let entries = ids.iter().filter_map(|id| table.get(id));
    let bytes = entries.map(|entry| {
        let listing = WireListing::from_listing(&entry.listing).serialize_bin().len();
        listing
            + WirePlacement::from_placement(&entry.placement(), at(0))
                .serialize_bin()
                .len()
    });
    bytes.sum()
}

/// Returns the bytes of the updates that list all nodes.
fn node_update_bytes(members: &[MemberEntry]) -> usize {
    let items = members.iter().map(|member| RevisedChange {
        revision: 1,
        change: WireChange::Written {
            key: format!("croftrill/nodes/{}/{}", member.zone, member.name),
            value: member.serialize_bin().into(),
        },
    });
    items.map(|item| item.serialize_bin().len()).sum()
}

/// Returns the bytes of each message of a full view of nodes and replicas.
fn full_view_message_bytes(members: &[MemberEntry], table: &ReplicaTable) -> Vec<usize> {
    let nodes = members.iter().map(|member| WireChange::Written {
        key: format!("croftrill/nodes/{}/{}", member.zone, member.name),
        value: member.serialize_bin().into(),
    });
    let replicas = table
        .iter()
        .map(|entry| WireChange::Replica(WireListing::from_listing(&entry.listing)));
    let changes = nodes
        .chain(replicas)
        .map(|change| RevisedChange { revision: 1, change });
    let full_view = DirectoryUpdate {
        after: 0,
        reached: 1,
        proof_age_ms: 0,
        sent_at_ms: 0,
        changes: changes.collect(),
    };
    let chunks = FullViewChunk::chunks_of(full_view, true).expect("every entry fits into a message");
    chunks
        .into_iter()
        .map(|chunk| FromOrderer::FullView(chunk).encode().len())
        .collect()
}

fn one_change_bytes(table: &ReplicaTable) -> usize {
    let first = table.iter().next().map(|entry| entry.placement());
    let placements: Vec<Placement> = first.into_iter().collect();
    FromOrderer::encode_placements(&placements, at(0))
        .iter()
        .map(|message| message.len())
        .sum()
}
