//! Single decisions of the engine's memory.

use croftrill_state::cluster::Target;
use croftrill_state::configuration::{Adapter, Model, PriorityClass};
use croftrill_state::engine_memory::*;
use croftrill_state::placement::{AssignmentState, Residency};
use croftrill_state::replica_queue::Wake;
use croftrill_state::{AdapterId, Instant, ModelId, Revision};

const SECOND: u64 = 1_000;

fn model(name: &str, memory: u64, checkpoint_mib: u64) -> Model {
    Model {
        id: ModelId::from(name),
        version: 1,
        accelerators: 1,
        memory_mib_per_accelerator: memory,
        checkpoint_mib,
        min_replicas: 0,
        max_replicas: 1,
    }
}

fn target(name: &str) -> Target {
    Target {
        model: ModelId::from(name),
        adapter: None,
    }
}

fn on_demand(model: Model) -> AssignedModel {
    AssignedModel {
        model,
        residency: Residency::OnDemand,
        state: AssignmentState::Active,
        changed_at: Revision(1),
    }
}

fn demand(name: &str, priority: PriorityClass, now: Instant, slack: u64) -> Demand {
    Demand {
        target: target(name),
        priority,
        earliest_deadline: now + slack,
        latest_deadline: now + slack,
        oldest_arrival: now,
    }
}

fn held(name: &str, memory: u64, loaded: bool) -> HeldReplica {
    HeldReplica {
        model: ModelId::from(name),
        version: 1,
        loaded,
        accelerators: vec![0],
        memory_mib_per_accelerator: memory,
        adapters: Vec::new(),
    }
}

fn look(memory: &mut EngineMemory, replicas: Vec<HeldReplica>, now: Instant) {
    let ticket = memory.inventory_asked(now);
    let report = HeldReport {
        replicas,
        ..HeldReport::default()
    };
    memory.reconcile(ticket, report, now);
}

/// One accelerator of 100 MiB that holds `a` (dear to load) and `b` (cheap),
/// both asked for equally often, `b` later.
fn full_memory(config: MemoryConfig) -> EngineMemory {
    let mut memory = EngineMemory::new(config);
    let assigned = vec![
        on_demand(model("a", 50, 50_000)),
        on_demand(model("b", 50, 1_000)),
        on_demand(model("c", 50, 1_000)),
    ];
    memory.set_assignments(vec![100], assigned, Vec::new());
    look(
        &mut memory,
        vec![held("a", 50, true), held("b", 50, true)],
        Instant(0),
    );
    memory.requested(&target("a"), 60 * SECOND, Instant(1_000));
    memory.requested(&target("b"), 60 * SECOND, Instant(2_000));
    memory
}

/// Under it `b` is the victim; by least recent use it would be `a`.
fn by_wake_cost() -> MemoryConfig {
    MemoryConfig {
        eviction: EvictionPolicy::ExpectedWakeCost,
        ..MemoryConfig::default()
    }
}

fn evicted(actions: &[MemoryAction]) -> Vec<&str> {
    let unloads = actions.iter().filter_map(|action| match action {
        MemoryAction::Unload {
            model,
            reason: UnloadReason::Evicted,
        } => Some(model.as_str()),
        _ => None,
    });
    unloads.collect()
}

#[test]
fn the_model_that_is_cheapest_to_wake_again_gives_way() {
    let now = Instant(10 * SECOND);
    let demands = [demand("c", PriorityClass::Standard, now, 60 * SECOND)];
    let mut memory = full_memory(by_wake_cost());
    assert_eq!(evicted(&memory.decide(&demands, now)), ["b"]);
    let mut memory = full_memory(MemoryConfig {
        eviction: EvictionPolicy::LeastRecentlyUsed,
        ..MemoryConfig::default()
    });
    assert_eq!(evicted(&memory.decide(&demands, now)), ["a"]);
}

#[test]
fn a_busy_model_yields_only_to_more_urgent_or_long_waiting_requests() {
    let mut memory = full_memory(by_wake_cost());
    let now = Instant(10 * SECOND);
    for name in ["a", "b"] {
        memory.use_started(&target(name), PriorityClass::Standard, now);
    }
    let usable = |memory: &EngineMemory| ["a", "b"].map(|name| memory.is_usable(&target(name)));
    memory.decide(
        &[demand("c", PriorityClass::Batch, now, 60 * SECOND)],
        now + 30 * SECOND,
    );
    assert_eq!(usable(&memory), [true, true]);
    memory.decide(&[demand("c", PriorityClass::Standard, now, 60 * SECOND)], now);
    assert_eq!(usable(&memory), [true, true]);
    let revisit = memory.next_decision(now).unwrap();
    assert!(revisit <= now + SECOND);
    memory.decide(&[demand("c", PriorityClass::Standard, now, 60 * SECOND)], revisit);
    assert_eq!(usable(&memory), [true, false]);
    memory.decide(&[], revisit);
    assert_eq!(usable(&memory), [true, true]);
    memory.decide(&[demand("c", PriorityClass::Critical, now, 60 * SECOND)], now);
    assert_eq!(usable(&memory), [true, false]);
}

#[test]
fn no_load_is_started_that_helps_nobody_unless_a_caller_was_told_to_come_back() {
    let mut memory = full_memory(by_wake_cost());
    let now = Instant(10 * SECOND);
    let Wake::In(millis) = memory.wake(&target("c"), now) else {
        panic!("it can be woken");
    };
    let hopeless = [demand("c", PriorityClass::Critical, now, millis - 1)];
    assert_eq!(memory.decide(&hopeless, now), []);
    memory.told_to_come_back(&target("c"), millis, now);
    assert_eq!(evicted(&memory.decide(&[], now)), ["b"]);
}

#[test]
fn a_caller_that_may_come_back_stops_nobodys_work() {
    let mut memory = full_memory(by_wake_cost());
    let now = Instant(60 * SECOND);
    for name in ["a", "b"] {
        memory.use_started(&target(name), PriorityClass::Batch, now);
    }
    memory.told_to_come_back(&target("c"), 1_000, now);
    for millis in [0, 1_000, 5_000, 10_000] {
        assert_eq!(memory.decide(&[], now + millis), []);
        assert!(memory.is_usable(&target("a")) && memory.is_usable(&target("b")));
    }
}

#[test]
fn callers_that_may_come_back_do_not_evict_one_anothers_models() {
    let mut memory = full_memory(MemoryConfig::default());
    let now = Instant(10 * SECOND);
    for name in ["a", "b", "c"] {
        memory.told_to_come_back(&target(name), 20 * SECOND, now);
    }
    for seconds in 0..20 {
        assert_eq!(memory.decide(&[], now + seconds * SECOND), []);
    }
    // A caller that is here goes before those that are only awaited.
    let demands = [demand("c", PriorityClass::Batch, now, 60 * SECOND)];
    assert_eq!(evicted(&memory.decide(&demands, now + 20 * SECOND)).len(), 1);
}

#[test]
fn a_caller_that_waits_need_not_wait_for_models_that_are_only_awaited() {
    let mut memory = full_memory(MemoryConfig::default());
    let now = Instant(10 * SECOND);
    let when_idle = memory.wake(&target("c"), now);
    for name in ["a", "b"] {
        memory.told_to_come_back(&target(name), 20 * SECOND, now);
    }
    assert_eq!(memory.wake(&target("c"), now), when_idle);
    memory.use_started(&target("a"), PriorityClass::Batch, now);
    memory.use_started(&target("b"), PriorityClass::Batch, now);
    assert_ne!(memory.wake(&target("c"), now), when_idle);
}

#[test]
fn a_load_that_waits_for_the_end_of_an_awaited_return_is_looked_at_again() {
    let mut memory = full_memory(MemoryConfig::default());
    let now = Instant(10 * SECOND);
    for (name, seconds) in [("a", 5), ("b", 30), ("c", 30)] {
        memory.told_to_come_back(&target(name), seconds * SECOND, now);
    }
    assert_eq!(memory.decide(&[], now), []);
    let again = memory.next_decision(now).unwrap();
    assert_eq!(evicted(&memory.decide(&[], again)), ["a"]);
}

#[test]
fn a_model_that_a_caller_may_come_back_for_is_not_evicted_as_idle() {
    let mut memory = full_memory(by_wake_cost());
    let now = Instant(10 * SECOND);
    memory.told_to_come_back(&target("b"), 1_000, now);
    let demands = [demand("c", PriorityClass::Batch, now, 60 * SECOND)];
    assert_eq!(evicted(&memory.decide(&demands, now)), ["a"]);
}

#[test]
fn idle_models_are_unloaded_later_if_their_deadlines_are_tight() {
    let config = MemoryConfig::default();
    let idle = config.idle_unload_millis;
    let tight = config.tight_idle_unload_millis;
    let mut memory = full_memory(config);
    memory.requested(&target("a"), 100, Instant(2_000));
    assert_eq!(memory.next_decision(Instant(2_000)), Some(Instant(2_000 + idle)));
    let actions = memory.decide(&[], Instant(2_000 + idle));
    let unload_b = MemoryAction::Unload {
        model: ModelId::from("b"),
        reason: UnloadReason::Idle,
    };
    assert_eq!(actions, [unload_b]);
    assert_eq!(memory.decide(&[], Instant(2_000 + tight - 1)), []);
    assert_eq!(memory.decide(&[], Instant(2_000 + tight)).len(), 1);
}

#[test]
fn load_times_are_learned_by_source_and_fade() {
    let mut estimator = LoadTimeEstimator::new(LoadTimeConfig::default());
    let now = Instant(0);
    let expected = estimator.estimate(CheckpointLocality::Remote, 10_000, now);
    assert!(estimator.estimate(CheckpointLocality::Memory, 10_000, now) < expected);
    estimator.observe(CheckpointLocality::Remote, 10_000, expected * 10, now);
    let slow = estimator.estimate(CheckpointLocality::Remote, 10_000, now);
    assert!(slow > expected * 5);
    assert_eq!(
        estimator.estimate(CheckpointLocality::Remote, 10_000, Instant(600 * SECOND)),
        expected
    );
    let disk = estimator.estimate(CheckpointLocality::Disk, 10_000, now);
    assert!(
        disk < expected,
        "what was learned of one source says nothing of another"
    );
}

#[test]
fn an_overdue_load_is_expected_to_take_longer_and_longer() {
    let mut memory = EngineMemory::new(MemoryConfig::default());
    memory.set_assignments(vec![100], vec![on_demand(model("a", 50, 1_000))], Vec::new());
    look(&mut memory, vec![held("a", 50, false)], Instant(0));
    let wait = |now| match memory.wake(&target("a"), now) {
        Wake::In(millis) => millis,
        other => panic!("{other:?}"),
    };
    assert!(wait(Instant(0)) < SECOND);
    assert!(wait(Instant(60 * SECOND)) > 20 * SECOND);
}

#[test]
fn nothing_is_unloaded_while_a_former_owners_requests_run() {
    let mut memory = full_memory(by_wake_cost());
    let later = Instant(3_600 * SECOND);
    for (others_running, unloads) in [(true, 0), (false, 2)] {
        let ticket = memory.inventory_asked(later);
        let report = HeldReport {
            replicas: vec![held("a", 50, true), held("b", 50, true)],
            others_running,
            ..HeldReport::default()
        };
        memory.reconcile(ticket, report, later);
        assert_eq!(memory.decide(&[], later).len(), unloads);
    }
}

#[test]
fn a_base_stays_accounted_while_an_order_about_its_adapter_may_arrive() {
    let mut memory = EngineMemory::new(MemoryConfig::default());
    let adapter = style_of_a();
    let assigned = vec![on_demand(model("a", 50, 1_000))];
    memory.set_assignments(vec![100], assigned, vec![adapter.clone()]);
    look(&mut memory, vec![held("a", 50, true)], Instant(0));
    let mut wanted = demand("a", PriorityClass::Standard, Instant(0), 60 * SECOND);
    wanted.target.adapter = Some(adapter.id.clone());
    assert_eq!(memory.decide(&[wanted], Instant(0)).len(), 1);
    look(&mut memory, Vec::new(), Instant(10));
    assert_eq!(memory.committed(), [60]);
    assert!(!memory.is_usable(&target("a")));
    memory.adapter_load_answered(&adapter, OrderAnswer::Lost, Instant(20));
    look(&mut memory, Vec::new(), Instant(30));
    assert_eq!(memory.committed(), [60]);
    look(&mut memory, Vec::new(), Instant(60 * SECOND));
    assert_eq!(memory.committed(), [0]);
}

fn style_of_a() -> Adapter {
    Adapter {
        id: AdapterId::from("style"),
        base: ModelId::from("a"),
        version: 1,
        memory_mib_per_accelerator: 10,
    }
}

#[test]
fn an_adapter_that_is_being_loaded_takes_memory_and_no_requests() {
    let mut memory = EngineMemory::new(MemoryConfig::default());
    let assigned = vec![on_demand(model("a", 50, 1_000))];
    memory.set_assignments(vec![100], assigned, vec![style_of_a()]);
    let mut base = held("a", 50, true);
    base.adapters.push(HeldAdapterReplica {
        adapter: style_of_a().id,
        version: 1,
        loaded: false,
        memory_mib_per_accelerator: 10,
    });
    look(&mut memory, vec![base.clone()], Instant(0));
    let mut wanted = demand("a", PriorityClass::Standard, Instant(0), 60 * SECOND);
    wanted.target.adapter = Some(style_of_a().id);
    assert_eq!(memory.committed(), [60]);
    assert!(!memory.is_usable(&wanted.target));
    assert_eq!(memory.decide(&[wanted.clone()], Instant(0)), []);
    base.adapters[0].loaded = true;
    look(&mut memory, vec![base], Instant(100));
    assert!(memory.is_usable(&wanted.target));
    // The load of the next one fails, and is repeated after a pause.
    look(&mut memory, vec![held("a", 50, true)], Instant(200));
    assert_eq!(memory.decide(&[wanted.clone()], Instant(200)).len(), 1);
    memory.adapter_load_answered(&style_of_a(), OrderAnswer::Done, Instant(200));
    look(&mut memory, vec![held("a", 50, true)], Instant(300));
    assert_eq!(memory.committed(), [50]);
    assert_eq!(memory.decide(&[wanted.clone()], Instant(300)), []);
    let again = memory.next_decision(Instant(300)).unwrap();
    assert_eq!(memory.decide(&[wanted], again).len(), 1);
}

#[test]
fn memory_that_is_kept_for_a_resident_is_not_lent_to_others() {
    let mut memory = EngineMemory::new(MemoryConfig::default());
    let resident = AssignedModel {
        residency: Residency::Resident {
            accelerators: vec![0],
        },
        ..on_demand(model("a", 60, 1_000))
    };
    let assigned = vec![
        resident,
        on_demand(model("b", 50, 1_000)),
        on_demand(model("c", 40, 1_000)),
    ];
    memory.set_assignments(vec![100], assigned, Vec::new());
    look(&mut memory, Vec::new(), Instant(0));
    memory.decide(&[], Instant(0));
    // The load of the resident fails, and is repeated after a pause.
    memory.load_answered(&ModelId::from("a"), OrderAnswer::NoEffect, Instant(0));
    let demands = ["b", "c"].map(|name| demand(name, PriorityClass::Critical, Instant(0), 60 * SECOND));
    let loads: Vec<MemoryAction> = memory.decide(&demands, Instant(0));
    assert!(matches!(&loads[..], [MemoryAction::Load { model, .. }] if model.id.as_str() == "c"));
    let loads = memory.decide(&[], Instant(60 * SECOND));
    assert!(matches!(&loads[..], [MemoryAction::Load { model, .. }] if model.id.as_str() == "a"));
}

#[test]
fn a_load_is_not_wanted_any_more_when_its_assignment_or_its_requests_are_gone() {
    let mut memory = EngineMemory::new(MemoryConfig::default());
    let mut assigned = on_demand(model("a", 50, 1_000));
    memory.set_assignments(vec![100], vec![assigned.clone()], Vec::new());
    look(&mut memory, Vec::new(), Instant(0));
    let demands = [demand("a", PriorityClass::Standard, Instant(0), 60 * SECOND)];
    memory.decide(&demands, Instant(0));
    let a = ModelId::from("a");
    assert!(memory.is_load_wanted(&a, &demands, Instant(0)));
    assert!(!memory.is_load_wanted(&a, &[], Instant(0)));
    assert!(!memory.is_load_wanted(&a, &demands, Instant(59_900)));
    assigned.state = AssignmentState::Releasing;
    assigned.changed_at = Revision(2);
    memory.set_assignments(vec![100], vec![assigned], Vec::new());
    assert!(!memory.is_load_wanted(&a, &demands, Instant(0)));
    memory.load_given_up(&a);
    assert_eq!(memory.committed(), [0]);
    // What was seen before the release was learned does not confirm it.
    assert_eq!(memory.released(), []);
    look(&mut memory, Vec::new(), Instant(0));
    assert_eq!(memory.released(), [confirmed("a", Revision(2))]);
}

fn confirmed(name: &str, release: Revision) -> ConfirmedRelease {
    ConfirmedRelease {
        model: ModelId::from(name),
        release,
    }
}

#[test]
fn a_second_release_is_confirmed_by_an_inventory_asked_for_after_it_was_learned() {
    let mut memory = EngineMemory::new(MemoryConfig::default());
    let releasing_since = |changed_at| AssignedModel {
        state: AssignmentState::Releasing,
        changed_at,
        ..on_demand(model("a", 50, 1_000))
    };
    memory.set_assignments(vec![100], vec![releasing_since(Revision(2))], Vec::new());
    assert!(memory.release_awaits_inventory());
    look(&mut memory, Vec::new(), Instant(0));
    assert_eq!(memory.released(), [confirmed("a", Revision(2))]);
    let early = memory.inventory_asked(Instant(1));
    // The steps between the two releases were never seen one by one.
    memory.set_assignments(vec![100], vec![releasing_since(Revision(5))], Vec::new());
    assert_eq!(memory.released(), []);
    memory.reconcile(early, HeldReport::default(), Instant(2));
    assert_eq!(memory.released(), []);
    assert!(memory.release_awaits_inventory());
    look(&mut memory, Vec::new(), Instant(3));
    assert_eq!(memory.released(), [confirmed("a", Revision(5))]);
    // The same release, taken in again, stays confirmed.
    memory.set_assignments(vec![100], vec![releasing_since(Revision(5))], Vec::new());
    assert_eq!(memory.released(), [confirmed("a", Revision(5))]);
    assert!(!memory.release_awaits_inventory());
}
