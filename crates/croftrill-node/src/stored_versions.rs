//! Keeps the record of each service's software versions at the store.
//!
//! The record is bound to a lease that builds which know it renew, so that it does not outlast a time
//! in which only earlier builds run, which do not keep it up. Its changes reach the other nodes over
//! the tree of relays.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use croftrill_scheduler::catalog::ServiceName;
use croftrill_scheduler::software_versions::{ServiceVersions, SoftwareVersion};
use croftrill_scheduler::stored_versions::{NeededChange, SeenVersions, VersionsRecord};
use croftrill_scheduler::time::Moment;
use nanoserde::{DeBin, SerBin};
use rand::Rng;
use tokio::time::{sleep, timeout};

use crate::metrics::Metrics;
use crate::node::{Lifecycle, Node, NodeState};
use crate::ports::{
    ConditionalPut, Expectation, Freshness, Item, KeyValueStore, Platform, PutOutcome, StoreError, Write,
};
use crate::store_era::StoreEra;
use crate::wire::{decode, WireList};

/// Prefix of the keys of records. Earlier builds ignore them.
pub const RECORD_PREFIX: &str = "croftrill/versions/";
/// Time for which a record outlasts the last renewal of its lease: longer than a stream lives, and than
/// the nodes take to start again.
const RECORD_RETENTION: Duration = Duration::from_secs(120);
/// Interval of the renewals by a node.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(30);
/// Maximum time between two looks at the records while the view does not change.
const MAX_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Minimum time between two looks, which go over all replicas while a service has several versions.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time that the orderers have for a change before the other nodes try it, too.
const ORDERERS_HEAD_START: Duration = Duration::from_millis(300);
/// Maximum further delay of the other nodes, so that one of them does it for all.
const MAX_COMPLETION_DELAY: Duration = Duration::from_secs(2);
/// The same where streams cannot begin at some replicas meanwhile.
const MAX_ADDITION_DELAY: Duration = Duration::from_millis(300);
/// Timeout of a read of a record.
const READ_TIMEOUT: Duration = Duration::from_millis(500);

/// A record as the store holds it.
#[derive(Debug, Clone, PartialEq, Eq, SerBin, DeBin)]
struct WireVersionsRecord {
    versions: WireList<String>,
    is_complete: bool,
    era: Option<u64>,
    /// The lease that the record is bound to.
    lease: u64,
}

impl WireVersionsRecord {
    fn from_record(record: &VersionsRecord, lease: u64) -> Self {
        WireVersionsRecord {
            versions: record.versions.iter().map(ToString::to_string).collect(),
            is_complete: record.is_complete,
            era: record.era,
            lease,
        }
    }

    fn into_record(self) -> VersionsRecord {
        let versions = self.versions.into_iter().map(SoftwareVersion::from);
        VersionsRecord {
            versions: versions.collect(),
            is_complete: self.is_complete,
            era: self.era,
        }
    }
}

/// The leases of the records that this node knows.
#[derive(Debug, Default)]
pub struct RecordLeases {
    leases: RefCell<BTreeMap<ServiceName, u64>>,
}

/// Returns the service whose record a key holds.
fn service_of(key: &str) -> Option<ServiceName> {
    key.strip_prefix(RECORD_PREFIX).map(ServiceName::from)
}

/// Returns whether a key of the store is that of a record.
pub(crate) fn is_record(key: &str) -> bool {
    key.starts_with(RECORD_PREFIX)
}

/// Applies a record that was written to the store.
pub(crate) fn apply<P: Platform>(node: &Node<P>, item: &Item) {
    let Some(service) = service_of(&item.key) else {
        return;
    };
    let record = match decode::<WireVersionsRecord>(&item.value) {
        Ok(wire) => {
            let leases = &mut node.record_leases.leases.borrow_mut();
            leases.insert(service.clone(), wire.lease);
            Some(wire.into_record())
        }
        Err(error) => {
            tracing::warn!(target: "stream version", event = "record of versions cannot be read",
                key = item.key, %error);
            // An incomplete one without versions lets no stream begin until it is written anew.
            Some(VersionsRecord::default())
        }
    };
    update(node, &service, record, item.revision);
}

/// Handles the removal of a key from the store.
pub(crate) fn handle_removed_key<P: Platform>(node: &Node<P>, key: &str, revision: u64) {
    if let Some(service) = service_of(key) {
        update(node, &service, None, revision);
    }
}

/// Handles a read of the whole store: other records than these do not exist.
pub(crate) fn retain_only<P: Platform>(node: &Node<P>, is_held: impl Fn(&str) -> bool, revision: u64) {
    let now = node.clock.now();
    let state = &mut *node.state.borrow_mut();
    let holds = |service: &str| is_held(&format!("{RECORD_PREFIX}{service}"));
    state.stored_versions.retain(holds, revision, now);
    apply_records(node.platform.store().era(), state, now);
}

fn update<P: Platform>(node: &Node<P>, service: &ServiceName, record: Option<VersionsRecord>, revision: u64) {
    let now = node.clock.now();
    let state = &mut *node.state.borrow_mut();
    tracing::info!(target: "stream version", event = "record of versions", service = &**service, ?record, revision);
    state.stored_versions.apply(service, record, revision, now);
    apply_records(node.platform.store().era(), state, now);
}

/// Returns the services with replicas.
fn known_services(state: &NodeState) -> Vec<ServiceName> {
    let services = state.software_versions.services();
    services.map(|(service, _)| service.clone()).collect()
}

fn apply_records(era: &StoreEra, state: &mut NodeState, now: Moment) {
    state.stored_versions.record_era(era.newest());
    state.software_versions.record_restores(era.rises(), now);
    let services = known_services(state);
    let recorded = state
        .stored_versions
        .records()
        .map(|(service, _)| service.clone());
    let services: BTreeSet<ServiceName> = services.into_iter().chain(recorded).collect();
    for service in services {
        let current = state.stored_versions.current(&service).cloned();
        state.software_versions.set_record(&service, current);
    }
}

/// Returns the keys and values of all records.
pub(crate) fn items(state: &NodeState, leases: &RecordLeases) -> Vec<(String, Vec<u8>)> {
    let leases = leases.leases.borrow();
    let records = state.stored_versions.records();
    let items = records.filter_map(|(service, record)| {
        let lease = *leases.get(service)?;
        let value = encode_record(record, lease);
        Some((format!("{RECORD_PREFIX}{service}"), value))
    });
    items.collect()
}

/// Keeps the records, until the node stops.
pub(crate) async fn maintain<P: Platform>(node: Rc<Node<P>>) {
    let mut written: BTreeSet<ServiceName> = BTreeSet::new();
    let mut next_renewal = node.clock.now() + RENEWAL_INTERVAL;
    while node.lifecycle() != Lifecycle::Stopping {
        let changed = node.view_changed.notified();
        for (service, change) in needed_changes(&node) {
            wait_for_others(&node, change).await;
            let is_needed = needed_change(&node, &service).is_some();
            if is_needed && node.lifecycle() != Lifecycle::Stopping && try_change(&node, &service).await {
                written.insert(service);
            }
        }
        let now = node.clock.now();
        if now >= next_renewal {
            next_renewal = now + RENEWAL_INTERVAL;
            renew(&node, &written).await;
        }
        sleep(MIN_CHECK_INTERVAL).await;
        // A timeout is expected: what is needed also depends on the time.
        let _ = timeout(MAX_CHECK_INTERVAL, changed).await;
    }
}

/// Changes a service's record as needed, and logs the outcome. Returns whether it was written.
async fn try_change<P: Platform>(node: &Node<P>, service: &ServiceName) -> bool {
    let changed = change_record(node, service).await;
    let outcome = match &changed {
        Ok(Some(record)) => {
            tracing::info!(target: "stream version", event = "record of versions written",
                service = &**service, ?record);
            "written"
        }
        Ok(None) => "changed by another",
        Err(error) => {
            tracing::warn!(target: "stream version", event = "record of versions not written",
                service = &**service, %error);
            sleep(random_up_to(ORDERERS_HEAD_START)).await;
            "not written"
        }
    };
    Metrics::count(&node.metrics.stream_versions, "versions record", outcome);
    matches!(changed, Ok(Some(_)))
}

/// Leaves a change to the orderers for a while, and then to the first of the other nodes.
async fn wait_for_others<P: Platform>(node: &Node<P>, change: NeededChange) {
    if node.gives_orders() && change == NeededChange::Addition {
        return;
    }
    let head_start = if node.gives_orders() {
        Duration::ZERO
    } else {
        ORDERERS_HEAD_START
    };
    let max_delay = match change {
        NeededChange::Addition => MAX_ADDITION_DELAY,
        NeededChange::Completion => MAX_COMPLETION_DELAY,
    };
    sleep(head_start + random_up_to(max_delay)).await;
}

fn random_up_to(limit: Duration) -> Duration {
    limit.mul_f64(rand::rng().random_range(0.0..1.0))
}

/// Returns the versions of a service that are listed, as of the last observation.
fn listed_versions(state: &NodeState, service: &str) -> BTreeSet<SoftwareVersion> {
    let versions = &state.software_versions;
    match versions.present(service) {
        ServiceVersions::Unknown => BTreeSet::new(),
        ServiceVersions::Sole(version) => BTreeSet::from([version]),
        ServiceVersions::Several => {
            let replicas = state.replicas.of_service(service);
            let listed = replicas.filter_map(|entry| {
                let listing = &entry.listing;
                versions.version_of(&listing.id, listing.started_ms)
            });
            listed.cloned().collect()
        }
    }
}

/// Returns what is known of the versions of a service's replicas.
fn seen_versions<P: Platform>(node: &Node<P>, state: &NodeState, service: &str) -> SeenVersions {
    let now = node.clock.now();
    let versions = &state.software_versions;
    SeenVersions {
        listed: listed_versions(state, service),
        observed: node
            .has_proven_view(state)
            .then(|| versions.observed_within_lifetime(service, now)),
        is_first_start: versions.is_first_start(),
    }
}

fn needed_changes<P: Platform>(node: &Node<P>) -> Vec<(ServiceName, NeededChange)> {
    let now = node.clock.now();
    apply_records(node.platform.store().era(), &mut node.state.borrow_mut(), now);
    let services = known_services(&node.state.borrow());
    let changes = services.into_iter().filter_map(|service| {
        let change = needed_change(node, &service)?;
        Some((service, change))
    });
    let mut changes: Vec<(ServiceName, NeededChange)> = changes.collect();
    changes.sort_by_key(|(_, change)| std::cmp::Reverse(*change));
    changes
}

fn needed_change<P: Platform>(node: &Node<P>, service: &ServiceName) -> Option<NeededChange> {
    let state = node.state.borrow();
    let seen = seen_versions(node, &state, service);
    state
        .stored_versions
        .needed_change(service, &seen, node.clock.now())
}

/// Reads a service's record and changes it as needed. Returns the record if it was written.
async fn change_record<P: Platform>(
    node: &Node<P>,
    service: &ServiceName,
) -> Result<Option<VersionsRecord>, StoreError> {
    let key = format!("{RECORD_PREFIX}{service}");
    let known = known_record(node, service);
    let snapshot = node.store().range(&key, Freshness::Latest, READ_TIMEOUT).await?;
    let item = snapshot.items.iter().find(|item| item.key == key);
    match item {
        Some(item) => apply(node, item),
        None => update(node, service, None, snapshot.revision),
    }
    let next = {
        let state = node.state.borrow();
        let read = known_record_in(&state, service);
        let seen = seen_versions(node, &state, service);
        let was_known = read == known;
        let now = node.clock.now();
        state
            .stored_versions
            .next_record(service, read.as_ref(), was_known, &seen, now)
    };
    let Some(record) = next else {
        return Ok(None);
    };
    let expected = item.map_or(0, |item| item.revision);
    let lease = usable_lease(node, service, item.is_some()).await?;
    let value = Bytes::from(encode_record(&record, lease));
    let put = ConditionalPut {
        conditions: vec![Expectation {
            key: key.clone(),
            revision: expected,
        }],
        writes: vec![Write {
            key: key.clone(),
            value: value.clone(),
            lease,
        }],
    };
    let outcome = node.store().put(put).await;
    if outcome == Err(StoreError::NoSuchLease) {
        node.record_leases.leases.borrow_mut().remove(service);
    }
    let PutOutcome::Done { revision } = outcome? else {
        return Ok(None);
    };
    apply(node, &Item { key, value, revision });
    Ok(Some(record))
}

fn known_record<P: Platform>(node: &Node<P>, service: &str) -> Option<VersionsRecord> {
    known_record_in(&node.state.borrow(), service)
}

fn known_record_in(state: &NodeState, service: &str) -> Option<VersionsRecord> {
    let mut records = state.stored_versions.records();
    records
        .find(|(known, _)| &***known == service)
        .map(|(_, record)| record.clone())
}

/// Returns the lease of a service's record, or a new one if there is no record.
async fn usable_lease<P: Platform>(
    node: &Node<P>,
    service: &ServiceName,
    is_held: bool,
) -> Result<u64, StoreError> {
    let known = node.record_leases.leases.borrow().get(service).copied();
    match known.filter(|_| is_held) {
        Some(lease) => Ok(lease),
        None => node.store().grant_lease(RECORD_RETENTION).await,
    }
}

/// Renews the leases of all records at an orderer, and at another node of those that it wrote.
async fn renew<P: Platform>(node: &Node<P>, own: &BTreeSet<ServiceName>) {
    let leases: Vec<(ServiceName, u64)> = {
        let leases = node.record_leases.leases.borrow();
        let renewed = leases
            .iter()
            .filter(|(service, _)| node.gives_orders() || own.contains(*service));
        renewed
            .map(|(service, lease)| (service.clone(), *lease))
            .collect()
    };
    for (service, lease) in leases {
        if let Err(error) = node.store().renew_lease(lease).await {
            // A lost record is written again.
            tracing::info!(target: "stream version", event = "lease of a record not renewed",
                service = &*service, %error);
        }
    }
}

/// Returns what the store holds of a record that is bound to a lease.
pub fn encode_record(record: &VersionsRecord, lease: u64) -> Vec<u8> {
    WireVersionsRecord::from_record(record, lease).serialize_bin()
}

/// Returns the record in an item of the store.
pub fn decode_record(value: &[u8]) -> io::Result<VersionsRecord> {
    decode::<WireVersionsRecord>(value).map(WireVersionsRecord::into_record)
}
