//! Components of a node that need no sockets.

use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use croftrill_node::events::EventSplitter;
use croftrill_node::logging::{subscriber, LineBudget, LogConfig};
use croftrill_node::membership::MemberEntry;
use croftrill_node::metrics::Metrics;
use croftrill_node::peer::{DemandBatch, FromOrderer, ToOrderer, WireModel, WirePlacement};
use croftrill_scheduler::demand::ModelKey;
use croftrill_scheduler::replica::{HeldModel, Holdings};
use croftrill_scheduler::replica_table::{Arrival, Placement};
use croftrill_scheduler::time::Moment;
use nanoserde::{DeBin, SerBin};

#[test]
fn push_passes_only_complete_events_and_records_the_last_id() {
    let mut cutter = EventSplitter::after(None);
    assert_eq!(cutter.push(b"id: 1\nda"), None);
    assert_eq!(
        cutter.push(b"ta: x\n\nid: 2\n\nid: 3").as_deref(),
        Some(b"id: 1\ndata: x\n\nid: 2\n\n".as_slice())
    );
    assert_eq!(cutter.last_id(), Some("2"));
    cutter.drop_partial();
    assert!(cutter.take_remaining().is_empty());
}

#[test]
fn line_budget_counts_dropped_lines() {
    let budget = LineBudget::new(3);
    let taken = (0..10).filter(|_| budget.take()).count();
    assert!(taken >= 3, "a second may pass in between");
    assert_eq!(budget.take_dropped() + taken as u64, 10);
    assert_eq!(budget.take_dropped(), 0);
}

/// A log reader that blocks until the lock is released.
struct Stalled(Arc<Mutex<()>>);

impl Write for Stalled {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        drop(self.0.lock());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn logging_does_not_block_on_a_stalled_reader() {
    let reader = Arc::new(Mutex::new(()));
    let stalled = reader.lock().expect("the lock");
    let config = LogConfig {
        lines_per_second: 100_000,
        queue_lines: 16,
    };
    let (subscriber, log) = subscriber(Stalled(reader.clone()), config);
    tracing::subscriber::with_default(subscriber, || {
        for number in 0..1000 {
            tracing::info!(target: "test", number);
        }
    });
    assert!(
        log.queue_drops.dropped_lines() > 900,
        "lines beyond the queue are left out and counted"
    );
    drop(stalled);
}

#[test]
fn messages_between_nodes_round_trip() {
    let now = Moment::from_start(Duration::from_secs(50));
    let key = ModelKey {
        service: "s".into(),
        model: "m".into(),
        adapter: Some("a1".into()),
    };
    let mut batch = DemandBatch::default();
    batch.add(key.clone(), 70, Duration::from_millis(500));
    batch.add(key.clone(), 30, Duration::from_millis(1500));
    let message = batch.take().expect("demand");
    assert_eq!(
        ToOrderer::deserialize_bin(&message.serialize_bin()).expect("decoded"),
        message
    );
    let ToOrderer::Demand(items) = message else {
        panic!("demand")
    };
    assert_eq!(
        (items[0].requests, items[0].tokens, items[0].model.to_key()),
        (2, 100, key)
    );
    assert_eq!(items[0].sample().caller_time, Duration::from_millis(1000));
    assert!(batch.take().is_none());
    let placement = Placement {
        replica: "r".into(),
        started_ms: None,
        usable: Holdings {
            sequence: 4,
            models: vec![HeldModel {
                model: "m".into(),
                adapters: vec!["a1".into()],
            }],
            copies: Default::default(),
        },
        includes_copies: true,
        arriving: vec![Arrival {
            model: "n".into(),
            ready_at: now + Duration::from_millis(250),
        }],
    };
    let wire = FromOrderer::Placements(vec![WirePlacement::from_placement(&placement, now)].into());
    let decoded = FromOrderer::deserialize_bin(&wire.serialize_bin()).expect("decoded");
    let FromOrderer::Placements(decoded) = decoded else {
        panic!("placements")
    };
    assert_eq!(decoded[0].to_placement(now), placement);
}

#[test]
fn deserialize_of_a_damaged_message_is_an_error() {
    let model = WireModel {
        service: "s".into(),
        model: "m".into(),
        adapter: String::new(),
    };
    let bytes = ToOrderer::Waiting(model).serialize_bin();
    for length in 0..bytes.len() {
        assert!(ToOrderer::deserialize_bin(&bytes[..length]).is_err());
    }
    assert!(FromOrderer::deserialize_bin(&[9, 9, 9]).is_err());
}

/// The operations page documents every metric.
#[test]
fn metrics_are_on_the_operations_page() {
    let page = include_str!("../../../docs/OPERATIONS.md");
    let text = Metrics::new().text();
    let names = text.lines().filter_map(|line| line.strip_prefix("# TYPE "));
    for name in names.filter_map(|line| line.split(' ').next()) {
        assert!(page.contains(name), "{name} is not on docs/OPERATIONS.md");
    }
}

/// Guards against messages that a process of an older build cannot decode.
#[test]
fn messages_are_understood_from_their_generation_on() {
    const SUPPORTS_ALL: u64 = 0b111 << 61;
    const GENERATION_SHIFT: u32 = 52;
    let entry = |incarnation| MemberEntry {
        name: "n1".to_string(),
        zone: "a".to_string(),
        front: "127.0.0.1:1".to_string(),
        peer: "127.0.0.1:2".to_string(),
        processor_millicores: 250,
        incarnation,
    };
    let understands = |incarnation| {
        let entry = entry(incarnation);
        (
            entry.exchanges_configurations(),
            entry.supports_version_waits(),
            entry.supports_crash_parts(),
        )
    };
    // A start time in nanoseconds, and a build that says no generation.
    assert_eq!(understands(1_800_000_000_000_000_000), (false, false, false));
    assert_eq!(understands(SUPPORTS_ALL | 1 << 60), (false, false, false));
    let of_generation = |generation: u64| understands(SUPPORTS_ALL | generation << GENERATION_SHIFT);
    assert_eq!(of_generation(1), (true, false, false));
    assert_eq!(of_generation(2), (true, true, false));
    assert_eq!(of_generation(3), (true, true, true));
}
