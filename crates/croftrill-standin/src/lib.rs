//! Stand-ins of the store and of model replicas, and a proxy that injects faults.
//!
//! They speak the product's own wire, keep everything in memory, and run either
//! within a test's process or as processes of their own.

pub mod engine;
pub mod engine_state;
pub mod http_server;
pub mod proxy;
pub mod store;
pub mod store_state;
