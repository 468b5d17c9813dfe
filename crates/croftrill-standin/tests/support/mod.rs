//! What the tests of the stand-ins share.
#![allow(dead_code)]

use croftrill_platform::engine::{
    EngineClient, EngineError, EngineEvent, EngineRequest, EngineStream, LoadModel, LoadState, OrderOutcome,
};
use croftrill_platform::{HttpEngineClient, HttpEngineConfig};
use croftrill_standin::RunningEngine;
use croftrill_state::configuration::PriorityClass;
use croftrill_state::{AttemptId, FencingToken, ModelId};
use futures::StreamExt;
use std::net::SocketAddr;
use std::time::Duration;

/// Longest wait for a condition.
const PATIENCE: Duration = Duration::from_secs(20);
/// Time between looks at a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Waits until a condition holds.
pub async fn until(mut condition: impl FnMut() -> bool) {
    eventually(async || condition()).await;
}

/// Waits until a condition holds that takes a call.
pub async fn eventually(mut condition: impl AsyncFnMut() -> bool) {
    let waiting = async {
        while !condition().await {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    tokio::time::timeout(PATIENCE, waiting)
        .await
        .expect("the condition never held");
}

/// A client of a stand-in engine.
pub fn engine_client(engine: &RunningEngine) -> HttpEngineClient {
    HttpEngineClient::new(HttpEngineConfig::new(engine.server.address().to_string()))
}

/// An order for 1000 MiB on accelerator 0.
pub fn load_order(model: &str) -> LoadModel {
    LoadModel {
        model: ModelId::new(model),
        version: 1,
        accelerators: vec![0],
        memory_mib_per_accelerator: 1000,
        checkpoint_mib: 100,
    }
}

/// Loads a model and waits until it is ready.
pub async fn load(client: &HttpEngineClient, token: FencingToken, model: &str) {
    let outcome = client.load_model(token, load_order(model)).await.unwrap();
    assert_eq!(outcome, OrderOutcome::Accepted);
    until_loaded(client, model).await;
}

/// Waits until a model is ready.
pub async fn until_loaded(client: &HttpEngineClient, model: &str) {
    eventually(async || {
        let inventory = client.inventory().await.unwrap();
        let mut models = inventory.models.iter();
        models.any(|held| held.model.as_str() == model && held.state == LoadState::Loaded)
    })
    .await;
}

/// A request with a fixed prompt and seed.
pub fn request(attempt: u64, token: FencingToken, model: &str, max_tokens: u32) -> EngineRequest {
    EngineRequest {
        attempt: AttemptId(attempt),
        fencing_token: token,
        idempotency_key: None,
        model: ModelId::new(model),
        adapter: None,
        priority: PriorityClass::Standard,
        prompt: "a prompt".to_string(),
        max_tokens,
        temperature_thousandths: 0,
        seed: Some(7),
        stop: Vec::new(),
        resume_tokens: 0,
        resume_text: String::new(),
    }
}

/// What a stream gave.
#[derive(Debug, Default)]
pub struct Collected {
    pub text: String,
    pub tokens: u32,
    pub finished: Option<EngineEvent>,
    pub error: Option<EngineError>,
}

/// Reads a stream to its end.
pub async fn collect(mut stream: EngineStream) -> Collected {
    let mut collected = Collected::default();
    while let Some(event) = stream.next().await {
        match event {
            Ok(EngineEvent::Tokens { count, text, .. }) => {
                collected.tokens += count;
                collected.text.push_str(&text);
            }
            Ok(finished) => collected.finished = Some(finished),
            Err(error) => collected.error = Some(error),
        }
    }
    collected
}

/// An address where nothing listens.
pub fn refused_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}
