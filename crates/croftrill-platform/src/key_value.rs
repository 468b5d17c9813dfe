//! The key-value service: compare-and-swap, leases, watches.

use async_trait::async_trait;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// A stored value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredValue {
    /// The key.
    pub key: String,
    /// The bytes.
    #[serde(with = "crate::wire::base64_bytes")]
    pub value: Vec<u8>,
    /// Changes with each write of the key; used for compare-and-swap.
    pub version: u64,
}

/// A lease granted by the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LeaseId(pub u64);

/// Result of a conditional write.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WriteOutcome {
    /// Written; the new version.
    Written(u64),
    /// The condition did not hold; what is there now, if anything.
    Conflict(Option<StoredValue>),
}

/// Why a call failed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum KeyValueError {
    /// The call did not reach the service; it had no effect.
    #[error("the key-value service cannot be reached: {0}")]
    Unreachable(String),
    /// The answer was lost; the call may have had its effect.
    #[error("the answer of the key-value service was lost: {0}")]
    OutcomeUnknown(String),
    /// Refused without effect.
    #[error("the key-value service limits our rate; next try in {retry_after_millis} ms")]
    RateLimited {
        /// When to try again.
        retry_after_millis: u64,
    },
    /// The lease is not known (any more).
    #[error("the lease has expired")]
    LeaseExpired,
    /// The service broke its protocol.
    #[error("unexpected answer of the key-value service: {0}")]
    Protocol(String),
}

/// Calls to the key-value service.
#[async_trait]
pub trait KeyValueService: Send + Sync {
    /// Reads a key.
    async fn get(&self, key: &str) -> Result<Option<StoredValue>, KeyValueError>;
    /// Lists keys with a prefix that sort after `after`, in order.
    async fn list(&self, prefix: &str, after: &str, limit: u32) -> Result<Vec<StoredValue>, KeyValueError>;
    /// Writes a key if its version is `expected` (`None`: if it does not
    /// exist). With a lease, the key vanishes when the lease ends.
    async fn write_if(
        &self,
        key: &str,
        value: Vec<u8>,
        expected: Option<u64>,
        lease: Option<LeaseId>,
    ) -> Result<WriteOutcome, KeyValueError>;
    /// Deletes a key if its version is `expected`.
    async fn delete_if(&self, key: &str, expected: u64) -> Result<WriteOutcome, KeyValueError>;
    /// Grants a lease.
    async fn grant_lease(&self, ttl_millis: u64) -> Result<LeaseId, KeyValueError>;
    /// Keeps a lease alive.
    async fn renew_lease(&self, lease: LeaseId) -> Result<(), KeyValueError>;
    /// Ends a lease, with its keys.
    async fn revoke_lease(&self, lease: LeaseId) -> Result<(), KeyValueError>;
    /// Waits until a key with the prefix is written that sorts after `after`,
    /// or until the time is up (then the list is empty).
    async fn watch(
        &self,
        prefix: &str,
        after: &str,
        wait_millis: u64,
    ) -> Result<Vec<StoredValue>, KeyValueError>;
}
