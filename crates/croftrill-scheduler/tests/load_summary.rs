//! Summaries of the load of replicas.

use std::time::Duration;

use croftrill_scheduler::capacity::ReplicaLoad;
use croftrill_scheduler::load_summary::{by_service, JudgedLoad, ServiceLoad};
use croftrill_scheduler::replica::{Holdings, ReplicaListing, ReplicaState};
use croftrill_scheduler::replica_table::ReplicaTable;
use croftrill_scheduler::time::Moment;

fn at(ms: u64) -> Moment {
    Moment::from_start(Duration::from_millis(60_000 + ms))
}

/// A table of ready replicas with twelve slots.
fn table(ids: &[&str]) -> ReplicaTable {
    let mut table = ReplicaTable::new();
    for id in ids {
        table.apply_listing(ReplicaListing {
            id: (*id).into(),
            service: "llm".into(),
            address: "127.0.0.1:1".into(),
            zone: "a".into(),
            slots: 12,
            state: ReplicaState::Ready,
            leaves_in: None,
            born_ms: None,
            holdings: Holdings::default(),
        });
    }
    table
}

fn load(running: u32, waiting: u32, work_time_pct: Option<u32>) -> ReplicaLoad {
    ReplicaLoad {
        running,
        waiting,
        slots: None,
        work_time_pct,
    }
}

#[test]
fn by_service_counts_replicas_that_told_lately() {
    let mut table = table(&["r1", "r2", "r3", "r4"]);
    table.told_load("r1", load(12, 4, None), at(0));
    table.told_load("r2", load(2, 0, None), at(100));
    table.told_load("r3", load(9, 0, None), at(0) - Duration::from_secs(2));
    let services = by_service(&table, at(200));
    let service = services["llm"];
    let expected = ServiceLoad {
        replicas: 2,
        requests: 18,
        busiest: 16,
        free: 10,
        full: 1,
        slow: 0,
    };
    assert_eq!(service, expected);
    assert!((service.spread() - 16.0 / 9.0).abs() < 1e-9);
}

#[test]
fn by_service_of_idle_replicas_has_an_even_spread() {
    let mut table = table(&["r1", "r2"]);
    table.told_load("r1", load(0, 0, None), at(0));
    assert_eq!(by_service(&table, at(0))["llm"].spread(), 1.0);
}

#[test]
fn judged_load_of_a_slow_replica_tells_usual_and_present_speed() {
    let mut table = table(&["r1", "r2"]);
    for ms in 0..5 {
        table.told_load("r1", load(1, 0, Some(100)), at(100 * ms));
    }
    let judged = |table: &ReplicaTable, id: &str, ms: u64| {
        let entry = table.get(id).expect("the replica is listed");
        JudgedLoad::of(entry, at(ms))
    };
    assert!(!judged(&table, "r1", 500).expect("a load was reported").is_slow());
    table.told_load("r1", load(1, 0, Some(250)), at(500));
    let slowed = judged(&table, "r1", 500).expect("a load was reported");
    assert!(slowed.is_slow() && !slowed.is_full());
    assert_eq!((slowed.speed, slowed.speed_now), (1.0, 0.4));
    assert_eq!(judged(&table, "r2", 500), None);
}
