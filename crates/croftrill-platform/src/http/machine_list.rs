//! The machine list over HTTP. An unchanged list is not sent again.

use super::caller::{Answer, HttpCaller, HttpEndpoint};
use crate::machine_list::{Machine, MachineList, MachineListError};
use crate::wire::machine_list::{MachinesAnswer, MACHINES_PATH};
use async_trait::async_trait;
use http::header::HeaderValue;
use http::StatusCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Adapter of [`MachineList`].
pub struct HttpMachineList {
    caller: HttpCaller,
    known: Mutex<Option<KnownList>>,
    body_bytes: AtomicU64,
}

/// The last list whose version the service told.
struct KnownList {
    etag: HeaderValue,
    machines: Vec<Machine>,
}

impl HttpMachineList {
    /// Makes the adapter; connects only with the first call.
    pub fn new(config: HttpEndpoint) -> Self {
        Self {
            caller: HttpCaller::new(config),
            known: Mutex::default(),
            body_bytes: AtomicU64::new(0),
        }
    }

    /// Bytes of the bodies of all answers so far.
    pub fn body_bytes(&self) -> u64 {
        self.body_bytes.load(Ordering::Relaxed)
    }

    fn take_in(&self, answer: &Answer) -> Result<Vec<Machine>, MachineListError> {
        if answer.status == StatusCode::NOT_MODIFIED {
            let known = self.known();
            let machines = known.as_ref().map(|known| known.machines.clone());
            return machines.ok_or_else(|| MachineListError(answer.describe()));
        }
        if !answer.status.is_success() {
            return Err(MachineListError(answer.describe()));
        }
        let body: MachinesAnswer = answer.decode().map_err(MachineListError)?;
        *self.known() = answer.etag.clone().map(|etag| KnownList {
            etag,
            machines: body.machines.clone(),
        });
        Ok(body.machines)
    }

    fn known(&self) -> MutexGuard<'_, Option<KnownList>> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[async_trait]
impl MachineList for HttpMachineList {
    async fn machines(&self) -> Result<Vec<Machine>, MachineListError> {
        let etag = self.known().as_ref().map(|known| known.etag.clone());
        let answer = self.caller.get_if_changed(MACHINES_PATH, etag).await;
        let answer = answer.map_err(|error| MachineListError(error.into_message()))?;
        self.body_bytes
            .fetch_add(answer.body_bytes() as u64, Ordering::Relaxed);
        self.take_in(&answer)
    }
}
