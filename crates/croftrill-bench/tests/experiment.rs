//! Tests that experiments are reproducible, that the default placement policy beats its baseline, and
//! that the size of a change does not depend on the size of the fleet.

use croftrill_bench::capacity::{measure, Size};
use croftrill_bench::experiment::{policies, simulate, Load};

#[test]
fn simulate_with_same_seed_gives_same_outcome() {
    let load = Load {
        seconds: 10,
        ..Load::default()
    };
    let usual = policies()[0];
    let (first, second) = (simulate(&load, &usual), simulate(&load, &usual));
    assert_eq!(
        (first.requests, first.warm, first.loads),
        (second.requests, second.warm, second.loads)
    );
}

#[test]
fn simulate_with_fewer_holders_of_busy_models_serves_more_requests_warm() {
    let load = Load {
        seconds: 40,
        ..Load::default()
    };
    let [usual, many_holders, _] = policies();
    let (usual, many_holders) = (simulate(&load, &usual), simulate(&load, &many_holders));
    assert!(usual.warm > many_holders.warm);
    assert!(usual.loads < many_holders.loads);
    assert!(usual.unserved <= many_holders.unserved);
}

#[test]
fn measure_change_bytes_are_the_same_at_any_size() {
    let small = measure(Size {
        replicas: 18,
        models: 61,
    });
    let large = measure(Size {
        replicas: 100,
        models: 200,
    });
    assert!(large.change_bytes <= small.change_bytes + 16);
    assert!(large.snapshot_bytes < 100 * 120);
}
