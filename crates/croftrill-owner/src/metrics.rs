//! Metrics of the owner service, in the Prometheus data model.

use croftrill_state::engine_memory::{CheckpointLocality, UnloadReason};
use croftrill_state::outcome::RefusalCause;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{exponential_buckets, Histogram};
use prometheus_client::registry::Registry;
use std::sync::atomic::AtomicU64;

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct EngineLabel {
    pub(crate) engine: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct SourceLabel {
    source: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct CauseLabel {
    cause: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct ReasonLabel {
    reason: String,
}

/// The metrics of all engines of this node.
#[derive(Clone)]
pub(crate) struct OwnerMetrics {
    queue_length: Family<EngineLabel, Gauge>,
    running: Family<EngineLabel, Gauge>,
    cold_start_seconds: Histogram,
    first_token_seconds: Histogram,
    loads: Family<SourceLabel, Counter>,
    load_failures: Counter,
    unloads: Family<ReasonLabel, Counter>,
    refusals: Family<CauseLabel, Counter>,
    idle_accelerator_seconds: Counter<f64, AtomicU64>,
}

impl OwnerMetrics {
    /// Registers the metrics.
    pub(crate) fn register(registry: &mut Registry) -> Self {
        let metrics = Self {
            queue_length: Family::default(),
            running: Family::default(),
            cold_start_seconds: Histogram::new(exponential_buckets(0.05, 1.6, 18)),
            first_token_seconds: Histogram::new(exponential_buckets(0.01, 1.8, 18)),
            loads: Family::default(),
            load_failures: Counter::default(),
            unloads: Family::default(),
            refusals: Family::default(),
            idle_accelerator_seconds: Counter::default(),
        };
        metrics.clone().add_to(registry);
        metrics
    }

    fn add_to(self, registry: &mut Registry) {
        registry.register("owner_queue_length", "Requests that wait", self.queue_length);
        registry.register("owner_running", "Requests that run", self.running);
        registry.register(
            "owner_cold_start_seconds",
            "Wait of requests whose model was not loaded when they came",
            self.cold_start_seconds,
        );
        registry.register(
            "owner_first_token_seconds",
            "Time from arrival to the first token",
            self.first_token_seconds,
        );
        registry.register("owner_loads", "Loads that ended well", self.loads);
        registry.register("owner_load_failures", "Loads that failed", self.load_failures);
        registry.register("owner_unloads", "Unloads by reason", self.unloads);
        registry.register("owner_refusals", "Refused requests by cause", self.refusals);
        registry.register(
            "owner_idle_accelerator_seconds",
            "Time that accelerators held models without running work",
            self.idle_accelerator_seconds,
        );
    }

    pub(crate) fn set_queue(&self, engine: &str, waiting: u32, running: u32) {
        let label = EngineLabel {
            engine: engine.to_string(),
        };
        self.queue_length.get_or_create(&label).set(i64::from(waiting));
        self.running.get_or_create(&label).set(i64::from(running));
    }

    pub(crate) fn remove_engine(&self, engine: &str) {
        let label = EngineLabel {
            engine: engine.to_string(),
        };
        self.queue_length.remove(&label);
        self.running.remove(&label);
    }

    pub(crate) fn cold_start(&self, millis: u64) {
        self.cold_start_seconds.observe(millis as f64 / 1000.0);
    }

    pub(crate) fn first_token(&self, millis: u64) {
        self.first_token_seconds.observe(millis as f64 / 1000.0);
    }

    pub(crate) fn loaded(&self, source: CheckpointLocality) {
        let label = SourceLabel {
            source: format!("{source:?}").to_lowercase(),
        };
        self.loads.get_or_create(&label).inc();
    }

    pub(crate) fn load_failed(&self) {
        self.load_failures.inc();
    }

    pub(crate) fn unloaded(&self, reason: UnloadReason) {
        let label = ReasonLabel {
            reason: format!("{reason:?}").to_lowercase(),
        };
        self.unloads.get_or_create(&label).inc();
    }

    pub(crate) fn refused(&self, cause: RefusalCause) {
        let label = CauseLabel {
            cause: format!("{cause:?}"),
        };
        self.refusals.get_or_create(&label).inc();
    }

    pub(crate) fn idle_accelerators(&self, accelerators: usize, millis: u64) {
        let seconds = accelerators as f64 * millis as f64 / 1000.0;
        self.idle_accelerator_seconds.inc_by(seconds);
    }
}
