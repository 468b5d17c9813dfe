//! Which software versions the replicas run, told from nodes that read their entries to nodes that
//! receive listings from others.

use std::collections::{BTreeSet, HashSet};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use croftrill_scheduler::catalog::ServiceName;
use croftrill_scheduler::replica::{ReplicaId, StartedMs};
use croftrill_scheduler::software_versions::{RequiredVersion, ServiceVersions, SoftwareVersion};
use croftrill_scheduler::time::Moment;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::node::{Node, NodeState};
use crate::peer::{
    DirectoryUpdate, FromOrderer, WireChange, WireReplicaVersion, WireServiceVersions, WireVersions,
};
use crate::ports::Platform;
use crate::{stream_versions, tree};

/// Minimum time between two observations of the services' versions, which look at all replicas.
const OBSERVATION_INTERVAL: Duration = Duration::from_millis(250);

/// Observes which versions the services' replicas run, until the process ends.
pub(crate) async fn observe<P: Platform>(node: Rc<Node<P>>) {
    let mut seen = None;
    loop {
        let changed = node.view_changed.notified();
        let version = node.state.borrow().replicas.version();
        if seen.replace(version) != Some(version) {
            observe_now(&node);
        }
        sleep(OBSERVATION_INTERVAL).await;
        changed.await;
    }
}

/// Observes which versions the services' replicas run now, and tells followers if that changed. A
/// node that knows only some replicas is told by its relay.
pub(crate) fn observe_now<P: Platform>(node: &Rc<Node<P>>) {
    let now = node.clock.now();
    let mut borrowed = node.state.borrow_mut();
    let state = &mut *borrowed;
    if state.tree.is_partial() {
        return;
    }
    let mut changed = Vec::new();
    for (service, versions) in services(state) {
        if observe_service(state, &service, versions, now) {
            changed.push(service);
        }
    }
    let replicas = &state.replicas;
    let is_listed = |id: &str| replicas.get(id).is_some();
    state.software_versions.forget_unlisted(replicas.len(), is_listed);
    let message = (!changed.is_empty())
        .then(|| encode(state, true, state.software_versions.services(), Vec::new(), now));
    drop(borrowed);
    if let Some(message) = message.flatten() {
        tree::publish_versions(node, message);
    }
    publish_own_streams(node, changed);
}

/// Records and logs which versions a service has. Returns whether that changed.
fn observe_service(
    state: &mut NodeState,
    service: &ServiceName,
    versions: ServiceVersions,
    now: Moment,
) -> bool {
    let is_changed = state.software_versions.present(service) != versions;
    if is_changed {
        tracing::info!(target: "directory", event = "software versions of a service", service = &**service, ?versions);
    }
    state.software_versions.observe(service, versions, now);
    is_changed
}

/// Tells other nodes the versions of this node's streams, whose services have several versions now or
/// another one.
fn publish_own_streams<P: Platform>(node: &Rc<Node<P>>, services: Vec<ServiceName>) {
    for service in services {
        spawn_local(stream_versions::publish_own(node.clone(), service));
    }
}

/// Returns the ready replicas of a service that are in reach and known to run a version.
pub(crate) fn ready_replicas<P: Platform>(
    node: &Node<P>,
    service: &str,
    version: &SoftwareVersion,
) -> BTreeSet<ReplicaId> {
    let now = node.clock.now();
    let state = node.state.borrow();
    let required = RequiredVersion {
        version,
        versions: &state.software_versions,
        ends: &state.crash_ledger,
    };
    let ready = state
        .replicas
        .of_service(service)
        .filter(|entry| entry.is_ready() && entry.is_in_reach(now));
    let of_version = ready.filter(|entry| required.is_run_by(&entry.listing.id, entry.listing.started_ms));
    of_version.map(|entry| entry.listing.id.clone()).collect()
}

fn services(state: &NodeState) -> Vec<(ServiceName, ServiceVersions)> {
    let services: HashSet<ServiceName> = state
        .replicas
        .iter()
        .map(|entry| entry.listing.service.clone())
        .collect();
    let versions = |service: &ServiceName| {
        let entries = state.replicas.of_service(service);
        let known = entries.map(|entry| {
            let listing = &entry.listing;
            state
                .software_versions
                .version_of(&listing.id, listing.started_ms)
        });
        ServiceVersions::of(known)
    };
    services
        .into_iter()
        .map(|service| {
            let versions = versions(&service);
            (service, versions)
        })
        .collect()
}

/// Records the version in a replica's entry.
pub(crate) fn record<P: Platform>(
    node: &Node<P>,
    id: &ReplicaId,
    started_ms: Option<StartedMs>,
    version: Option<SoftwareVersion>,
) {
    if let Some(version) = version {
        node.state
            .borrow_mut()
            .software_versions
            .record(id, started_ms, version);
    }
}

/// Returns the message with the versions of all replicas that fit, if any are known.
pub(crate) fn message_for_all<P: Platform>(node: &Node<P>, fits: impl Fn(&str) -> bool) -> Option<Bytes> {
    let state = node.state.borrow();
    let services = services(&state);
    let sole: HashSet<&ServiceName> = services
        .iter()
        .filter(|(_, versions)| matches!(versions, ServiceVersions::Sole(_)))
        .map(|(service, _)| service)
        .collect();
    let listings = state.replicas.iter().map(|entry| &entry.listing);
    let replicas = listings
        .filter(|listing| fits(&listing.id) && !sole.contains(&listing.service))
        .filter_map(|listing| wire_version(&state, &listing.id, listing.started_ms));
    let replicas: Vec<WireReplicaVersion> = replicas.collect();
    let services = services.iter().map(|(service, versions)| (service, versions));
    encode(&state, true, services, replicas, node.clock.now())
}

/// Returns the message with the versions of the replicas in an update, if any are known.
pub(crate) fn message_for_update<P: Platform>(node: &Node<P>, update: &DirectoryUpdate) -> Option<Bytes> {
    let state = node.state.borrow();
    let listings = update.changes.iter().filter_map(|revised| match &revised.change {
        WireChange::Replica(listing) => Some((listing.id.as_str(), listing.started_ms)),
        WireChange::Written { .. } | WireChange::Removed { .. } => None,
    });
    let replicas: Vec<WireReplicaVersion> = listings
        .filter_map(|(id, started_ms)| wire_version(&state, id, started_ms))
        .collect();
    if replicas.is_empty() {
        return None;
    }
    let services = state.software_versions.services();
    encode(&state, false, services, replicas, node.clock.now())
}

/// Returns the message with the versions of some replicas, if any are known.
pub(crate) fn message_for_replicas<P: Platform>(node: &Node<P>, ids: &[ReplicaId]) -> Option<Bytes> {
    let state = node.state.borrow();
    let entries = ids.iter().filter_map(|id| state.replicas.get(id));
    let replicas = entries.filter_map(|entry| {
        let listing = &entry.listing;
        wire_version(&state, &listing.id, listing.started_ms)
    });
    let replicas: Vec<WireReplicaVersion> = replicas.collect();
    if replicas.is_empty() {
        return None;
    }
    let services = state.software_versions.services();
    encode(&state, false, services, replicas, node.clock.now())
}

fn wire_version(state: &NodeState, id: &str, started_ms: Option<StartedMs>) -> Option<WireReplicaVersion> {
    let version = state.software_versions.version_of(id, started_ms)?;
    Some(WireReplicaVersion {
        replica: id.to_string(),
        started_ms,
        version: version.to_string(),
    })
}

fn encode<'a>(
    state: &NodeState,
    is_current: bool,
    services: impl Iterator<Item = (&'a ServiceName, &'a ServiceVersions)>,
    replicas: Vec<WireReplicaVersion>,
    now: Moment,
) -> Option<Bytes> {
    let services: Vec<WireServiceVersions> = services
        .filter_map(|(service, versions)| {
            let sole_version = match versions {
                ServiceVersions::Unknown => return None,
                ServiceVersions::Sole(version) => Some(version.to_string()),
                ServiceVersions::Several => None,
            };
            Some(WireServiceVersions {
                service: service.to_string(),
                sole_version,
                sole_for_ms: state.software_versions.sole_for(service, now).as_millis() as u32,
            })
        })
        .collect();
    if services.is_empty() && replicas.is_empty() {
        return None;
    }
    let versions = WireVersions {
        reached: state.directory.reached(),
        is_current,
        services: services.into(),
        replicas: replicas.into(),
    };
    Some(FromOrderer::Versions(versions).encode())
}

/// Applies the versions that another node sent.
pub(crate) fn apply<P: Platform>(node: &Rc<Node<P>>, received: &WireVersions) {
    let now = node.clock.now();
    let mut borrowed = node.state.borrow_mut();
    let state = &mut *borrowed;
    let mut changed = Vec::new();
    for replica in &received.replicas {
        let id: ReplicaId = replica.replica.as_str().into();
        let version: SoftwareVersion = replica.version.as_str().into();
        state.software_versions.record(&id, replica.started_ms, version);
    }
    // Then the sender knows all replicas that this node knows.
    let is_covered = received.is_current && received.reached >= state.directory.reached();
    for service in &received.services {
        let name: ServiceName = service.service.as_str().into();
        let versions = match &service.sole_version {
            Some(version) => ServiceVersions::Sole(version.as_str().into()),
            None => ServiceVersions::Several,
        };
        if let (ServiceVersions::Sole(version), true) = (&versions, is_covered) {
            record_sole(state, &name, version);
        }
        if let ServiceVersions::Sole(version) = &versions {
            let sole_for = Duration::from_millis(service.sole_for_ms.into());
            let since = now - sole_for;
            state.software_versions.record_sole_since(&name, version, since);
        }
        if state.tree.is_partial() && observe_service(state, &name, versions, now) {
            changed.push(name);
        }
    }
    drop(borrowed);
    publish_own_streams(node, changed);
}

/// Records the version of those known replicas of a service whose version is not known, as all run
/// the same one.
fn record_sole(state: &mut NodeState, service: &ServiceName, version: &SoftwareVersion) {
    let replicas = state.replicas.of_service(service);
    let incarnations = replicas.map(|entry| (entry.listing.id.clone(), entry.listing.started_ms));
    let known = &state.software_versions;
    let unknown = incarnations.filter(|(id, started_ms)| known.version_of(id, *started_ms).is_none());
    let ids: Vec<(ReplicaId, Option<StartedMs>)> = unknown.collect();
    for (id, started_ms) in ids {
        state.software_versions.record(&id, started_ms, version.clone());
    }
}
