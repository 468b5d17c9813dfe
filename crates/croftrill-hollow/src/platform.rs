//! The platform's stand-ins, on a thread of their own.

use crate::meter::ThreadId;
use anyhow::Context;
use croftrill_platform::machine_list::Machine;
use croftrill_standin::{
    KeyValue, KeyValueConfig, MachineChange, MachineListConfig, MachineListService, RunningKeyValue,
    RunningMachineList,
};
use std::net::SocketAddr;
use std::thread::JoinHandle;
use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;

/// Running stand-ins of the key-value service and the machine list.
pub struct Platform {
    /// The key-value service.
    pub key_value: RunningKeyValue,
    /// The machine list.
    pub machines: RunningMachineList,
    /// The thread that both run on.
    pub thread: ThreadId,
    stop: CancellationToken,
    joined: Option<JoinHandle<()>>,
}

impl Platform {
    /// Starts both with nothing in them.
    pub async fn start() -> anyhow::Result<Platform> {
        let stop = CancellationToken::new();
        let stopped = stop.clone();
        let (sender, receiver) = oneshot::channel();
        let joined = std::thread::Builder::new()
            .name("platform".to_string())
            .spawn(move || run(sender, stopped))
            .context("the platform's thread cannot be started")?;
        let (key_value, machines, thread) = receiver.await.context("the platform's thread ended")??;
        Ok(Platform {
            key_value,
            machines,
            thread,
            stop,
            joined: Some(joined),
        })
    }

    /// Where the key-value service listens.
    pub fn key_value_address(&self) -> SocketAddr {
        self.key_value.server.address()
    }

    /// Where the machine list listens.
    pub fn machine_list_address(&self) -> SocketAddr {
        self.machines.server.address()
    }

    /// Adds or replaces machines.
    pub fn put_machines(&self, machines: Vec<Machine>) {
        let changes = machines.into_iter().map(|machine| MachineChange::Put { machine });
        self.machines.change(changes.collect());
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        self.stop.cancel();
        if let Some(thread) = self.joined.take() {
            let _ = thread.join();
        }
    }
}

type Started = (RunningKeyValue, RunningMachineList, ThreadId);

fn run(sender: oneshot::Sender<anyhow::Result<Started>>, stop: CancellationToken) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => {
            let _ = sender.send(Err(error.into()));
            return;
        }
    };
    runtime.block_on(async {
        let _ = sender.send(start().await);
        stop.cancelled().await;
    });
}

async fn start() -> anyhow::Result<Started> {
    let key_value = KeyValue::start(KeyValueConfig::default()).await?;
    let machines = MachineListService::start(MachineListConfig::default()).await?;
    Ok((key_value, machines, ThreadId::current()))
}
