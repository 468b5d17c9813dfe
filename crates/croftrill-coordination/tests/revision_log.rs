//! The revision log over a key-value service with faults.

mod support;

use croftrill_coordination::revision_log::{
    AppendOutcome, ReadOutcome, RevisionLog, Snapshot, SnapshotError,
};
use croftrill_state::entry::LogEntry;
use croftrill_state::{ClusterState, EntryId, NodeId, Revision, Term};
use support::{log_over, put_group, Fault, SimulatedService};

fn entry(revision: u64, id: u64) -> LogEntry {
    LogEntry {
        revision: Revision(revision),
        entry_id: EntryId(id),
        author: NodeId::from("author"),
        term: Term(0),
        change: put_group(&format!("plan-{id}"), &format!("group-{id}"), Revision(0)),
    }
}

/// Appends entries and returns the state after the last one.
async fn append_all(log: &RevisionLog, revisions: std::ops::RangeInclusive<u64>) -> ClusterState {
    let mut state = ClusterState::default();
    for revision in 1..=*revisions.end() {
        let entry = entry(revision, revision);
        if revisions.contains(&revision) {
            assert_eq!(log.append(&entry).await, AppendOutcome::Appended);
        }
        state.apply(&entry).unwrap();
    }
    state
}

async fn read_ids(log: &RevisionLog, after: u64) -> Vec<u64> {
    match log.read_after(Revision(after), 100).await.unwrap() {
        ReadOutcome::Entries(entries) => entries.iter().map(|entry| entry.entry_id.0).collect(),
        ReadOutcome::Compacted => panic!("compacted"),
    }
}

#[tokio::test(start_paused = true)]
async fn of_two_writers_of_a_revision_exactly_one_wins() {
    let service = SimulatedService::new();
    let (first, second) = (log_over(service.client()), log_over(service.client()));
    let (ours, theirs) = (entry(1, 10), entry(1, 20));
    let outcomes = tokio::join!(first.append(&ours), second.append(&theirs));
    match outcomes {
        (AppendOutcome::Appended, AppendOutcome::LostRace(winner)) => assert_eq!(*winner, ours),
        (AppendOutcome::LostRace(winner), AppendOutcome::Appended) => assert_eq!(*winner, theirs),
        other => panic!("{other:?}"),
    }
    assert_eq!(read_ids(&first, 0).await.len(), 1);
}

#[tokio::test(start_paused = true)]
async fn a_lost_answer_is_resolved_by_the_entry_id() {
    let service = SimulatedService::new();
    let client = service.client();
    let log = log_over(client.clone());
    client.fail_next([Fault::AnswerLost, Fault::Unreachable, Fault::RateLimited]);
    assert_eq!(log.append(&entry(1, 10)).await, AppendOutcome::Appended);
    assert_eq!(read_ids(&log, 0).await, [10]);
}

#[tokio::test(start_paused = true)]
async fn a_lost_answer_of_a_lost_race_shows_the_winner() {
    let service = SimulatedService::new();
    let client = service.client();
    let log = log_over(client.clone());
    let winner = entry(1, 10);
    assert_eq!(
        log_over(service.client()).append(&winner).await,
        AppendOutcome::Appended
    );
    client.fail_next([Fault::AnswerLost]);
    assert_eq!(
        log.append(&entry(1, 20)).await,
        AppendOutcome::LostRace(Box::new(winner))
    );
}

#[tokio::test(start_paused = true)]
async fn a_lost_call_is_offered_again_under_the_same_id() {
    let service = SimulatedService::new();
    let client = service.client();
    let log = log_over(client.clone());
    client.fail_next([Fault::CallLost]);
    assert_eq!(log.append(&entry(1, 10)).await, AppendOutcome::Appended);
}

#[tokio::test(start_paused = true)]
async fn a_delayed_write_takes_effect_once() {
    let service = SimulatedService::new();
    let client = service.client();
    let log = log_over(client.clone());
    client.fail_next([Fault::Delayed]);
    assert_eq!(log.append(&entry(1, 10)).await, AppendOutcome::Appended);
    service.deliver_delayed();
    assert_eq!(read_ids(&log, 0).await, [10]);
}

#[tokio::test(start_paused = true)]
async fn an_outcome_that_stays_unknown_is_said_so() {
    let service = SimulatedService::new();
    let client = service.client();
    let log = log_over(client.clone());
    client.fail_next([Fault::AnswerLost]);
    client.fail_next([Fault::Unreachable; 20]);
    assert_eq!(log.append(&entry(1, 10)).await, AppendOutcome::OutcomeUnknown);
}

#[tokio::test(start_paused = true)]
async fn a_refused_write_has_no_effect() {
    let service = SimulatedService::new();
    let client = service.client();
    let log = log_over(client.clone());
    client.fail_next([Fault::RateLimited]);
    let refused = AppendOutcome::Unavailable {
        retry_after_millis: 7,
    };
    assert_eq!(log.append(&entry(1, 10)).await, refused);
    assert!(read_ids(&log, 0).await.is_empty());
}

#[tokio::test(start_paused = true)]
async fn a_snapshot_in_parts_and_the_entries_after_it_give_the_state() {
    let service = SimulatedService::new();
    let log = log_over(service.client());
    let state = append_all(&log, 1..=12).await;
    let pointer = log.write_snapshot(&state, 1).await.unwrap();
    assert!(pointer.parts > 1);
    assert_eq!(pointer.floor, Revision(8));
    log.compact().await.unwrap();
    assert_eq!(service.keys("croftrill/log/").len(), 5);
    append_all(&log, 13..=14).await;
    assert_eq!(
        log.read_snapshot().await.unwrap(),
        Snapshot::State(Box::new(state))
    );
    assert_eq!(read_ids(&log, 12).await, [13, 14]);
}

#[tokio::test(start_paused = true)]
async fn parts_of_older_snapshots_are_deleted() {
    let service = SimulatedService::new();
    let log = log_over(service.client());
    let early = append_all(&log, 1..=3).await;
    log.write_snapshot(&early, 1).await.unwrap();
    let late = append_all(&log, 4..=6).await;
    let pointer = log.write_snapshot(&late, 2).await.unwrap();
    log.compact().await.unwrap();
    let parts = service.keys("croftrill/snapshot/");
    assert_eq!(parts.len(), pointer.parts as usize);
}

#[tokio::test(start_paused = true)]
async fn an_older_snapshot_never_replaces_a_later_one() {
    let service = SimulatedService::new();
    let log = log_over(service.client());
    let early = append_all(&log, 1..=3).await;
    let late = append_all(&log, 4..=6).await;
    log.write_snapshot(&late, 1).await.unwrap();
    let refused = log.write_snapshot(&early, 2).await;
    assert_eq!(refused, Err(SnapshotError::Superseded(Revision(6))));
    assert_eq!(
        log.read_snapshot().await.unwrap(),
        Snapshot::State(Box::new(late))
    );
}

#[tokio::test(start_paused = true)]
async fn a_writer_paused_past_a_compaction_learns_that_its_entry_is_void() {
    let service = SimulatedService::new();
    let log = log_over(service.client());
    let state = append_all(&log, 1..=12).await;
    log.write_snapshot(&state, 1).await.unwrap();
    log.compact().await.unwrap();
    let late = log_over(service.client());
    let void = AppendOutcome::Compacted {
        may_have_effect: true,
    };
    assert_eq!(late.append(&entry(3, 99)).await, void);
    // A second one finds that entry, which must not count as the winner.
    let lost = AppendOutcome::Compacted {
        may_have_effect: false,
    };
    assert_eq!(late.append(&entry(3, 98)).await, lost);
}

#[tokio::test(start_paused = true)]
async fn a_reader_paused_past_a_compaction_does_not_read_a_void_entry() {
    let service = SimulatedService::new();
    let log = log_over(service.client());
    let state = append_all(&log, 1..=12).await;
    log.write_snapshot(&state, 1).await.unwrap();
    log.compact().await.unwrap();
    log.append(&entry(3, 99)).await;
    let read = log.read_after(Revision(2), 100).await.unwrap();
    assert_eq!(read, ReadOutcome::Compacted);
}

#[tokio::test(start_paused = true)]
async fn a_wait_ends_with_the_next_entry() {
    let service = SimulatedService::new();
    let log = log_over(service.client());
    let other = log_over(service.client());
    let write = async {
        tokio::time::sleep(std::time::Duration::from_secs(3)).await;
        other.append(&entry(1, 10)).await
    };
    let (read, _) = tokio::join!(log.wait_after(Revision(0), 20_000), write);
    assert_eq!(read.unwrap(), ReadOutcome::Entries(vec![entry(1, 10)]));
}
