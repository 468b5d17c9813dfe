//! Limits reported by replicas: which one a node uses, and how a keeper decides by it.

use std::sync::Arc;
use std::time::Duration;

use croftrill_scheduler::quota::keeper::ReservationDecision;
use croftrill_scheduler::quota::limits::{
    KeeperRole, LimitKeeper, LimitRequest, ReportedLimit, StandaloneReservations,
};
use croftrill_scheduler::replica::{
    Holdings, LimitSignal, ReplicaId, ReplicaListing, ReplicaSignals, ReplicaState, RequestRate, StartedMs,
};
use croftrill_scheduler::replica_table::{AnsweredCall, ReplicaTable};
use croftrill_scheduler::time::Moment;
use proptest::prelude::*;

fn at(millis: u64) -> Moment {
    Moment::from_start(Duration::from_millis(1_000_000 + millis))
}

fn rate(per_s: f64) -> RequestRate {
    RequestRate::from_per_s(per_s).expect("valid rate")
}

fn replica() -> ReplicaId {
    "r1".into()
}

fn listing(started_ms: StartedMs) -> ReplicaListing {
    ReplicaListing {
        id: replica(),
        service: "llm".into(),
        address: "127.0.0.1:1".into(),
        zone: "a".into(),
        slots: 8,
        state: ReplicaState::Ready,
        leaves_in: None,
        started_ms: Some(started_ms),
        holdings: Holdings::default(),
    }
}

/// Applies the answer to a call with these times.
fn receive_answer(
    table: &mut ReplicaTable,
    started_ms: StartedMs,
    limit: LimitSignal,
    sent_ms: u64,
    answered_ms: u64,
) -> bool {
    let call = AnsweredCall {
        started_ms: Some(started_ms),
        sent_at: at(sent_ms),
        answered_at: at(answered_ms),
    };
    let word = ReplicaSignals {
        limit,
        ..ReplicaSignals::default()
    };
    table.apply_signals(&replica(), call, word).limit
}

fn known(table: &ReplicaTable) -> Option<RequestRate> {
    table.limit_of("r1").map(|(limit, _)| limit.rate)
}

fn listed() -> ReplicaTable {
    let mut table = ReplicaTable::new();
    table.apply_listing(listing(1));
    table
}

#[test]
fn limit_holds_until_later_call_reports_none() {
    let mut table = listed();
    assert!(receive_answer(
        &mut table,
        1,
        LimitSignal::Limited(rate(2.0)),
        0,
        10
    ));
    // It was answered before the limit was reported, and arrived later.
    assert!(!receive_answer(&mut table, 1, LimitSignal::Unlimited, 5, 400));
    assert_eq!(known(&table), Some(rate(2.0)));
    // An answer without a limit signal changes nothing.
    assert!(!receive_answer(&mut table, 1, LimitSignal::Unspecified, 50, 60));
    assert!(receive_answer(&mut table, 1, LimitSignal::Unlimited, 50, 70));
    assert_eq!(known(&table), None);
}

#[test]
fn limit_of_reordered_answers_is_the_lower() {
    let mut table = listed();
    receive_answer(&mut table, 1, LimitSignal::Limited(rate(2.0)), 0, 10);
    receive_answer(&mut table, 1, LimitSignal::Limited(rate(9.0)), 5, 20);
    assert_eq!(known(&table), Some(rate(2.0)));
    receive_answer(&mut table, 1, LimitSignal::Limited(rate(1.0)), 5, 30);
    assert_eq!(known(&table), Some(rate(1.0)));
    receive_answer(&mut table, 1, LimitSignal::Limited(rate(9.0)), 40, 50);
    assert_eq!(known(&table), Some(rate(9.0)));
}

#[test]
fn limit_outlives_expired_entry_but_not_restart() {
    let mut table = listed();
    receive_answer(&mut table, 1, LimitSignal::Limited(rate(2.0)), 0, 10);
    table.remove("r1");
    assert_eq!(known(&table), Some(rate(2.0)));
    table.apply_listing(listing(1));
    assert_eq!(known(&table), Some(rate(2.0)));
    table.apply_listing(listing(2));
    assert_eq!(known(&table), None);
    // An answer of the former incarnation arrives late.
    receive_answer(&mut table, 1, LimitSignal::Limited(rate(2.0)), 20, 30);
    assert_eq!(known(&table), None);
}

#[derive(Debug, Clone, Copy)]
struct Answer {
    sent_ms: u64,
    processed_ms: u64,
    answered_ms: u64,
}

fn answers() -> impl Strategy<Value = Vec<Answer>> {
    let answer = (0u64..20_000, 0u64..500, 0u64..500).prop_map(|(sent_ms, there_ms, back_ms)| Answer {
        sent_ms,
        processed_ms: sent_ms + there_ms,
        answered_ms: sent_ms + there_ms + back_ms,
    });
    prop::collection::vec(answer, 1..80)
}

proptest! {
    /// A replica is overloaded from 5 s to 10 s. In whatever order its answers arrive, a call
    /// that is sent after an answer with the limit has arrived finds the limit in use. After the
    /// overload, the limit ends with the first answer to a call sent since.
    #[test]
    fn limit_in_use_during_overload(mut answers in answers()) {
        const OVERLOAD_MS: std::ops::Range<u64> = 5_000..10_000;
        answers.sort_by_key(|answer| answer.answered_ms);
        let mut table = listed();
        let mut reported_ms = None;
        let mut ended = false;
        for answer in &answers {
            let is_overloaded = OVERLOAD_MS.contains(&answer.processed_ms);
            let word = if is_overloaded { LimitSignal::Limited(rate(1.0)) } else { LimitSignal::Unlimited };
            receive_answer(&mut table, 1, word, answer.sent_ms, answer.answered_ms);
            if is_overloaded {
                reported_ms = Some(answer.answered_ms);
                ended = false;
            } else if answer.sent_ms >= OVERLOAD_MS.end && reported_ms.is_some_and(|reported| answer.sent_ms >= reported) {
                ended = true;
            }
            let is_in_use = known(&table).is_some();
            if is_overloaded {
                prop_assert!(is_in_use);
            }
            if ended {
                prop_assert!(!is_in_use);
            }
        }
    }
}

fn keeper(role: KeeperRole) -> LimitKeeper {
    let mut keeper = LimitKeeper::new();
    keeper.set_role(role, at(0));
    keeper
}

fn reported(per_s: f64, received_ms: u64) -> ReportedLimit {
    ReportedLimit {
        rate: rate(per_s),
        received_at: at(received_ms),
    }
}

fn request(patience_ms: u64, is_urgent: bool) -> LimitRequest {
    LimitRequest {
        patience: Duration::from_millis(patience_ms),
        is_urgent,
    }
}

fn is_granted(decision: ReservationDecision) -> bool {
    matches!(decision, ReservationDecision::Granted { .. })
}

/// Returns the number of calls granted when one is requested every 10 ms.
fn granted_of(
    keeper: &mut LimitKeeper,
    limit: ReportedLimit,
    request: LimitRequest,
    millis: std::ops::Range<u64>,
) -> usize {
    let times = millis.step_by(10);
    times
        .filter(|now| is_granted(keeper.reserve(&replica(), None, limit, request, at(*now))))
        .count()
}

#[test]
fn reserve_at_zero_limit_granted_every_four_seconds() {
    let mut keeper = keeper(KeeperRole::Primary);
    let granted = granted_of(&mut keeper, reported(0.0, 0), request(0, true), 0..40_000);
    // Some call has to discover that the overload is over.
    assert!((5..=11).contains(&granted), "{granted}");
}

#[test]
fn reserve_uses_newest_reported_limit() {
    let mut keeper = keeper(KeeperRole::Primary);
    let older = reported(50.0, 0);
    granted_of(&mut keeper, reported(1.0, 100), request(0, false), 1_000..2_000);
    let granted = granted_of(&mut keeper, older, request(0, false), 2_000..12_000);
    assert!(granted <= 12, "{granted}");
    granted_of(
        &mut keeper,
        reported(50.0, 12_000),
        request(0, false),
        12_000..13_000,
    );
    let raised = granted_of(&mut keeper, older, request(0, false), 13_000..15_000);
    assert!(raised >= 80, "{raised}");
}

#[test]
fn reserve_urgent_calls_first() {
    let mut keeper = keeper(KeeperRole::Primary);
    let limit = reported(2.0, 0);
    let (mut urgent, mut non_urgent) = (0, 0);
    for now in (0..60_000).step_by(100) {
        non_urgent += usize::from(is_granted(keeper.reserve(
            &replica(),
            None,
            limit,
            request(400, false),
            at(now),
        )));
        if now % 1_000 == 500 {
            urgent += usize::from(is_granted(keeper.reserve(
                &replica(),
                None,
                limit,
                request(400, true),
                at(now),
            )));
        }
    }
    // One urgent call per second, of two that the replica accepts, and nine others.
    assert!(urgent >= 45, "{urgent} of 60 urgent calls");
    assert!(non_urgent + urgent >= 96, "{non_urgent} others");
}

#[test]
fn reserve_consecutive_refusals_get_accurate_retry_times() {
    let mut keeper = keeper(KeeperRole::Primary);
    let limit = reported(1.0, 0);
    let mut times = Vec::new();
    for _ in 0..5 {
        match keeper.reserve(&replica(), None, limit, request(0, false), at(0)) {
            ReservationDecision::Refused { retry_after, .. } => times.push(retry_after),
            ReservationDecision::Granted { .. } => panic!("granted without savings"),
        }
    }
    assert!(times.windows(2).all(|pair| pair[0] < pair[1]), "{times:?}");
    for time in times {
        let then = at(0) + time + Duration::from_millis(1);
        assert!(
            is_granted(keeper.reserve(&replica(), None, limit, request(0, false), then)),
            "{time:?}"
        );
    }
}

#[test]
fn reserve_at_secondary_keeper_grants_a_quarter() {
    let mut keeper = keeper(KeeperRole::Secondary);
    let granted = granted_of(&mut keeper, reported(10.0, 0), request(0, false), 0..20_000);
    assert!((40..=52).contains(&granted), "{granted}");
}

#[test]
fn refund_of_unused_reservation_serves_another_call() {
    let mut keeper = keeper(KeeperRole::Primary);
    let limit = reported(1.0, 0);
    let reserve =
        |keeper: &mut LimitKeeper, now| keeper.reserve(&replica(), None, limit, request(0, false), at(now));
    reserve(&mut keeper, 0);
    assert!(is_granted(reserve(&mut keeper, 2_000)));
    assert!(!is_granted(reserve(&mut keeper, 2_001)));
    keeper.refund("r1", at(2_002));
    assert!(is_granted(reserve(&mut keeper, 2_003)));
}

/// Nodes that are standalone for long save up nothing: together they send what the limit allows.
#[test]
fn reserve_of_standalone_nodes_spread_after_idle_time() {
    const NODES: usize = 985;
    let name: Arc<str> = replica();
    let mut nodes: Vec<StandaloneReservations> =
        (0..NODES).map(|_| StandaloneReservations::default()).collect();
    let mut granted = 0;
    for now in [0, 3_600_000] {
        granted = 0;
        for (index, reservations) in nodes.iter_mut().enumerate() {
            let unit = index as f64 / NODES as f64;
            let patience = Duration::from_millis(500);
            let decision = reservations.reserve(&name, rate(1.0), NODES, unit, patience, at(now));
            granted += usize::from(is_granted(decision));
        }
    }
    assert!(granted <= 2, "{granted}");
}

// Guards against reservations that are given back late becoming savings beyond what may be saved.
#[test]
fn refunds_after_long_time_stay_within_savings() {
    let mut keeper = keeper(KeeperRole::Primary);
    let limit = reported(10.0, 0);
    let grants_at = |keeper: &mut LimitKeeper, now: u64| {
        let decide = || keeper.reserve(&replica(), None, limit, request(500, false), at(now));
        std::iter::repeat_with(decide)
            .take_while(|decision| is_granted(*decision))
            .count()
    };
    grants_at(&mut keeper, 0);
    let most = grants_at(&mut keeper, 10_000);
    for _ in 0..most {
        keeper.refund("r1", at(20_000));
    }
    assert_eq!(grants_at(&mut keeper, 20_000), most);
}

/// Three urgent calls come at once where two a second may be sent, no others come, and none is granted
/// yet. They were told to come back after the time in which the part that is set aside for urgent calls
/// serves them all, more than two seconds.
#[test]
fn refused_urgent_calls_come_back_by_whole_limit() {
    let mut keeper = LimitKeeper::new();
    keeper.set_role(KeeperRole::Primary, at(0));
    let limit = ReportedLimit {
        rate: rate(2.0),
        received_at: at(0),
    };
    let request = LimitRequest {
        patience: Duration::ZERO,
        is_urgent: true,
    };
    for _ in 0..3 {
        let decision = keeper.reserve(&replica(), Some(1), limit, request, at(0));
        let ReservationDecision::Refused { retry_after, .. } = decision else {
            panic!("{decision:?}")
        };
        assert!(retry_after <= Duration::from_secs(2), "{retry_after:?}");
    }
}
