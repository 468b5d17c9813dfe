//! Final answers, and the log line of each request.

use std::time::Duration;

use bytes::Bytes;
use croftrill_scheduler::catalog::{RouteKind, ServiceName};
use croftrill_scheduler::crash_ledger::{SuspectId, Verdict};
use croftrill_scheduler::replica::ReplicaId;
use http::header::{self, HeaderValue};
use http::{response, Method, Response, StatusCode};

use super::crashing::Judgment;
use super::forwarding::end_to_end_headers;
use super::{Answer, RequestRun, DEFAULT_RETRY_AFTER};
use crate::answer_reader::{AnswerReader, BodyEnd, Framing};
use crate::body_reader::BodyError;
use crate::crash_reports::kind_name as kind_name_of;
use crate::memory::HeldMemory;
use crate::metrics::Metrics;
use crate::node::Node;
use crate::ports::Platform;
use crate::stream::AnswerBody;

/// How the body of a replica's answer ended, for the log.
#[derive(Debug, Clone, Copy)]
pub(super) struct AnswerEnd {
    framing: Framing,
    name: &'static str,
    /// Bytes after the last complete event.
    partial_bytes: u64,
}

impl<P: Platform> RequestRun<P> {
    /// Forwards a complete answer.
    pub(super) fn answer_complete(
        self,
        replica: &ReplicaId,
        mut head: response::Parts,
        body: Bytes,
        held: Option<HeldMemory>,
    ) -> Answer {
        head.headers = end_to_end_headers(&head.headers);
        if self.head.method != Method::HEAD {
            head.headers.remove(header::CONTENT_LENGTH);
        }
        self.log_end(
            replica,
            if head.status.is_success() {
                "served"
            } else {
                "failed at the replica"
            },
        );
        let mut answer = Response::new(AnswerBody::held(body, held));
        *answer.status_mut() = head.status;
        *answer.headers_mut() = head.headers;
        answer
    }

    /// Returns the final answer to a request that is given up.
    pub(super) fn give_up(&self, cause: &'static str, retry_after: Option<Duration>) -> Answer {
        let status = match (self.may_have_run, self.now() >= self.deadline) {
            (false, _) => StatusCode::SERVICE_UNAVAILABLE,
            (true, true) => StatusCode::GATEWAY_TIMEOUT,
            (true, false) => StatusCode::BAD_GATEWAY,
        };
        let retry_after = if self.may_have_run {
            None
        } else {
            Some(retry_after.unwrap_or(DEFAULT_RETRY_AFTER))
        };
        self.refuse_request(status, cause, retry_after)
    }

    fn refuse_request(
        &self,
        status: StatusCode,
        cause: &'static str,
        retry_after: Option<Duration>,
    ) -> Answer {
        Metrics::count(&self.node.metrics.requests, kind_name(self.route.kind), "refused");
        tracing::info!(target: "request", id = self.facts.id, route = &*self.route.name, outcome = "given up",
            cause, status = status.as_u16(), tenant = self.tenant.as_deref(), sends = self.sends, model = self.facts.model.as_deref(),
            adapter = self.facts.adapter.as_deref(), quota_cost = self.quota_cost(), paid_ms = millis(self.quota_granted_after),
            sent_ms = millis(self.sent_after), waited_ms = self.waited().as_millis() as u64,
            retry_after_ms = retry_after.map(|time| time.as_millis() as u64), version = self.configuration.version);
        refuse(status, cause, retry_after)
    }

    /// Returns the final answer to a request under which, or under a part of which, replicas ended. It
    /// names a retry delay only if another copy of the request runs and may clear it; otherwise the
    /// request may never be served.
    pub(super) fn refuse_suspect(&self, judgment: Judgment) -> Answer {
        let Judgment { suspect, verdict } = judgment;
        let outcome = match verdict {
            Verdict::Held(_) => "held back",
            Verdict::OneAtATime | Verdict::Retrial => "another copy runs",
            Verdict::Refused | Verdict::Free => "refused",
        };
        Metrics::count(&self.node.metrics.crashes, kind_name_of(suspect), outcome);
        let mut state = self.node.state.borrow_mut();
        let evidence = state.crash_ledger.suspect(suspect);
        let ends = evidence.map(|evidence| (evidence.ends.len(), evidence.blamed));
        drop(state);
        tracing::info!(target: "crash", event = "a request that ended replicas came", id = self.facts.id,
            fingerprint = %self.fingerprint(), %suspect, outcome, ends = ends.map(|(ends, _)| ends),
            blamed = ends.map(|(_, blamed)| blamed), sends = self.sends,
            caller = self.caller().map(|caller| tracing::field::display(caller.0)));
        let cause = match suspect {
            SuspectId::Request(_) => "replicas ended under this request",
            SuspectId::Part(_) => "replicas ended under a part of this request",
        };
        if self.may_have_run {
            return self.give_up(cause, None);
        }
        let retry_after = (verdict == Verdict::OneAtATime).then_some(DEFAULT_RETRY_AFTER);
        self.refuse_request(StatusCode::SERVICE_UNAVAILABLE, cause, retry_after)
    }

    /// Records how the body of a replica's answer ended.
    pub(super) fn record_answer_end(&self, body: &AnswerReader, end: &BodyEnd) {
        let (framing, name) = (body.framing(), end.name());
        Metrics::count(&self.node.metrics.answer_ends, framing.name(), name);
        self.answer_end.set(Some(AnswerEnd {
            framing,
            name,
            partial_bytes: body.partial_bytes(),
        }));
    }

    pub(super) fn log_end(&self, replica: &ReplicaId, outcome: &'static str) {
        let metric = if outcome == "served" { "served" } else { "failed" };
        Metrics::count(&self.node.metrics.requests, kind_name(self.route.kind), metric);
        let end = self.answer_end.get();
        tracing::info!(target: "request", id = self.facts.id, route = &*self.route.name, outcome,
            replica = &**replica, tenant = self.tenant.as_deref(), sends = self.sends, model = self.facts.model.as_deref(),
            adapter = self.facts.adapter.as_deref(), quota_cost = self.quota_cost(), paid_ms = millis(self.quota_granted_after),
            sent_ms = millis(self.sent_after),
            answered_ms = millis(self.answered_after), prompt_tokens = self.facts.prompt_tokens,
            longest_pause_ms = self.longest_pause.get().as_millis() as u64, late = self.counted_late.get(),
            framing = end.map(|end| end.framing.name()), ended = end.map(|end| end.name),
            partial_bytes = end.map(|end| end.partial_bytes), caller_framing = self.caller_framing.map(Framing::name),
            elapsed_ms = self.waited().as_millis() as u64, version = self.configuration.version);
    }
}

pub(super) fn millis(time: Option<Duration>) -> Option<u64> {
    time.map(|time| time.as_millis() as u64)
}

pub(super) fn kind_name(kind: RouteKind) -> &'static str {
    match kind {
        RouteKind::Safe => "safe",
        RouteKind::Unsafe => "unsafe",
        RouteKind::Streaming => "streaming",
    }
}

/// Refuses a request whose body was not read to its end, so that it has not run.
pub(super) fn refuse_body<P: Platform>(node: &Node<P>, id: &str, error: BodyError) -> Answer {
    Metrics::count(&node.metrics.refused_before_run, "body", error.name());
    tracing::info!(target: "request", id, outcome = "refused", cause = %error);
    let retry_after = (error == BodyError::NoRoom).then_some(DEFAULT_RETRY_AFTER);
    refuse(error.status(), &error.to_string(), retry_after)
}

/// Refuses a request whose service has as many requests at this node as one service may have.
pub(super) fn refuse_for_service<P: Platform>(node: &Node<P>, id: &str, service: &ServiceName) -> Answer {
    Metrics::count(&node.metrics.refused_before_run, "service", "no place");
    tracing::info!(target: "request", id, outcome = "refused", cause = "too many requests of its service", service = &**service);
    refuse(
        StatusCode::SERVICE_UNAVAILABLE,
        "too many requests of this service are in flight",
        Some(DEFAULT_RETRY_AFTER),
    )
}

/// Returns a JSON answer that the node itself gives.
pub(super) fn json(body: String) -> Answer {
    let mut answer = Response::new(AnswerBody::full(body));
    let kind = HeaderValue::from_static("application/json");
    answer.headers_mut().insert(header::CONTENT_TYPE, kind);
    answer
}

/// Returns an error answer that the node itself gives.
pub fn refuse(status: StatusCode, reason: &str, retry_after: Option<Duration>) -> Answer {
    let body = format!("{{\"error\":\"{}\"}}", reason.replace(['"', '\\'], "'"));
    let mut answer = Response::new(AnswerBody::full(body));
    *answer.status_mut() = status;
    let headers = answer.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(time) = retry_after {
        if let Ok(value) = HeaderValue::from_str(&format!("{:.3}", time.as_secs_f64())) {
            headers.insert(header::RETRY_AFTER, value);
        }
    }
    answer
}
