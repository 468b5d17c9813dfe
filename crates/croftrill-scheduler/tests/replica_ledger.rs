//! Tests the orderer's ledger of one replica.

use std::time::Duration;

use croftrill_scheduler::replica::{HeldModel, Holdings, ModelAdapter, Order, OrderOutcome, ReplicaReport};
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

/// Adds adapters of the first model in transit to a report.
fn with_transit(mut report: ReplicaReport, adapters: &[&str]) -> ReplicaReport {
    let model = report.holdings.models[0].model.clone();
    let adapters = adapters.iter().map(|adapter| ModelAdapter {
        model: model.clone(),
        adapter: (*adapter).into(),
    });
    report.in_transit = Some(adapters.collect());
    report
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

/// Guards against more adapters in transit than a replica takes: those that should have arrived did not
/// count, though no report had shown them.
#[test]
fn may_load_adapter_bounds_adapters_in_transit() {
    let mut ledger = confirmed();
    let adapters = ["a1", "a2", "a3", "a4"];
    for (index, adapter) in adapters.iter().enumerate() {
        assert!(ledger.is_idle() && ledger.may_load_adapter());
        load_adapter(&mut ledger, adapter, 100 + index as u64);
    }
    assert!(!ledger.may_load_adapter());
    ledger.mark_arrivals(at(200));
    assert!(!ledger.may_load_adapter());
    assert!(requests_report(&mut ledger, at(200)), "it is awaited");
    let mut arrived = report(9, &["m1"], false);
    arrived.holdings.models[0].adapters = adapters.iter().map(|adapter| (*adapter).into()).collect();
    ledger.apply_report(&arrived, at(200), at(210));
    assert!(ledger.may_load_adapter());
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
    assert!(
        ledger.holdings().serves("m1", Some("a1")),
        "the report does not say what is in transit"
    );
    ledger.apply_report(
        &with_transit(report(6, &["m1"], false), &["a1"]),
        at(1900),
        at(1910),
    );
    assert!(
        ledger.holdings().serves("m1", Some("a1")),
        "it is still in transit"
    );
    ledger.apply_report(&with_transit(report(6, &["m1"], false), &[]), at(2900), at(2910));
    assert!(!ledger.holdings().serves("m1", Some("a1")), "it never arrived");
}

/// Guards against a slot that stays taken: where reports do not say what is in transit, an adapter that
/// does not arrive for as long as an order may take counts as lost.
#[test]
fn apply_report_without_transits_frees_the_slot_in_the_end() {
    let mut ledger = confirmed();
    load_adapter(&mut ledger, "a1", 100);
    ledger.apply_report(&report(6, &["m1"], false), at(19_000), at(19_010));
    assert!(ledger.holdings().serves("m1", Some("a1")));
    ledger.apply_report(&report(6, &["m1"], false), at(20_200), at(20_210));
    assert!(!ledger.holdings().serves("m1", Some("a1")));
}

/// Guards against a new orderer that counts what is held only.
#[test]
fn apply_report_counts_adapters_that_others_ordered() {
    let mut ledger = confirmed();
    ledger.apply_report(
        &with_transit(report(8, &["m1"], false), &["a7"]),
        at(100),
        at(110),
    );
    assert!(ledger.holdings().serves("m1", Some("a7")));
    assert!(ledger.is_in_transit("m1", "a7"));
    assert!(!ledger.is_present("m1", "a7"));
}

/// Guards against requests that are sent to an adapter that takes longer than usual: a report from after
/// its expected arrival still lists it as in transit.
#[test]
fn apply_report_withdraws_late_adapter_until_it_is_present() {
    let mut ledger = confirmed();
    load_adapter(&mut ledger, "a1", 100);
    assert!(ledger.mark_arrivals(at(140)));
    let in_transit = with_transit(report(6, &["m1"], false), &["a1"]);
    ledger.apply_report(&in_transit, at(200), at(210));
    assert!(
        !ledger.is_in_transit("m1", "a1"),
        "the report may be older than the arrival"
    );
    let change = ledger.apply_report(&in_transit, at(500), at(510));
    assert_eq!(change, LedgerChange::Holdings);
    assert!(ledger.is_in_transit("m1", "a1"));
    assert!(!ledger.mark_arrivals(at(600)));
    let mut arrived = with_transit(report(6, &["m1"], false), &[]);
    arrived.holdings.models[0].adapters = vec!["a1".into()];
    let change = ledger.apply_report(&arrived, at(800), at(810));
    assert_eq!(change, LedgerChange::Holdings);
    assert!(!ledger.is_in_transit("m1", "a1"));
    assert!(ledger.is_present("m1", "a1"));
}

/// Guards against the slot of an adapter that is told to be evicted while it is still in transit: the
/// answer says that nothing is held, and the adapter arrives later.
#[test]
fn record_outcome_of_unload_in_transit_frees_no_slot() {
    let mut ledger = confirmed();
    load_adapter(&mut ledger, "a1", 100);
    ledger.begin_order(Order::UnloadAdapter("m1".into(), "a1".into()), at(200));
    ledger.record_outcome(OrderOutcome::AlreadyHolds, Duration::ZERO, at(210));
    assert!(ledger.holdings().serves("m1", Some("a1")));
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

/// Guards against an order that names a sequence which the replica has not reached: requests used an adapter
/// that a predecessor had evicted, and it left without a step. A late order then fitted another state.
#[test]
fn record_outcome_of_unload_of_inherited_adapter_counts_no_step() {
    let mut ledger = confirmed();
    let mut inherited = report(5, &["m1"], false);
    inherited.holdings.models[0].adapters = vec!["a1".into()];
    ledger.apply_report(&inherited, at(400), at(410));
    ledger.begin_order(Order::UnloadAdapter("m1".into(), "a1".into()), at(500));
    ledger.record_outcome(OrderOutcome::AlreadyHolds, Duration::ZERO, at(510));
    assert!(!ledger.holdings().serves("m1", Some("a1")));
    assert!(
        !ledger.is_idle(),
        "a report shows whether the replica counted a step"
    );
    assert!(requests_report(&mut ledger, at(800)));
    ledger.apply_report(&report(5, &["m1"], false), at(800), at(810));
    assert_eq!(ledger.begin_order(Order::LoadModel("m2".into()), at(820)), 5);
}

/// Guards against a wait for a report at each eviction: an adapter that this orderer loaded is surely there.
#[test]
fn record_outcome_of_unload_of_own_adapter_counts_a_step() {
    let mut ledger = confirmed();
    load_adapter(&mut ledger, "a1", 100);
    let mut arrived = report(6, &["m1"], false);
    arrived.holdings.models[0].adapters = vec!["a1".into()];
    ledger.apply_report(&arrived, at(400), at(410));
    ledger.begin_order(Order::UnloadAdapter("m1".into(), "a1".into()), at(500));
    ledger.record_outcome(OrderOutcome::AlreadyHolds, Duration::ZERO, at(510));
    assert!(ledger.is_idle());
    assert_eq!(ledger.begin_order(Order::LoadModel("m2".into()), at(520)), 7);
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

/// The same, where the next order got no answer.
#[test]
fn apply_report_after_unanswered_order_corrects_the_sequence() {
    let mut ledger = confirmed();
    ledger.begin_order(Order::UnloadAdapter("m1".into(), "a1".into()), at(100));
    ledger.record_outcome(OrderOutcome::AlreadyHolds, Duration::ZERO, at(110));
    let order = Order::LoadModel("m2".into());
    ledger.begin_order(order.clone(), at(200));
    ledger.record_outcome(OrderOutcome::Unknown, Duration::ZERO, at(700));
    let early = ledger.apply_report(&report(5, &["m1"], false), at(800), at(810));
    assert_eq!(
        early,
        LedgerChange::None,
        "the report may be older than the order"
    );
    let settled = ledger.apply_report(&report(5, &["m1"], false), at(1000), at(1010));
    assert_eq!(settled, LedgerChange::Failed(order));
    assert_eq!(ledger.begin_order(Order::LoadModel("m2".into()), at(1020)), 5);
}

/// Guards against requests that are sent to each of several slow adapters in turn: while adapters are late,
/// requests rely on reports alone, until one shows an adapter in the usual time.
#[test]
fn load_after_late_adapter_awaits_report() {
    let mut ledger = confirmed();
    load_adapter(&mut ledger, "a1", 100);
    ledger.mark_arrivals(at(140));
    ledger.apply_report(
        &with_transit(report(6, &["m1"], false), &["a1"]),
        at(500),
        at(510),
    );
    load_adapter(&mut ledger, "a2", 600);
    assert!(!ledger.mark_arrivals(at(700)));
    assert!(ledger.is_in_transit("m1", "a2"));
    assert!(requests_report(&mut ledger, at(900)), "it is awaited");
    let mut arrived = with_transit(report(7, &["m1"], false), &[]);
    arrived.holdings.models[0].adapters = vec!["a1".into(), "a2".into()];
    ledger.apply_report(&arrived, at(800), at(910));
    load_adapter(&mut ledger, "a3", 1000);
    assert!(ledger.mark_arrivals(at(1040)), "a2 took no longer than usual");
}
