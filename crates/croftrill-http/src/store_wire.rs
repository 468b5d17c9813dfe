//! Messages of the key-value store.

use serde::{Deserialize, Serialize};

/// Header of all answers: how often the store has come back from an older copy.
pub const ERA_HEADER: &str = "croftrill-store-era";
/// Reads all items under `prefix` (query).
pub const ITEMS_PATH: &str = "/v1/items";
/// Waits for changes under `prefix` after `after`, up to `wait_ms` (query).
pub const CHANGES_PATH: &str = "/v1/changes";
/// Writes under conditions.
pub const WRITE_PATH: &str = "/v1/write";
/// Grants a lease; with `/NUMBER`: renews (POST) or ends (DELETE) it.
pub const LEASES_PATH: &str = "/v1/leases";
/// Names the store's revision.
pub const REVISION_PATH: &str = "/v1/revision";

/// An item, or a key that was removed.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WireItem {
    /// Key.
    pub key: String,
    /// Value in standard base64; `None`: removed.
    pub value: Option<String>,
    /// Revision of the change.
    pub revision: u64,
}

/// Items, or changes in order.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct WireItems {
    /// The items.
    pub items: Vec<WireItem>,
    /// Revision from which to go on.
    pub revision: u64,
}

/// A key that must stand at a revision.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WireExpectation {
    /// Key.
    pub key: String,
    /// Revision; 0: absent.
    pub revision: u64,
}

/// One key's new value.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WireWrite {
    /// Key.
    pub key: String,
    /// Value in standard base64.
    pub value: String,
    /// Lease; 0: none.
    pub lease: u64,
}

/// Writes that are done all or not at all.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct WireTransaction {
    /// What must hold.
    pub conditions: Vec<WireExpectation>,
    /// What is written.
    pub writes: Vec<WireWrite>,
}

/// Where the store stands, after a write or by itself.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct WireRevision {
    /// The revision.
    pub revision: u64,
}

/// A lease that is asked for.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct WireLeaseRequest {
    /// Time to live, in milliseconds.
    pub time_to_live_ms: u64,
}

/// A lease that was granted.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct WireLease {
    /// Its number.
    pub lease: u64,
}
