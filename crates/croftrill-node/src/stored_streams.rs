//! Keeps the versions of streams at the store while a service has several, and finds them there.
//!
//! Nodes tell them to the orderers, each of which writes them ([`SegmentQueue`]). A node reads
//! them only if it is asked for a stream that no keeper knows.

use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use croftrill_scheduler::software_versions::SoftwareVersion;
use croftrill_scheduler::stored_streams::{
    AttemptHash, Segment, SegmentQueue, StoredStream, StoredStreams, SEGMENT_INTERVAL, WRITERS,
};
use croftrill_scheduler::time::Moment;
use nanoserde::{DeBin, SerBin};
use tokio::sync::{Mutex, Notify};
use tokio::time::{sleep, timeout};

use crate::membership::MemberEntry;
use crate::metrics::Metrics;
use crate::node::{Node, NodeState};
use crate::peer::WireStreamRecord;
use crate::ports::{ConditionalPut, Freshness, KeyValueStore, Platform, StoreError, Write};
use crate::wire::{decode, WireList};

/// Prefix of the keys of segments. Earlier builds ignore them.
pub const SEGMENT_PREFIX: &str = "croftrill/streams/";
/// Time for which segments outlast the last one of their node: longer than a stream lives, and than the
/// nodes take to start again.
const SEGMENT_RETENTION: Duration = Duration::from_secs(120);
/// Minimum time between two renewals of the segments' lease.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(30);
/// Time from the first stream until a segment is written, as many come together when a roll begins.
const GATHER_TIME: Duration = Duration::from_millis(100);
/// Maximum number of streams that are kept until a writer is known.
const MAX_UNTOLD: usize = 1024;
/// Minimum time between two reads by this node.
const READ_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum time for which a caller that takes a stream up waits for a read.
const READ_TIMEOUT: Duration = Duration::from_millis(500);

/// A stream of a segment, on the wire.
#[derive(Debug, Clone, Copy, PartialEq, Eq, SerBin, DeBin)]
struct WireStoredStream {
    attempt_hash: u64,
    /// Index into the versions of the segment.
    version: u8,
}

/// A segment, on the wire.
#[derive(Debug, Clone, PartialEq, Eq, Default, SerBin, DeBin)]
struct WireSegment {
    versions: WireList<String>,
    streams: WireList<WireStoredStream>,
}

/// Returns what the store holds of streams. Those of versions beyond the 256th are left out.
pub fn encode_segment(streams: &[StoredStream]) -> Vec<u8> {
    let mut versions: Vec<String> = Vec::new();
    let mut wire: Vec<WireStoredStream> = Vec::new();
    for (attempt, version) in streams {
        let known = versions.iter().position(|known| **known == **version);
        let index = known.unwrap_or_else(|| {
            versions.push(version.to_string());
            versions.len() - 1
        });
        if let Ok(version) = u8::try_from(index) {
            let attempt_hash = attempt.0;
            wire.push(WireStoredStream {
                attempt_hash,
                version,
            });
        }
    }
    let segment = WireSegment {
        versions: versions.into(),
        streams: wire.into(),
    };
    segment.serialize_bin()
}

/// Returns the streams of a segment in an item of the store.
pub fn decode_segment(value: &[u8]) -> io::Result<Vec<StoredStream>> {
    let segment: WireSegment = decode(value)?;
    let versions: Vec<SoftwareVersion> = segment.versions.into_iter().map(SoftwareVersion::from).collect();
    let streams = segment.streams.into_iter().map(|stream| {
        let version = versions.get(usize::from(stream.version)).cloned();
        let version = version.ok_or(io::ErrorKind::InvalidData)?;
        Ok((AttemptHash(stream.attempt_hash), version))
    });
    streams.collect()
}

/// The streams that this node writes to the store, and those that it has read there.
#[derive(Debug, Default)]
pub struct StreamSegments {
    queue: RefCell<SegmentQueue>,
    pushed: Notify,
    read: Mutex<LastRead>,
    /// This node's streams that began while no writer was known.
    untold: RefCell<Vec<WireStreamRecord>>,
}

impl StreamSegments {
    /// Keeps streams until a writer is known; the oldest give way.
    pub(crate) fn keep_untold(&self, records: Vec<WireStreamRecord>) {
        let mut untold = self.untold.borrow_mut();
        untold.extend(records);
        let excess = untold.len().saturating_sub(MAX_UNTOLD);
        untold.drain(..excess);
    }

    /// Takes the streams that no writer was told of.
    pub(crate) fn take_untold(&self) -> Vec<WireStreamRecord> {
        self.untold.take()
    }
}

#[derive(Debug, Default)]
struct LastRead {
    began_at: Option<Moment>,
    streams: StoredStreams,
}

/// Returns whether a key of the store is that of a segment, which nodes read only when they need it.
pub(crate) fn is_segment(key: &str) -> bool {
    key.starts_with(SEGMENT_PREFIX)
}

/// Returns the nodes that write the versions of streams, at most [`WRITERS`].
pub(crate) fn writers(state: &NodeState) -> Vec<&MemberEntry> {
    let mut writers: Vec<&MemberEntry> = Vec::new();
    for (_, orderer) in state.members.orderers() {
        let is_known = writers.iter().any(|known| known.name == orderer.name);
        if !is_known && orderer.exchanges_configurations() {
            writers.push(orderer);
        }
    }
    writers
}

/// Returns this node's position among the writers, if it is one.
fn own_position<P: Platform>(node: &Node<P>) -> Option<usize> {
    let own = &node.settings.identity.name;
    let state = node.state.borrow();
    let position = writers(&state).iter().position(|writer| writer.name == *own);
    position
}

/// Takes the version of a stream into the next segment, if this node writes them.
pub(crate) fn record<P: Platform>(node: &Node<P>, attempt: &str, version: &SoftwareVersion) {
    if own_position(node).is_none() {
        return;
    }
    let segments = &node.stream_segments;
    let now = node.clock.now();
    segments.queue.borrow_mut().push(attempt, version.clone(), now);
    segments.pushed.notify_one();
}

/// Returns the time for which a first stream waits for others. It keeps the writers' segments apart while
/// few streams begin.
fn gather_time<P: Platform>(node: &Node<P>) -> Duration {
    let position = own_position(node).unwrap_or_default();
    GATHER_TIME + SEGMENT_INTERVAL * position as u32 / WRITERS as u32
}

/// Writes segments while there are streams to write, until the process ends.
pub(crate) async fn maintain<P: Platform>(node: Rc<Node<P>>, life: u64) {
    let segments = &node.stream_segments;
    let mut lease: Option<SegmentLease> = None;
    loop {
        wait_until_due(&node).await;
        let taken = segments.queue.borrow_mut().take_segment(node.clock.now());
        let Some(segment) = taken else {
            continue;
        };
        let written = write(&node, life, &segment, &mut lease).await;
        let outcome = if written.is_ok() { "written" } else { "not written" };
        Metrics::count(&node.metrics.stream_versions, "segment", outcome);
        let (slot, streams) = (segment.slot, segment.streams.len());
        match written {
            Ok(()) => {
                tracing::debug!(target: "stream version", event = "segment written", slot, streams);
            }
            Err(error) => {
                tracing::warn!(target: "stream version", event = "segment not written", slot, streams, %error);
                sleep(SEGMENT_INTERVAL).await;
                let now = node.clock.now();
                segments.queue.borrow_mut().put_back(segment, now);
            }
        }
    }
}

async fn wait_until_due<P: Platform>(node: &Node<P>) {
    let segments = &node.stream_segments;
    loop {
        let due_at = segments.queue.borrow().due_at(gather_time(node));
        let Some(due_at) = due_at else {
            segments.pushed.notified().await;
            continue;
        };
        if due_at <= node.clock.now() {
            return;
        }
        tokio::select! {
            () = node.clock.sleep_until(due_at) => {}
            () = segments.pushed.notified() => {}
        }
    }
}

/// The lease that this node's segments are bound to.
#[derive(Debug, Clone, Copy)]
struct SegmentLease {
    id: u64,
    renewed_at: Moment,
}

async fn write<P: Platform>(
    node: &Node<P>,
    life: u64,
    segment: &Segment,
    lease: &mut Option<SegmentLease>,
) -> Result<(), StoreError> {
    let usable = usable_lease(node, *lease).await?;
    *lease = Some(usable);
    let write = Write {
        key: format!(
            "{SEGMENT_PREFIX}{}.{life:x}/{}",
            node.settings.identity.name, segment.slot
        ),
        value: Bytes::from(encode_segment(&segment.streams)),
        lease: usable.id,
    };
    let put = ConditionalPut {
        conditions: Vec::new(),
        writes: vec![write],
    };
    let written = node.store().put(put).await;
    if written == Err(StoreError::NoSuchLease) {
        *lease = None;
    }
    written.map(|_| ())
}

/// Returns the lease, renewed if that is due, or a new one.
async fn usable_lease<P: Platform>(
    node: &Node<P>,
    lease: Option<SegmentLease>,
) -> Result<SegmentLease, StoreError> {
    let now = node.clock.now();
    let renewed = match lease {
        Some(lease) if now.since(lease.renewed_at) < RENEWAL_INTERVAL => return Ok(lease),
        Some(lease) => node.store().renew_lease(lease.id).await.map(|()| lease.id),
        None => Err(StoreError::NoSuchLease),
    };
    let id = match renewed {
        Err(StoreError::NoSuchLease) => node.store().grant_lease(SEGMENT_RETENTION).await?,
        renewed => renewed?,
    };
    Ok(SegmentLease { id, renewed_at: now })
}

/// Returns the version of the stream that an attempt began, if the store has it.
pub(crate) async fn find<P: Platform>(node: &Node<P>, attempt: &str) -> Option<SoftwareVersion> {
    let asked_at = node.clock.now();
    let found = timeout(READ_TIMEOUT, async {
        let mut read = node.stream_segments.read.lock().await;
        if let Some(version) = read.streams.find(attempt) {
            return Some(version);
        }
        let is_recent = |began_at: Moment| asked_at.since(began_at) < READ_INTERVAL;
        if !read.began_at.is_some_and(is_recent) {
            read.began_at = Some(asked_at);
            read.streams = read_all(node).await?;
        }
        read.streams.find(attempt)
    });
    found.await.ok().flatten()
}

/// Reads all segments. What the store wrote last may be missing.
async fn read_all<P: Platform>(node: &Node<P>) -> Option<StoredStreams> {
    let read = node
        .store()
        .range(SEGMENT_PREFIX, Freshness::MayLag, READ_TIMEOUT)
        .await;
    let snapshot = match read {
        Ok(snapshot) => snapshot,
        Err(error) => {
            tracing::info!(target: "stream version", event = "segments not read", %error);
            return None;
        }
    };
    let segments = snapshot.items.iter().filter_map(|item| {
        let decoded = decode_segment(&item.value);
        decoded
            .inspect_err(|error| {
                tracing::warn!(target: "stream version", event = "segment cannot be read", key = item.key, %error);
            })
            .ok()
    });
    let streams: StoredStreams = segments.flatten().collect();
    tracing::info!(target: "stream version", event = "segments read", segments = snapshot.items.len(),
        streams = streams.len());
    Some(streams)
}
