//! Hand-overs of claims from a former holder to its successor, on tables driven
//! by hand.

mod claims_support;

use claims_support::*;
use croftrill_state::claims::{
    ClaimHandOver, ClaimOutcome, ClaimRecord, ClaimResult, ClaimRing, ClaimTable, HandOverEnd,
    HandOverOutcome,
};
use croftrill_state::{IdempotencyKey, Instant, NodeId, RequestId, Revision};

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
        let key = moving_key(&first, &second, "a", "b");
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

    fn owed_part(&mut self, now: Instant) -> ClaimHandOver {
        self.part(now).expect("a hand-over is owed")
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
    let ask = moved.owed_part(START);
    let outcome = moved.deliver(&ask, START);
    assert_eq!(outcome, HandOverOutcome::OtherInstance { instance: 2 });
    let mut part = moved.owed_part(START);
    part.to_instance = 1;
    assert_eq!(
        moved.successor.receive_hand_over(&part, START),
        HandOverOutcome::OtherInstance { instance: 2 }
    );
}

#[test]
fn a_hand_over_whose_end_was_sent_does_not_go_on_to_the_next_process() {
    let mut moved = Move::new(true, true);
    let ask = moved.owed_part(START);
    moved.deliver(&ask, START);
    let end = moved.owed_part(START);
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
    let ask = moved.owed_part(START);
    moved.deliver(&ask, START);
    let whole = moved.owed_part(START);
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
    let ask = moved.owed_part(START);
    moved.deliver(&ask, START);
    let part = moved.owed_part(START);
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
    let ask = moved.owed_part(START);
    moved.deliver(&ask, START);
    let later = START + 1_000;
    let part = moved.owed_part(later);
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
