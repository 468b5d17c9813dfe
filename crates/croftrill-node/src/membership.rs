//! The nodes of the system: each keeps an entry in the store under a lease.
//!
//! An entry that ends with its lease removes a dead node from the addresses
//! that callers are told. While the store is away the last known entries stay.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use nanoserde::{DeBin, SerBin};
use tokio::time::sleep;

use crate::node::{Lifecycle, Node};
use crate::ports::{ConditionalPut, Item, KeyValueStore, Platform, StoreError, Write};

/// Prefix of the nodes' entries.
const MEMBER_PREFIX: &str = "croftrill/nodes/";
/// Prefix of the keys about the orderer.
pub const ORDERER_PREFIX: &str = "croftrill/orderer";
/// Key of the orderer's entry, which goes with its lease.
pub const ORDERER_KEY: &str = "croftrill/orderer";
/// Key of the entry of the node that last became the orderer; it stays.
pub const LAST_ORDERER_KEY: &str = "croftrill/orderer-last";

/// A node as its entry describes it.
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
    /// Tells this process from a former one of the same name.
    pub incarnation: u64,
}

impl MemberEntry {
    /// Address for callers.
    pub fn front_address(&self) -> Option<SocketAddr> {
        self.front.parse().ok()
    }

    /// Address for other nodes.
    pub fn peer_address(&self) -> Option<SocketAddr> {
        self.peer.parse().ok()
    }
}

/// The machine that last could order, as the store records it.
#[derive(Debug, Clone, PartialEq, Eq, SerBin, DeBin)]
pub struct LastOrderer {
    /// Its entry.
    pub entry: MemberEntry,
    /// False while a predecessor's orders counted still at some replicas.
    pub is_settled: bool,
}

/// Reads the record of the last orderer.
pub fn read_last_orderer(item: &Item) -> Option<LastOrderer> {
    (item.key == LAST_ORDERER_KEY)
        .then(|| DeBin::deserialize_bin(&item.value).ok())
        .flatten()
}

/// Reads an entry of a node or of the orderer.
pub fn read_entry(item: &Item) -> Option<MemberEntry> {
    let ours = item.key.starts_with(MEMBER_PREFIX) || item.key == ORDERER_KEY;
    ours.then(|| DeBin::deserialize_bin(&item.value).ok()).flatten()
}

/// All known entries.
#[derive(Debug, Default)]
pub struct Members {
    entries: BTreeMap<String, MemberEntry>,
    last_orderer: Option<LastOrderer>,
}

impl Members {
    /// An entry was written.
    pub fn written(&mut self, key: &str, entry: MemberEntry) {
        self.entries.insert(key.to_string(), entry);
    }

    /// The record of the last orderer was written.
    pub fn recorded(&mut self, last: LastOrderer) {
        self.last_orderer = Some(last);
    }

    /// The orderer said that its term is over.
    pub fn resigned(&mut self) {
        self.removed(ORDERER_KEY);
    }

    /// A key was removed.
    pub fn removed(&mut self, key: &str) {
        self.entries.remove(key);
    }

    /// Keeps just the entries for whose key `keep` holds.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.entries.retain(|key, _| keep(key));
    }

    /// The node that holds the orderer's key.
    pub fn orderer(&self) -> Option<&MemberEntry> {
        self.entries.get(ORDERER_KEY)
    }

    /// The node that last became the orderer.
    pub fn last_orderer(&self) -> Option<&MemberEntry> {
        self.last_orderer.as_ref().map(|last| &last.entry)
    }

    /// The live nodes.
    pub fn nodes(&self) -> impl Iterator<Item = &MemberEntry> {
        self.entries
            .iter()
            .filter(|(key, _)| key.starts_with(MEMBER_PREFIX))
            .map(|(_, entry)| entry)
    }

    /// Number of live nodes, at least one.
    pub fn node_count(&self) -> usize {
        self.nodes().count().max(1)
    }
}

/// The entry of this node. `incarnation` tells this process from a former one.
pub fn own_entry<P: Platform>(node: &Node<P>, incarnation: u64) -> MemberEntry {
    let identity = &node.settings.identity;
    MemberEntry {
        name: identity.name.clone(),
        zone: identity.zone.clone(),
        front: identity.front.to_string(),
        peer: identity.peer.to_string(),
        incarnation,
    }
}

/// Keeps this node's entry until it stops.
pub async fn keep_entry<P: Platform>(node: Rc<Node<P>>, incarnation: u64) {
    let entry = own_entry(&node, incarnation);
    let key = format!("{MEMBER_PREFIX}{}", entry.name);
    let value = Bytes::from(SerBin::serialize_bin(&entry));
    let mut lease = None;
    while node.lifecycle() != Lifecycle::Stopping {
        if node.lifecycle() == Lifecycle::Ready {
            lease = refresh(&node, lease, &key, &value).await;
        }
        tokio::select! {
            () = sleep(node.settings.pace.membership_renewal) => {}
            () = node.stop_requested.notified() => {}
            () = node.view_changed.notified(), if lease.is_none() => {}
        }
    }
    if let Some(lease) = lease {
        let ended = node.store().end_lease(lease).await;
        tracing::info!(target: "membership", event = "left", ended = ended.is_ok());
    }
}

/// Renews the lease, or writes the entry anew under a new one.
async fn refresh<P: Platform>(node: &Node<P>, lease: Option<u64>, key: &str, value: &Bytes) -> Option<u64> {
    let store = node.store();
    if let Some(lease) = lease {
        let renewed = store.renew_lease(lease).await;
        let is_over = renewed == Err(StoreError::NoSuchLease);
        node.store_path.call_ended(renewed.is_ok() || is_over);
        if !is_over {
            return Some(lease);
        }
    }
    let granted = store.grant_lease(node.settings.pace.membership_lease).await;
    node.store_path.call_ended(granted.is_ok());
    let lease = granted.ok()?;
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
        // Without an answer it may stand; it is written again under a new lease.
        Err(_) => None,
    }
}
