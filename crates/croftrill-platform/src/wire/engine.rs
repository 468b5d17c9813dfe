//! A model engine: orders and requests by POST, inventory and load by GET.
//!
//! Answers: 200 with the body named at the path; 409 or 429 with a
//! [`super::RefusalBody`] if the call had no effect. A run's answer is a stream
//! of server-sent events, each one [`crate::engine::EngineEvent`] as JSON.

use croftrill_state::{AdapterId, AttemptId, FencingToken, ModelId};
use serde::{Deserialize, Serialize};

/// Takes a [`FenceRequest`], answers a [`crate::engine::Inventory`].
pub const FENCE_PATH: &str = "/fence";
/// Answers a [`crate::engine::Inventory`].
pub const INVENTORY_PATH: &str = "/inventory";
/// Answers a [`LoadReport`].
pub const LOAD_PATH: &str = "/load";
/// Takes a fenced [`crate::engine::LoadModel`], answers an order's outcome.
pub const LOAD_MODEL_PATH: &str = "/orders/load-model";
/// Takes a fenced [`UnloadModel`], answers an order's outcome.
pub const UNLOAD_MODEL_PATH: &str = "/orders/unload-model";
/// Takes a fenced [`crate::engine::LoadAdapter`], answers an order's outcome.
pub const LOAD_ADAPTER_PATH: &str = "/orders/load-adapter";
/// Takes a fenced [`UnloadAdapter`], answers an order's outcome.
pub const UNLOAD_ADAPTER_PATH: &str = "/orders/unload-adapter";
/// Takes a [`crate::engine::EngineRequest`], answers a stream.
pub const RUN_PATH: &str = "/run";
/// Takes a [`CancelRequest`], answers an empty object.
pub const CANCEL_PATH: &str = "/cancel";

/// An order with its owner's token.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FencedOrder<T> {
    /// The token.
    pub fencing_token: FencingToken,
    /// The order.
    pub order: T,
}

/// Raises the engine's highest token.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FenceRequest {
    /// The token.
    pub fencing_token: FencingToken,
}

/// Orders an unload.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct UnloadModel {
    /// The model.
    pub model: ModelId,
}

/// Orders an unload of an adapter.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct UnloadAdapter {
    /// The adapter.
    pub adapter: AdapterId,
}

/// Cancels an attempt.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CancelRequest {
    /// The attempt.
    pub attempt: AttemptId,
}

/// How busy the engine was a while ago.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Age of the report, in milliseconds.
    pub age_millis: u64,
    /// Requests that ran.
    pub running: u32,
    /// Requests that waited inside the engine.
    pub waiting: u32,
    /// Requests that it runs at once.
    pub max_running: u32,
    /// Memory taken on each accelerator, in MiB.
    pub used_memory_mib: Vec<u64>,
}
