//! A whole system of real processes for integration tests.
//!
//! Each test file uses a part of it.
#![allow(dead_code, unused_imports)]

mod caller;
mod cluster;
mod process;
mod waiting;

pub use caller::{Answer, Caller, Completion};
pub use cluster::{Cluster, ClusterPlan, EngineProcess, NodeProcess};
pub use process::Process;
pub use waiting::eventually;
