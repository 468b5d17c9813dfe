//! Membership of nodes: each node maintains an entry in the store under a lease.
//!
//! When the lease expires, the entry is removed, so that callers no longer get the address of
//! a dead node. While the store is unreachable, the last known entries are retained.

use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use croftrill_scheduler::candidacy::Candidate;
use croftrill_scheduler::catalog::Configuration;
use croftrill_scheduler::quota::keepers::{keeper_order, QuotaPartition};
use croftrill_scheduler::shard::Shard;
use croftrill_scheduler::time::Moment;
use nanoserde::{DeBin, SerBin};
use rand::Rng;
use tokio::time::sleep;

use crate::node::{Lifecycle, Node};
use crate::ports::{ConditionalPut, Item, KeyValueStore, Platform, StoreError, Write};
use crate::quota::Fleet;
use crate::wire::decode;

/// Prefix of the nodes' entries.
const MEMBER_PREFIX: &str = "croftrill/nodes/";
/// Time over which nodes spread the rewriting of their entries after the store was restored
/// from an older copy. A node needs two calls, so 985 nodes make 1,000 calls a second.
const REWRITE_SPREAD: Duration = Duration::from_secs(2);
/// Returns whether a key is that of a node's entry.
pub(crate) fn is_member_key(key: &str) -> bool {
    key.starts_with(MEMBER_PREFIX)
}

/// Returns the prefix of the entries of a zone's nodes. A node of a large fleet finds its relays
/// by these entries of 260 bytes each, without reading those of the entire fleet.
pub fn zone_prefix(zone: &str) -> String {
    format!("{MEMBER_PREFIX}{zone}/")
}

/// Prefix of the keys about the orderers.
pub const ORDERER_PREFIX: &str = "croftrill/orderer/";

/// Kind of a key about an orderer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrdererKeyKind {
    /// The present orderer; removed with its lease.
    Present,
    /// The node that was the last orderer; not bound to a lease.
    Last,
    /// Era of the store in which the last orderer was recorded; not bound to a lease.
    Era,
}

/// Returns the last segment of a key of this kind.
fn kind_name(kind: OrdererKeyKind) -> &'static str {
    match kind {
        OrdererKeyKind::Present => "present",
        OrdererKeyKind::Last => "last",
        OrdererKeyKind::Era => "era",
    }
}

/// Returns the prefix of the keys about a shard's orderer.
pub fn orderer_prefix(shard: Shard) -> String {
    format!("{ORDERER_PREFIX}{}/", shard.index())
}

/// Returns a key about a shard's orderer.
pub fn orderer_key(shard: Shard, kind: OrdererKeyKind) -> String {
    format!("{}{}", orderer_prefix(shard), kind_name(kind))
}

/// Returns the shard and kind of a key about an orderer, or `None` for any other key.
pub fn parse_orderer_key(key: &str) -> Option<(Shard, OrdererKeyKind)> {
    let (index, name) = key.strip_prefix(ORDERER_PREFIX)?.split_once('/')?;
    let shard = Shard::from_index(index.parse().ok()?)?;
    [OrdererKeyKind::Present, OrdererKeyKind::Last, OrdererKeyKind::Era]
        .into_iter()
        .find(|kind| kind_name(*kind) == name)
        .map(|kind| (shard, kind))
}

/// Entry of a node in the store.
#[derive(Debug, Clone, PartialEq, Eq, SerBin, DeBin)]
pub struct MemberEntry {
    /// Name of the node.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Address for callers.
    pub front: String,
    /// Address for other nodes.
    pub peer: String,
    /// Processor time that it may use, in thousandths of a core.
    pub processor_millicores: u32,
    /// Distinguishes this process from earlier ones of the same name. Its highest bits are
    /// [`SUPPORTS_LIMITS_BIT`], [`SUPPORTS_LOAD_UPDATES_BIT`] and [`SUPPORTS_TUNNELS_BIT`].
    pub incarnation: u64,
}

/// Bit of an incarnation that marks a process that can be the keeper of replica limits. Builds
/// without such limits forward incarnations unchanged and never set the bit: their own
/// incarnation is the start time in nanoseconds, which reaches this bit in 2262.
const SUPPORTS_LIMITS_BIT: u64 = 1 << 63;
/// Bit of an incarnation that marks a process that understands updates of replica loads. Builds
/// without them never set it: a start time in nanoseconds reaches this bit in 2116.
const SUPPORTS_LOAD_UPDATES_BIT: u64 = 1 << 62;

/// Bit of an incarnation that marks a process that connects other nodes to replicas. Builds that do
/// not never set it: a start time in nanoseconds reaches this bit in 2043.
const SUPPORTS_TUNNELS_BIT: u64 = 1 << 61;

/// Bit of an incarnation that is set at builds whose incarnations end here, as it is set in every
/// start time from 2006 to 2043, and clear at processes that say their generation.
const LACKS_GENERATION_BIT: u64 = 1 << 60;
/// Position of the generation in an incarnation that says one.
const GENERATION_SHIFT: u32 = 52;
/// Generation of this build's messages between nodes. Each generation understands the messages of
/// those before it.
const GENERATION: u64 = 4;
/// The first generation that exchanges configurations.
const CONFIGURATION_EXCHANGE_GENERATION: u64 = 1;
/// The first generation that loads models at replicas of one software version.
const VERSION_WAITS_GENERATION: u64 = 2;
/// The first generation that reports parts of prompts that crash replicas.
const CRASH_PARTS_GENERATION: u64 = 3;
/// The first generation that keeps permits.
const PERMITS_GENERATION: u64 = 4;

/// Returns the incarnation of a process of this build that started at `started_ns`, of which it
/// keeps the lowest bits: they differ for all starts within 52 days.
pub(crate) fn incarnation_of(started_ns: u64) -> u64 {
    let start = started_ns & ((1 << GENERATION_SHIFT) - 1);
    let generation = GENERATION << GENERATION_SHIFT;
    start | generation | SUPPORTS_LIMITS_BIT | SUPPORTS_LOAD_UPDATES_BIT | SUPPORTS_TUNNELS_BIT
}

impl MemberEntry {
    /// Returns the address for callers, or `None` if it is malformed.
    pub fn front_address(&self) -> Option<SocketAddr> {
        self.front.parse().ok()
    }

    /// Returns the node as a candidate for orderer or keeper.
    pub fn candidate(&self) -> Candidate<'_> {
        Candidate {
            name: &self.name,
            processor_millicores: self.processor_millicores,
        }
    }

    /// Returns whether the process can be the keeper of replica limits.
    pub fn supports_limits(&self) -> bool {
        self.incarnation & SUPPORTS_LIMITS_BIT != 0
    }

    /// Returns whether the process understands updates of replica loads.
    pub fn supports_load_updates(&self) -> bool {
        self.incarnation & SUPPORTS_LOAD_UPDATES_BIT != 0
    }

    /// Returns whether the process connects other nodes to replicas.
    pub fn supports_tunnels(&self) -> bool {
        self.incarnation & SUPPORTS_TUNNELS_BIT != 0
    }

    /// Returns whether the process exchanges configurations with other nodes.
    pub fn exchanges_configurations(&self) -> bool {
        self.generation() >= CONFIGURATION_EXCHANGE_GENERATION
    }

    /// Returns whether the process understands waits for a model at one software version.
    pub fn supports_version_waits(&self) -> bool {
        self.generation() >= VERSION_WAITS_GENERATION
    }

    /// Returns whether the process understands reports of parts that crash replicas.
    pub fn supports_crash_parts(&self) -> bool {
        self.generation() >= CRASH_PARTS_GENERATION
    }

    /// Returns whether the process keeps permits for replicas that bear few rejections.
    pub fn supports_permits(&self) -> bool {
        self.generation() >= PERMITS_GENERATION
    }

    /// Returns the generation of the process's messages; 0 if it says none.
    fn generation(&self) -> u64 {
        let says_generation = self.supports_tunnels() && self.incarnation & LACKS_GENERATION_BIT == 0;
        if says_generation {
            (self.incarnation >> GENERATION_SHIFT) & 0xff
        } else {
            0
        }
    }

    /// Returns the address for other nodes, or `None` if it is malformed.
    pub fn peer_address(&self) -> Option<SocketAddr> {
        self.peer.parse().ok()
    }
}

/// Record in the store of the node that was the last orderer of a shard.
#[derive(Debug, Clone, PartialEq, Eq, SerBin, DeBin)]
pub struct LastOrderer {
    /// Its entry.
    pub entry: MemberEntry,
    /// False if orders of a predecessor may still have been valid at some replicas.
    pub is_settled: bool,
}

/// Era of the store in which the last orderer was recorded. It is stored under a separate key
/// because older builds read [`LastOrderer`] in its present format.
#[derive(Debug, Clone, Copy, PartialEq, Eq, SerBin, DeBin)]
pub struct RecordEra {
    /// First era of the store.
    pub first: u64,
    /// Era of the record.
    pub recorded: u64,
}

/// An item that nodes write about themselves.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClusterItem {
    /// A live node.
    Node(MemberEntry),
    /// The present orderer of a shard.
    Orderer(Shard, MemberEntry),
    /// The node that was the last orderer of a shard.
    LastOrderer(Shard, LastOrderer),
}

/// Reads the era of a record, or returns `None` if the item is not one.
pub fn read_record_era(item: &Item) -> Option<RecordEra> {
    let (_, kind) = parse_orderer_key(&item.key)?;
    let is_era = kind == OrdererKeyKind::Era;
    is_era.then(|| decode_or_log(item)).flatten()
}

/// Decodes the value of an item, and logs it if that fails.
fn decode_or_log<T: DeBin>(item: &Item) -> Option<T> {
    let read = decode(&item.value);
    if let Err(error) = &read {
        tracing::warn!(target: "membership", event = "item cannot be read", key = item.key, %error);
    }
    read.ok()
}

/// Reads an item that nodes write about themselves, or returns `None` if it is not one or is
/// malformed.
pub fn read_cluster_item(item: &Item) -> Option<ClusterItem> {
    let read_entry = || decode_or_log::<MemberEntry>(item);
    if is_member_key(&item.key) {
        return read_entry().map(ClusterItem::Node);
    }
    let (shard, kind) = parse_orderer_key(&item.key)?;
    match kind {
        OrdererKeyKind::Present => read_entry().map(|entry| ClusterItem::Orderer(shard, entry)),
        OrdererKeyKind::Last => decode_or_log(item).map(|last| ClusterItem::LastOrderer(shard, last)),
        OrdererKeyKind::Era => None,
    }
}

/// All known nodes and orderers.
#[derive(Debug, Default)]
pub struct Members {
    nodes: BTreeMap<String, MemberEntry>,
    orderers: BTreeMap<Shard, MemberEntry>,
    last_orderers: BTreeMap<Shard, LastOrderer>,
}

impl Members {
    /// Records that an item was written.
    pub fn apply_write(&mut self, key: &str, item: ClusterItem) {
        match item {
            ClusterItem::Node(entry) => {
                self.nodes.insert(key.to_string(), entry);
            }
            ClusterItem::Orderer(shard, entry) => {
                self.orderers.insert(shard, entry);
            }
            ClusterItem::LastOrderer(shard, last) => {
                self.last_orderers.insert(shard, last);
            }
        }
    }

    /// Removes the present orderer of a shard if its address is `peer`.
    pub fn apply_resignation(&mut self, shard: Shard, peer: SocketAddr) {
        let is_present = self.orderer(shard).and_then(MemberEntry::peer_address) == Some(peer);
        if is_present {
            self.orderers.remove(&shard);
        }
    }

    /// Records that a key was removed.
    pub fn apply_removal(&mut self, key: &str) {
        self.nodes.remove(key);
        if let Some((shard, OrdererKeyKind::Present)) = parse_orderer_key(key) {
            self.orderers.remove(&shard);
        }
    }

    /// Retains only the nodes and present orderers whose keys satisfy `keep`. Returns the keys of
    /// the nodes that were removed.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) -> Vec<String> {
        self.orderers
            .retain(|shard, _| keep(&orderer_key(*shard, OrdererKeyKind::Present)));
        let removed: Vec<String> = self.nodes.keys().filter(|key| !keep(key)).cloned().collect();
        for key in &removed {
            self.nodes.remove(key);
        }
        removed
    }

    /// Returns all nodes and orderers as items of the store, with their keys.
    pub fn items(&self) -> impl Iterator<Item = (String, ClusterItem)> + '_ {
        let nodes = self.nodes.iter();
        let nodes = nodes.map(|(key, entry)| (key.clone(), ClusterItem::Node(entry.clone())));
        let orderers = self.orderers.iter().map(|(shard, entry)| {
            let key = orderer_key(*shard, OrdererKeyKind::Present);
            (key, ClusterItem::Orderer(*shard, entry.clone()))
        });
        let last = self.last_orderers.iter().map(|(shard, last)| {
            let key = orderer_key(*shard, OrdererKeyKind::Last);
            (key, ClusterItem::LastOrderer(*shard, last.clone()))
        });
        nodes.chain(orderers).chain(last)
    }

    /// Returns the present orderer of a shard.
    pub fn orderer(&self, shard: Shard) -> Option<&MemberEntry> {
        self.orderers.get(&shard)
    }

    /// Returns the present orderers, by shard.
    pub fn orderers(&self) -> impl Iterator<Item = (Shard, &MemberEntry)> {
        self.orderers.iter().map(|(shard, entry)| (*shard, entry))
    }

    /// Returns the node that was the last orderer of a shard.
    pub fn last_orderer(&self, shard: Shard) -> Option<&MemberEntry> {
        self.last_orderers.get(&shard).map(|last| &last.entry)
    }

    /// Returns the live nodes.
    pub fn nodes(&self) -> impl Iterator<Item = &MemberEntry> {
        self.nodes.values()
    }

    /// Returns whether the node at a peer address understands updates of replica loads.
    pub fn peer_supports_load_updates(&self, peer: SocketAddr) -> bool {
        self.all_at(peer, MemberEntry::supports_load_updates)
    }

    /// Returns whether the node at a peer address exchanges configurations.
    pub fn peer_exchanges_configurations(&self, peer: SocketAddr) -> bool {
        self.all_at(peer, MemberEntry::exchanges_configurations)
    }

    /// Returns whether the node at a peer address understands waits for a model at one software
    /// version.
    pub fn peer_supports_version_waits(&self, peer: SocketAddr) -> bool {
        self.all_at(peer, MemberEntry::supports_version_waits)
    }

    /// Returns whether the node at a peer address understands reports of parts that crash replicas.
    pub fn peer_supports_crash_parts(&self, peer: SocketAddr) -> bool {
        self.all_at(peer, MemberEntry::supports_crash_parts)
    }

    /// Returns the live nodes that exchange configurations, without those at whose peer address
    /// another known entry says that an older build may run.
    pub fn exchanging_nodes(&self) -> impl Iterator<Item = &MemberEntry> {
        let known = self.nodes().chain(self.orderers.values());
        let older = known.filter(|member| !member.exchanges_configurations());
        let older: HashSet<&str> = older.map(|member| member.peer.as_str()).collect();
        self.nodes()
            .filter(move |member| member.exchanges_configurations() && !older.contains(member.peer.as_str()))
    }

    /// Returns whether all known entries with a peer address agree on this, and there is at least
    /// one.
    fn all_at(&self, peer: SocketAddr, agrees: impl Fn(&MemberEntry) -> bool) -> bool {
        let peer = peer.to_string();
        let known = self.nodes().chain(self.orderers.values());
        let mut known = known.filter(|member| member.peer == peer).peekable();
        known.peek().is_some() && known.all(agrees)
    }

    /// Returns whether a live node has this key.
    pub fn contains_node(&self, key: &str) -> bool {
        self.nodes.contains_key(key)
    }

    /// Returns the number of live nodes, at least one.
    pub fn node_count(&self) -> usize {
        self.nodes().count().max(1)
    }
}

impl<P: Platform> Fleet for Node<P> {
    fn keepers(&self, partition: QuotaPartition) -> Vec<SocketAddr> {
        let state = self.state.borrow();
        let fit = |member: &&MemberEntry| !partition.covers_replicas() || member.supports_limits();
        let nodes = state.members.nodes().filter(fit);
        let order = keeper_order(partition, nodes, |member| member.candidate());
        let addresses = order.into_iter().filter_map(MemberEntry::peer_address);
        addresses.collect()
    }

    fn keeps_permits(&self, keeper: SocketAddr) -> bool {
        let state = self.state.borrow();
        state.members.all_at(keeper, MemberEntry::supports_permits)
    }

    fn sharing_nodes(&self) -> usize {
        self.share().nodes
    }

    fn configuration(&self) -> Option<Arc<Configuration>> {
        self.configuration()
    }
}

/// Returns the entry of this node. `incarnation` distinguishes this process from earlier ones.
pub fn own_entry<P: Platform>(node: &Node<P>, incarnation: u64) -> MemberEntry {
    let identity = &node.settings.identity;
    MemberEntry {
        name: identity.name.clone(),
        zone: identity.zone.clone(),
        front: identity.front.to_string(),
        peer: identity.peer.to_string(),
        processor_millicores: identity.processor_millicores,
        incarnation,
    }
}

/// Returns the key of the entry of this node.
fn own_key<P: Platform>(node: &Node<P>) -> String {
    let identity = &node.settings.identity;
    format!("{}{}", zone_prefix(&identity.zone), identity.name)
}

/// Records that the view of the store was complete at `at`. If it contains this node's entry, the
/// other nodes know this one, and this node knows them.
pub(crate) fn record_complete_view<P: Platform>(node: &Node<P>, at: Moment) {
    let key = own_key(node);
    let state = &mut *node.state.borrow_mut();
    state.view_proven_at = Some(state.view_proven_at.unwrap_or_default().max(at));
    if state.members.contains_node(&key) {
        state.fleet_share.record_confirmed(at);
    }
}

/// Maintains this node's entry in the store until the node stops.
pub async fn maintain_entry<P: Platform>(node: Rc<Node<P>>, incarnation: u64) {
    let entry = own_entry(&node, incarnation);
    let key = own_key(&node);
    let value = Bytes::from(SerBin::serialize_bin(&entry));
    let mut lease = None;
    let mut rises = node.platform.store().era().rises();
    while node.lifecycle() != Lifecycle::Stopping {
        if node.lifecycle() == Lifecycle::Ready {
            lease = renew_or_rewrite(&node, lease, &key, &value).await;
        }
        let present_rises = node.platform.store().era().rises();
        if std::mem::replace(&mut rises, present_rises) != present_rises {
            // The restored store may contain the lease without the entry.
            let share = rand::rng().random_range(0.0..1.0);
            sleep(REWRITE_SPREAD.mul_f64(share)).await;
            lease = None;
            continue;
        }
        tokio::select! {
            () = sleep(node.settings.pace.membership_renewal) => {}
            // The sleep is based on the monotonic clock, lease expiry on the store's clock.
            () = node.clock.resumed() => {}
            () = node.stop_requested.notified() => {}
            () = node.view_changed.notified(), if lease.is_none() => {}
        }
    }
    if let Some(lease) = lease {
        let ended = node.store().end_lease(lease).await;
        tracing::info!(target: "membership", event = "left", ended = ended.is_ok());
    }
}

/// Renews the lease. If it is over, writes the entry under a new lease.
async fn renew_or_rewrite<P: Platform>(
    node: &Node<P>,
    lease: Option<u64>,
    key: &str,
    value: &Bytes,
) -> Option<u64> {
    let store = node.store();
    if let Some(lease) = lease {
        let renewed = store.renew_lease(lease).await;
        let is_over = renewed == Err(StoreError::NoSuchLease);
        node.store_reachability.record_call(renewed.is_ok() || is_over);
        if !is_over {
            if let Err(error) = renewed {
                tracing::warn!(target: "membership", event = "lease not renewed", lease, %error);
            }
            return Some(lease);
        }
        tracing::warn!(target: "membership", event = "lease is over", lease);
    }
    let granted = store.grant_lease(node.settings.pace.membership_lease).await;
    node.store_reachability.record_call(granted.is_ok());
    let lease = match granted {
        Ok(lease) => lease,
        Err(error) => {
            tracing::warn!(target: "membership", event = "no lease granted", %error);
            return None;
        }
    };
    let write = Write {
        key: key.into(),
        value: value.clone(),
        lease,
    };
    let put = ConditionalPut {
        conditions: Vec::new(),
        writes: vec![write],
    };
    let written = store.put(put).await;
    tracing::info!(target: "membership", event = "entry written", ok = written.is_ok(), lease);
    match written {
        Ok(_) => Some(lease),
        // The write may have succeeded without an answer; it is repeated under a new lease.
        Err(_) => None,
    }
}
