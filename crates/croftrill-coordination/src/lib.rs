//! Agreement between the nodes: the revision log over the key-value service and
//! its replication, the coordinator's lease, membership, claims, load permits.
//!
//! Everything here runs on the control thread. It publishes immutable
//! [`croftrill_state::ClusterState`] snapshots; traffic threads only read those.

pub mod claim_service;
pub mod coordinator;
pub mod load_permits;
pub mod membership_driver;
pub mod peer_service;
pub mod replication;
pub mod revision_log;
