//! Segments of streams' versions: what is written when, and what is read.

use std::collections::HashSet;

use croftrill_scheduler::software_versions::{SoftwareVersion, MAX_STREAM_LIFETIME};
use croftrill_scheduler::stored_streams::{
    AttemptHash, SegmentQueue, StoredStream, StoredStreams, SEGMENT_INTERVAL, SEGMENT_SLOTS,
};

fn stream(attempt: &str, version: &str) -> StoredStream {
    (AttemptHash::of(attempt), version.into())
}

/// Guards against a segment that is overwritten while its streams live.
#[test]
fn take_segment_returns_to_a_slot_after_the_lifetime_of_streams() {
    let mut queue = SegmentQueue::default();
    let mut slots = HashSet::new();
    let mut taken = 0;
    loop {
        queue.push(&format!("a{taken}"), "v1".into());
        let segment = queue.take_segment().expect("a segment");
        if !slots.insert(segment.slot) {
            break;
        }
        taken += 1;
    }
    assert_eq!(slots.len(), SEGMENT_SLOTS as usize);
    assert!(SEGMENT_INTERVAL * taken >= MAX_STREAM_LIFETIME);
}

/// Guards against a late write that replaces the segment in which its streams were written again.
#[test]
fn put_back_writes_streams_into_another_slot() {
    let mut queue = SegmentQueue::default();
    queue.push("a1", "v1".into());
    let unanswered = queue.take_segment().expect("a segment");
    assert!(queue.is_empty());
    queue.put_back(unanswered.clone());
    queue.push("a2", "v2".into());
    let next = queue.take_segment().expect("a segment");
    assert_ne!(next.slot, unanswered.slot);
    assert_eq!(next.streams, [stream("a1", "v1"), stream("a2", "v2")]);
    assert_eq!(queue.take_segment(), None);
}

/// Guards against a queue that grows for as long as the store refuses writes.
#[test]
fn push_keeps_the_newest_of_too_many() {
    let mut queue = SegmentQueue::default();
    for number in 0..20_000 {
        queue.push(&number.to_string(), "v1".into());
    }
    let segments = std::iter::from_fn(|| queue.take_segment());
    let kept: StoredStreams = segments.flat_map(|segment| segment.streams).collect();
    assert_eq!(kept.len(), 16 * 1024);
    assert_eq!(kept.find("0"), None);
    assert_eq!(kept.find("19999"), Some("v1".into()));
}

/// Guards against a stream that goes on at one of two versions that segments name.
#[test]
fn find_returns_nothing_for_contradicting_segments() {
    let streams = [
        stream("a1", "v1"),
        stream("a2", "v1"),
        stream("a1", "v1"),
        stream("a2", "v2"),
        stream("a2", "v1"),
    ];
    let stored: StoredStreams = streams.into_iter().collect();
    assert_eq!(stored.find("a1"), Some(SoftwareVersion::from("v1")));
    assert_eq!(stored.find("a2"), None);
    assert_eq!(stored.find("a3"), None);
}
