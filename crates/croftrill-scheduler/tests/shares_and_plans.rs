//! Tests of group shares in the fair queue, and of plans for a desired configuration.

use std::sync::Arc;
use std::time::Duration;

use croftrill_scheduler::catalog::{CallerLimits, Configuration, EngineSpec, ModelSpec, Service};
use croftrill_scheduler::fair_queue::{FairQueue, MAX_GROUPS};
use croftrill_scheduler::planner::{plan, PlannedStep};
use croftrill_scheduler::replica::{HeldModel, Holdings, ReplicaListing, ReplicaState};
use croftrill_scheduler::replica_table::ReplicaTable;

#[test]
fn try_start_serves_groups_by_share() {
    let (large, small): (Arc<str>, Arc<str>) = ("large".into(), "small".into());
    let mut queue = FairQueue::new(1);
    let mut waiting = Vec::new();
    for _ in 0..60 {
        waiting.push((queue.enter(&large, 3, 100), true));
        waiting.push((queue.enter(&small, 1, 100), false));
    }
    let mut served_large = 0;
    for _ in 0..40 {
        let position = waiting
            .iter()
            .position(|(number, _)| queue.try_start(*number))
            .expect("one request can start");
        served_large += usize::from(waiting.remove(position).1);
        queue.release();
    }
    assert!((28..=32).contains(&served_large), "{served_large} of 40");
}

#[test]
fn try_start_idle_group_neither_gains_nor_loses_share() {
    let (busy, idle): (Arc<str>, Arc<str>) = ("busy".into(), "idle".into());
    let mut queue = FairQueue::new(1);
    for _ in 0..10 {
        let number = queue.enter(&busy, 1, 100);
        assert!(queue.try_start(number));
        queue.release();
    }
    let first = queue.enter(&idle, 1, 100);
    let second = queue.enter(&idle, 1, 100);
    let other = queue.enter(&busy, 1, 100);
    assert!(queue.try_start(first));
    queue.release();
    assert!(
        !queue.try_start(second) || !queue.try_start(other),
        "there is one slot"
    );
}

#[test]
fn try_start_limited_to_slots_and_not_blocked_by_leaver() {
    let group: Arc<str> = "g".into();
    let mut queue = FairQueue::new(2);
    let numbers: Vec<u64> = (0..4).map(|_| queue.enter(&group, 1, 1)).collect();
    assert!(queue.try_start(numbers[0]) && queue.try_start(numbers[1]) && !queue.try_start(numbers[2]));
    queue.leave(numbers[2]);
    queue.release();
    assert!(queue.try_start(numbers[3]));
    assert_eq!(queue.waiting(), 0);
}

// Guards against groups that callers make up, each of which is kept.
#[test]
fn enter_keeps_group_ahead_among_made_up_ones() {
    let mut queue = FairQueue::new(1);
    let ahead = queue.enter("ahead", 1, 1000);
    assert!(queue.try_start(ahead));
    for number in 0..5 * MAX_GROUPS {
        let ticket = queue.enter(&format!("made-up-{number}"), 1, 1);
        queue.leave(ticket);
    }
    assert!(queue.known_groups() <= MAX_GROUPS);
    let next_of_ahead = queue.enter("ahead", 1, 1);
    let other = queue.enter("other", 1, 1);
    queue.release();
    assert!(!queue.try_start(next_of_ahead));
    assert!(queue.try_start(other));
}

fn configuration(models: &[(&str, f64)]) -> Configuration {
    let specs: Vec<ModelSpec> = models
        .iter()
        .map(|(name, weights_mb)| ModelSpec {
            name: (*name).into(),
            weights_mb: *weights_mb,
            adapter_mb: 1.0,
            adapter_count: 0,
            store_load: Duration::from_secs(1),
            disk_load: Duration::from_secs(1),
            memory_load: Duration::from_secs(1),
        })
        .collect();
    let engine = EngineSpec {
        model_order: specs.iter().map(|spec| spec.name.clone()).collect(),
        models: specs.into_iter().map(|spec| (spec.name.clone(), spec)).collect(),
        weights_mb: 200.0,
        adapter_slots: 1,
        loads_per_second: 1.0,
        kv_capacity: 0,
    };
    let service = Service {
        name: "llm".into(),
        max_connections: 1,
        engine: Some(engine),
    };
    Configuration::new(1, CallerLimits::default(), vec![service], Vec::new())
}

#[test]
fn plan_lists_exactly_the_changes() {
    let current = configuration(&[("unchanged", 50.0), ("changed", 50.0), ("removed", 50.0)]);
    let desired = configuration(&[("unchanged", 50.0), ("changed", 60.0), ("new", 50.0)]);
    let mut replicas = ReplicaTable::new();
    replicas.apply_listing(ReplicaListing {
        id: "r1".into(),
        service: "llm".into(),
        address: "10.0.0.1:1".into(),
        zone: "a".into(),
        slots: 1,
        state: ReplicaState::Ready,
        leaves_in: None,
        started_ms: None,
        holdings: Holdings {
            sequence: 0,
            models: vec![HeldModel {
                model: "removed".into(),
                adapters: Vec::new(),
            }],
            copies: Default::default(),
        },
    });
    let steps = plan(&current, &desired, &replicas);
    let service: Arc<str> = "llm".into();
    let expected = [
        PlannedStep::AddModel {
            service: service.clone(),
            model: "new".into(),
        },
        PlannedStep::RemoveModel {
            service: service.clone(),
            model: "removed".into(),
        },
        PlannedStep::ChangeModel {
            service,
            model: "changed".into(),
        },
        PlannedStep::StopModelOnReplica {
            replica: "r1".into(),
            model: "removed".into(),
        },
    ];
    assert_eq!(steps, expected);
    assert!(plan(&current, &current, &replicas).is_empty());
}
