//! Tests what orders without an answer may take in a later life of their replica.

use std::collections::HashMap;
use std::time::Duration;

use croftrill_scheduler::catalog::{EngineSpec, ModelSpec};
use croftrill_scheduler::replica::{HeldModel, Holdings, Order, OrderOutcome};
use croftrill_scheduler::replica_room::RoomUse;
use croftrill_scheduler::time::Moment;
use croftrill_scheduler::unanswered_orders::{OthersOrders, UnansweredOrders, UNANSWERED_ORDER_LIFETIME};

const FORMER: Option<u64> = Some(1);
const PRESENT: Option<u64> = Some(2);

fn at(millis: u64) -> Moment {
    Moment::from_start(Duration::from_millis(1_000_000 + millis))
}

/// Returns an engine with models of 70 and 40 MB, whose adapters take 2 MB.
fn engine() -> EngineSpec {
    let model = |name: &str, weights_mb: f64| ModelSpec {
        name: name.into(),
        weights_mb,
        adapter_mb: 2.0,
        adapter_count: 4,
        store_load: Duration::from_secs(2),
        disk_load: Duration::from_secs(1),
        memory_load: Duration::from_millis(500),
    };
    let models = [model("large", 70.0), model("small", 40.0)];
    EngineSpec {
        model_order: models.iter().map(|spec| spec.name.clone()).collect(),
        models: HashMap::from(models.map(|spec| (spec.name.clone(), spec))),
        weights_mb: 200.0,
        adapter_slots: 4,
        loads_per_second: 2.0,
        kv_capacity: 1000,
    }
}

fn load(model: &str) -> Order {
    Order::LoadModel(model.into())
}

/// Records an order to the former life that got no answer.
fn unanswered(orders: &mut UnansweredOrders, order: Order, expected_sequence: u64) {
    orders.record_sent(order, expected_sequence, FORMER, at(0));
    orders.record_outcome(FORMER, OrderOutcome::Unknown);
}

/// Returns the holdings of a replica that holds nothing.
fn empty_at(sequence: u64) -> Holdings {
    Holdings {
        sequence,
        ..Holdings::default()
    }
}

fn memory(memory_mb: f64) -> RoomUse {
    RoomUse {
        memory_mb,
        adapter_slots: 0,
    }
}

/// Guards against room that is taken twice: in the life in which an order was checked it fits.
#[test]
fn room_use_in_the_life_of_the_order_is_empty() {
    let mut orders = UnansweredOrders::default();
    unanswered(&mut orders, load("large"), 3);
    assert_eq!(
        orders.room_use(&engine(), FORMER, &empty_at(2)),
        RoomUse::default()
    );
    assert_eq!(orders.room_use(&engine(), PRESENT, &empty_at(2)), memory(70.0));
}

/// Guards against room that stays taken: an order cannot be carried out once its sequence has passed, and
/// of several for one sequence only one can.
#[test]
fn room_use_follows_the_sequence() {
    let mut orders = UnansweredOrders::default();
    unanswered(&mut orders, load("large"), 3);
    unanswered(&mut orders, load("small"), 3);
    unanswered(&mut orders, load("small"), 5);
    unanswered(&mut orders, Order::UnloadModel("large".into()), 6);
    assert_eq!(orders.room_use(&engine(), PRESENT, &empty_at(0)), memory(110.0));
    assert_eq!(orders.room_use(&engine(), PRESENT, &empty_at(2)), memory(110.0));
    assert_eq!(orders.room_use(&engine(), PRESENT, &empty_at(3)), memory(40.0));
    assert_eq!(orders.room_use(&engine(), PRESENT, &empty_at(4)), memory(40.0));
    assert_eq!(
        orders.room_use(&engine(), PRESENT, &empty_at(5)),
        RoomUse::default()
    );
}

/// Guards against an order that is on its way when its replica restarts.
#[test]
fn room_use_counts_orders_in_flight_until_their_answer() {
    let mut orders = UnansweredOrders::default();
    let adapter = Order::LoadAdapter("small".into(), "a1".into());
    orders.record_sent(adapter, 2, FORMER, at(0));
    let taken = orders.room_use(&engine(), PRESENT, &empty_at(0));
    assert_eq!((taken.adapter_slots, taken.memory_mb), (1, 2.0));
    orders.record_sent(load("large"), 0, PRESENT, at(100));
    orders.record_outcome(FORMER, OrderOutcome::Conflict);
    assert_eq!(
        orders.room_use(&engine(), PRESENT, &empty_at(0)),
        RoomUse::default()
    );
    orders.record_outcome(PRESENT, OrderOutcome::Accepted);
    assert!(orders.is_empty());
}

#[test]
fn prune_forgets_orders_that_are_too_old() {
    let mut orders = UnansweredOrders::default();
    unanswered(&mut orders, load("large"), 3);
    orders.prune(at(0) + UNANSWERED_ORDER_LIFETIME - Duration::from_millis(1));
    assert_eq!(orders.room_use(&engine(), PRESENT, &empty_at(0)), memory(70.0));
    orders.prune(at(0) + UNANSWERED_ORDER_LIFETIME);
    assert!(orders.is_empty());
}

/// Guards against orders of others that are not known: the largest of them is assumed, for a time.
#[test]
fn room_use_assumes_largest_unknown_order() {
    let mut orders = UnansweredOrders::default();
    orders.assume_unknown_until(at(5000));
    let taken = orders.room_use(&engine(), PRESENT, &empty_at(9));
    assert_eq!((taken.adapter_slots, taken.memory_mb), (1, 70.0));
    orders.prune(at(4999));
    assert!(!orders.is_empty());
    orders.prune(at(5000));
    assert_eq!(
        orders.room_use(&engine(), PRESENT, &empty_at(9)),
        RoomUse::default()
    );
}

/// Guards against a replica that gets no orders at all: with room for one model, nothing is assumed.
#[test]
fn room_use_leaves_room_for_one_model() {
    let mut orders = UnansweredOrders::default();
    orders.assume_unknown_until(at(5000));
    let small = EngineSpec {
        weights_mb: 90.0,
        adapter_slots: 1,
        ..engine()
    };
    assert_eq!(orders.room_use(&small, PRESENT, &empty_at(0)), memory(20.0));
}

/// Guards against room for a model twice: an order to load what is there already takes nothing.
#[test]
fn room_use_of_effect_that_holds_is_empty() {
    let mut orders = UnansweredOrders::default();
    unanswered(&mut orders, load("large"), 3);
    let mut holdings = empty_at(1);
    holdings.models.push(HeldModel {
        model: "large".into(),
        adapters: Vec::new(),
    });
    assert_eq!(orders.room_use(&engine(), PRESENT, &holdings), RoomUse::default());
}

/// Guards against room that is kept in vain: an order that is sent now names the present sequence, so it and
/// one of a former life that names the same cannot both be carried out.
#[test]
fn room_use_leaves_out_orders_at_present_sequence() {
    let mut orders = UnansweredOrders::default();
    unanswered(&mut orders, load("large"), 3);
    assert_eq!(orders.room_use(&engine(), PRESENT, &empty_at(2)), memory(70.0));
    assert_eq!(
        orders.room_use(&engine(), PRESENT, &empty_at(3)),
        RoomUse::default()
    );
}

/// Guards against clocks that differ: the start of a life is told by the replica's clock, and compared with
/// that of a node, which may be some seconds ahead or behind.
#[test]
fn may_reach_allows_for_clocks_that_differ() {
    let secs = Duration::from_secs;
    let start_ms = |time: Duration| time.as_millis() as u64;
    let now = secs(1_000_000);
    let lifetime = UNANSWERED_ORDER_LIFETIME;
    // A life that began as the oldest order that can have an effect was sent.
    let start = now - lifetime;
    for ahead in [0, 2, 4] {
        let others = OthersOrders::before(now + secs(ahead), secs(600));
        assert!(others.may_reach(start_ms(start), true), "{ahead} s ahead");
    }
    assert!(!OthersOrders::before(now, secs(600)).may_reach(start_ms(start - secs(10)), true));
    // A life that began before the node knew all replicas may be a second one.
    for behind in [0, 2, 4] {
        let others = OthersOrders::before(now - secs(behind), secs(8));
        assert!(
            others.may_reach(start_ms(now - secs(9)), false),
            "{behind} s behind"
        );
    }
    assert!(!OthersOrders::before(now, secs(14)).may_reach(start_ms(now - secs(2)), false));
}
