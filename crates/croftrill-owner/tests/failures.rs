//! Engines that fail, owners that lose them, callers that give up.

mod support;

use croftrill_protocol::attempt::AttemptEvent;
use croftrill_state::outcome::{Execution, RefusalCause};
use croftrill_state::placement::Residency;
use croftrill_state::{AttemptId, FencingToken};
use futures::StreamExt;
use support::engine::Record;
use support::world::*;

#[tokio::test(start_paused = true)]
async fn an_unreachable_engine_refuses_at_once_and_comes_back() {
    let world = world();
    world.assign("m", 50, Residency::OnDemand);
    whole_text(&world.events_of(world.request("m")).await);
    world.engine.behave(|behaviour| behaviour.unreachable = true);
    let first = refusal(&world.events_of(world.request("m")).await);
    assert_eq!(first.cause, RefusalCause::EngineFailed);
    assert_eq!(first.execution, Execution::NotRun);
    pass(10).await;
    let before = tokio::time::Instant::now();
    let second = refusal(&world.events_of(world.request("m")).await);
    assert_eq!(before.elapsed().as_millis(), 0);
    assert_eq!(
        (second.cause, second.execution),
        (RefusalCause::EngineFailed, Execution::NotRun)
    );
    assert!(second.retry_after_millis > 0);
    world.engine.behave(|behaviour| behaviour.unreachable = false);
    pass(second.retry_after_millis + 100).await;
    whole_text(&world.events_of(world.request("m")).await);
}

#[tokio::test(start_paused = true)]
async fn a_broken_stream_may_have_run() {
    let world = world();
    world.assign("m", 50, Residency::OnDemand);
    world
        .engine
        .behave(|behaviour| behaviour.break_after_tokens = Some(1));
    let events = world.events_of(world.request("m")).await;
    let started = events
        .iter()
        .position(|e| matches!(e, AttemptEvent::Started { .. }));
    let tokens = events
        .iter()
        .position(|e| matches!(e, AttemptEvent::Tokens { .. }));
    assert!(started < tokens && tokens.is_some());
    let refusal = refusal(&events);
    assert_eq!(refusal.cause, RefusalCause::EngineFailed);
    assert_eq!(refusal.execution, Execution::MayHaveRun);
}

#[tokio::test(start_paused = true)]
async fn what_breaks_before_the_first_token_may_have_run_too() {
    let world = world();
    world.assign("m", 50, Residency::OnDemand);
    world
        .engine
        .behave(|behaviour| behaviour.break_after_tokens = Some(0));
    let broken = refusal(&world.events_of(world.request("m")).await);
    assert_eq!(broken.execution, Execution::MayHaveRun);
    world.engine.behave(|behaviour| behaviour.lose_run_answers = true);
    pass(100).await;
    let lost = refusal(&world.events_of(world.request("m")).await);
    assert_eq!(lost.execution, Execution::MayHaveRun);
}

#[tokio::test(start_paused = true)]
async fn an_error_is_not_counted_as_a_first_token() {
    let world = world();
    world.assign("m", 50, Residency::OnDemand);
    world
        .engine
        .behave(|behaviour| behaviour.break_after_tokens = Some(0));
    refusal(&world.events_of(world.request("m")).await);
    assert!(world.metrics().contains("owner_first_token_seconds_count 0"));
    world
        .engine
        .behave(|behaviour| behaviour.break_after_tokens = None);
    pass(100).await;
    whole_text(&world.events_of(world.request("m")).await);
    assert!(world.metrics().contains("owner_first_token_seconds_count 1"));
}

#[tokio::test(start_paused = true)]
async fn what_the_engine_refuses_did_not_run() {
    let world = world();
    world.assign("m", 50, Residency::OnDemand);
    world.engine.behave(|behaviour| behaviour.refuse_runs = true);
    let request = world.request("m");
    let attempt = request.attempt;
    let refusal = refusal(&world.events_of(request).await);
    assert_eq!(refusal.execution, Execution::NotRun);
    assert_eq!(refusal.retry_after_millis, 77);
    assert_eq!(world.engine.runs_of(attempt), 0);
}

#[tokio::test(start_paused = true)]
async fn a_model_that_the_engine_lost_is_loaded_again() {
    let world = world();
    world.assign("m", 50, Residency::OnDemand);
    whole_text(&world.events_of(world.request("m")).await);
    world.engine.restart();
    let lost = refusal(&world.events_of(world.request("m")).await);
    assert_eq!(lost.execution, Execution::NotRun);
    pass(100).await;
    whole_text(&world.events_of(world.request("m")).await);
    assert_eq!(world.engine.loads(), 2);
    assert_eq!(world.engine.breaches(), []);
}

#[tokio::test(start_paused = true)]
async fn a_lost_engine_gets_no_more_orders_and_its_streams_run_on() {
    let world = world_with(|config| config.memory.idle_unload_millis = 500);
    world.assign("idle", 50, Residency::OnDemand);
    world.assign("m", 50, Residency::OnDemand);
    whole_text(&world.events_of(world.request("m")).await);
    whole_text(&world.events_of(world.request("idle")).await);
    world.engine.behave(|behaviour| behaviour.token_millis = 500);
    let running: Vec<_> = (0..4).map(|_| world.spawn(world.request("m"))).collect();
    pass(100).await;
    let waiting = world.spawn(world.request("m"));
    pass(100).await;
    world.set_owner(OTHER_NODE);
    let refusal = refusal(&waiting.await.unwrap());
    assert_eq!(
        (refusal.cause, refusal.execution),
        (RefusalCause::NotOwner, Execution::NotRun)
    );
    let before = world.engine.records().len();
    for run in running {
        assert_eq!(whole_text(&run.await.unwrap()), "t0 t1 t2 ");
    }
    pass(60_000).await;
    assert_eq!(world.engine.records().len(), before);
    assert!(
        world.engine.holds("idle"),
        "unloaded by an owner that lost the engine"
    );
    assert_eq!(world.service.open_attempts(), 0);
}

#[tokio::test(start_paused = true)]
async fn an_engine_that_saw_a_higher_token_is_lost_before_the_log_tells() {
    let world = world();
    world.assign("m", 50, Residency::OnDemand);
    whole_text(&world.events_of(world.request("m")).await);
    world.engine.raise_token(FencingToken(99));
    let fenced = refusal(&world.events_of(world.request("m")).await);
    assert_eq!(
        (fenced.cause, fenced.execution),
        (RefusalCause::NotOwner, Execution::NotRun)
    );
    let before = world.engine.records().len();
    let later = refusal(&world.events_of(world.request("m")).await);
    assert_eq!(
        (later.cause, later.execution),
        (RefusalCause::NotOwner, Execution::NotRun)
    );
    assert_eq!(world.engine.records().len(), before);
}

#[tokio::test(start_paused = true)]
async fn an_engine_that_comes_back_with_a_new_token_is_fenced_again() {
    let world = world();
    world.assign("m", 50, Residency::OnDemand);
    whole_text(&world.events_of(world.request("m")).await);
    world.set_owner(OTHER_NODE);
    pass(50).await;
    world.set_owner(NODE);
    let request = world.request("m");
    let (attempt, token) = (request.attempt, request.fencing_token);
    whole_text(&world.events_of(request).await);
    assert!(world.engine.records().contains(&Record::Ran(attempt, token)));
    assert_eq!(world.engine.loads(), 1);
}

#[tokio::test(start_paused = true)]
async fn a_closed_stream_cancels_what_waits_and_what_runs() {
    let world = world();
    world.assign("m", 50, Residency::OnDemand);
    let waiting = world.request("m");
    let attempt = waiting.attempt;
    let mut stream = world.service.handle(waiting);
    assert!(matches!(stream.next().await, Some(AttemptEvent::Accepted { .. })));
    drop(stream);
    pass(1_000).await;
    assert_eq!(world.engine.runs_of(attempt), 0);
    world.engine.behave(|behaviour| behaviour.token_millis = 100);
    let mut stream = world.service.handle(world.request("m"));
    while !matches!(stream.next().await, Some(AttemptEvent::Tokens { .. })) {}
    drop(stream);
    pass(50).await;
    assert_eq!(world.service.open_attempts(), 0);
}

#[tokio::test(start_paused = true)]
async fn the_engine_is_told_to_stop_what_nobody_reads_any_more() {
    let world = world();
    world.assign("m", 50, Residency::OnDemand);
    whole_text(&world.events_of(world.request("m")).await);
    world.engine.behave(|behaviour| {
        behaviour.ignore_closed_streams = true;
        behaviour.token_millis = 1_000;
    });
    let mut late = world.request("m");
    late.first_token_deadline_millis = 200;
    let run = world.spawn(late);
    pass(100).await;
    assert_eq!(world.engine.running(), 1);
    refusal(&run.await.unwrap());
    assert_eq!(world.engine.running(), 0);
}

#[tokio::test(start_paused = true)]
async fn a_cancelled_attempt_ends_with_a_refusal() {
    let world = world();
    world.assign("m", 50, Residency::OnDemand);
    world.engine.behave(|behaviour| behaviour.token_millis = 1_000);
    let run = world.spawn(world.request("m"));
    pass(500).await;
    world.service.cancel(AttemptId(1));
    assert_eq!(refusal(&run.await.unwrap()).execution, Execution::MayHaveRun);
}

#[tokio::test(start_paused = true)]
async fn a_late_answer_is_cut_at_its_deadline() {
    let world = world();
    world.assign("m", 50, Residency::OnDemand);
    world.engine.behave(|behaviour| behaviour.token_millis = 1_000);
    let mut request = world.request("m");
    request.total_deadline_millis = 2_500;
    let before = tokio::time::Instant::now();
    let refusal = refusal(&world.events_of(request).await);
    assert_eq!(refusal.cause, RefusalCause::DeadlineExpired);
    assert_eq!(refusal.execution, Execution::MayHaveRun);
    assert_eq!(before.elapsed().as_millis() / 10, 250);
}

#[tokio::test(start_paused = true)]
async fn lost_answers_to_orders_load_nothing_twice() {
    let world = world();
    world.assign("m", 50, Residency::OnDemand);
    world
        .engine
        .behave(|behaviour| behaviour.lose_order_answers = true);
    whole_text(&world.events_of(world.request("m")).await);
    assert_eq!(world.engine.loads(), 1);
    assert_eq!(world.engine.breaches(), []);
}

#[tokio::test(start_paused = true)]
async fn a_failing_load_is_repeated_with_pauses_and_refused_in_time() {
    let world = world();
    world.assign("m", 50, Residency::OnDemand);
    world.engine.behave(|behaviour| behaviour.fail_loads = true);
    let mut request = world.request("m");
    request.first_token_deadline_millis = 3_000;
    let before = tokio::time::Instant::now();
    let refusal = refusal(&world.events_of(request).await);
    assert_eq!(refusal.execution, Execution::NotRun);
    assert!(before.elapsed().as_millis() <= 3_010);
    assert!(world.engine.loads() <= 5, "{}", world.engine.loads());
    let reports = world.coordinator.reports.lock().unwrap().clone();
    assert!(!reports.is_empty() && reports.iter().all(|report| !report.succeeded));
}

#[tokio::test(start_paused = true)]
async fn a_late_first_token_cuts_only_what_may_be_repeated() {
    let world = world();
    world.assign("m", 50, Residency::OnDemand);
    whole_text(&world.events_of(world.request("m")).await);
    world.engine.behave(|behaviour| behaviour.token_millis = 1_000);
    let mut request = world.request("m");
    request.first_token_deadline_millis = 500;
    let refused = refusal(&world.events_of(request.clone()).await);
    assert_eq!(
        (refused.cause, refused.execution),
        (RefusalCause::DeadlineExpired, Execution::MayHaveRun)
    );
    let mut unrepeatable = world.request("m");
    unrepeatable.first_token_deadline_millis = 500;
    unrepeatable.unrepeatable = Some("alert-1".into());
    whole_text(&world.events_of(unrepeatable).await);
}
