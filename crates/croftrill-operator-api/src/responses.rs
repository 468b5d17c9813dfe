//! HTTP answers of the API.

use bytes::Bytes;
use croftrill_protocol::operator::{ApiError, ConfirmOutcome};
use croftrill_state::planner::{PlanError, PlanFinding};
use http::{header, HeaderValue, Response, StatusCode};
use http_body_util::Full;
use serde::Serialize;

/// An answer of the API.
pub(crate) type ApiResponse = Response<Full<Bytes>>;

/// Milliseconds to come back after a confirmation whose outcome is unknown.
const RETRY_UNKNOWN_MILLIS: u64 = 1000;

/// A JSON answer.
pub(crate) fn json<T: Serialize>(status: StatusCode, value: &T) -> ApiResponse {
    match serde_json::to_vec(value) {
        Ok(body) => with_body(status, body),
        Err(error) => with_body(
            StatusCode::INTERNAL_SERVER_ERROR,
            format!("{{\"error\":\"the answer cannot be written: {error}\"}}").into_bytes(),
        ),
    }
}

fn with_body(status: StatusCode, body: Vec<u8>) -> ApiResponse {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, content_type);
    response
}

/// An error answer.
pub(crate) fn error(status: StatusCode, text: impl Into<String>) -> ApiResponse {
    let body = ApiError {
        error: text.into(),
        findings: Vec::new(),
    };
    json(status, &body)
}

/// A 405 that names the right method.
pub(crate) fn method_not_allowed(allowed: &'static str) -> ApiResponse {
    let mut response = error(
        StatusCode::METHOD_NOT_ALLOWED,
        format!("the method here is {allowed}"),
    );
    let allow = HeaderValue::from_static(allowed);
    response.headers_mut().insert(header::ALLOW, allow);
    response
}

/// Intents that cannot be planned, with every finding.
pub(crate) fn plan_refused(refused: &PlanError) -> ApiResponse {
    let body = ApiError {
        error: "the intents cannot be planned".to_string(),
        findings: refused.findings.iter().map(PlanFinding::to_string).collect(),
    };
    json(StatusCode::UNPROCESSABLE_ENTITY, &body)
}

/// The answer to a confirmation.
pub(crate) fn confirmation(outcome: &ConfirmOutcome) -> ApiResponse {
    let (status, retry_after_millis) = match outcome {
        ConfirmOutcome::Confirmed { .. } => (StatusCode::OK, None),
        ConfirmOutcome::Stale { .. } => (StatusCode::CONFLICT, None),
        ConfirmOutcome::Unknown => (StatusCode::NOT_FOUND, None),
        ConfirmOutcome::Unavailable {
            retry_after_millis, ..
        } => (StatusCode::SERVICE_UNAVAILABLE, Some(*retry_after_millis)),
        ConfirmOutcome::OutcomeUnknown => (StatusCode::GATEWAY_TIMEOUT, Some(RETRY_UNKNOWN_MILLIS)),
    };
    let mut response = json(status, outcome);
    if let Some(millis) = retry_after_millis {
        let seconds = HeaderValue::from(millis.div_ceil(1000).max(1));
        response.headers_mut().insert(header::RETRY_AFTER, seconds);
    }
    response
}
