//! Replicas: identity, state, holdings, signals and orders.

use std::sync::Arc;
use std::time::Duration;

use crate::catalog::{AdapterName, ModelName, ServiceName};

/// Identity of a replica. A restarted replica may keep it; [`StartedMs`] then distinguishes
/// its incarnations.
pub type ReplicaId = Arc<str>;

/// Start time of a replica's incarnation by its own clock, in Unix milliseconds.
pub type StartedMs = u64;

/// How the incarnation that a message is about relates to the known one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Incarnation {
    /// The same incarnation, or at least one of the start times is unknown.
    Same,
    /// An earlier incarnation: the message is out of date.
    Earlier,
    /// A later incarnation: nothing that is known of the replica is valid any more.
    Later,
}

impl Incarnation {
    /// Compares the start time that a message reports with the known one.
    pub fn of(reported: Option<StartedMs>, known: Option<StartedMs>) -> Self {
        match (reported, known) {
            (Some(reported), Some(known)) if reported < known => Incarnation::Earlier,
            (Some(reported), Some(known)) if reported > known => Incarnation::Later,
            _ => Incarnation::Same,
        }
    }
}

/// Whether a replica accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplicaState {
    /// Accepts requests.
    Ready,
    /// Is about to leave and accepts no new requests.
    Draining,
}

/// A rate of requests, in thousandths of a request per second.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestRate(u64);

impl RequestRate {
    /// Converts from requests per second, saturating at the largest rate that can be represented.
    /// Returns `None` for a number that is no rate.
    pub fn from_per_s(per_s: f64) -> Option<Self> {
        // The conversion to an integer saturates.
        let is_rate = per_s.is_finite() && per_s >= 0.0;
        is_rate.then_some(RequestRate((per_s * 1000.0) as u64))
    }

    /// Converts from thousandths of a request per second.
    pub fn from_millis_per_s(millis_per_s: u64) -> Self {
        RequestRate(millis_per_s)
    }

    /// Returns the rate in thousandths of a request per second.
    pub fn millis_per_s(self) -> u64 {
        self.0
    }

    /// Returns the rate in requests per second.
    pub fn per_s(self) -> f64 {
        self.0 as f64 / 1000.0
    }
}

/// What an answer of a replica says about a limit on its requests from all nodes together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum LimitSignal {
    /// Nothing: no answer arrived, or it is unreadable.
    #[default]
    Unspecified,
    /// The replica sets no limit.
    Unlimited,
    /// The replica accepts at most this rate, until a later answer changes it.
    Limited(RequestRate),
}

/// What an answer of a replica says about the rejections that it bears.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum RejectionSignal {
    /// Nothing: no answer arrived, or it is unreadable.
    #[default]
    Unspecified,
    /// It bears any number.
    Unlimited,
    /// It falls over if it must reject more requests for want of room, from all nodes together.
    Limited {
        /// Rejections a second that it bears.
        max_per_s: u32,
    },
}

/// Signals that a replica sends in an answer to a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ReplicaSignals {
    /// The replica is about to leave.
    pub is_leaving: bool,
    /// Time for which the replica wants no more requests from that node.
    pub cooldown: Option<Duration>,
    /// Limit on requests from all nodes together.
    pub limit: LimitSignal,
    /// Rejections that it bears.
    pub rejections: RejectionSignal,
}

impl ReplicaSignals {
    /// Returns whether the answer signals neither leaving nor a cooldown.
    pub fn is_empty(&self) -> bool {
        !self.is_leaving && self.cooldown.is_none()
    }
}

/// A model that a replica holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldModel {
    /// Name of the model.
    pub model: ModelName,
    /// Adapters that are present.
    pub adapters: Vec<AdapterName>,
}

/// Copies of weights that a replica stores outside its accelerator.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct WeightCopies {
    /// Models in main memory, which load fastest.
    pub in_memory: Vec<ModelName>,
    /// Models on the replica's disk.
    pub on_disk: Vec<ModelName>,
}

/// What a replica holds after a number of accepted orders.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Holdings {
    /// Number of orders that the replica had accepted; zero in listings without it.
    pub sequence: u64,
    /// Models with their adapters.
    pub models: Vec<HeldModel>,
    /// Copies outside the accelerator.
    pub copies: WeightCopies,
}

impl Holdings {
    /// Returns the entry of a model, if it is held.
    pub fn model(&self, model: &str) -> Option<&HeldModel> {
        self.models.iter().find(|held| &*held.model == model)
    }

    /// Returns whether the model is held, with the adapter if one is given.
    pub fn serves(&self, model: &str, adapter: Option<&str>) -> bool {
        self.model(model).is_some_and(|held| match adapter {
            None => true,
            Some(adapter) => held.adapters.iter().any(|present| &**present == adapter),
        })
    }

    /// Returns the number of adapters that are present.
    pub fn adapter_count(&self) -> usize {
        self.models.iter().map(|held| held.adapters.len()).sum()
    }
}

/// A replica as listed in the directory.
#[derive(Debug, Clone, PartialEq)]
pub struct ReplicaListing {
    /// Identity of the replica.
    pub id: ReplicaId,
    /// The service it belongs to.
    pub service: ServiceName,
    /// `IP:PORT`.
    pub address: Arc<str>,
    /// Zone that it runs in.
    pub zone: Arc<str>,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub state: ReplicaState,
    /// Time until it is removed, if that is announced at short notice.
    pub leaves_in: Option<Duration>,
    /// When it started, if known.
    pub started_ms: Option<StartedMs>,
    /// What it holds; empty for services without models.
    pub holdings: Holdings,
}

/// An adapter with its model.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ModelAdapter {
    /// The model.
    pub model: ModelName,
    /// The adapter.
    pub adapter: AdapterName,
}

/// A replica's report on itself.
#[derive(Debug, Clone, PartialEq)]
pub struct ReplicaReport {
    /// What it holds.
    pub holdings: Holdings,
    /// Adapters on their way to it, which take their room already; `None` if it does not say.
    pub in_transit: Option<Vec<ModelAdapter>>,
    /// True while an order about weights is in progress.
    pub busy: bool,
    /// Number of waiting requests.
    pub waiting: u32,
    /// Number of running requests.
    pub running: u32,
    /// When it started, if known.
    pub started_ms: Option<StartedMs>,
}

/// An order to a replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Order {
    /// Load a model.
    LoadModel(ModelName),
    /// Unload a model, its adapters and its prompt cache.
    UnloadModel(ModelName),
    /// Load an adapter of a model that is present.
    LoadAdapter(ModelName, AdapterName),
    /// Unload an adapter.
    UnloadAdapter(ModelName, AdapterName),
}

impl Order {
    /// Returns the model that the order is about.
    pub fn model(&self) -> &ModelName {
        match self {
            Order::LoadModel(model) | Order::UnloadModel(model) => model,
            Order::LoadAdapter(model, _) | Order::UnloadAdapter(model, _) => model,
        }
    }

    /// Returns whether `holdings` show the effect of the order.
    pub fn holds_in(&self, holdings: &Holdings) -> bool {
        match self {
            Order::LoadModel(model) => holdings.serves(model, None),
            Order::UnloadModel(model) => !holdings.serves(model, None),
            Order::LoadAdapter(model, adapter) => holdings.serves(model, Some(adapter)),
            Order::UnloadAdapter(model, adapter) => !holdings.serves(model, Some(adapter)),
        }
    }

    /// Returns the adapter that the order is about, if it is about one.
    pub fn model_adapter(&self) -> Option<ModelAdapter> {
        match self {
            Order::LoadAdapter(model, adapter) | Order::UnloadAdapter(model, adapter) => Some(ModelAdapter {
                model: model.clone(),
                adapter: adapter.clone(),
            }),
            Order::LoadModel(_) | Order::UnloadModel(_) => None,
        }
    }

    /// Applies the effect of the order. An adapter of a model that is not held has none.
    pub fn apply_to(&self, holdings: &mut Holdings) {
        let held = holdings
            .models
            .iter_mut()
            .find(|held| held.model == *self.model());
        match self {
            Order::LoadModel(model) => {
                if held.is_none() {
                    holdings.models.push(HeldModel {
                        model: model.clone(),
                        adapters: Vec::new(),
                    });
                }
            }
            Order::UnloadModel(model) => holdings.models.retain(|held| held.model != *model),
            Order::LoadAdapter(_, adapter) => {
                if let Some(held) = held.filter(|held| !held.adapters.contains(adapter)) {
                    held.adapters.push(adapter.clone());
                }
            }
            Order::UnloadAdapter(_, adapter) => {
                if let Some(held) = held {
                    held.adapters.retain(|present| present != adapter);
                }
            }
        }
    }

    /// Returns `holdings` with the effect of the order.
    pub fn applied_to(&self, holdings: &Holdings) -> Holdings {
        let mut applied = holdings.clone();
        self.apply_to(&mut applied);
        applied
    }

    /// Returns whether the order loads or unloads weights. A replica executes one such order at a
    /// time.
    pub fn is_weights(&self) -> bool {
        matches!(self, Order::LoadModel(_) | Order::UnloadModel(_))
    }
}

/// How a replica answered an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The order is in progress.
    Accepted,
    /// The order's effect is present already.
    AlreadyHolds,
    /// Another order is in progress, or the expected sequence is not the current one.
    Conflict,
    /// The replica has seen a newer fencing token.
    Fenced,
    /// Another incarnation answered.
    OtherIncarnation,
    /// The replica rejected the order itself.
    Rejected,
    /// No answer arrived: the order may have been accepted, or may still be executed.
    Unknown,
}
