//! The weight store, as the system needs to know it. Engines read checkpoints
//! from it; the system only decides when.

use async_trait::async_trait;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// What the store says of its present state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightStoreLimits {
    /// Loads that it starts a second, in thousandths; 0 if it limits no rate.
    pub loads_per_second_thousandths: u64,
    /// Loads at once that still run at full speed.
    pub concurrent_loads: u32,
    /// Loads running now.
    pub running_loads: u32,
}

/// The store cannot be asked now.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("the weight store cannot be reached: {0}")]
pub struct WeightStoreError(pub String);

/// Calls to the weight store.
#[async_trait]
pub trait WeightStore: Send + Sync {
    /// Its limits.
    async fn limits(&self) -> Result<WeightStoreLimits, WeightStoreError>;
}
