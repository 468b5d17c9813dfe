//! Paths, headers and messages of the key-value store.

use serde::{Deserialize, Serialize};

/// Header of all responses: how often the store has been restored from an older copy.
pub const ERA_HEADER: &str = "croftrill-store-era";
/// Reads all items under `prefix` (query).
pub const ITEMS_PATH: &str = "/v1/items";
/// Waits up to `wait_ms` for changes under `prefix` after revision `after` (query).
pub const CHANGES_PATH: &str = "/v1/changes";
/// Executes a conditional write ([`WireTransaction`]).
pub const WRITE_PATH: &str = "/v1/write";
/// Grants a lease; with `/NUMBER`: renews (POST) or ends (DELETE) it.
pub const LEASES_PATH: &str = "/v1/leases";
/// Returns the store's revision.
pub const REVISION_PATH: &str = "/v1/revision";

/// An item or the removal of one.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WireItem {
    /// Key.
    pub key: String,
    /// Value in standard base64; `None` if the key was removed.
    pub value: Option<String>,
    /// Revision of the change.
    pub revision: u64,
}

/// The items under a prefix, or changes in order of their revisions.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct WireItems {
    /// The items or changes.
    pub items: Vec<WireItem>,
    /// Revision from which a watch continues.
    pub revision: u64,
}

/// Condition that a key is at a revision.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WireExpectation {
    /// Key.
    pub key: String,
    /// Revision of the key's last change; 0 if the key must be absent.
    pub revision: u64,
}

/// A new value of one key.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WireWrite {
    /// Key.
    pub key: String,
    /// Value in standard base64.
    pub value: String,
    /// Lease with which the key expires; 0 for none.
    pub lease: u64,
}

/// Writes that are applied atomically.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct WireTransaction {
    /// Conditions that must all hold for the writes to be applied.
    pub conditions: Vec<WireExpectation>,
    /// New values.
    pub writes: Vec<WireWrite>,
}

/// The store's revision, after a write or at the time of the request.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct WireRevision {
    /// The revision.
    pub revision: u64,
}

/// A request for a lease.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct WireLeaseRequest {
    /// Time to live, in milliseconds.
    pub time_to_live_ms: u64,
}

/// A granted lease.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct WireLease {
    /// Number of the lease.
    pub lease: u64,
}
