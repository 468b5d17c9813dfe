//! Keeps and finds the software versions of streams, which other nodes may be asked to resume.
//!
//! The version of a stream is written to the first [`KEEPERS`] nodes of an order that all nodes
//! compute from the attempt's id: before its first event if its service has several versions, or
//! else once it has. The nodes that write such versions to the store ([`stored_streams`]) are told, too,
//! for a time when all keepers have ended. Each call has a connection of its own, as they are rare.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use croftrill_scheduler::catalog::ServiceName;
use croftrill_scheduler::software_versions::{
    attempt_key, decide, keeper_order, KeeperAnswer, LifetimeVersions, OwnStream, SoftwareVersion, KEEPERS,
    KEEPERS_ASKED, MAX_STREAM_LIFETIME,
};
use futures::future::join_all;
use nanoserde::SerBin;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use crate::link::PeerLink;
use crate::membership::MemberEntry;
use crate::metrics::Metrics;
use crate::node::Node;
use crate::peer::{
    ToOrderer, WireLifetimeVersions, WireStreamRecord, WireStreamVersion, WireStreamVersionAnswer,
};
use crate::peer_link::silence_limit;
use crate::ports::Platform;
use crate::stored_streams;
use crate::wire::decode;

/// Maximum delay of a stream's first event for its record: half of the shortest time in which an
/// event must be passed on.
const RECORD_TIMEOUT: Duration = Duration::from_millis(60);
/// Maximum time to tell the versions of streams that began before the service had several.
const PUBLISH_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval at which the age of the view's proof is looked at.
const PROOF_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum time to ask the keepers: a fifth of a second of a caller that is resuming anyway.
const FIND_TIMEOUT: Duration = Duration::from_millis(200);

/// Keeps the version of a stream that an attempt began, and tells it to its keepers if its service
/// has several versions. Returns after two of them have answered, or at a limit.
pub(crate) async fn begin<P: Platform>(node: &Rc<Node<P>>, attempt: &str, stream: OwnStream) {
    let attempt = &*attempt_key(attempt);
    let now = node.clock.now();
    let lifetime = stream.expires_at.since(now);
    insert(node, attempt, stream.version.clone(), lifetime);
    let sole = sole_version_by_proven_view(node, &stream.service);
    if sole.as_ref() == Some(&stream.version) {
        node.state.borrow_mut().own_streams.insert(attempt, stream, now);
        return;
    }
    record(node, attempt, &stream.version, lifetime).await;
}

/// Forgets a stream that was answered completely.
pub(crate) fn end<P: Platform>(node: &Node<P>, attempt: &str) {
    node.state.borrow_mut().own_streams.remove(&attempt_key(attempt));
}

async fn record<P: Platform>(
    node: &Rc<Node<P>>,
    attempt: &str,
    version: &SoftwareVersion,
    lifetime: Duration,
) {
    let records = vec![wire_record(attempt, version, lifetime)];
    let message = WireStreamVersion::Record(records.clone().into());
    let keepers = keepers(node, attempt);
    tell_writers(node, records, &keepers);
    let mut others = keepers.iter();
    let mut recorded = 0;
    let writing = async {
        while recorded < KEEPERS {
            let next: Vec<SocketAddr> = others.by_ref().take(KEEPERS - recorded).copied().collect();
            if next.is_empty() {
                return;
            }
            let answers = join_all(next.into_iter().map(|address| call(node, address, &message))).await;
            recorded += answers.iter().filter(|answer| answer.is_ok()).count();
        }
    };
    let in_time = timeout(RECORD_TIMEOUT, writing).await.is_ok();
    let outcome = match recorded {
        _ if keepers.is_empty() => "no other node",
        0 => "not recorded",
        _ => "recorded",
    };
    Metrics::count(&node.metrics.stream_versions, "record", outcome);
    tracing::debug!(target: "stream version", event = "record", attempt, version = &**version, recorded, in_time);
}

/// Tells the nodes that write the versions of streams to the store of some, and of those for which there was
/// no writer before. Nodes that are told as keepers of the streams are left out.
fn tell_writers<P: Platform>(node: &Rc<Node<P>>, records: Vec<WireStreamRecord>, keepers: &[SocketAddr]) {
    let own = &node.settings.identity.name;
    let others = {
        let state = node.state.borrow();
        let writers = stored_streams::writers(&state);
        if writers.is_empty() {
            node.stream_segments.keep_untold(records);
            return;
        }
        let others = writers.into_iter().filter(|writer| writer.name != *own);
        let others: Vec<SocketAddr> = others.filter_map(MemberEntry::peer_address).collect();
        others
    };
    let mut told = node.stream_segments.take_untold();
    let keepers = if told.is_empty() { keepers } else { &[] };
    told.extend(records);
    for record in &told {
        stored_streams::record(node, &record.attempt, &record.version.as_str().into());
    }
    let is_keeper = |address: &SocketAddr| keepers.iter().take(KEEPERS).any(|keeper| keeper == address);
    for writer in others.into_iter().filter(|address| !is_keeper(address)) {
        let message = WireStreamVersion::Record(told.clone().into());
        spawn_local(tell_writer(node.clone(), writer, message));
    }
}

/// Tells a node that writes the versions of streams to the store of some.
async fn tell_writer<P: Platform>(node: Rc<Node<P>>, writer: SocketAddr, message: WireStreamVersion) {
    let told = timeout(PUBLISH_TIMEOUT, call(&node, writer, &message)).await;
    if !matches!(told, Ok(Ok(_))) {
        Metrics::count(&node.metrics.stream_versions, "record", "writer not told");
        tracing::debug!(target: "stream version", event = "the writer was not told", %writer);
    }
}

fn wire_record(attempt: &str, version: &SoftwareVersion, lifetime: Duration) -> WireStreamRecord {
    WireStreamRecord {
        attempt: attempt.to_string(),
        version: version.to_string(),
        lifetime_ms: lifetime.as_millis() as u32,
    }
}

/// Tells the versions of this node's streams to their keepers whenever its view is no longer proven, until
/// the process ends. Without a proof no node can tell that a service has one version only, so that
/// streams go on by these records alone.
pub(crate) async fn publish_as_proof_lapses<P: Platform>(node: Rc<Node<P>>) {
    let mut was_proven = false;
    loop {
        sleep(PROOF_CHECK_INTERVAL).await;
        let is_proven = node.has_proven_view(&node.state.borrow());
        if std::mem::replace(&mut was_proven, is_proven) && !is_proven {
            let services = node.state.borrow().own_streams.services();
            for service in services {
                spawn_local(publish_own(node.clone(), service));
            }
        }
    }
}

/// Tells the versions of this node's streams of a service that began while it had only one version to
/// their keepers, and to the nodes that write them to the store. Each gets one message.
pub(crate) async fn publish_own<P: Platform>(node: Rc<Node<P>>, service: ServiceName) {
    let now = node.clock.now();
    let streams = node.state.borrow_mut().own_streams.take(&service, now);
    let count = streams.len();
    let mut by_keeper: BTreeMap<SocketAddr, Vec<WireStreamRecord>> = BTreeMap::new();
    let mut records = Vec::new();
    for (attempt, stream) in streams {
        let record = wire_record(&attempt, &stream.version, stream.expires_at.since(now));
        for keeper in keepers(&node, &attempt).into_iter().take(KEEPERS) {
            by_keeper.entry(keeper).or_default().push(record.clone());
        }
        records.push(record);
    }
    if !records.is_empty() {
        tell_writers(&node, records, &[]);
    }
    let calls = by_keeper.into_iter().map(|(address, records)| {
        let node = &node;
        async move {
            let message = WireStreamVersion::Record(records.into());
            timeout(PUBLISH_TIMEOUT, call(node, address, &message)).await
        }
    });
    let answers = join_all(calls).await;
    let failed = answers
        .iter()
        .filter(|answer| !matches!(answer, Ok(Ok(_))))
        .count();
    tracing::info!(target: "stream version", event = "told the versions of streams", service = &*service,
        streams = count, keepers = answers.len(), failed);
}

fn insert<P: Platform>(node: &Node<P>, attempt: &str, version: SoftwareVersion, lifetime: Duration) {
    let now = node.clock.now();
    let records = &mut node.state.borrow_mut().stream_versions;
    records.insert(attempt, version, now + lifetime, now);
}

/// Returns the version of the stream that an attempt began, if it can be told.
pub(crate) async fn find<P: Platform>(
    node: &Rc<Node<P>>,
    attempt: Option<&str>,
    service: &str,
) -> Option<SoftwareVersion> {
    let attempt = attempt.map(attempt_key);
    let attempt = attempt.as_deref();
    let own = own_answer(node, attempt, service);
    if let KeeperAnswer::Found(version) = own {
        return Some(version);
    }
    if let Some(sole) = sole_version_by_trusted_view(node, service) {
        return Some(sole);
    }
    let attempt = attempt?;
    let message = WireStreamVersion::Find {
        attempt: attempt.to_string(),
        service: service.to_string(),
    };
    let keepers = keepers(node, attempt);
    let answers = join_all(keepers.iter().map(|address| ask(node, *address, &message))).await;
    let is_known = answers
        .iter()
        .any(|answer| matches!(answer, KeeperAnswer::Found(_)));
    let decision = match decide(own, &answers) {
        None if !is_known => stored_streams::find(node, attempt).await,
        decision => decision,
    };
    let outcome = if decision.is_some() { "found" } else { "unknown" };
    Metrics::count(&node.metrics.stream_versions, "find", outcome);
    tracing::info!(target: "stream version", event = "asked for a stream", attempt, service, ?answers,
        version = decision.as_deref());
    decision
}

/// Returns the time until this node can tell the version of each stream of a service that goes on, if
/// time alone will show it: once the service has had its only version for as long as streams live.
pub(crate) fn known_in<P: Platform>(node: &Node<P>, service: &str) -> Option<Duration> {
    let now = node.clock.now();
    let state = node.state.borrow();
    let versions = &state.software_versions;
    let is_unclear = matches!(
        versions.within_lifetime(service, now),
        LifetimeVersions::Unclear(Some(_))
    );
    is_unclear.then(|| MAX_STREAM_LIFETIME.saturating_sub(versions.sole_for(service, now)))
}

/// Returns the only version of a service as long as streams live, if this node's view is proven.
fn sole_version_by_proven_view<P: Platform>(node: &Node<P>, service: &str) -> Option<SoftwareVersion> {
    let state = node.state.borrow();
    let sole = || state.software_versions.sole_version(service, node.clock.now());
    node.has_proven_view(&state).then(sole).flatten()
}

/// Returns the same without asking other nodes, which may have records that the store has forgotten.
fn sole_version_by_trusted_view<P: Platform>(node: &Node<P>, service: &str) -> Option<SoftwareVersion> {
    let now = node.clock.now();
    let state = node.state.borrow();
    node.has_proven_view(&state)
        .then(|| state.software_versions.sole_version_without_asking(service, now))
        .flatten()
}

fn own_answer<P: Platform>(node: &Node<P>, attempt: Option<&str>, service: &str) -> KeeperAnswer {
    let now = node.clock.now();
    let state = node.state.borrow();
    let found = attempt.and_then(|attempt| state.stream_versions.find(attempt, now));
    match found {
        Some(version) => KeeperAnswer::Found(version),
        None => KeeperAnswer::NotFound(match state.software_versions.within_lifetime(service, now) {
            // Others may have begun streams at another version since.
            LifetimeVersions::Sole(version) if !node.has_proven_view(&state) => {
                LifetimeVersions::Unclear(Some(version))
            }
            versions => versions,
        }),
    }
}

async fn ask<P: Platform>(node: &Node<P>, address: SocketAddr, message: &WireStreamVersion) -> KeeperAnswer {
    match timeout(FIND_TIMEOUT, call(node, address, message)).await {
        Ok(Ok(WireStreamVersionAnswer::Found(version))) => KeeperAnswer::Found(version.into()),
        Ok(Ok(WireStreamVersionAnswer::NotFound(versions))) => {
            KeeperAnswer::NotFound(versions.into_versions())
        }
        Ok(Ok(WireStreamVersionAnswer::Recorded)) | Ok(Err(_)) | Err(_) => KeeperAnswer::Unanswered,
    }
}

/// Returns the addresses of the other nodes that keep the version of an attempt's stream, in order.
fn keepers<P: Platform>(node: &Node<P>, attempt: &str) -> Vec<SocketAddr> {
    let own = &node.settings.identity.name;
    let state = node.state.borrow();
    let nodes = state.members.exchanging_nodes();
    let nodes = nodes.filter(|member| member.name != *own);
    let order = keeper_order(attempt, nodes, |member| member.name.as_str());
    let addresses = order.into_iter().filter_map(MemberEntry::peer_address);
    addresses.take(KEEPERS_ASKED).collect()
}

async fn call<P: Platform>(
    node: &Node<P>,
    address: SocketAddr,
    message: &WireStreamVersion,
) -> io::Result<WireStreamVersionAnswer> {
    let mut link = PeerLink::connect(address, silence_limit(node)).await?;
    let message = ToOrderer::StreamVersion(message.clone()).serialize_bin();
    link.send(Bytes::from(message)).await?;
    let frame = link.next().await?.ok_or(io::ErrorKind::UnexpectedEof)?;
    decode(&frame)
}

/// Answers another node's message.
pub(crate) async fn serve<P: Platform>(
    node: &Node<P>,
    mut link: PeerLink,
    message: WireStreamVersion,
) -> io::Result<()> {
    let answer = match message {
        WireStreamVersion::Record(records) => {
            for record in records {
                let lifetime = Duration::from_millis(u64::from(record.lifetime_ms));
                let version: Arc<str> = record.version.into();
                // Nodes of older builds tell long ids as they are.
                let attempt = attempt_key(&record.attempt);
                stored_streams::record(node, &attempt, &version);
                insert(node, &attempt, version, lifetime.min(MAX_STREAM_LIFETIME));
            }
            WireStreamVersionAnswer::Recorded
        }
        WireStreamVersion::Find { attempt, service } => {
            match own_answer(node, Some(&attempt_key(&attempt)), &service) {
                KeeperAnswer::Found(version) => WireStreamVersionAnswer::Found(version.to_string()),
                KeeperAnswer::NotFound(versions) => {
                    WireStreamVersionAnswer::NotFound(WireLifetimeVersions::from_versions(&versions))
                }
                KeeperAnswer::Unanswered => {
                    WireStreamVersionAnswer::NotFound(WireLifetimeVersions::Unclear(None))
                }
            }
        }
    };
    link.send(Bytes::from(answer.serialize_bin())).await
}
