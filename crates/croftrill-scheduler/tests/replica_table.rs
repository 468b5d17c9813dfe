//! Placements from orderers and listings of replicas, in any order.

use std::time::Duration;

use croftrill_scheduler::catalog::{ModelName, ModelSpec};
use croftrill_scheduler::health::SendOutcome;
use croftrill_scheduler::replica::{HeldModel, Holdings, ReplicaListing, ReplicaState, WeightCopies};
use croftrill_scheduler::replica_table::{
    ChangedReplicas, Placement, ReplicaEntry, ReplicaTable, TableVersion,
};
use croftrill_scheduler::shard::Shard;
use croftrill_scheduler::time::Moment;
use croftrill_scheduler::work::RequestWork;
use proptest::prelude::*;

fn listing(id: &str) -> ReplicaListing {
    ReplicaListing {
        id: id.into(),
        service: "llm".into(),
        address: "127.0.0.1:1".into(),
        zone: "a".into(),
        slots: 8,
        state: ReplicaState::Ready,
        leaves_in: None,
        started_ms: None,
        holdings: Holdings::default(),
    }
}

fn placement(id: &str, model: &str) -> Placement {
    let held = HeldModel {
        model: model.into(),
        adapters: Default::default(),
    };
    Placement {
        replica: id.into(),
        started_ms: None,
        usable: Holdings {
            models: vec![held],
            ..Holdings::default()
        },
        arriving: Vec::new(),
        includes_copies: false,
    }
}

const NOW: Moment = Moment::from_start(Duration::from_secs(3600));

/// A crashed replica is still listed as the only holder of a model. Counted as reachable, it
/// makes requests for the model wait for 45 % of their patience.
#[test]
fn reachable_holders_excludes_unreachable_replica() {
    let mut table = ReplicaTable::new();
    table.apply_relayed_listing(listing("r1"));
    let mut held = placement("r1", "m1");
    held.usable.copies.on_disk = vec!["m1".into()];
    held.includes_copies = true;
    table.apply_placement(held);
    assert_eq!(table.reachable_holders("llm", "m1", NOW), 1);
    for _ in 0..3 {
        table.record_outcome("r1", SendOutcome::Unreachable, NOW);
    }
    assert_eq!(table.holders("llm", "m1"), 1);
    assert_eq!(table.reachable_holders("llm", "m1", NOW), 0);
    let reload = table.reload_time("llm", &spec("m1"), NOW);
    assert_eq!(
        reload,
        Duration::from_millis(13_200),
        "its disk is unreachable too"
    );
}

fn spec(model: &str) -> ModelSpec {
    ModelSpec {
        name: model.into(),
        weights_mb: 42_700.0,
        adapter_mb: 66.0,
        adapter_count: 0,
        store_load: Duration::from_millis(13_200),
        disk_load: Duration::from_millis(680),
        memory_load: Duration::from_millis(440),
    }
}

/// Listings from a relay carry no weight copies. The first request for a model whose copy is on
/// a disk, 0.76 s away, must not be rejected with the load time from the weight store.
#[test]
fn may_have_unknown_copy_until_copies_are_known() {
    let model: ModelName = "m1".into();
    let mut table = ReplicaTable::new();
    assert!(!table.may_have_unknown_copy("llm", &model));
    table.apply_relayed_listing(listing("r1"));
    assert!(table.may_have_unknown_copy("llm", &model));
    table.apply_placement(placement("r1", "m2"));
    assert!(
        table.may_have_unknown_copy("llm", &model),
        "the placement carries no copies"
    );
    let mut with_copies = placement("r1", "m2");
    with_copies.usable.copies.on_disk = vec!["m3".into()];
    with_copies.includes_copies = true;
    table.apply_placement(with_copies);
    assert!(!table.may_have_unknown_copy("llm", &model));
    table.apply_listing(listing("r2"));
    assert!(
        !table.may_have_unknown_copy("llm", &model),
        "a listing from the store includes them"
    );
    table.apply_relayed_listing(listing("r3"));
    table.record_reload_time("llm".into(), model.clone(), Duration::from_millis(13_200));
    assert!(
        !table.may_have_unknown_copy("llm", &model),
        "a received load time takes precedence"
    );
}

/// The only holder of a model evicts it but retains a copy: callers get the load time of that
/// copy, not the one from the weight store.
#[test]
fn reload_time_of_evicted_model_uses_remaining_copy() {
    let mut table = ReplicaTable::new();
    table.apply_relayed_listing(listing("r1"));
    table.apply_placement(placement("r1", "m1"));
    assert_eq!(
        table.reload_time("llm", &spec("m1"), NOW),
        Duration::from_millis(13_200)
    );
    let mut without = placement("r1", "m2");
    without.usable.copies = WeightCopies {
        in_memory: vec!["m1".into()],
        on_disk: vec!["m1".into(), "m3".into()],
    };
    without.includes_copies = true;
    table.apply_placement(without);
    assert_eq!(
        table.reload_time("llm", &spec("m1"), NOW),
        Duration::from_millis(440)
    );
    assert_eq!(
        table.reload_time("llm", &spec("m3"), NOW),
        Duration::from_millis(680)
    );
    // A placement without copies leaves the known ones as they are.
    table.apply_placement(placement("r1", "m2"));
    let reload = table.reload_time("llm", &spec("m3"), NOW);
    assert_eq!(reload, Duration::from_millis(680));
    // A relayed listing carries no copies.
    table.apply_relayed_listing(ReplicaListing {
        holdings: table.get("r1").expect("listed").listing.holdings.clone(),
        ..listing("r1")
    });
    assert_eq!(
        table.reload_time("llm", &spec("m3"), NOW),
        Duration::from_millis(680)
    );
}

#[test]
fn apply_relayed_listing_after_placement_keeps_it() {
    let mut table = ReplicaTable::new();
    table.apply_placement(placement("r1", "m1"));
    table.apply_relayed_listing(listing("r1"));
    assert_eq!(table.holders("llm", "m1"), 1);
}

#[test]
fn apply_relayed_listing_of_relisted_replica_keeps_placement() {
    let mut table = ReplicaTable::new();
    table.apply_relayed_listing(listing("r1"));
    table.apply_placement(placement("r1", "m1"));
    table.remove("r1");
    table.apply_relayed_listing(listing("r1"));
    assert_eq!(table.holders("llm", "m1"), 1);
}

/// A listing from the store includes the holdings and is newer.
#[test]
fn apply_listing_of_relisted_replica_uses_listed_holdings() {
    let mut table = ReplicaTable::new();
    table.apply_listing(listing("r1"));
    table.apply_placement(placement("r1", "m1"));
    table.remove("r1");
    table.apply_listing(listing("r1"));
    assert_eq!(table.holders("llm", "m1"), 0);
    // A later change doesn't bring the old placement back either.
    table.apply_relayed_listing(listing("r1"));
    assert_eq!(table.holders("llm", "m1"), 0);
}

#[test]
fn orderer_lost_drops_placements_of_unlisted_replicas() {
    let mut table = ReplicaTable::new();
    table.apply_placement(placement("r1", "m1"));
    table.orderer_lost(Shard::of_replica("r1"));
    table.apply_relayed_listing(listing("r1"));
    assert_eq!(table.holders("llm", "m1"), 0);
}

/// A restarted replica holds nothing yet: the placement, health and absences of its former
/// incarnation don't apply to it.
#[test]
fn apply_listing_of_later_incarnation_drops_known_state() {
    let mut table = ReplicaTable::new();
    table.apply_listing(listing_started_at("r1", 1000));
    table.apply_placement(Placement {
        started_ms: Some(1000),
        ..placement("r1", "m1")
    });
    for _ in 0..3 {
        table.record_outcome("r1", SendOutcome::Unreachable, NOW);
    }
    let work = RequestWork {
        prompt_tokens: 100,
        output_tokens: 0,
    };
    table.begin_send("r1", work, NOW);
    table.apply_listing(listing_started_at("r1", 2000));
    assert_eq!(table.holders("llm", "m1"), 0);
    let entry = table.get("r1").expect("the replica is listed");
    assert!(!entry.has_orderer_placement() && !entry.health.is_unreachable(NOW));
    assert_eq!(entry.own_tokens(), 100, "the request has not ended yet");
}

#[test]
fn apply_listing_of_earlier_incarnation_changes_nothing() {
    let mut table = ReplicaTable::new();
    table.apply_listing(listing_started_at("r1", 2000));
    table.apply_listing(ReplicaListing {
        state: ReplicaState::Draining,
        ..listing_started_at("r1", 1000)
    });
    assert!(table.get("r1").is_some_and(|entry| entry.is_ready()));
}

#[test]
fn apply_placement_of_other_incarnation_waits_or_is_ignored() {
    let mut table = ReplicaTable::new();
    table.apply_listing(listing_started_at("r1", 2000));
    let of = |started_ms| Placement {
        started_ms: Some(started_ms),
        ..placement("r1", "m1")
    };
    assert!(!table.apply_placement(of(1000)));
    assert_eq!(table.holders("llm", "m1"), 0);
    assert!(!table.apply_placement(of(3000)));
    assert_eq!(table.holders("llm", "m1"), 0);
    table.apply_relayed_listing(listing_started_at("r1", 3000));
    assert_eq!(table.holders("llm", "m1"), 1);
}

/// A replica whose entry names another service must not be found under the former one.
#[test]
fn apply_listing_of_other_service_moves_replica() {
    let mut table = ReplicaTable::new();
    table.apply_listing(listing("r1"));
    table.apply_listing(ReplicaListing {
        service: "app".into(),
        ..listing("r1")
    });
    assert_eq!(table.of_service("llm").count(), 0);
    assert_eq!(table.of_service("app").count(), 1);
}

#[test]
fn changed_since_returns_listed_placed_and_removed_replicas() {
    let mut table = ReplicaTable::new();
    table.apply_listing(listing("r1"));
    table.apply_listing(listing("r2"));
    table.apply_listing(listing("r3"));
    let version = table.version();
    assert_eq!(table.changed_since(version), ChangedReplicas::These(Vec::new()));
    table.apply_placement(placement("r2", "m1"));
    table.remove("r1");
    let changed = ChangedReplicas::These(vec!["r2".into(), "r1".into()]);
    assert_eq!(table.changed_since(version), changed);
    assert_eq!(
        table.changed_since(TableVersion::default()),
        ChangedReplicas::Everything
    );
}

#[test]
fn changed_since_old_version_is_everything() {
    let mut table = ReplicaTable::new();
    table.apply_listing(listing("r0"));
    let version = table.version();
    for index in 1..3000 {
        let id = format!("r{index}");
        table.apply_listing(listing(&id));
        table.remove(&id);
    }
    assert_eq!(table.changed_since(version), ChangedReplicas::Everything);
}

fn listing_started_at(id: &str, started_ms: u64) -> ReplicaListing {
    ReplicaListing {
        started_ms: Some(started_ms),
        ..listing(id)
    }
}

proptest! {
    /// The index finds exactly the replicas that a scan of the table finds, after any sequence of
    /// events.
    #[test]
    fn with_model_matches_full_scan(steps in prop::collection::vec((0u8..6, 0u8..5, 0u8..3, 0u64..3), 1..80)) {
        let mut table = ReplicaTable::new();
        for (step, replica, model, started_ms) in steps {
            let id = format!("r{replica}");
            let placement = Placement {
                started_ms: Some(started_ms),
                ..placement(&id, &format!("m{model}"))
            };
            match step {
                0 | 1 => table.apply_listing(listing_started_at(&id, started_ms)),
                2 | 3 => {
                    table.apply_placement(placement);
                }
                4 => table.remove(&id),
                _ => table.orderer_lost(Shard::of_replica(&id)),
            }
            for model in ["m0", "m1", "m2"] {
                let scanned: Vec<_> = table.iter().filter(|entry| entry.serves(model, None)).collect();
                let found: Vec<_> = table.with_model("llm", model).collect();
                let ids = |entries: &[&ReplicaEntry]| -> Vec<_> {
                    entries.iter().map(|entry| entry.listing.id.clone()).collect()
                };
                prop_assert_eq!(ids(&scanned), ids(&found));
            }
        }
    }
}

#[test]
fn awaits_placement_of_replica_listed_without_holdings() {
    let mut table = ReplicaTable::new();
    table.apply_relayed_listing(listing_started_at("r1", 1000));
    assert!(table.awaits_placement("llm", |_| true));
    assert!(
        !table.awaits_placement("llm", |_| false),
        "its orderer is not linked"
    );
    table.apply_placement(Placement {
        started_ms: Some(1000),
        ..placement("r1", "m1")
    });
    assert!(!table.awaits_placement("llm", |_| true));
    table.apply_relayed_listing(listing_started_at("r1", 2000));
    assert!(table.awaits_placement("llm", |_| true), "the replica restarted");
}

fn listed_with(id: &str, model: &str) -> ReplicaListing {
    ReplicaListing {
        holdings: placement(id, model).usable,
        ..listing(id)
    }
}

/// Without an orderer, only the listing shows what a replica has loaded.
#[test]
fn apply_listed_holdings_without_orderer_applies_change_once() {
    let mut table = ReplicaTable::new();
    table.apply_listing(listed_with("r1", "m1"));
    let read = listed_with("r1", "m2");
    let changed = table
        .apply_listed_holdings(read.clone())
        .expect("the holdings changed");
    assert_eq!(changed.usable.models, read.holdings.models);
    assert_eq!((table.holders("llm", "m1"), table.holders("llm", "m2")), (0, 1));
    assert_eq!(table.apply_listed_holdings(read.clone()), None);
    // The replica responded that it doesn't hold the model; its next listing is used again.
    table.mark_absent("r1", "m2".into(), None);
    assert!(table.apply_listed_holdings(read).is_some());
    assert_eq!(table.holders("llm", "m2"), 1);
}

#[test]
fn apply_listed_holdings_keeps_orderer_placement() {
    let mut table = ReplicaTable::new();
    table.apply_relayed_listing(listing("r1"));
    table.apply_placement(placement("r1", "m1"));
    assert_eq!(table.apply_listed_holdings(listed_with("r1", "m2")), None);
    assert_eq!(table.holders("llm", "m1"), 1);
    table.orderer_lost(Shard::of_replica("r1"));
    assert!(table.apply_listed_holdings(listed_with("r1", "m2")).is_some());
}

#[test]
fn apply_listed_holdings_of_unknown_replica_or_other_incarnation_changes_nothing() {
    let mut table = ReplicaTable::new();
    assert_eq!(table.apply_listed_holdings(listed_with("r1", "m1")), None);
    table.apply_listing(listing_started_at("r2", 2));
    for started_ms in [1, 3] {
        let read = ReplicaListing {
            started_ms: Some(started_ms),
            ..listed_with("r2", "m1")
        };
        assert_eq!(table.apply_listed_holdings(read), None);
    }
    assert_eq!(table.holders("llm", "m1"), 0);
}
