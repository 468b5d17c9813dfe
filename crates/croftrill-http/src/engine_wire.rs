//! Paths, headers and messages of model replicas.

use croftrill_node::cooldown_header::parse_cooldown;
use croftrill_node::limit_header::parse_limit;
use croftrill_node::rejection_header::parse_rejections;
use croftrill_scheduler::replica::{HeldModel, Holdings, ModelAdapter, ReplicaSignals, WeightCopies};
use http::{HeaderMap, HeaderName, StatusCode};
use serde::{Deserialize, Serialize};

/// Accepts an order ([`WireOrder`]).
pub const ORDER_PATH: &str = "/engine/order";
/// Returns the replica's report ([`WireReport`]).
pub const REPORT_PATH: &str = "/engine/report";
/// The incarnation to which a request or order is addressed.
pub const INCARNATION_HEADER: &str = "croftrill-incarnation";
/// States that the replica has not executed a request and will not.
pub const NOT_EXECUTED_HEADER: &str = "croftrill-not-executed";
/// Numbers of requests running and waiting at the replica.
pub const LOAD_HEADER: &str = "croftrill-load";

/// Announces that the replica is about to leave.
pub const LEAVING_HEADER: &str = "croftrill-leaving";
/// Value of [`LEAVING_HEADER`].
pub const LEAVING_VALUE: &str = "1";
/// The rate limit in requests per second that the replica applies to all nodes together.
pub const LIMIT_HEADER: HeaderName = HeaderName::from_static("croftrill-limit");

/// The number of requests a second from all nodes together that the replica can reject for want of
/// room without falling over.
pub const REJECTIONS_HEADER: HeaderName = HeaderName::from_static("croftrill-max-rejections");

/// Returns the signals about the replica itself in the head of a response.
pub fn replica_signals(status: StatusCode, headers: &HeaderMap) -> ReplicaSignals {
    let value = headers.get(LEAVING_HEADER).and_then(|value| value.to_str().ok());
    ReplicaSignals {
        is_leaving: value.map(str::trim) == Some(LEAVING_VALUE),
        cooldown: parse_cooldown(status, headers),
        limit: parse_limit(headers, &LIMIT_HEADER),
        rejections: parse_rejections(headers, &REJECTIONS_HEADER),
    }
}

/// The effect of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Operation {
    /// Load a model or adapter.
    Load,
    /// Unload a model or adapter.
    Unload,
}

/// An order to load or unload.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WireOrder {
    /// Whether to load or unload.
    pub operation: Operation,
    /// The model.
    pub model: String,
    /// An adapter of the model; `None` if the order concerns the model itself.
    #[serde(default)]
    pub adapter: Option<String>,
    /// Name of the node that sends the order.
    pub holder: String,
    /// Fencing token of that node's lease.
    pub fencing_token: u64,
    /// Number of orders that the replica must have accepted before.
    pub expected_sequence: u64,
}

/// A model that a replica holds.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct WireHeldModel {
    /// The model.
    pub model: String,
    /// Loaded adapters of the model.
    pub adapters: Vec<String>,
}

/// The models and copies of weights that a replica holds.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct WireHoldings {
    /// Number of orders accepted so far.
    pub sequence: u64,
    /// Loaded models.
    pub models: Vec<WireHeldModel>,
    /// Models of which a copy of the weights is in main memory.
    pub in_memory: Vec<String>,
    /// Models of which a copy of the weights is on disk.
    pub on_disk: Vec<String>,
}

/// An adapter with its model.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WireAdapter {
    /// The model.
    pub model: String,
    /// The adapter.
    pub adapter: String,
}

/// A replica's report.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct WireReport {
    /// Models and copies of weights.
    pub holdings: WireHoldings,
    /// Adapters on their way to the replica, if it tells them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub in_transit: Option<Vec<WireAdapter>>,
    /// True while an order about weights is in progress.
    pub busy: bool,
    /// Number of waiting requests.
    pub waiting: u32,
    /// Number of running requests.
    pub running: u32,
    /// When the replica started, in Unix milliseconds, if it states that.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub started_ms: Option<u64>,
}

/// A replica's entry in the store.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WireReplica {
    /// Name of the service.
    pub service: String,
    /// `IP:PORT`.
    pub address: String,
    /// Zone.
    pub zone: String,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// True once the replica is leaving.
    pub draining: bool,
    /// Models and copies of weights.
    pub holdings: WireHoldings,
    /// Version of its software, if it states one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub software_version: Option<String>,
    /// When it started, in Unix milliseconds, if it states that. One that does may start again under its
    /// id.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub started_ms: Option<u64>,
}

impl From<WireAdapter> for ModelAdapter {
    fn from(wire: WireAdapter) -> Self {
        ModelAdapter {
            model: wire.model.into(),
            adapter: wire.adapter.into(),
        }
    }
}

impl From<&Holdings> for WireHoldings {
    fn from(holdings: &Holdings) -> Self {
        let names = |names: &[std::sync::Arc<str>]| names.iter().map(ToString::to_string).collect();
        let models = holdings.models.iter().map(|held| WireHeldModel {
            model: held.model.to_string(),
            adapters: names(&held.adapters),
        });
        WireHoldings {
            sequence: holdings.sequence,
            models: models.collect(),
            in_memory: names(&holdings.copies.in_memory),
            on_disk: names(&holdings.copies.on_disk),
        }
    }
}

impl From<WireHoldings> for Holdings {
    fn from(wire: WireHoldings) -> Self {
        let names = |names: Vec<String>| names.into_iter().map(Into::into).collect();
        let models = wire.models.into_iter().map(|held| HeldModel {
            model: held.model.into(),
            adapters: names(held.adapters),
        });
        let models = models.collect();
        let copies = WeightCopies {
            in_memory: names(wire.in_memory),
            on_disk: names(wire.on_disk),
        };
        Holdings {
            sequence: wire.sequence,
            models,
            copies,
        }
    }
}
