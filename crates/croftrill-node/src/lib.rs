//! A node of the serving system.
//!
//! A node accepts callers' requests and sends them to replicas, follows the
//! configuration and the list of replicas in a key-value store, and may hold
//! the lease of an orderer, which authorizes orders to replicas. It runs on one
//! thread: control state needs no locks, and a node has only part of a core.
//!
//! The protocols of the platform are implemented behind the traits of [`ports`].

pub mod answer_budget;
pub mod answer_reader;
pub mod auxiliary_server;
pub mod body_reader;
mod brittle_reports;
pub mod broken_requests;
pub(crate) mod caller_stream;
pub mod clock;
pub mod close_hook;
pub mod configuration;
pub mod connection;
pub(crate) mod connection_guard;
pub mod connector;
pub mod cooldown_header;
pub mod counted_store;
pub mod crash_reports;
pub(crate) mod crash_trial;
pub(crate) mod crash_watch;
pub mod crash_wire;
pub mod directory;
pub mod era_store;
pub mod events;
pub(crate) mod eviction;
pub mod front;
pub(crate) mod keep_alive_header;
pub mod limit_header;
pub mod link;
pub mod load_header;
pub mod load_updates;
pub mod logging;
pub mod membership;
pub(crate) mod memory;
mod message_room;
pub mod metrics;
pub mod node;
pub mod orderer_task;
pub mod peer;
pub mod peer_link;
pub(crate) mod port_connections;
pub mod ports;
pub mod quota;
pub mod rejection_header;
pub(crate) mod replica_path;
pub(crate) mod replica_reservation;
pub(crate) mod replica_signals;
pub(crate) mod replica_versions;
pub mod request;
pub mod runtime;
pub(crate) mod service_places;
pub mod settings;
pub mod step_times;
pub mod store_era;
pub mod stored_streams;
pub mod stored_versions;
pub mod stream;
pub(crate) mod stream_versions;
pub mod tree;
pub mod wire;
