//! Metrics of a node, in the Prometheus text format.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::atomic::{AtomicI64, AtomicU64};

use croftrill_scheduler::catalog::ServiceName;
use croftrill_scheduler::load_summary::ServiceLoad;
use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

/// Labels of a counter by kind and outcome.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OutcomeLabels {
    /// Kind of the counted event.
    pub kind: &'static str,
    /// Outcome of the event.
    pub outcome: &'static str,
}

/// Labels of a counter of one service by outcome.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ServiceOutcomeLabels {
    /// Name of the service.
    pub service: String,
    /// Outcome of the event.
    pub outcome: &'static str,
}

/// Label of a gauge of one service.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ServiceLabels {
    /// Name of the service.
    pub service: String,
}

/// A gauge with one value per service.
pub type ServiceGauge<N, A> = Family<ServiceLabels, Gauge<N, A>>;

/// All metrics of a node.
pub struct Metrics {
    registry: Registry,
    /// Requests by route kind and outcome.
    pub requests: Family<OutcomeLabels, Counter>,
    /// Requests denied for their key or a quota, by kind and cause.
    pub denied: Family<OutcomeLabels, Counter>,
    /// Links to keepers of quotas that were lost unexpectedly.
    pub quota_keepers_lost: Counter,
    /// Answers of replicas, by the framing of their body and how it ended.
    pub answer_ends: Family<OutcomeLabels, Counter>,
    /// Retries of requests, by route kind and outcome.
    pub retries: Family<OutcomeLabels, Counter>,
    /// Retries by service: decisions of the retry budget, and sends after a request's first.
    pub service_retries: Family<ServiceOutcomeLabels, Counter>,
    /// Orders to replicas by kind and outcome.
    pub orders: Family<OutcomeLabels, Counter>,
    /// Report requests to replicas, by outcome.
    pub reports: Family<OutcomeLabels, Counter>,
    /// Requests that crash replicas, and replicas that ended, by outcome.
    pub crashes: Family<OutcomeLabels, Counter>,
    /// Paths to replicas by kind and outcome.
    pub replica_paths: Family<OutcomeLabels, Counter>,
    /// Signals of replicas in their answers, by kind.
    pub replica_words: Family<OutcomeLabels, Counter>,
    /// Requests that found all holders of their model full, by outcome.
    pub full_holders: Family<OutcomeLabels, Counter>,
    /// Calls to replicas that report a limit, by kind and the outcome of their reservation.
    pub limited: Family<OutcomeLabels, Counter>,
    /// Detected suspensions of the machine.
    pub suspensions: Counter,
    /// Number of times that the store was restored from an older copy.
    pub store_rises: Counter,
    /// Calls to the store by kind and outcome.
    pub store_calls: Family<OutcomeLabels, Counter>,
    /// Received messages of orderers and relays, by kind and outcome.
    pub relayed: Family<OutcomeLabels, Counter>,
    /// Load samples of replicas by their source or destination, and outcome.
    pub load_news: Family<OutcomeLabels, Counter>,
    /// Bytes sent in messages with load samples.
    pub load_news_bytes: Counter,
    /// Replicas of each service whose load was observed recently.
    pub service_replicas_heard: ServiceGauge<i64, AtomicI64>,
    /// Free slots of these replicas.
    pub service_room: ServiceGauge<i64, AtomicI64>,
    /// Number of these replicas that are full.
    pub service_full: ServiceGauge<i64, AtomicI64>,
    /// Number of these replicas that are slow.
    pub service_slow: ServiceGauge<i64, AtomicI64>,
    /// Requests at the busiest of these replicas, as a multiple of the mean.
    pub service_spread: ServiceGauge<f64, AtomicU64>,
    /// Seconds from the arrival of a request to the head of its answer.
    pub first_byte_seconds: Histogram,
    /// Size of the answers to the node's own watches, in bytes.
    pub watch_answer_bytes: Histogram,
    /// Version of the configuration in force.
    pub configuration_version: Gauge,
    /// Records of streams' software versions, and questions for them, by outcome.
    pub stream_versions: Family<OutcomeLabels, Counter>,
    /// Bytes of configurations sent to other nodes on request.
    pub configuration_exchange_bytes: Counter,
    /// Highest version of the configuration that the node has heard of.
    pub configuration_newest: Gauge,
    /// Number of known replicas.
    pub replicas: Gauge,
    /// Replicas that this node does not reach over its own path.
    pub replicas_out_of_reach: Gauge,
    /// Number of shards whose orderer this node is.
    pub is_orderer: Gauge,
    /// Connections that the node closed before their callers did, or refused, by port and cause.
    pub closed_connections: Family<OutcomeLabels, Counter>,
    /// Requests refused before they ran, for their body or for want of a place, by kind and cause.
    pub refused_before_run: Family<OutcomeLabels, Counter>,
    /// Bytes that large bodies, answers and streams hold.
    pub in_flight_bytes: Gauge,
    /// Bytes that large messages of other nodes hold while they arrive.
    pub message_bytes: Gauge,
    /// Requests being served.
    pub in_flight: Gauge,
    /// Requests that wait for a reservation in a tenant's quota.
    pub quota_waiting: Gauge,
    /// Messages to orderers or the relay that were dropped.
    pub messages_left_out: Counter,
    /// Log lines that were dropped.
    pub log_lines_left_out: Counter,
}

/// Upper bounds of the latency buckets, in seconds.
const LATENCY_BUCKETS: [f64; 12] = [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 12.0];

/// Upper bounds of the size buckets, in bytes.
const SIZE_BUCKETS: [f64; 6] = [1e3, 1e4, 1e5, 3e5, 1e6, 1e7];

impl Metrics {
    /// Creates metrics with all values at zero.
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix("croftrill");
        let requests = Family::default();
        registry.register("requests", "Requests by route kind and outcome", requests.clone());
        let denied = Family::default();
        registry.register(
            "denied",
            "Requests without a valid key or beyond a quota, by cause",
            denied.clone(),
        );
        let quota_keepers_lost = Counter::default();
        registry.register(
            "quota_keepers_lost",
            "Links to keepers of quotas that were lost unexpectedly",
            quota_keepers_lost.clone(),
        );
        let answer_ends = Family::default();
        registry.register(
            "answer_ends",
            "Answers of replicas by the framing of their body and how it ended",
            answer_ends.clone(),
        );
        let retries = Family::default();
        registry.register(
            "retries",
            "Retries of requests by route kind and outcome",
            retries.clone(),
        );
        let service_retries = Family::default();
        registry.register(
            "service_retries",
            "Retries by service and outcome: decisions of the budget, and sends after a request's first",
            service_retries.clone(),
        );
        let orders = Family::default();
        registry.register("orders", "Orders to replicas by kind and outcome", orders.clone());
        let reports = Family::default();
        registry.register(
            "reports",
            "Report requests to replicas by outcome",
            reports.clone(),
        );
        let crashes = Family::default();
        registry.register(
            "crashes",
            "Requests that crash replicas, and replicas that ended, by outcome",
            crashes.clone(),
        );
        let replica_paths = Family::default();
        registry.register(
            "replica_paths",
            "Paths to replicas by kind and outcome",
            replica_paths.clone(),
        );
        let replica_words = Family::default();
        registry.register(
            "replica_words",
            "Signals of replicas in their answers, by kind",
            replica_words.clone(),
        );
        let full_holders = Family::default();
        registry.register(
            "full_holders",
            "Requests that found all holders of their model full, by outcome",
            full_holders.clone(),
        );
        let limited = Family::default();
        registry.register(
            "limited",
            "Calls to replicas that report a limit, by kind and outcome of their reservation",
            limited.clone(),
        );
        let suspensions = Counter::default();
        registry.register(
            "suspensions",
            "Detected suspensions of the machine",
            suspensions.clone(),
        );
        let store_rises = Counter::default();
        registry.register(
            "store_rises",
            "Number of times that the store was restored from an older copy",
            store_rises.clone(),
        );
        let store_calls = Family::default();
        registry.register(
            "store_calls",
            "Calls to the store by kind and outcome",
            store_calls.clone(),
        );
        let relayed = Family::default();
        registry.register(
            "relayed",
            "Received messages of orderers and relays by kind and outcome",
            relayed.clone(),
        );
        let load_news = Family::default();
        registry.register(
            "load_news",
            "Load samples of replicas by source or destination, and outcome",
            load_news.clone(),
        );
        let load_news_bytes = Counter::default();
        registry.register(
            "load_news_bytes",
            "Bytes sent in messages with load samples of replicas",
            load_news_bytes.clone(),
        );
        let service_replicas_heard = ServiceGauge::default();
        registry.register(
            "service_replicas_heard",
            "Replicas of each service whose load was observed recently",
            service_replicas_heard.clone(),
        );
        let service_room = ServiceGauge::default();
        registry.register(
            "service_room",
            "Free slots of the replicas whose load was observed recently",
            service_room.clone(),
        );
        let service_full = ServiceGauge::default();
        registry.register("service_full", "Full replicas among these", service_full.clone());
        let service_slow = ServiceGauge::default();
        registry.register("service_slow", "Slow replicas among these", service_slow.clone());
        let service_spread = ServiceGauge::default();
        registry.register(
            "service_spread",
            "Requests at the busiest of these replicas, as a multiple of the mean",
            service_spread.clone(),
        );
        let first_byte_seconds = Histogram::new(LATENCY_BUCKETS);
        registry.register(
            "first_byte_seconds",
            "Seconds from the arrival of a request to the head of its answer",
            first_byte_seconds.clone(),
        );
        let watch_answer_bytes = Histogram::new(SIZE_BUCKETS);
        registry.register(
            "watch_answer_bytes",
            "Size of the answers to the node's own watches",
            watch_answer_bytes.clone(),
        );
        let configuration_version = Gauge::default();
        registry.register(
            "configuration_version",
            "Version of the configuration in force",
            configuration_version.clone(),
        );
        let stream_versions = Family::default();
        registry.register(
            "stream_versions",
            "Records of streams' software versions, and questions for them, by outcome",
            stream_versions.clone(),
        );
        let configuration_exchange_bytes = Counter::default();
        registry.register(
            "configuration_exchange_bytes",
            "Bytes of configurations sent to other nodes on request",
            configuration_exchange_bytes.clone(),
        );
        let configuration_newest = Gauge::default();
        registry.register(
            "configuration_newest",
            "Highest version of the configuration that the node has heard of",
            configuration_newest.clone(),
        );
        let replicas = Gauge::default();
        registry.register("replicas", "Known replicas", replicas.clone());
        let replicas_out_of_reach = Gauge::default();
        registry.register(
            "replicas_out_of_reach",
            "Replicas that this node does not reach over its own path",
            replicas_out_of_reach.clone(),
        );
        let is_orderer = Gauge::default();
        registry.register(
            "is_orderer",
            "Number of shards whose orderer this node is",
            is_orderer.clone(),
        );
        let closed_connections = Family::default();
        registry.register(
            "closed_connections",
            "Connections that the node closed before their callers did, or refused, by port and cause",
            closed_connections.clone(),
        );
        let refused_before_run = Family::default();
        registry.register(
            "refused_before_run",
            "Requests refused before they ran, for their body or for want of a place, by kind and cause",
            refused_before_run.clone(),
        );
        let in_flight_bytes = Gauge::default();
        registry.register(
            "in_flight_bytes",
            "Bytes that large bodies, answers and streams hold",
            in_flight_bytes.clone(),
        );
        let message_bytes = Gauge::default();
        registry.register(
            "message_bytes",
            "Bytes that large messages of other nodes hold while they arrive",
            message_bytes.clone(),
        );
        let in_flight = Gauge::default();
        registry.register("in_flight", "Requests being served", in_flight.clone());
        let quota_waiting = Gauge::default();
        registry.register(
            "quota_waiting",
            "Requests that wait to request a reservation in a tenant's quota again",
            quota_waiting.clone(),
        );
        let messages_left_out = Counter::default();
        registry.register(
            "messages_left_out",
            "Messages to orderers or the relay that were dropped",
            messages_left_out.clone(),
        );
        let log_lines_left_out = Counter::default();
        registry.register(
            "log_lines_left_out",
            "Log lines that were dropped",
            log_lines_left_out.clone(),
        );
        Metrics {
            registry,
            requests,
            denied,
            quota_keepers_lost,
            answer_ends,
            retries,
            service_retries,
            orders,
            reports,
            crashes,
            replica_paths,
            replica_words,
            full_holders,
            limited,
            suspensions,
            store_rises,
            store_calls,
            relayed,
            load_news,
            load_news_bytes,
            service_replicas_heard,
            service_room,
            service_full,
            service_slow,
            service_spread,
            first_byte_seconds,
            watch_answer_bytes,
            configuration_version,
            stream_versions,
            configuration_exchange_bytes,
            configuration_newest,
            replicas,
            replicas_out_of_reach,
            is_orderer,
            closed_connections,
            refused_before_run,
            in_flight_bytes,
            message_bytes,
            in_flight,
            quota_waiting,
            messages_left_out,
            log_lines_left_out,
        }
    }

    /// Sets the gauges of the load of each service.
    pub fn set_service_loads(&self, services: &BTreeMap<ServiceName, ServiceLoad>) {
        self.clear_service_loads();
        for (service, load) in services {
            let labels = ServiceLabels {
                service: service.to_string(),
            };
            let set = |gauge: &ServiceGauge<i64, AtomicI64>, number: u32| {
                gauge.get_or_create(&labels).set(i64::from(number));
            };
            set(&self.service_replicas_heard, load.replicas);
            set(&self.service_room, load.free);
            set(&self.service_full, load.full);
            set(&self.service_slow, load.slow);
            self.service_spread.get_or_create(&labels).set(load.spread());
        }
    }

    /// Removes the values of all services, as those without recent samples have none.
    fn clear_service_loads(&self) {
        self.service_replicas_heard.clear();
        self.service_room.clear();
        self.service_full.clear();
        self.service_slow.clear();
        self.service_spread.clear();
    }

    /// Returns the metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        let mut text = String::new();
        if encode(&mut text, &self.registry).is_err() {
            let _ = writeln!(text, "# metrics cannot be encoded");
        }
        text
    }

    /// Counts one event by kind and outcome.
    pub fn count(family: &Family<OutcomeLabels, Counter>, kind: &'static str, outcome: &'static str) {
        Self::count_many(family, kind, outcome, 1);
    }

    /// Counts one retry of a service's request by outcome.
    pub fn count_retry(
        family: &Family<ServiceOutcomeLabels, Counter>,
        service: &ServiceName,
        outcome: &'static str,
    ) {
        let labels = ServiceOutcomeLabels {
            service: service.to_string(),
            outcome,
        };
        family.get_or_create(&labels).inc();
    }

    /// Counts several events by kind and outcome.
    pub fn count_many(
        family: &Family<OutcomeLabels, Counter>,
        kind: &'static str,
        outcome: &'static str,
        count: u64,
    ) {
        family
            .get_or_create(&OutcomeLabels { kind, outcome })
            .inc_by(count);
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}
