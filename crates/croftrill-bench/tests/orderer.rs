//! Tests of the orderer with simulated replicas that lose answers or execute orders late.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use croftrill_bench::emulator::*;
use croftrill_scheduler::catalog::{CallerLimits, Configuration, Service};
use croftrill_scheduler::demand::{DemandSample, ModelKey};
use croftrill_scheduler::orderer::{Decision, OrdererConfig};
use croftrill_scheduler::replica::{
    Holdings, LimitSignal, Order, OrderOutcome, ReplicaId, ReplicaListing, ReplicaSignals, ReplicaState,
    RequestRate,
};
use croftrill_scheduler::replica_table::{AnsweredCall, Arrival, Placement, ReplicaTable};
use croftrill_scheduler::shard::{OrderScope, Shard, SHARD_COUNT};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn key(model: &str, adapter: Option<&str>) -> ModelKey {
    ModelKey {
        service: "llm".into(),
        model: model.into(),
        adapter: adapter.map(Into::into),
    }
}

fn asked(requests: f64, tokens: f64) -> DemandSample {
    DemandSample {
        requests,
        tokens,
        caller_time: Duration::from_millis(4000),
        late: 0.0,
    }
}

fn holds(world: &World, model: &str) -> bool {
    world
        .replicas
        .values()
        .any(|replica| replica.holdings().serves(model, None))
}

#[test]
fn plan_loads_waiting_model() {
    let mut world = World::new(8, &[&["m1", "m2"], &["m1", "m4"]]);
    world.run(6000);
    world
        .orderer
        .count_demand(&key("m5", None), &asked(1.0, 5000.0), world.now);
    world.orderer.mark_waiting(&key("m5", None), world.now);
    world.run(4000);
    assert!(holds(&world, "m5"), "orders: {:?}", world.orders);
}

fn replicas(ids: &[&str]) -> BTreeSet<ReplicaId> {
    ids.iter().map(|id| ReplicaId::from(*id)).collect()
}

/// Guards against streams whose own software version has no holder of their model, though replicas
/// of that version could load it, as another version holds it.
#[test]
fn plan_loads_model_at_version_without_holder() {
    let mut world = World::new(8, &[&["m1", "m2"], &["m3", "m4"], &["m5", "m6"]]);
    world.run(6000);
    for _ in 0..4 {
        let version = "v1".into();
        world
            .orderer
            .mark_waiting_at(&key("m1", None), &version, replicas(&["r1", "r2"]), world.now);
        world.run(1000);
    }
    let holds_m1 = |id: &str| world.replicas[id].holdings().serves("m1", None);
    assert!(holds_m1("r1") || holds_m1("r2"), "orders: {:?}", world.orders);
}

/// A replica that may hold a model, of which a stream's version may have some.
#[derive(Debug, Clone, Copy)]
struct PossibleHolder {
    holds: bool,
    is_in_reach: bool,
    runs_version: bool,
}

fn possible_holder() -> impl Strategy<Value = PossibleHolder> {
    let flags = (any::<bool>(), any::<bool>(), any::<bool>());
    flags.prop_map(|(holds, is_in_reach, runs_version)| PossibleHolder {
        holds,
        is_in_reach,
        runs_version,
    })
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), ..ProptestConfig::with_cases(64) })]

    /// Guards against a model that is loaded nowhere for those who wait, as its lost holders are
    /// listed, against needless loads, and against orders to replicas that are gone.
    #[test]
    fn plan_counts_only_holders_in_reach(
        holders in proptest::collection::vec(possible_holder(), 2..6),
        is_bound in any::<bool>(),
    ) {
        let models: Vec<&[&str]> = holders.iter().map(|known| if known.holds { &["m1"][..] } else { &[] }).collect();
        let mut world = World::new(8, &models);
        let ids: Vec<ReplicaId> = (0..holders.len()).map(|index| format!("r{index}").into()).collect();
        let select = |is_selected: &dyn Fn(&PossibleHolder) -> bool| -> BTreeSet<ReplicaId> {
            let both = ids.iter().zip(&holders);
            both.filter(|(_, known)| is_selected(known)).map(|(id, _)| id.clone()).collect()
        };
        let lost = select(&|known| !known.is_in_reach);
        let may_serve = select(&|known| known.is_in_reach && (known.runs_version || !is_bound));
        let holding = select(&|known| known.holds);
        world.run(6000);
        world.orders.clear();
        for _ in 0..6 {
            world.orderer.set_out_of_reach(lost.clone());
            world.orderer.count_demand(&key("m1", None), &asked(1.0, 5000.0), world.now);
            if is_bound {
                let version = "v1".into();
                world.orderer.mark_waiting_at(&key("m1", None), &version, may_serve.clone(), world.now);
            } else {
                world.orderer.mark_waiting(&key("m1", None), world.now);
            }
            world.run(1000);
        }
        let is_load = |(_, _, order): &&(_, ReplicaId, Order)| *order == Order::LoadModel("m1".into());
        let loading: BTreeSet<ReplicaId> = world.orders.iter().filter(is_load).map(|(_, id, _)| id.clone()).collect();
        let ordered_to_lost = world.orders.iter().any(|(_, id, _)| lost.contains(id));
        prop_assert!(!ordered_to_lost, "{:?}", world.orders);
        let is_held = !may_serve.is_disjoint(&holding);
        let is_loaded = !may_serve.is_disjoint(&loading);
        prop_assert_eq!(is_loaded, !is_held && !may_serve.is_empty(), "{:?}", world.orders);
    }
}

/// Guards against loads for one stream that displace models which many requests need, and against
/// loads of what the version holds.
#[test]
fn plan_does_not_displace_more_than_waits_at_a_version() {
    let mut world = World::new(
        8,
        &[&["m1", "m2", "m6"], &["m3", "m4", "m7"], &["m1", "m5", "m8"]],
    );
    for _ in 0..6 {
        for model in ["m3", "m4", "m7"] {
            world
                .orderer
                .count_demand(&key(model, None), &asked(20.0, 20_000.0), world.now);
        }
        for (version, at) in [("v1", &["r1"][..]), ("v2", &["r0", "r2"])] {
            world
                .orderer
                .mark_waiting_at(&key("m1", None), &version.into(), replicas(at), world.now);
        }
        world.run(1000);
    }
    let loads_m1 = |(_, _, order): &&(_, _, Order)| *order == Order::LoadModel("m1".into());
    assert_eq!(
        world.orders.iter().filter(loads_m1).count(),
        0,
        "{:?}",
        world.orders
    );
}

#[test]
fn plan_loads_waiting_adapter_on_holder_of_its_model() {
    let mut world = World::new(4, &[&["m1"], &["m2"]]);
    world.run(1000);
    world.orderer.mark_waiting(&key("m2", Some("a1")), world.now);
    world.run(600);
    let holder = world.replicas["r1"].holdings();
    assert!(holder.serves("m2", Some("a1")), "orders: {:?}", world.orders);
}

/// Guards against plans that select targets for all waiting models at once, which took most of
/// a small machine's processor time.
#[test]
fn plan_selects_targets_for_few_waiting_models_at_a_time() {
    let held: Vec<&[&str]> = vec![&[]; 12];
    let mut world = World::new(40, &held);
    // The models are on the disks, as loads from the weight store are limited separately.
    for replica in world.replicas.values_mut() {
        replica.model.edit_holdings(world.now, |holdings| {
            holdings.copies.on_disk = (1..=12).map(|index| format!("m{index}").into()).collect();
        });
    }
    world.run(6000);
    let now = world.now;
    for index in 1..=12 {
        world.orderer.mark_waiting(&key(&format!("m{index}"), None), now);
    }
    let goals = |world: &mut World| {
        world.orderer.plan(true, now);
        let decisions = world.orderer.take_decisions();
        decisions
            .iter()
            .filter(|decision| matches!(decision, Decision::Goal { .. }))
            .count()
    };
    let counts: Vec<usize> = (0..4).map(|_| goals(&mut world)).collect();
    assert!(counts.iter().all(|count| *count <= 6), "{counts:?}");
    assert_eq!(counts.iter().sum::<usize>(), 12, "{counts:?}");
}

/// Guards against a ceiling that is split evenly between the shards: a third of a small one is
/// less than one load, so that a shard never loads anything from the weight store.
#[test]
fn own_ceiling_follows_share_of_replicas() {
    let config = OrdererConfig {
        scope: OrderScope::One(Shard::of_replica("r0")),
        ceiling_window: Duration::from_secs(1),
        ..orderer_config()
    };
    let mut world = World::with_config(configuration(8), config, &[&["m1"]]);
    world.run(3000);
    world.orderer.mark_waiting(&key("m5", None), world.now);
    world.run(3500);
    assert!(holds(&world, "m5"), "orders: {:?}", world.orders);
}

/// Guards against goals beyond what the weight store can serve: their victims are unloaded, and
/// the memory stays empty until the ceiling admits the next load.
#[test]
fn plan_sets_no_more_goals_than_weight_store_can_serve() {
    let held: Vec<&[&str]> = vec![&["m1", "m2"]; 9];
    // The initial limit for all orderers together is two concurrent loads of 12 s.
    let configuration = with_store_load(40, Duration::from_secs(12));
    let mut world = World::with_config(configuration, orderer_config(), &held);
    world.run(6000);
    for index in 3..=12 {
        world
            .orderer
            .mark_waiting(&key(&format!("m{index}"), None), world.now);
    }
    world.run(400);
    let unloads = world
        .orders
        .iter()
        .filter(|(_, _, order)| matches!(order, Order::UnloadModel(_)));
    assert!(unloads.count() <= 2, "orders: {:?}", world.orders);
}

/// Guards against orderers that ignore each other's loads: the weight store serves one load of
/// 13 s at full speed. With two loads by each of three orderers all six took 79 s, longer than
/// requests for the models kept arriving.
#[test]
fn plan_counts_store_loads_of_other_orderers() {
    let own = Shard::of_replica("r0");
    let other = (1..).map(|index| format!("x{index}"));
    let other = other
        .into_iter()
        .find(|id| Shard::of_replica(id) != own)
        .expect("an id of another shard");
    let config = OrdererConfig {
        scope: OrderScope::One(own),
        ..orderer_config()
    };
    let load = Duration::from_millis(13_200);
    let mut world = World::with_config(with_store_load(40, load), config, &[&[], &[], &[]]);
    world.orderer.set_reachable([true; 3]);
    world.run(6000);
    let mut table = ReplicaTable::new();
    table.apply_listing(listing(&other.as_str().into(), &Holdings::default()));
    let publish = |table: &mut ReplicaTable, arriving: Vec<Arrival>| {
        table.apply_placement(Placement {
            replica: other.as_str().into(),
            started_ms: None,
            usable: Holdings::default(),
            arriving,
            includes_copies: false,
        });
    };
    let arrival = Arrival {
        model: "m9".into(),
        ready_at: world.now + load,
    };
    publish(&mut table, vec![arrival]);
    let entry = |table: &ReplicaTable| table.get(&other).expect("listed").clone();
    world.orderer.apply_entry(&entry(&table), world.now);
    world.orderer.mark_waiting(&key("m5", None), world.now);
    world.run(2000);
    assert!(world.orders.is_empty(), "orders: {:?}", world.orders);
    // The other orderer's load is done.
    publish(&mut table, Vec::new());
    world.orderer.apply_entry(&entry(&table), world.now);
    world.orderer.mark_waiting(&key("m5", None), world.now);
    world.run(2000);
    assert_eq!(world.orders.len(), 1, "orders: {:?}", world.orders);
}

/// Guards against a load that begins 0.3 or 0.6 s later than it could at the replicas of the second and third
/// shard: the time for which the store had a free slot was counted from the first need for it.
#[test]
fn plan_uses_store_slot_at_once_that_has_been_free() {
    let last = (0..).find(|index| Shard::of_replica(&format!("r{index}")).index() + 1 == SHARD_COUNT);
    let last = last.expect("a replica of the last shard");
    let config = OrdererConfig {
        scope: OrderScope::One(Shard::of_replica(&format!("r{last}"))),
        ..orderer_config()
    };
    let held: Vec<&[&str]> = vec![&["m1"]; last + 1];
    let mut world = World::with_config(configuration(8), config, &held);
    world.orderer.set_reachable([true; SHARD_COUNT]);
    for index in 0..last {
        let leaving = ReplicaListing {
            state: ReplicaState::Draining,
            ..listing(&format!("r{index}").as_str().into(), &Holdings::default())
        };
        world.orderer.apply_listing(&leaving, world.now);
    }
    world.run(6000);
    world.orderer.mark_waiting(&key("m5", None), world.now);
    world.run(200);
    assert_eq!(world.orders.len(), 1, "orders: {:?}", world.orders);
}

/// Returns the usual configuration with the given duration of loads from the weight store.
fn with_store_load(models: usize, store_load: Duration) -> Arc<Configuration> {
    let usual = configuration(models);
    let mut service = Service::clone(usual.service("llm").expect("the service exists"));
    if let Some(engine) = &mut service.engine {
        for spec in engine.models.values_mut() {
            spec.store_load = store_load;
        }
    }
    let limits = CallerLimits::default();
    Arc::new(Configuration::new(1, limits, vec![service], Vec::new()))
}

/// Guards against short loads that count as slowed down: if a load takes about as long as
/// reports lag, it seems slow, and only one load at a time was planned.
#[test]
fn plan_does_not_treat_short_store_loads_as_slow() {
    let configuration = with_store_load(40, Duration::from_millis(250));
    let held: Vec<&[&str]> = vec![&[]; 12];
    let mut world = World::with_config(configuration, orderer_config(), &held);
    world.run(6000);
    for index in 1..=30 {
        world
            .orderer
            .mark_waiting(&key(&format!("m{index}"), None), world.now);
    }
    world.run(3000);
    assert!(
        max_in_window(&world.store_loads, Duration::from_millis(200)) >= 3,
        "loads started at {:?}",
        world.store_loads
    );
}

/// Guards against listed holdings that are never published. Nodes learn of holdings only from
/// placements, so a seventh of the requests at low load were refused as their models seemed
/// absent.
#[test]
fn take_changes_includes_listed_holdings() {
    let mut world = World::new(4, &[&["m1"], &["m2"]]);
    let now = world.now;
    let published = world.orderer.take_changes(now);
    let contains = |replica: &str, model: &str| {
        published
            .iter()
            .any(|placement| &*placement.replica == replica && placement.usable.serves(model, None))
    };
    assert!(
        contains("r0", "m1") && contains("r1", "m2"),
        "published: {published:?}"
    );
    assert!(world.orderer.take_changes(now).is_empty());
}

/// Guards against publishing the copies of held models to every listener: with 3,000 replicas
/// and 300 nodes the busiest node sent 5.5 MB per second, and configurations arrived late.
#[test]
fn all_placements_omits_copies_of_held_models() {
    let mut world = World::new(8, &[&["m1", "m2"]]);
    for replica in world.replicas.values_mut() {
        replica.model.edit_holdings(world.now, |holdings| {
            holdings.copies.in_memory = vec!["m1".into(), "m3".into()];
            holdings.copies.on_disk = vec!["m1".into(), "m2".into(), "m3".into(), "m4".into()];
        });
    }
    world.run(6000);
    let published = world.orderer.all_placements(world.now);
    let copies = &published[0].usable.copies;
    assert_eq!(copies.in_memory, ["m3".into()]);
    assert_eq!(copies.on_disk, ["m4".into()]);
    // Copies that did not change are not published either.
    let first = world.orderer.take_changes(world.now);
    assert!(
        first.iter().all(|placement| !placement.includes_copies),
        "{first:?}"
    );
    world.orderer.mark_waiting(&key("m4", None), world.now);
    world.run(4000);
    let later = world.orderer.take_changes(world.now);
    assert!(
        later.iter().any(|placement| placement.includes_copies),
        "{later:?}"
    );
}

/// Guards against the eviction of a model right after its load: loaded for one waiting request,
/// it has the least demand of all, and was loaded at 9.2 s, unloaded at 11.5 s and loaded
/// elsewhere again.
#[test]
fn plan_does_not_evict_recently_loaded_model() {
    let mut world = World::new(8, &[&["m1", "m2"]]);
    world.run(6000);
    for model in ["m1", "m2"] {
        world
            .orderer
            .count_demand(&key(model, None), &asked(0.2, 2000.0), world.now);
    }
    world.orderer.mark_waiting(&key("m4", None), world.now);
    world.run(2600);
    assert!(holds(&world, "m4"), "orders: {:?}", world.orders);
    world.orderer.mark_waiting(&key("m5", None), world.now);
    world.run(1000);
    assert!(
        holds(&world, "m4"),
        "the recently loaded model stays; orders: {:?}",
        world.orders
    );
}

/// Guards against rare models that evict each other in a cycle: each request for an absent one
/// evicted another of the same demand, whose next request evicted a third.
#[test]
fn plan_does_not_evict_more_valuable_models() {
    let mut world = World::new(8, &[&["m1", "m2"]]);
    world.run(6000);
    for _ in 0..10 {
        for model in ["m1", "m2"] {
            let urgent = DemandSample {
                caller_time: Duration::from_millis(1500),
                ..asked(1.0, 1000.0)
            };
            world.orderer.count_demand(&key(model, None), &urgent, world.now);
        }
        world.run(1000);
    }
    world
        .orderer
        .count_demand(&key("m4", None), &asked(1.0, 1000.0), world.now);
    world.orderer.mark_waiting(&key("m4", None), world.now);
    world.run(3000);
    assert!(
        holds(&world, "m1") && holds(&world, "m2"),
        "orders: {:?}",
        world.orders
    );
}

/// Guards against the eviction of an adapter right after its load, when no further request for
/// it has arrived yet.
#[test]
fn plan_does_not_evict_recently_loaded_adapter() {
    let mut world = World::new(4, &[&["m1"]]);
    world.run(1000);
    for adapter in ["a1", "a2", "a3", "a4"] {
        let requested = key("m1", Some(adapter));
        world
            .orderer
            .count_demand(&requested, &asked(1.0, 1000.0), world.now);
        world.orderer.mark_waiting(&requested, world.now);
        world.run(200);
    }
    let held = world.replicas["r0"].holdings();
    assert!(held.serves("m1", Some("a4")), "orders: {:?}", world.orders);
    assert!(held.serves("m1", Some("a3")), "orders: {:?}", world.orders);
    assert!(
        !held.serves("m1", Some("a1")),
        "the least recently requested adapter is evicted"
    );
}

/// Guards against replicas that get no adapter orders while they have a goal: an adapter of a
/// model with one holder waited for as long as one goal followed another there.
#[test]
fn plan_orders_adapters_before_weights() {
    let mut world = World::new(8, &[&["m1", "m2"]]);
    world.run(6000);
    world.orderer.mark_waiting(&key("m4", None), world.now);
    world.orderer.mark_waiting(&key("m1", Some("a1")), world.now);
    world.run(40);
    let first = &world.orders.first().expect("an order was given").2;
    assert_eq!(*first, Order::LoadAdapter("m1".into(), "a1".into()));
}

#[test]
fn plan_sends_no_load_to_draining_replica() {
    let mut world = World::new(6, &[&["m1"], &["m2"]]);
    world.run(6000);
    let id = "r0".into();
    let mut draining = listing(&id, world.replicas["r0"].holdings());
    draining.state = croftrill_scheduler::replica::ReplicaState::Draining;
    world.orderer.apply_listing(&draining, world.now);
    world.orderer.mark_waiting(&key("m4", None), world.now);
    world.run(3000);
    assert!(
        world.orders.iter().all(|(_, replica, _)| &**replica == "r1"),
        "{:?}",
        world.orders
    );
}

fn delivery() -> impl Strategy<Value = OrderDelivery> {
    prop_oneof![
        4 => Just(OrderDelivery::Answered),
        1 => Just(OrderDelivery::AnswerLost),
        1 => (600u64..9000).prop_map(OrderDelivery::Late),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 48,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Whichever answers are lost and whenever orders are executed, no replica is ordered to
    /// hold more than fits, and the weight store's ceiling is not exceeded.
    #[test]
    fn plan_respects_limits_whatever_happens_to_orders(
        deliveries in prop::collection::vec(delivery(), 0..60),
        requests in prop::collection::vec((0usize..14, 0usize..5, 20u64..900), 1..50),
    ) {
        let mut world = World::new(14, &[&["m1", "m2"], &["m3", "m4"], &["m0", "m6", "m9"]]);
        world.deliveries = deliveries.into();
        world.run(500);
        for (model, adapter, pause) in requests {
            let model = format!("m{model}");
            let adapter = (adapter > 0).then(|| format!("a{adapter}"));
            let requested = key(&model, adapter.as_deref());
            world.orderer.count_demand(&requested, &asked(1.0, 3000.0), world.now);
            world.orderer.mark_waiting(&requested.base(), world.now);
            world.orderer.mark_waiting(&requested, world.now);
            world.run(pause);
        }
        world.run(12_000);
        for (id, replica) in &world.replicas {
            let peak = replica.model.peak();
            prop_assert!(replica.model.violation().is_none(), "{id}: {:?}", replica.model.violation());
            prop_assert!(peak.memory_mb <= WEIGHTS_MB, "{id}: {peak}");
            prop_assert!(peak.adapter_slots <= ADAPTER_SLOTS, "{id}: {peak}");
        }
        let ceiling = (LOADS_PER_SECOND * CEILING_WINDOW.as_secs_f64() * 1.1) as usize + 3;
        prop_assert!(max_in_window(&world.store_loads, CEILING_WINDOW) <= ceiling);
    }
}

/// Guards against a predecessor's loads that count as started at the first requested load
/// instead of the takeover, which allowed no load from the weight store for 5 s more.
#[test]
fn new_counts_predecessor_loads_from_takeover() {
    let mut world = World::new(12, &[&[], &[]]);
    world.may_order = false;
    world.run(4000);
    world.may_order = true;
    world.orderer.mark_waiting(&key("m1", None), world.now);
    world.run(1500);
    assert_eq!(world.store_loads.len(), 1, "orders: {:?}", world.orders);
}

#[test]
fn new_counts_predecessor_loads_towards_ceiling() {
    let mut world = World::new(12, &[&[], &[], &[], &[]]);
    for model in 0..12 {
        world
            .orderer
            .mark_waiting(&key(&format!("m{model}"), None), world.now);
    }
    world.run(4500);
    assert!(
        world.store_loads.is_empty(),
        "the predecessor's loads count within the window"
    );
    assert_eq!(max_in_window(&world.store_loads, Duration::from_secs(5)), 0);
}

/// A replica reports to its orderer's node that it is leaving, long before its entry does.
#[test]
fn apply_entry_of_leaving_replica_prevents_loads() {
    let mut world = World::new(6, &[&["m1"], &["m2"]]);
    world.run(6000);
    let id: ReplicaId = "r0".into();
    let mut table = ReplicaTable::new();
    table.apply_listing(listing(&id, world.replicas["r0"].holdings()));
    let leaving = ReplicaSignals {
        is_leaving: true,
        ..ReplicaSignals::default()
    };
    let started_ms = table.get("r0").and_then(|entry| entry.listing.started_ms);
    let call = AnsweredCall {
        started_ms,
        sent_at: world.now,
        answered_at: world.now,
    };
    assert!(table.apply_signals(&id, call, leaving).leaving);
    let entry = table.get("r0").expect("it is listed").clone();
    world.orderer.apply_entry(&entry, world.now);
    world.orderer.mark_waiting(&key("m4", None), world.now);
    world.run(3000);
    assert!(
        world.orders.iter().all(|(_, replica, _)| &**replica == "r1"),
        "{:?}",
        world.orders
    );
}

/// Applies signals by which the replicas limit the calls that they take.
fn apply_limits(world: &mut World, ids: &[&str]) {
    let mut table = ReplicaTable::new();
    for id in ids {
        let id: ReplicaId = (*id).into();
        table.apply_listing(listing(&id, world.replicas[&id].holdings()));
        let call = AnsweredCall {
            started_ms: None,
            sent_at: world.now,
            answered_at: world.now,
        };
        let signals = ReplicaSignals {
            limit: LimitSignal::Limited(RequestRate::from_millis_per_s(1000)),
            ..ReplicaSignals::default()
        };
        assert!(table.apply_signals(&id, call, signals).limit);
        let entry = table.get(&id).expect("it is listed").clone();
        world.orderer.apply_entry(&entry, world.now);
    }
}

/// A replica that limits calls counts orders and report requests like its callers' requests.
#[test]
fn apply_entry_of_limited_replica_makes_it_last_choice() {
    let mut world = World::new(8, &[&["m1"], &["m2"]]);
    world.run(6000);
    apply_limits(&mut world, &["r0"]);
    for model in ["m4", "m5"] {
        world.orderer.mark_waiting(&key(model, None), world.now);
        world.run(4000);
    }
    assert!(!world.orders.is_empty());
    let elsewhere = |(_, replica, _): &(_, ReplicaId, _)| &**replica == "r1";
    assert!(world.orders.iter().all(elsewhere), "{:?}", world.orders);
    apply_limits(&mut world, &["r1"]);
    world.orderer.mark_waiting(&key("m6", None), world.now);
    world.run(4000);
    assert!(
        holds(&world, "m6"),
        "models are loaded even if all replicas limit calls: {:?}",
        world.orders
    );
}

#[test]
fn plan_sends_nothing_to_paused_replica() {
    let mut world = World::new(8, &[&["m1"]]);
    world.run(6000);
    apply_limits(&mut world, &["r0"]);
    world.orderer.pause_calls("r0", true);
    world.orderer.mark_waiting(&key("m4", None), world.now);
    for _ in 0..300 {
        world.now = world.now + Duration::from_millis(20);
        let actions = world.orderer.plan(true, world.now);
        assert!(actions.is_empty(), "{actions:?}");
    }
    world.orderer.pause_calls("r0", false);
    world.orderer.mark_waiting(&key("m4", None), world.now);
    world.run(4000);
    assert!(holds(&world, "m4"), "orders: {:?}", world.orders);
}

/// Guards against a replica that restarts while its entry remains: its reports show a lower
/// order sequence than before, and were ignored forever.
#[test]
fn record_report_of_restarted_replica_resumes_orders() {
    let mut world = World::new(8, &[&["m1"], &["m2"]]);
    world.run(1000);
    for model in ["m3", "m4"] {
        world.orderer.mark_waiting(&key(model, None), world.now);
        world.run(4000);
    }
    for replica in world.replicas.values_mut() {
        replica.restart(world.now);
    }
    world.run(4000);
    for model in ["m1", "m2"] {
        world.orderer.mark_waiting(&key(model, None), world.now);
        world.run(6000);
        assert!(holds(&world, model), "orders: {:?}", world.orders);
    }
}

/// Guards against an answer of an earlier incarnation that arrives after the restart and counts
/// for the new one.
#[test]
fn record_order_outcome_from_earlier_incarnation_changes_nothing() {
    let mut world = World::new(8, &[&["m1"], &["m2"]]);
    world.run(1000);
    let id: std::sync::Arc<str> = "r0".into();
    let now = world.now;
    world.replicas.get_mut(&id).expect("it is there").restart(now);
    world.run(4000);
    assert_eq!(world.orderer.started_ms("r0"), Some(2));
    let before = format!("{:?}", world.orderer.all_placements(world.now));
    world
        .orderer
        .record_order_outcome_from("r0", Some(1), OrderOutcome::Accepted, world.now);
    assert_eq!(before, format!("{:?}", world.orderer.all_placements(world.now)));
}
