//! Hollow nodes: the control parts of many daemons in one process, to measure
//! what control costs at sizes that one machine cannot run as real processes.
//!
//! A hollow node is the very `Control` of the daemon on a control thread of its
//! own (log, membership, claims, coordinator, peer service), over loopback,
//! without gateway, owner and operators' API. The platform's key-value service
//! and machine list are the stand-ins, on a thread of their own, so that their
//! processor time is told apart.

pub mod built_state;
pub mod caller;
pub mod cluster;
pub mod command_line;
pub mod counted_platform;
pub mod experiments;
pub mod meter;
pub mod named_runtime;
pub mod node;
pub mod platform;
pub mod population;
pub mod report;
pub mod usage;
