//! Load samples: storing, forwarding and publishing.

use std::collections::HashMap;
use std::time::Duration;

use croftrill_scheduler::capacity::ReplicaLoad;
use croftrill_scheduler::load_updates::{
    LoadBuffer, LoadKey, LoadKeys, LoadPublisher, LoadSample, PublisherConfig, SampleOutcome,
    MAX_SAMPLED_REPLICAS, MAX_SAMPLE_AGE,
};
use croftrill_scheduler::replica::{Holdings, ReplicaListing, ReplicaState};
use croftrill_scheduler::replica_table::ReplicaTable;
use croftrill_scheduler::time::Moment;
use proptest::prelude::*;

const CONFIG: PublisherConfig = PublisherConfig {
    bytes_per_s: 500,
    sample_bytes: 10,
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

fn sample(key: u32, load: ReplicaLoad, ms: u64) -> LoadSample {
    LoadSample {
        key: LoadKey(key),
        load,
        at: at(ms),
    }
}

fn listing(id: &str, started_ms: Option<u64>) -> ReplicaListing {
    ReplicaListing {
        id: id.into(),
        service: "llm".into(),
        address: "127.0.0.1:1".into(),
        zone: "a".into(),
        slots: 24,
        state: ReplicaState::Ready,
        leaves_in: None,
        started_ms,
        holdings: Holdings::default(),
    }
}

/// Publishes what is due and returns the keys.
fn published(publisher: &mut LoadPublisher, ms: u64) -> Vec<u32> {
    let due = publisher.take_due(at(ms));
    due.samples.iter().map(|sample| sample.key.0).collect()
}

#[test]
fn load_buffer_stores_newest_sample_of_each_replica() {
    let mut buffer = LoadBuffer::default();
    assert_eq!(
        buffer.record(sample(1, load(3, 100), 100), at(110)),
        SampleOutcome::Stored
    );
    assert_eq!(
        buffer.record(sample(1, load(9, 100), 90), at(110)),
        SampleOutcome::Outdated
    );
    assert_eq!(
        buffer.record(sample(1, load(4, 100), 120), at(130)),
        SampleOutcome::Stored
    );
    assert_eq!(buffer.take(at(140)), [sample(1, load(4, 100), 120)]);
    assert!(buffer.is_empty());
}

#[test]
fn load_buffer_ignores_outdated_samples() {
    let mut buffer = LoadBuffer::default();
    let now = at(100) + MAX_SAMPLE_AGE;
    assert_eq!(
        buffer.record(sample(1, load(3, 100), 100), now),
        SampleOutcome::Outdated
    );
    assert_eq!(
        buffer.record(sample(2, load(3, 100), 101), now),
        SampleOutcome::Stored
    );
    assert!(
        buffer.take(now + MAX_SAMPLE_AGE).is_empty(),
        "it was outdated by then"
    );
}

#[test]
fn load_buffer_and_publisher_store_bounded_number_of_replicas() {
    let (mut buffer, mut publisher) = (LoadBuffer::default(), LoadPublisher::new(CONFIG, at(0)));
    for key in 0..MAX_SAMPLED_REPLICAS as u32 + 100 {
        let is_stored = key < MAX_SAMPLED_REPLICAS as u32;
        let expected = if is_stored {
            SampleOutcome::Stored
        } else {
            SampleOutcome::Dropped
        };
        assert_eq!(buffer.record(sample(key, load(1, 100), 1), at(1)), expected);
        assert_eq!(publisher.record(sample(key, load(1, 100), 1), at(1)), expected);
    }
    assert_eq!(buffer.len(), MAX_SAMPLED_REPLICAS);
    assert_eq!(publisher.len(), MAX_SAMPLED_REPLICAS);
    assert_eq!(
        buffer.record(sample(0, load(2, 100), 2), at(2)),
        SampleOutcome::Stored
    );
}

#[test]
fn publisher_skips_change_that_changes_no_decision() {
    let mut publisher = LoadPublisher::new(CONFIG, at(0));
    publisher.record(sample(1, load(10, 100), 500), at(500));
    assert_eq!(published(&mut publisher, 500), [1]);
    publisher.record(sample(1, load(12, 110), 600), at(600));
    assert!(published(&mut publisher, 600).is_empty(), "two of 24 slots");
    publisher.record(sample(1, load(13, 110), 700), at(700));
    assert_eq!(published(&mut publisher, 700), [1], "three of 24 slots");
    let of_few = |running: u32| ReplicaLoad {
        slots: Some(12),
        ..load(running, 100)
    };
    publisher.record(sample(2, of_few(5), 700), at(700));
    assert_eq!(published(&mut publisher, 700), [2]);
    publisher.record(sample(2, of_few(6), 710), at(710));
    assert!(published(&mut publisher, 710).is_empty());
    publisher.record(sample(2, of_few(7), 720), at(720));
    assert_eq!(published(&mut publisher, 720), [2], "two of twelve slots");
    publisher.record(sample(1, load(13, 135), 800), at(800));
    assert_eq!(
        published(&mut publisher, 800),
        [1],
        "work takes more than a fifth longer"
    );
    publisher.record(sample(1, load(23, 135), 900), at(900));
    assert_eq!(published(&mut publisher, 900), [1]);
    publisher.record(sample(1, load(24, 135), 1000), at(1000));
    assert_eq!(published(&mut publisher, 1000), [1], "the replica is full");
}

#[test]
fn publisher_republishes_unchanged_load_of_busy_replica() {
    let mut publisher = LoadPublisher::new(CONFIG, at(0));
    for (key, running) in [(1, 5), (2, 0)] {
        publisher.record(sample(key, load(running, 100), 500), at(500));
    }
    assert_eq!(published(&mut publisher, 500), [1, 2]);
    for (key, running) in [(1, 5), (2, 0)] {
        publisher.record(sample(key, load(running, 100), 900), at(900));
    }
    assert!(published(&mut publisher, 950).is_empty());
    assert_eq!(published(&mut publisher, 1000), [1], "the other replica is idle");
    assert!(
        published(&mut publisher, 2600).is_empty(),
        "no newer sample arrived"
    );
}

#[test]
fn publisher_prefers_least_recently_published_when_bytes_are_short() {
    let config = PublisherConfig {
        bytes_per_s: 100,
        sample_bytes: 10,
    };
    let mut publisher = LoadPublisher::new(config, at(0));
    let record = |publisher: &mut LoadPublisher, keys: std::ops::Range<u32>, running: u32, ms: u64| {
        for key in keys {
            publisher.record(sample(key, load(running, 100), ms), at(ms));
        }
    };
    record(&mut publisher, 0..8, 5, 1000);
    assert_eq!(published(&mut publisher, 1000), [0, 1, 2, 3, 4]);
    record(&mut publisher, 0..8, 15, 1200);
    assert_eq!(published(&mut publisher, 1200), [5, 6]);
    assert_eq!(publisher.take_due(at(1200)).deferred, 6);
    assert_eq!(published(&mut publisher, 1500), [7, 0, 1]);
}

#[test]
fn keys_of_restarted_replica_match_new_incarnation() {
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
fn keys_that_collide_match_no_replica() {
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
fn is_update_to_ignores_sample_received_by_two_routes() {
    let known = Some((load(3, 100), at(500)));
    assert!(
        !sample(1, load(3, 100), 520).is_update_to(known),
        "its age was rounded"
    );
    assert!(!sample(1, load(9, 100), 490).is_update_to(known));
    assert!(sample(1, load(4, 100), 520).is_update_to(known));
    assert!(sample(1, load(3, 100), 700).is_update_to(known));
}

#[derive(Debug, Clone)]
enum Step {
    Record {
        key: u32,
        load: ReplicaLoad,
        age_ms: u64,
    },
    Publish,
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
    let record =
        (0u32..40, load, 0u64..3000).prop_map(|(key, load, age_ms)| Step::Record { key, load, age_ms });
    let step = prop_oneof![4 => record, 1 => Just(Step::Publish)];
    prop::collection::vec((0u64..60, step), 0..300)
}

proptest! {
    /// For any sequence of samples: published samples stay within the limit on bytes, are the
    /// newest known of their replica, are never outdated and never repeat.
    #[test]
    fn publisher_is_bounded_and_publishes_only_updates(steps in steps()) {
        let mut publisher = LoadPublisher::new(CONFIG, at(0));
        let mut buffer = LoadBuffer::default();
        let mut newest: HashMap<LoadKey, LoadSample> = HashMap::new();
        let mut published_at: HashMap<LoadKey, Moment> = HashMap::new();
        let (mut ms, mut bytes) = (0, 0.0);
        for (pause_ms, step) in steps {
            ms += pause_ms;
            match step {
                Step::Record { key, load, age_ms } => {
                    let sample = LoadSample { key: LoadKey(key), load, at: at(ms) - Duration::from_millis(age_ms) };
                    let is_stored = publisher.record(sample, at(ms)) == SampleOutcome::Stored;
                    buffer.record(sample, at(ms));
                    if is_stored {
                        newest.insert(sample.key, sample);
                    }
                }
                Step::Publish => {
                    for sample in publisher.take_due(at(ms)).samples {
                        prop_assert_eq!(Some(&sample), newest.get(&sample.key));
                        prop_assert!(at(ms).since(sample.at) < MAX_SAMPLE_AGE);
                        let former = published_at.insert(sample.key, sample.at);
                        prop_assert!(former.is_none_or(|former| former < sample.at));
                        bytes += f64::from(CONFIG.sample_bytes);
                    }
                    let most = f64::from(CONFIG.bytes_per_s) * (ms as f64 / 1000.0 + 0.5);
                    prop_assert!(bytes <= most + 1e-6, "{bytes} of {most} in {ms} ms");
                    for sample in buffer.take(at(ms)) {
                        prop_assert!(at(ms).since(sample.at) < MAX_SAMPLE_AGE);
                    }
                }
            }
            prop_assert!(buffer.len() <= 40 && publisher.len() <= 40);
        }
    }
}
