//! Tests of placement: values of models and their holders, evictions, and selected replicas.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use croftrill_scheduler::capacity::{Capacity, ReplicaLoad};
use croftrill_scheduler::catalog::{EngineSpec, ModelName, ModelSpec, ServiceName};
use croftrill_scheduler::demand::{Demand, DemandSample, ModelKey};
use croftrill_scheduler::placement::{
    CandidateScope, ControlCalls, LateShares, OrderedBy, PlacementConfig, ServicePlacement, ServiceWork,
    TrackedReplica, TrackedReplicas,
};
use croftrill_scheduler::replica::{HeldModel, Holdings, ReplicaId, ReplicaState, WeightCopies};
use croftrill_scheduler::replica_ledger::{LedgerConfig, ReplicaLedger};
use croftrill_scheduler::time::Moment;
use croftrill_scheduler::unanswered_orders::UnansweredOrders;

const MODELS: usize = 8;
const STORE_LOAD: Duration = Duration::from_secs(6);
const DISK_LOAD: Duration = Duration::from_millis(800);
const OBJECTIVE: Duration = Duration::from_millis(2500);
/// Batches, half a second apart, in which late requests are recorded.
const LATE_BATCHES: u64 = 6;

fn at(millis: u64) -> Moment {
    Moment::from_start(Duration::from_millis(1_000_000 + millis))
}

fn engine() -> EngineSpec {
    let specs = (0..MODELS).map(|index| ModelSpec {
        name: format!("m{index}").into(),
        weights_mb: 70.0,
        adapter_mb: 1.0,
        adapter_count: 0,
        store_load: STORE_LOAD,
        disk_load: DISK_LOAD,
        memory_load: Duration::from_millis(400),
    });
    let models: HashMap<ModelName, ModelSpec> = specs.map(|spec| (spec.name.clone(), spec)).collect();
    EngineSpec {
        model_order: (0..MODELS).map(|index| format!("m{index}").into()).collect(),
        models,
        weights_mb: 220.0,
        adapter_slots: 8,
        loads_per_second: 2.0,
        kv_capacity: 100_000,
    }
}

/// The replicas of one service and the demand for its models.
struct TestFleet {
    service: ServiceName,
    engine: EngineSpec,
    config: PlacementConfig,
    demand: Demand,
    replicas: TrackedReplicas,
}

impl TestFleet {
    fn new(held: &[&[&str]]) -> Self {
        let replicas = held.iter().enumerate().map(|(index, models)| {
            let id: ReplicaId = format!("r{index}").into();
            (id, test_replica(models, &[]))
        });
        TestFleet {
            service: "llm".into(),
            engine: engine(),
            config: PlacementConfig::default(),
            demand: Demand::new(),
            replicas: replicas.collect(),
        }
    }

    /// Records `per_second` requests per second over 10 s.
    fn record_requests(&mut self, model: &str, per_second: u64) {
        let key = ModelKey {
            service: "llm".into(),
            model: model.into(),
            adapter: None,
        };
        let asked = DemandSample {
            requests: 1.0,
            tokens: 100.0,
            caller_time: OBJECTIVE,
            late: 0.0,
        };
        for millis in (0..10_000).step_by(1000 / per_second as usize) {
            self.demand.count(&key, &asked, at(millis));
        }
    }

    fn view(&self) -> ServicePlacement<'_> {
        ServicePlacement {
            config: &self.config,
            service: &self.service,
            engine: &self.engine,
            demand: &self.demand,
            replicas: &self.replicas,
            reload_times: Default::default(),
            work: None,
            default_caller_time: OBJECTIVE,
            now: at(10_000),
        }
    }

    /// Records that `late` requests for the model were served late over the last seconds.
    fn record_late_requests(&mut self, model: &str, late: f64) {
        let key = ModelKey {
            service: "llm".into(),
            model: model.into(),
            adapter: None,
        };
        let asked = DemandSample {
            requests: 0.0,
            tokens: 0.0,
            caller_time: OBJECTIVE,
            late: late / LATE_BATCHES as f64,
        };
        for batch in 0..LATE_BATCHES {
            self.demand.count(&key, &asked, at(10_000 + batch * 500));
        }
    }

    fn values(&self, model: &str) -> Vec<f64> {
        let view = self.view();
        let values = self
            .replicas
            .iter()
            .map(|(id, _)| view.value_of_holder_at(&model.into(), id));
        values.collect()
    }
}

fn test_replica(models: &[&str], on_disk: &[&str]) -> TrackedReplica {
    let held = models.iter().map(|model| HeldModel {
        model: (*model).into(),
        adapters: Vec::new(),
    });
    let holdings = Holdings {
        sequence: 1,
        models: held.collect(),
        copies: WeightCopies {
            in_memory: Vec::new(),
            on_disk: on_disk.iter().map(|model| (*model).into()).collect(),
        },
    };
    TrackedReplica {
        state: ReplicaState::Ready,
        service: "llm".into(),
        started_ms: None,
        ledger: ReplicaLedger::new(LedgerConfig::default(), holdings, at(0)),
        unanswered: UnansweredOrders::default(),
        goal: None,
        withdrawn: None,
        is_out_of_reach: false,
        loaded_at: HashMap::new(),
        adapters_loaded_at: HashMap::new(),
        is_blocked_by_predecessor: false,
        ordered_by: OrderedBy::ThisOrderer,
        control_calls: ControlCalls::Free,
        listed_slots: 24,
        capacity: Capacity::default(),
    }
}

/// Guards against two orderers that both evict a model because each takes the holder of the
/// other for the one that stays: the busiest model lost both of its holders within 10 ms.
#[test]
fn value_of_holder_at_one_of_two_is_last() {
    let mut fleet = TestFleet::new(&[&["m1"], &["m1"]]);
    fleet.record_requests("m1", 4);
    let values = fleet.values("m1");
    let most = values.iter().copied().fold(0.0, f64::max);
    let least = values.iter().copied().fold(f64::MAX, f64::min);
    assert!(most > 10.0 * least, "{values:?}");
    assert!(most >= fleet.view().value_of_model(&"m1".into()));
}

/// Guards against a replica whose load still takes 6 s making both present holders look spare.
#[test]
fn value_of_holder_at_ignores_replicas_still_loading() {
    let mut fleet = TestFleet::new(&[&["m1"], &[]]);
    fleet.record_requests("m1", 4);
    let alone = fleet.values("m1")[0];
    fleet.replicas.get_mut("r1").expect("r1 exists").goal = Some("m1".into());
    assert_eq!(fleet.values("m1")[0], alone);
}

#[test]
fn value_of_model_lower_with_copy_on_disk() {
    let mut fleet = TestFleet::new(&[&["m1"], &["m2"]]);
    fleet.record_requests("m1", 4);
    let without = fleet.view().value_of_model(&"m1".into());
    fleet.replicas.insert("r2".into(), test_replica(&[], &["m1"]));
    let with = fleet.view().value_of_model(&"m1".into());
    assert!(with < 0.5 * without, "without {without}, with {with}");
}

/// If a load takes longer than the objective, replacing a model by an equal one saves nothing.
#[test]
fn is_worth_loading_not_for_equal_value() {
    let mut fleet = TestFleet::new(&[&["m1"]]);
    fleet.record_requests("m1", 1);
    fleet.record_requests("m2", 1);
    let view = fleet.view();
    let held = view.value_of_holder_at(&"m1".into(), &"r0".into());
    assert!(!view.is_worth_loading(&"m2".into(), STORE_LOAD, held));
    assert!(view.is_worth_loading(&"m2".into(), STORE_LOAD, 0.3 * held));
}

/// Returns the value of one more holder besides `holders` holders.
fn value_of_next_holder(fleet: &TestFleet, model: &str, holders: usize) -> f64 {
    fleet.view().value_of_nth_holder(&model.into(), holders + 1)
}

#[test]
fn value_of_nth_holder_rises_with_late_requests() {
    let mut fleet = TestFleet::new(&[&["m1"], &["m1"], &["m1"]]);
    fleet.record_requests("m1", 10);
    let calm = value_of_next_holder(&fleet, "m1", 3);
    fleet.record_late_requests("m1", 10.0);
    let late = value_of_next_holder(&fleet, "m1", 3);
    assert!(late > 3.0 * calm, "{late} {calm}");
    fleet.record_late_requests("m1", 80.0);
    let crowded = value_of_next_holder(&fleet, "m1", 3);
    assert!(
        crowded >= late,
        "one more holder counts for less because all requests are late: {crowded} {late}"
    );
}

#[test]
fn value_of_nth_holder_falls_with_holder_count() {
    let mut fleet = TestFleet::new(&[&["m1"], &["m1"]]);
    fleet.record_requests("m1", 10);
    fleet.record_late_requests("m1", 15.0);
    let values: Vec<f64> = (2..8)
        .map(|count| value_of_next_holder(&fleet, "m1", count))
        .collect();
    assert!(values.windows(2).all(|pair| pair[0] > pair[1]), "{values:?}");
}

/// In the first seconds most rare models have not been requested yet. Valued at zero, they were
/// evicted for additional holders of requested models: of 430 models evicted in a simulated day
/// of 50 s, 287 were loaded again, half of them within 2 s.
#[test]
fn value_of_holder_at_never_requested_is_above_spare() {
    let mut fleet = TestFleet::new(&[&["m0"], &["m0"], &["m0", "m1"]]);
    fleet.record_requests("m0", 4);
    let unseen = fleet.values("m1")[2];
    let spare = fleet.values("m0").into_iter().fold(f64::MAX, f64::min);
    assert!(unseen > spare, "{unseen} and {spare}");
}

/// Returns placement that follows the work, of which each cost token takes `per_token_s`.
fn placement_by_work(fleet: &TestFleet, per_token_s: f64, late_shares: LateShares) -> ServicePlacement<'_> {
    ServicePlacement {
        work: Some(Rc::new(ServiceWork::new(per_token_s, late_shares))),
        ..fleet.view()
    }
}

fn report_work_time(fleet: &mut TestFleet, id: &str, pct: u32) {
    let load = ReplicaLoad {
        running: 3,
        waiting: 0,
        slots: Some(24),
        work_time_pct: Some(pct),
    };
    for ms in 0..5 {
        fleet.replicas.record_load(id, load, at(9000 + ms));
    }
}

/// Guards against slow replicas staying in use beside fast ones with free capacity: ten slow
/// replicas served most of the late requests.
#[test]
fn value_of_holder_at_slow_replica_is_lowest() {
    let mut fleet = TestFleet::new(&[&["m1"], &["m1"], &["m1"]]);
    fleet.record_requests("m1", 10);
    for (id, pct) in [("r0", 160), ("r1", 60), ("r2", 100)] {
        report_work_time(&mut fleet, id, pct);
    }
    let view = placement_by_work(&fleet, 0.01, LateShares::default());
    let value = |id: &str| view.value_of_holder_at(&"m1".into(), &id.into());
    assert!(value("r1") > value("r2"), "{} {}", value("r1"), value("r2"));
    assert!(value("r2") > value("r0"), "{} {}", value("r2"), value("r0"));
}

/// The demand alone exceeds the capacity of the holder: no request was late yet.
#[test]
fn on_time_gain_of_next_holder_rises_with_excess_work() {
    let mut fleet = TestFleet::new(&[&["m1", "m2"]]);
    fleet.record_requests("m1", 20);
    fleet.record_requests("m2", 1);
    let gain = |per_token_s: f64| {
        let view = placement_by_work(&fleet, per_token_s, LateShares::default());
        view.on_time_gain_of_next_holder(&"m1".into(), 24)
            .expect("follows work")
    };
    // With 100 tokens per request, 2 and 20 requests run concurrently; a replica can serve 12 on
    // time.
    assert!(gain(0.001) < 1.0, "{}", gain(0.001));
    assert!(gain(0.01) > 5.0, "{}", gain(0.01));
}

/// Guards against loading a model at slow replicas, which were late with a third of all streams
/// despite free capacity.
#[test]
fn best_target_avoids_replicas_with_late_streams() {
    let mut fleet = TestFleet::new(&[&["m1"], &["m2"]]);
    for model in ["m1", "m2", "m3"] {
        fleet.record_requests(model, 1);
    }
    report_work_time(&mut fleet, "r0", 160);
    report_work_time(&mut fleet, "r1", 100);
    let mut late_shares = LateShares::default();
    let class = |id: &str| fleet.replicas.get(id).expect("it exists").capacity.speed_class();
    late_shares.count(class("r0"), 100.0, 35.0);
    late_shares.count(class("r1"), 100.0, 1.0);
    let view = placement_by_work(&fleet, 0.01, late_shares);
    let target = view
        .best_target(&"m3".into(), true, CandidateScope::All)
        .expect("a replica");
    assert_eq!(&*target.replica, "r1");
}
