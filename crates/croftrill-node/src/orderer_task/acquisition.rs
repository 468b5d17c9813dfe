//! Takes the orderer's lease, and records who could order last.

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
    orderer_key, orderer_prefix, read_own_item, read_record_era, LastOrderer, MemberEntry, OrdererKeyKind,
    OwnItem, RecordEra,
};
use crate::node::{Lifecycle, Node};
use crate::ports::{
    ConditionalPut, Expectation, Freshness, KeyValueStore, Platform, PutOutcome, StoreError, Write,
};
use crate::store_era::same_era;

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
/// Longest wait of a node that knows no other, if it has a whole core.
const LONE_WAIT_OF_A_CORE: Duration = Duration::from_millis(250);
/// The same of any node: traffic may come ten seconds after the start.
const LONGEST_LONE_WAIT: Duration = Duration::from_millis(2500);
/// Least time between two attempts to hand a shard on to stronger nodes: many times what a
/// change of orderers costs (some 0.3 s without orders).
const HANDS_ON_AGAIN: Duration = Duration::from_secs(60);
/// Time from a node's start until it knows what the others did meanwhile.
const SETTLING: Duration = Duration::from_millis(900);

/// An item and its revision.
#[derive(Debug, Clone)]
pub(super) struct Revised<T> {
    value: T,
    revision: u64,
}

/// What the store holds about the orderer.
#[derive(Debug, Default)]
pub(super) struct OrdererKeys {
    present: Option<Revised<MemberEntry>>,
    last: Option<Revised<LastOrderer>>,
    era: Option<RecordEra>,
}

/// A lease that was taken, and what the former orderer left, if that is known.
pub(super) struct Acquired {
    pub(super) lease: OrdererLease,
    pub(super) inherited: Option<ReceivedResignation>,
}

/// Takes the lease if nobody else holds it.
///
/// Its validity, and how the term begins, is judged by [`OrdererLease`].
pub(super) async fn become_orderer<P: Platform>(
    node: &Node<P>,
    shard: Shard,
    entry: &MemberEntry,
) -> Option<Acquired> {
    if !may_try(node, shard, entry) {
        return None;
    }
    if place_in_line(node, shard, entry) > 0 {
        sleep(settling_left(node)).await;
    }
    if knows_nobody(node) {
        sleep(lone_wait(entry.processor_millicores)).await;
    }
    let terms_held = node.terms_held();
    sleep(CANDIDACY_STEP * place_in_line(node, shard, entry)).await;
    let _one_at_a_time = node.acquiring.lock().await;
    if node.terms_held() != terms_held || !may_try(node, shard, entry) {
        return None;
    }
    let keys = read_keys(node, shard).await?;
    let heard = node.state.borrow().resignations.get(&shard).cloned();
    if !is_free(&keys, entry, heard.as_ref()) {
        return None;
    }
    let pace = &node.settings.pace;
    let time_to_live = pace.orderer_lease.max(node.settings.bounds.least_lease);
    let asked_at = node.clock.now();
    let store = node.store();
    let lease = store.grant_lease(time_to_live).await.ok()?;
    let heard = heard.filter(|heard| is_of_present_era(node, heard));
    let is_proven = is_record_proven(node, &keys);
    let start = term_start(last_record(&keys, entry), is_proven, heard.as_ref(), asked_at);
    let Some(fencing_token) = claim_key(node, shard, entry, lease, &keys, start).await else {
        let _ = store.end_lease(lease).await;
        return None;
    };
    let mut held = OrdererLease::new(LeaseConfig {
        time_to_live,
        margin: LEASE_MARGIN,
        renewal_interval: pace.orderer_renewal,
        quiet_period: least_gap(node),
    });
    held.record_acquisition(lease, fencing_token, asked_at, node.clock.now(), start);
    tracing::info!(target: "orderer", event = "lease acquired", shard = shard.index(), fencing_token, lease, ?start);
    let inherited = heard.filter(|_| matches!(start, TermStart::HandedOver { .. }));
    Some(Acquired {
        lease: held,
        inherited,
    })
}

/// Time until a node that just started knows the others: when many start
/// together, most of them need not ask who the orderer is.
fn settling_left<P: Platform>(node: &Node<P>) -> Duration {
    let ready_at = node.state.borrow().ready_at.unwrap_or_default();
    SETTLING.saturating_sub(node.clock.now().since(ready_at))
}

/// True if no other node is known: at the first start of all there is nobody
/// to stand in line with.
fn knows_nobody<P: Platform>(node: &Node<P>) -> bool {
    let own = &node.settings.identity.name;
    let state = node.state.borrow();
    let mut others = state.members.nodes().filter(|member| member.name != *own);
    others.next().is_none()
}

/// A node's wait for others to appear: the longer, the less processor time it
/// has, so that a strong one is first, and of random length, so that few ask.
fn lone_wait(processor_millicores: u32) -> Duration {
    let share = rand::rng().random_range(0.5..1.0);
    let weakness = 1000.0 / f64::from(processor_millicores.max(1));
    LONE_WAIT_OF_A_CORE
        .mul_f64(weakness * share)
        .min(LONGEST_LONE_WAIT)
}

/// Least time between the orders of two machines at one replica, with a margin.
pub(super) fn least_gap<P: Platform>(node: &Node<P>) -> Duration {
    node.settings.bounds.order_gap + GAP_MARGIN
}

/// True if nobody holds the orderer's key, or this machine does, or its holder
/// said that its term is over.
fn is_free(keys: &OrdererKeys, entry: &MemberEntry, heard: Option<&ReceivedResignation>) -> bool {
    let Some(present) = &keys.present else {
        return true;
    };
    let resigned = heard.is_some_and(|heard| heard.resignation.fencing_token == present.revision);
    present.value.name == entry.name || resigned
}

/// True if nobody can have ordered after the record stands as it was read: it was written
/// since the store last came back from an older copy.
fn is_record_proven<P: Platform>(node: &Node<P>, keys: &OrdererKeys) -> bool {
    let present = node.platform.store().era();
    match keys.era {
        Some(era) => Some(era.recorded) == present.newest(),
        // An older build wrote it, or nobody has: at a store that counts eras only the
        // processes that were there from the start know that no copy was of before.
        None => present.is_first() || (node.settings.is_first_start && present.rises() == 0),
    }
}

/// True if a resignation is of the store's present era: the revisions that one of a former
/// era names were given out again.
fn is_of_present_era<P: Platform>(node: &Node<P>, heard: &ReceivedResignation) -> bool {
    let present = node.platform.store().era().point(0);
    same_era(heard.resignation.fencing_token, present)
}

/// The record of the last orderer as [`term_start`] judges it.
fn last_record(keys: &OrdererKeys, entry: &MemberEntry) -> Option<LastRecord> {
    keys.last.as_ref().map(|last| LastRecord {
        is_own: last.value.entry.name == entry.name,
        is_settled: last.value.is_settled,
        revision: last.revision,
    })
}

/// True if this node should try: it takes requests, and no other node is known to hold the lease.
pub(super) fn may_try<P: Platform>(node: &Node<P>, shard: Shard, entry: &MemberEntry) -> bool {
    let state = node.state.borrow();
    let free = state
        .members
        .orderer(shard)
        .is_none_or(|holder| holder.name == entry.name);
    // An orderer that knows some of the replicas would load what others hold.
    state.lifecycle == Lifecycle::Ready && free && !state.tree.is_narrow()
}

/// This node's place in line for a shard.
fn place_in_line<P: Platform>(node: &Node<P>, shard: Shard, entry: &MemberEntry) -> u32 {
    let state = node.state.borrow();
    let last_orderer = state.members.last_orderer(shard).map(|last| &*last.name);
    let candidacy = Candidacy {
        shard,
        own: entry.candidate(),
        terms_held: node.terms_held(),
        // Whoever handed it on lets those pass that it was meant for.
        last_orderer: last_orderer.filter(|_| !handed_on_lately(node, shard)),
    };
    candidacy.queue_position(state.members.nodes().map(MemberEntry::candidate))
}

/// True if this node handed the shard on not long ago: either it was taken, or the stronger
/// nodes cannot take it, and to hand it on again would only cost orders.
pub(super) fn handed_on_lately<P: Platform>(node: &Node<P>, shard: Shard) -> bool {
    let handed_on_at = node.handed_on_at[shard.index()].get();
    handed_on_at.is_some_and(|at| node.clock.now().since(at) < HANDS_ON_AGAIN)
}

pub(super) async fn read_keys<P: Platform>(node: &Node<P>, shard: Shard) -> Option<OrdererKeys> {
    let snapshot = node
        .store()
        .range(&orderer_prefix(shard), Freshness::Latest, READ_LIMIT)
        .await
        .ok()?;
    let mut keys = OrdererKeys::default();
    for item in &snapshot.items {
        let revision = item.revision;
        if let Some(era) = read_record_era(item) {
            node.platform.store().era().learn_first(era.first);
            keys.era = Some(era);
        }
        match read_own_item(item) {
            Some(OwnItem::LastOrderer(_, value)) => keys.last = Some(Revised { value, revision }),
            Some(OwnItem::Orderer(_, value)) => keys.present = Some(Revised { value, revision }),
            _ => {}
        }
    }
    Some(keys)
}

/// Writes the orderer's key, if the keys still stand as they were read; answers
/// the revision, which is the fencing token. A machine that continues writes its
/// record with it.
async fn claim_key<P: Platform>(
    node: &Node<P>,
    shard: Shard,
    entry: &MemberEntry,
    lease: u64,
    keys: &OrdererKeys,
    start: TermStart,
) -> Option<u64> {
    let present = revision_of(&keys.present);
    // First: the answer names the revision of what is written last.
    let is_era_wanted = keys.era.is_none() && start != TermStart::AfterRestore;
    let era = write_record_era(node, shard).filter(|_| is_era_wanted);
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
            // It may have been done: the key then carries this very process, at a later revision.
            let now_present = read_keys(node, shard).await?.present?;
            let is_ours = now_present.value == *entry && now_present.revision > present;
            is_ours.then_some(now_present.revision)
        }
        _ => None,
    }
}

/// Records this machine as the last that could order, if it still holds the key
/// at the revision `fencing_token`; answers the record's revision.
pub(super) async fn record_last<P: Platform>(
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

/// The present era as that of the record; nothing at a store without eras.
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
