//! Tests of demand rates, and of the cost of a missing model.

use std::time::Duration;

use croftrill_scheduler::demand::{Demand, DemandSample, ModelKey};
use croftrill_scheduler::placement::lost_share;
use croftrill_scheduler::time::Moment;

fn at(millis: u64) -> Moment {
    Moment::from_start(Duration::from_millis(1_000_000 + millis))
}

fn key(model: &str) -> ModelKey {
    ModelKey {
        service: "llm".into(),
        model: model.into(),
        adapter: None,
    }
}

fn sample(caller_time_ms: u64) -> DemandSample {
    DemandSample {
        requests: 1.0,
        tokens: 1000.0,
        caller_time: Duration::from_millis(caller_time_ms),
        late: 0.0,
    }
}

/// Counts a request every `every_ms` from `from_ms` to `until_ms`.
fn count_requests(demand: &mut Demand, model: &str, every_ms: u64, from_ms: u64, until_ms: u64) {
    for millis in (from_ms..until_ms).step_by(every_ms as usize) {
        demand.count(&key(model), &sample(1000), at(millis));
    }
}

#[test]
fn sustained_requests_per_second_is_steady_for_rare_model() {
    for millis in [15_000, 16_500, 29_000] {
        let mut demand = Demand::new();
        count_requests(&mut demand, "rare", 3000, 0, millis);
        let rate = demand.sustained_requests_per_second(&key("rare"), at(millis));
        assert!((0.2..0.5).contains(&rate), "{rate} at {millis} ms");
    }
}

/// Guards against replacing rare models by one another on noise alone: the rate with the short
/// time constant falls by half between two requests for a rare model.
#[test]
fn sustained_requests_per_second_varies_less_than_fast_rate() {
    let mut demand = Demand::new();
    count_requests(&mut demand, "rare", 6000, 0, 60_001);
    let late = at(65_900);
    let fast = demand.requests_per_second(&key("rare"), late);
    let sustained = demand.sustained_requests_per_second(&key("rare"), late);
    assert!(sustained > 1.2 * fast, "sustained {sustained}, fast {fast}");
}

/// A busy model without further requests must not keep its replicas because of past demand.
#[test]
fn sustained_requests_per_second_falls_when_requests_stop() {
    let mut demand = Demand::new();
    count_requests(&mut demand, "busy", 50, 0, 20_000);
    count_requests(&mut demand, "rare", 3000, 0, 28_000);
    let busy = demand.sustained_requests_per_second(&key("busy"), at(20_000));
    assert!(busy > 15.0, "{busy}");
    let silent = demand.sustained_requests_per_second(&key("busy"), at(28_000));
    let rare = demand.sustained_requests_per_second(&key("rare"), at(28_000));
    assert!(silent < rare, "silent {silent}, rare {rare}");
}

#[test]
fn caller_time_is_the_mean() {
    let mut demand = Demand::new();
    assert_eq!(demand.caller_time(&key("m")), None);
    demand.count(&key("m"), &sample(500), at(0));
    demand.count(&key("m"), &sample(1500), at(0));
    assert_eq!(demand.caller_time(&key("m")), Some(Duration::from_secs(1)));
}

/// Callers arrive evenly while a load takes as long as they wait, half as long, or twice.
#[test]
fn lost_share_by_time_until_ready() {
    let caller_time = Duration::from_secs(4);
    let lost = |millis| lost_share(Duration::from_millis(millis), caller_time);
    assert_eq!(lost(0), 0.0);
    assert_eq!(lost(2000), 0.25);
    assert_eq!(lost(4000), 0.5);
    assert_eq!(lost(8000), 0.75);
    let shares: Vec<f64> = (0..100).map(|step| lost(step * 200)).collect();
    assert!(
        shares.windows(2).all(|pair| pair[0] < pair[1]),
        "a longer load costs more"
    );
    assert!(lost(1_000_000) < 1.0);
    assert_eq!(lost_share(Duration::from_millis(1), Duration::ZERO), 1.0);
}

#[test]
fn late_share_starts_small_and_follows_late_requests() {
    let mut demand = Demand::new();
    let untouched = demand.late_share(&key("m1"), at(0));
    assert!(untouched > 0.0 && untouched < 0.1);
    count_requests(&mut demand, "m1", 100, 0, 5000);
    assert!(demand.late_share(&key("m1"), at(5000)) <= untouched);
    let late = DemandSample {
        requests: 0.0,
        late: 5.0,
        ..sample(1000)
    };
    for millis in [3000, 3500, 4000, 4500, 5000] {
        demand.count(&key("m1"), &late, at(millis));
    }
    let crowded = demand.late_share(&key("m1"), at(5000));
    assert!((0.2..0.8).contains(&crowded), "{crowded}");
    assert!(demand.late_share(&key("m1"), at(40_000)) < crowded);
}

/// One long prompt delays all streams at its replica, which another holder would not change.
/// Counting each late stream made models with few slots evict one another.
#[test]
fn late_share_of_one_occasion_is_the_minimum() {
    let mut demand = Demand::new();
    count_requests(&mut demand, "m1", 100, 0, 5000);
    let calm = demand.late_share(&key("m1"), at(5000));
    let late = DemandSample {
        requests: 0.0,
        late: 5.0,
        ..sample(1000)
    };
    for millis in [4800, 4900, 5000] {
        demand.count(&key("m1"), &late, at(millis));
    }
    assert_eq!(demand.late_share(&key("m1"), at(5000)), calm);
}

#[test]
fn count_late_requests_alone_is_no_request() {
    let mut demand = Demand::new();
    let late = DemandSample {
        requests: 0.0,
        late: 3.0,
        ..sample(1000)
    };
    demand.count(&key("m1"), &late, at(0));
    assert_eq!(demand.last_request(&key("m1")), None);
    assert!(demand.late_share(&key("m1"), at(0)) < 1.0);
}

/// A large rise of demand shows within a second; a small one is attributed to chance.
#[test]
fn present_requests_per_second_shows_a_rise_within_a_second() {
    let mut demand = Demand::new();
    count_requests(&mut demand, "m1", 2000, 0, 20_000);
    count_requests(&mut demand, "m2", 2000, 0, 20_000);
    count_requests(&mut demand, "m1", 50, 20_000, 21_000);
    count_requests(&mut demand, "m2", 300, 20_000, 21_000);
    let risen = demand.present_requests_per_second(&key("m1"), at(21_000));
    let memory = demand.requests_per_second(&key("m1"), at(21_000));
    assert!(risen > 1.5 * memory, "{risen} and {memory}");
    assert!(risen < 20.0, "{risen}");
    let chance = demand.present_requests_per_second(&key("m2"), at(21_000));
    assert!(chance < 2.0, "{chance}");
    let tokens = demand.present_tokens_per_second(&key("m1"), at(21_000));
    assert!((tokens / risen - 1000.0).abs() < 1e-6, "{tokens}");
}

/// Nodes report demand four times a second, so the pause between two reports is not a lack of
/// requests. Counting it as one capped the rate of every busy model at 10 requests per second.
#[test]
fn present_requests_per_second_is_stable_between_reports() {
    let mut demand = Demand::new();
    let batch = DemandSample {
        requests: 15.0,
        tokens: 15_000.0,
        ..sample(1000)
    };
    for millis in (0..20_000).step_by(250) {
        demand.count(&key("m1"), &batch, at(millis));
    }
    let rate = demand.present_requests_per_second(&key("m1"), at(19_990));
    assert!((50.0..70.0).contains(&rate), "{rate}");
    let service = demand.service_tokens_per_second(&"llm".into(), at(19_990));
    assert!((50_000.0..70_000.0).contains(&service), "{service}");
    let silent = demand.present_requests_per_second(&key("m1"), at(24_750));
    assert!(silent <= 2.0 / 4.5 + 1e-9, "{silent}");
}
