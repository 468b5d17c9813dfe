//! Builds a full view of the store for a listener that missed too many changes.
//!
//! A relay's view equals the store as of the revision that it has reached, so a listener
//! may apply it instead of reading everything itself.

use croftrill_scheduler::time::Moment;
use nanoserde::SerBin;

use crate::crash_reports;
use crate::membership::{ClusterItem, Members};
use crate::node::{Node, NodeState};
use crate::peer::{DirectoryUpdate, RevisedChange, WireChange, WireListing};
use crate::ports::Platform;
use crate::stored_versions;
use crate::tree::ViewContents;

/// Returns this node's view as changes to an empty view, or
/// `None` if this node has no full view itself.
pub(super) fn full_view<P: Platform>(
    node: &Node<P>,
    proven_at: Moment,
    contents: ViewContents,
) -> Option<DirectoryUpdate> {
    let state = node.state.borrow();
    let reached = state.directory.reached();
    let configuration = state.configuration_item.as_ref()?;
    if reached == 0 || contents.replicas && state.tree.is_partial {
        return None;
    }
    let written = WireChange::Written {
        key: configuration.key.clone(),
        value: configuration.value.to_vec().into(),
    };
    let changes = std::iter::once(written)
        .filter(|_| contents.configuration)
        .chain(replicas(&state).filter(|_| contents.replicas))
        .chain(own_items(&state.members))
        .chain(crash_reports(&state, node.clock.now()))
        .chain(versions_records(node, &state));
    let mut view = DirectoryUpdate {
        after: 0,
        reached,
        proof_age_ms: 0,
        sent_at_ms: 0,
        changes: changes
            .map(|change| RevisedChange {
                revision: reached,
                change,
            })
            .collect(),
    };
    view.stamp(proven_at, node.clock.now());
    Some(view)
}

fn replicas(state: &NodeState) -> impl Iterator<Item = WireChange> + '_ {
    let listings = state.replicas.iter().map(|entry| &entry.listing);
    listings.map(|listing| WireChange::Replica(WireListing::from_listing(listing)))
}

/// Returns the nodes' reports of requests and parts that crash replicas.
fn crash_reports(state: &NodeState, now: Moment) -> impl Iterator<Item = WireChange> {
    let items = crash_reports::items(&state.crash_ledger, now).into_iter();
    items.map(|(key, value)| WireChange::Written {
        key,
        value: value.into(),
    })
}

/// Returns the records of services' software versions.
fn versions_records<P: Platform>(node: &Node<P>, state: &NodeState) -> impl Iterator<Item = WireChange> {
    let items = stored_versions::items(state, &node.record_leases).into_iter();
    items.map(|(key, value)| WireChange::Written {
        key,
        value: value.into(),
    })
}

/// Returns the nodes' own items, as the store contains them.
fn own_items(members: &Members) -> impl Iterator<Item = WireChange> + '_ {
    members.items().map(|(key, item)| {
        let value = match &item {
            ClusterItem::Node(entry) | ClusterItem::Orderer(_, entry) => entry.serialize_bin(),
            ClusterItem::LastOrderer(_, last) => last.serialize_bin(),
        };
        WireChange::Written {
            key,
            value: value.into(),
        }
    })
}
