//! Errors as callers see them: standard status codes, and a JSON body that says
//! whether the request may have run and when to come back.

use croftrill_state::outcome::{Execution, Refusal, RefusalCause};
use croftrill_transport::http_server::{json_answer, HttpBody};
use http::header::{HeaderValue, RETRY_AFTER};
use http::{Response, StatusCode};
use serde::Serialize;

const MILLIS_PER_SECOND: u64 = 1000;
/// When to come back to a node that has no copy of the log yet, in milliseconds.
const NO_COPY_RETRY_MILLIS: u64 = 1_000;

/// A final answer that is not the model's.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct CallerError {
    pub status: StatusCode,
    pub message: String,
    pub refusal: Refusal,
}

#[derive(Serialize)]
struct ErrorDocument<'a> {
    error: ErrorFields<'a>,
}

#[derive(Serialize)]
struct ErrorFields<'a> {
    message: &'a str,
    #[serde(rename = "type")]
    kind: &'static str,
    cause: RefusalCause,
    execution: Execution,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

impl CallerError {
    /// The request itself is at fault; sending it again does not help.
    pub fn invalid(status: StatusCode, cause: RefusalCause, message: impl Into<String>) -> Self {
        Self {
            status,
            message: message.into(),
            refusal: Refusal::not_run(cause, 0),
        }
    }

    /// A malformed request.
    pub fn malformed(message: impl Into<String>) -> Self {
        Self::invalid(StatusCode::BAD_REQUEST, RefusalCause::Invalid, message)
    }

    /// The node has just started and knows nothing of the configuration yet, so
    /// it cannot say whether the request is right.
    pub fn no_copy_yet() -> Self {
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            message: "this node has no copy of the configuration yet; the request did not run".to_string(),
            refusal: Refusal::not_run(RefusalCause::NoReplica, NO_COPY_RETRY_MILLIS),
        }
    }

    /// A refusal that was decided behind the API.
    pub fn refused(refusal: Refusal) -> Self {
        Self {
            status: status_of(&refusal),
            message: message_of(&refusal),
            refusal,
        }
    }

    /// The JSON document of the error.
    pub fn json(&self) -> String {
        let document = ErrorDocument {
            error: ErrorFields {
                message: &self.message,
                kind: self.kind(),
                cause: self.refusal.cause,
                execution: self.refusal.execution,
                retry_after_ms: self.can_come_back().then_some(self.refusal.retry_after_millis),
            },
        };
        serde_json::to_string(&document).expect("an error document is always valid JSON")
    }

    /// The whole HTTP answer.
    pub fn response(&self) -> Response<HttpBody> {
        let mut response = json_answer(self.status, self.json());
        if self.can_come_back() {
            let seconds = self.refusal.retry_after_millis.div_ceil(MILLIS_PER_SECOND).max(1);
            response
                .headers_mut()
                .insert(RETRY_AFTER, HeaderValue::from(seconds));
        }
        response
    }

    /// Whether the same request may be served at another time.
    fn can_come_back(&self) -> bool {
        self.status.is_server_error() || self.status == StatusCode::TOO_MANY_REQUESTS
    }

    fn kind(&self) -> &'static str {
        match self.status {
            StatusCode::TOO_MANY_REQUESTS => "rate_limit_error",
            StatusCode::CONFLICT => "conflict_error",
            StatusCode::GATEWAY_TIMEOUT => "timeout_error",
            status if status.is_client_error() => "invalid_request_error",
            _ => "server_error",
        }
    }
}

fn status_of(refusal: &Refusal) -> StatusCode {
    match refusal.cause {
        RefusalCause::UnknownModel => StatusCode::NOT_FOUND,
        RefusalCause::UnknownGroup => StatusCode::FORBIDDEN,
        RefusalCause::Invalid => StatusCode::BAD_REQUEST,
        RefusalCause::QueueFull => StatusCode::TOO_MANY_REQUESTS,
        RefusalCause::DuplicateKey => StatusCode::CONFLICT,
        RefusalCause::DeadlineExpired => StatusCode::GATEWAY_TIMEOUT,
        RefusalCause::DeadlineTooShort
        | RefusalCause::NoReplica
        | RefusalCause::LoadTooSlow
        | RefusalCause::NotOwner
        | RefusalCause::Leaving
        | RefusalCause::EngineFailed
        | RefusalCause::OwnerUnreachable
        | RefusalCause::KeyHistoryUnknown
        | RefusalCause::RetryBudgetExhausted => StatusCode::SERVICE_UNAVAILABLE,
    }
}

fn message_of(refusal: &Refusal) -> String {
    let cause = match refusal.cause {
        RefusalCause::UnknownModel => "there is no such model",
        RefusalCause::UnknownGroup => "there is no such group",
        RefusalCause::Invalid => "the request is malformed",
        RefusalCause::QueueFull => "the queue is full",
        RefusalCause::DeadlineTooShort => "the answer would come after the deadline",
        RefusalCause::DeadlineExpired => "the deadline passed",
        RefusalCause::NoReplica => "no engine may hold the model now",
        RefusalCause::LoadTooSlow => "the model cannot be loaded in time",
        RefusalCause::NotOwner => "the owner of the engine is changing",
        RefusalCause::Leaving => "the engine is leaving",
        RefusalCause::EngineFailed => "the engine failed",
        RefusalCause::OwnerUnreachable => "the owner of the engine cannot be reached",
        RefusalCause::DuplicateKey => "the idempotency key was used before",
        RefusalCause::KeyHistoryUnknown => "whether the idempotency key was used before cannot be told now",
        RefusalCause::RetryBudgetExhausted => "too many requests are being retried",
    };
    let execution = match refusal.execution {
        Execution::NotRun => "the request did not run",
        Execution::MayHaveRun => "the request may have run",
    };
    format!("{cause}; {execution}")
}
