//! The machine list: one GET. The answer may carry an `ETag`; a GET whose
//! `If-None-Match` names the present one is then answered by 304 without a body.

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
