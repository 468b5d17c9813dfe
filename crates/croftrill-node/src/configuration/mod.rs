//! The operators' configuration at this node.
//!
//! A configuration is complete in itself, so it does not wait for a complete view of the store: it
//! is taken from the store, from any update of an orderer or a relay, and from any node that holds
//! a newer one ([`link`], [`probes`]). [`content`] encodes it for other nodes.

pub mod content;
pub(crate) mod link;
pub(crate) mod probes;

use std::sync::Arc;
use std::time::Duration;

use croftrill_scheduler::catalog::Configuration;
use croftrill_scheduler::configuration_exchange::{HeldVersion, StoreContact};
use croftrill_scheduler::shard::SHARD_COUNT;

pub use self::content::FormerConfigurations;
use crate::node::{Lifecycle, Node, NodeState};
use crate::ports::{Item, KeyValueStore, Platform, Record, RecordReader};
use crate::store_era::era_of;
use crate::tree;

/// Maximum wait of a request without a route for a newer configuration that exists: some round
/// trips to another node.
pub(crate) const NEWER_VERSION_WAIT: Duration = Duration::from_millis(250);

/// From whom a node has news of the store's items.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Source {
    /// Its own calls to the store.
    Store,
    /// An orderer that it listens to.
    Orderer,
    /// The relay that it follows.
    Relay,
    /// A node that announced it.
    Peer,
}

impl Source {
    /// Returns the source of the changes that a node receives over its uplink.
    pub(crate) fn of_uplink<P: Platform>(node: &Node<P>) -> Self {
        if tree::follows_relay(node) {
            Source::Relay
        } else {
            Source::Orderer
        }
    }

    fn name(self) -> &'static str {
        match self {
            Source::Store => "store",
            Source::Orderer => "orderer",
            Source::Relay => "relay",
            Source::Peer => "peer",
        }
    }
}

/// Puts a configuration in force unless the present one is as new. Returns whether it did.
pub(crate) fn apply<P: Platform>(
    node: &Node<P>,
    configuration: Arc<Configuration>,
    item: &Item,
    source: Source,
) -> bool {
    let now = node.clock.now();
    let mut state = node.state.borrow_mut();
    let version = configuration.version;
    let held = HeldVersion {
        version,
        era: era_of(item.revision),
    };
    let current = state.configuration.as_ref().map_or(0, |current| current.version);
    if current >= version && state.configuration.is_some() {
        confirm_era(&mut state, held, item);
        return false;
    }
    let missed = state.configuration_exchange.missed();
    let behind_ms = missed.map(|missed| now.since(missed.since).as_millis() as u64);
    tracing::info!(target: "directory", event = "configuration in force", version,
        routes = configuration.route_count(), revision = item.revision, source = source.name(), behind_ms);
    node.metrics.configuration_version.set(version as i64);
    state.configuration = Some(configuration);
    if let Some(former) = state.configuration_item.replace(item.clone()) {
        state.former_configurations.record(current, former.value);
    }
    state.configuration_exchange.record_held(held);
    if state.lifecycle == Lifecycle::Starting {
        state.lifecycle = Lifecycle::Ready;
        state.ready_at = Some(now);
    }
    drop(state);
    update_newest_metric(node);
    node.configuration_exchanged.notify_waiters();
    true
}

/// Records that the version in force was written again in a later era of the store.
fn confirm_era(state: &mut NodeState, written: HeldVersion, item: &Item) {
    let held = state.configuration_exchange.held();
    if written.version == held.version && written.era > held.era {
        state.configuration_item = Some(item.clone());
        state.configuration_exchange.record_held(written);
    }
}

/// Puts the configuration of a change in force that is not applied as a part of the view.
pub(crate) fn apply_apart<P: Platform>(node: &Node<P>, item: &Item, source: Source) -> bool {
    let written = HeldVersion {
        version: u64::MAX,
        era: era_of(item.revision),
    };
    update_era(node);
    if !node.state.borrow().configuration_exchange.is_wanted(written) {
        tracing::warn!(target: "directory", event = "configuration of a former era", revision = item.revision,
            source = source.name());
        return false;
    }
    match node.platform.records().read(item) {
        Record::Configuration(configuration) => apply(node, configuration, item, source),
        Record::Malformed(reason) => {
            tracing::warn!(target: "directory", event = "item cannot be read", key = item.key, reason);
            false
        }
        Record::Replica { .. } | Record::Other => false,
    }
}

/// Records the newest known era of the store in the exchange.
pub(crate) fn update_era<P: Platform>(node: &Node<P>) {
    let era = era_of(node.platform.store().era().point(0));
    node.state.borrow_mut().configuration_exchange.record_era(era);
}

pub(crate) fn update_newest_metric<P: Platform>(node: &Node<P>) {
    let state = node.state.borrow();
    let exchange = &state.configuration_exchange;
    let missed = exchange.missed().map_or(0, |missed| missed.version);
    node.metrics
        .configuration_newest
        .set(exchange.held().version.max(missed) as i64);
}

/// Returns this node's contact to the store, by itself or over other nodes.
pub(crate) fn store_contact<P: Platform>(node: &Node<P>) -> StoreContact {
    let state = node.state.borrow();
    let depends_on_others = node.terms_held() < SHARD_COUNT;
    StoreContact {
        proven_at: state.view_proven_at,
        proof_lifetime: node.settings.pace.relay_lifetime,
        own_calls_fail: node.store_reachability.is_unreachable(),
        uplink_heard_at: state
            .uplink_heard_at
            .max(state.ready_at)
            .filter(|_| depends_on_others),
        max_uplink_silence: node.settings.pace.peer_heartbeat * 3 / 2,
    }
}

/// Returns whether a route that this node does not know may exist: it has heard of a newer
/// configuration, or for longer than a configuration may take had no proof that its view is
/// complete. A node that has just become ready counts as proven then.
pub(crate) fn may_be_outdated<P: Platform>(node: &Node<P>) -> bool {
    let state = node.state.borrow();
    if state.configuration_exchange.missed().is_some() {
        return true;
    }
    let deadline = node.settings.bounds.configuration_deadline;
    let proven_at = state.view_proven_at.max(state.ready_at);
    proven_at.is_none_or(|at| node.clock.now().since(at) > deadline)
}
