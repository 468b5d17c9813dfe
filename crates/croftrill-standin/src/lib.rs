//! Stand-ins for the store and for model replicas, and a fault-injecting proxy.
//!
//! They use Croftrill's own protocols, hold all state in memory, and run either
//! inside a test process or as separate processes.

pub mod answer_ends;
pub mod engine;
pub mod engine_state;
pub mod http_server;
pub mod proxy;
pub mod store;
pub mod store_state;
