//! However a stream is cut, the rest of the answer fits exactly.

mod support;

use croftrill_platform::engine::{EngineClient, EngineEvent, EngineRequest};
use croftrill_standin::{expected_answer, Engine, EngineConfig, RunningEngine};
use croftrill_state::{AttemptId, FencingToken, ModelId};
use futures::StreamExt;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::sync::atomic::{AtomicU64, Ordering};
use support::{collect, engine_client, load, request, Collected};

const TOKEN: FencingToken = FencingToken(5);
const CASES: u32 = 48;
static ATTEMPTS: AtomicU64 = AtomicU64::new(1);

/// One request; `cut` is the share of the answer that came before the break.
#[derive(Clone, Debug)]
struct Case {
    prompt: String,
    seed: Option<u64>,
    max_tokens: u32,
    cut: f64,
    stop_letters: String,
}

fn cases() -> impl Strategy<Value = Case> {
    let fields = (
        ".{0,80}",
        any::<Option<u64>>(),
        1..60u32,
        0.0..=1.0,
        "[0-9] [a-p]{0,2}",
    );
    fields.prop_map(|(prompt, seed, max_tokens, cut, stop_letters)| Case {
        prompt,
        seed,
        max_tokens,
        cut,
        stop_letters,
    })
}

fn request_of(case: &Case) -> EngineRequest {
    let attempt = ATTEMPTS.fetch_add(1, Ordering::Relaxed);
    let mut request = request(attempt, TOKEN, "m1", case.max_tokens);
    request.prompt = case.prompt.clone();
    request.seed = case.seed;
    request
}

/// Reads a stream up to some tokens, then drops it.
async fn read_part(engine: &RunningEngine, request: EngineRequest, tokens: u32) -> Collected {
    let mut stream = engine_client(engine).run(request).await.unwrap();
    let mut part = Collected::default();
    while part.tokens < tokens {
        let Some(Ok(EngineEvent::Tokens { count, text, .. })) = stream.next().await else {
            break;
        };
        part.tokens += count;
        part.text.push_str(&text);
    }
    part
}

async fn check(engine: &RunningEngine, case: Case) {
    let client = engine_client(engine);
    let plain = collect(client.run(request_of(&case)).await.unwrap()).await;
    let expected = expected_answer(
        &ModelId::new("m1"),
        None,
        &case.prompt,
        case.seed,
        case.max_tokens,
    );
    assert_eq!(plain.text, expected);

    let mut stopping = request_of(&case);
    stopping.stop = vec![case.stop_letters.clone()];
    let whole = collect(client.run(stopping.clone()).await.unwrap()).await;
    stopping.attempt = AttemptId(ATTEMPTS.fetch_add(1, Ordering::Relaxed));
    let cut = (f64::from(whole.tokens) * case.cut) as u32;
    let part = read_part(engine, stopping.clone(), cut).await;
    stopping.attempt = AttemptId(ATTEMPTS.fetch_add(1, Ordering::Relaxed));
    stopping.resume_tokens = part.tokens;
    stopping.resume_text = part.text.clone();
    let rest = collect(client.run(stopping).await.unwrap()).await;
    assert_eq!(part.text + &rest.text, whole.text);
    assert_eq!(rest.finished, whole.finished);
}

#[test]
fn a_cut_answer_and_its_rest_are_the_whole_answer() {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let engine = runtime.block_on(async {
        let config = EngineConfig {
            token_interval_micros: 0,
            ..Default::default()
        };
        let engine = Engine::start(config).await.unwrap();
        load(&engine_client(&engine), TOKEN, "m1").await;
        engine
    });
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    let mut runner = TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha));
    let result = runner.run(&cases(), |case| {
        runtime.block_on(check(&engine, case));
        Ok(())
    });
    result.unwrap();
    assert_eq!(engine.ledger().wrong_resumes, 0);
}
