//! When other nodes are asked for a path to a replica.

use std::time::Duration;

use croftrill_scheduler::replica_paths::{PathChoice, ReplicaPaths};

fn millis(value: u64) -> Duration {
    Duration::from_millis(value)
}

/// The own path has failed once it takes several times longer than connections usually do, whatever the
/// request's route.
#[test]
fn head_start_by_usual_connect_time() {
    let mut paths = ReplicaPaths::default();
    assert_eq!(paths.head_start(PathChoice::Own), millis(40), "nothing is known");
    (0..50).for_each(|_| paths.record_connect_time(millis(2)));
    assert_eq!(paths.head_start(PathChoice::Own), millis(40));
    (0..100).for_each(|_| paths.record_connect_time(millis(20)));
    let between_zones = paths.head_start(PathChoice::Own);
    assert!(
        between_zones > millis(79) && between_zones <= millis(80),
        "{between_zones:?}"
    );
    (0..100).for_each(|_| paths.record_connect_time(millis(90)));
    assert_eq!(paths.head_start(PathChoice::Own), millis(100));
}

#[test]
fn head_start_short_while_paths_are_in_doubt() {
    let paths = ReplicaPaths::default();
    assert_eq!(paths.head_start(PathChoice::Suspect), millis(10));
    assert_eq!(paths.head_start(PathChoice::Tunnel), Duration::ZERO);
}
