//! Signals that replicas send to a node, with listings and lapses in any order.

use std::time::Duration;

use croftrill_scheduler::replica::{
    BornMs, HeldModel, Holdings, ReplicaId, ReplicaListing, ReplicaState, ReplicaWord,
};
use croftrill_scheduler::replica_table::{AnsweredCall, ReplicaTable};
use croftrill_scheduler::routing::{choose, ModelNeed, RoutingRequest};
use croftrill_scheduler::time::Moment;
use croftrill_scheduler::work::RequestWork;
use proptest::prelude::*;

fn listing(id: &str, born_ms: BornMs) -> ReplicaListing {
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
        born_ms: Some(born_ms),
        holdings: Holdings {
            models: vec![held],
            ..Holdings::default()
        },
    }
}

fn at(millis: u64) -> Moment {
    Moment::from_start(Duration::from_millis(1_000_000 + millis))
}

fn leaving() -> ReplicaWord {
    ReplicaWord {
        is_leaving: true,
        ..ReplicaWord::default()
    }
}

fn rest(millis: u64) -> ReplicaWord {
    ReplicaWord {
        rest: Some(Duration::from_millis(millis)),
        ..ReplicaWord::default()
    }
}

/// Returns whether the replica was not known to be leaving before.
fn hear(
    table: &mut ReplicaTable,
    id: &ReplicaId,
    born_ms: Option<BornMs>,
    word: ReplicaWord,
    now: Moment,
) -> bool {
    let call = AnsweredCall {
        born_ms,
        sent_at: now,
        answered_at: now,
    };
    table.hear(id, call, word).leaves
}

fn chosen(table: &ReplicaTable, salt: u64, now: Moment) -> Option<ReplicaId> {
    let need = ModelNeed {
        model: "m1",
        adapter: None,
        shared_part: Some(7),
        shared_tokens: 100,
    };
    let request = RoutingRequest {
        service: "llm",
        need: Some(need),
        zone: "a",
        tried: &[],
        salt,
        work: RequestWork::default(),
        objective_left: Duration::from_millis(400),
        pause_objective: Some(Duration::from_millis(200)),
        deadline_left: Duration::from_secs(10),
        memory_tokens: 0,
    };
    choose(table, &request, now)
}

/// An event at one replica, as a node observes it.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// Its directory entry, of this incarnation, is read.
    Listed(BornMs),
    /// Its directory entry lapses.
    Lapses,
    /// The node receives no more updates about it.
    Forgotten,
    /// It signals that it is leaving, in the answer to a call to this incarnation.
    Leaves(BornMs),
    /// It asks for a cooldown of so many milliseconds.
    Rests(BornMs, u64),
    /// Time passes, in milliseconds.
    Waits(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let born = 1u64..4;
    prop_oneof![
        3 => born.clone().prop_map(Step::Listed),
        1 => Just(Step::Lapses),
        1 => Just(Step::Forgotten),
        1 => born.clone().prop_map(Step::Leaves),
        3 => (born, 0u64..3000).prop_map(|(born, millis)| Step::Rests(born, millis)),
        2 => (0u64..1500).prop_map(Step::Waits),
    ]
}

proptest! {
    /// A replica gets no requests after it signaled that it is leaving, nor before the end of its
    /// longest cooldown, unless a later incarnation is known. Listings and lapses don't matter.
    #[test]
    fn choose_heeds_every_word_of_the_newest_start(steps in prop::collection::vec(step(), 1..60)) {
        let mut table = ReplicaTable::new();
        let id: ReplicaId = "r1".into();
        let (mut now_ms, mut newest) = (0u64, 0);
        let mut left: Option<BornMs> = None;
        let mut rests: Vec<(BornMs, u64)> = Vec::new();
        for step in steps {
            match step {
                Step::Listed(born) => {
                    table.apply_listing(listing("r1", born));
                    newest = newest.max(born);
                }
                Step::Lapses => table.remove("r1"),
                Step::Forgotten => table.forget("r1"),
                Step::Leaves(born) if born == newest => {
                    hear(&mut table, &id, Some(born), leaving(), at(now_ms));
                    left = Some(born);
                }
                Step::Rests(born, millis) if born == newest => {
                    hear(&mut table, &id, Some(born), rest(millis), at(now_ms));
                    rests.push((born, now_ms + millis));
                }
                // An answer from an earlier incarnation than the known one is ignored. An incarnation
                // that was never listed was sent nothing.
                Step::Leaves(born) | Step::Rests(born, _) if born < newest && table.get("r1").is_some() => {
                    let listed = table.get("r1").and_then(|entry| entry.listing.born_ms);
                    if listed > Some(born) {
                        hear(&mut table, &id, Some(born), leaving(), at(now_ms));
                    }
                }
                Step::Leaves(_) | Step::Rests(..) => {}
                Step::Waits(millis) => now_ms += millis,
            }
            let now = at(now_ms);
            let in_rest = rests.iter().any(|(born, until)| *born == newest && now_ms < *until);
            let bars = left == Some(newest) || in_rest;
            let listed = table.get("r1").map(|entry| entry.listing.born_ms);
            if listed == Some(Some(newest)) {
                prop_assert_eq!(table.is_turned_away("r1", now), bars);
                prop_assert_eq!(chosen(&table, 1, now).is_none(), bars);
            }
        }
    }
}

#[test]
fn hear_says_once_that_a_replica_leaves_and_tells_followers_of_the_table() {
    let mut table = ReplicaTable::new();
    table.apply_listing(listing("r1", 1));
    let version = table.version();
    let id: ReplicaId = "r1".into();
    assert!(!hear(&mut table, &id, Some(1), rest(500), at(0)));
    assert!(hear(&mut table, &id, Some(1), leaving(), at(0)));
    assert!(!hear(&mut table, &id, Some(1), leaving(), at(10)));
    assert_ne!(table.version(), version);
    assert_eq!(
        table.get("r1").map(|entry| entry.state()),
        Some(ReplicaState::Draining)
    );
    assert_eq!(table.holders("llm", "m1"), 0);
}

#[test]
fn hear_of_an_earlier_incarnation_says_nothing_of_the_present_one() {
    let mut table = ReplicaTable::new();
    table.apply_listing(listing("r1", 2));
    assert!(!hear(&mut table, &"r1".into(), Some(1), leaving(), at(0)));
    assert!(chosen(&table, 1, at(0)).is_some());
}

#[test]
fn holder_rests_until_the_first_end_of_a_rest() {
    let mut table = ReplicaTable::new();
    table.apply_listing(listing("r1", 1));
    table.apply_listing(listing("r2", 1));
    hear(&mut table, &"r1".into(), Some(1), rest(900), at(0));
    hear(&mut table, &"r1".into(), Some(1), rest(100), at(0));
    hear(&mut table, &"r2".into(), Some(1), rest(700), at(0));
    assert_eq!(table.holder_rests_until("llm", "m1", at(10)), Some(at(700)));
    assert_eq!(table.reachable_holders("llm", "m1", at(10)), 0);
    assert_eq!(table.reachable_holders("llm", "m1", at(700)), 1);
    assert_eq!(table.holder_rests_until("llm", "m1", at(700)), Some(at(900)));
    hear(&mut table, &"r1".into(), Some(1), leaving(), at(710));
    assert_eq!(table.service_rests_until("llm", at(720)), None);
}

/// While the home of a prompt is in cooldown, all of the prompt's requests go to one other
/// holder.
#[test]
fn choose_finds_another_home_while_the_home_rests() {
    let mut table = ReplicaTable::new();
    for id in ["r1", "r2", "r3"] {
        table.apply_listing(listing(id, 1));
    }
    let home = chosen(&table, 1, at(0)).expect("a holder");
    hear(&mut table, &home, Some(1), rest(1000), at(0));
    let others: Vec<_> = (0..20).filter_map(|salt| chosen(&table, salt, at(10))).collect();
    assert!(others.iter().all(|other| *other != home && *other == others[0]));
    assert_eq!(others.len(), 20);
    assert_eq!(chosen(&table, 1, at(1000)), Some(home));
}
