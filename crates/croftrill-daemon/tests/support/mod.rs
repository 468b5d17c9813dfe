//! A whole system of real processes for integration tests.
//!
//! Each test file uses a part of it.
#![allow(dead_code, unused_imports)]

mod caller;
mod cluster;
mod control_view;
mod ports;
mod process;
mod readiness;
mod reconciliation;
mod steady_callers;
mod traffic;
mod waiting;

pub use caller::{Answer, Caller, Completion};
pub use cluster::{Cluster, ClusterPlan, EngineProcess, NodeProcess};
pub use control_view::{NodeHttp, StatusSample, MODEL_OPTIONS, SHORT_TIMINGS};
pub use process::Process;
pub use readiness::wait_ready;
pub use reconciliation::{Counts, Fate, Reconciliation, Sent};
pub use steady_callers::SteadyCallers;
pub use traffic::{
    quick_plan, wait_served, wait_streaming, warm_up, Burst, QUICK_SETTINGS, SMALL_CHECKPOINT, TWO_REPLICAS,
};
pub use waiting::eventually;
