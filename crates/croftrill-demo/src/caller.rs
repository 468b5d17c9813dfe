//! Test client of the completions API.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use croftrill_http::dialect::{ATTEMPT_HEADER, DEADLINE_HEADER, GROUP_HEADER};
use croftrill_node::connection::{ConnectionConfig, ConnectionPool, ExchangeError};
use http::{Method, Request, StatusCode};
use http_body_util::Full;

/// Parameters of one call.
#[derive(Debug, Clone)]
pub struct Call {
    /// Attempt id.
    pub attempt: String,
    /// Name of the model; an adapter is written as `model/adapter`.
    pub model: String,
    /// Prompt text.
    pub prompt: String,
    /// Number of events in the answer.
    pub events: u64,
    /// Maximum time to wait for the complete answer.
    pub deadline: Duration,
    /// Group of the caller.
    pub group: Option<String>,
    /// API key of the caller.
    pub key: Option<String>,
}

/// Outcome of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallOutcome {
    /// The complete answer to this call.
    Complete,
    /// The call was refused and has not run.
    Refused {
        /// Delay before a retry, if the node sent one.
        retry_after: Option<Duration>,
    },
    /// Any other error status.
    Failed(StatusCode),
    /// A success status with an incomplete answer or the answer to another call.
    Wrong(String),
    /// No answer in time, or the connection broke.
    Broken,
    /// The request was not sent.
    NotSent,
}

/// Maximum idle time of a caller's connection. Nodes close idle connections; callers do not.
const CALLER_IDLE_TIMEOUT: Duration = Duration::from_secs(3600);

/// Creates the connection pool of a caller that leaves it to the node to close idle connections.
pub fn persistent_connections() -> ConnectionPool {
    ConnectionPool::new(ConnectionConfig {
        silence_limit: None,
        max_idle_time: CALLER_IDLE_TIMEOUT,
        ..ConnectionConfig::default()
    })
}

/// Calls a node over a new connection and checks that the answer is complete and belongs to the
/// call.
pub async fn call(node: SocketAddr, call: &Call) -> (CallOutcome, Duration) {
    call_over(&persistent_connections(), node, call).await
}

/// Calls a node like [`call`], but over an idle connection of `pool` if there is one.
pub async fn call_over(pool: &ConnectionPool, node: SocketAddr, call: &Call) -> (CallOutcome, Duration) {
    let started = Instant::now();
    let Some(request) = request(node, call) else {
        return (CallOutcome::NotSent, Duration::ZERO);
    };
    let end = match pool.exchange(node, request, call.deadline).await {
        Ok(answer) => check_answer(call, &answer),
        Err(ExchangeError::Connect(_) | ExchangeError::NotSent) => CallOutcome::NotSent,
        Err(
            ExchangeError::Broken(_)
            | ExchangeError::CutOff { .. }
            | ExchangeError::TimedOut
            | ExchangeError::TooManyHeads
            | ExchangeError::TooLong,
        ) => CallOutcome::Broken,
    };
    (end, started.elapsed())
}

fn request(node: SocketAddr, call: &Call) -> Option<Request<Full<Bytes>>> {
    let body = format!(
        "{{\"model\":\"{}\",\"prompt\":\"{}\",\"max_tokens\":{},\"stream\":true}}",
        call.model, call.prompt, call.events
    );
    let mut request = Request::builder()
        .method(Method::POST)
        .uri("/v1/completions")
        .header("host", node.to_string())
        .header(ATTEMPT_HEADER, &call.attempt)
        .header(DEADLINE_HEADER, call.deadline.as_millis().to_string());
    if let Some(group) = &call.group {
        request = request.header(GROUP_HEADER, group);
    }
    if let Some(key) = &call.key {
        request = request.header(http::header::AUTHORIZATION, format!("Bearer {key}"));
    }
    request.body(Full::new(Bytes::from(body))).ok()
}

fn check_answer(call: &Call, answer: &http::Response<Bytes>) -> CallOutcome {
    let status = answer.status();
    if status == StatusCode::SERVICE_UNAVAILABLE || status == StatusCode::TOO_MANY_REQUESTS {
        let header = answer
            .headers()
            .get("retry-after")
            .and_then(|value| value.to_str().ok());
        let retry_after = header
            .and_then(|value| value.parse().ok())
            .map(Duration::from_secs_f64);
        return CallOutcome::Refused { retry_after };
    }
    if !status.is_success() {
        return CallOutcome::Failed(status);
    }
    let text = String::from_utf8_lossy(answer.body());
    let own_marker = format!("\"attempt\":\"{}\"", call.attempt);
    let events = text.matches("id: ").count() as u64;
    let has_foreign_events = text.matches("\"attempt\":").count() != text.matches(&own_marker).count();
    let in_order = (0..call.events).try_fold(0, |from, index| {
        let offset = text[from..].find(&format!("\"index\":{index},"))?;
        Some(from + offset)
    });
    if has_foreign_events
        || events != call.events
        || in_order.is_none()
        || !text.ends_with("data: [DONE]\n\n")
    {
        return CallOutcome::Wrong(format!("{events} of {} events: {text}", call.events));
    }
    CallOutcome::Complete
}
