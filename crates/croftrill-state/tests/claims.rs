//! The rules of claims one by one, on tables driven by hand.

use croftrill_state::claims::{
    ClaimConfig, ClaimHandOver, ClaimHolder, ClaimOutcome, ClaimRecord, ClaimRequest, ClaimResult, ClaimRing,
    ClaimTable, FinishOutcome, HandOverEnd, HandOverOutcome,
};
use croftrill_state::membership::{Health, MemberView, MembershipView};
use croftrill_state::{IdempotencyKey, Instant, NodeId, RequestId, Revision};

const START: Instant = Instant(1_000_000);
const FIRST: RequestId = RequestId(1);
const SECOND: RequestId = RequestId(2);

fn config() -> ClaimConfig {
    ClaimConfig::default()
}

fn ring(version: u64, nodes: &[&str]) -> ClaimRing {
    ClaimRing {
        revision: Revision(version * 10),
        version,
        nodes: nodes.iter().map(|node| NodeId::from(*node)).collect(),
        former: Vec::new(),
    }
}

fn following(ring_before: &ClaimRing, nodes: &[&str]) -> ClaimRing {
    ClaimRing {
        former: vec![ring_before.to_former()],
        ..ring(ring_before.version + 1, nodes)
    }
}

/// What `local` knows if it heard from all others now, with their heads.
fn view(local: &str, head: u64, now: Instant, others: &[(&str, u64)]) -> MembershipView {
    let members = others.iter().map(|(node, head)| {
        let member = MemberView {
            address: String::new(),
            health: Health::Alive,
            heard_at: Some(now),
            head: Revision(*head),
            caught_up: true,
        };
        (NodeId::from(*node), member)
    });
    MembershipView {
        local: NodeId::from(local),
        taken_at: now,
        members: members.collect(),
        head: Revision(head),
    }
}

fn table_of(node: &str, instance: u64, witnessed_no_ring: bool, first: &ClaimRing) -> ClaimTable {
    let holder = ClaimHolder {
        node: NodeId::from(node),
        instance,
        witnessed_no_ring,
    };
    let mut table = ClaimTable::new(config(), holder);
    table.observe_ring(first.clone(), &MembershipView::default(), START);
    table
}

/// A key that `ring` gives to `node`.
fn key_of(ring: &ClaimRing, node: &str) -> IdempotencyKey {
    key_where(|key| ring.holder(key) == Some(&NodeId::from(node)))
}

fn key_where(accepts: impl Fn(&IdempotencyKey) -> bool) -> IdempotencyKey {
    (0..10_000)
        .map(|number| IdempotencyKey(format!("key-{number}")))
        .find(accepts)
        .expect("some key is accepted")
}

fn request(key: &IdempotencyKey, request: RequestId, ring: &ClaimRing) -> ClaimRequest {
    ClaimRequest {
        key: key.clone(),
        request,
        revision: ring.revision,
    }
}

fn unknown_for(retry_after_millis: u64) -> ClaimOutcome {
    ClaimOutcome::HistoryUnknown { retry_after_millis }
}

fn is_unknown(outcome: &ClaimOutcome) -> bool {
    matches!(outcome, ClaimOutcome::HistoryUnknown { .. })
}

/// One node that saw the log empty, with its ring and a key.
fn single() -> (ClaimTable, ClaimRing, IdempotencyKey) {
    let ring = ring(1, &["a"]);
    let key = key_of(&ring, "a");
    (table_of("a", 1, true, &ring), ring, key)
}

#[test]
fn a_key_is_granted_once_until_its_window_passed() {
    let (mut table, ring, key) = single();
    let mut claim = |id, now| table.claim(&request(&key, id, &ring), &view("a", 10, now, &[]), now);
    assert_eq!(claim(FIRST, START), ClaimOutcome::Granted);
    let taken = ClaimOutcome::Taken {
        by: FIRST,
        finished: false,
    };
    assert_eq!(claim(SECOND, START + 1), taken);
    let window = config().window_millis;
    assert_eq!(claim(SECOND, START + (window - 1)), taken);
    assert_eq!(claim(SECOND, START + window), ClaimOutcome::Granted);
}

#[test]
fn a_request_that_lost_its_grant_asks_again_and_restarts_the_window() {
    let (mut table, ring, key) = single();
    let mut claim = |id, now| table.claim(&request(&key, id, &ring), &view("a", 10, now, &[]), now);
    let window = config().window_millis;
    assert_eq!(claim(FIRST, START), ClaimOutcome::Granted);
    assert_eq!(claim(FIRST, START + (window - 1)), ClaimOutcome::Granted);
    let later = claim(SECOND, START + window);
    assert!(matches!(later, ClaimOutcome::Taken { by: FIRST, .. }));
}

#[test]
fn only_not_run_frees_a_key_and_not_for_the_same_request() {
    for (result, finished) in [(ClaimResult::Finished, true), (ClaimResult::Unknown, false)] {
        let (mut table, ring, key) = single();
        let now = START;
        let seen = view("a", 10, now, &[]);
        table.claim(&request(&key, FIRST, &ring), &seen, now);
        table.finish(&key, FIRST, result, now);
        // Neither a late second report nor another request's changes it.
        table.finish(&key, FIRST, ClaimResult::NotRun, now);
        table.finish(&key, SECOND, ClaimResult::NotRun, now);
        let taken = ClaimOutcome::Taken { by: FIRST, finished };
        assert_eq!(table.claim(&request(&key, SECOND, &ring), &seen, now), taken);
        assert_eq!(table.claim(&request(&key, FIRST, &ring), &seen, now), taken);
    }
    let (mut table, ring, key) = single();
    let seen = view("a", 10, START, &[]);
    table.claim(&request(&key, FIRST, &ring), &seen, START);
    table.finish(&key, FIRST, ClaimResult::NotRun, START);
    let again = table.claim(&request(&key, FIRST, &ring), &seen, START);
    assert!(matches!(again, ClaimOutcome::Taken { by: FIRST, .. }));
    let other = table.claim(&request(&key, SECOND, &ring), &seen, START);
    assert_eq!(other, ClaimOutcome::Granted);
}

#[test]
fn another_ring_is_refused() {
    let first = ring(1, &["a", "b"]);
    let mut table = table_of("a", 1, true, &first);
    let seen = view("a", 10, START, &[("b", 10)]);
    let wrong = ClaimOutcome::WrongHolder {
        revision: first.revision,
    };
    let others = request(&key_of(&first, "b"), FIRST, &first);
    assert_eq!(table.claim(&others, &seen, START), wrong);
    let mut older = request(&key_of(&first, "a"), FIRST, &first);
    older.revision = Revision(9);
    assert_eq!(table.claim(&older, &seen, START), wrong);
    let finish = table.finish(&key_of(&first, "b"), FIRST, ClaimResult::NotRun, START);
    assert_eq!(finish, FinishOutcome::NotHolder);
}

#[test]
fn a_process_that_did_not_see_the_log_empty_waits() {
    let ring = ring(1, &["a"]);
    let key = key_of(&ring, "a");
    let mut table = table_of("a", 1, false, &ring);
    let cold = config().cold_millis();
    let now = START + (cold - 1);
    let early = table.claim(&request(&key, FIRST, &ring), &view("a", 10, now, &[]), now);
    assert_eq!(early, unknown_for(1));
    let now = START + cold;
    let later = table.claim(&request(&key, FIRST, &ring), &view("a", 10, now, &[]), now);
    assert_eq!(later, ClaimOutcome::Granted);
}

#[test]
fn a_witness_of_the_empty_log_knows_only_the_very_first_ring() {
    let first = ring(1, &["b"]);
    let second = following(&first, &["a"]);
    let key = key_of(&second, "a");
    let mut table = table_of("a", 1, true, &second);
    let seen = view("a", 20, START, &[("b", 20)]);
    assert!(is_unknown(&table.claim(
        &request(&key, FIRST, &second),
        &seen,
        START
    )));
}

#[test]
fn nothing_is_granted_without_authority() {
    let ring = ring(1, &["a", "b", "c"]);
    let key = key_of(&ring, "a");
    let mut table = table_of("a", 1, true, &ring);
    let now = START + 1_000_000;
    let mut refused = |seen: &MembershipView| {
        let outcome = table.claim(&request(&key, FIRST, &ring), seen, now);
        assert!(is_unknown(&outcome), "{outcome:?} with {seen:?}");
    };
    let nobody = view("a", 10, now, &[]);
    refused(&nobody);
    let ahead = view("a", 10, now, &[("b", 11), ("c", 11)]);
    refused(&ahead);
    let long_ago = now - (config().authority_millis + 1);
    let mut old = view("a", 10, long_ago, &[("b", 10), ("c", 10)]);
    old.taken_at = now;
    refused(&old);
    let mut stale = view("a", 10, now, &[("b", 10), ("c", 10)]);
    stale.taken_at = now - (config().view_limit_millis + 1);
    refused(&stale);
    let mut starting = view("a", 10, now, &[("b", 10), ("c", 10)]);
    for member in starting.members.values_mut() {
        member.caught_up = false;
    }
    refused(&starting);
    let good = view("a", 10, now, &[("b", 10)]);
    let outcome = table.claim(&request(&key, FIRST, &ring), &good, now);
    assert_eq!(outcome, ClaimOutcome::Granted);
}

#[test]
fn an_even_ring_needs_more_than_half() {
    let ring = ring(1, &["a", "b", "c", "d"]);
    let key = key_of(&ring, "a");
    let mut table = table_of("a", 1, true, &ring);
    let mut claim = |seen: &MembershipView| table.claim(&request(&key, FIRST, &ring), seen, START);
    assert!(is_unknown(&claim(&view("a", 10, START, &[("b", 10)]))));
    let more = view("a", 10, START, &[("b", 10), ("c", 10)]);
    assert_eq!(claim(&more), ClaimOutcome::Granted);
}

#[test]
fn the_time_of_a_change_counts_from_when_half_of_the_former_ring_knows() {
    let first = ring(1, &["a", "b", "c", "d"]);
    let second = following(&first, &["b", "c", "d"]);
    let key = key_where(|key| {
        first.holder(key) == Some(&NodeId::from("a")) && second.holder(key) == Some(&NodeId::from("b"))
    });
    let mut table = table_of("b", 1, true, &first);
    let seen = view("b", 10, START, &[("c", 10), ("d", 10)]);
    table.observe_ring(second.clone(), &seen, START);
    // Long after, only this node is known to know of the change.
    let cold = config().cold_millis();
    let confirmed_at = START + 2 * cold;
    let alone = view("b", 20, confirmed_at, &[("c", 10), ("d", 10)]);
    assert!(is_unknown(&table.claim(
        &request(&key, FIRST, &second),
        &alone,
        confirmed_at
    )));
    let half = view("b", 20, confirmed_at, &[("c", 20), ("d", 10)]);
    table.observe_members(&half, confirmed_at);
    let mut claim_at = |now| {
        let seen = view("b", 20, now, &[("c", 20), ("d", 20)]);
        table.claim(&request(&key, FIRST, &second), &seen, now)
    };
    assert_eq!(claim_at(confirmed_at + (cold - 1)), unknown_for(1));
    assert_eq!(claim_at(confirmed_at + cold), ClaimOutcome::Granted);
}

#[test]
fn a_lost_majority_is_given_up_in_the_end() {
    let first = ring(1, &["a", "c", "d"]);
    let second = following(&first, &["b"]);
    let key = key_of(&second, "b");
    let mut table = table_of("b", 1, true, &first);
    table.observe_ring(second.clone(), &view("b", 10, START, &[]), START);
    let until = START + config().unconfirmed_millis + config().cold_millis();
    let mut claim_at = |now| table.claim(&request(&key, FIRST, &second), &view("b", 20, now, &[]), now);
    assert!(is_unknown(&claim_at(until - 1)));
    assert_eq!(claim_at(until), ClaimOutcome::Granted);
}

#[test]
fn a_former_holder_stops_a_window_before_its_successor_starts() {
    let first = ring(1, &["a", "b", "c"]);
    let second = following(&first, &["b", "c"]);
    let key = key_where(|key| {
        first.holder(key) == Some(&NodeId::from("a")) && second.holder(key) == Some(&NodeId::from("b"))
    });
    let mut former = table_of("a", 1, true, &first);
    let mut successor = table_of("b", 2, true, &first);
    // The former holder hears from `c` for the last time, then `c` learns of the
    // change and tells the successor.
    let mut last = view("a", 10, START, &[("c", 10)]);
    successor.observe_ring(second.clone(), &view("b", 10, START, &[("c", 10)]), START);
    successor.observe_members(&view("b", 20, START, &[("c", 20)]), START);
    let stopped_at = (0..2_000)
        .map(|step| START + step * 1_000)
        .find(|now| {
            last.taken_at = *now;
            let claim = request(&key_of(&first, "a"), FIRST, &first);
            is_unknown(&former.claim(&claim, &last, *now))
        })
        .expect("it stops");
    let started_at = (0..2_000)
        .map(|step| START + step * 1_000)
        .find(|now| {
            let seen = view("b", 20, *now, &[("c", 20)]);
            let claim = request(&key, SECOND, &second);
            !is_unknown(&successor.claim(&claim, &seen, *now))
        })
        .expect("it starts");
    assert!(started_at.millis_since(stopped_at) >= config().window_millis);
}

/// Node `a` gives way to `b`, and holds one claim.
struct Move {
    first: ClaimRing,
    second: ClaimRing,
    former: ClaimTable,
    successor: ClaimTable,
    key: IdempotencyKey,
}

impl Move {
    fn new(former_knows: bool, former_hears: bool) -> Self {
        let first = ring(1, &["a", "c"]);
        let second = following(&first, &["b", "c"]);
        let key = key_where(|key| {
            first.holder(key) == Some(&NodeId::from("a")) && second.holder(key) == Some(&NodeId::from("b"))
        });
        let mut former = table_of("a", 1, former_knows, &first);
        let mut successor = table_of("b", 2, false, &first);
        let heard: &[(&str, u64)] = &[("b", 10), ("c", 10)];
        former.claim(&request(&key, FIRST, &first), &view("a", 10, START, heard), START);
        let heard_by_former = if former_hears { heard } else { &[] };
        former.observe_ring(second.clone(), &view("a", 10, START, heard_by_former), START);
        successor.observe_ring(second.clone(), &view("b", 10, START, heard), START);
        Self {
            first,
            second,
            former,
            successor,
            key,
        }
    }

    fn part(&mut self, now: Instant) -> Option<ClaimHandOver> {
        self.former.next_hand_over(&NodeId::from("b"), now)
    }

    fn deliver(&mut self, part: &ClaimHandOver, now: Instant) -> HandOverOutcome {
        let outcome = self.successor.receive_hand_over(part, now);
        self.former
            .take_hand_over_outcome(&NodeId::from("b"), part, outcome);
        outcome
    }

    fn hand_over(&mut self, now: Instant) {
        while let Some(part) = self.part(now) {
            self.deliver(&part, now);
        }
    }

    fn claim(&mut self, key: &IdempotencyKey, id: RequestId, now: Instant) -> ClaimOutcome {
        let seen = view("b", 20, now, &[("a", 20), ("c", 20)]);
        self.successor.claim(&request(key, id, &self.second), &seen, now)
    }

    /// Another key that moves from `a` to `b`.
    fn unused_key(&self) -> IdempotencyKey {
        key_where(|key| {
            let moves = self.first.holder(key) == Some(&NodeId::from("a"));
            moves && self.second.holder(key) == Some(&NodeId::from("b")) && *key != self.key
        })
    }
}

#[test]
fn a_hand_over_makes_the_history_known_at_once() {
    let mut moved = Move::new(true, true);
    let unused = moved.unused_key();
    assert!(is_unknown(&moved.claim(&unused, SECOND, START)));
    moved.hand_over(START);
    assert_eq!(moved.claim(&unused, SECOND, START), ClaimOutcome::Granted);
    let key = moved.key.clone();
    let taken = moved.claim(&key, SECOND, START);
    assert!(matches!(taken, ClaimOutcome::Taken { by: FIRST, .. }));
    // The request whose grant was lost asks the new holder.
    assert_eq!(moved.claim(&key, FIRST, START), ClaimOutcome::Granted);
    assert!(!moved.former.hand_over_targets().contains(&NodeId::from("b")));
}

#[test]
fn a_former_holder_that_did_not_know_vouches_for_nothing() {
    for (knows, hears) in [(false, true), (true, false)] {
        let mut moved = Move::new(knows, hears);
        let unused = moved.unused_key();
        moved.hand_over(START);
        assert!(!moved.former.hand_over_targets().contains(&NodeId::from("b")));
        let outcome = moved.claim(&unused, SECOND, START);
        assert!(is_unknown(&outcome), "knows={knows} hears={hears} {outcome:?}");
    }
}

#[test]
fn a_hand_over_to_an_earlier_process_is_refused() {
    let mut moved = Move::new(true, true);
    let ask = moved.part(START).expect("a hand-over is owed");
    let outcome = moved.deliver(&ask, START);
    assert_eq!(outcome, HandOverOutcome::OtherInstance { instance: 2 });
    let mut part = moved.part(START).expect("a hand-over is owed");
    part.to_instance = 1;
    assert_eq!(
        moved.successor.receive_hand_over(&part, START),
        HandOverOutcome::OtherInstance { instance: 2 }
    );
}

#[test]
fn a_hand_over_whose_end_was_sent_does_not_go_on_to_the_next_process() {
    let mut moved = Move::new(true, true);
    let ask = moved.part(START).expect("a hand-over is owed");
    moved.deliver(&ask, START);
    let end = moved.part(START).expect("a hand-over is owed");
    assert!(end.end.is_some());
    // The first process got it, granted keys by it, and died before it answered.
    let target = NodeId::from("b");
    let other = HandOverOutcome::OtherInstance { instance: 3 };
    moved.former.take_hand_over_outcome(&target, &end, other);
    assert!(!moved.former.hand_over_targets().contains(&NodeId::from("b")));
}

#[test]
fn a_hand_over_with_missing_parts_is_started_again() {
    let mut moved = Move::new(true, true);
    let ask = moved.part(START).expect("a hand-over is owed");
    moved.deliver(&ask, START);
    let whole = moved.part(START).expect("a hand-over is owed");
    let without_records = ClaimHandOver {
        records: Vec::new(),
        ..whole.clone()
    };
    assert_eq!(whole.records.len(), 1);
    assert_eq!(
        moved.deliver(&without_records, START),
        HandOverOutcome::Incomplete
    );
    let unused = moved.unused_key();
    assert!(is_unknown(&moved.claim(&unused, SECOND, START)));
    assert_eq!(moved.part(START), Some(whole));
    moved.hand_over(START);
    assert_eq!(moved.claim(&unused, SECOND, START), ClaimOutcome::Granted);
}

#[test]
fn a_hand_over_is_given_up_before_the_successor_may_start_alone() {
    let mut moved = Move::new(true, true);
    let limit = config().hand_over_millis();
    assert!(limit < config().window_millis);
    assert!(moved.part(START + (limit - 1)).is_some());
    assert!(moved.part(START + limit).is_none());
}

#[test]
fn a_hand_over_by_an_unknown_change_is_refused() {
    let mut moved = Move::new(true, true);
    let part = ClaimHandOver {
        from: NodeId::from("a"),
        from_revision: Revision(10),
        to_revision: Revision(30),
        to_instance: 2,
        records: Vec::new(),
        end: Some(HandOverEnd {
            total: 0,
            complete: true,
        }),
    };
    let early = moved.successor.receive_hand_over(&part, START);
    assert_eq!(early, HandOverOutcome::TryLater);
    let stranger = ClaimHandOver {
        from: NodeId::from("x"),
        to_revision: Revision(20),
        ..part
    };
    let refused = moved.successor.receive_hand_over(&stranger, START);
    assert_eq!(refused, HandOverOutcome::Rejected);
}

#[test]
fn a_late_record_does_not_undo_what_the_new_holder_knows() {
    let mut moved = Move::new(true, true);
    let key = moved.key.clone();
    let ask = moved.part(START).expect("a hand-over is owed");
    moved.deliver(&ask, START);
    let part = moved.part(START).expect("a hand-over is owed");
    moved.deliver(&part, START);
    moved.successor.finish(&key, FIRST, ClaimResult::NotRun, START);
    assert_eq!(
        moved.successor.receive_hand_over(&part, START),
        HandOverOutcome::Recorded
    );
    assert_eq!(moved.claim(&key, SECOND, START), ClaimOutcome::Granted);
    assert_eq!(
        moved.successor.receive_hand_over(&part, START),
        HandOverOutcome::Recorded
    );
    let third = moved.claim(&key, RequestId(3), START);
    assert!(matches!(third, ClaimOutcome::Taken { by: SECOND, .. }));
}

#[test]
fn a_record_keeps_its_age_when_it_moves() {
    let mut moved = Move::new(true, true);
    let key = moved.key.clone();
    let ask = moved.part(START).expect("a hand-over is owed");
    moved.deliver(&ask, START);
    let later = START + 1_000;
    let part = moved.part(later).expect("a hand-over is owed");
    let record = ClaimRecord {
        key: key.clone(),
        request: FIRST,
        result: None,
        age_millis: 1_000,
    };
    assert_eq!(part.records, vec![record]);
    moved.deliver(&part, later);
    let window = config().window_millis;
    let early = moved.claim(&key, SECOND, START + (window - 1));
    assert!(matches!(early, ClaimOutcome::Taken { by: FIRST, .. }));
    assert_eq!(moved.claim(&key, SECOND, START + window), ClaimOutcome::Granted);
}

#[test]
fn a_full_holder_refuses_new_keys_and_forgets_none() {
    let ring = ring(1, &["a"]);
    let holder = ClaimHolder {
        node: NodeId::from("a"),
        instance: 1,
        witnessed_no_ring: true,
    };
    let small = ClaimConfig {
        max_records: 2,
        ..config()
    };
    let mut table = ClaimTable::new(small, holder);
    table.observe_ring(ring.clone(), &MembershipView::default(), START);
    let seen = view("a", 10, START, &[]);
    let mut claim = |name: &str, id| {
        let key = IdempotencyKey::from(name);
        table.claim(&request(&key, id, &ring), &seen, START)
    };
    assert_eq!(claim("one", FIRST), ClaimOutcome::Granted);
    assert_eq!(claim("two", FIRST), ClaimOutcome::Granted);
    assert!(is_unknown(&claim("three", FIRST)));
    assert!(matches!(claim("one", SECOND), ClaimOutcome::Taken { .. }));
    assert_eq!(claim("two", FIRST), ClaimOutcome::Granted);
}
