//! Tests that a relayed view is complete, never moves backwards, and is trusted only for a
//! limited time.

use std::collections::BTreeMap;
use std::time::Duration;

use croftrill_scheduler::followed_view::{FollowConfig, FollowedView, LinkDelay, RelayOutcome, RelayedSpan};
use croftrill_scheduler::time::Moment;
use proptest::prelude::*;

const LIFETIME: Duration = Duration::from_millis(1100);

fn at(ms: u64) -> Moment {
    Moment::from_start(Duration::from_millis(ms))
}

fn view_at(revision: u64) -> FollowedView {
    let mut view = FollowedView::new(FollowConfig {
        proof_lifetime: LIFETIME,
    });
    view.advance(revision);
    view
}

fn span(after: u64, reached: u64, ms: u64) -> RelayedSpan {
    RelayedSpan {
        after,
        reached,
        proven_at: at(ms),
    }
}

#[test]
fn judge_contiguous_span_is_believed_for_its_lifetime() {
    let mut view = view_at(10);
    assert_eq!(
        view.judge(span(8, 12, 100)),
        RelayOutcome::Applied { is_regained: true }
    );
    view.advance(12);
    assert!(view.relay_covers(at(1199)));
    assert!(!view.relay_covers(at(1200)));
    assert_eq!(
        view.judge(span(12, 12, 700)),
        RelayOutcome::Applied { is_regained: false }
    );
    assert!(view.relay_covers(at(1799)));
}

#[test]
fn judge_gap_ends_belief() {
    let mut view = view_at(10);
    view.judge(span(10, 10, 100));
    assert_eq!(view.judge(span(11, 12, 200)), RelayOutcome::Gap);
    assert!(!view.relay_covers(at(200)));
    assert_eq!(view.reached(), 10);
}

#[test]
fn judge_span_behind_the_view_proves_nothing() {
    let mut view = view_at(10);
    assert_eq!(view.judge(span(7, 9, 100)), RelayOutcome::Behind);
    assert!(!view.relay_covers(at(100)));
}

#[test]
fn relay_lost_ends_belief() {
    let mut view = view_at(10);
    view.judge(span(10, 10, 100));
    view.relay_lost();
    assert!(!view.relay_covers(at(100)));
}

#[test]
fn excess_counts_from_the_least_delay_seen() {
    let mut delay = LinkDelay::default();
    let ms = Duration::from_millis;
    assert_eq!(delay.excess(ms(50_000), at(110)), ms(0));
    assert_eq!(delay.excess(ms(50_100), at(260)), ms(50));
    assert_eq!(delay.excess(ms(50_200), at(305)), ms(0));
    assert_eq!(delay.excess(ms(50_300), at(1405)), ms(1000));
}

/// An event in the model of a store, a relay and its follower.
#[derive(Debug, Clone)]
enum Step {
    /// The store applies a write of a key.
    Write(u8),
    /// The relay watches the store and queues a message.
    Watch,
    /// The oldest queued message arrives.
    Deliver,
    /// The oldest queued message is lost.
    Lose,
    /// The follower reads the store.
    Ask,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        (0u8..4).prop_map(Step::Write),
        Just(Step::Watch),
        Just(Step::Deliver),
        Just(Step::Lose),
        Just(Step::Ask),
    ];
    proptest::collection::vec(step, 1..120)
}

proptest! {
    /// Whichever messages are lost or late and whenever the store is read, the follower's view
    /// equals the store at the revision that the view has reached.
    #[test]
    fn view_equals_the_store_at_the_revision_reached(steps in steps()) {
        let mut history: Vec<u8> = Vec::new();
        let mut relay_reached = 0usize;
        let mut messages: Vec<(usize, usize)> = Vec::new();
        let mut view = view_at(0);
        let mut known: BTreeMap<u8, u64> = BTreeMap::new();
        for (time_ms, step) in steps.into_iter().enumerate() {
            match step {
                Step::Write(key) => history.push(key),
                Step::Watch => {
                    messages.push((relay_reached, history.len()));
                    relay_reached = history.len();
                }
                Step::Lose => {
                    if !messages.is_empty() {
                        messages.remove(0);
                    }
                }
                Step::Deliver => {
                    if messages.is_empty() {
                        continue;
                    }
                    let (after, reached) = messages.remove(0);
                    let outcome = view.judge(span(after as u64, reached as u64, time_ms as u64));
                    if matches!(outcome, RelayOutcome::Applied { .. }) {
                        apply(&mut view, &mut known, &history, after, reached);
                    }
                }
                Step::Ask => {
                    let after = view.reached() as usize;
                    let reached = history.len();
                    apply(&mut view, &mut known, &history, after, reached);
                }
            }
            let expected = newest_writes(&history[..view.reached() as usize]);
            prop_assert_eq!(&known, &expected);
        }
    }
}

fn apply(
    view: &mut FollowedView,
    known: &mut BTreeMap<u8, u64>,
    history: &[u8],
    after: usize,
    reached: usize,
) {
    for (index, key) in history.iter().enumerate().take(reached).skip(after) {
        let revision = index as u64 + 1;
        if view.is_new(revision) {
            known.insert(*key, revision);
        }
    }
    view.advance(reached as u64);
}

fn newest_writes(history: &[u8]) -> BTreeMap<u8, u64> {
    history
        .iter()
        .enumerate()
        .map(|(index, key)| (*key, index as u64 + 1))
        .collect()
}
