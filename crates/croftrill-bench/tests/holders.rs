//! Tests that the number of holders follows the work for each model where replicas report their
//! capacity.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use croftrill_bench::emulator::*;
use croftrill_scheduler::capacity::ReplicaLoad;
use croftrill_scheduler::demand::{DemandSample, ModelKey};
use croftrill_scheduler::orderer::OrdererConfig;
use croftrill_scheduler::replica::{Order, ReplicaId};
use croftrill_scheduler::replica_table::{Placement, ReplicaTable};
use croftrill_scheduler::shard::{OrderScope, Shard};
use croftrill_scheduler::time::Moment;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Objective of the requests: time until the first event.
const OBJECTIVE: Duration = Duration::from_millis(2500);
/// Cost of each request in tokens.
const TOKENS: f64 = 1000.0;
/// Time that each request takes at a replica of usual speed.
const SERVICE_TIME_S: f64 = 1.0;
/// Number of requests that a replica runs concurrently.
const SLOTS: u32 = 24;
/// Work times of fast, usual and slow replicas, in percent of the usual one.
const FAST: u32 = 60;
const USUAL: u32 = 100;
const SLOW: u32 = 160;
/// Interval at which requests are counted and loads are reported.
const REPORT_INTERVAL_MS: u64 = 100;
const MODELS: usize = 30;

fn key(model: &str) -> ModelKey {
    ModelKey {
        service: "llm".into(),
        model: model.into(),
        adapter: None,
    }
}

/// Replicas of different speeds that serve the requests and report their loads.
struct Fleet {
    world: World,
    /// Work time of each replica, in percent of the usual one.
    work_times_pct: Vec<u32>,
    /// Requests per second for each model.
    rates: BTreeMap<&'static str, f64>,
    /// Fractions of requests that were not counted yet.
    due: BTreeMap<&'static str, f64>,
    /// State of the generator that varies the request rate; `None` for an even rate.
    seed: Option<u64>,
    /// False while replicas report no load.
    reports_loads: bool,
    config: OrdererConfig,
}

impl Fleet {
    fn new(held: &[(u32, &[&str])]) -> Self {
        let holdings: Vec<&[&str]> = held.iter().map(|(_, models)| *models).collect();
        let config = orderer_config();
        let mut world = World::with_config(configuration(MODELS), config, &holdings);
        for replica in world.replicas.values_mut() {
            replica.model.edit_holdings(world.now, |holdings| {
                holdings.copies.on_disk = (0..MODELS).map(|index| format!("m{index}").into()).collect();
            });
        }
        Fleet {
            world,
            work_times_pct: held.iter().map(|(pct, _)| *pct).collect(),
            rates: BTreeMap::new(),
            due: BTreeMap::new(),
            seed: None,
            reports_loads: true,
            config,
        }
    }

    fn set_rate(&mut self, model: &'static str, per_second: f64) {
        self.rates.insert(model, per_second);
    }

    fn run(&mut self, millis: u64) {
        for _ in 0..millis / REPORT_INTERVAL_MS {
            self.count_requests();
            if self.reports_loads {
                self.report_loads();
            }
            self.world.run(REPORT_INTERVAL_MS);
        }
    }

    /// Returns a pseudo-random factor from 0 to 2 of mean 1, so that requests arrive in bursts.
    fn rate_factor(&mut self) -> f64 {
        let Some(seed) = &mut self.seed else { return 1.0 };
        *seed = seed
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (*seed >> 33) as f64 / f64::from(1u32 << 30)
    }

    fn count_requests(&mut self) {
        for (model, rate) in self.rates.clone() {
            let rate_factor = self.rate_factor();
            let due = self.due.entry(model).or_default();
            *due += rate * rate_factor * REPORT_INTERVAL_MS as f64 / 1000.0;
            let requests = due.floor();
            *due -= requests;
            if requests == 0.0 {
                continue;
            }
            let asked = DemandSample {
                requests,
                tokens: requests * TOKENS,
                caller_time: OBJECTIVE,
                late: 0.0,
            };
            let now = self.world.now;
            self.world.orderer.count_demand(&key(model), &asked, now);
            if self.holders(model).is_empty() {
                self.world.orderer.mark_waiting(&key(model), now);
            }
        }
    }

    /// Reports the load of each replica. The requests for a model are spread over its holders in
    /// proportion to their speeds.
    fn report_loads(&mut self) {
        let speed = |index: &usize| 100.0 / f64::from(self.work_times_pct[*index]);
        let mut running = vec![0.0; self.work_times_pct.len()];
        for (model, rate) in &self.rates {
            let holders = self.holders(model);
            let speeds: f64 = holders.iter().map(speed).sum();
            for holder in &holders {
                running[*holder] += rate * SERVICE_TIME_S / speeds;
            }
        }
        for (index, running) in running.into_iter().enumerate() {
            let load = ReplicaLoad {
                // The request whose answer reports the load is included in it.
                running: running.round() as u32 + 1,
                waiting: 0,
                slots: Some(SLOTS),
                work_time_pct: Some(self.work_times_pct[index]),
            };
            let now = self.world.now;
            self.world.orderer.record_load(&format!("r{index}"), load, now);
        }
    }

    /// Returns the indices of the replicas that hold a model.
    fn holders(&self, model: &str) -> Vec<usize> {
        let number = |id: &ReplicaId| id[1..].parse().expect("its number");
        let holders = self.world.replicas.iter();
        let holders = holders.filter(|(_, replica)| replica.holdings().serves(model, None));
        holders.map(|(id, _)| number(id)).collect()
    }

    /// Returns the orders to load a model.
    fn loads(&self) -> Vec<(Moment, ReplicaId, Order)> {
        let orders = self.world.orders.iter();
        let loads = orders.filter(|(.., order)| matches!(order, Order::LoadModel(_)));
        loads.cloned().collect()
    }
}

/// Guards against holders that follow only late requests and count as equally fast: a model with
/// 667 requests had one holder all the time.
#[test]
fn plan_adds_holders_of_busy_model_before_requests_are_late() {
    let mut fleet = Fleet::new(&[
        (USUAL, &["m1", "m2"]),
        (USUAL, &["m3", "m4"]),
        (USUAL, &["m5", "m7"]),
        (USUAL, &["m8", "m10"]),
    ]);
    for model in ["m1", "m2", "m3", "m4", "m5", "m7", "m8", "m10"] {
        fleet.set_rate(model, 0.3);
    }
    fleet.run(8000);
    assert_eq!(fleet.holders("m1").len(), 1);
    fleet.set_rate("m1", 30.0);
    // Requests beyond the first holder's slots are late once the objective has passed.
    let filled_ms = 1000 * u64::from(SLOTS) / 30;
    fleet.run(filled_ms + OBJECTIVE.as_millis() as u64);
    assert!(fleet.holders("m1").len() >= 2, "orders: {:?}", fleet.world.orders);
    // Its work fills more than two holders, although no late request was counted.
    fleet.run(OBJECTIVE.as_millis() as u64);
    assert!(fleet.holders("m1").len() >= 3, "orders: {:?}", fleet.world.orders);
}

/// If replicas stop reporting loads, as after a rollback to a build that reports none, a busy
/// model must not seem to need only one holder while rare models compete for its replicas.
#[test]
fn plan_keeps_holders_of_busy_model_without_load_reports() {
    let mut fleet = Fleet::new(&[
        (USUAL, &["m1", "m2"]),
        (USUAL, &["m1", "m3"]),
        (USUAL, &["m1", "m4"]),
    ]);
    fleet.set_rate("m1", 30.0);
    for model in ["m2", "m3", "m4"] {
        fleet.set_rate(model, 0.3);
    }
    fleet.run(10_000);
    assert_eq!(fleet.holders("m1").len(), 3);
    fleet.reports_loads = false;
    for model in ["m5", "m7", "m8", "m10", "m11", "m13"] {
        fleet.set_rate(model, 0.6);
    }
    fleet.run(60_000);
    assert_eq!(fleet.holders("m1").len(), 3, "orders: {:?}", fleet.world.orders);
}

/// Guards against surplus holders that remain: two models with the same demand had one holder and
/// ten holders.
#[test]
fn plan_evicts_spare_holders_of_quiet_model() {
    const RARE: [&str; 20] = [
        "m1", "m2", "m4", "m5", "m7", "m8", "m10", "m11", "m13", "m14", "m16", "m17", "m19", "m20", "m22",
        "m23", "m25", "m26", "m28", "m29",
    ];
    const ABSENT: [&str; 6] = ["m3", "m6", "m9", "m12", "m15", "m18"];
    let held: Vec<[&str; 3]> = RARE.chunks(2).map(|pair| ["m0", pair[0], pair[1]]).collect();
    let rows: Vec<(u32, &[&str])> = held.iter().map(|models| (USUAL, models.as_slice())).collect();
    let mut fleet = Fleet::new(&rows);
    fleet.set_rate("m0", 3.0);
    for model in RARE {
        fleet.set_rate(model, 0.6);
    }
    fleet.run(5000);
    assert_eq!(fleet.holders("m0").len(), 10);
    for model in ABSENT {
        fleet.set_rate(model, 0.6);
    }
    fleet.run(10_000);
    let quiet = fleet.holders("m0").len();
    assert!((1..=4).contains(&quiet), "{quiet} holders");
    for model in RARE.iter().chain(&ABSENT) {
        assert!(!fleet.holders(model).is_empty(), "{model} is nowhere");
    }
}

/// Guards against busy models on slow replicas: ten slow replicas of sixty served two thirds of
/// all late requests, as busy models were there as often as elsewhere.
#[test]
fn plan_places_rare_models_on_slow_replicas() {
    let mut fleet = Fleet::new(&[
        (FAST, &["m2", "m4"]),
        (FAST, &["m5", "m7"]),
        (SLOW, &["m1", "m8"]),
        (SLOW, &["m10", "m11"]),
    ]);
    fleet.set_rate("m1", 16.0);
    for model in ["m2", "m4", "m5", "m7", "m8", "m10", "m11"] {
        // This is more than the value of a spare holder of the busy model.
        fleet.set_rate(model, 1.0);
    }
    fleet.run(15_000);
    let busy = fleet.holders("m1");
    assert!(
        busy.iter().any(|holder| *holder < 2),
        "the busy model is at {busy:?}"
    );
    for model in ["m2", "m4", "m5", "m7", "m8", "m10", "m11"] {
        let holders = fleet.holders(model);
        assert!(!holders.is_empty(), "{model} is nowhere");
    }
}

/// A load evicts another model, so it must pay off over the horizon.
#[test]
fn plan_loads_no_more_than_pays_off() {
    let mut fleet = Fleet::new(&[
        (FAST, &["m1", "m2"]),
        (USUAL, &["m4", "m5"]),
        (USUAL, &["m7", "m8"]),
        (SLOW, &["m10", "m11"]),
        (SLOW, &["m13", "m14"]),
        (FAST, &["m1", "m4"]),
    ]);
    fleet.seed = Some(7);
    for model in ["m1", "m4"] {
        fleet.set_rate(model, 15.0);
    }
    for model in ["m2", "m5", "m7", "m8", "m10", "m11", "m13", "m14"] {
        fleet.set_rate(model, 0.6);
    }
    let steady_ms = 60_000;
    fleet.run(10_000);
    let before = fleet.loads().len();
    fleet.run(steady_ms);
    let loads = fleet.loads();
    let horizons =
        Duration::from_millis(steady_ms).as_secs_f64() / fleet.config.placement.horizon.as_secs_f64();
    let slots = 2.0 * fleet.work_times_pct.len() as f64;
    let count = loads.len() - before;
    assert!(count as f64 <= slots * horizons, "{count} loads");
    let residence = fleet.config.placement.min_residence;
    for (at, replica, order) in &loads {
        let unloaded = fleet
            .world
            .orders
            .iter()
            .find(|(unloaded_at, at_replica, unloaded)| {
                at_replica == replica
                    && unloaded_at > at
                    && matches!(unloaded, Order::UnloadModel(model) if model == order.model())
            });
        assert!(
            unloaded.is_none_or(|(unloaded_at, ..)| unloaded_at.since(*at) >= residence),
            "{order:?} at {replica}"
        );
    }
}

/// Where replicas report no work time, holders follow late requests instead of the work.
#[test]
fn work_of_models_is_empty_without_reported_work_time() {
    let mut fleet = Fleet::new(&[(USUAL, &["m1", "m2"]), (USUAL, &["m3", "m4"])]);
    let load = ReplicaLoad {
        running: 20,
        waiting: 0,
        slots: Some(SLOTS),
        work_time_pct: None,
    };
    for step in 0..50 {
        let now = fleet.world.now;
        fleet.world.orderer.record_load("r0", load, now);
        fleet.world.run(REPORT_INTERVAL_MS);
        assert!(
            fleet.world.orderer.work_of_models(&"llm".into(), now).is_empty(),
            "step {step}"
        );
    }
}

/// Two orderers of one fleet, each with its own knowledge of it, and one replica per shard.
struct TwoOrderers {
    worlds: [World; 2],
    ids: [ReplicaId; 2],
    tables: [ReplicaTable; 2],
    /// Placements that each orderer published and the other has not received yet.
    in_transit: VecDeque<[Vec<Placement>; 2]>,
    /// Number of steps by which they are delayed.
    delay_steps: usize,
}

impl TwoOrderers {
    /// Creates two replicas that both hold the shared model, and each one of the others.
    fn new(shared: &str, others: [&str; 2]) -> Self {
        let first = Shard::of_replica("r0");
        let second = (1..)
            .find(|index| Shard::of_replica(&format!("r{index}")) != first)
            .expect("a replica of another shard");
        let numbers = [0, second];
        let rows: Vec<Vec<&str>> = (0..=second)
            .map(|number| match numbers.iter().position(|other| *other == number) {
                Some(index) => vec![shared, others[index]],
                None => Vec::new(),
            })
            .collect();
        let held: Vec<&[&str]> = rows.iter().map(Vec::as_slice).collect();
        let ids = numbers.map(|number| ReplicaId::from(format!("r{number}")));
        let worlds = [0, 1].map(|index: usize| {
            let config = OrdererConfig {
                scope: OrderScope::One(Shard::of_replica(&ids[index])),
                ..orderer_config()
            };
            let mut world = World::with_config(configuration(MODELS), config, &held);
            for number in (0..=second).filter(|number| !numbers.contains(number)) {
                world.orderer.remove_replica(&format!("r{number}"));
            }
            for replica in world.replicas.values_mut() {
                replica.model.edit_holdings(world.now, |holdings| {
                    holdings.copies.on_disk = (0..MODELS).map(|index| format!("m{index}").into()).collect();
                });
            }
            let mut reachable = [false; 3];
            ids.iter()
                .for_each(|id| reachable[Shard::of_replica(id).index()] = true);
            world.orderer.set_reachable(reachable);
            world
        });
        let tables = [0, 1].map(|index: usize| {
            let mut table = ReplicaTable::new();
            for id in &ids {
                table.apply_listing(listing(id, worlds[index].replicas[id].holdings()));
            }
            table
        });
        TwoOrderers {
            worlds,
            ids,
            tables,
            in_transit: VecDeque::new(),
            delay_steps: 0,
        }
    }

    /// Runs one step. Published placements reach the other orderer at the end of the step, or
    /// `delay_steps` steps later.
    fn step(&mut self) {
        let updates = [0, 1].map(|index: usize| {
            let world = &mut self.worlds[index];
            world.run(20);
            world.orderer.take_changes(world.now)
        });
        self.in_transit.push_back(updates);
        if self.in_transit.len() <= self.delay_steps {
            return;
        }
        let updates = self.in_transit.pop_front().expect("just pushed");
        for (index, placements) in updates.into_iter().enumerate() {
            let other = 1 - index;
            for placement in placements {
                let id = placement.replica.clone();
                self.tables[other].apply_placement(placement);
                if let Some(entry) = self.tables[other].get(&id) {
                    let world = &mut self.worlds[other];
                    world.orderer.apply_entry(entry, world.now);
                }
            }
        }
    }

    /// Returns the number of replicas that hold a model.
    fn holders(&self, model: &str) -> usize {
        let held = |index: &usize| {
            self.worlds[*index].replicas[&self.ids[*index]]
                .holdings()
                .serves(model, None)
        };
        [0, 1].iter().filter(|index| held(index)).count()
    }
}

/// Runs two orderers whose replicas hold a shared model. The orderers know different work times,
/// and each gets requests for another model that is worth less. Returns the first step at which
/// no replica holds the shared model.
fn first_step_without_holder(
    orderers: &mut TwoOrderers,
    work_times: [[u32; 2]; 2],
    rate: u32,
    late_steps: u64,
) -> Option<u64> {
    let waiting = ["m5", "m7"];
    for step in 0..500u64 {
        for index in 0..2 {
            let world = &mut orderers.worlds[index];
            let now = world.now;
            if step % 5 == 0 {
                for (seen, id) in orderers.ids.iter().enumerate() {
                    let load = ReplicaLoad {
                        running: rate,
                        waiting: 0,
                        slots: Some(SLOTS),
                        work_time_pct: Some(work_times[index][seen]),
                    };
                    world.orderer.record_load(id, load, now);
                }
                for (model, requests) in [("m1", f64::from(rate)), ("m2", 5.0), ("m4", 5.0)] {
                    let asked = DemandSample {
                        requests: requests / 10.0,
                        tokens: requests / 10.0 * TOKENS,
                        caller_time: OBJECTIVE,
                        late: 0.0,
                    };
                    world.orderer.count_demand(&key(model), &asked, now);
                }
            }
            if step >= 250 + late_steps * index as u64 {
                world.orderer.mark_waiting(&key(waiting[index]), now);
            }
        }
        orderers.step();
        if orderers.holders("m1") == 0 {
            return Some(step);
        }
    }
    None
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 48,
        rng_seed: RngSeed::Fixed(52),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Two orderers may know different speeds of the holders and so disagree on which one is
    /// spare. They must not evict both while neither goal is worth more than the model.
    #[test]
    fn two_orderers_never_evict_both_holders(
        work_times in prop::array::uniform2(prop::array::uniform2(prop::sample::select(vec![FAST, USUAL, SLOW]))),
        rate in 3u32..7,
        late_steps in 0u64..10,
    ) {
        let mut orderers = TwoOrderers::new("m1", ["m2", "m4"]);
        let without = first_step_without_holder(&mut orderers, work_times, rate, late_steps);
        prop_assert_eq!(without, None);
    }

    /// Guards against the loss of both holders where each orderer withdraws one of them before
    /// it knows of the other's withdrawal.
    #[test]
    fn two_orderers_never_evict_both_holders_with_late_updates(
        work_times in prop::array::uniform2(prop::array::uniform2(prop::sample::select(vec![FAST, USUAL, SLOW]))),
        rate in 3u32..7,
        late_steps in 0u64..25,
        delay_steps in 0usize..12,
    ) {
        let mut orderers = TwoOrderers::new("m1", ["m2", "m4"]);
        orderers.delay_steps = delay_steps;
        let without = first_step_without_holder(&mut orderers, work_times, rate, late_steps);
        prop_assert_eq!(without, None);
    }
}
