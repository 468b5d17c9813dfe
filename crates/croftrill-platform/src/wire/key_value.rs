//! The key-value service: each call is a POST with a JSON body.
//!
//! Answers: 200 with the body named at the path; 410 if the lease has expired;
//! 429 with a [`super::RefusalBody`]; anything else has an unknown outcome.

use crate::key_value::{LeaseId, StoredValue};
use serde::{Deserialize, Serialize};

/// Takes a [`GetRequest`], answers a [`GetAnswer`].
pub const GET_PATH: &str = "/get";
/// Takes a [`ListRequest`], answers a [`ListAnswer`].
pub const LIST_PATH: &str = "/list";
/// Takes a [`WriteRequest`], answers a [`crate::key_value::WriteOutcome`].
pub const WRITE_PATH: &str = "/write-if";
/// Takes a [`DeleteRequest`], answers a [`crate::key_value::WriteOutcome`].
pub const DELETE_PATH: &str = "/delete-if";
/// Takes a [`GrantRequest`], answers a [`LeaseBody`].
pub const GRANT_PATH: &str = "/leases/grant";
/// Takes and answers a [`LeaseBody`].
pub const RENEW_PATH: &str = "/leases/renew";
/// Takes and answers a [`LeaseBody`].
pub const REVOKE_PATH: &str = "/leases/revoke";
/// Takes a [`WatchRequest`], answers a [`ListAnswer`], perhaps empty.
pub const WATCH_PATH: &str = "/watch";

/// Reads a key.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GetRequest {
    /// The key.
    pub key: String,
}

/// What a key holds.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GetAnswer {
    /// Unset if the key does not exist.
    pub value: Option<StoredValue>,
}

/// Lists keys in order.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ListRequest {
    /// Prefix of the keys.
    pub prefix: String,
    /// The keys sort after this text.
    pub after: String,
    /// Most keys to answer.
    pub limit: u32,
}

/// Keys in order.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ListAnswer {
    /// The keys.
    pub values: Vec<StoredValue>,
}

/// Writes a key.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WriteRequest {
    /// The key.
    pub key: String,
    /// The bytes.
    #[serde(with = "super::base64_bytes")]
    pub value: Vec<u8>,
    /// Its present version, or unset if it must not exist.
    pub expected: Option<u64>,
    /// The lease that it lives with.
    pub lease: Option<LeaseId>,
}

/// Deletes a key.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DeleteRequest {
    /// The key.
    pub key: String,
    /// Its present version.
    pub expected: u64,
}

/// Grants a lease.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GrantRequest {
    /// How long it lives without a renewal, in milliseconds.
    pub ttl_millis: u64,
}

/// Names a lease.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LeaseBody {
    /// The lease.
    pub lease: LeaseId,
}

/// Waits for a key.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WatchRequest {
    /// Prefix of the keys.
    pub prefix: String,
    /// The keys sort after this text.
    pub after: String,
    /// Longest wait, in milliseconds.
    pub wait_millis: u64,
}
