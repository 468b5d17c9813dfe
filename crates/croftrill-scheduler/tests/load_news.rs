//! Load samples: storing, forwarding and publishing.

use std::collections::HashMap;
use std::time::Duration;

use croftrill_scheduler::capacity::ReplicaLoad;
use croftrill_scheduler::load_news::{
    HeardLoads, Hearing, LoadAccount, LoadKey, LoadKeys, LoadTelling, TellingConfig, LONGEST_AGE,
    MOST_REPLICAS,
};
use croftrill_scheduler::replica::{Holdings, ReplicaListing, ReplicaState};
use croftrill_scheduler::replica_table::ReplicaTable;
use croftrill_scheduler::time::Moment;
use proptest::prelude::*;

const CONFIG: TellingConfig = TellingConfig {
    bytes_per_s: 500,
    account_bytes: 10,
};

fn at(ms: u64) -> Moment {
    Moment::from_start(Duration::from_millis(3_600_000 + ms))
}

fn load(running: u32, work_time_pct: u32) -> ReplicaLoad {
    ReplicaLoad {
        running,
        waiting: 0,
        slots: Some(24),
        work_time_pct: Some(work_time_pct),
    }
}

fn account(key: u32, load: ReplicaLoad, ms: u64) -> LoadAccount {
    LoadAccount {
        key: LoadKey(key),
        load,
        at: at(ms),
    }
}

fn listing(id: &str, born_ms: Option<u64>) -> ReplicaListing {
    ReplicaListing {
        id: id.into(),
        service: "llm".into(),
        address: "127.0.0.1:1".into(),
        zone: "a".into(),
        slots: 24,
        state: ReplicaState::Ready,
        leaves_in: None,
        born_ms,
        holdings: Holdings::default(),
    }
}

/// Publishes what is due and returns the keys.
fn told(telling: &mut LoadTelling, ms: u64) -> Vec<u32> {
    let due = telling.take_due(at(ms));
    due.accounts.iter().map(|account| account.key.0).collect()
}

#[test]
fn heard_keeps_the_newest_account_of_each_replica() {
    let mut heard = HeardLoads::default();
    assert_eq!(heard.hear(account(1, load(3, 100), 100), at(110)), Hearing::Kept);
    assert_eq!(heard.hear(account(1, load(9, 100), 90), at(110)), Hearing::Old);
    assert_eq!(heard.hear(account(1, load(4, 100), 120), at(130)), Hearing::Kept);
    assert_eq!(heard.take(at(140)), [account(1, load(4, 100), 120)]);
    assert!(heard.is_empty());
}

#[test]
fn heard_of_what_was_told_long_ago_is_passed_over() {
    let mut heard = HeardLoads::default();
    let now = at(100) + LONGEST_AGE;
    assert_eq!(heard.hear(account(1, load(3, 100), 100), now), Hearing::Old);
    assert_eq!(heard.hear(account(2, load(3, 100), 101), now), Hearing::Kept);
    assert!(
        heard.take(now + LONGEST_AGE).is_empty(),
        "it was outdated by then"
    );
}

#[test]
fn heard_and_telling_keep_a_bounded_number_of_replicas() {
    let (mut heard, mut telling) = (HeardLoads::default(), LoadTelling::new(CONFIG, at(0)));
    for key in 0..MOST_REPLICAS as u32 + 100 {
        let is_kept = key < MOST_REPLICAS as u32;
        let expected = if is_kept { Hearing::Kept } else { Hearing::LeftOut };
        assert_eq!(heard.hear(account(key, load(1, 100), 1), at(1)), expected);
        assert_eq!(telling.hear(account(key, load(1, 100), 1), at(1)), expected);
    }
    assert_eq!(heard.len(), MOST_REPLICAS);
    assert_eq!(telling.len(), MOST_REPLICAS);
    assert_eq!(heard.hear(account(0, load(2, 100), 2), at(2)), Hearing::Kept);
}

#[test]
fn telling_passes_over_a_change_that_changes_no_decision() {
    let mut telling = LoadTelling::new(CONFIG, at(0));
    telling.hear(account(1, load(10, 100), 500), at(500));
    assert_eq!(told(&mut telling, 500), [1]);
    telling.hear(account(1, load(12, 110), 600), at(600));
    assert!(told(&mut telling, 600).is_empty(), "two of 24 slots");
    telling.hear(account(1, load(13, 110), 700), at(700));
    assert_eq!(told(&mut telling, 700), [1], "three of 24 slots");
    let of_few = |running: u32| ReplicaLoad {
        slots: Some(12),
        ..load(running, 100)
    };
    telling.hear(account(2, of_few(5), 700), at(700));
    assert_eq!(told(&mut telling, 700), [2]);
    telling.hear(account(2, of_few(6), 710), at(710));
    assert!(told(&mut telling, 710).is_empty());
    telling.hear(account(2, of_few(7), 720), at(720));
    assert_eq!(told(&mut telling, 720), [2], "two of twelve slots");
    telling.hear(account(1, load(13, 135), 800), at(800));
    assert_eq!(
        told(&mut telling, 800),
        [1],
        "work takes more than a fifth longer"
    );
    telling.hear(account(1, load(23, 135), 900), at(900));
    assert_eq!(told(&mut telling, 900), [1]);
    telling.hear(account(1, load(24, 135), 1000), at(1000));
    assert_eq!(told(&mut telling, 1000), [1], "the replica is full");
}

#[test]
fn telling_tells_of_a_replica_at_work_again_though_nothing_changed() {
    let mut telling = LoadTelling::new(CONFIG, at(0));
    for (key, running) in [(1, 5), (2, 0)] {
        telling.hear(account(key, load(running, 100), 500), at(500));
    }
    assert_eq!(told(&mut telling, 500), [1, 2]);
    for (key, running) in [(1, 5), (2, 0)] {
        telling.hear(account(key, load(running, 100), 900), at(900));
    }
    assert!(told(&mut telling, 950).is_empty());
    assert_eq!(told(&mut telling, 1000), [1], "the other replica is idle");
    assert!(told(&mut telling, 2600).is_empty(), "no newer sample arrived");
}

#[test]
fn telling_goes_to_what_was_told_longest_ago_where_bytes_are_short() {
    let config = TellingConfig {
        bytes_per_s: 100,
        account_bytes: 10,
    };
    let mut telling = LoadTelling::new(config, at(0));
    let hear = |telling: &mut LoadTelling, keys: std::ops::Range<u32>, running: u32, ms: u64| {
        for key in keys {
            telling.hear(account(key, load(running, 100), ms), at(ms));
        }
    };
    hear(&mut telling, 0..8, 5, 1000);
    assert_eq!(told(&mut telling, 1000), [0, 1, 2, 3, 4]);
    hear(&mut telling, 0..8, 15, 1200);
    assert_eq!(told(&mut telling, 1200), [5, 6]);
    assert_eq!(telling.take_due(at(1200)).left_out, 6);
    assert_eq!(told(&mut telling, 1500), [7, 0, 1]);
}

#[test]
fn keys_of_a_replica_that_started_again_stand_for_the_new_incarnation() {
    let (mut table, mut keys) = (ReplicaTable::new(), LoadKeys::default());
    table.apply_listing(listing("r1", Some(7)));
    keys.follow(&table);
    let former = LoadKey::of("r1", Some(7));
    assert_eq!(keys.replica(former).map(|id| &**id), Some("r1"));
    table.apply_listing(listing("r1", Some(8)));
    keys.follow(&table);
    assert_eq!(keys.replica(former), None);
    let present = keys.key("r1").expect("the replica is known");
    assert_eq!(keys.replica(present).map(|id| &**id), Some("r1"));
    table.remove("r1");
    keys.follow(&table);
    assert_eq!(keys.replica(present), None);
}

#[test]
fn keys_that_are_the_same_by_chance_stand_for_nobody() {
    let mut ids: HashMap<LoadKey, String> = HashMap::new();
    let (first, second) = (0..)
        .find_map(|number| {
            let id = format!("r{number}");
            let other = ids.insert(LoadKey::of(&id, None), id.clone())?;
            Some((other, id))
        })
        .expect("32-bit hashes collide");
    let (mut table, mut keys) = (ReplicaTable::new(), LoadKeys::default());
    table.apply_listing(listing(&first, None));
    table.apply_listing(listing(&second, None));
    keys.follow(&table);
    let key = LoadKey::of(&first, None);
    assert_eq!(keys.replica(key), None);
    table.remove(&second);
    keys.follow(&table);
    assert_eq!(keys.replica(key).map(|id| &**id), Some(first.as_str()));
}

#[test]
fn is_news_of_what_came_on_two_ways_is_said_once() {
    let known = Some((load(3, 100), at(500)));
    assert!(
        !account(1, load(3, 100), 520).is_news(known),
        "its age was rounded"
    );
    assert!(!account(1, load(9, 100), 490).is_news(known));
    assert!(account(1, load(4, 100), 520).is_news(known));
    assert!(account(1, load(3, 100), 700).is_news(known));
}

#[derive(Debug, Clone)]
enum Step {
    Hear {
        key: u32,
        load: ReplicaLoad,
        age_ms: u64,
    },
    Tell,
}

fn steps() -> impl Strategy<Value = Vec<(u64, Step)>> {
    let load = (
        0u32..40,
        0u32..4,
        prop::option::of(0u32..30),
        prop::option::of(0u32..400),
    );
    let load = load.prop_map(|(running, waiting, slots, work_time_pct)| ReplicaLoad {
        running,
        waiting,
        slots,
        work_time_pct,
    });
    let hear = (0u32..40, load, 0u64..3000).prop_map(|(key, load, age_ms)| Step::Hear { key, load, age_ms });
    let step = prop_oneof![4 => hear, 1 => Just(Step::Tell)];
    prop::collection::vec((0u64..60, step), 0..300)
}

proptest! {
    /// For any sequence of samples: published samples stay within the limit on bytes, are the
    /// newest known of their replica, are never outdated and never repeat.
    #[test]
    fn telling_is_bounded_and_tells_only_news(steps in steps()) {
        let mut telling = LoadTelling::new(CONFIG, at(0));
        let mut heard = HeardLoads::default();
        let mut newest: HashMap<LoadKey, LoadAccount> = HashMap::new();
        let mut told: HashMap<LoadKey, Moment> = HashMap::new();
        let (mut ms, mut bytes) = (0, 0.0);
        for (pause_ms, step) in steps {
            ms += pause_ms;
            match step {
                Step::Hear { key, load, age_ms } => {
                    let account = LoadAccount { key: LoadKey(key), load, at: at(ms) - Duration::from_millis(age_ms) };
                    let is_kept = telling.hear(account, at(ms)) == Hearing::Kept;
                    heard.hear(account, at(ms));
                    if is_kept {
                        newest.insert(account.key, account);
                    }
                }
                Step::Tell => {
                    for account in telling.take_due(at(ms)).accounts {
                        prop_assert_eq!(Some(&account), newest.get(&account.key));
                        prop_assert!(at(ms).since(account.at) < LONGEST_AGE);
                        let former = told.insert(account.key, account.at);
                        prop_assert!(former.is_none_or(|former| former < account.at));
                        bytes += f64::from(CONFIG.account_bytes);
                    }
                    let most = f64::from(CONFIG.bytes_per_s) * (ms as f64 / 1000.0 + 0.5);
                    prop_assert!(bytes <= most + 1e-6, "{bytes} of {most} in {ms} ms");
                    for account in heard.take(at(ms)) {
                        prop_assert!(at(ms).since(account.at) < LONGEST_AGE);
                    }
                }
            }
            prop_assert!(heard.len() <= 40 && telling.len() <= 40);
        }
    }
}
