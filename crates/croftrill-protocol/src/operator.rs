//! The operators' intent API: JSON over HTTP on any node.
//!
//! - `POST /v1/plans` with [`IntentRequest`] answers a [`Plan`]; nothing changes.
//! - `GET /v1/plans/{id}` answers the plan.
//! - `POST /v1/plans/{id}/confirm` answers [`ConfirmOutcome`].
//! - `GET /v1/status` answers [`Status`], `/v1/groups` a list of groups,
//!   `/v1/models/configured` a list of [`ModelListing`], `/v1/adapters` a list of
//!   adapters.
//!
//! Plan identifiers contain a slash and are percent-encoded in paths. Every error
//! is an [`ApiError`].

use croftrill_state::configuration::Model;
use croftrill_state::entry::{Intent, PlacementStep};
use croftrill_state::placement::Assignment;
use croftrill_state::{EngineId, ModelId, PlanId, Revision};
use serde::{Deserialize, Serialize};

pub use croftrill_state::planner::PlanAction;

/// What an operator wants, in order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct IntentRequest {
    /// The intents.
    pub intents: Vec<Intent>,
}

/// An answer to an intent. It changes nothing until confirmed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// Its identifier.
    pub id: PlanId,
    /// The revision that it was made from.
    pub base: Revision,
    /// What the operator wanted.
    pub intents: Vec<Intent>,
    /// What would be written.
    pub steps: Vec<PlacementStep>,
    /// The same for people to read.
    pub actions: Vec<PlanAction>,
    /// What the operator should know, such as a model that fits nowhere.
    pub warnings: Vec<String>,
}

/// Answer to a confirmation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "outcome")]
pub enum ConfirmOutcome {
    /// In force from this revision on.
    Confirmed {
        /// The revision.
        revision: Revision,
    },
    /// The plan no longer fits the state; a fresh one is offered.
    Stale {
        /// Why.
        reason: String,
        /// The fresh plan, if the intent can still be planned.
        fresh: Option<Plan>,
    },
    /// No such plan.
    Unknown,
    /// The key-value service cannot be reached; nothing was changed.
    Unavailable {
        /// Why, for people to read.
        reason: String,
        /// When to try again, in milliseconds.
        retry_after_millis: u64,
    },
    /// The write may or may not have taken effect; confirm again to learn it.
    /// Confirming twice is safe.
    OutcomeUnknown,
}

/// An error answer of the API.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ApiError {
    /// What went wrong.
    pub error: String,
    /// Each problem of the request, if there are several to tell apart.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub findings: Vec<String>,
}

/// One model as configured and placed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ModelListing {
    /// The model.
    #[serde(flatten)]
    pub model: Model,
    /// Whether it was deleted and only waits for its replicas to be released.
    pub retiring: bool,
    /// Where it may be loaded.
    pub assignments: Vec<Assignment>,
}

/// One engine in the status.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineStatus {
    /// Its name.
    pub engine: EngineId,
    /// Its zone.
    pub zone: String,
    /// Its owner, if any.
    pub owner: Option<String>,
    /// `live` or `leaving`.
    pub lifecycle: String,
    /// Memory of each accelerator, in MiB.
    pub accelerator_memory_mib: Vec<u64>,
    /// Models assigned to it.
    pub models: Vec<ModelId>,
}

/// One node in the status.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// Its name.
    pub node: String,
    /// Its zone.
    pub zone: String,
    /// Its cell.
    pub cell: String,
    /// `live` or `leaving`.
    pub lifecycle: String,
}

/// What a node knows of the whole system.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The node that answers.
    pub node: String,
    /// Its last applied revision.
    pub revision: Revision,
    /// The coordinator of its cell, if known.
    pub coordinator: Option<String>,
    /// Whether it reached the key-value service lately.
    pub key_value_reachable: bool,
    /// Nodes.
    pub nodes: Vec<NodeStatus>,
    /// Engines.
    pub engines: Vec<EngineStatus>,
}
