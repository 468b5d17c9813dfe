//! The weight store over HTTP.

use super::caller::{HttpCaller, HttpEndpoint};
use crate::weight_store::{WeightStore, WeightStoreError, WeightStoreLimits};
use crate::wire::weight_store::LIMITS_PATH;
use async_trait::async_trait;

/// Adapter of [`WeightStore`].
pub struct HttpWeightStore {
    caller: HttpCaller,
}

impl HttpWeightStore {
    /// Makes the adapter; connects only with the first call.
    pub fn new(config: HttpEndpoint) -> Self {
        Self {
            caller: HttpCaller::new(config),
        }
    }
}

#[async_trait]
impl WeightStore for HttpWeightStore {
    async fn limits(&self) -> Result<WeightStoreLimits, WeightStoreError> {
        let answer = self.caller.get(LIMITS_PATH).await;
        let answer = answer.map_err(|error| WeightStoreError(error.into_message()))?;
        if !answer.status.is_success() {
            return Err(WeightStoreError(answer.describe()));
        }
        answer.decode().map_err(WeightStoreError)
    }
}
