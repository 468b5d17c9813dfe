//! What is known of a replica: identity, state, and the models it holds.

use std::sync::Arc;
use std::time::Duration;

use crate::catalog::{AdapterName, ModelName, ServiceName};

/// Identity of a replica. It may start again under the same one; then [`BornMs`] tells
/// its incarnations apart.
pub type ReplicaId = Arc<str>;

/// When a replica's incarnation started, by its own clock, in Unix milliseconds.
pub type BornMs = u64;

/// How two accounts of one replica lie to each other in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Incarnation {
    /// Of the same start, or one of them does not tell.
    Same,
    /// Of an earlier start than the known one: what it says is over.
    Earlier,
    /// Of a later start: nothing that is known of the replica holds any more.
    Later,
}

impl Incarnation {
    /// What an account that tells `told` is to one that is known as `known`.
    pub fn of(told: Option<BornMs>, known: Option<BornMs>) -> Self {
        match (told, known) {
            (Some(told), Some(known)) if told < known => Incarnation::Earlier,
            (Some(told), Some(known)) if told > known => Incarnation::Later,
            _ => Incarnation::Same,
        }
    }
}

/// Whether a replica takes new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplicaState {
    /// Takes requests.
    Ready,
    /// Is about to leave and takes no new requests.
    Draining,
}

/// A rate of requests, in thousandths of a request a second.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestRate(u64);

impl RequestRate {
    /// The rate of so many requests a second, the largest that can be told at most;
    /// `None` if that is no rate.
    pub fn from_per_s(per_s: f64) -> Option<Self> {
        // The conversion to an integer stops at its bounds.
        let is_rate = per_s.is_finite() && per_s >= 0.0;
        is_rate.then_some(RequestRate((per_s * 1000.0) as u64))
    }

    /// The rate of so many thousandths of a request a second.
    pub fn from_millis_per_s(millis_per_s: u64) -> Self {
        RequestRate(millis_per_s)
    }

    /// In thousandths of a request a second.
    pub fn millis_per_s(self) -> u64 {
        self.0
    }

    /// In requests a second.
    pub fn per_s(self) -> f64 {
        self.0 as f64 / 1000.0
    }
}

/// What an answer of a replica says of the requests that it takes from all nodes together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum LimitWord {
    /// Nothing: no answer came, or it cannot be read.
    #[default]
    Unsaid,
    /// It names no limit.
    Unlimited,
    /// It takes so many at most, until it says otherwise.
    Limited(RequestRate),
}

/// What a replica says of itself in one of its answers to a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ReplicaWord {
    /// It is about to leave.
    pub is_leaving: bool,
    /// Time for which it wants nothing more from that node.
    pub rest: Option<Duration>,
    /// Requests that it takes from all nodes together.
    pub limit: LimitWord,
}

impl ReplicaWord {
    /// True if it says nothing of leaving or rest.
    pub fn is_empty(&self) -> bool {
        !self.is_leaving && self.rest.is_none()
    }
}

/// One model that a replica holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldModel {
    /// Name of the model.
    pub model: ModelName,
    /// Adapters that are present.
    pub adapters: Vec<AdapterName>,
}

/// Copies of weights that a replica keeps outside its accelerator.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct WeightCopies {
    /// Models in main memory: the fastest load.
    pub in_memory: Vec<ModelName>,
    /// Models on the replica's disk.
    pub on_disk: Vec<ModelName>,
}

/// What a replica holds, as of a number of orders taken.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Holdings {
    /// Orders that the replica had taken; zero where a listing does not tell.
    pub sequence: u64,
    /// Models with their adapters.
    pub models: Vec<HeldModel>,
    /// Copies outside the accelerator.
    pub copies: WeightCopies,
}

impl Holdings {
    /// The entry of a model, if it is held.
    pub fn model(&self, model: &str) -> Option<&HeldModel> {
        self.models.iter().find(|held| &*held.model == model)
    }

    /// True if the model, and the adapter if one is asked for, is held.
    pub fn serves(&self, model: &str, adapter: Option<&str>) -> bool {
        self.model(model).is_some_and(|held| match adapter {
            None => true,
            Some(adapter) => held.adapters.iter().any(|present| &**present == adapter),
        })
    }

    /// Number of adapters that are present.
    pub fn adapter_count(&self) -> usize {
        self.models.iter().map(|held| held.adapters.len()).sum()
    }
}

/// A replica as the directory lists it.
#[derive(Debug, Clone, PartialEq)]
pub struct ReplicaListing {
    /// Identity of the incarnation.
    pub id: ReplicaId,
    /// The service it belongs to.
    pub service: ServiceName,
    /// `IP:PORT`.
    pub address: Arc<str>,
    /// Zone it runs in.
    pub zone: Arc<str>,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Whether it takes new requests.
    pub state: ReplicaState,
    /// Time it has left, if it is taken away at short notice.
    pub leaves_in: Option<Duration>,
    /// When it started, if it tells.
    pub born_ms: Option<BornMs>,
    /// What it holds; empty for services without models.
    pub holdings: Holdings,
}

/// A replica's own report.
#[derive(Debug, Clone, PartialEq)]
pub struct ReplicaReport {
    /// What it holds.
    pub holdings: Holdings,
    /// True while a weights order is under way.
    pub busy: bool,
    /// Requests waiting there.
    pub waiting: u32,
    /// Requests running there.
    pub running: u32,
    /// When it started, if it tells.
    pub born_ms: Option<BornMs>,
}

/// An order to a replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Order {
    /// Load a model.
    LoadModel(ModelName),
    /// Drop a model, its adapters and its prompt memory.
    UnloadModel(ModelName),
    /// Load an adapter of a model that is present.
    LoadAdapter(ModelName, AdapterName),
    /// Drop an adapter.
    UnloadAdapter(ModelName, AdapterName),
}

impl Order {
    /// The model that the order is about.
    pub fn model(&self) -> &ModelName {
        match self {
            Order::LoadModel(model) | Order::UnloadModel(model) => model,
            Order::LoadAdapter(model, _) | Order::UnloadAdapter(model, _) => model,
        }
    }

    /// True if `holdings` show the order's effect.
    pub fn holds_in(&self, holdings: &Holdings) -> bool {
        match self {
            Order::LoadModel(model) => holdings.serves(model, None),
            Order::UnloadModel(model) => !holdings.serves(model, None),
            Order::LoadAdapter(model, adapter) => holdings.serves(model, Some(adapter)),
            Order::UnloadAdapter(model, adapter) => !holdings.serves(model, Some(adapter)),
        }
    }

    /// True for orders about weights, of which a replica carries out one at a time.
    pub fn is_weights(&self) -> bool {
        matches!(self, Order::LoadModel(_) | Order::UnloadModel(_))
    }
}

/// How a replica answered an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// It is in progress.
    Accepted,
    /// It already holds.
    AlreadyHolds,
    /// Another order is in progress, or the expected sequence is not the present one.
    Conflict,
    /// A newer fencing token has been seen.
    Fenced,
    /// Another incarnation answered.
    OtherIncarnation,
    /// The replica rejected the order as such.
    Rejected,
    /// No answer: it may have been taken, or may be carried out later.
    Unknown,
}
