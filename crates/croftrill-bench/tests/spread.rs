//! The choice among uneven replicas, with old, lost and false news, in simulated time.

use std::time::Duration;

use croftrill_bench::spread::{play, News, SpreadRun, Way};

/// Half of the places are taken in the mean: none needs to wait.
const DEMAND_PER_S: f64 = 500.0;
/// Part of the streams that may wait although others have room.
const MOST_WAITING: f64 = 0.02;

fn run(nodes: usize, news: News) -> SpreadRun {
    SpreadRun {
        nodes,
        way: Way::Chosen,
        news,
        demand_per_s: DEMAND_PER_S,
        seed: 7,
        length: Duration::from_secs(10),
    }
}

/// Nodes that hear of loads a second late all went to the replica that was empty then.
#[test]
fn old_news_draws_no_herd() {
    for nodes in [7, 65] {
        for age in [Duration::from_millis(200), Duration::from_secs(1)] {
            let outcome = play(run(nodes, News::After(age)));
            assert!(
                outcome.waited < MOST_WAITING,
                "{nodes} nodes, {age:?}: {outcome:?}"
            );
            assert_eq!(outcome.rejected, 0.0);
        }
    }
}

/// Each node hears a replica once in some ten seconds, and nothing from the others.
#[test]
fn nodes_that_hear_nothing_of_others_fill_no_replica() {
    let outcome = play(run(65, News::None));
    assert!(outcome.waited < MOST_WAITING, "{outcome:?}");
}

/// Half of the accounts do not come.
#[test]
fn lost_news_fills_no_replica() {
    let outcome = play(run(65, News::Lost(Duration::from_millis(200))));
    assert!(outcome.waited < MOST_WAITING, "{outcome:?}");
}

/// Replicas that tell that they are empty get more than their part, but the others serve.
#[test]
fn false_news_costs_less_than_going_by_it_alone() {
    let lies = News::False(Duration::from_millis(200));
    let drawn = play(run(65, lies));
    let least_cost = play(SpreadRun {
        way: Way::LeastCost,
        ..run(65, lies)
    });
    assert!(drawn.rejected < least_cost.rejected, "{drawn:?} {least_cost:?}");
    assert!(drawn.late < least_cost.late, "{drawn:?} {least_cost:?}");
}

/// The same run twice.
#[test]
fn play_depends_on_nothing_but_the_run() {
    let news = News::After(Duration::from_millis(200));
    assert_eq!(play(run(7, news)), play(run(7, news)));
}
