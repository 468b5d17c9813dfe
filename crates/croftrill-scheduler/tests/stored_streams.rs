//! Segments of streams' versions: what is written when, and what is read.

use std::collections::HashSet;
use std::time::Duration;

use croftrill_scheduler::software_versions::{SoftwareVersion, MAX_STREAM_LIFETIME};
use croftrill_scheduler::stored_streams::{AttemptHash, SegmentQueue, StoredStream, StoredStreams};
use croftrill_scheduler::time::Moment;

fn stream(attempt: &str, version: &str) -> StoredStream {
    (AttemptHash::of(attempt), version.into())
}

fn at(ms: u64) -> Moment {
    Moment::from_start(Duration::from_millis(ms))
}

const GATHER: Duration = Duration::from_millis(100);

/// Guards against a segment that is overwritten while its streams live, however many begin.
#[test]
fn take_segment_returns_to_a_slot_after_the_lifetime_of_streams() {
    let mut queue = SegmentQueue::default();
    let (mut slots, mut now) = (HashSet::new(), at(0));
    loop {
        for number in 0..20 {
            queue.push(&format!("{now:?}-{number}"), "v1".into(), now);
        }
        now = queue.due_at(GATHER).expect("it is due").max(now);
        let segment = queue.take_segment(now).expect("a segment");
        if !slots.insert(segment.slot) {
            break;
        }
    }
    assert!(now.since(at(0)) >= MAX_STREAM_LIFETIME);
}

/// Guards against a write for each stream, and against many streams that wait for the next segment.
#[test]
fn due_at_is_earlier_while_many_streams_begin() {
    let mut queue = SegmentQueue::default();
    assert_eq!(queue.due_at(GATHER), None);
    queue.push("a1", "v1".into(), at(5000));
    assert_eq!(queue.due_at(GATHER), Some(at(5100)));
    assert!(queue.take_segment(at(5100)).is_some());
    queue.push("a2", "v1".into(), at(5150));
    assert_eq!(queue.due_at(GATHER), Some(at(6100)));
    for number in 0..5 {
        queue.push(&format!("b{number}"), "v1".into(), at(5160));
    }
    assert_eq!(queue.due_at(GATHER), Some(at(5200)));
}

/// Guards against a late write that replaces the segment in which its streams were written again.
#[test]
fn put_back_writes_streams_into_another_slot() {
    let mut queue = SegmentQueue::default();
    queue.push("a1", "v1".into(), at(0));
    let unanswered = queue.take_segment(at(100)).expect("a segment");
    assert_eq!(queue.due_at(GATHER), None);
    queue.put_back(unanswered.clone(), at(1100));
    queue.push("a2", "v2".into(), at(1150));
    let next = queue.take_segment(at(1200)).expect("a segment");
    assert_ne!(next.slot, unanswered.slot);
    assert_eq!(next.streams, [stream("a1", "v1"), stream("a2", "v2")]);
    assert_eq!(queue.take_segment(at(2200)), None);
}

/// Guards against a queue that grows for as long as the store refuses writes.
#[test]
fn push_keeps_the_newest_of_too_many() {
    let mut queue = SegmentQueue::default();
    for number in 0..20_000 {
        queue.push(&number.to_string(), "v1".into(), at(0));
    }
    let segments = std::iter::from_fn(|| queue.take_segment(at(100)));
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
