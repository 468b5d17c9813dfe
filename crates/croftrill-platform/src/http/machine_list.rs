//! The machine list over HTTP.

use super::caller::{HttpCaller, HttpEndpoint};
use crate::machine_list::{Machine, MachineList, MachineListError};
use crate::wire::machine_list::{MachinesAnswer, MACHINES_PATH};
use async_trait::async_trait;

/// Adapter of [`MachineList`].
pub struct HttpMachineList {
    caller: HttpCaller,
}

impl HttpMachineList {
    /// Makes the adapter; connects only with the first call.
    pub fn new(config: HttpEndpoint) -> Self {
        Self {
            caller: HttpCaller::new(config),
        }
    }
}

#[async_trait]
impl MachineList for HttpMachineList {
    async fn machines(&self) -> Result<Vec<Machine>, MachineListError> {
        let answer = self.caller.get(MACHINES_PATH).await;
        let answer = answer.map_err(|error| MachineListError(error.into_message()))?;
        if !answer.status.is_success() {
            return Err(MachineListError(answer.describe()));
        }
        let body: MachinesAnswer = answer.decode().map_err(MachineListError)?;
        Ok(body.machines)
    }
}
