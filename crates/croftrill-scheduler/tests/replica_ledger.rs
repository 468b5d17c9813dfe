//! Tests the orderer's ledger of one replica.

use std::time::Duration;

use croftrill_scheduler::replica::{HeldModel, Holdings, Order, OrderOutcome, ReplicaReport};
use croftrill_scheduler::replica_ledger::{LedgerChange, LedgerConfig, ReplicaLedger};
use croftrill_scheduler::time::Moment;

fn at(millis: u64) -> Moment {
    Moment::from_start(Duration::from_millis(1_000_000 + millis))
}

fn holdings(sequence: u64, models: &[&str]) -> Holdings {
    let models = models.iter().map(|model| HeldModel {
        model: (*model).into(),
        adapters: Vec::new(),
    });
    Holdings {
        sequence,
        models: models.collect(),
        copies: Default::default(),
    }
}

/// Returns true if a report is due, and records it as requested.
fn requests_report(ledger: &mut ReplicaLedger, now: Moment) -> bool {
    let is_due = ledger.report_due(now).is_some();
    if is_due {
        ledger.record_report_request();
    }
    is_due
}

fn report(sequence: u64, models: &[&str], busy: bool) -> ReplicaReport {
    ReplicaReport {
        holdings: holdings(sequence, models),
        in_transit: None,
        busy,
        waiting: 0,
        running: 0,
        started_ms: None,
    }
}

/// Creates a ledger that a report has confirmed at sequence 5.
fn confirmed() -> ReplicaLedger {
    let mut ledger = ReplicaLedger::new(LedgerConfig::default(), holdings(0, &["m1"]), at(0));
    assert!(requests_report(&mut ledger, at(0)));
    ledger.apply_report(&report(5, &["m1"], false), at(0), at(10));
    ledger
}

#[test]
fn is_idle_before_a_report_is_false() {
    let ledger = ReplicaLedger::new(LedgerConfig::default(), holdings(0, &["m1"]), at(0));
    assert!(!ledger.is_idle());
    assert!(confirmed().is_idle());
}

#[test]
fn begin_order_returns_the_sequence_of_the_last_report() {
    assert_eq!(confirmed().begin_order(Order::LoadModel("m2".into()), at(100)), 5);
}

#[test]
fn apply_report_from_before_the_order_settles_nothing() {
    let mut ledger = confirmed();
    ledger.begin_order(Order::LoadModel("m2".into()), at(100));
    ledger.record_outcome(OrderOutcome::Accepted, Duration::from_millis(500), at(110));
    assert_eq!(
        ledger.apply_report(&report(5, &["m1"], false), at(600), at(610)),
        LedgerChange::None
    );
    assert!(!ledger.is_idle());
    let done = ledger.apply_report(&report(6, &["m1", "m2"], false), at(700), at(710));
    assert_eq!(done, LedgerChange::Done(Order::LoadModel("m2".into())));
    assert!(ledger.is_idle());
}

#[test]
fn apply_report_settles_an_unanswered_order() {
    let mut ledger = confirmed();
    ledger.begin_order(Order::LoadModel("m2".into()), at(100));
    ledger.record_outcome(OrderOutcome::Unknown, Duration::ZERO, at(600));
    assert_eq!(
        ledger.apply_report(&report(5, &["m1"], false), at(700), at(710)),
        LedgerChange::None
    );
    assert!(!ledger.is_idle(), "the report may be older than the order");
    let settled = ledger.apply_report(&report(5, &["m1"], false), at(900), at(910));
    assert_eq!(settled, LedgerChange::Failed(Order::LoadModel("m2".into())));
    assert!(ledger.is_idle());
    assert_eq!(
        ledger.begin_order(Order::LoadModel("m3".into()), at(920)),
        5,
        "only one of the two orders can be accepted"
    );
}

#[test]
fn apply_report_continues_an_unanswered_order_that_was_accepted() {
    let mut ledger = confirmed();
    ledger.begin_order(Order::LoadModel("m2".into()), at(100));
    ledger.record_outcome(OrderOutcome::Unknown, Duration::ZERO, at(600));
    assert!(!matches!(
        ledger.apply_report(&report(6, &["m1"], true), at(900), at(910)),
        LedgerChange::Failed(_)
    ));
    assert!(!ledger.is_idle());
    let done = ledger.apply_report(&report(6, &["m1", "m2"], false), at(2000), at(2010));
    assert_eq!(done, LedgerChange::Done(Order::LoadModel("m2".into())));
}

#[test]
fn record_outcome_of_a_conflict_requires_a_report() {
    let mut ledger = confirmed();
    ledger.begin_order(Order::UnloadModel("m1".into()), at(100));
    ledger.record_outcome(OrderOutcome::Conflict, Duration::ZERO, at(110));
    assert!(!ledger.is_idle());
    assert!(
        !requests_report(&mut ledger, at(200)),
        "a report may be older than the conflict"
    );
    assert!(requests_report(&mut ledger, at(400)));
    ledger.apply_report(&report(7, &["m2"], false), at(400), at(410));
    assert!(ledger.is_idle());
    assert!(ledger.holdings().serves("m2", None));
}

/// The sequence of a listing counts heartbeats. When listings were applied after a report,
/// their higher sequence made every later report look outdated.
#[test]
fn apply_listing_after_a_report_changes_nothing() {
    let mut ledger = confirmed();
    assert_eq!(ledger.apply_listing(&holdings(90, &["m9"])), LedgerChange::None);
    assert!(ledger.holdings().serves("m1", None));
}

/// Sends an order to load an adapter at `now_ms`, which is accepted. Returns the sequence
/// that the order names.
fn load_adapter(ledger: &mut ReplicaLedger, adapter: &str, now_ms: u64) -> u64 {
    let order = Order::LoadAdapter("m1".into(), adapter.into());
    let sequence = ledger.begin_order(order.clone(), at(now_ms));
    let change = ledger.record_outcome(OrderOutcome::Accepted, Duration::from_millis(30), at(now_ms + 2));
    assert_eq!(change, LedgerChange::Done(order));
    sequence
}

/// Guards against slow adapter loads: when each order waited for a report that showed its
/// effect, a replica got one adapter each 150 to 180 ms, although an adapter loads in 10 ms.
#[test]
fn is_idle_after_an_adapter_load_without_a_report() {
    let mut ledger = confirmed();
    assert_eq!(load_adapter(&mut ledger, "a1", 100), 5);
    assert!(ledger.is_idle());
    assert_eq!(load_adapter(&mut ledger, "a2", 104), 6);
    assert!(ledger.is_in_transit("m1", "a1"));
    assert!(ledger.mark_arrivals(at(140)));
    assert!(!ledger.is_in_transit("m1", "a1"));
    assert!(!ledger.mark_arrivals(at(150)), "each arrives once");
}

#[test]
fn is_idle_bounds_adapters_in_transit() {
    let mut ledger = confirmed();
    for (index, adapter) in ["a1", "a2", "a3", "a4"].iter().enumerate() {
        assert!(ledger.is_idle());
        load_adapter(&mut ledger, adapter, 100 + index as u64);
    }
    assert!(!ledger.is_idle());
    ledger.mark_arrivals(at(200));
    assert!(ledger.is_idle());
}

/// Guards against overfilling a replica: when a report lacked an adapter that was still in
/// transit, its slot was given to another adapter, one more than the replica has slots.
#[test]
fn apply_report_without_an_adapter_in_transit_frees_no_slot() {
    let mut ledger = confirmed();
    load_adapter(&mut ledger, "a1", 100);
    ledger.mark_arrivals(at(140));
    ledger.apply_report(&report(6, &["m1"], false), at(300), at(310));
    assert!(ledger.holdings().serves("m1", Some("a1")));
    ledger.mark_arrivals(at(900));
    ledger.apply_report(&report(6, &["m1"], false), at(900), at(910));
    assert!(!ledger.holdings().serves("m1", Some("a1")), "it never arrived");
}

#[test]
fn begin_order_to_unload_an_adapter_ends_its_transit() {
    let mut ledger = confirmed();
    load_adapter(&mut ledger, "a1", 100);
    ledger.begin_order(Order::UnloadAdapter("m1".into(), "a1".into()), at(110));
    ledger.record_outcome(OrderOutcome::AlreadyHolds, Duration::ZERO, at(112));
    ledger.apply_report(&report(7, &["m1"], false), at(200), at(210));
    assert!(!ledger.holdings().serves("m1", Some("a1")));
}

/// Guards against a ledger that is ahead of its replica for ever: it counted an order as a step that the
/// replica did not count, took no report any more, and each order was a conflict.
#[test]
fn apply_report_after_conflict_corrects_the_sequence() {
    let mut ledger = confirmed();
    ledger.begin_order(Order::UnloadAdapter("m1".into(), "a1".into()), at(100));
    ledger.record_outcome(OrderOutcome::AlreadyHolds, Duration::ZERO, at(110));
    ledger.begin_order(Order::LoadModel("m2".into()), at(200));
    ledger.record_outcome(OrderOutcome::Conflict, Duration::ZERO, at(210));
    assert!(requests_report(&mut ledger, at(500)));
    ledger.apply_report(&report(5, &["m1"], false), at(500), at(510));
    assert!(ledger.is_idle());
    assert_eq!(ledger.begin_order(Order::LoadModel("m2".into()), at(520)), 5);
}
