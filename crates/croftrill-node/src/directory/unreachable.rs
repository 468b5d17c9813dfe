//! Reads the replicas' holdings from the store while their orderer is unreachable.
//!
//! Each orderer publishes what the replicas of its shard hold, so listings that changed
//! only in their holdings are not relayed. A node that receives the relayed changes, but
//! is not linked to the orderer of a shard, would use the holdings of that shard's
//! replicas as of its last full read, and refuse models that were loaded since.

use std::rc::Rc;
use std::time::Duration;

use croftrill_scheduler::replica::ReplicaListing;
use croftrill_scheduler::shard::Shard;
use rand::Rng;
use tokio::time::sleep;

use super::{max_pause, relay};
use crate::node::Node;
use crate::ports::{Freshness, KeyValueStore, Platform, Record, RecordReader, Snapshot};
use crate::tree;

/// Timeout for a page of the replicas' entries.
const READ_TIMEOUT: Duration = Duration::from_millis(900);

/// Reads the replicas' entries whenever a request finds no holder of its model and the
/// orderer of a shard is unreachable, until the process ends. One read serves all waiting
/// requests, and the pause after it grows with the fleet like the pause after failed calls.
pub async fn read_holdings<P: Platform>(node: Rc<Node<P>>) {
    loop {
        node.holdings_needed.notified().await;
        if !Shard::all().any(|shard| is_orderer_unreachable(&node, shard)) {
            continue;
        }
        let prefix = node.platform.records().replica_prefix();
        match node.store().range(prefix, Freshness::Latest, READ_TIMEOUT).await {
            Ok(snapshot) => apply_holdings(&node, &snapshot),
            Err(error) => {
                tracing::warn!(target: "directory", event = "reading the replicas' holdings failed", %error);
            }
        }
        let share = rand::rng().random_range(0.75..1.25);
        sleep(max_pause(&node).mul_f64(share)).await;
    }
}

/// Returns true if a shard has an orderer, and this node has not been linked to it for
/// longer than a takeover takes. Without an orderer, replicas load nothing. If the node
/// follows a relay, the relay is responsible for this check.
fn is_orderer_unreachable<P: Platform>(node: &Node<P>, shard: Shard) -> bool {
    let now = node.clock.now();
    let state = node.state.borrow();
    let has_orderer = state.members.orderer(shard).is_some();
    let is_late = now.since(state.unlinked_at[shard.index()]) >= node.settings.pace.orderer_lease;
    let is_linked = state.linked[shard.index()];
    has_orderer && !is_linked && is_late && state.tree.uplink == tree::Uplink::Orderers
}

/// Applies only the holdings of the replicas whose orderer is unreachable. The rest of their
/// listings is known from changes that may be newer than this read.
fn apply_holdings<P: Platform>(node: &Node<P>, snapshot: &Snapshot) {
    let records = node.platform.records();
    let listings = snapshot.items.iter().filter_map(|item| match records.read(item) {
        Record::Replica { listing, .. } => Some(listing),
        _ => None,
    });
    let is_affected = |listing: &ReplicaListing| is_orderer_unreachable(node, Shard::of_replica(&listing.id));
    let listings: Vec<ReplicaListing> = listings.filter(is_affected).collect();
    let read_count = listings.len();
    let mut changed = Vec::new();
    for listing in listings {
        let replicas = &mut node.state.borrow_mut().replicas;
        changed.extend(replicas.apply_listed_holdings(listing));
    }
    tracing::info!(target: "directory", event = "read what replicas of unheard orderers hold",
        replicas = read_count, changed = changed.len(), revision = snapshot.revision);
    if !changed.is_empty() {
        tree::publish_read_placements(node, &changed);
        relay::notify_view_changed(node);
    }
}
