//! Signals that replicas send to a node, with listings and lapses in any order.

use std::time::Duration;

use croftrill_scheduler::replica::{
    HeldModel, Holdings, ReplicaId, ReplicaListing, ReplicaSignals, ReplicaState, StartedMs,
};
use croftrill_scheduler::replica_table::{AnsweredCall, ReplicaTable};
use croftrill_scheduler::routing::{choose, ModelNeed, RoutingRequest};
use croftrill_scheduler::time::Moment;
use croftrill_scheduler::work::RequestWork;
use proptest::prelude::*;

fn listing(id: &str, started_ms: StartedMs) -> ReplicaListing {
    let held = HeldModel {
        model: "m1".into(),
        adapters: Vec::new(),
    };
    ReplicaListing {
        id: id.into(),
        service: "llm".into(),
        address: "127.0.0.1:1".into(),
        zone: "a".into(),
        slots: 8,
        state: ReplicaState::Ready,
        leaves_in: None,
        started_ms: Some(started_ms),
        holdings: Holdings {
            models: vec![held],
            ..Holdings::default()
        },
    }
}

fn at(millis: u64) -> Moment {
    Moment::from_start(Duration::from_millis(1_000_000 + millis))
}

fn leaving() -> ReplicaSignals {
    ReplicaSignals {
        is_leaving: true,
        ..ReplicaSignals::default()
    }
}

fn cooldown(millis: u64) -> ReplicaSignals {
    ReplicaSignals {
        cooldown: Some(Duration::from_millis(millis)),
        ..ReplicaSignals::default()
    }
}

/// Returns whether the replica was not known to be leaving before.
fn apply_signals(
    table: &mut ReplicaTable,
    id: &ReplicaId,
    started_ms: Option<StartedMs>,
    signals: ReplicaSignals,
    now: Moment,
) -> bool {
    let call = AnsweredCall {
        started_ms,
        sent_at: now,
        answered_at: now,
    };
    table.apply_signals(id, call, signals).leaving
}

fn chosen(table: &ReplicaTable, salt: u64, now: Moment) -> Option<ReplicaId> {
    let need = ModelNeed {
        model: "m1",
        adapter: None,
        shared_prefix_hash: Some(7),
        shared_prefix_tokens: 100,
    };
    let request = RoutingRequest {
        version: None,
        begins_at: None,
        service: "llm",
        need: Some(need),
        zone: "a",
        tried: &[],
        salt,
        work: RequestWork::default(),
        attempt_left: Duration::from_millis(400),
        pause_objective: Some(Duration::from_millis(200)),
        deadline_left: Duration::from_secs(10),
        kv_cache_tokens: 0,
    };
    choose(table, &request, now)
}

/// An event at one replica, as a node observes it.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// Its directory entry, of this incarnation, is read.
    Listed(StartedMs),
    /// Its directory entry lapses.
    Lapses,
    /// The node receives no more updates about it.
    Forgotten,
    /// It signals that it is leaving, in the answer to a call to this incarnation.
    Leaves(StartedMs),
    /// It asks for a cooldown of so many milliseconds.
    CoolsDown(StartedMs, u64),
    /// Time passes, in milliseconds.
    Waits(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let started = 1u64..4;
    prop_oneof![
        3 => started.clone().prop_map(Step::Listed),
        1 => Just(Step::Lapses),
        1 => Just(Step::Forgotten),
        1 => started.clone().prop_map(Step::Leaves),
        3 => (started, 0u64..3000).prop_map(|(started, millis)| Step::CoolsDown(started, millis)),
        2 => (0u64..1500).prop_map(Step::Waits),
    ]
}

proptest! {
    /// A replica gets no requests after it signaled that it is leaving, nor before the end of its
    /// longest cooldown, unless a later incarnation is known. Listings and lapses don't matter.
    #[test]
    fn choose_honors_all_signals_of_newest_incarnation(steps in prop::collection::vec(step(), 1..60)) {
        let mut table = ReplicaTable::new();
        let id: ReplicaId = "r1".into();
        let (mut now_ms, mut newest) = (0u64, 0);
        let mut left: Option<StartedMs> = None;
        let mut cooldowns: Vec<(StartedMs, u64)> = Vec::new();
        for step in steps {
            match step {
                Step::Listed(started) => {
                    table.apply_listing(listing("r1", started));
                    newest = newest.max(started);
                }
                Step::Lapses => table.remove("r1"),
                Step::Forgotten => table.forget("r1"),
                Step::Leaves(started) if started == newest => {
                    apply_signals(&mut table, &id, Some(started), leaving(), at(now_ms));
                    left = Some(started);
                }
                Step::CoolsDown(started, millis) if started == newest => {
                    apply_signals(&mut table, &id, Some(started), cooldown(millis), at(now_ms));
                    cooldowns.push((started, now_ms + millis));
                }
                // An answer from an earlier incarnation than the known one is ignored. An incarnation
                // that was never listed was sent nothing.
                Step::Leaves(started) | Step::CoolsDown(started, _) if started < newest && table.get("r1").is_some() => {
                    let listed = table.get("r1").and_then(|entry| entry.listing.started_ms);
                    if listed > Some(started) {
                        apply_signals(&mut table, &id, Some(started), leaving(), at(now_ms));
                    }
                }
                Step::Leaves(_) | Step::CoolsDown(..) => {}
                Step::Waits(millis) => now_ms += millis,
            }
            let now = at(now_ms);
            let in_cooldown = cooldowns.iter().any(|(started, until)| *started == newest && now_ms < *until);
            let is_rejected = left == Some(newest) || in_cooldown;
            let listed = table.get("r1").map(|entry| entry.listing.started_ms);
            if listed == Some(Some(newest)) {
                prop_assert_eq!(table.rejects_requests("r1", now), is_rejected);
                prop_assert_eq!(chosen(&table, 1, now).is_none(), is_rejected);
            }
        }
    }
}

#[test]
fn apply_signals_reports_leaving_once_and_changes_table_version() {
    let mut table = ReplicaTable::new();
    table.apply_listing(listing("r1", 1));
    let version = table.version();
    let id: ReplicaId = "r1".into();
    assert!(!apply_signals(&mut table, &id, Some(1), cooldown(500), at(0)));
    assert!(apply_signals(&mut table, &id, Some(1), leaving(), at(0)));
    assert!(!apply_signals(&mut table, &id, Some(1), leaving(), at(10)));
    assert_ne!(table.version(), version);
    assert_eq!(
        table.get("r1").map(|entry| entry.state()),
        Some(ReplicaState::Draining)
    );
    assert_eq!(table.holders("llm", "m1"), 0);
}

#[test]
fn apply_signals_of_earlier_incarnation_changes_nothing() {
    let mut table = ReplicaTable::new();
    table.apply_listing(listing("r1", 2));
    assert!(!apply_signals(
        &mut table,
        &"r1".into(),
        Some(1),
        leaving(),
        at(0)
    ));
    assert!(chosen(&table, 1, at(0)).is_some());
}

#[test]
fn earliest_holder_cooldown_end_is_the_first_of_two_holders() {
    let mut table = ReplicaTable::new();
    table.apply_listing(listing("r1", 1));
    table.apply_listing(listing("r2", 1));
    apply_signals(&mut table, &"r1".into(), Some(1), cooldown(900), at(0));
    apply_signals(&mut table, &"r1".into(), Some(1), cooldown(100), at(0));
    apply_signals(&mut table, &"r2".into(), Some(1), cooldown(700), at(0));
    assert_eq!(
        table.earliest_holder_cooldown_end("llm", "m1", at(10)),
        Some(at(700))
    );
    assert_eq!(table.reachable_holders("llm", "m1", at(10)), 0);
    assert_eq!(table.reachable_holders("llm", "m1", at(700)), 1);
    assert_eq!(
        table.earliest_holder_cooldown_end("llm", "m1", at(700)),
        Some(at(900))
    );
    apply_signals(&mut table, &"r1".into(), Some(1), leaving(), at(710));
    assert_eq!(table.earliest_service_cooldown_end("llm", at(720)), None);
}

/// While the home of a prompt is in cooldown, all of the prompt's requests go to one other
/// holder.
#[test]
fn choose_picks_one_other_home_during_cooldown() {
    let mut table = ReplicaTable::new();
    for id in ["r1", "r2", "r3"] {
        table.apply_listing(listing(id, 1));
    }
    let home = chosen(&table, 1, at(0)).expect("a holder");
    apply_signals(&mut table, &home, Some(1), cooldown(1000), at(0));
    let others: Vec<_> = (0..20).filter_map(|salt| chosen(&table, salt, at(10))).collect();
    assert!(others.iter().all(|other| *other != home && *other == others[0]));
    assert_eq!(others.len(), 20);
    assert_eq!(chosen(&table, 1, at(1000)), Some(home));
}
