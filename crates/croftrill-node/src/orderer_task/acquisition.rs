//! Takes the orderer's lease, and records who could order last.

use std::time::Duration;

use bytes::Bytes;
use croftrill_scheduler::lease::{LeaseConfig, OrdererLease};
use nanoserde::SerBin;
use tokio::time::sleep;

use crate::membership::{read_entry, MemberEntry, LAST_ORDERER_KEY, ORDERER_KEY, ORDERER_PREFIX};
use crate::node::{Lifecycle, Node};
use crate::ports::{ConditionalPut, Expectation, KeyValueStore, Platform, PutOutcome, StoreError, Write};

/// Added to the least gap between two orderers, for clocks that run unevenly.
const GAP_MARGIN: Duration = Duration::from_millis(250);
/// Longest wait for the orderer's keys.
const READ_LIMIT: Duration = Duration::from_millis(900);
/// Stands for a key without a lease.
const NO_LEASE: u64 = 0;
/// Part of the lease given up for imprecise timers.
const LEASE_MARGIN: Duration = Duration::from_millis(150);
/// Pause of a node that is not first in line for the lease, for each place.
const CANDIDACY_STEP: Duration = Duration::from_millis(70);

/// What the store holds about the orderer.
#[derive(Debug, Default)]
pub(super) struct OrdererKeys {
    present: Option<(MemberEntry, u64)>,
    last: Option<(MemberEntry, u64)>,
}

/// Takes the lease if nobody else holds it.
///
/// Its validity, and whether this machine may order at once, is judged by [`OrdererLease`].
pub(super) async fn become_orderer<P: Platform>(node: &Node<P>, entry: &MemberEntry) -> Option<OrdererLease> {
    if !may_try(node, entry) {
        return None;
    }
    sleep(CANDIDACY_STEP * place_in_line(node, &entry.name)).await;
    if !may_try(node, entry) {
        return None;
    }
    let keys = read_keys(node).await?;
    if keys
        .present
        .as_ref()
        .is_some_and(|(holder, _)| holder.name != entry.name)
    {
        return None;
    }
    let pace = &node.settings.pace;
    let time_to_live = pace.orderer_lease.max(node.settings.bounds.least_lease);
    let asked_at = node.clock.now();
    let store = node.store();
    let lease = store.grant_lease(time_to_live).await.ok()?;
    let Some(fencing_token) = claim_key(node, entry, lease, &keys).await else {
        let _ = store.end_lease(lease).await;
        return None;
    };
    let continues = keys.last.is_some_and(|(last, _)| last.name == entry.name);
    let mut held = OrdererLease::new(LeaseConfig {
        time_to_live,
        margin: LEASE_MARGIN,
        renew_every: pace.orderer_renewal,
        quiet_period: node.settings.bounds.order_gap + GAP_MARGIN,
    });
    held.acquired(lease, fencing_token, asked_at, node.clock.now(), continues);
    tracing::info!(target: "orderer", event = "lease acquired", fencing_token, lease, continues);
    Some(held)
}

/// True if this node should try: it takes requests, and no other node is known to hold the lease.
pub(super) fn may_try<P: Platform>(node: &Node<P>, entry: &MemberEntry) -> bool {
    let state = node.state.borrow();
    let free = state
        .members
        .orderer()
        .is_none_or(|holder| holder.name == entry.name);
    state.lifecycle == Lifecycle::Ready && free
}

/// This node's place in line: the last orderer first, then the live nodes in order.
pub(super) fn place_in_line<P: Platform>(node: &Node<P>, name: &str) -> u32 {
    let state = node.state.borrow();
    if state.members.last_orderer().is_some_and(|last| last.name == name) {
        return 0;
    }
    1 + state
        .members
        .nodes()
        .take_while(|member| member.name != name)
        .count() as u32
}

pub(super) async fn read_keys<P: Platform>(node: &Node<P>) -> Option<OrdererKeys> {
    let snapshot = node.store().range(ORDERER_PREFIX, READ_LIMIT).await.ok()?;
    let mut keys = OrdererKeys::default();
    for item in &snapshot.items {
        let entry = read_entry(item).map(|entry| (entry, item.revision));
        match item.key.as_str() {
            ORDERER_KEY => keys.present = entry,
            LAST_ORDERER_KEY => keys.last = entry,
            _ => {}
        }
    }
    Some(keys)
}

/// Writes the orderer's key, if the keys still stand as they were read; answers
/// the revision, which is the fencing token.
pub(super) async fn claim_key<P: Platform>(
    node: &Node<P>,
    entry: &MemberEntry,
    lease: u64,
    keys: &OrdererKeys,
) -> Option<u64> {
    let present = revision_of(&keys.present);
    let put = ConditionalPut {
        conditions: vec![
            expect(ORDERER_KEY, present),
            expect(LAST_ORDERER_KEY, revision_of(&keys.last)),
        ],
        writes: vec![write_entry(ORDERER_KEY, entry, lease)],
    };
    match node.store().put(put).await {
        Ok(PutOutcome::Done { revision }) => Some(revision),
        Err(StoreError::NoAnswer) => {
            // It may have been done: the key then carries this very process, at a later revision.
            let (holder, revision) = read_keys(node).await?.present?;
            (holder == *entry && revision > present).then_some(revision)
        }
        _ => None,
    }
}

/// Records this machine as the last that could order, if it still holds the key
/// at the revision `fencing_token`.
pub(super) async fn record_last<P: Platform>(
    node: &Node<P>,
    entry: &MemberEntry,
    fencing_token: u64,
) -> bool {
    let put = ConditionalPut {
        conditions: vec![expect(ORDERER_KEY, fencing_token)],
        writes: vec![write_entry(LAST_ORDERER_KEY, entry, NO_LEASE)],
    };
    matches!(node.store().put(put).await, Ok(PutOutcome::Done { .. }))
}

pub(super) fn revision_of(read: &Option<(MemberEntry, u64)>) -> u64 {
    read.as_ref().map_or(0, |(_, revision)| *revision)
}

pub(super) fn expect(key: &str, revision: u64) -> Expectation {
    Expectation {
        key: key.into(),
        revision,
    }
}

pub(super) fn write_entry(key: &str, entry: &MemberEntry, lease: u64) -> Write {
    Write {
        key: key.into(),
        value: Bytes::from(SerBin::serialize_bin(entry)),
        lease,
    }
}
