//! How long a request is expected to run.

use std::time::Duration;

use croftrill_scheduler::replica::{Holdings, ReplicaListing, ReplicaState};
use croftrill_scheduler::replica_estimate::run_time;
use croftrill_scheduler::replica_table::ReplicaTable;
use croftrill_scheduler::time::Moment;
use croftrill_scheduler::work::RequestWork;

fn work(output_tokens: u64) -> RequestWork {
    RequestWork {
        prompt_tokens: 1_000,
        output_tokens,
    }
}

/// Returns a table with a service of which a request with so many tokens ran for 300 ms.
fn table_after_run(output_tokens: u64) -> ReplicaTable {
    let mut table = ReplicaTable::new();
    table.apply_listing(ReplicaListing {
        id: "i-1".into(),
        service: "llm".into(),
        address: "127.0.0.1:1".into(),
        zone: "a".into(),
        slots: 8,
        state: ReplicaState::Ready,
        leaves_in: None,
        started_ms: None,
        holdings: Holdings::default(),
    });
    table.begin_send("i-1", work(output_tokens), Moment::default());
    table.record_run_time("i-1", Duration::from_millis(300));
    table
}

#[test]
fn run_time_by_tokens_before_first_run() {
    assert_eq!(run_time(work(100), None), Duration::from_millis(30 + 650));
    assert_eq!(run_time(RequestWork::default(), None), Duration::ZERO);
}

#[test]
fn run_time_in_proportion_to_output() {
    let table = table_after_run(50);
    let profile = table.usual_run("llm");
    assert_eq!(run_time(work(50), profile), Duration::from_millis(300));
    assert_eq!(run_time(work(100), profile), Duration::from_millis(600));
    assert_eq!(
        run_time(work(0), profile),
        Duration::from_millis(300),
        "unknown output"
    );
}

/// A service without models names no tokens.
#[test]
fn run_time_without_tokens_is_the_usual() {
    let table = table_after_run(0);
    assert_eq!(
        run_time(work(100), table.usual_run("llm")),
        Duration::from_millis(300)
    );
}
