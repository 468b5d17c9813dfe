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
fn hear(
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
fn hear_a_limit_holds_until_an_answer_to_a_later_call_names_none() {
    let mut table = listed();
    assert!(hear(&mut table, 1, LimitSignal::Limited(rate(2.0)), 0, 10));
    // It was answered before the limit was reported, and arrived later.
    assert!(!hear(&mut table, 1, LimitSignal::Unlimited, 5, 400));
    assert_eq!(known(&table), Some(rate(2.0)));
    // An answer without a limit signal changes nothing.
    assert!(!hear(&mut table, 1, LimitSignal::Unspecified, 50, 60));
    assert!(hear(&mut table, 1, LimitSignal::Unlimited, 50, 70));
    assert_eq!(known(&table), None);
}

#[test]
fn hear_of_answers_that_overtake_each_other_keeps_the_lower_limit() {
    let mut table = listed();
    hear(&mut table, 1, LimitSignal::Limited(rate(2.0)), 0, 10);
    hear(&mut table, 1, LimitSignal::Limited(rate(9.0)), 5, 20);
    assert_eq!(known(&table), Some(rate(2.0)));
    hear(&mut table, 1, LimitSignal::Limited(rate(1.0)), 5, 30);
    assert_eq!(known(&table), Some(rate(1.0)));
    hear(&mut table, 1, LimitSignal::Limited(rate(9.0)), 40, 50);
    assert_eq!(known(&table), Some(rate(9.0)));
}

#[test]
fn hear_a_limit_outlives_a_lapse_of_the_entry_and_ends_with_a_new_start() {
    let mut table = listed();
    hear(&mut table, 1, LimitSignal::Limited(rate(2.0)), 0, 10);
    table.remove("r1");
    assert_eq!(known(&table), Some(rate(2.0)));
    table.apply_listing(listing(1));
    assert_eq!(known(&table), Some(rate(2.0)));
    table.apply_listing(listing(2));
    assert_eq!(known(&table), None);
    // An answer of the former incarnation arrives late.
    hear(&mut table, 1, LimitSignal::Limited(rate(2.0)), 20, 30);
    assert_eq!(known(&table), None);
}

#[derive(Debug, Clone, Copy)]
struct Answer {
    sent_ms: u64,
    taken_ms: u64,
    answered_ms: u64,
}

fn answers() -> impl Strategy<Value = Vec<Answer>> {
    let answer = (0u64..20_000, 0u64..500, 0u64..500).prop_map(|(sent_ms, there_ms, back_ms)| Answer {
        sent_ms,
        taken_ms: sent_ms + there_ms,
        answered_ms: sent_ms + there_ms + back_ms,
    });
    prop::collection::vec(answer, 1..80)
}

proptest! {
    /// A replica is overloaded from 5 s to 10 s. In whatever order its answers arrive, a call
    /// that is sent after an answer with the limit has arrived finds the limit in use. After the
    /// overload, the limit ends with the first answer to a call sent since.
    #[test]
    fn hear_of_a_need_is_believed_while_it_lasts(mut answers in answers()) {
        const NEED_MS: std::ops::Range<u64> = 5_000..10_000;
        answers.sort_by_key(|answer| answer.answered_ms);
        let mut table = listed();
        let mut told_ms = None;
        let mut ended = false;
        for answer in &answers {
            let in_need = NEED_MS.contains(&answer.taken_ms);
            let word = if in_need { LimitSignal::Limited(rate(1.0)) } else { LimitSignal::Unlimited };
            hear(&mut table, 1, word, answer.sent_ms, answer.answered_ms);
            if in_need {
                told_ms = Some(answer.answered_ms);
                ended = false;
            } else if answer.sent_ms >= NEED_MS.end && told_ms.is_some_and(|told| answer.sent_ms >= told) {
                ended = true;
            }
            let is_believed = known(&table).is_some();
            if in_need {
                prop_assert!(is_believed);
            }
            if ended {
                prop_assert!(!is_believed);
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
    let asked = millis.step_by(10);
    asked
        .filter(|now| is_granted(keeper.reserve(&replica(), None, limit, request, at(*now))))
        .count()
}

#[test]
fn ask_of_none_a_second_is_granted_once_in_four_seconds() {
    let mut keeper = keeper(KeeperRole::Primary);
    let granted = granted_of(&mut keeper, reported(0.0, 0), request(0, true), 0..40_000);
    // Some call has to discover that the overload is over.
    assert!((5..=11).contains(&granted), "{granted}");
}

#[test]
fn ask_goes_by_the_newest_limit_that_any_node_heard() {
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
fn ask_of_urgent_calls_is_granted_before_the_others() {
    let mut keeper = keeper(KeeperRole::Primary);
    let limit = reported(2.0, 0);
    let (mut urgent, mut usual) = (0, 0);
    for now in (0..60_000).step_by(100) {
        usual += usize::from(is_granted(keeper.reserve(
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
    assert!(usual + urgent >= 96, "{usual} others");
}

#[test]
fn ask_refused_in_a_row_are_told_times_one_after_the_other_that_are_true() {
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
fn ask_of_a_second_keeper_is_ruled_on_a_quarter() {
    let mut keeper = keeper(KeeperRole::Secondary);
    let granted = granted_of(&mut keeper, reported(10.0, 0), request(0, false), 0..20_000);
    assert!((40..=52).contains(&granted), "{granted}");
}

#[test]
fn give_back_of_a_turn_that_was_not_used_serves_another_call() {
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
fn ask_of_lone_nodes_after_a_long_rest_is_spread() {
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
