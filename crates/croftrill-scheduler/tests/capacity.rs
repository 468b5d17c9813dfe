//! Capacity of replicas as reported in their responses.

use std::time::Duration;

use croftrill_scheduler::capacity::{Capacity, ReplicaLoad};
use croftrill_scheduler::time::Moment;

fn at(ms: u64) -> Moment {
    Moment::from_start(Duration::from_millis(ms))
}

fn load(running: u32, work_time_pct: Option<u32>) -> ReplicaLoad {
    ReplicaLoad {
        running,
        waiting: 0,
        slots: Some(24),
        work_time_pct,
    }
}

#[test]
fn hear_an_older_account_changes_nothing() {
    let mut capacity = Capacity::default();
    capacity.hear(load(3, Some(160)), 0, at(500));
    capacity.hear(load(20, Some(400)), 0, at(400));
    assert_eq!(capacity.newest(), Some((load(3, Some(160)), at(500))));
    assert!((capacity.speed() - 0.625).abs() < 1e-9);
}

#[test]
fn speed_of_a_replica_that_tells_no_work_time_is_the_usual() {
    let mut capacity = Capacity::default();
    capacity.hear(load(3, None), 0, at(0));
    assert!(!capacity.tells_work_time());
    assert_eq!(capacity.speed(), 1.0);
    assert_eq!(capacity.speed_now(at(0)), 1.0);
}

#[test]
fn speed_outlasts_a_short_disturbance() {
    let mut capacity = Capacity::default();
    for ms in 0..8 {
        let pct = if ms % 3 == 2 { 150 } else { 60 };
        capacity.hear(load(1, Some(pct)), 0, at(100 * ms));
    }
    capacity.hear(load(1, Some(150)), 0, at(800));
    assert!((capacity.speed() - 1.0 / 0.6).abs() < 1e-9);
    assert!((capacity.speed_now(at(900)) - 1.0 / 1.5).abs() < 1e-9);
    assert!(
        (capacity.speed_now(at(5000)) - 1.0 / 0.6).abs() < 1e-9,
        "an old report doesn't count as the current speed"
    );
}

#[test]
fn others_leaves_out_own_requests_and_fades() {
    let mut capacity = Capacity::default();
    capacity.hear(load(10, None), 4, at(0));
    assert_eq!(capacity.others(at(0)), 6.0);
    assert!(capacity.others(at(700)) < 2.3);
    assert!(capacity.others(at(10_000)) < 0.01);
}

/// Placement decisions must agree between nodes that received different responses.
#[test]
fn lasting_speed_usual_until_told_often() {
    let mut capacity = Capacity::default();
    capacity.hear(load(1, Some(150)), 0, at(0));
    capacity.hear(load(1, Some(60)), 0, at(100));
    assert_eq!(capacity.lasting_speed(), 1.0);
    capacity.hear(load(1, Some(60)), 0, at(200));
    assert!((capacity.lasting_speed() - 1.0 / 0.6).abs() < 1e-9);
    let mut other = Capacity::default();
    for ms in 0..3 {
        other.hear(load(1, Some(61)), 0, at(ms));
    }
    assert_eq!(capacity.speed_class(), other.speed_class());
}
