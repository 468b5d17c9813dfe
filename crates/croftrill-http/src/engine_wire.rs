//! Messages of model replicas.

use croftrill_node::cooldown_header::parse_cooldown;
use croftrill_node::limit_header::parse_limit;
use croftrill_scheduler::replica::{HeldModel, Holdings, ReplicaSignals, WeightCopies};
use http::{HeaderMap, HeaderName, StatusCode};
use serde::{Deserialize, Serialize};

/// Takes an order.
pub const ORDER_PATH: &str = "/engine/order";
/// Tells what is held and what runs.
pub const REPORT_PATH: &str = "/engine/report";
/// Names the incarnation that is meant.
pub const INCARNATION_HEADER: &str = "croftrill-incarnation";
/// Says that a request was not run and will not be.
pub const NOT_EXECUTED_HEADER: &str = "croftrill-not-executed";
/// Requests running and waiting at the replica.
pub const LOAD_HEADER: &str = "croftrill-load";

/// Says that the replica is about to leave.
pub const LEAVING_HEADER: &str = "croftrill-leaving";
/// Its value.
pub const LEAVING_VALUE: &str = "1";
/// Names the requests a second that the replica takes from all nodes together.
pub const LIMIT_HEADER: HeaderName = HeaderName::from_static("croftrill-limit");

/// What a replica says of itself in an answer.
pub fn replica_word(status: StatusCode, headers: &HeaderMap) -> ReplicaSignals {
    let value = headers.get(LEAVING_HEADER).and_then(|value| value.to_str().ok());
    ReplicaSignals {
        is_leaving: value.map(str::trim) == Some(LEAVING_VALUE),
        cooldown: parse_cooldown(status, headers),
        limit: parse_limit(headers, &LIMIT_HEADER),
    }
}

/// What an order does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Operation {
    /// Load a model or adapter.
    Load,
    /// Drop a model or adapter.
    Unload,
}

/// An order.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WireOrder {
    /// What to do.
    pub operation: Operation,
    /// The model.
    pub model: String,
    /// An adapter of it.
    #[serde(default)]
    pub adapter: Option<String>,
    /// The node that orders.
    pub holder: String,
    /// Token of its lease.
    pub fencing_token: u64,
    /// Orders that the replica must have taken before.
    pub expected_sequence: u64,
}

/// A model that a replica holds.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct WireHeldModel {
    /// The model.
    pub model: String,
    /// Adapters that are present.
    pub adapters: Vec<String>,
}

/// What a replica holds.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct WireHoldings {
    /// Orders taken.
    pub sequence: u64,
    /// Models.
    pub models: Vec<WireHeldModel>,
    /// Copies of weights in main memory.
    pub in_memory: Vec<String>,
    /// Copies of weights on disk.
    pub on_disk: Vec<String>,
}

/// A replica's report.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct WireReport {
    /// What it holds.
    pub holdings: WireHoldings,
    /// True while a weights order is under way.
    pub busy: bool,
    /// Requests waiting.
    pub waiting: u32,
    /// Requests running.
    pub running: u32,
}

/// A replica's entry in the store.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WireReplica {
    /// Service.
    pub service: String,
    /// `IP:PORT`.
    pub address: String,
    /// Zone.
    pub zone: String,
    /// Requests at the same time.
    pub slots: u32,
    /// True once it is leaving.
    pub draining: bool,
    /// What it holds.
    pub holdings: WireHoldings,
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
