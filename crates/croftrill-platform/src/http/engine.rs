//! A model engine over HTTP.

use super::caller::{read_answer, Answer, CallError, HttpCaller, HttpEndpoint};
use super::event_stream::engine_events;
use crate::engine::{
    EngineClient, EngineError, EngineRequest, EngineStream, Inventory, LoadAdapter, LoadModel, OrderOutcome,
};
use crate::wire::engine as wire;
use crate::wire::RefusalBody;
use async_trait::async_trait;
use croftrill_state::{AdapterId, AttemptId, FencingToken, ModelId};
use http::StatusCode;
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::time::Duration;

/// Longest silence of a stream, unless configured.
const DEFAULT_STREAM_IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Settings of [`HttpEngineClient`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpEngineConfig {
    /// Where the engine listens. Its call timeout covers a run only up to the
    /// head of the answer.
    pub endpoint: HttpEndpoint,
    /// A stream that is silent for so long is broken. Engines send a comment
    /// each second while a request waits.
    pub stream_idle_timeout: Duration,
}

impl HttpEngineConfig {
    /// Settings with the default times; the address is `ip:port`.
    pub fn new(address: impl Into<String>) -> Self {
        Self {
            endpoint: HttpEndpoint::new(address),
            stream_idle_timeout: DEFAULT_STREAM_IDLE_TIMEOUT,
        }
    }
}

/// Adapter of [`EngineClient`].
pub struct HttpEngineClient {
    caller: HttpCaller,
    stream_idle_timeout: Duration,
}

impl HttpEngineClient {
    /// Makes the adapter; connects only with the first call.
    pub fn new(config: HttpEngineConfig) -> Self {
        Self {
            caller: HttpCaller::new(config.endpoint),
            stream_idle_timeout: config.stream_idle_timeout,
        }
    }

    /// How busy the engine was a while ago.
    pub async fn load_report(&self) -> Result<wire::LoadReport, EngineError> {
        decode(self.caller.get(wire::LOAD_PATH).await.map_err(no_answer)?)
    }

    async fn post<Q: Serialize, A: DeserializeOwned>(&self, path: &str, body: &Q) -> Result<A, EngineError> {
        decode(self.caller.post(path, body).await.map_err(no_answer)?)
    }

    async fn order<T: Serialize>(
        &self,
        path: &str,
        fencing_token: FencingToken,
        order: T,
    ) -> Result<OrderOutcome, EngineError> {
        self.post(path, &wire::FencedOrder { fencing_token, order }).await
    }
}

fn no_answer(error: CallError) -> EngineError {
    match error {
        CallError::NotSent(message) => EngineError::Unreachable(message),
        CallError::Unanswered(message) => EngineError::Broken(message),
    }
}

fn decode<A: DeserializeOwned>(answer: Answer) -> Result<A, EngineError> {
    if answer.status != StatusCode::OK {
        return Err(refusal(answer));
    }
    answer.decode().map_err(EngineError::Broken)
}

/// Only an answer in the engine's own form proves that nothing ran.
fn refusal(answer: Answer) -> EngineError {
    let by_engine = matches!(
        answer.status,
        StatusCode::BAD_REQUEST | StatusCode::CONFLICT | StatusCode::TOO_MANY_REQUESTS
    );
    match answer.decode::<RefusalBody>() {
        Ok(RefusalBody {
            highest_fencing_token: Some(highest),
            ..
        }) if by_engine => EngineError::Fenced { highest },
        Ok(body) if by_engine => EngineError::Refused {
            reason: body.reason,
            retry_after_millis: body.retry_after_millis,
        },
        _ => EngineError::Broken(answer.describe()),
    }
}

#[async_trait]
impl EngineClient for HttpEngineClient {
    async fn fence(&self, token: FencingToken) -> Result<Inventory, EngineError> {
        self.post(wire::FENCE_PATH, &wire::FenceRequest { fencing_token: token })
            .await
    }

    async fn inventory(&self) -> Result<Inventory, EngineError> {
        decode(self.caller.get(wire::INVENTORY_PATH).await.map_err(no_answer)?)
    }

    async fn load_model(&self, token: FencingToken, order: LoadModel) -> Result<OrderOutcome, EngineError> {
        self.order(wire::LOAD_MODEL_PATH, token, order).await
    }

    async fn unload_model(&self, token: FencingToken, model: &ModelId) -> Result<OrderOutcome, EngineError> {
        let order = wire::UnloadModel { model: model.clone() };
        self.order(wire::UNLOAD_MODEL_PATH, token, order).await
    }

    async fn load_adapter(
        &self,
        token: FencingToken,
        order: LoadAdapter,
    ) -> Result<OrderOutcome, EngineError> {
        self.order(wire::LOAD_ADAPTER_PATH, token, order).await
    }

    async fn unload_adapter(
        &self,
        token: FencingToken,
        adapter: &AdapterId,
    ) -> Result<OrderOutcome, EngineError> {
        let order = wire::UnloadAdapter {
            adapter: adapter.clone(),
        };
        self.order(wire::UNLOAD_ADAPTER_PATH, token, order).await
    }

    async fn run(&self, request: EngineRequest) -> Result<EngineStream, EngineError> {
        let response = self
            .caller
            .post_streaming(wire::RUN_PATH, &request)
            .await
            .map_err(no_answer)?;
        if response.status() == StatusCode::OK {
            return Ok(engine_events(response.into_body(), self.stream_idle_timeout));
        }
        let answer = read_answer(response).await.map_err(no_answer)?;
        Err(refusal(answer))
    }

    async fn cancel(&self, attempt: AttemptId) -> Result<(), EngineError> {
        let _: serde_json::Value = self
            .post(wire::CANCEL_PATH, &wire::CancelRequest { attempt })
            .await?;
        Ok(())
    }
}
