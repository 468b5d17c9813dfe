//! The engine's adapter against the stand-in engine.

mod support;

use croftrill_platform::engine::{EngineClient, EngineEvent};
use croftrill_standin::engine::RunEnd;
use croftrill_standin::{expected_answer, Engine, EngineConfig};
use croftrill_state::{FencingToken, IdempotencyKey, ModelId};
use support::{collect, engine_client, load, request, until};

const TOKEN: FencingToken = FencingToken(5);

#[tokio::test]
async fn loads_a_model_and_streams_the_whole_answer() {
    let engine = Engine::start(EngineConfig::default()).await.unwrap();
    let client = engine_client(&engine);
    load(&client, TOKEN, "m1").await;
    let mut request = request(1, TOKEN, "m1", 40);
    request.idempotency_key = Some(IdempotencyKey::new("once"));
    let answer = collect(client.run(request).await.unwrap()).await;

    assert_eq!(
        answer.text,
        expected_answer(&ModelId::new("m1"), None, "a prompt", Some(7), 40)
    );
    assert_eq!(answer.error, None);
    let finished = EngineEvent::Finished {
        tokens: 40,
        prompt_tokens: 2,
        reached_length: true,
    };
    assert_eq!(answer.finished, Some(finished));
    until(|| engine.ledger().runs[0].end.is_some()).await;
    let ledger = engine.ledger();
    assert_eq!(ledger.runs[0].end, Some(RunEnd::Finished));
    assert_eq!(ledger.runs[0].tokens, 40);
    assert_eq!(ledger.runs_of_key(&IdempotencyKey::new("once")).len(), 1);
    assert_eq!(ledger.accelerators[0].peak_mib, 1000);
}
