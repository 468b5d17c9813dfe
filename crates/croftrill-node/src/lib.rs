//! One node of the serving system.
//!
//! A node takes callers' requests and sends them to replicas, follows the
//! configuration and the list of replicas in a key-value store, and may hold
//! the lease under which orders are given. It runs on one thread: control state
//! is never shared, and a node has only part of a core.
//!
//! What the surroundings speak is behind the traits of [`ports`].

pub mod broken_requests;
pub mod clock;
pub mod connection;
pub mod cooldown_header;
pub mod counted_store;
pub mod crash_reports;
pub(crate) mod crash_trial;
pub(crate) mod crash_watch;
pub mod crash_wire;
pub mod directory;
pub mod era_store;
pub mod front;
pub mod limit_header;
pub mod link;
pub mod load_header;
pub mod load_updates;
pub mod logging;
pub mod membership;
pub mod metrics;
pub mod node;
pub mod orderer_task;
pub mod peer;
pub mod peer_link;
pub mod ports;
pub mod quota;
pub(crate) mod replica_reservation;
pub(crate) mod replica_signals;
pub mod request;
pub mod runtime;
pub mod settings;
pub mod step_times;
pub mod store_era;
pub mod stream;
pub mod tree;
pub mod wire;
