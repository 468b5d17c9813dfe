//! What the gateway counts, in the Prometheus text format.

use croftrill_state::outcome::{Execution, Refusal};
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::{exponential_buckets, Histogram};
use prometheus_client::registry::Registry;

/// Bounds of the first-token histogram: 10 ms, doubled up to about 5 minutes.
const FIRST_TOKEN_BUCKETS: (f64, f64, u16) = (0.01, 2.0, 16);

/// Labels of a request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RequestLabels {
    outcome: String,
    cause: String,
}

/// Labels of a retry.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CauseLabels {
    cause: String,
}

/// How a request ended, as it is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome<'a> {
    /// The whole answer was given.
    Served,
    /// It was refused or failed.
    Refused(&'a Refusal),
    /// It was malformed, or named something that does not exist.
    Invalid(&'a Refusal),
    /// The caller hung up.
    Cancelled,
}

/// Counters and histograms of a gateway.
#[derive(Clone, Debug)]
pub struct GatewayMetrics {
    requests: Family<RequestLabels, Counter>,
    first_token_seconds: Histogram,
    attempts: Counter,
    retries: Family<CauseLabels, Counter>,
    resumes: Counter,
    dropped_events: Counter,
}

impl GatewayMetrics {
    /// Registers all under `gateway_…`.
    pub fn new(registry: &mut Registry) -> Self {
        let (start, factor, length) = FIRST_TOKEN_BUCKETS;
        let metrics = Self {
            requests: Family::default(),
            first_token_seconds: Histogram::new(exponential_buckets(start, factor, length)),
            attempts: Counter::default(),
            retries: Family::default(),
            resumes: Counter::default(),
            dropped_events: Counter::default(),
        };
        let registry = registry.sub_registry_with_prefix("gateway");
        registry.register(
            "requests",
            "Requests by outcome and cause",
            metrics.requests.clone(),
        );
        registry.register(
            "first_token_seconds",
            "Time from a request's arrival to its first token",
            metrics.first_token_seconds.clone(),
        );
        registry.register("attempts", "Attempts sent to owners", metrics.attempts.clone());
        registry.register(
            "retries",
            "Attempts after a failed one, by the cause of the failure",
            metrics.retries.clone(),
        );
        registry.register(
            "resumes",
            "Attempts that went on with a broken stream",
            metrics.resumes.clone(),
        );
        registry.register(
            "dropped_events",
            "Late and crossed events that were dropped",
            metrics.dropped_events.clone(),
        );
        metrics
    }

    /// Counts a request that ended.
    pub fn record_request(&self, outcome: RequestOutcome<'_>) {
        let (outcome, cause) = match outcome {
            RequestOutcome::Served => ("served", String::new()),
            RequestOutcome::Cancelled => ("cancelled", String::new()),
            RequestOutcome::Invalid(refusal) => ("invalid", cause_label(refusal)),
            RequestOutcome::Refused(refusal) => match refusal.execution {
                Execution::NotRun => ("not_run", cause_label(refusal)),
                Execution::MayHaveRun => ("may_have_run", cause_label(refusal)),
            },
        };
        let labels = RequestLabels {
            outcome: outcome.to_string(),
            cause,
        };
        self.requests.get_or_create(&labels).inc();
    }

    /// Notes the time to a first token, in milliseconds.
    pub fn record_first_token(&self, millis: u64) {
        self.first_token_seconds.observe(millis as f64 / 1000.0);
    }

    /// Counts an attempt.
    pub fn record_attempt(&self) {
        self.attempts.inc();
    }

    /// Counts an attempt that follows a failed one.
    pub fn record_retry(&self, failure: &Refusal) {
        let labels = CauseLabels {
            cause: cause_label(failure),
        };
        self.retries.get_or_create(&labels).inc();
    }

    /// Counts an attempt that goes on with a broken stream.
    pub fn record_resume(&self) {
        self.resumes.inc();
    }

    /// Counts an event that belongs to no live attempt.
    pub fn record_dropped_event(&self) {
        self.dropped_events.inc();
    }
}

fn cause_label(refusal: &Refusal) -> String {
    serde_json::to_value(refusal.cause)
        .ok()
        .and_then(|value| value.as_str().map(str::to_string))
        .unwrap_or_default()
}
