//! Loads, evictions, permits, releases.

mod support;

use croftrill_platform::engine::{HeldModel, LoadState};
use croftrill_protocol::peer::LoadPermit;
use croftrill_state::configuration::PriorityClass;
use croftrill_state::engine_memory::ConfirmedRelease;
use croftrill_state::outcome::{Execution, RefusalCause};
use croftrill_state::placement::{AssignmentState, Residency};
use croftrill_state::{AdapterId, EngineId, ModelId, Revision};
use support::engine::Record;
use support::world::*;

fn held(model: &str, state: LoadState) -> HeldModel {
    HeldModel {
        model: ModelId::from(model),
        version: 1,
        state,
        accelerators: vec![0],
        memory_mib_per_accelerator: 50,
        adapters: Vec::new(),
    }
}

#[tokio::test(start_paused = true)]
async fn models_take_turns_in_memory_that_holds_one_of_them() {
    let world = world();
    for name in ["a", "b", "c"] {
        world.assign(name, 90, Residency::OnDemand);
    }
    for name in ["a", "b", "c", "a", "b", "c"] {
        whole_text(&world.events_of(world.request(name)).await);
    }
    assert_eq!(world.engine.breaches(), []);
}

#[tokio::test(start_paused = true)]
async fn a_busy_model_gives_way_to_a_more_urgent_class() {
    let world = world();
    for name in ["a", "b", "c"] {
        world.assign(name, 90, Residency::OnDemand);
    }
    world.engine.behave(|behaviour| behaviour.token_millis = 400);
    let mut running = Vec::new();
    for name in ["a", "b", "a", "b"] {
        running.push(world.spawn(world.request(name)));
    }
    pass(300).await;
    let mut urgent = world.request("c");
    urgent.priority = PriorityClass::Critical;
    whole_text(&world.events_of(urgent).await);
    for run in running {
        whole_text(&run.await.unwrap());
    }
    assert_eq!(world.engine.breaches(), []);
}

#[tokio::test(start_paused = true)]
async fn a_load_in_progress_of_a_former_owner_is_used() {
    let world = world();
    world.engine.hold(held("m", LoadState::Loading), 300);
    world.assign("m", 50, Residency::OnDemand);
    whole_text(&world.events_of(world.request("m")).await);
    assert_eq!(world.engine.loads(), 0);
}

#[tokio::test(start_paused = true)]
async fn what_is_held_without_an_assignment_is_unloaded() {
    let world = world();
    world.engine.hold(held("stray", LoadState::Loaded), 0);
    pass(200).await;
    assert!(!world.engine.holds("stray"));
    world.assign("m", 50, Residency::OnDemand);
    whole_text(&world.events_of(world.request("m")).await);
    world.change(|state| {
        state.assignments.clear();
    });
    pass(200).await;
    assert!(!world.engine.holds("m"));
}

#[tokio::test(start_paused = true)]
async fn an_adapter_is_loaded_beside_its_base() {
    let world = world();
    world.assign("m", 50, Residency::OnDemand);
    world.add_adapter("style", "m", 10);
    let mut request = world.request("m");
    request.target.adapter = Some(AdapterId::from("style"));
    whole_text(&world.events_of(request).await);
    let loaded = Record::AdapterLoaded(AdapterId::from("style"));
    assert!(world.engine.records().contains(&loaded));
    assert_eq!(world.engine.breaches(), []);
}

#[tokio::test(start_paused = true)]
async fn a_new_version_replaces_the_old_one() {
    let world = world();
    world.assign("m", 50, Residency::OnDemand);
    whole_text(&world.events_of(world.request("m")).await);
    world.change(|state| {
        state.models.get_mut(&ModelId::from("m")).unwrap().value.version = 2;
    });
    whole_text(&world.events_of(world.request("m")).await);
    assert_eq!(world.engine.loads(), 2);
    assert!(world
        .engine
        .records()
        .contains(&Record::Unloaded(ModelId::from("m"))));
}

#[tokio::test(start_paused = true)]
async fn a_release_drains_unloads_and_is_reported_until_the_log_shows_it() {
    let world = world();
    world.assign("m", 50, Residency::OnDemand);
    whole_text(&world.events_of(world.request("m")).await);
    *world.coordinator.failing_reports.lock().unwrap() = 2;
    world.engine.behave(|behaviour| behaviour.token_millis = 300);
    let running = world.spawn(world.request("m"));
    pass(100).await;
    world.set_assignment("m", AssignmentState::Releasing);
    let refused = refusal(&world.events_of(world.request("m")).await);
    assert_eq!(
        (refused.cause, refused.execution),
        (RefusalCause::NoReplica, Execution::NotRun)
    );
    assert!(world.coordinator.releases.lock().unwrap().is_empty());
    whole_text(&running.await.unwrap());
    pass(5_000).await;
    assert!(!world.engine.holds("m"));
    let released = ConfirmedRelease {
        model: ModelId::from("m"),
        release: world.revision_of("m"),
    };
    let reported = world.coordinator.releases.lock().unwrap().clone();
    assert!(reported.len() >= 3);
    assert!(reported.iter().all(|report| *report == released));
    assert_eq!(world.engine.breaches(), []);
    world.change(|state| {
        state.assignments.remove(&ModelId::from("m"));
    });
    pass(10).await;
    let reports = world.coordinator.releases.lock().unwrap().len();
    pass(120_000).await;
    assert_eq!(world.coordinator.releases.lock().unwrap().len(), reports);
}

#[tokio::test(start_paused = true)]
async fn each_release_is_reported_by_its_own_revision() {
    let world = world();
    world.assign("m", 50, Residency::OnDemand);
    world.set_assignment("m", AssignmentState::Releasing);
    let first = world.revision_of("m");
    pass(1_000).await;
    // The second release follows before the actor sees what lies between.
    world.assign("m", 50, Residency::OnDemand);
    world.set_assignment("m", AssignmentState::Releasing);
    let second = world.revision_of("m");
    pass(1_000).await;
    // An entry about another model begins no release of this one.
    let before = world.coordinator.releases.lock().unwrap().len();
    world.assign("other", 30, Residency::OnDemand);
    pass(120_000).await;
    assert!(world.coordinator.releases.lock().unwrap().len() > before);
    let reported = world.coordinator.releases.lock().unwrap().clone();
    let mut releases: Vec<Revision> = reported.iter().map(|report| report.release).collect();
    releases.dedup();
    assert_eq!(releases, [first, second]);
}

#[tokio::test(start_paused = true)]
async fn nothing_is_loaded_for_an_assignment_that_waits() {
    let world = world();
    world.assign("m", 50, Residency::OnDemand);
    let engine = EngineId::from("other");
    world.set_assignment("m", AssignmentState::WaitingFor { engine });
    let refused = refusal(&world.events_of(world.request("m")).await);
    assert_eq!(
        (refused.cause, refused.execution),
        (RefusalCause::NoReplica, Execution::NotRun)
    );
    assert_eq!(world.engine.loads(), 0);
}

#[tokio::test(start_paused = true)]
async fn a_load_waits_for_its_permit() {
    let world = world();
    world.assign("m", 50, Residency::OnDemand);
    let wait = LoadPermit::Wait {
        retry_after_millis: 400,
        expected_millis: 900,
    };
    *world.coordinator.waits.lock().unwrap() = vec![wait.clone(), wait];
    let before = tokio::time::Instant::now();
    whole_text(&world.events_of(world.request("m")).await);
    assert!(before.elapsed().as_millis() >= 900);
    assert_eq!(world.coordinator.asked.lock().unwrap().len(), 3);
    assert_eq!(world.engine.loads(), 1);
}

#[tokio::test(start_paused = true)]
async fn what_a_slow_store_cannot_serve_in_time_is_refused_at_once() {
    let world = world();
    world.assign("m", 50, Residency::OnDemand);
    let wait = LoadPermit::Wait {
        retry_after_millis: 500,
        expected_millis: 30_000,
    };
    *world.coordinator.waits.lock().unwrap() = vec![wait; 100];
    let before = tokio::time::Instant::now();
    let refused = refusal(&world.events_of(world.request("m")).await);
    assert!(before.elapsed().as_millis() < 100);
    assert_eq!(
        (refused.cause, refused.execution),
        (RefusalCause::LoadTooSlow, Execution::NotRun)
    );
    assert!((29_000..=30_000).contains(&refused.retry_after_millis));
}

#[tokio::test(start_paused = true)]
async fn a_model_whose_load_exceeds_the_deadline_is_loaded_for_the_callers_return() {
    let world = world_with(|config| config.memory.load_time.fixed_millis = 1_500);
    world.assign("m", 50, Residency::OnDemand);
    let mut tight = world.request("m");
    tight.first_token_deadline_millis = 500;
    let refused = refusal(&world.events_of(tight).await);
    assert_eq!(refused.cause, RefusalCause::LoadTooSlow);
    pass(refused.retry_after_millis).await;
    let mut again = world.request("m");
    again.first_token_deadline_millis = 500;
    whole_text(&world.events_of(again).await);
}

#[tokio::test(start_paused = true)]
async fn without_a_coordinator_loads_go_one_at_a_time() {
    let world = world();
    *world.coordinator.unreachable.lock().unwrap() = true;
    for name in ["a", "b", "c"] {
        world.assign(name, 30, Residency::OnDemand);
    }
    let before = tokio::time::Instant::now();
    let runs = ["a", "b", "c"].map(|name| world.spawn(world.request(name)));
    for run in runs {
        whole_text(&run.await.unwrap());
    }
    // Three loads of 100 ms with pauses of 1 s and 2 s between them.
    assert!(before.elapsed().as_millis() >= 3_300);
    assert!(world.coordinator.reports.lock().unwrap().is_empty());
}

#[tokio::test(start_paused = true)]
async fn an_idle_model_is_unloaded_and_its_idle_time_counted() {
    let world = world();
    world.assign("m", 50, Residency::OnDemand);
    whole_text(&world.events_of(world.request("m")).await);
    pass(400_000).await;
    assert!(!world.engine.holds("m"));
    let text = world.metrics();
    let line = text
        .lines()
        .find(|line| line.starts_with("owner_idle_accelerator_seconds_total"))
        .unwrap();
    let seconds: f64 = line.split(' ').nth(1).unwrap().parse().unwrap();
    assert!((299.0..=306.0).contains(&seconds), "{line}");
    assert!(text.contains("owner_loads_total{source=\"remote\"} 1"));
    assert!(text.contains("owner_unloads_total{reason=\"idle\"} 1"));
    assert!(text.contains("owner_cold_start_seconds_count 1"));
}

#[tokio::test(start_paused = true)]
async fn time_with_running_work_is_not_idle_time() {
    let world = world();
    world.assign("m", 50, Residency::OnDemand);
    world.engine.behave(|behaviour| behaviour.token_millis = 3_000);
    whole_text(&world.events_of(world.request("m")).await);
    let text = world.metrics();
    let line = text
        .lines()
        .find(|line| line.starts_with("owner_idle_accelerator_seconds_total"))
        .unwrap();
    let seconds: f64 = line.split(' ').nth(1).unwrap().parse().unwrap();
    assert!(seconds < 1.0, "{line}");
}

#[tokio::test(start_paused = true)]
async fn a_long_load_is_looked_at_rarely_until_its_end_is_near() {
    let world = world_with(|config| config.memory.load_time.fixed_millis = 10_000);
    world.assign(
        "m",
        50,
        Residency::Resident {
            accelerators: vec![0],
        },
    );
    world.engine.behave(|behaviour| behaviour.load_millis = 10_000);
    pass(12_000).await;
    assert!(world.engine.holds("m"));
    let inventories = world.engine.inventories();
    assert!((5..60).contains(&inventories), "{inventories}");
}
