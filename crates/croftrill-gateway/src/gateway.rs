//! The HTTP service of a gateway.

use crate::answers::{model_list, AnswerFormat, Interface};
use crate::caller_request::CallerRequest;
use crate::claims::ClaimAuthority;
use crate::class_deadlines::ClassDeadlines;
use crate::dispatch::Dispatcher;
use crate::errors::CallerError;
use crate::json_input::{parse_chat, parse_completion, GenerationInput};
use crate::metrics::{GatewayMetrics, RequestOutcome};
use crate::request_run::RequestRun;
use arc_swap::ArcSwap;
use croftrill_state::outcome::RefusalCause;
use croftrill_state::retry_budget::RetryBudgetConfig;
use croftrill_state::{ClusterState, GroupId, IdempotencyKey, Instant, RequestId, Revision};
use croftrill_transport::attempt_client::AttemptClients;
use croftrill_transport::http_server::{self, json_answer, read_body, BodyError, HttpBody, HttpServerConfig};
use http::header::HeaderValue;
use http::request::Parts;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::service::service_fn;
use log::info;
use prometheus_client::registry::Registry;
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

const REQUEST_ID_HEADER: &str = "x-request-id";
/// Parts of an answer that may wait for a caller that reads slowly.
const ANSWER_BUFFER: usize = 64;

/// Settings of a gateway.
#[derive(Clone, Debug)]
pub struct GatewayConfig {
    /// Largest request body, in bytes.
    pub max_body_bytes: usize,
    /// Longest wait for a request body, in milliseconds.
    pub body_timeout_millis: u64,
    /// Deadlines of the first token if the caller names none.
    pub default_first_token_deadlines: ClassDeadlines,
    /// Deadline of the whole answer if the caller names none, in milliseconds; at
    /// most the longest.
    pub default_total_deadline_millis: u64,
    /// Longest deadline of any request, in milliseconds. Must not be more than
    /// idempotency keys are remembered.
    pub longest_deadline_millis: u64,
    /// Most tokens that a caller may ask for.
    pub most_tokens: u32,
    /// The group of callers that name none; without one they are refused.
    pub default_group: Option<GroupId>,
    /// Most attempts for one request that may have cost an engine work.
    pub most_attempts: u32,
    /// Longest wait for a caller that does not read, to take the last event, in
    /// milliseconds. Text waits for it until the deadline of the whole answer.
    pub slow_caller_millis: u64,
    /// How many requests may be retried.
    pub retry_budget: RetryBudgetConfig,
}

impl Default for GatewayConfig {
    fn default() -> Self {
        Self {
            max_body_bytes: 4 * 1024 * 1024,
            body_timeout_millis: 10_000,
            default_first_token_deadlines: ClassDeadlines::default(),
            default_total_deadline_millis: 600_000,
            longest_deadline_millis: 3_600_000,
            most_tokens: 32_768,
            default_group: None,
            most_attempts: 8,
            slow_caller_millis: 10_000,
            retry_budget: RetryBudgetConfig::default(),
        }
    }
}

/// Serves callers.
pub struct Gateway {
    dispatcher: Arc<Dispatcher>,
    requests: TaskTracker,
}

impl Gateway {
    /// A gateway that routes by the published state. Its metrics are registered
    /// under `gateway_…`.
    pub fn new(
        config: GatewayConfig,
        state: Arc<ArcSwap<ClusterState>>,
        attempts: Arc<AttemptClients>,
        claims: Arc<dyn ClaimAuthority>,
        registry: &mut Registry,
    ) -> Arc<Self> {
        let metrics = GatewayMetrics::new(registry);
        Arc::new(Self {
            dispatcher: Arc::new(Dispatcher::new(config, state, attempts, claims, metrics)),
            requests: TaskTracker::new(),
        })
    }

    /// Serves until the token is cancelled; then all requests that run get
    /// their whole answers, and all claims are finished.
    pub async fn serve(self: Arc<Self>, listener: TcpListener, shutdown: CancellationToken) {
        let gateway = self.clone();
        let service = service_fn(move |request| {
            let gateway = gateway.clone();
            async move { Ok::<_, Infallible>(gateway.handle(request).await) }
        });
        http_server::serve(listener, service, HttpServerConfig::default(), shutdown).await;
        self.requests.close();
        self.requests.wait().await;
    }

    /// Answers one HTTP request.
    pub async fn handle(&self, request: Request<Incoming>) -> Response<HttpBody> {
        let id = RequestId(rand::random());
        let result = match (request.method(), request.uri().path()) {
            (&Method::POST, "/v1/completions") => self.generate(id, Interface::Completions, request).await,
            (&Method::POST, "/v1/chat/completions") => self.generate(id, Interface::Chat, request).await,
            (&Method::GET, "/v1/models") => self.models(),
            (_, "/v1/completions" | "/v1/chat/completions" | "/v1/models") => Err(not_here(
                StatusCode::METHOD_NOT_ALLOWED,
                "the path has no such method",
            )),
            _ => Err(not_here(StatusCode::NOT_FOUND, "there is no such path")),
        };
        let mut response = result.unwrap_or_else(|error| error.response());
        response
            .headers_mut()
            .insert(REQUEST_ID_HEADER, HeaderValue::from(id.0));
        response
    }

    fn models(&self) -> Result<Response<HttpBody>, CallerError> {
        let state = self.known_state()?;
        let list = model_list(&state);
        Ok(json_answer(StatusCode::OK, list.to_string()))
    }

    /// The present state. At revision 0 there is none: the node has just started.
    fn known_state(&self) -> Result<Arc<ClusterState>, CallerError> {
        let state = self.dispatcher.state.load_full();
        if state.revision == Revision(0) {
            return Err(CallerError::no_copy_yet());
        }
        Ok(state)
    }

    async fn generate(
        &self,
        id: RequestId,
        interface: Interface,
        request: Request<Incoming>,
    ) -> Result<Response<HttpBody>, CallerError> {
        let arrived_at = self.dispatcher.clock.now();
        let (parts, body) = request.into_parts();
        let input = self.read_input(interface, body).await;
        let input = input.inspect_err(|error| self.record_invalid(id, error))?;
        let stream = input.stream;
        let format = AnswerFormat::new(interface, id, input.model.clone());
        let caller_request = self.check(id, &parts, input, arrived_at);
        let caller_request = caller_request.inspect_err(|error| self.record_invalid(id, error))?;
        let (sender, events) = mpsc::channel(ANSWER_BUFFER);
        let run = RequestRun::new(self.dispatcher.clone(), caller_request, sender);
        self.requests.spawn(run.run());
        if stream {
            format.streamed(events).await
        } else {
            format.whole(events).await
        }
    }

    async fn read_input(&self, interface: Interface, body: Incoming) -> Result<GenerationInput, CallerError> {
        let config = &self.dispatcher.config;
        let time = Duration::from_millis(config.body_timeout_millis);
        let body = read_body(body, config.max_body_bytes, time)
            .await
            .map_err(body_error)?;
        match interface {
            Interface::Completions => parse_completion(&body, config.most_tokens),
            Interface::Chat => parse_chat(&body, config.most_tokens),
        }
    }

    fn check(
        &self,
        id: RequestId,
        parts: &Parts,
        input: GenerationInput,
        arrived_at: Instant,
    ) -> Result<CallerRequest, CallerError> {
        let state = self.known_state()?;
        CallerRequest::new(
            id,
            &parts.headers,
            input,
            &state,
            &self.dispatcher.config,
            arrived_at,
            made_key,
        )
    }

    fn record_invalid(&self, id: RequestId, error: &CallerError) {
        let outcome = RequestOutcome::Invalid(&error.refusal);
        self.dispatcher.metrics.record_request(outcome);
        info!(
            "gateway: request invalid request={id} status={} reason={:?}",
            error.status.as_u16(),
            error.message
        );
    }
}

/// A key that no caller and no other gateway uses.
fn made_key() -> IdempotencyKey {
    IdempotencyKey::new(format!("gateway-{:032x}", rand::random::<u128>()))
}

fn not_here(status: StatusCode, message: &str) -> CallerError {
    CallerError::invalid(status, RefusalCause::Invalid, message)
}

fn body_error(error: BodyError) -> CallerError {
    let status = match error {
        BodyError::TooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
        BodyError::TimedOut => StatusCode::REQUEST_TIMEOUT,
        BodyError::Broken(_) => StatusCode::BAD_REQUEST,
    };
    CallerError::invalid(status, RefusalCause::Invalid, error.to_string())
}
