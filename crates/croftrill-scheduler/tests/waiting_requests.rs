//! The order of requests that wait at a node for a slot at a full holder.

use std::time::Duration;

use croftrill_scheduler::demand::ModelKey;
use croftrill_scheduler::time::Moment;
use croftrill_scheduler::waiting_requests::{WaitingBounds, WaitingId, WaitingRequest, WaitingRequests};
use proptest::prelude::*;

const BOUNDS: WaitingBounds = WaitingBounds {
    requests: 8,
    size_bytes: 10_000,
};

fn at(ms: u64) -> Moment {
    Moment::from_start(Duration::from_millis(ms))
}

fn request(model: &str, rank: u8, tenant: &str, due_ms: u64) -> WaitingRequest {
    WaitingRequest {
        model: ModelKey {
            service: "llm".into(),
            model: model.into(),
            adapter: None,
        },
        rank,
        tenant: Some(tenant.into()),
        due: at(due_ms),
        size_bytes: 100,
    }
}

/// Returns the requests that are next for their model.
fn next(waiting: &WaitingRequests, ids: &[WaitingId]) -> Vec<WaitingId> {
    ids.iter().copied().filter(|id| waiting.is_next(*id)).collect()
}

/// Batches wait when an interactive request arrives.
#[test]
fn is_next_urgent_first() {
    let mut waiting = WaitingRequests::new(BOUNDS);
    let patient = waiting.enter(request("m", 2, "a", 100), at(0));
    let urgent = waiting.enter(request("m", 0, "a", 900), at(0));
    assert_eq!(next(&waiting, &[patient, urgent]), [urgent]);
    waiting.admit(urgent, at(0));
    assert_eq!(next(&waiting, &[patient, urgent]), [patient]);
}

#[test]
fn is_next_per_model() {
    let mut waiting = WaitingRequests::new(BOUNDS);
    let one = waiting.enter(request("m", 2, "a", 100), at(0));
    let other = waiting.enter(request("n", 0, "a", 100), at(0));
    assert_eq!(next(&waiting, &[one, other]), [one, other]);
}

/// One tenant sends several times its usual demand. Another tenant's single request is second at
/// the latest, although all requests of the busy tenant are due earlier.
#[test]
fn is_next_alternates_tenants() {
    let mut waiting = WaitingRequests::new(BOUNDS);
    let busy: Vec<WaitingId> = (0..5)
        .map(|n| waiting.enter(request("m", 1, "busy", n), at(0)))
        .collect();
    let calm = waiting.enter(request("m", 1, "calm", 800), at(0));
    assert_eq!(next(&waiting, &busy), [busy[0]]);
    waiting.admit(busy[0], at(0));
    assert!(waiting.is_next(calm));
}

#[test]
fn is_next_earliest_due_within_tenant() {
    let mut waiting = WaitingRequests::new(BOUNDS);
    let later = waiting.enter(request("m", 1, "a", 800), at(0));
    let sooner = waiting.enter(request("m", 1, "a", 300), at(0));
    assert_eq!(next(&waiting, &[later, sooner]), [sooner]);
}

/// Holders admit one request of this node each 100 ms. The fourth in line starts after three more, and
/// one that would go first at once.
#[test]
fn turn_in_by_admissions() {
    let mut waiting = WaitingRequests::new(BOUNDS);
    let ids: Vec<WaitingId> = (0..8)
        .map(|n| waiting.enter(request("m", 1, "a", 1_000 + n), at(0)))
        .collect();
    for (number, id) in ids[..4].iter().enumerate() {
        waiting.admit(*id, at(100 * (number as u64 + 1)));
    }
    let turn_in = |due_ms| waiting.turn_in(&request("m", 1, "a", due_ms), at(400));
    assert_eq!(turn_in(1_004), Duration::ZERO);
    assert_eq!(turn_in(1_007), Duration::from_millis(300));
    assert_eq!(turn_in(500), Duration::ZERO, "its caller gives up first");
    assert_eq!(
        waiting.turn_in(&request("n", 1, "a", 900), at(400)),
        Duration::ZERO
    );
}

/// Other nodes take all slots: nothing was admitted here for a second, and nothing tells that more
/// than one will be in the next.
#[test]
fn turn_in_without_admission_grows() {
    let mut waiting = WaitingRequests::new(BOUNDS);
    waiting.enter(request("m", 1, "a", 5_000), at(0));
    waiting.enter(request("m", 1, "a", 6_000), at(0));
    let turn_in = waiting.turn_in(&request("m", 1, "a", 7_000), at(1_000));
    assert_eq!(turn_in, Duration::from_secs(2));
}

/// A burst of patient requests fills the node, and an urgent one is still accepted.
#[test]
fn enter_beyond_bounds_removes_least_urgent() {
    let mut waiting = WaitingRequests::new(BOUNDS);
    let patient: Vec<WaitingId> = (0..8)
        .map(|n| waiting.enter(request("m", 2, "a", n), at(0)))
        .collect();
    let urgent = waiting.enter(request("m", 0, "a", 50), at(0));
    assert!(waiting.is_next(urgent));
    assert!(!waiting.is_waiting(patient[7]));
    assert_eq!(
        waiting.count_by_rank().into_iter().collect::<Vec<_>>(),
        [(0, 1), (2, 7)]
    );
}

proptest! {
    /// Whatever arrives and leaves, the bounds hold and exactly one request per model is next.
    #[test]
    fn enter_bounded_with_one_next_per_model(
        steps in prop::collection::vec((0..3u8, 0..3usize, 0..4u8, 0..3usize, 0..1000u64, 0..3000usize), 1..60),
    ) {
        let mut waiting = WaitingRequests::new(BOUNDS);
        let mut ids = Vec::new();
        for (step, model, rank, tenant, due, size_bytes) in steps {
            match step {
                0 | 1 => {
                    let model = ["m", "n", "o"][model];
                    let tenant = ["a", "b", "c"][tenant];
                    let entered = WaitingRequest { size_bytes, ..request(model, rank, tenant, due) };
                    ids.push((waiting.enter(entered, at(0)), model));
                }
                _ => {
                    if let Some((id, _)) = ids.get(due as usize % ids.len().max(1)) {
                        waiting.admit(*id, at(0));
                    }
                }
            }
            prop_assert!(waiting.len() <= BOUNDS.requests);
            for model in ["m", "n", "o"] {
                let of_model = ids.iter().filter(|(id, of)| *of == model && waiting.is_waiting(*id));
                let count = of_model.clone().count();
                let next = of_model.filter(|(id, _)| waiting.is_next(*id)).count();
                prop_assert_eq!(next, count.min(1));
            }
        }
    }
}
