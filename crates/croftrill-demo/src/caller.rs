//! A caller of the completions API.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use croftrill_http::dialect::{ATTEMPT_HEADER, DEADLINE_HEADER, GROUP_HEADER};
use croftrill_node::connection::{ConnectionConfig, ConnectionPool, ExchangeError};
use http::{Method, Request, StatusCode};
use http_body_util::Full;

/// One call.
#[derive(Debug, Clone)]
pub struct Call {
    /// Id of the attempt.
    pub attempt: String,
    /// Model, with an adapter after a slash.
    pub model: String,
    /// The prompt.
    pub prompt: String,
    /// Events of the answer.
    pub events: u64,
    /// Time to wait.
    pub deadline: Duration,
    /// Group of the caller.
    pub group: Option<String>,
    /// Key that it shows.
    pub key: Option<String>,
}

/// How a call ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallEnd {
    /// The whole answer to this very call.
    Whole,
    /// Refused; it has not run. The time to come back, if told.
    Refused {
        /// Time to come back.
        retry_after: Option<Duration>,
    },
    /// Another failure.
    Failed(StatusCode),
    /// An answer that is not whole, or not this call's, passed off as a success.
    Wrong(String),
    /// No answer, or a broken one.
    Broken,
    /// Nothing was sent.
    NotSent,
}

/// Longest rest of a caller's connection: nodes close those that rest, callers do not.
const CALLER_REST: Duration = Duration::from_secs(3600);

/// The connections of a caller that keeps them for as long as the node does.
pub fn kept_connections() -> ConnectionPool {
    ConnectionPool::new(ConnectionConfig {
        silence_limit: None,
        max_idle_time: CALLER_REST,
        ..ConnectionConfig::default()
    })
}

/// Calls a node over a connection of its own, and checks that the answer is whole
/// and its own.
pub async fn call(node: SocketAddr, call: &Call) -> (CallEnd, Duration) {
    call_over(&kept_connections(), node, call).await
}

/// As [`call`], over a connection that rests in `pool`, if there is one.
pub async fn call_over(pool: &ConnectionPool, node: SocketAddr, call: &Call) -> (CallEnd, Duration) {
    let started = Instant::now();
    let Some(request) = request(node, call) else {
        return (CallEnd::NotSent, Duration::ZERO);
    };
    let end = match pool.exchange(node, request, call.deadline).await {
        Ok(answer) => judge(call, &answer),
        Err(ExchangeError::Connect(_) | ExchangeError::NotSent) => CallEnd::NotSent,
        Err(ExchangeError::Broken(_) | ExchangeError::TimedOut | ExchangeError::TooLong) => CallEnd::Broken,
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

fn judge(call: &Call, answer: &http::Response<Bytes>) -> CallEnd {
    let status = answer.status();
    if status == StatusCode::SERVICE_UNAVAILABLE || status == StatusCode::TOO_MANY_REQUESTS {
        let told = answer
            .headers()
            .get("retry-after")
            .and_then(|value| value.to_str().ok());
        let retry_after = told
            .and_then(|value| value.parse().ok())
            .map(Duration::from_secs_f64);
        return CallEnd::Refused { retry_after };
    }
    if !status.is_success() {
        return CallEnd::Failed(status);
    }
    let text = String::from_utf8_lossy(answer.body());
    let own = format!("\"attempt\":\"{}\"", call.attempt);
    let events = text.matches("id: ").count() as u64;
    let of_others = text.matches("\"attempt\":").count() != text.matches(&own).count();
    let in_order = (0..call.events).try_fold(0, |from, index| {
        let place = text[from..].find(&format!("\"index\":{index},"))?;
        Some(from + place)
    });
    if of_others || events != call.events || in_order.is_none() || !text.ends_with("data: [DONE]\n\n") {
        return CallEnd::Wrong(format!("{events} of {} events: {text}", call.events));
    }
    CallEnd::Whole
}
