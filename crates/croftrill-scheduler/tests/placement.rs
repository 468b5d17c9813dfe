//! Tests of placement: values of models and their holders, evictions, and selected replicas.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use croftrill_scheduler::capacity::{Capacity, ReplicaLoad};
use croftrill_scheduler::catalog::{EngineSpec, ModelName, ModelSpec, ServiceName};
use croftrill_scheduler::demand::{Asked, Demand, ModelKey};
use croftrill_scheduler::placement::{
    Among, ControlCalls, LateShares, Orders, PlacedReplica, PlacedReplicas, PlacementConfig,
    ServicePlacement, ServiceWork,
};
use croftrill_scheduler::replica::{HeldModel, Holdings, ReplicaId, ReplicaState, WeightCopies};
use croftrill_scheduler::replica_ledger::{LedgerConfig, ReplicaLedger};
use croftrill_scheduler::time::Moment;

const MODELS: usize = 8;
const STORE_LOAD: Duration = Duration::from_secs(6);
const DISK_LOAD: Duration = Duration::from_millis(800);
const OBJECTIVE: Duration = Duration::from_millis(2500);
/// Batches, half a second apart, in which late requests are recorded.
const LATE_OCCASIONS: u64 = 6;

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
struct Site {
    service: ServiceName,
    engine: EngineSpec,
    config: PlacementConfig,
    demand: Demand,
    replicas: PlacedReplicas,
}

impl Site {
    fn new(held: &[&[&str]]) -> Self {
        let replicas = held.iter().enumerate().map(|(index, models)| {
            let id: ReplicaId = format!("r{index}").into();
            (id, placed(models, &[]))
        });
        Site {
            service: "llm".into(),
            engine: engine(),
            config: PlacementConfig::default(),
            demand: Demand::new(),
            replicas: replicas.collect(),
        }
    }

    /// Records `per_second` requests per second over 10 s.
    fn ask(&mut self, model: &str, per_second: u64) {
        let key = ModelKey {
            service: "llm".into(),
            model: model.into(),
            adapter: None,
        };
        let asked = Asked {
            requests: 1.0,
            tokens: 100.0,
            objective: OBJECTIVE,
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
            usual_objective: OBJECTIVE,
            now: at(10_000),
        }
    }

    /// Records that `late` requests for the model were served late over the last seconds.
    fn serve_late(&mut self, model: &str, late: f64) {
        let key = ModelKey {
            service: "llm".into(),
            model: model.into(),
            adapter: None,
        };
        let asked = Asked {
            requests: 0.0,
            tokens: 0.0,
            objective: OBJECTIVE,
            late: late / LATE_OCCASIONS as f64,
        };
        for occasion in 0..LATE_OCCASIONS {
            self.demand.count(&key, &asked, at(10_000 + occasion * 500));
        }
    }

    fn values(&self, model: &str) -> Vec<f64> {
        let view = self.view();
        let values = self
            .replicas
            .iter()
            .map(|(id, _)| view.value_of_held(&model.into(), id));
        values.collect()
    }
}

fn placed(models: &[&str], on_disk: &[&str]) -> PlacedReplica {
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
    PlacedReplica {
        state: ReplicaState::Ready,
        service: "llm".into(),
        born_ms: None,
        ledger: ReplicaLedger::new(LedgerConfig::default(), holdings, at(0)),
        goal: None,
        withdrawn: None,
        loaded_at: HashMap::new(),
        adapters_loaded_at: HashMap::new(),
        is_held: false,
        orders: Orders::Own,
        control_calls: ControlCalls::Free,
        listed_slots: 24,
        capacity: Capacity::default(),
    }
}

/// Guards against two orderers that both evict a model because each takes the holder of the
/// other for the one that stays: the busiest model lost both of its holders within 10 ms.
#[test]
fn value_of_held_one_of_two_is_the_last() {
    let mut site = Site::new(&[&["m1"], &["m1"]]);
    site.ask("m1", 4);
    let values = site.values("m1");
    let most = values.iter().copied().fold(0.0, f64::max);
    let least = values.iter().copied().fold(f64::MAX, f64::min);
    assert!(most > 10.0 * least, "{values:?}");
    assert!(most >= site.view().value_of_model(&"m1".into()));
}

/// Guards against a replica whose load still takes 6 s making both present holders look spare.
#[test]
fn value_of_held_ignores_holders_on_their_way() {
    let mut site = Site::new(&[&["m1"], &[]]);
    site.ask("m1", 4);
    let alone = site.values("m1")[0];
    site.replicas.get_mut("r1").expect("r1 exists").goal = Some("m1".into());
    assert_eq!(site.values("m1")[0], alone);
}

#[test]
fn value_of_model_less_with_a_copy_on_a_disk() {
    let mut site = Site::new(&[&["m1"], &["m2"]]);
    site.ask("m1", 4);
    let without = site.view().value_of_model(&"m1".into());
    site.replicas.insert("r2".into(), placed(&[], &["m1"]));
    let with = site.view().value_of_model(&"m1".into());
    assert!(with < 0.5 * without, "without {without}, with {with}");
}

/// If a load takes longer than the objective, replacing a model by an equal one saves nothing.
#[test]
fn is_worth_no_swap_of_equals() {
    let mut site = Site::new(&[&["m1"]]);
    site.ask("m1", 1);
    site.ask("m2", 1);
    let view = site.view();
    let held = view.value_of_held(&"m1".into(), &"r0".into());
    assert!(!view.is_worth(&"m2".into(), STORE_LOAD, held));
    assert!(view.is_worth(&"m2".into(), STORE_LOAD, 0.3 * held));
}

/// Returns the value of one more holder besides `holders` holders.
fn value_of_next(site: &Site, model: &str, holders: usize) -> f64 {
    site.view().value_of_holder(&model.into(), holders + 1)
}

#[test]
fn value_of_holder_rises_with_what_the_present_ones_serve_late() {
    let mut site = Site::new(&[&["m1"], &["m1"], &["m1"]]);
    site.ask("m1", 10);
    let calm = value_of_next(&site, "m1", 3);
    site.serve_late("m1", 10.0);
    let late = value_of_next(&site, "m1", 3);
    assert!(late > 3.0 * calm, "{late} {calm}");
    site.serve_late("m1", 80.0);
    let crowded = value_of_next(&site, "m1", 3);
    assert!(
        crowded >= late,
        "one more holder counts for less because all requests are late: {crowded} {late}"
    );
}

#[test]
fn value_of_holder_falls_with_each_one_more() {
    let mut site = Site::new(&[&["m1"], &["m1"]]);
    site.ask("m1", 10);
    site.serve_late("m1", 15.0);
    let values: Vec<f64> = (2..8).map(|count| value_of_next(&site, "m1", count)).collect();
    assert!(values.windows(2).all(|pair| pair[0] > pair[1]), "{values:?}");
}

/// In the first seconds most rare models have not been requested yet. Valued at zero, they were
/// evicted for additional holders of requested models: of 430 models evicted in a simulated day
/// of 50 s, 287 were loaded again, half of them within 2 s.
#[test]
fn value_of_held_never_asked_for_is_above_a_spare_holder() {
    let mut site = Site::new(&[&["m0"], &["m0"], &["m0", "m1"]]);
    site.ask("m0", 4);
    let unseen = site.values("m1")[2];
    let spare = site.values("m0").into_iter().fold(f64::MAX, f64::min);
    assert!(unseen > spare, "{unseen} and {spare}");
}

/// Returns placement that follows the work, of which each cost token takes `per_token_s`.
fn by_work(site: &Site, per_token_s: f64, late_shares: LateShares) -> ServicePlacement<'_> {
    ServicePlacement {
        work: Some(Rc::new(ServiceWork::new(per_token_s, late_shares))),
        ..site.view()
    }
}

fn tell_work_time(site: &mut Site, id: &str, pct: u32) {
    let load = ReplicaLoad {
        running: 3,
        waiting: 0,
        slots: Some(24),
        work_time_pct: Some(pct),
    };
    for ms in 0..5 {
        site.replicas.told_load(id, load, at(9000 + ms));
    }
}

/// Guards against slow replicas staying in use beside fast ones with free capacity: ten slow
/// replicas served most of the late requests.
#[test]
fn value_of_held_slow_holder_is_the_spare_one() {
    let mut site = Site::new(&[&["m1"], &["m1"], &["m1"]]);
    site.ask("m1", 10);
    for (id, pct) in [("r0", 160), ("r1", 60), ("r2", 100)] {
        tell_work_time(&mut site, id, pct);
    }
    let view = by_work(&site, 0.01, LateShares::default());
    let value = |id: &str| view.value_of_held(&"m1".into(), &id.into());
    assert!(value("r1") > value("r2"), "{} {}", value("r1"), value("r2"));
    assert!(value("r2") > value("r0"), "{} {}", value("r2"), value("r0"));
}

/// The demand alone exceeds the capacity of the holder: no request was late yet.
#[test]
fn kept_by_next_rises_with_work_beyond_the_room() {
    let mut site = Site::new(&[&["m1", "m2"]]);
    site.ask("m1", 20);
    site.ask("m2", 1);
    let kept = |per_token_s: f64| {
        let view = by_work(&site, per_token_s, LateShares::default());
        view.kept_by_next(&"m1".into(), 24).expect("follows work")
    };
    // With 100 tokens per request, 2 and 20 requests run concurrently; a replica can serve 12 on
    // time.
    assert!(kept(0.001) < 1.0, "{}", kept(0.001));
    assert!(kept(0.01) > 5.0, "{}", kept(0.01));
}

/// Guards against loading a model at slow replicas, which were late with a third of all streams
/// despite free capacity.
#[test]
fn best_place_of_a_waiting_model_not_where_streams_are_late() {
    let mut site = Site::new(&[&["m1"], &["m2"]]);
    for model in ["m1", "m2", "m3"] {
        site.ask(model, 1);
    }
    tell_work_time(&mut site, "r0", 160);
    tell_work_time(&mut site, "r1", 100);
    let mut late_shares = LateShares::default();
    let class = |id: &str| site.replicas.get(id).expect("it exists").capacity.speed_class();
    late_shares.count(class("r0"), 100.0, 35.0);
    late_shares.count(class("r1"), 100.0, 1.0);
    let view = by_work(&site, 0.01, late_shares);
    let place = view
        .best_place(&"m3".into(), true, Among::All)
        .expect("a replica");
    assert_eq!(&*place.replica, "r1");
}
