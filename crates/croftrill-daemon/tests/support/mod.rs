//! A whole system of real processes for integration tests.
//!
//! Each test file uses a part of it.
#![allow(dead_code, unused_imports)]

mod caller;
mod cluster;
mod process;
mod reconciliation;
mod traffic;
mod waiting;

pub use caller::{Answer, Caller, Completion};
pub use cluster::{Cluster, ClusterPlan, EngineProcess, NodeProcess};
pub use process::Process;
pub use reconciliation::{Counts, Fate, Reconciliation, Sent};
pub use traffic::{quick_plan, wait_served, wait_streaming, warm_up, Burst, MODEL_OPTIONS, QUICK_SETTINGS};
pub use waiting::eventually;
