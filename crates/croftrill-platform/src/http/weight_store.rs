//! The weight store over HTTP.

use super::caller::{HttpCaller, HttpEndpoint};
use crate::weight_store::{WeightStore, WeightStoreError, WeightStoreLimits};
use crate::wire::weight_store::{CheckpointRead, CHECKPOINTS_PATH, LIMITS_PATH};
use crate::wire::RefusalBody;
use async_trait::async_trait;
use http::StatusCode;
use std::time::Duration;

/// Longest read of a checkpoint.
const READ_TIMEOUT: Duration = Duration::from_secs(3600);

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

    /// Reads a checkpoint, as engines do; returns when the read is complete.
    pub async fn read_checkpoint(&self, read: &CheckpointRead) -> Result<ReadOutcome, WeightStoreError> {
        let answer = self
            .caller
            .post_waiting(CHECKPOINTS_PATH, read, READ_TIMEOUT)
            .await;
        let answer = answer.map_err(|error| WeightStoreError(error.into_message()))?;
        match answer.status {
            StatusCode::OK => Ok(ReadOutcome::Complete),
            StatusCode::TOO_MANY_REQUESTS => {
                let body: RefusalBody = answer.decode().map_err(WeightStoreError)?;
                Ok(ReadOutcome::RateLimited {
                    retry_after_millis: body.retry_after_millis,
                })
            }
            _ => Err(WeightStoreError(answer.describe())),
        }
    }
}

/// Result of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// The whole checkpoint was read.
    Complete,
    /// The store did not start it.
    RateLimited {
        /// When to try again.
        retry_after_millis: u64,
    },
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
