//! The rules of claims one by one, on tables driven by hand. Those of hand-overs
//! are in `claims_hand_over`.

mod claims_support;

use claims_support::*;
use croftrill_state::claims::{
    ClaimConfig, ClaimHolder, ClaimOutcome, ClaimResult, ClaimRing, ClaimTable, FinishOutcome,
};
use croftrill_state::membership::MembershipView;
use croftrill_state::{IdempotencyKey, NodeId, Revision};

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
    let key = moving_key(&first, &second, "a", "b");
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
    let key = moving_key(&first, &second, "a", "b");
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
