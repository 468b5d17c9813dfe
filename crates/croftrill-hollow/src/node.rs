//! One hollow node: the daemon's control parts on a thread of their own.

use crate::counted_platform::{CountedKeyValue, CountedMachineList, PlatformCalls, UnlimitedWeightStore};
use crate::meter::ThreadId;
use crate::platform::Platform;
use crate::population;
use anyhow::{anyhow, Context};
use async_trait::async_trait;
use croftrill_coordination::peer_service::{AttemptCanceller, PlanSource};
use croftrill_coordination::replication::{Replica, ReplicaConfig};
use croftrill_coordination::revision_log::{RevisionLog, RevisionLogConfig};
use croftrill_daemon::{Control, ControlInput, ControlTasks, PeerCalls};
use croftrill_platform::http::{HttpEndpoint, HttpKeyValueService, HttpMachineList};
use croftrill_protocol::peer::ReportOutcome;
use croftrill_settings::{Overrides, Settings};
use croftrill_state::{AttemptId, CellId, NodeId, PlanId};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;

/// Attempts to find a port that is free for TCP and UDP.
const PORT_ATTEMPTS: usize = 50;
/// Longest wait for the tasks at a planned stop.
const STOP_LIMIT: Duration = Duration::from_secs(5);

/// A node that may run, be stopped and be started again at the same address.
#[derive(Clone, Debug)]
pub struct NodeSpec {
    /// Its index.
    pub index: usize,
    /// Its name.
    pub id: NodeId,
    /// Its cell.
    pub cell: CellId,
    /// Its peer service and probes.
    pub address: SocketAddr,
}

impl NodeSpec {
    /// A node at an address.
    pub fn new(index: usize, address: SocketAddr) -> Self {
        Self {
            index,
            id: population::node_id(index),
            cell: population::cell_of(index),
            address,
        }
    }
}

/// Binds a port that is free for both TCP and UDP.
pub fn bind_any() -> anyhow::Result<TcpListener> {
    for _ in 0..PORT_ATTEMPTS {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        if std::net::UdpSocket::bind(listener.local_addr()?).is_ok() {
            return Ok(listener);
        }
    }
    Err(anyhow!("no port is free for both TCP and UDP"))
}

/// A running hollow node.
pub struct HollowNode {
    /// Who it is.
    pub spec: NodeSpec,
    /// Its copy of the log.
    pub replica: Arc<Replica>,
    /// Its control parts.
    pub control: Control,
    /// Its calls to the platform.
    pub calls: Arc<PlatformCalls>,
    /// Its control thread.
    pub thread: ThreadId,
    tasks: ControlTasks,
    crash: CancellationToken,
    joined: JoinHandle<()>,
}

impl HollowNode {
    /// Starts a node on a bound listener.
    pub async fn start(
        spec: NodeSpec,
        listener: TcpListener,
        seeds: &[SocketAddr],
        platform: &Platform,
    ) -> anyhow::Result<HollowNode> {
        listener.set_nonblocking(true)?;
        let settings = settings(spec.index, spec.address, seeds, platform)?;
        let calls = Arc::new(PlatformCalls::default());
        let key_value = Arc::new(CountedKeyValue {
            service: HttpKeyValueService::new(HttpEndpoint {
                call_timeout: settings.timings.key_value_timeout,
                ..HttpEndpoint::new(platform.key_value_address().to_string())
            }),
            calls: calls.clone(),
        });
        let log = RevisionLog::new(key_value.clone(), RevisionLogConfig::default());
        let replica = Arc::new(Replica::new(ReplicaConfig::new(spec.id.clone()), log));
        let input = ControlInput {
            machines: Arc::new(CountedMachineList {
                list: HttpMachineList::new(HttpEndpoint::new(platform.machine_list_address().to_string())),
                calls: calls.clone(),
            }),
            weight_store: Arc::new(UnlimitedWeightStore),
            settings,
            replica: replica.clone(),
            key_value,
            attempts: Arc::new(Nothing),
            plans: Arc::new(Nothing),
            calls: Arc::new(PeerCalls::new()),
            peer_listener: listener,
        };
        let tasks = ControlTasks::default();
        let crash = CancellationToken::new();
        let (sender, receiver) = oneshot::channel();
        let (given_tasks, given_crash) = (tasks.clone(), crash.clone());
        let joined = std::thread::Builder::new()
            .name(spec.id.to_string())
            .spawn(move || run(input, sender, given_tasks, given_crash))
            .context("a control thread cannot be started")?;
        let (control, thread) = receiver.await.context("a control thread ended")??;
        Ok(HollowNode {
            spec,
            replica,
            control,
            calls,
            thread,
            tasks,
            crash,
            joined,
        })
    }

    /// Whether it coordinates its cell, as far as it knows.
    pub fn is_coordinator(&self) -> bool {
        self.control.role.borrow().is_some()
    }

    /// Ends at once, as a machine that fails: nothing is given back or told.
    pub async fn crash(self) {
        self.crash.cancel();
        join(self.joined).await;
    }

    /// A planned stop.
    pub async fn stop(self) {
        self.control.membership.leave();
        self.tasks.stop.cancel();
        join(self.joined).await;
    }

    /// Begins to end without waiting for it; for the end of an experiment.
    pub fn abandon(self) {
        self.crash.cancel();
    }
}

async fn join(thread: JoinHandle<()>) {
    if !matches!(tokio::task::spawn_blocking(|| thread.join()).await, Ok(Ok(()))) {
        log::error!("hollow: a control thread ended badly");
    }
}

fn run(
    input: ControlInput,
    sender: oneshot::Sender<anyhow::Result<(Control, ThreadId)>>,
    tasks: ControlTasks,
    crash: CancellationToken,
) {
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            let _ = sender.send(Err(error.into()));
            return;
        }
    };
    runtime.block_on(async move {
        let started = Control::start(input, tasks.clone()).await;
        let failed = started.is_err();
        if sender
            .send(started.map(|control| (control, ThreadId::current())))
            .is_err()
            || failed
        {
            return;
        }
        tokio::select! {
            () = crash.cancelled() => {}
            () = stopped(&tasks) => {}
        }
    });
}

async fn stopped(tasks: &ControlTasks) {
    tasks.stop.cancelled().await;
    tasks.tracker.close();
    let _ = tokio::time::timeout(STOP_LIMIT, tasks.tracker.wait()).await;
}

/// The settings of a node that listens for peers at an address: every default
/// is the daemon's.
pub fn settings(
    index: usize,
    peers: SocketAddr,
    seeds: &[SocketAddr],
    platform: &Platform,
) -> anyhow::Result<Settings> {
    let unused = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let endpoint = |address| Some(croftrill_settings::HttpEndpoint { address });
    let overrides = Overrides {
        node_id: Some(population::node_id(index).to_string()),
        zone: Some(population::zone_of(index).to_string()),
        cell: Some(population::cell_of(index).to_string()),
        listen_callers: Some(unused),
        listen_operators: Some(unused),
        listen_peers: Some(peers),
        listen_attempts: Some(unused),
        seeds: seeds.to_vec(),
        key_value: endpoint(platform.key_value_address()),
        machine_list: endpoint(platform.machine_list_address()),
        weight_store: endpoint(platform.weight_store_address()),
        ..Overrides::default()
    };
    Settings::load("hollow", "", &overrides).map_err(|findings| anyhow!("{findings}"))
}

/// Stands for the parts that a hollow node does not have.
struct Nothing;

#[async_trait]
impl AttemptCanceller for Nothing {
    async fn cancel(&self, _attempt: AttemptId) -> ReportOutcome {
        ReportOutcome::Recorded
    }
}

#[async_trait]
impl PlanSource for Nothing {
    async fn plan_json(&self, _plan: &PlanId) -> String {
        String::new()
    }
}
