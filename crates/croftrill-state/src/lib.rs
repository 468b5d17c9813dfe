//! Pure state of croftrill: no I/O, no clock, no threads.
//!
//! Every state machine here takes events and the current time as arguments and
//! returns the actions to perform. The drivers in the other crates own the
//! sockets and the clocks. This is what makes the promises testable: property
//! tests drive these types through arbitrary failures.

pub mod checked_message;
pub mod claims;
pub mod cluster;
pub mod configuration;
pub mod engine_memory;
mod engine_owners;
pub mod entry;
pub mod identifiers;
pub mod load_admission;
pub mod membership;
mod occupancy;
pub mod outcome;
pub mod placement;
pub mod planner;
pub mod reconcile;
pub mod rendezvous;
pub mod replica_queue;
pub mod retry_budget;
pub mod stream_assembly;
pub mod time;

pub use cluster::ClusterState;
pub use identifiers::*;
pub use time::Instant;
