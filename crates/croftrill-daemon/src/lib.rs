//! The daemon: wires the parts and nothing else.
//!
//! Control parts (log, membership, claims, coordinator, operators' API) run on
//! the control thread; the gateway and the owner run on the caller's runtime,
//! which is the traffic threads. The two meet in immutable snapshots.

mod claim_start;
pub mod command_line;
mod control;
mod control_metrics;
mod control_thread;
mod daemon;
mod gateway_claims;
pub mod idle_policy;
mod learned_admission;
mod listeners;
pub mod logging;
mod membership;
mod operator_ports;
mod operator_server;
mod owner_ports;
mod peer_calls;
mod peer_parts;
pub mod probe_limits;
mod retry_pause;
pub mod signals;
pub mod store_limits;
mod traffic;

pub use control::{Control, ControlInput};
pub use control_thread::ControlTasks;
pub use daemon::{Daemon, DaemonAddresses};
pub use peer_calls::PeerCalls;
pub use peer_parts::StartedClaims;
