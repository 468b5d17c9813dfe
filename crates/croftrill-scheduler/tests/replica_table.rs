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
        born_ms: None,
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
        born_ms: None,
        usable: Holdings {
            models: vec![held],
            ..Holdings::default()
        },
        arriving: Vec::new(),
        tells_copies: false,
    }
}

const NOW: Moment = Moment::from_start(Duration::from_secs(3600));

/// A crashed replica is still listed as the only holder of a model. Counted as reachable, it
/// makes requests for the model wait for 45 % of their patience.
#[test]
fn reachable_holders_leaves_out_one_that_cannot_be_reached() {
    let mut table = ReplicaTable::new();
    table.apply_relayed_listing(listing("r1"));
    let mut held = told("r1", "m1");
    held.usable.copies.on_disk = vec!["m1".into()];
    held.tells_copies = true;
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
fn may_have_unknown_copy_until_copies_are_told() {
    let model: ModelName = "m1".into();
    let mut table = ReplicaTable::new();
    assert!(!table.may_have_unknown_copy("llm", &model));
    table.apply_relayed_listing(listing("r1"));
    assert!(table.may_have_unknown_copy("llm", &model));
    table.apply_placement(told("r1", "m2"));
    assert!(
        table.may_have_unknown_copy("llm", &model),
        "the placement carries no copies"
    );
    let mut with_copies = told("r1", "m2");
    with_copies.usable.copies.on_disk = vec!["m3".into()];
    with_copies.tells_copies = true;
    table.apply_placement(with_copies);
    assert!(!table.may_have_unknown_copy("llm", &model));
    table.apply_listing(listing("r2"));
    assert!(
        !table.may_have_unknown_copy("llm", &model),
        "a listing from the store includes them"
    );
    table.apply_relayed_listing(listing("r3"));
    table.told_reload("llm".into(), model.clone(), Duration::from_millis(13_200));
    assert!(
        !table.may_have_unknown_copy("llm", &model),
        "a received load time takes precedence"
    );
}

/// The only holder of a model evicts it but retains a copy: callers get the load time of that
/// copy, not the one from the weight store.
#[test]
fn reload_time_of_a_model_that_made_way_goes_by_the_copy_that_stayed() {
    let mut table = ReplicaTable::new();
    table.apply_relayed_listing(listing("r1"));
    table.apply_placement(told("r1", "m1"));
    assert_eq!(
        table.reload_time("llm", &spec("m1"), NOW),
        Duration::from_millis(13_200)
    );
    let mut without = told("r1", "m2");
    without.usable.copies = WeightCopies {
        in_memory: vec!["m1".into()],
        on_disk: vec!["m1".into(), "m3".into()],
    };
    without.tells_copies = true;
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
    table.apply_placement(told("r1", "m2"));
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

/// A listing from the store includes the holdings and is newer.
#[test]
fn apply_listing_of_one_that_came_back_goes_by_the_listing() {
    let mut table = ReplicaTable::new();
    table.apply_listing(listing("r1"));
    table.apply_placement(told("r1", "m1"));
    table.remove("r1");
    table.apply_listing(listing("r1"));
    assert_eq!(table.holders("llm", "m1"), 0);
    // A later change doesn't bring the old placement back either.
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

/// A restarted replica holds nothing yet: the placement, health and absences of its former
/// incarnation don't apply to it.
#[test]
fn apply_listing_of_a_later_start_forgets_what_was_known() {
    let mut table = ReplicaTable::new();
    table.apply_listing(born("r1", 1000));
    table.apply_placement(Placement {
        born_ms: Some(1000),
        ..told("r1", "m1")
    });
    for _ in 0..3 {
        table.record_outcome("r1", SendOutcome::Unreachable, NOW);
    }
    let work = RequestWork {
        prompt_tokens: 100,
        output_tokens: 0,
    };
    table.begin_send("r1", work, NOW);
    table.apply_listing(born("r1", 2000));
    assert_eq!(table.holders("llm", "m1"), 0);
    let entry = table.get("r1").expect("the replica is listed");
    assert!(!entry.is_told() && !entry.health.is_unreachable(NOW));
    assert_eq!(entry.own_tokens(), 100, "the request has not ended yet");
}

#[test]
fn apply_listing_of_an_earlier_start_changes_nothing() {
    let mut table = ReplicaTable::new();
    table.apply_listing(born("r1", 2000));
    table.apply_listing(ReplicaListing {
        state: ReplicaState::Draining,
        ..born("r1", 1000)
    });
    assert!(table.get("r1").is_some_and(|entry| entry.is_ready()));
}

#[test]
fn apply_placement_of_another_start_waits_or_is_over() {
    let mut table = ReplicaTable::new();
    table.apply_listing(born("r1", 2000));
    let of = |born_ms| Placement {
        born_ms: Some(born_ms),
        ..told("r1", "m1")
    };
    assert!(!table.apply_placement(of(1000)));
    assert_eq!(table.holders("llm", "m1"), 0);
    assert!(!table.apply_placement(of(3000)));
    assert_eq!(table.holders("llm", "m1"), 0);
    table.apply_relayed_listing(born("r1", 3000));
    assert_eq!(table.holders("llm", "m1"), 1);
}

/// A replica whose entry names another service must not be found under the former one.
#[test]
fn apply_listing_of_another_service_moves_the_replica() {
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
fn changed_since_tells_what_was_listed_placed_or_removed() {
    let mut table = ReplicaTable::new();
    table.apply_listing(listing("r1"));
    table.apply_listing(listing("r2"));
    table.apply_listing(listing("r3"));
    let version = table.version();
    assert_eq!(table.changed_since(version), ChangedReplicas::These(Vec::new()));
    table.apply_placement(told("r2", "m1"));
    table.remove("r1");
    let changed = ChangedReplicas::These(vec!["r2".into(), "r1".into()]);
    assert_eq!(table.changed_since(version), changed);
    assert_eq!(
        table.changed_since(TableVersion::default()),
        ChangedReplicas::Everything
    );
}

#[test]
fn changed_since_long_ago_is_everything() {
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

fn born(id: &str, born_ms: u64) -> ReplicaListing {
    ReplicaListing {
        born_ms: Some(born_ms),
        ..listing(id)
    }
}

proptest! {
    /// The index finds exactly the replicas that a scan of the table finds, after any sequence of
    /// events.
    #[test]
    fn with_model_finds_what_a_walk_finds(steps in prop::collection::vec((0u8..6, 0u8..5, 0u8..3, 0u64..3), 1..80)) {
        let mut table = ReplicaTable::new();
        for (step, replica, model, born_ms) in steps {
            let id = format!("r{replica}");
            let placement = Placement {
                born_ms: Some(born_ms),
                ..told(&id, &format!("m{model}"))
            };
            match step {
                0 | 1 => table.apply_listing(born(&id, born_ms)),
                2 | 3 => {
                    table.apply_placement(placement);
                }
                4 => table.remove(&id),
                _ => table.orderer_lost(Shard::of_replica(&id)),
            }
            for model in ["m0", "m1", "m2"] {
                let walked: Vec<_> = table.iter().filter(|entry| entry.serves(model, None)).collect();
                let found: Vec<_> = table.with_model("llm", model).collect();
                let ids = |entries: &[&ReplicaEntry]| -> Vec<_> {
                    entries.iter().map(|entry| entry.listing.id.clone()).collect()
                };
                prop_assert_eq!(ids(&walked), ids(&found));
            }
        }
    }
}

#[test]
fn awaits_word_of_a_replica_listed_without_what_it_holds() {
    let mut table = ReplicaTable::new();
    table.apply_relayed_listing(born("r1", 1000));
    assert!(table.awaits_word("llm", |_| true));
    assert!(!table.awaits_word("llm", |_| false), "its orderer is not linked");
    table.apply_placement(Placement {
        born_ms: Some(1000),
        ..told("r1", "m1")
    });
    assert!(!table.awaits_word("llm", |_| true));
    table.apply_relayed_listing(born("r1", 2000));
    assert!(table.awaits_word("llm", |_| true), "the replica restarted");
}

fn listed_with(id: &str, model: &str) -> ReplicaListing {
    ReplicaListing {
        holdings: told(id, model).usable,
        ..listing(id)
    }
}

/// Without an orderer, only the listing shows what a replica has loaded.
#[test]
fn apply_listed_holdings_of_an_untold_replica_is_news_once() {
    let mut table = ReplicaTable::new();
    table.apply_listing(listed_with("r1", "m1"));
    let read = listed_with("r1", "m2");
    let news = table
        .apply_listed_holdings(read.clone())
        .expect("the holdings changed");
    assert_eq!(news.usable.models, read.holdings.models);
    assert_eq!((table.holders("llm", "m1"), table.holders("llm", "m2")), (0, 1));
    assert_eq!(table.apply_listed_holdings(read.clone()), None);
    // The replica responded that it doesn't hold the model; its next listing is used again.
    table.mark_absent("r1", "m2".into(), None);
    assert!(table.apply_listed_holdings(read).is_some());
    assert_eq!(table.holders("llm", "m2"), 1);
}

#[test]
fn apply_listed_holdings_leaves_what_the_orderer_told() {
    let mut table = ReplicaTable::new();
    table.apply_relayed_listing(listing("r1"));
    table.apply_placement(told("r1", "m1"));
    assert_eq!(table.apply_listed_holdings(listed_with("r1", "m2")), None);
    assert_eq!(table.holders("llm", "m1"), 1);
    table.orderer_lost(Shard::of_replica("r1"));
    assert!(table.apply_listed_holdings(listed_with("r1", "m2")).is_some());
}

#[test]
fn apply_listed_holdings_of_an_unknown_replica_or_another_start_is_no_news() {
    let mut table = ReplicaTable::new();
    assert_eq!(table.apply_listed_holdings(listed_with("r1", "m1")), None);
    table.apply_listing(born("r2", 2));
    for born_ms in [1, 3] {
        let read = ReplicaListing {
            born_ms: Some(born_ms),
            ..listed_with("r2", "m1")
        };
        assert_eq!(table.apply_listed_holdings(read), None);
    }
    assert_eq!(table.holders("llm", "m1"), 0);
}
