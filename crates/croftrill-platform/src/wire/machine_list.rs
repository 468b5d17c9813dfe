//! The machine list: one GET.

use crate::machine_list::Machine;
use serde::{Deserialize, Serialize};

/// Answers a [`MachinesAnswer`].
pub const MACHINES_PATH: &str = "/machines";

/// Every machine that the platform believes to exist.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MachinesAnswer {
    /// The machines.
    pub machines: Vec<Machine>,
}
