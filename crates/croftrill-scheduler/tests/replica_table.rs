//! What orderers tell of replicas and their listings come in any order.

use croftrill_scheduler::replica::{HeldModel, Holdings, ReplicaListing, ReplicaState};
use croftrill_scheduler::replica_table::{Placement, ReplicaTable};
use croftrill_scheduler::shard::Shard;

fn listing(id: &str) -> ReplicaListing {
    ReplicaListing {
        id: id.into(),
        service: "llm".into(),
        address: "127.0.0.1:1".into(),
        zone: "a".into(),
        slots: 8,
        state: ReplicaState::Ready,
        leaves_in: None,
        holdings: Holdings::default(),
    }
}

fn told(id: &str, model: &str) -> Placement {
    let held = HeldModel {
        model: model.into(),
        adapters: Default::default(),
    };
    Placement {
        replica: id.into(),
        usable: Holdings {
            models: vec![held],
            ..Holdings::default()
        },
        arriving: Vec::new(),
    }
}

#[test]
fn apply_relayed_listing_after_a_placement_keeps_it() {
    let mut table = ReplicaTable::new();
    table.apply_placement(told("r1", "m1"));
    table.apply_relayed_listing(listing("r1"));
    assert_eq!(table.holders("llm", "m1"), 1);
}

#[test]
fn apply_relayed_listing_of_one_that_came_back_keeps_what_was_told() {
    let mut table = ReplicaTable::new();
    table.apply_relayed_listing(listing("r1"));
    table.apply_placement(told("r1", "m1"));
    table.remove("r1");
    table.apply_relayed_listing(listing("r1"));
    assert_eq!(table.holders("llm", "m1"), 1);
}

/// The store's own listing tells what the replica holds, and is newer.
#[test]
fn apply_listing_of_one_that_came_back_goes_by_the_listing() {
    let mut table = ReplicaTable::new();
    table.apply_listing(listing("r1"));
    table.apply_placement(told("r1", "m1"));
    table.remove("r1");
    table.apply_listing(listing("r1"));
    assert_eq!(table.holders("llm", "m1"), 0);
    // Nor does what was told before come back with a later change.
    table.apply_relayed_listing(listing("r1"));
    assert_eq!(table.holders("llm", "m1"), 0);
}

#[test]
fn orderer_lost_ends_its_word_on_replicas_that_are_not_listed() {
    let mut table = ReplicaTable::new();
    table.apply_placement(told("r1", "m1"));
    table.orderer_lost(Shard::of_replica("r1"));
    table.apply_relayed_listing(listing("r1"));
    assert_eq!(table.holders("llm", "m1"), 0);
}
