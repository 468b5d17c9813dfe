//! Which replica takes a request.

use std::time::Duration;

use croftrill_scheduler::capacity::ReplicaLoad;
use croftrill_scheduler::health::SendOutcome;
use croftrill_scheduler::replica::{HeldModel, Holdings, ReplicaListing, ReplicaState};
use croftrill_scheduler::replica_table::{Placement, ReplicaTable};
use croftrill_scheduler::routing::{choose, room, ModelNeed, RoutingRequest};
use croftrill_scheduler::shard::Shard;
use croftrill_scheduler::time::Moment;
use croftrill_scheduler::work::RequestWork;

fn now() -> Moment {
    Moment::from_start(Duration::from_secs(1000))
}

fn listing(id: &str, models: &[(&str, &[&str])]) -> ReplicaListing {
    let models = models.iter().map(|(model, adapters)| HeldModel {
        model: (*model).into(),
        adapters: adapters.iter().map(|adapter| (*adapter).into()).collect(),
    });
    ReplicaListing {
        id: id.into(),
        service: "llm".into(),
        address: "10.0.0.1:1".into(),
        zone: "a".into(),
        slots: 8,
        state: ReplicaState::Ready,
        leaves_in: None,
        born_ms: None,
        holdings: Holdings {
            sequence: 0,
            models: models.collect(),
            copies: Default::default(),
        },
    }
}

fn prompt(prompt_tokens: u64) -> RequestWork {
    RequestWork {
        prompt_tokens,
        output_tokens: 0,
    }
}

fn table(listings: &[ReplicaListing]) -> ReplicaTable {
    let mut table = ReplicaTable::new();
    for listing in listings {
        table.apply_listing(listing.clone());
    }
    table
}

fn request<'a>(model: Option<&'a str>, adapter: Option<&'a str>, part: u64) -> RoutingRequest<'a> {
    let need = model.map(|model| ModelNeed {
        model,
        adapter,
        shared_part: Some(part),
        shared_tokens: 5000,
    });
    RoutingRequest {
        service: "llm",
        need,
        zone: "a",
        tried: &[],
        salt: part,
        work: RequestWork::default(),
        objective_left: Duration::from_millis(400),
        deadline_left: Duration::from_secs(10),
        memory_tokens: 0,
    }
}

#[test]
fn only_holders_of_model_and_adapter_are_chosen() {
    let table = table(&[
        listing("r0", &[("m1", &[])]),
        listing("r1", &[("m1", &["a1"])]),
        listing("r2", &[("m2", &["a1"])]),
    ]);
    assert_eq!(
        choose(&table, &request(Some("m1"), Some("a1"), 1), now()).as_deref(),
        Some("r1")
    );
    assert_eq!(choose(&table, &request(Some("m3"), None, 1), now()), None);
}

#[test]
fn requests_that_share_a_part_go_to_the_same_replica_on_every_node() {
    let listings: Vec<_> = (0..4)
        .map(|index| listing(&format!("r{index}"), &[("m1", &[])]))
        .collect();
    let (first, mut reversed) = (table(&listings), listings.clone());
    reversed.reverse();
    let second = table(&reversed);
    for part in 0..50 {
        let request = request(Some("m1"), None, part);
        assert_eq!(choose(&first, &request, now()), choose(&second, &request, now()));
    }
}

#[test]
fn a_loaded_home_gives_way() {
    let mut table = table(&[listing("r0", &[("m1", &[])]), listing("r1", &[("m1", &[])])]);
    let request = request(Some("m1"), None, 3);
    let home = choose(&table, &request, now()).expect("a replica");
    table.begin_send(&home, prompt(50_000), now());
    assert_ne!(choose(&table, &request, now()), Some(home));
}

#[test]
fn a_draining_or_tried_replica_is_not_chosen() {
    let mut draining = listing("r0", &[("m1", &[])]);
    draining.state = ReplicaState::Draining;
    let table = table(&[draining, listing("r1", &[("m1", &[])])]);
    assert_eq!(
        choose(&table, &request(Some("m1"), None, 1), now()).as_deref(),
        Some("r1")
    );
    let tried = ["r1".into()];
    let request = RoutingRequest {
        tried: &tried,
        ..request(Some("m1"), None, 1)
    };
    assert_eq!(choose(&table, &request, now()), None);
}

#[test]
fn an_unreachable_replica_is_the_last_choice() {
    let mut table = table(&[listing("r0", &[("m1", &[])]), listing("r1", &[("m1", &[])])]);
    let request = request(Some("m1"), None, 3);
    let home = choose(&table, &request, now()).expect("a replica");
    table.record_outcome(&home, SendOutcome::Unreachable, now());
    assert_ne!(choose(&table, &request, now()), Some(home.clone()));
    table.record_outcome(&home, SendOutcome::Success, now());
    assert_eq!(choose(&table, &request, now()), Some(home));
}

#[test]
fn a_replica_that_lacks_the_model_by_its_own_word_is_passed_over_until_it_is_told_anew() {
    let mut table = table(&[listing("r0", &[("m1", &[])])]);
    table.mark_absent("r0", "m1".into(), None);
    assert_eq!(choose(&table, &request(Some("m1"), None, 1), now()), None);
    table.apply_listing(listing("r0", &[("m1", &[])]));
    assert!(choose(&table, &request(Some("m1"), None, 1), now()).is_some());
}

/// A list that was older than the orderer's own last order replaced what was
/// known; its sequence counts heartbeats, not orders.
#[test]
fn a_listing_does_not_replace_what_the_orderer_tells() {
    let mut table = table(&[listing("r0", &[("m1", &[])])]);
    let usable = Holdings {
        sequence: 3,
        models: vec![HeldModel {
            model: "m2".into(),
            adapters: Vec::new(),
        }],
        copies: Default::default(),
    };
    table.apply_placement(Placement {
        replica: "r0".into(),
        born_ms: None,
        usable,
        arriving: Vec::new(),
        tells_copies: false,
    });
    table.apply_listing(listing("r0", &[("m1", &[])]));
    assert!(choose(&table, &request(Some("m2"), None, 1), now()).is_some());
    assert_eq!(choose(&table, &request(Some("m1"), None, 1), now()), None);
    for shard in Shard::all() {
        table.orderer_lost(shard);
    }
    table.apply_listing(listing("r0", &[("m1", &[])]));
    assert!(choose(&table, &request(Some("m1"), None, 1), now()).is_some());
}

#[test]
fn services_without_models_take_the_least_loaded_replica() {
    let mut table = table(&[listing("r0", &[]), listing("r1", &[])]);
    table.begin_send("r0", prompt(0), now());
    assert_eq!(
        choose(&table, &request(None, None, 1), now()).as_deref(),
        Some("r1")
    );
    table.begin_send("r1", prompt(0), now());
    table.begin_send("r1", prompt(0), now());
    assert_eq!(
        choose(&table, &request(None, None, 1), now()).as_deref(),
        Some("r0")
    );
}

#[test]
fn a_failing_replica_is_passed_over_when_its_peers_are_well() {
    let mut table = table(&[listing("r0", &[]), listing("r1", &[])]);
    for _ in 0..3 {
        table.record_outcome("r0", SendOutcome::Failure, now());
        table.record_outcome("r1", SendOutcome::Success, now());
    }
    table.begin_send("r1", prompt(0), now());
    assert_eq!(
        choose(&table, &request(None, None, 1), now()).as_deref(),
        Some("r1")
    );
}

fn told(running: u32, waiting: u32, work_time_pct: Option<u32>) -> ReplicaLoad {
    ReplicaLoad {
        running,
        waiting,
        slots: Some(8),
        work_time_pct,
    }
}

fn stream(salt: u64) -> RoutingRequest<'static> {
    RoutingRequest {
        work: RequestWork {
            prompt_tokens: 700,
            output_tokens: 280,
        },
        ..request(Some("m1"), None, salt)
    }
}

/// Streams of which one replica runs 8 at a time, and its peer has room.
#[test]
fn full_replica_is_passed_over_while_another_has_room() {
    let mut table = table(&[listing("r0", &[("m1", &[])]), listing("r1", &[("m1", &[])])]);
    table.told_load("r0", told(8, 0, Some(60)), now());
    table.told_load("r1", told(6, 0, Some(160)), now());
    for salt in 0..50 {
        assert_eq!(choose(&table, &stream(salt), now()).as_deref(), Some("r1"));
    }
    let room = room(&table, &stream(1), now());
    assert_eq!((room.candidates, room.free), (2, 1));
    assert!((room.fill() - 14.0 / 16.0).abs() < 1e-9);
}

/// What is expected of a full replica is when one of its places is free.
#[test]
fn room_of_full_replicas_tells_when_a_place_is_free() {
    let mut table = table(&[listing("r0", &[("m1", &[])])]);
    table.told_load("r0", told(8, 4, Some(100)), now());
    let full = room(&table, &stream(1), now());
    table.told_load("r0", told(2, 0, Some(100)), now());
    let free = room(&table, &stream(1), now());
    assert_eq!((full.free, free.free), (0, 1));
    assert!(full.first_event_after.expect("a holder") > Duration::from_millis(500));
    assert!(free.first_event_after.expect("a holder") < Duration::from_millis(100));
}

/// Only one replica of two services tells how long work takes there.
#[test]
fn goes_by_capacity_only_where_a_replica_tells_its_work_time() {
    let other = ReplicaListing {
        service: "app".into(),
        ..listing("a0", &[])
    };
    let mut table = table(&[listing("r0", &[]), other]);
    table.told_load("r0", told(1, 0, None), now());
    table.told_load("a0", told(1, 0, Some(100)), now());
    assert!(table.goes_by_capacity("app") && !table.goes_by_capacity("llm"));
    table.remove("a0");
    assert!(!table.goes_by_capacity("app"));
    table.go_by_capacity();
    assert!(table.goes_by_capacity("llm"));
}

/// Long answers, while a replica tells the largest numbers that its header can hold.
#[test]
fn room_at_a_replica_that_tells_a_boundless_load_is_bounded() {
    let mut table = table(&[listing("r0", &[("m1", &[])])]);
    let load = ReplicaLoad {
        running: u32::MAX,
        waiting: u32::MAX,
        slots: Some(1),
        work_time_pct: Some(u32::MAX),
    };
    table.told_load("r0", load, now());
    let request = RoutingRequest {
        work: RequestWork {
            prompt_tokens: 100_000_000,
            output_tokens: 100_000_000,
        },
        ..stream(1)
    };
    let room = room(&table, &request, now());
    assert_eq!((room.candidates, room.free), (1, 0));
    assert!(room.ends_after.expect("a holder") <= Duration::from_secs(5 * 24 * 3600));
    assert_eq!(choose(&table, &request, now()).as_deref(), Some("r0"));
}
