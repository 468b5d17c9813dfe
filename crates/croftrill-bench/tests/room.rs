//! The room of replicas: an orderer never orders more than fits, whatever is on its way there.

use std::time::Duration;

use croftrill_bench::emulator::{orderer_config, OrderDelivery, World, ADAPTER_SLOTS, FIRST_START_MS};
use croftrill_scheduler::catalog::AdapterName;
use croftrill_scheduler::demand::{DemandSample, ModelKey};
use croftrill_scheduler::orderer::OrdererConfig;
use croftrill_scheduler::replica::Order;
use croftrill_scheduler::unanswered_orders::{OthersOrders, MAX_CLOCK_DIFFERENCE, UNANSWERED_ORDER_LIFETIME};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn key(model: &str, adapter: Option<&str>) -> ModelKey {
    ModelKey {
        service: "llm".into(),
        model: model.into(),
        adapter: adapter.map(Into::into),
    }
}

fn adapter(number: u64) -> AdapterName {
    format!("a{number}").into()
}

/// Asks for an adapter and its model once.
fn ask(world: &mut World, model: &str, adapter: Option<&str>) {
    let asked = DemandSample {
        requests: 1.0,
        tokens: 1000.0,
        caller_time: Duration::from_millis(4000),
        late: 0.0,
    };
    let requested = key(model, adapter);
    world.orderer.count_demand(&requested, &asked, world.now);
    world.orderer.mark_waiting(&requested.base(), world.now);
    world.orderer.mark_waiting(&requested, world.now);
}

/// Asks for one adapter after the other of two models.
fn ask_for_adapters(world: &mut World, rounds: u64, pause_ms: u64) {
    for round in 0..rounds {
        ask(
            world,
            ["m1", "m2"][round as usize % 2],
            Some(&adapter(round % 9 + 1)),
        );
        world.run(pause_ms);
    }
}

/// Guards against adapters that take longer than usual: half a second after they should have arrived,
/// their slots counted as free.
#[test]
fn plan_counts_slow_adapters_in_transit() {
    for transit_ms in [10, 150, 400, 700, 2000, 6000] {
        let mut world = World::new(3, &[&["m1", "m2"]]);
        world.set_adapter_transit_ms(transit_ms);
        world.run(6000);
        ask_for_adapters(&mut world, 60, 100);
        world.run(10_000);
        assert_eq!(
            world.violations(),
            Vec::<String>::new(),
            "transit {transit_ms} ms"
        );
    }
}

/// Guards against a new orderer that does not know what its predecessor ordered: it counted what a
/// report lists as held only.
#[test]
fn new_orderer_counts_adapters_in_transit() {
    for transit_ms in [700, 2000, 6000] {
        let mut world = World::new(3, &[&["m1", "m2"]]);
        world.set_adapter_transit_ms(transit_ms);
        world.run(6000);
        for _ in 0..8 {
            ask_for_adapters(&mut world, 6, 60);
            world.replace_orderer(orderer_config());
            world.run(300);
        }
        assert_eq!(
            world.violations(),
            Vec::<String>::new(),
            "transit {transit_ms} ms"
        );
    }
}

/// Guards against slots that stay taken: adapters that have arrived are evicted for others.
#[test]
fn plan_uses_slots_of_slow_adapters_again() {
    let mut world = World::new(3, &[&["m1", "m2"]]);
    world.set_adapter_transit_ms(700);
    world.run(6000);
    ask_for_adapters(&mut world, 80, 100);
    let is_load = |order: &Order| matches!(order, Order::LoadAdapter(..));
    let loads = world.orders.iter().filter(|(.., order)| is_load(order)).count();
    assert!(loads > 2 * ADAPTER_SLOTS, "{loads} loads");
    world.run(10_000);
    ask(&mut world, "m1", Some("a9"));
    world.run(3000);
    assert!(
        world.replicas["r0"].holdings().serves("m1", Some("a9")),
        "orders: {:?}",
        world.orders
    );
}

/// Guards against late orders of a former life of a replica: they fit a sequence that it reaches again,
/// where it holds something else.
#[test]
fn plan_counts_orders_of_former_life() {
    let mut world = World::new(9, &[&["m1"]]);
    let now = world.now;
    let replica = world.replicas.get_mut("r0").expect("it exists");
    replica.model.edit_holdings(now, |holdings| {
        holdings.copies.on_disk = (0..9).map(|number| format!("m{number}").into()).collect();
    });
    world.run(6000);
    for number in [1, 2] {
        ask(&mut world, "m1", Some(&adapter(number)));
        world.run(200);
    }
    world.deliveries = vec![OrderDelivery::Late(9500)].into();
    ask(&mut world, "m4", None);
    world.run(600);
    let (_, _, late) = world.orders.last().expect("an order was given");
    assert_eq!(*late, Order::LoadModel("m4".into()));
    world.restart("r0");
    // Nobody waits for m4 any more.
    world.may_order = false;
    world.run(5000);
    world.may_order = true;
    for model in ["m5", "m7"] {
        ask(&mut world, model, None);
        world.run(1500);
    }
    world.run(3000);
    assert_eq!(world.violations(), Vec::<String>::new());
    ask(&mut world, "m8", None);
    world.run(6000);
    assert!(
        world.replicas["r0"].holdings().serves("m8", None),
        "orders: {:?}",
        world.orders
    );
}

/// Guards against a late order that names a sequence which its replica had not reached when it was sent: the
/// orderer had counted a step that the replica had not, and another step led to that sequence.
#[test]
fn plan_names_no_sequence_ahead_of_replica() {
    let mut world = World::new(9, &[&["m1", "m2"]]);
    world.run(6000);
    for number in 1..=ADAPTER_SLOTS as u64 {
        ask(&mut world, "m1", Some(&adapter(number)));
        world.run(600);
    }
    // A predecessor evicts an adapter that requests still use.
    world.set_use_ms(600);
    ask(&mut world, "m1", Some("a8"));
    while !matches!(world.orders.last(), Some((.., Order::UnloadAdapter(..)))) {
        world.run(20);
    }
    world.replace_orderer(orderer_config());
    world.run(1000);
    world.set_use_ms(0);
    world.deliveries = vec![OrderDelivery::Answered, OrderDelivery::Late(1500)].into();
    ask(&mut world, "m2", Some("a7"));
    world.run(600);
    world.replace_orderer(orderer_config());
    ask(&mut world, "m1", Some("a9"));
    world.run(6000);
    assert_eq!(
        world.violations(),
        Vec::<String>::new(),
        "orders: {:?}",
        world.orders
    );
    let replica = &world.replicas["r0"];
    assert!(
        replica.holdings().serves("m1", Some("a9")),
        "orders: {:?}",
        world.orders
    );
}

/// An event of a run with faults.
#[derive(Debug, Clone)]
enum Event {
    Ask(u64, u64),
    Transit(u64),
    /// Requests still use adapters, and models, that are to be unloaded for so long.
    Use(u64),
    Restart(usize),
    Replace,
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        30 => (0u64..10, 0u64..6).prop_map(|(model, adapter)| Event::Ask(model, adapter)),
        2 => prop_oneof![Just(10u64), 10u64..400, 400u64..4000].prop_map(Event::Transit),
        2 => prop_oneof![Just(0u64), 10u64..600, 600u64..8000].prop_map(Event::Use),
        1 => (0usize..3).prop_map(Event::Restart),
        1 => Just(Event::Replace),
    ]
}

/// Returns what a new orderer knows of others' orders: they may reach any life but the first.
fn others_orders() -> OthersOrders {
    let first_life_over = Duration::from_millis(FIRST_START_MS + 1);
    let time_of_day = first_life_over + UNANSWERED_ORDER_LIFETIME + MAX_CLOCK_DIFFERENCE;
    OthersOrders::before(time_of_day, Duration::ZERO)
}

fn delivery() -> impl Strategy<Value = OrderDelivery> {
    prop_oneof![
        5 => Just(OrderDelivery::Answered),
        1 => Just(OrderDelivery::AnswerLost),
        2 => (600u64..12_000).prop_map(OrderDelivery::Late),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: std::env::var("CROFTRILL_ROOM_CASES").ok().and_then(|cases| cases.parse().ok()).unwrap_or(60),
        rng_seed: RngSeed::Fixed(17),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against orders beyond the room of a replica, whatever is slow, late, lost or restarted, and
    /// against room that is not used again once all that is over.
    #[test]
    fn plan_never_exceeds_room(
        deliveries in prop::collection::vec(delivery(), 0..120),
        events in prop::collection::vec((event(), 20u64..500), 1..120),
    ) {
        let mut world = World::new(10, &[&["m1", "m2"], &["m3", "m4"], &["m0", "m6", "m9"]]);
        world.run(500);
        world.deliveries = deliveries.into();
        for (event, pause) in events {
            match event {
                Event::Ask(model, number) => {
                    let name = adapter(number);
                    ask(&mut world, &format!("m{model}"), (number > 0).then_some(&*name));
                }
                Event::Transit(transit_ms) => world.set_adapter_transit_ms(transit_ms),
                Event::Use(use_ms) => world.set_use_ms(use_ms),
                Event::Restart(replica) => world.restart(&format!("r{replica}")),
                Event::Replace => world.replace_orderer(OrdererConfig {
                    others_orders: Some(others_orders()),
                    ..orderer_config()
                }),
            }
            world.run(pause);
        }
        world.set_adapter_transit_ms(10);
        world.set_use_ms(0);
        world.deliveries.clear();
        world.run(UNANSWERED_ORDER_LIFETIME.as_millis() as u64);
        prop_assert_eq!(world.violations(), Vec::<String>::new());
        for (model, adapter) in [("m2", "a8"), ("m5", "a9")] {
            ask(&mut world, model, Some(adapter));
            world.run(6000);
            ask(&mut world, model, Some(adapter));
            world.run(3000);
            let mut replicas = world.replicas.values();
            let is_held = replicas.any(|replica| replica.holdings().serves(model, Some(adapter)));
            prop_assert!(is_held, "{model}/{adapter}: {:?}", world.orders);
        }
        prop_assert_eq!(world.violations(), Vec::<String>::new());
    }
}

/// Guards against requests that wait for an adapter that should have arrived: no report showed that it had
/// not, and they were sent to it again and again.
#[test]
fn mark_waiting_for_adapter_in_transit_requests_report() {
    let mut world = World::new(3, &[&["m1", "m2"]]);
    world.set_adapter_transit_ms(900);
    world.run(6000);
    ask(&mut world, "m1", Some("a1"));
    world.run(400);
    let usable = |world: &World| {
        let placements = world.orderer.all_placements(world.now);
        placements[0].usable.serves("m1", Some("a1"))
    };
    assert!(usable(&world), "it should have arrived");
    world.orderer.mark_waiting(&key("m1", Some("a1")), world.now);
    world.run(100);
    assert!(!usable(&world));
    world.run(1000);
    assert!(usable(&world));
}
