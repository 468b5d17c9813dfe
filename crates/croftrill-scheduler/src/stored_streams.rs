//! Versions of streams, as the store keeps them while a service has several.
//!
//! The keepers of streams' versions lose them if all nodes end at once. One node therefore writes those
//! that it is told to the store as well: a segment at a time, into a fixed number of slots that are
//! overwritten in turn.
//!
//! Safety: the version of a stream never changes, so a segment stays true whatever its age. It needs no
//! condition and may be read from a copy that lags behind. If it is lost or overwritten, its streams go on
//! nowhere. An attempt that two segments name with different versions counts as unknown.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::software_versions::SoftwareVersion;

/// Minimum time between two segments of a node. What began within it before all nodes end goes on nowhere,
/// a part of even the shortest streams that callers take up.
pub const SEGMENT_INTERVAL: Duration = Duration::from_secs(1);
/// Number of slots that a node writes in turn. With the interval between two segments, one stays for longer
/// than a stream lives.
pub const SEGMENT_SLOTS: u32 = 64;
/// Maximum number of streams in a segment, about 9 KB.
const MAX_SEGMENT_STREAMS: usize = 1024;
/// Maximum number of streams that wait to be written; the oldest give way.
const MAX_WAITING: usize = 16 * 1024;

/// Hash of the id of the attempt that began a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct AttemptHash(pub u64);

impl AttemptHash {
    /// Returns the hash of an attempt's id.
    pub fn of(attempt: &str) -> Self {
        AttemptHash(xxh3_64(attempt.as_bytes()))
    }
}

/// A stream with the version that wrote its first event.
pub type StoredStream = (AttemptHash, SoftwareVersion);

/// Streams that are written to the store at once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Segment {
    /// The slot, from 0 on.
    pub slot: u32,
    /// The streams.
    pub streams: Vec<StoredStream>,
}

/// The streams that a node is to write to the store.
#[derive(Debug, Default)]
pub struct SegmentQueue {
    waiting: VecDeque<StoredStream>,
    next_slot: u32,
}

impl SegmentQueue {
    /// Adds a stream.
    pub fn push(&mut self, attempt: &str, version: SoftwareVersion) {
        self.push_all([(AttemptHash::of(attempt), version)]);
    }

    /// Adds the streams of a segment that may not have been written. They go into a later slot: the write may
    /// still be executed, and would replace a newer segment in the same one.
    pub fn put_back(&mut self, segment: Segment) {
        self.push_all(segment.streams);
    }

    fn push_all(&mut self, streams: impl IntoIterator<Item = StoredStream>) {
        self.waiting.extend(streams);
        let excess = self.waiting.len().saturating_sub(MAX_WAITING);
        self.waiting.drain(..excess);
    }

    /// Returns whether there is nothing to write.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Takes the next segment, if there is something to write. Must not be called more often than each
    /// [`SEGMENT_INTERVAL`].
    pub fn take_segment(&mut self) -> Option<Segment> {
        if self.waiting.is_empty() {
            return None;
        }
        let count = self.waiting.len().min(MAX_SEGMENT_STREAMS);
        let slot = self.next_slot;
        self.next_slot = (slot + 1) % SEGMENT_SLOTS;
        Some(Segment {
            slot,
            streams: self.waiting.drain(..count).collect(),
        })
    }
}

/// The versions of streams that the store holds.
#[derive(Debug, Clone, Default)]
pub struct StoredStreams {
    /// Versions by attempt; `None` where segments contradict each other.
    versions: HashMap<AttemptHash, Option<SoftwareVersion>>,
}

impl StoredStreams {
    /// Returns the version of the stream that an attempt began, if it is known.
    pub fn find(&self, attempt: &str) -> Option<SoftwareVersion> {
        self.versions.get(&AttemptHash::of(attempt)).cloned().flatten()
    }

    /// Returns the number of streams.
    pub fn len(&self) -> usize {
        self.versions.len()
    }

    /// Returns whether there are no streams.
    pub fn is_empty(&self) -> bool {
        self.versions.is_empty()
    }
}

impl FromIterator<StoredStream> for StoredStreams {
    fn from_iter<I: IntoIterator<Item = StoredStream>>(streams: I) -> Self {
        let mut versions: HashMap<AttemptHash, Option<SoftwareVersion>> = HashMap::new();
        for (attempt, version) in streams {
            let known = versions.entry(attempt).or_insert_with(|| Some(version.clone()));
            if known.as_ref() != Some(&version) {
                *known = None;
            }
        }
        StoredStreams { versions }
    }
}
