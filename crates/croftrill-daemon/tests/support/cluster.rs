//! A whole system: stand-ins of the platform, engines, nodes.

use super::ports::stable_address;
use super::{eventually, wait_ready, Caller, Process};
use croftrill_platform::machine_list::Machine;
use croftrill_standin::control::{FAULTS_PATH, LEDGER_PATH, MACHINES_PATH, MODE_PATH};
use croftrill_standin::{ControlClient, EngineFaults, EngineLedger, MachineChange, ProxyMode};
use croftrill_state::placement::{Engine, Lifecycle, Node};
use croftrill_state::{CellId, EngineId, FencingToken, NodeId, ZoneId};
use std::process::{Command, Output};
use std::sync::atomic::{AtomicU32, Ordering};

/// Memory of each accelerator of a test's engine, in MiB.
const ACCELERATOR_MEMORY_MIB: u64 = 80_000;
/// Accelerators of a test's engine.
const ACCELERATORS: usize = 2;
/// Requests that a test's engine runs at once.
const MAX_RUNNING: u32 = 16;
/// The cell of all machines of a test.
const CELL: &str = "cell-1";
/// Clusters that this test process has started.
static CLUSTERS: AtomicU32 = AtomicU32::new(0);

/// What to start.
#[derive(Clone, Debug)]
pub struct ClusterPlan {
    /// Nodes.
    pub nodes: usize,
    /// Engines.
    pub engines: usize,
    /// Further flags of each engine.
    pub engine_flags: Vec<String>,
    /// Further flags of the key-value service.
    pub key_value_flags: Vec<String>,
    /// Further flags of the weight store.
    pub weight_store_flags: Vec<String>,
    /// Further lines of each node's settings.
    pub settings: String,
    /// Lag of the machine list, in milliseconds.
    pub machine_list_lag_millis: u64,
    /// Whether nodes reach each engine through a fault-injecting proxy.
    pub engine_proxies: bool,
    /// Whether each node reaches the key-value service through a proxy of its
    /// own.
    pub key_value_proxies: bool,
}

impl Default for ClusterPlan {
    fn default() -> Self {
        Self {
            nodes: 2,
            engines: 2,
            engine_flags: Vec::new(),
            key_value_flags: Vec::new(),
            weight_store_flags: Vec::new(),
            settings: String::new(),
            machine_list_lag_millis: 0,
            engine_proxies: false,
            key_value_proxies: false,
        }
    }
}

/// A running engine.
pub struct EngineProcess {
    /// Its name.
    pub id: EngineId,
    /// The process.
    pub process: Process,
    /// Its control paths.
    pub control: ControlClient,
    /// The proxy before it, if the plan asks for proxies.
    pub proxy: Option<Process>,
}

impl EngineProcess {
    /// Sets the faults in force.
    pub async fn set_faults(&self, faults: EngineFaults) {
        self.control
            .post(FAULTS_PATH, &faults)
            .await
            .expect("the engine takes faults");
    }

    /// Sets what its proxy does.
    pub async fn set_proxy_mode(&self, mode: ProxyMode) {
        let proxy = self.proxy.as_ref().expect("the plan asks for proxies");
        ControlClient::new(proxy.address("control"))
            .post(MODE_PATH, &mode)
            .await
            .expect("the proxy takes a mode");
    }

    /// What it did, by its own record.
    pub async fn ledger(&self) -> EngineLedger {
        self.control.get(LEDGER_PATH).await.expect("the engine's ledger")
    }
}

/// A running node.
pub struct NodeProcess {
    /// Its name.
    pub id: NodeId,
    /// The process.
    pub process: Process,
    /// The proxy between it and the key-value service, if asked for.
    pub key_value_proxy: Option<Process>,
}

impl NodeProcess {
    /// A caller beside it.
    pub fn caller(&self) -> Caller {
        Caller::new(self.process.address("callers"))
    }

    /// Its operators' address.
    pub fn operators(&self) -> String {
        self.process.address("operators")
    }
}

/// A whole running system.
pub struct Cluster {
    pub(super) plan: ClusterPlan,
    /// Tells apart the clusters of one test process.
    number: u32,
    /// The key-value service.
    pub key_value: Process,
    /// Its control paths.
    pub key_value_control: ControlClient,
    /// The weight store.
    pub weight_store: Process,
    /// The machine list.
    pub machine_list: Process,
    /// The machine list's control paths.
    pub machines: ControlClient,
    /// Engines.
    pub engines: Vec<EngineProcess>,
    /// Nodes.
    pub nodes: Vec<NodeProcess>,
}

impl Cluster {
    /// Starts everything and waits until each node knows each engine's owner.
    pub async fn start(plan: ClusterPlan) -> Cluster {
        let key_value = standin("key-value", &plan.key_value_flags);
        let weight_store = standin("weight-store", &plan.weight_store_flags);
        let lag = plan.machine_list_lag_millis.to_string();
        let machine_list = standin("machine-list", &["--lag-millis".to_string(), lag]);
        let mut cluster = Cluster {
            key_value_control: ControlClient::new(key_value.address("address")),
            machines: ControlClient::new(machine_list.address("address")),
            key_value,
            weight_store,
            machine_list,
            engines: Vec::new(),
            nodes: Vec::new(),
            plan,
            number: CLUSTERS.fetch_add(1, Ordering::Relaxed),
        };
        for index in 0..cluster.plan.engines {
            cluster.start_engine(&format!("engine-{index}")).await;
        }
        for index in 0..cluster.plan.nodes {
            cluster.start_node(&format!("node-{index}")).await;
        }
        cluster.wait_ready().await;
        cluster
    }

    /// Starts one more engine.
    pub async fn start_engine(&mut self, name: &str) {
        let mut flags = vec![
            "--accelerators".to_string(),
            ACCELERATORS.to_string(),
            "--accelerator-memory-mib".to_string(),
            ACCELERATOR_MEMORY_MIB.to_string(),
            "--max-running".to_string(),
            MAX_RUNNING.to_string(),
            "--weight-store".to_string(),
            self.weight_store.address("address"),
        ];
        flags.extend(self.plan.engine_flags.iter().cloned());
        let process = standin("engine", &flags);
        let control = ControlClient::new(process.address("address"));
        let proxy = self.plan.engine_proxies.then(|| proxy_of(&process));
        let address = proxy.as_ref().unwrap_or(&process).address("address");
        let engine = Engine {
            id: EngineId::from(name),
            zone: ZoneId::from("zone-a"),
            cell: CellId::from(CELL),
            address,
            accelerator_memory_mib: vec![ACCELERATOR_MEMORY_MIB; ACCELERATORS],
            max_running: MAX_RUNNING,
            owner: None,
            fencing_token: FencingToken(0),
            lifecycle: Lifecycle::Live,
        };
        self.change_machine(MachineChange::Put {
            machine: Machine::Engine(engine),
        })
        .await;
        self.engines.push(EngineProcess {
            id: EngineId::from(name),
            process,
            control,
            proxy,
        });
    }

    /// Starts one more node and puts it on the machine list.
    pub async fn start_node(&mut self, name: &str) {
        let key_value_proxy = self.plan.key_value_proxies.then(|| {
            let upstream = self.key_value.address("address");
            standin("proxy", &["--upstream".to_string(), upstream])
        });
        let proxy = key_value_proxy.as_ref().unwrap_or(&self.key_value);
        let key_value = proxy.address("address");
        let process = Process::start("croftrilld", name, &self.node_flags(name, &key_value, None));
        wait_ready(&process).await;
        let node = Node {
            id: NodeId::from(name),
            zone: ZoneId::from("zone-a"),
            cell: CellId::from(CELL),
            peer_address: process.address("peers"),
            attempt_address: process.address("attempts"),
            lifecycle: Lifecycle::Live,
        };
        self.change_machine(MachineChange::Put {
            machine: Machine::Node(node),
        })
        .await;
        self.nodes.push(NodeProcess {
            id: NodeId::from(name),
            process,
            key_value_proxy,
        });
    }

    /// Starts a node again, under its name and on its addresses; its former
    /// process has ended.
    pub fn restart_node(&mut self, index: usize) {
        let node = &self.nodes[index];
        let name = node.id.to_string();
        let key_value = node.key_value_proxy.as_ref().unwrap_or(&self.key_value);
        let flags = self.node_flags(&name, &key_value.address("address"), Some(&node.process));
        self.nodes[index].process = Process::start("croftrilld", &name, &flags);
    }

    fn node_flags(&self, name: &str, key_value: &str, former: Option<&Process>) -> Vec<String> {
        let file = format!("croftrill-{}-{}-{name}.toml", std::process::id(), self.number);
        let path = std::env::temp_dir().join(file);
        std::fs::write(&path, &self.plan.settings).expect("the settings can be written");
        let url = |process: &Process| format!("http://{}", process.address("address"));
        let mut flags = vec![
            ("--config", path.display().to_string()),
            ("--node-id", name.to_string()),
            ("--zone", "zone-a".to_string()),
            ("--cell", CELL.to_string()),
            ("--key-value", format!("http://{key_value}")),
            ("--machine-list", url(&self.machine_list)),
            ("--weight-store", url(&self.weight_store)),
            ("--log-level", "debug".to_string()),
        ];
        for (listener, field) in [
            ("--listen-callers", "callers"),
            ("--listen-operators", "operators"),
            ("--listen-peers", "peers"),
            ("--listen-attempts", "attempts"),
        ] {
            let any = || stable_address().to_string();
            flags.push((listener, former.map_or_else(any, |former| former.address(field))));
        }
        for node in self.nodes.iter().filter(|node| node.id.as_str() != name) {
            flags.push(("--seed", node.process.address("peers")));
        }
        flags
            .into_iter()
            .flat_map(|(flag, value)| [flag.to_string(), value])
            .collect()
    }

    /// Changes the machine list.
    pub async fn change_machine(&self, change: MachineChange) {
        let changes = vec![change];
        self.machines
            .post(MACHINES_PATH, &changes)
            .await
            .expect("the machine list takes a change");
    }

    /// Waits until every node knows all nodes and an owner of every engine.
    pub async fn wait_ready(&self) {
        for node in &self.nodes {
            eventually("every engine has an owner at every node", || async {
                let Some(status) = self.status(node).await else {
                    return false;
                };
                let engines = status["engines"].as_array().map_or(0, |engines| {
                    engines.iter().filter(|engine| !engine["owner"].is_null()).count()
                });
                let nodes = status["nodes"].as_array().map_or(0, Vec::len);
                engines == self.engines.len() && nodes == self.nodes.len()
            })
            .await;
        }
    }

    /// The status that a node tells.
    pub async fn status(&self, node: &NodeProcess) -> Option<serde_json::Value> {
        let output = self.operate(node, &["status", "--output", "json"]);
        serde_json::from_slice(&output.stdout).ok()
    }

    /// Runs the operators' client against a node.
    pub fn operate(&self, node: &NodeProcess, arguments: &[&str]) -> Output {
        let mut program = std::env::current_exe().expect("the test has a path");
        program.pop();
        program.pop();
        Command::new(program.join("croftrill"))
            .args(["--node", &node.operators()])
            .args(arguments)
            .output()
            .expect("the operators' client runs")
    }

    /// Runs the operators' client and requires success.
    pub fn operate_successfully(&self, node: &NodeProcess, arguments: &[&str]) {
        let output = self.operate(node, arguments);
        assert!(
            output.status.success(),
            "croftrill {arguments:?}: {}{}",
            String::from_utf8_lossy(&output.stdout),
            String::from_utf8_lossy(&output.stderr)
        );
    }

    /// Creates the group of the tests' callers and a model, through the first
    /// node, and waits until every node knows them.
    pub async fn create_model(&self, name: &str, options: &[&str]) {
        let first = &self.nodes[0];
        if !self.operate_lists(first, "group", "tests") {
            self.operate_successfully(first, &["group", "create", "tests", "--share", "1", "--yes"]);
        }
        let mut arguments = vec!["model", "create", name];
        arguments.extend_from_slice(options);
        arguments.push("--yes");
        self.operate_successfully(first, &arguments);
        for node in &self.nodes {
            eventually("the model is known at every node", || async {
                self.operate_lists(node, "model", name)
            })
            .await;
        }
    }

    fn operate_lists(&self, node: &NodeProcess, kind: &str, name: &str) -> bool {
        let output = self.operate(node, &[kind, "list", "--output", "json"]);
        let listed: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap_or_default();
        listed
            .as_array()
            .is_some_and(|all| all.iter().any(|object| object["id"] == name))
    }

    /// The place of the node that owns an engine, as another node tells.
    pub async fn owner_of(&self, engine: usize, asked: &NodeProcess) -> Option<usize> {
        let status = self.status(asked).await?;
        let engines = status["engines"].as_array()?.clone();
        let id = self.engines[engine].id.to_string();
        let found = engines.iter().find(|found| found["engine"] == id.as_str())?;
        let owner = found["owner"].as_str()?;
        self.nodes.iter().position(|node| node.id.as_str() == owner)
    }

    /// The records of all engines, once none runs anything.
    pub async fn quiet_ledgers(&self) -> Vec<EngineLedger> {
        eventually("no engine runs anything", || async {
            let ledgers = self.ledgers().await;
            let mut runs = ledgers.iter().flat_map(|ledger| &ledger.runs);
            runs.all(|run| run.end.is_some())
        })
        .await;
        self.ledgers().await
    }

    /// The records of all engines.
    pub async fn ledgers(&self) -> Vec<EngineLedger> {
        let mut ledgers = Vec::new();
        for engine in &self.engines {
            ledgers.push(engine.ledger().await);
        }
        ledgers
    }
}

fn standin(service: &str, flags: &[String]) -> Process {
    let mut arguments = vec![service.to_string()];
    arguments.extend(flags.iter().cloned());
    Process::start("croftrill-standin", service, &arguments)
}

fn proxy_of(engine: &Process) -> Process {
    standin("proxy", &["--upstream".to_string(), engine.address("address")])
}
