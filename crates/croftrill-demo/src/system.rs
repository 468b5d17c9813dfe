//! The parts of the demo and their addresses.

use crate::operators;
use anyhow::Context;
use croftrill_daemon::Daemon;
use croftrill_platform::machine_list::Machine;
use croftrill_settings::{HttpEndpoint, Overrides, Settings};
use croftrill_standin::{
    Engine, EngineConfig, KeyValue, KeyValueConfig, MachineChange, MachineListConfig, MachineListService,
    RunningEngine, RunningKeyValue, RunningMachineList, RunningWeightStore, WeightStoreConfig,
    WeightStoreService,
};
use croftrill_state::placement::{self, Lifecycle, Node};
use croftrill_state::{CellId, EngineId, FencingToken, NodeId, ZoneId};
use std::net::{Ipv4Addr, SocketAddr};
use tokio::task::JoinSet;

const CELL: &str = "demo";
const ZONES: [&str; 2] = ["zone-a", "zone-b"];
const ACCELERATORS: usize = 2;
const ACCELERATOR_MEMORY_MIB: u64 = 80_000;
const MAX_RUNNING: u32 = 16;
/// Speed of the demo's weight store, in MiB a second: a cold start of a model
/// of 20,000 MiB takes two seconds, long enough to be seen.
const STORE_MIB_PER_SECOND: f64 = 10_000.0;
const STORE_LOADS_PER_SECOND: f64 = 4.0;

/// What an operator does first.
const FIRST_COMMANDS: [&str; 3] = [
    "group create demo --share 1 --yes",
    "model create clause-lookup --memory-mib 30000 --checkpoint-mib 20000 --min-replicas 1 --max-replicas 2 --yes",
    "model create bid-review --memory-mib 60000 --checkpoint-mib 40000 --max-replicas 2 --yes",
];

/// Where the demo listens.
#[derive(Clone, Debug)]
pub struct DemoConfig {
    /// HTTP for callers of the first node.
    pub callers: SocketAddr,
    /// HTTP for operators of the first node.
    pub operators: SocketAddr,
}

impl Default for DemoConfig {
    fn default() -> Self {
        let free = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self {
            callers: free,
            operators: free,
        }
    }
}

/// A whole running system.
pub struct DemoSystem {
    nodes: Vec<Daemon>,
    // Stopped when dropped, so they must outlive the nodes.
    _engines: Vec<RunningEngine>,
    _key_value: RunningKeyValue,
    _machines: RunningMachineList,
    _weight_store: RunningWeightStore,
}

/// The stand-ins that nodes talk to.
struct Platform {
    key_value: RunningKeyValue,
    machines: RunningMachineList,
    weight_store: RunningWeightStore,
}

impl DemoSystem {
    /// Starts everything and creates the demo's group and models.
    pub async fn start(config: DemoConfig) -> anyhow::Result<DemoSystem> {
        let platform = start_platform().await?;
        let mut engines = Vec::new();
        let mut nodes = Vec::new();
        for (index, zone) in ZONES.into_iter().enumerate() {
            engines.push(start_engine(&platform, index, zone).await?);
            let listen = if index == 0 {
                config.clone()
            } else {
                DemoConfig::default()
            };
            nodes.push(start_node(&platform, index, zone, listen, &nodes).await?);
        }
        let first = nodes[0].addresses().operators;
        operators::wait_for_owners(first, ZONES.len()).await?;
        for command in FIRST_COMMANDS {
            operators::run(first, command).await?;
        }
        Ok(DemoSystem {
            nodes,
            _engines: engines,
            _key_value: platform.key_value,
            _machines: platform.machines,
            _weight_store: platform.weight_store,
        })
    }

    /// HTTP for callers of the first node.
    pub fn callers(&self) -> SocketAddr {
        self.nodes[0].addresses().callers
    }

    /// HTTP for operators of the first node.
    pub fn operators(&self) -> SocketAddr {
        self.nodes[0].addresses().operators
    }

    /// A planned stop of all nodes, at once.
    pub async fn stop(self) {
        let mut stops = JoinSet::new();
        for node in self.nodes {
            stops.spawn(node.stop());
        }
        stops.join_all().await;
    }
}

async fn start_platform() -> anyhow::Result<Platform> {
    let store = WeightStoreConfig {
        loads_per_second: STORE_LOADS_PER_SECOND,
        mib_per_second: STORE_MIB_PER_SECOND,
        ..WeightStoreConfig::default()
    };
    Ok(Platform {
        key_value: KeyValue::start(KeyValueConfig::default()).await?,
        machines: MachineListService::start(MachineListConfig::default()).await?,
        weight_store: WeightStoreService::start(store).await?,
    })
}

async fn start_engine(platform: &Platform, index: usize, zone: &str) -> anyhow::Result<RunningEngine> {
    let memory = vec![ACCELERATOR_MEMORY_MIB; ACCELERATORS];
    let engine = Engine::start(EngineConfig {
        accelerator_memory_mib: memory.clone(),
        max_running: MAX_RUNNING,
        weight_store: Some(platform.weight_store.server.address().to_string()),
        ..EngineConfig::default()
    })
    .await?;
    let machine = Machine::Engine(placement::Engine {
        id: EngineId::new(format!("engine-{index}")),
        zone: ZoneId::from(zone),
        cell: CellId::from(CELL),
        address: engine.server.address().to_string(),
        accelerator_memory_mib: memory,
        max_running: MAX_RUNNING,
        owner: None,
        fencing_token: FencingToken::default(),
        lifecycle: Lifecycle::Live,
    });
    platform.machines.change(vec![MachineChange::Put { machine }]);
    Ok(engine)
}

async fn start_node(
    platform: &Platform,
    index: usize,
    zone: &str,
    listen: DemoConfig,
    earlier: &[Daemon],
) -> anyhow::Result<Daemon> {
    let name = format!("node-{index}");
    let free = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let overrides = Overrides {
        node_id: Some(name.clone()),
        zone: Some(zone.to_string()),
        cell: Some(CELL.to_string()),
        listen_callers: Some(listen.callers),
        listen_operators: Some(listen.operators),
        listen_peers: Some(free),
        listen_attempts: Some(free),
        seeds: earlier.iter().map(|node| node.addresses().peers).collect(),
        key_value: Some(endpoint(platform.key_value.server.address())),
        machine_list: Some(endpoint(platform.machines.server.address())),
        weight_store: Some(endpoint(platform.weight_store.server.address())),
        ..Overrides::default()
    };
    let settings = Settings::load("(demo)", "", &overrides);
    let settings = settings.map_err(|findings| anyhow::anyhow!("{findings}"))?;
    let node = Daemon::start(settings)
        .await
        .with_context(|| format!("{name} does not start"))?;
    let addresses = node.addresses();
    let machine = Machine::Node(Node {
        id: NodeId::new(name),
        zone: ZoneId::from(zone),
        cell: CellId::from(CELL),
        peer_address: addresses.peers.to_string(),
        attempt_address: addresses.attempts.to_string(),
        lifecycle: Lifecycle::Live,
    });
    platform.machines.change(vec![MachineChange::Put { machine }]);
    Ok(node)
}

fn endpoint(address: SocketAddr) -> HttpEndpoint {
    HttpEndpoint { address }
}
