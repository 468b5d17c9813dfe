//! Attempts from arrival to their final event.

mod support;

use croftrill_protocol::attempt::{AttemptEvent, ResumePoint};
use croftrill_state::outcome::{Execution, RefusalCause};
use croftrill_state::placement::Residency;
use croftrill_state::{AttemptId, FencingToken};
use support::world::{pass, refusal, whole_text, world};

#[tokio::test(start_paused = true)]
async fn a_cold_request_loads_the_model_and_gets_the_whole_answer() {
    let world = world();
    world.assign("m", 50, Residency::OnDemand);
    let events = world.events_of(world.request("m")).await;
    assert_eq!(whole_text(&events), "t0 t1 t2 ");
    assert!(matches!(events[0], AttemptEvent::Accepted { .. }));
    assert!(matches!(events[1], AttemptEvent::Started { .. }));
    assert_eq!(world.engine.loads(), 1);
    assert_eq!(world.coordinator.reports.lock().unwrap().len(), 1);
}

#[tokio::test(start_paused = true)]
async fn a_burst_of_cold_requests_starts_one_load() {
    let world = world();
    world.assign("m", 50, Residency::OnDemand);
    let runs: Vec<_> = (0..200).map(|_| world.spawn(world.request("m"))).collect();
    for run in runs {
        assert_eq!(whole_text(&run.await.unwrap()), "t0 t1 t2 ");
    }
    assert_eq!(world.engine.loads(), 1);
    assert_eq!(world.engine.breaches(), []);
}

#[tokio::test(start_paused = true)]
async fn a_resident_is_loaded_without_a_request() {
    let world = world();
    world.assign(
        "m",
        50,
        Residency::Resident {
            accelerators: vec![1],
        },
    );
    pass(500).await;
    assert!(world.engine.holds("m"));
}

#[tokio::test(start_paused = true)]
async fn a_resumed_attempt_goes_on_at_its_offset() {
    let world = world();
    world.assign("m", 50, Residency::OnDemand);
    let mut request = world.request("m");
    request.resume = Some(ResumePoint {
        tokens: 2,
        text: "t0 t1 ".to_string(),
    });
    assert_eq!(whole_text(&world.events_of(request).await), "t2 ");
}

#[tokio::test(start_paused = true)]
async fn an_attempt_with_another_token_is_not_run() {
    let world = world();
    world.assign("m", 50, Residency::OnDemand);
    for token in [0, 9] {
        let mut request = world.request("m");
        request.fencing_token = FencingToken(token);
        let refusal = refusal(&world.events_of(request).await);
        assert_eq!(refusal.cause, RefusalCause::NotOwner);
        assert_eq!(refusal.execution, Execution::NotRun);
        assert!(refusal.retry_after_millis > 0);
    }
    assert_eq!(world.engine.records(), []);
}

#[tokio::test(start_paused = true)]
async fn the_same_attempt_twice_runs_once() {
    let world = world();
    world.assign("m", 50, Residency::OnDemand);
    let request = world.request("m");
    let first = world.spawn(request.clone());
    pass(1).await;
    let during = refusal(&world.events_of(request.clone()).await);
    whole_text(&first.await.unwrap());
    let after = refusal(&world.events_of(request).await);
    for refusal in [during, after] {
        assert_eq!(refusal.execution, Execution::MayHaveRun);
    }
    assert_eq!(world.engine.runs_of(AttemptId(1)), 1);
}
