//! The owner of engines: one queue, one memory plan and one task for each
//! engine that the log assigned to this node.
//!
//! All requests to an engine pass through its owner. The owner fences the
//! engine with its token, loads what waiting requests need, dispatches in
//! order, and streams the answers back. The decisions are made by the pure
//! state machines `replica_queue` and `engine_memory`; this crate carries them
//! out.
//!
//! Invariants:
//! - every accepted attempt gets exactly one final event;
//! - a refusal says `NotRun` only if the attempt was never handed to an engine,
//!   or the engine itself refused it;
//! - after the loss of an engine no order is given and nothing is dispatched.

mod actor;
mod clock;
mod config;
mod local_load_rate;
mod metrics;
mod ports;
mod runner;
mod service;
mod submission;

pub use config::OwnerConfig;
pub use ports::{EngineConnector, LoadPermits, PermitsUnreachable};
pub use service::{DrainOutcome, OwnerService};
