//! Acquires the orderer's lease, and records the last machine that was allowed to order.

use std::time::Duration;

use bytes::Bytes;
use croftrill_scheduler::candidacy::Candidacy;
use croftrill_scheduler::hand_over::{term_start, LastRecord, ReceivedResignation};
use croftrill_scheduler::lease::{LeaseConfig, OrdererLease, Record, RecordKind, TermStart};
use croftrill_scheduler::shard::Shard;
use nanoserde::SerBin;
use rand::Rng;
use tokio::time::sleep;

use crate::membership::{
    orderer_key, orderer_prefix, read_cluster_item, read_record_era, ClusterItem, LastOrderer, MemberEntry,
    OrdererKeyKind, RecordEra,
};
use crate::node::{Lifecycle, Node};
use crate::ports::{
    ConditionalPut, Expectation, Freshness, KeyValueStore, Platform, PutOutcome, StoreError, Write,
};
use crate::replica_path;
use crate::store_era::same_era;

/// Margin for differences in clock rates, added to the minimum gap between two orderers.
const GAP_MARGIN: Duration = Duration::from_millis(250);
/// Timeout for reading the orderer's keys.
const READ_TIMEOUT: Duration = Duration::from_millis(900);
/// Value of [`Write::lease`] for a key without a lease.
const NO_LEASE: u64 = 0;
/// Safety margin for imprecise timers, subtracted from the lease's time to live.
const LEASE_MARGIN: Duration = Duration::from_millis(150);
/// Delay before a node requests the lease, for each position in line ahead of it.
const CANDIDACY_DELAY_STEP: Duration = Duration::from_millis(70);
/// Maximum wait of a node with one full core that knows no other node.
const DISCOVERY_WAIT_OF_ONE_CORE: Duration = Duration::from_millis(250);
/// Maximum wait of any node that knows no other: traffic may arrive ten seconds after the
/// start.
const MAX_DISCOVERY_WAIT: Duration = Duration::from_millis(2500);
/// Minimum time between two attempts to hand a shard over to stronger nodes: many times the
/// cost of a change of orderers (about 0.3 s without orders).
const MIN_HAND_OVER_INTERVAL: Duration = Duration::from_secs(60);
/// Time from when a node is ready until it knows what other nodes did while it started.
const SETTLING_PERIOD: Duration = Duration::from_millis(900);

/// A value from the store and its revision.
#[derive(Debug, Clone)]
pub(super) struct Revised<T> {
    value: T,
    revision: u64,
}

/// The store's items about a shard's orderer.
#[derive(Debug, Default)]
pub(super) struct OrdererKeys {
    present: Option<Revised<MemberEntry>>,
    last: Option<Revised<LastOrderer>>,
    era: Option<RecordEra>,
}

/// An acquired lease, and the former orderer's resignation if the term is based on it.
pub(super) struct Acquired {
    pub(super) lease: OrdererLease,
    pub(super) inherited: Option<ReceivedResignation>,
    /// True unless nobody ever ordered before.
    pub(super) has_predecessor: bool,
}

/// Acquires the lease if no other machine holds it.
///
/// [`OrdererLease`] determines its validity, and [`term_start`] how the term starts.
pub(super) async fn become_orderer<P: Platform>(
    node: &Node<P>,
    shard: Shard,
    entry: &MemberEntry,
) -> Option<Acquired> {
    if !may_acquire(node, shard, entry) {
        return None;
    }
    if queue_position(node, shard, entry) > 0 {
        sleep(remaining_settling_time(node)).await;
    }
    if knows_no_other_node(node) {
        sleep(discovery_wait(entry.processor_millicores)).await;
    }
    let terms_held = node.terms_held();
    sleep(CANDIDACY_DELAY_STEP * queue_position(node, shard, entry)).await;
    let _one_at_a_time = node.acquisition_lock.lock().await;
    if node.terms_held() != terms_held || !may_acquire(node, shard, entry) {
        return None;
    }
    let keys = read_keys(node, shard).await?;
    let received = node.state.borrow().resignations.get(&shard).cloned();
    if !is_free(&keys, entry, received.as_ref()) {
        return None;
    }
    let pace = &node.settings.pace;
    let time_to_live = pace.orderer_lease.max(node.settings.bounds.min_lease);
    let requested_at = node.clock.now();
    let store = node.store();
    let lease = store.grant_lease(time_to_live).await.ok()?;
    let received = received.filter(|received| is_of_present_era(node, received));
    let is_current = is_record_current(node, &keys);
    let last = last_record(&keys, entry);
    let start = term_start(last, is_current, received.as_ref(), requested_at);
    let Some(fencing_token) = claim_key(node, shard, entry, lease, &keys, start).await else {
        let _ = store.end_lease(lease).await;
        return None;
    };
    let mut held = OrdererLease::new(LeaseConfig {
        time_to_live,
        margin: LEASE_MARGIN,
        renewal_interval: pace.orderer_renewal,
        quiet_period: min_order_gap(node),
    });
    held.record_acquisition(lease, fencing_token, requested_at, node.clock.now(), start);
    tracing::info!(target: "orderer", event = "lease acquired", shard = shard.index(), fencing_token,
        lease, ?start);
    let inherited = received.filter(|_| matches!(start, TermStart::HandedOver { .. }));
    Some(Acquired {
        lease: held,
        inherited,
        has_predecessor: last.is_some() || !is_current,
    })
}

/// Returns the time until a node that just started knows the others. When many nodes start
/// together, most of them then need no store calls to learn which one is the orderer.
fn remaining_settling_time<P: Platform>(node: &Node<P>) -> Duration {
    let ready_at = node.state.borrow().ready_at.unwrap_or_default();
    SETTLING_PERIOD.saturating_sub(node.clock.now().since(ready_at))
}

/// Returns whether no other node is known, as when all nodes start for the first time. The
/// queue position says nothing then.
fn knows_no_other_node<P: Platform>(node: &Node<P>) -> bool {
    let own = &node.settings.identity.name;
    let state = node.state.borrow();
    let mut others = state.members.nodes().filter(|member| member.name != *own);
    others.next().is_none()
}

/// Returns how long a node waits for others to appear. Nodes with less processor time wait
/// longer, so that a strong one is first; the wait is random, so that few nodes request the
/// lease.
fn discovery_wait(processor_millicores: u32) -> Duration {
    let share = rand::rng().random_range(0.5..1.0);
    let slowdown = 1000.0 / f64::from(processor_millicores.max(1));
    DISCOVERY_WAIT_OF_ONE_CORE
        .mul_f64(slowdown * share)
        .min(MAX_DISCOVERY_WAIT)
}

/// Returns the minimum time between the orders of two machines at one replica, including a
/// margin.
pub(super) fn min_order_gap<P: Platform>(node: &Node<P>) -> Duration {
    node.settings.bounds.order_gap + GAP_MARGIN
}

/// Returns whether no machine holds the orderer's key, or this machine holds it, or its holder
/// has resigned.
fn is_free(keys: &OrdererKeys, entry: &MemberEntry, received: Option<&ReceivedResignation>) -> bool {
    let Some(present) = &keys.present else {
        return true;
    };
    let resigned = received.is_some_and(|received| received.resignation.fencing_token == present.revision);
    present.value.name == entry.name || resigned
}

/// Returns whether no machine can have ordered after the record that was read: the record was
/// written after the store was last restored from an older copy.
fn is_record_current<P: Platform>(node: &Node<P>, keys: &OrdererKeys) -> bool {
    let present = node.platform.store().era();
    match keys.era {
        Some(era) => Some(era.recorded) == present.newest(),
        // The record was written by an older build, or there is none. At a store that counts
        // eras, only processes of the system's first start know that it was not restored from
        // an older copy before they started.
        None => present.is_first() || (node.settings.is_first_start && present.rises() == 0),
    }
}

/// Returns whether a resignation is from the store's present era. The revisions that a
/// resignation of an earlier era names have been assigned again since.
fn is_of_present_era<P: Platform>(node: &Node<P>, received: &ReceivedResignation) -> bool {
    let present = node.platform.store().era().point(0);
    same_era(received.resignation.fencing_token, present)
}

/// Returns the record of the last orderer in the form that [`term_start`] needs.
fn last_record(keys: &OrdererKeys, entry: &MemberEntry) -> Option<LastRecord> {
    keys.last.as_ref().map(|last| LastRecord {
        is_own: last.value.entry.name == entry.name,
        is_settled: last.value.is_settled,
        revision: last.revision,
    })
}

/// Returns whether this node may try to acquire the lease: it serves requests, reaches the shard's
/// replicas, and no other node is known to hold the lease.
pub(super) fn may_acquire<P: Platform>(node: &Node<P>, shard: Shard, entry: &MemberEntry) -> bool {
    let state = node.state.borrow();
    let free = state
        .members
        .orderer(shard)
        .is_none_or(|holder| holder.name == entry.name);
    // An orderer that knows only part of the replicas would load models that others hold, and one
    // that reaches few of them could not give orders.
    state.lifecycle == Lifecycle::Ready
        && free
        && !state.tree.is_partial()
        && !replica_path::is_cut_off_in(&state, shard)
}

/// Returns this node's position in line for a shard.
fn queue_position<P: Platform>(node: &Node<P>, shard: Shard, entry: &MemberEntry) -> u32 {
    let state = node.state.borrow();
    let last_orderer = state.members.last_orderer(shard).map(|last| &*last.name);
    let candidacy = Candidacy {
        shard,
        own: entry.candidate(),
        terms_held: node.terms_held(),
        // A node that handed the shard over lets the stronger nodes go first.
        last_orderer: last_orderer.filter(|_| !was_handed_over_recently(node, shard)),
    };
    candidacy.queue_position(state.members.nodes().map(MemberEntry::candidate))
}

/// Returns whether this node handed the shard over recently. Either another node has taken it,
/// or the stronger nodes cannot, and another attempt would only interrupt orders.
pub(super) fn was_handed_over_recently<P: Platform>(node: &Node<P>, shard: Shard) -> bool {
    let handed_over_at = node.handed_over_at[shard.index()].get();
    handed_over_at.is_some_and(|at| node.clock.now().since(at) < MIN_HAND_OVER_INTERVAL)
}

pub(super) async fn read_keys<P: Platform>(node: &Node<P>, shard: Shard) -> Option<OrdererKeys> {
    let snapshot = node
        .store()
        .range(&orderer_prefix(shard), Freshness::Latest, READ_TIMEOUT)
        .await
        .ok()?;
    let mut keys = OrdererKeys::default();
    for item in &snapshot.items {
        let revision = item.revision;
        if let Some(era) = read_record_era(item) {
            node.platform.store().era().record_first(era.first);
            keys.era = Some(era);
        }
        match read_cluster_item(item) {
            Some(ClusterItem::LastOrderer(_, value)) => keys.last = Some(Revised { value, revision }),
            Some(ClusterItem::Orderer(_, value)) => keys.present = Some(Revised { value, revision }),
            _ => {}
        }
    }
    Some(keys)
}

/// Writes the orderer's key if the keys have not changed since they were read. Returns its
/// revision, which is the fencing token. A machine that continues also writes its record.
async fn claim_key<P: Platform>(
    node: &Node<P>,
    shard: Shard,
    entry: &MemberEntry,
    lease: u64,
    keys: &OrdererKeys,
    start: TermStart,
) -> Option<u64> {
    let present = revision_of(&keys.present);
    // The era is written first, as the answer contains the revision of the last write.
    let is_era_needed = keys.era.is_none() && start != TermStart::AfterRestore;
    let era = write_record_era(node, shard).filter(|_| is_era_needed);
    let mut writes: Vec<Write> = era.into_iter().collect();
    writes.push(write_entry(shard, entry, lease));
    if start == TermStart::Continues {
        writes.push(write_record(shard, entry, RecordKind::Settled));
    }
    let put = ConditionalPut {
        conditions: vec![
            expect(shard, OrdererKeyKind::Present, present),
            expect(shard, OrdererKeyKind::Last, revision_of(&keys.last)),
        ],
        writes,
    };
    match node.store().put(put).await {
        Ok(PutOutcome::Done { revision }) => Some(revision),
        Err(StoreError::NoAnswer) => {
            // The write may have succeeded. If so, the key holds this process's entry at a
            // later revision.
            let now_present = read_keys(node, shard).await?.present?;
            let is_ours = now_present.value == *entry && now_present.revision > present;
            is_ours.then_some(now_present.revision)
        }
        _ => None,
    }
}

/// Records this machine as the last that was allowed to order, if it still holds the key at
/// the revision `fencing_token`. Returns the record.
pub(super) async fn record_last_orderer<P: Platform>(
    node: &Node<P>,
    shard: Shard,
    entry: &MemberEntry,
    fencing_token: u64,
    kind: RecordKind,
) -> Option<Record> {
    let mut writes: Vec<Write> = write_record_era(node, shard).into_iter().collect();
    writes.push(write_record(shard, entry, kind));
    let put = ConditionalPut {
        conditions: vec![expect(shard, OrdererKeyKind::Present, fencing_token)],
        writes,
    };
    match node.store().put(put).await {
        Ok(PutOutcome::Done { revision }) => Some(Record { kind, revision }),
        _ => None,
    }
}

fn revision_of<T>(read: &Option<Revised<T>>) -> u64 {
    read.as_ref().map_or(0, |read| read.revision)
}

fn expect(shard: Shard, kind: OrdererKeyKind, revision: u64) -> Expectation {
    Expectation {
        key: orderer_key(shard, kind),
        revision,
    }
}

fn write_entry(shard: Shard, entry: &MemberEntry, lease: u64) -> Write {
    Write {
        key: orderer_key(shard, OrdererKeyKind::Present),
        value: Bytes::from(SerBin::serialize_bin(entry)),
        lease,
    }
}

/// Returns the write that marks the record as made in the present era; `None` at a store
/// without eras.
fn write_record_era<P: Platform>(node: &Node<P>, shard: Shard) -> Option<Write> {
    let present = node.platform.store().era();
    let era = RecordEra {
        first: present.first()?,
        recorded: present.newest()?,
    };
    Some(Write {
        key: orderer_key(shard, OrdererKeyKind::Era),
        value: Bytes::from(SerBin::serialize_bin(&era)),
        lease: NO_LEASE,
    })
}

fn write_record(shard: Shard, entry: &MemberEntry, kind: RecordKind) -> Write {
    let last = LastOrderer {
        entry: entry.clone(),
        is_settled: kind == RecordKind::Settled,
    };
    Write {
        key: orderer_key(shard, OrdererKeyKind::Last),
        value: Bytes::from(SerBin::serialize_bin(&last)),
        lease: NO_LEASE,
    }
}
