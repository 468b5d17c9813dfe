//! What replicas hold, read from the store while their orderer is not heard.
//!
//! Each orderer tells what the replicas of its shard hold, so a relay leaves out listings
//! that changed in that alone. A node that hears the relay, but not the orderer of a shard,
//! would go by what that shard's replicas held when it last read everything, and refuse
//! models that they have loaded since.

use std::rc::Rc;
use std::time::Duration;

use croftrill_scheduler::replica::ReplicaListing;
use croftrill_scheduler::shard::Shard;
use rand::Rng;
use tokio::time::sleep;

use super::{longest_pause, relay};
use crate::node::Node;
use crate::ports::{Freshness, KeyValueStore, Platform, Record, RecordReader, Snapshot};
use crate::tree;

/// Longest wait for a part of the replicas' entries.
const READ_LIMIT: Duration = Duration::from_millis(900);

/// Reads the replicas' entries whenever a request lacks a model and the orderer of a shard
/// is not heard, until the process ends. One read serves all requests, and the pause after
/// it grows with the fleet as that after failed calls does.
pub async fn read_holdings<P: Platform>(node: Rc<Node<P>>) {
    loop {
        node.holdings_wanted.notified().await;
        if !Shard::all().any(|shard| is_unheard(&node, shard)) {
            continue;
        }
        let prefix = node.platform.records().replica_prefix();
        match node.store().range(prefix, Freshness::Latest, READ_LIMIT).await {
            Ok(snapshot) => apply_holdings(&node, &snapshot),
            Err(error) => {
                tracing::warn!(target: "directory", event = "no holdings read", %error);
            }
        }
        let share = rand::rng().random_range(0.75..1.25);
        sleep(longest_pause(&node).mul_f64(share)).await;
    }
}

/// True if somebody has given a shard's orders for longer than a takeover lasts without
/// this node hearing of it. Where nobody gives orders, replicas load nothing; where a relay
/// tells, it is the relay that must hear.
fn is_unheard<P: Platform>(node: &Node<P>, shard: Shard) -> bool {
    let now = node.clock.now();
    let state = node.state.borrow();
    let has_orderer = state.members.orderer(shard).is_some();
    let is_late = now.since(state.unlinked_at[shard.index()]) >= node.settings.pace.orderer_lease;
    let is_linked = state.linked[shard.index()];
    has_orderer && !is_linked && is_late && state.tree.uplink == tree::Uplink::Orderers
}

/// Takes in what the replicas of unheard shards hold, and nothing else: the rest of their
/// listings is known by changes, which may be newer than what was read.
fn apply_holdings<P: Platform>(node: &Node<P>, snapshot: &Snapshot) {
    let records = node.platform.records();
    let listings = snapshot.items.iter().filter_map(|item| match records.read(item) {
        Record::Replica(listing) => Some(listing),
        _ => None,
    });
    let of_unheard = |listing: &ReplicaListing| is_unheard(node, Shard::of_replica(&listing.id));
    let listings: Vec<ReplicaListing> = listings.filter(of_unheard).collect();
    let read = listings.len();
    let mut changed = Vec::new();
    for listing in listings {
        let replicas = &mut node.state.borrow_mut().replicas;
        changed.extend(replicas.apply_listed_holdings(listing));
    }
    tracing::info!(target: "directory", event = "read what replicas of unheard orderers hold",
        replicas = read, changed = changed.len(), revision = snapshot.revision);
    if !changed.is_empty() {
        tree::pass_on_read(node, &changed);
        relay::announce(node);
    }
}
