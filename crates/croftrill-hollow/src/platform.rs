//! The platform's stand-ins, on a thread of their own.

use crate::meter::ThreadId;
use anyhow::Context;
use croftrill_platform::machine_list::Machine;
use croftrill_standin::{
    KeyValue, KeyValueConfig, MachineChange, MachineListConfig, MachineListService, RunningKeyValue,
    RunningMachineList, RunningWeightStore, WeightStoreConfig, WeightStoreService,
};
use std::net::SocketAddr;
use std::thread::JoinHandle;
use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;

/// Running stand-ins of the key-value service, the machine list and the weight
/// store.
pub struct Platform {
    /// The key-value service.
    pub key_value: RunningKeyValue,
    /// The machine list.
    pub machines: RunningMachineList,
    /// The weight store.
    pub weight_store: RunningWeightStore,
    /// The thread that all run on.
    pub thread: ThreadId,
    stop: CancellationToken,
    joined: Option<JoinHandle<()>>,
}

impl Platform {
    /// Starts all with nothing in them.
    pub async fn start() -> anyhow::Result<Platform> {
        let stop = CancellationToken::new();
        let stopped = stop.clone();
        let (sender, receiver) = oneshot::channel();
        let joined = std::thread::Builder::new()
            .name("platform".to_string())
            .spawn(move || run(sender, stopped))
            .context("the platform's thread cannot be started")?;
        let started = receiver.await.context("the platform's thread ended")??;
        Ok(Platform {
            key_value: started.key_value,
            machines: started.machines,
            weight_store: started.weight_store,
            thread: started.thread,
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

    /// Where the weight store listens.
    pub fn weight_store_address(&self) -> SocketAddr {
        self.weight_store.server.address()
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

struct Started {
    key_value: RunningKeyValue,
    machines: RunningMachineList,
    weight_store: RunningWeightStore,
    thread: ThreadId,
}

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
    Ok(Started {
        key_value: KeyValue::start(KeyValueConfig::default()).await?,
        machines: MachineListService::start(MachineListConfig::default()).await?,
        weight_store: WeightStoreService::start(WeightStoreConfig::default()).await?,
        thread: ThreadId::current(),
    })
}
