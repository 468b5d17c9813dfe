//! Tests of the stand-in store's guarantees.

use std::time::{Duration, Instant};

use croftrill_http::store_wire::{WireExpectation, WireTransaction, WireWrite};
use croftrill_standin::store_state::{HistoryGone, StoreState, TransactionOutcome};

fn write(key: &str, value: &str, lease: u64, expected: Option<u64>) -> WireTransaction {
    let conditions = expected.map(|revision| WireExpectation {
        key: key.to_string(),
        revision,
    });
    let write = WireWrite {
        key: key.to_string(),
        value: value.to_string(),
        lease,
    };
    WireTransaction {
        conditions: conditions.into_iter().collect(),
        writes: vec![write],
    }
}

#[test]
fn transact_failed_condition() {
    let mut store = StoreState::new();
    assert_eq!(
        store.transact(&write("k", "1", 0, Some(0))),
        TransactionOutcome::Done(1)
    );
    assert_eq!(
        store.transact(&write("k", "2", 0, Some(0))),
        TransactionOutcome::Rejected
    );
    assert_eq!(store.items("k").items[0].value.as_deref(), Some("1"));
}

#[test]
fn expire_removes_keys_of_lease() {
    let (mut store, now) = (StoreState::new(), Instant::now());
    let lease = store.grant(Duration::from_secs(1), now);
    store.transact(&write("k", "1", lease, None));
    assert!(store.renew(lease, now + Duration::from_millis(900)));
    assert!(!store.expire(now + Duration::from_millis(1800)));
    assert!(store.expire(now + Duration::from_millis(1950)));
    assert!(store.items("").items.is_empty());
    assert_eq!(store.changes("", 1).expect("history").items[0].value, None);
    assert_eq!(
        store.transact(&write("k", "2", lease, None)),
        TransactionOutcome::NoSuchLease
    );
}

#[test]
fn expire_leaves_key_rewritten_under_other_lease() {
    let (mut store, now) = (StoreState::new(), Instant::now());
    let first = store.grant(Duration::from_secs(1), now);
    let second = store.grant(Duration::from_secs(9), now);
    store.transact(&write("k", "1", first, None));
    store.transact(&write("k", "2", second, None));
    assert!(store.expire(now + Duration::from_secs(2)));
    assert_eq!(store.items("k").items.len(), 1);
}

#[test]
fn changes_after_compaction() {
    let mut store = StoreState::new();
    store.transact(&write("a", "1", 0, None));
    store.transact(&write("b", "2", 0, None));
    assert_eq!(store.changes("b", 0).expect("history").items.len(), 1);
    store.compact();
    assert_eq!(store.changes("", 1).map(|_| ()), Err(HistoryGone));
    assert!(store.changes("", 2).expect("nothing was missed").items.is_empty());
}
