//! Tests that the log of relayed changes replays exactly what it covers.

use croftrill_scheduler::relay_log::{keep_last_writes, RelayLog, Revised};
use proptest::prelude::*;

fn change(revision: u64) -> Revised<u64> {
    Revised {
        revision,
        change: revision,
        size_bytes: 10,
    }
}

fn revisions(log: &RelayLog<u64>, after: u64) -> Option<(u64, Vec<u64>)> {
    let (reached, changes) = log.since(after)?;
    Some((reached, changes.iter().map(|change| change.change).collect()))
}

#[test]
fn since_what_it_covers_tells_the_rest() {
    let mut log = RelayLog::new(1000);
    log.push(5, 8, [change(6), change(8)]);
    log.push(8, 9, []);
    assert_eq!(revisions(&log, 5), Some((9, vec![6, 8])));
    assert_eq!(revisions(&log, 7), Some((9, vec![8])));
    assert_eq!(revisions(&log, 9), Some((9, vec![])));
    assert_eq!(revisions(&log, 4), None);
    assert_eq!(revisions(&log, 10), None);
}

#[test]
fn push_after_a_gap_begins_anew() {
    let mut log = RelayLog::new(1000);
    log.push(5, 8, [change(6)]);
    log.push(10, 12, [change(11)]);
    assert_eq!(revisions(&log, 8), None);
    assert_eq!(revisions(&log, 10), Some((12, vec![11])));
}

#[test]
fn push_beyond_its_memory_forgets_the_oldest() {
    let mut log = RelayLog::new(25);
    log.push(0, 4, [change(1), change(2), change(3), change(4)]);
    assert_eq!(revisions(&log, 1), None);
    assert_eq!(revisions(&log, 2), Some((4, vec![3, 4])));
}

#[test]
fn since_an_empty_log_is_unknown() {
    assert_eq!(revisions(&RelayLog::new(1000), 0), None);
}

proptest! {
    /// Spans may overlap, repeat or leave gaps: a replay consists of all changes since the
    /// revision, once and in order.
    #[test]
    fn since_is_complete(spans in prop::collection::vec((0u64..40, 0u64..8), 1..20), most in 10usize..400, after in 0u64..50) {
        let mut log = RelayLog::new(most);
        for (from, length) in spans {
            let changes = (from + 1..=from + length).filter(|revision| revision % 3 != 0);
            log.push(from, from + length, changes.map(change));
        }
        if let Some((reached, told)) = revisions(&log, after) {
            let happened: Vec<u64> = (after + 1..=reached).filter(|revision| revision % 3 != 0).collect();
            prop_assert_eq!(told, happened);
        }
    }
}

#[test]
fn keep_last_writes_of_a_key_written_often_keeps_the_last() {
    let mut changes = vec![
        (Some("a"), 1),
        (Some("b"), 2),
        (None, 3),
        (Some("a"), 4),
        (None, 5),
    ];
    keep_last_writes(&mut changes, |(key, _)| *key);
    let kept: Vec<u64> = changes.iter().map(|(_, revision)| *revision).collect();
    assert_eq!(kept, [2, 3, 4, 5]);
}
