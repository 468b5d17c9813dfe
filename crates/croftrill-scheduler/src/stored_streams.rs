//! Versions of streams, as the store keeps them while a service has several.
//!
//! The keepers of streams' versions lose them if all nodes end at once. [`WRITERS`] nodes therefore write
//! those that they are told to the store as well: a segment at a time, into a fixed number of slots that
//! are overwritten in turn.
//!
//! Safety: the version of a stream never changes, so a segment stays true whatever its age. It needs no
//! condition and may be read from a copy that lags behind. If it is lost or overwritten, its streams go on
//! nowhere. An attempt that two segments name with different versions counts as unknown.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::shard::SHARD_COUNT;
use crate::software_versions::SoftwareVersion;
use crate::time::Moment;

/// Number of nodes that write all streams, as some of them may not reach the store.
pub const WRITERS: usize = SHARD_COUNT;
/// Time between two segments of a node while few streams begin.
pub const SEGMENT_INTERVAL: Duration = Duration::from_secs(1);
/// Minimum time between two segments of a node, however many streams begin.
pub const MIN_SEGMENT_INTERVAL: Duration = Duration::from_millis(100);
/// Number of slots that a node writes in turn. With the minimum time between two segments, one stays for
/// longer than a stream lives.
pub const SEGMENT_SLOTS: u32 = 640;
/// Number of streams that are written before [`SEGMENT_INTERVAL`] is over: those that wait when all nodes
/// end go on nowhere.
const PROMPT_STREAMS: usize = 6;
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
    /// When the first one that waits was added.
    waiting_since: Moment,
    /// When the last segment was taken.
    taken_at: Option<Moment>,
    next_slot: u32,
}

impl SegmentQueue {
    /// Adds a stream.
    pub fn push(&mut self, attempt: &str, version: SoftwareVersion, now: Moment) {
        self.push_all([(AttemptHash::of(attempt), version)], now);
    }

    /// Adds the streams of a segment that may not have been written. They go into a later slot: the write may
    /// still be executed, and would replace a newer segment in the same one.
    pub fn put_back(&mut self, segment: Segment, now: Moment) {
        self.push_all(segment.streams, now);
    }

    fn push_all(&mut self, streams: impl IntoIterator<Item = StoredStream>, now: Moment) {
        if self.waiting.is_empty() {
            self.waiting_since = now;
        }
        self.waiting.extend(streams);
        let excess = self.waiting.len().saturating_sub(MAX_WAITING);
        self.waiting.drain(..excess);
    }

    /// Returns when the next segment is due, if there is something to write. `gather` is the time for which
    /// the first stream waits for others.
    pub fn due_at(&self, gather: Duration) -> Option<Moment> {
        if self.waiting.is_empty() {
            return None;
        }
        let after_last = |interval| self.taken_at.map_or(Moment::default(), |at| at + interval);
        if self.waiting.len() >= PROMPT_STREAMS {
            return Some(after_last(MIN_SEGMENT_INTERVAL));
        }
        let gathered_at = self.waiting_since + gather;
        Some(gathered_at.max(after_last(SEGMENT_INTERVAL)))
    }

    /// Takes the next segment, if there is something to write. Must not be called before it is due.
    pub fn take_segment(&mut self, now: Moment) -> Option<Segment> {
        if self.waiting.is_empty() {
            return None;
        }
        let count = self.waiting.len().min(MAX_SEGMENT_STREAMS);
        let slot = self.next_slot;
        self.next_slot = (slot + 1) % SEGMENT_SLOTS;
        self.taken_at = Some(now);
        self.waiting_since = now;
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
