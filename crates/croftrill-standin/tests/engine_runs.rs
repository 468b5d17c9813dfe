//! Runs of requests through the engine's adapter on the stand-in engine.

mod support;

use croftrill_platform::engine::{EngineClient, EngineError, EngineEvent, LoadAdapter, OrderOutcome};
use croftrill_platform::{HttpEngineClient, HttpEngineConfig};
use croftrill_standin::engine::RunEnd;
use croftrill_standin::{expected_answer, Engine, EngineConfig, EngineFaults, RunningEngine};
use croftrill_state::configuration::PriorityClass;
use croftrill_state::{AdapterId, AttemptId, FencingToken, IdempotencyKey, ModelId};
use futures::StreamExt;
use std::time::Duration;
use support::{collect, engine_client, eventually, load, request, until};

const TOKEN: FencingToken = FencingToken(5);
/// Never reached.
const ENDLESS: u32 = 2000;
/// An engine whose tokens take so long generates none within a test.
const VERY_SLOW_MICROS: u64 = 600_000_000;

async fn start(config: EngineConfig) -> (RunningEngine, HttpEngineClient) {
    let engine = Engine::start(config).await.unwrap();
    let client = engine_client(&engine);
    load(&client, TOKEN, "m1").await;
    (engine, client)
}

fn answer(max_tokens: u32) -> String {
    expected_answer(&ModelId::new("m1"), None, "a prompt", Some(7), max_tokens)
}

fn very_slow(max_running: u32, max_waiting: u32) -> EngineConfig {
    EngineConfig {
        max_running,
        max_waiting,
        token_interval_micros: VERY_SLOW_MICROS,
        load_report_interval_millis: 5,
        ..Default::default()
    }
}

#[tokio::test]
async fn streams_the_whole_answer() {
    let (engine, client) = start(EngineConfig::default()).await;
    let mut request = request(1, TOKEN, "m1", 40);
    request.idempotency_key = Some(IdempotencyKey::new("once"));
    let collected = collect(client.run(request).await.unwrap()).await;

    assert_eq!(collected.text, answer(40));
    assert_eq!(collected.error, None);
    let finished = EngineEvent::Finished {
        tokens: 40,
        prompt_tokens: 2,
        reached_length: true,
    };
    assert_eq!(collected.finished, Some(finished));
    until(|| engine.ledger().runs[0].end.is_some()).await;
    let ledger = engine.ledger();
    assert_eq!(ledger.runs[0].end, Some(RunEnd::Finished));
    assert_eq!(ledger.runs[0].tokens, 40);
    assert_eq!(ledger.runs_of_key(&IdempotencyKey::new("once")).len(), 1);
    assert_eq!(ledger.accelerators[0].peak_mib, 1000);
}

#[tokio::test]
async fn answers_differ_by_model_adapter_prompt_and_seed() {
    let (model, adapter) = (ModelId::new("m1"), AdapterId::new("a1"));
    let texts = [
        expected_answer(&model, None, "p", Some(1), 20),
        expected_answer(&ModelId::new("m2"), None, "p", Some(1), 20),
        expected_answer(&model, Some(&adapter), "p", Some(1), 20),
        expected_answer(&model, None, "q", Some(1), 20),
        expected_answer(&model, None, "p", Some(2), 20),
    ];
    for (place, text) in texts.iter().enumerate() {
        assert!(!texts[..place].contains(text));
    }
    assert!(texts[0].starts_with(&expected_answer(&model, None, "p", Some(1), 7)));
}

#[tokio::test]
async fn an_adapter_answers_for_itself() {
    let (engine, client) = start(EngineConfig::default()).await;
    let adapter = AdapterId::new("a1");
    let order = LoadAdapter {
        adapter: adapter.clone(),
        base: ModelId::new("m1"),
        version: 1,
        memory_mib_per_accelerator: 10,
    };
    client.load_adapter(TOKEN, order).await.unwrap();
    until(|| {
        engine
            .ledger()
            .loads
            .iter()
            .all(|load| load.loaded_at_millis.is_some())
    })
    .await;
    let mut request = request(1, TOKEN, "m1", 12);
    request.adapter = Some(adapter.clone());
    let collected = collect(client.run(request).await.unwrap()).await;
    let expected = expected_answer(&ModelId::new("m1"), Some(&adapter), "a prompt", Some(7), 12);
    assert_eq!(collected.text, expected);
}

#[tokio::test]
async fn a_stream_broken_by_a_crash_resumes_elsewhere_with_the_same_answer() {
    let (first, first_client) = start(EngineConfig::default()).await;
    let (second, second_client) = start(EngineConfig::default()).await;
    first.set_faults(EngineFaults {
        crash_after_tokens: Some(9),
        ..Default::default()
    });
    let broken = collect(first_client.run(request(1, TOKEN, "m1", 40)).await.unwrap()).await;
    assert!(matches!(broken.error, Some(EngineError::Broken(_))), "{broken:?}");
    assert!(broken.tokens <= 9);
    assert_eq!(first.ledger().runs[0].end, Some(RunEnd::Crashed));

    let mut rest = request(2, TOKEN, "m1", 40);
    rest.resume_tokens = broken.tokens;
    rest.resume_text = broken.text.clone();
    let rest = collect(second_client.run(rest).await.unwrap()).await;
    assert_eq!(broken.text + &rest.text, answer(40));
    assert!(matches!(
        rest.finished,
        Some(EngineEvent::Finished { tokens: 40, .. })
    ));
    assert_eq!(second.ledger().wrong_resumes, 0);
}

#[tokio::test]
async fn a_resume_with_a_wrong_text_is_noted() {
    let (engine, client) = start(EngineConfig::default()).await;
    let mut wrong = request(1, TOKEN, "m1", 40);
    wrong.resume_tokens = 3;
    wrong.resume_text = answer(4);
    collect(client.run(wrong).await.unwrap()).await;
    assert_eq!(engine.ledger().wrong_resumes, 1);
}

#[tokio::test]
async fn a_resume_at_the_end_only_finishes() {
    let (_engine, client) = start(EngineConfig::default()).await;
    let mut rest = request(1, TOKEN, "m1", 10);
    rest.resume_tokens = 10;
    rest.resume_text = answer(10);
    let rest = collect(client.run(rest).await.unwrap()).await;
    assert_eq!((rest.tokens, rest.text.as_str()), (0, ""));
    assert!(matches!(
        rest.finished,
        Some(EngineEvent::Finished { tokens: 10, .. })
    ));
}

#[tokio::test]
async fn a_stop_text_ends_the_answer() {
    let (_engine, client) = start(EngineConfig::default()).await;
    let whole = answer(40);
    let stop: String = whole.split_inclusive(' ').nth(12).unwrap().to_string();
    let expected = &whole[..whole.find(&stop).unwrap()];
    let mut request = request(1, TOKEN, "m1", 40);
    request.stop = vec![stop];
    let collected = collect(client.run(request).await.unwrap()).await;
    assert_eq!(collected.text, expected);
    let finished = collected.finished;
    assert!(
        matches!(
            finished,
            Some(EngineEvent::Finished {
                reached_length: false,
                ..
            })
        ),
        "{finished:?}"
    );
}

#[tokio::test]
async fn a_cancelled_run_ends() {
    let (engine, client) = start(EngineConfig::default()).await;
    let mut stream = client.run(request(1, TOKEN, "m1", ENDLESS)).await.unwrap();
    assert!(matches!(
        stream.next().await,
        Some(Ok(EngineEvent::Tokens { offset: 0, .. }))
    ));
    assert_eq!(client.inventory().await.unwrap().running, [AttemptId(1)]);
    let unload = client.unload_model(TOKEN, &ModelId::new("m1")).await;
    assert!(matches!(unload, Ok(OrderOutcome::Rejected { .. })), "{unload:?}");
    client.cancel(AttemptId(1)).await.unwrap();
    until(|| engine.ledger().runs[0].end == Some(RunEnd::Cancelled)).await;
    let rest = collect(stream).await;
    assert!(matches!(rest.error, Some(EngineError::Broken(_))), "{rest:?}");
    client.cancel(AttemptId(1)).await.unwrap();
    assert_eq!(
        client.unload_model(TOKEN, &ModelId::new("m1")).await,
        Ok(OrderOutcome::Accepted)
    );
}

#[tokio::test]
async fn a_dropped_stream_cancels_its_run() {
    let (engine, client) = start(very_slow(1, 1)).await;
    let running = client.run(request(1, TOKEN, "m1", ENDLESS)).await.unwrap();
    until(|| engine.ledger().runs[0].started_at_millis.is_some()).await;
    let waiting = client.run(request(2, TOKEN, "m1", ENDLESS)).await.unwrap();
    drop(waiting);
    until(|| engine.ledger().runs[1].end == Some(RunEnd::Cancelled)).await;
    assert_eq!(engine.ledger().runs[1].started_at_millis, None);
    drop(running);
    until(|| engine.ledger().runs[0].end == Some(RunEnd::Cancelled)).await;
    assert!(client.inventory().await.unwrap().running.is_empty());
}

#[tokio::test]
async fn a_full_engine_refuses_with_a_hint() {
    let (engine, client) = start(very_slow(1, 1)).await;
    let _running = client.run(request(1, TOKEN, "m1", ENDLESS)).await.unwrap();
    until(|| engine.ledger().runs[0].started_at_millis.is_some()).await;
    let _waiting = client.run(request(2, TOKEN, "m1", ENDLESS)).await.unwrap();
    until_waiting(&client, 1).await;
    let refused = client.run(request(3, TOKEN, "m1", ENDLESS)).await.err();
    let Some(EngineError::Refused {
        retry_after_millis, ..
    }) = refused
    else {
        panic!("not refused: {refused:?}");
    };
    assert!(retry_after_millis > 0);
    assert_eq!(engine.ledger().runs.len(), 2);
    assert_eq!(engine.ledger().requests_refused, 1);
}

#[tokio::test]
async fn an_unloaded_model_or_a_known_attempt_is_refused() {
    let (engine, client) = start(EngineConfig::default()).await;
    let refused = client.run(request(1, TOKEN, "m2", 4)).await.err();
    assert!(
        matches!(refused, Some(EngineError::Refused { .. })),
        "{refused:?}"
    );
    collect(client.run(request(1, TOKEN, "m1", 4)).await.unwrap()).await;
    let repeated = client.run(request(1, TOKEN, "m1", 4)).await.err();
    assert!(
        matches!(repeated, Some(EngineError::Refused { .. })),
        "{repeated:?}"
    );
    assert_eq!(engine.ledger().runs.len(), 1);
}

#[tokio::test]
async fn waiting_requests_start_by_priority() {
    let (engine, client) = start(very_slow(1, 8)).await;
    let first = client.run(request(1, TOKEN, "m1", ENDLESS)).await.unwrap();
    until(|| engine.ledger().runs[0].started_at_millis.is_some()).await;
    let mut waiting = Vec::new();
    let priorities = [
        PriorityClass::Batch,
        PriorityClass::Standard,
        PriorityClass::Critical,
    ];
    for (place, priority) in priorities.into_iter().enumerate() {
        let mut request = request(place as u64 + 2, TOKEN, "m1", ENDLESS);
        request.priority = priority;
        waiting.push(client.run(request).await.unwrap());
        until_waiting(&client, place as u32 + 1).await;
    }
    drop(first);
    for expected in [3, 2, 1] {
        until(|| engine.ledger().runs[expected].started_at_millis.is_some()).await;
        let started = engine
            .ledger()
            .runs
            .iter()
            .filter(|run| run.started_at_millis.is_some())
            .count();
        assert_eq!(started, 5 - expected);
        drop(waiting.pop());
    }
}

/// Waits until the lagging report shows so many waiting requests.
async fn until_waiting(client: &HttpEngineClient, waiting: u32) {
    eventually(async || client.load_report().await.unwrap().waiting == waiting).await;
}

#[tokio::test]
async fn a_frozen_engine_breaks_the_stream_but_not_the_run() {
    let (engine, _) = start(EngineConfig::default()).await;
    let mut config = HttpEngineConfig::new(engine.server.address().to_string());
    config.stream_idle_timeout = Duration::from_secs(1);
    config.endpoint.call_timeout = Duration::from_secs(1);
    let client = HttpEngineClient::new(config);
    let mut stream = client.run(request(1, TOKEN, "m1", ENDLESS)).await.unwrap();
    assert!(stream.next().await.unwrap().is_ok());
    engine.set_faults(EngineFaults {
        freeze: true,
        ..Default::default()
    });
    let unanswered = client.inventory().await;
    assert!(
        matches!(unanswered, Err(EngineError::Broken(_))),
        "{unanswered:?}"
    );
    let broken = collect(stream).await;
    assert!(matches!(broken.error, Some(EngineError::Broken(_))), "{broken:?}");
    engine.set_faults(EngineFaults::default());
    until(|| engine.ledger().runs[0].end.is_some()).await;
    assert!(client.inventory().await.is_ok());
}

#[tokio::test]
async fn cached_prefixes_need_no_prefill() {
    let config = EngineConfig {
        prefix_cache_blocks: 8,
        ..Default::default()
    };
    let (engine, client) = start(config).await;
    let shared = "x".repeat(256);
    let mut prefills = Vec::new();
    let evicting = "y".repeat(64 * 8);
    let prompts = [
        &shared,
        &format!("{shared}{}", "z".repeat(256)),
        &evicting,
        &shared,
    ];
    for (attempt, prompt) in prompts.into_iter().enumerate() {
        let mut request = request(attempt as u64, TOKEN, "m1", 1);
        request.prompt = prompt.clone();
        collect(client.run(request).await.unwrap()).await;
        prefills.push(engine.ledger().runs[attempt].prefill_tokens);
    }
    assert_eq!(prefills, [64, 64, 128, 64]);
}
