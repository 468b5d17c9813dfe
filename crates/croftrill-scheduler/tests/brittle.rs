//! Replicas that fall over if they must reject too many requests.

use std::time::Duration;

use croftrill_scheduler::brittle::{reservation_subject, BrittleReplicas, KnownRoom, RejectionRisk};
use croftrill_scheduler::catalog::ServiceName;
use croftrill_scheduler::quota::keeper::ReservationDecision;
use croftrill_scheduler::quota::limits::{KeeperRole, LimitKeeper, LimitRequest, ReportedLimit};
use croftrill_scheduler::replica::{RejectionSignal, ReplicaId};
use croftrill_scheduler::time::Moment;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const NODES: usize = 7;

fn at(millis: u64) -> Moment {
    Moment::from_start(Duration::from_millis(millis))
}

fn service() -> ServiceName {
    "app".into()
}

fn hear(replicas: &mut BrittleReplicas, replica: &str, signal: RejectionSignal, at_ms: u64) -> bool {
    replicas.record_signal(&service(), &replica.into(), signal, at(at_ms))
}

fn limited(max_per_s: u32) -> RejectionSignal {
    RejectionSignal::Limited { max_per_s }
}

fn is_limited(replicas: &BrittleReplicas, replica: &str, room: Option<KnownRoom>, at_ms: u64) -> bool {
    replicas.risk("app", replica, room, NODES, at(at_ms)) != RejectionRisk::None
}

#[test]
fn risk_at_replica_without_signal() {
    let mut replicas = BrittleReplicas::default();
    assert!(!is_limited(&replicas, "r1", None, 0));
    assert!(!hear(&mut replicas, "r1", RejectionSignal::Unlimited, 1));
    assert!(!is_limited(&replicas, "r1", None, 2));
}

#[test]
fn risk_follows_last_signal_of_replica() {
    let mut replicas = BrittleReplicas::default();
    assert!(hear(&mut replicas, "r1", limited(9), 0));
    assert!(is_limited(&replicas, "r1", None, 30_000));
    assert!(!hear(&mut replicas, "r1", RejectionSignal::Unspecified, 30_000));
    assert!(is_limited(&replicas, "r1", None, 30_001));
    assert!(hear(&mut replicas, "r1", RejectionSignal::Unlimited, 30_002));
    assert!(!is_limited(&replicas, "r1", None, 30_003));
}

// A node hears of the replicas of a service one after the other.
#[test]
fn risk_at_replica_whose_service_is_brittle() {
    let mut replicas = BrittleReplicas::default();
    hear(&mut replicas, "r1", limited(9), 0);
    assert!(is_limited(&replicas, "r2", None, 1_000));
    assert!(!is_limited(&replicas, "r2", None, 11_000));
    hear(&mut replicas, "r2", RejectionSignal::Unlimited, 12_000);
    hear(&mut replicas, "r1", limited(9), 13_000);
    assert!(!is_limited(&replicas, "r2", None, 13_001));
}

// The others may send as much as this node, by a sample of the same age.
#[test]
fn risk_with_known_room() {
    let mut replicas = BrittleReplicas::default();
    hear(&mut replicas, "r1", limited(9), 0);
    let room = |free_slots, sent_since, age_ms| {
        Some(KnownRoom {
            free_slots,
            age: Duration::from_millis(age_ms),
            sent_since,
            sent_per_s: 10,
        })
    };
    assert!(!is_limited(&replicas, "r1", room(6, 0, 10), 1));
    assert!(is_limited(&replicas, "r1", room(6, 2, 10), 1));
    // Six others have sent ten a second each for 50 ms.
    assert!(is_limited(&replicas, "r1", room(6, 0, 50), 1));
    assert!(!is_limited(&replicas, "r1", room(64, 2, 900), 1));
    assert!(is_limited(&replicas, "r1", room(56, 2, 900), 1));
}

/// Returns the limit on requests at risk at a replica that bears `max_per_s` rejections.
fn risk_limit(max_per_s: u32) -> ReportedLimit {
    let mut replicas = BrittleReplicas::default();
    hear(&mut replicas, "r1", limited(max_per_s), 0);
    match replicas.risk("app", "r1", None, NODES, at(1)) {
        RejectionRisk::Limited(limit) => limit,
        RejectionRisk::None => panic!("a brittle replica without a limit"),
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(64),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    // Guards against a replica that falls over as nodes together, over two keepers, risk too much:
    // here it rejects every request at risk.
    #[test]
    fn rejections_in_any_second(
        max_per_s in 6u32..60,
        pauses_ms in prop::collection::vec(0u64..60, 50..400),
        asks_secondary in prop::collection::vec(any::<bool>(), 400),
        is_urgent in any::<bool>(),
    ) {
        let limit = risk_limit(max_per_s);
        let subject: ReplicaId = reservation_subject("r1");
        let (mut primary, mut secondary) = (LimitKeeper::new(), LimitKeeper::new());
        primary.set_role(KeeperRole::Primary, at(0));
        secondary.set_role(KeeperRole::Secondary, at(0));
        let request = LimitRequest { patience: Duration::from_millis(100), is_urgent };
        let mut rejections: Vec<u64> = Vec::new();
        let mut now_ms = 1;
        for (pause_ms, is_secondary) in pauses_ms.iter().zip(asks_secondary) {
            now_ms += pause_ms;
            let keeper = if is_secondary { &mut secondary } else { &mut primary };
            if let ReservationDecision::Granted { after } =
                keeper.reserve(&subject, None, limit, request, at(now_ms))
            {
                rejections.push(now_ms + after.as_millis() as u64);
            }
        }
        rejections.sort_unstable();
        for (index, first) in rejections.iter().enumerate() {
            let in_second = rejections[index..].iter().take_while(|at| **at < first + 1_000).count();
            prop_assert!(in_second <= max_per_s as usize, "{} in a second, {} borne", in_second, max_per_s);
        }
    }
}

// Guards against a node that sends without permits as it has not heard a replica itself.
#[test]
fn report_of_another_node_holds_until_own_answer() {
    let mut replicas = BrittleReplicas::default();
    replicas.record_report(&service(), 9, at(0));
    assert!(is_limited(&replicas, "r1", None, 9_000));
    assert!(!is_limited(&replicas, "r1", None, 11_000));
    replicas.record_report(&service(), 9, at(12_000));
    hear(&mut replicas, "r1", RejectionSignal::Unlimited, 12_001);
    assert!(!is_limited(&replicas, "r1", None, 12_002));
    // One that answered before the report may be brittle by now.
    hear(&mut replicas, "r2", limited(9), 13_000);
    hear(&mut replicas, "r1", RejectionSignal::Unlimited, 13_001);
    assert!(!is_limited(&replicas, "r1", None, 13_002));
    replicas.record_report(&service(), 9, at(14_000));
    assert!(is_limited(&replicas, "r1", None, 14_001));
}

#[test]
fn heard_signal_is_reported_once_an_interval() {
    const INTERVAL: Duration = Duration::from_secs(3);
    let mut replicas = BrittleReplicas::default();
    hear(&mut replicas, "r1", limited(9), 0);
    hear(&mut replicas, "r2", limited(7), 1);
    assert_eq!(replicas.unreported(INTERVAL, at(2)), [(service(), 7)]);
    replicas.record_report(&service(), 7, at(3));
    assert_eq!(replicas.unreported(INTERVAL, at(2_000)), []);
    // Not heard again in the meantime.
    assert_eq!(replicas.unreported(INTERVAL, at(3_100)), []);
    hear(&mut replicas, "r1", limited(9), 3_100);
    assert_eq!(replicas.unreported(INTERVAL, at(3_101)), [(service(), 9)]);
}
