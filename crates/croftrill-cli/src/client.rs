//! Calls to the intent API of a node.

use crate::exit::CliError;
use bytes::Bytes;
use croftrill_protocol::operator::{ApiError, ConfirmOutcome, IntentRequest, ModelListing, Plan, Status};
use croftrill_state::configuration::{Adapter, Group};
use croftrill_state::PlanId;
use http::{header, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::{Client as HttpClient, Error as HttpError};
use hyper_util::rt::TokioExecutor;
use percent_encoding::{utf8_percent_encode, NON_ALPHANUMERIC};
use serde::de::DeserializeOwned;
use std::time::Duration;

/// Longest wait for a whole answer.
const TIMEOUT: Duration = Duration::from_secs(30);
/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// A client of one node.
pub(crate) struct Client {
    node: String,
    http: HttpClient<HttpConnector, Full<Bytes>>,
}

struct Answer {
    status: StatusCode,
    body: Bytes,
}

/// Why there is no answer.
enum CallError {
    /// The request did not reach the node.
    NotSent(String),
    /// The request may have reached the node.
    Lost(String),
}

impl Client {
    /// A client of the node at `ip:port`.
    pub fn new(node: &str) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let authority = node.strip_prefix("http://").unwrap_or(node);
        Self {
            node: authority.trim_end_matches('/').to_string(),
            http: HttpClient::builder(TokioExecutor::new()).build(connector),
        }
    }

    /// What the node knows of the system.
    pub async fn status(&self) -> Result<Status, CliError> {
        self.read("/v1/status").await
    }

    /// Every group.
    pub async fn groups(&self) -> Result<Vec<Group>, CliError> {
        self.read("/v1/groups").await
    }

    /// Every model.
    pub async fn models(&self) -> Result<Vec<ModelListing>, CliError> {
        self.read("/v1/models/configured").await
    }

    /// Every adapter.
    pub async fn adapters(&self) -> Result<Vec<Adapter>, CliError> {
        self.read("/v1/adapters").await
    }

    /// Asks for a plan.
    pub async fn make_plan(&self, request: &IntentRequest) -> Result<Plan, CliError> {
        let body = serde_json::to_vec(request)
            .map_err(|error| CliError::Failure(format!("the intents cannot be written: {error}")))?;
        let answer = self.call(Method::POST, "/v1/plans", body).await;
        parse(answer.map_err(|error| self.unavailable(error))?)
    }

    /// Reads a plan.
    pub async fn plan(&self, id: &PlanId) -> Result<Plan, CliError> {
        self.read(&format!("/v1/plans/{}", encoded(id))).await
    }

    /// Confirms a plan.
    pub async fn confirm(&self, id: &PlanId) -> Result<ConfirmOutcome, CliError> {
        let path = format!("/v1/plans/{}/confirm", encoded(id));
        let answer = match self.call(Method::POST, &path, Vec::new()).await {
            Ok(answer) => answer,
            Err(CallError::Lost(_)) => return Ok(ConfirmOutcome::OutcomeUnknown),
            Err(error) => return Err(self.unavailable(error)),
        };
        match serde_json::from_slice(&answer.body) {
            Ok(outcome) => Ok(outcome),
            Err(_) => Err(refused(&answer)),
        }
    }

    async fn read<T: DeserializeOwned>(&self, path: &str) -> Result<T, CliError> {
        let answer = self.call(Method::GET, path, Vec::new()).await;
        parse(answer.map_err(|error| self.unavailable(error))?)
    }

    fn unavailable(&self, error: CallError) -> CliError {
        let (CallError::NotSent(cause) | CallError::Lost(cause)) = error;
        CliError::Unavailable(format!("node {} does not answer: {cause}", self.node))
    }

    async fn call(&self, method: Method, path: &str, body: Vec<u8>) -> Result<Answer, CallError> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.node))
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(|error| CallError::NotSent(error.to_string()))?;
        let exchange = async {
            let response = self.http.request(request).await.map_err(call_error)?;
            let status = response.status();
            let collected = response.into_body().collect().await;
            let body = collected.map_err(|error| CallError::Lost(error.to_string()))?;
            Ok(Answer {
                status,
                body: body.to_bytes(),
            })
        };
        let late = || CallError::Lost(format!("no answer within {} s", TIMEOUT.as_secs()));
        tokio::time::timeout(TIMEOUT, exchange)
            .await
            .unwrap_or_else(|_| Err(late()))
    }
}

fn call_error(error: HttpError) -> CallError {
    let mut text = error.to_string();
    let mut source = std::error::Error::source(&error);
    while let Some(cause) = source {
        text = format!("{text}: {cause}");
        source = cause.source();
    }
    if error.is_connect() {
        return CallError::NotSent(text);
    }
    CallError::Lost(text)
}

fn encoded(id: &PlanId) -> String {
    utf8_percent_encode(id.as_str(), NON_ALPHANUMERIC).to_string()
}

fn parse<T: DeserializeOwned>(answer: Answer) -> Result<T, CliError> {
    if !answer.status.is_success() {
        return Err(refused(&answer));
    }
    serde_json::from_slice(&answer.body)
        .map_err(|error| CliError::Failure(format!("the answer makes no sense: {error}")))
}

fn refused(answer: &Answer) -> CliError {
    let text = match serde_json::from_slice::<ApiError>(&answer.body) {
        Ok(error) if error.findings.is_empty() => error.error,
        Ok(error) => format!("{}:\n  {}", error.error, error.findings.join("\n  ")),
        Err(_) => format!("the node answered {}", answer.status),
    };
    if answer.status == StatusCode::SERVICE_UNAVAILABLE {
        return CliError::Unavailable(text);
    }
    CliError::Failure(text)
}
