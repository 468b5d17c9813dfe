//! The key-value service over HTTP.

use super::caller::{Answer, CallError, HttpCaller, HttpEndpoint};
use crate::key_value::{KeyValueError, KeyValueService, LeaseId, StoredValue, WriteOutcome};
use crate::wire::key_value as wire;
use crate::wire::RefusalBody;
use async_trait::async_trait;
use http::StatusCode;
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::time::Duration;

/// Adapter of [`KeyValueService`].
pub struct HttpKeyValueService {
    caller: HttpCaller,
}

impl HttpKeyValueService {
    /// Makes the adapter; connects only with the first call.
    pub fn new(config: HttpEndpoint) -> Self {
        Self {
            caller: HttpCaller::new(config),
        }
    }

    async fn call<Q: Serialize, A: DeserializeOwned>(
        &self,
        path: &str,
        body: &Q,
    ) -> Result<A, KeyValueError> {
        self.call_waiting(path, body, Duration::ZERO).await
    }

    async fn call_waiting<Q: Serialize, A: DeserializeOwned>(
        &self,
        path: &str,
        body: &Q,
        extra: Duration,
    ) -> Result<A, KeyValueError> {
        let answer = self
            .caller
            .post_waiting(path, body, extra)
            .await
            .map_err(no_answer)?;
        if answer.status == StatusCode::OK {
            // An effect may stand behind an answer that cannot be read.
            return answer.decode().map_err(KeyValueError::OutcomeUnknown);
        }
        Err(refusal(answer))
    }
}

fn no_answer(error: CallError) -> KeyValueError {
    match error {
        CallError::NotSent(message) => KeyValueError::Unreachable(message),
        CallError::Unanswered(message) => KeyValueError::OutcomeUnknown(message),
    }
}

fn refusal(answer: Answer) -> KeyValueError {
    match answer.status {
        StatusCode::TOO_MANY_REQUESTS => {
            let body: RefusalBody = answer.decode().unwrap_or_default();
            KeyValueError::RateLimited {
                retry_after_millis: body.retry_after_millis,
            }
        }
        StatusCode::GONE => KeyValueError::LeaseExpired,
        status if status.is_client_error() => KeyValueError::Protocol(answer.describe()),
        _ => KeyValueError::OutcomeUnknown(answer.describe()),
    }
}

#[async_trait]
impl KeyValueService for HttpKeyValueService {
    async fn get(&self, key: &str) -> Result<Option<StoredValue>, KeyValueError> {
        let request = wire::GetRequest { key: key.to_string() };
        let answer: wire::GetAnswer = self.call(wire::GET_PATH, &request).await?;
        Ok(answer.value)
    }

    async fn list(&self, prefix: &str, after: &str, limit: u32) -> Result<Vec<StoredValue>, KeyValueError> {
        let request = wire::ListRequest {
            prefix: prefix.to_string(),
            after: after.to_string(),
            limit,
        };
        let answer: wire::ListAnswer = self.call(wire::LIST_PATH, &request).await?;
        Ok(answer.values)
    }

    async fn write_if(
        &self,
        key: &str,
        value: Vec<u8>,
        expected: Option<u64>,
        lease: Option<LeaseId>,
    ) -> Result<WriteOutcome, KeyValueError> {
        let request = wire::WriteRequest {
            key: key.to_string(),
            value,
            expected,
            lease,
        };
        self.call(wire::WRITE_PATH, &request).await
    }

    async fn delete_if(&self, key: &str, expected: u64) -> Result<WriteOutcome, KeyValueError> {
        let request = wire::DeleteRequest {
            key: key.to_string(),
            expected,
        };
        self.call(wire::DELETE_PATH, &request).await
    }

    async fn grant_lease(&self, ttl_millis: u64) -> Result<LeaseId, KeyValueError> {
        let request = wire::GrantRequest { ttl_millis };
        let answer: wire::LeaseBody = self.call(wire::GRANT_PATH, &request).await?;
        Ok(answer.lease)
    }

    async fn renew_lease(&self, lease: LeaseId) -> Result<(), KeyValueError> {
        let request = wire::LeaseBody { lease };
        let _: wire::LeaseBody = self.call(wire::RENEW_PATH, &request).await?;
        Ok(())
    }

    async fn revoke_lease(&self, lease: LeaseId) -> Result<(), KeyValueError> {
        let request = wire::LeaseBody { lease };
        let _: wire::LeaseBody = self.call(wire::REVOKE_PATH, &request).await?;
        Ok(())
    }

    async fn watch(
        &self,
        prefix: &str,
        after: &str,
        wait_millis: u64,
    ) -> Result<Vec<StoredValue>, KeyValueError> {
        let request = wire::WatchRequest {
            prefix: prefix.to_string(),
            after: after.to_string(),
            wait_millis,
        };
        let extra = Duration::from_millis(wait_millis);
        let answer: wire::ListAnswer = self.call_waiting(wire::WATCH_PATH, &request, extra).await?;
        Ok(answer.values)
    }
}
