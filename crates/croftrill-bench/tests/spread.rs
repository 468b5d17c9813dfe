//! Tests the choice among replicas of different speed under late, lost and false load updates, in
//! simulated time.

use std::time::Duration;

use croftrill_bench::spread::{simulate, LoadUpdates, RoutingPolicy, SpreadRun};

/// Rate at which half of the slots are in use on average, so that no stream needs to wait.
const DEMAND_PER_S: f64 = 500.0;
/// Maximum fraction of streams that may wait although other replicas have free slots.
const MAX_WAITED_FRACTION: f64 = 0.02;

fn run(nodes: usize, updates: LoadUpdates) -> SpreadRun {
    SpreadRun {
        nodes,
        policy: RoutingPolicy::Chosen,
        updates,
        demand_per_s: DEMAND_PER_S,
        seed: 7,
        length: Duration::from_secs(10),
    }
}

/// Guards against herding: nodes that receive loads a second late all choose the replica that was
/// empty then.
#[test]
fn simulate_with_late_updates_does_not_herd() {
    for nodes in [7, 65] {
        for age in [Duration::from_millis(200), Duration::from_secs(1)] {
            let outcome = simulate(run(nodes, LoadUpdates::After(age)));
            assert!(
                outcome.waited < MAX_WAITED_FRACTION,
                "{nodes} nodes, {age:?}: {outcome:?}"
            );
            assert_eq!(outcome.rejected, 0.0);
        }
    }
}

/// Without updates, a node observes the load of a replica only about once in ten seconds.
#[test]
fn simulate_without_updates_overloads_no_replica() {
    let outcome = simulate(run(65, LoadUpdates::None));
    assert!(outcome.waited < MAX_WAITED_FRACTION, "{outcome:?}");
}

/// Half of the load updates are lost.
#[test]
fn simulate_with_lost_updates_overloads_no_replica() {
    let outcome = simulate(run(65, LoadUpdates::Lost(Duration::from_millis(200))));
    assert!(outcome.waited < MAX_WAITED_FRACTION, "{outcome:?}");
}

/// Replicas that falsely report to be empty receive more than their share, but the others still serve.
#[test]
fn simulate_with_false_updates_beats_least_cost() {
    let false_updates = LoadUpdates::False(Duration::from_millis(200));
    let drawn = simulate(run(65, false_updates));
    let least_cost = simulate(SpreadRun {
        policy: RoutingPolicy::LeastCost,
        ..run(65, false_updates)
    });
    assert!(drawn.rejected < least_cost.rejected, "{drawn:?} {least_cost:?}");
    assert!(drawn.late < least_cost.late, "{drawn:?} {least_cost:?}");
}

/// Guards against hidden state or randomness in a run.
#[test]
fn simulate_same_run_gives_same_outcome() {
    let updates = LoadUpdates::After(Duration::from_millis(200));
    assert_eq!(simulate(run(7, updates)), simulate(run(7, updates)));
}
