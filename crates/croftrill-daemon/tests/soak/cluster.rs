//! A cluster of daemon processes, with stand-ins for the store and the replicas behind
//! proxies.

use std::cell::{Cell, RefCell};
use std::fs::OpenOptions;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use croftrill_daemon::status::NodeStatus;
use croftrill_http::document::{Document, ModelDocument, MODEL_SERVICE};
use croftrill_http::records::DOCUMENT_KEY;
use croftrill_http::store_wire::{WireTransaction, WireWrite};
use croftrill_node::connection::{ConnectionConfig, ConnectionPool};
use croftrill_node::stored_versions::{encode_record, RECORD_PREFIX};
use croftrill_scheduler::stored_versions::VersionsRecord;
use croftrill_standin::engine::{encode_value, EngineIdentity, EngineStandin, Ledger, Restart};
use croftrill_standin::engine_state::EngineConfig;
use croftrill_standin::http_server::listen;
use croftrill_standin::proxy::{Fault, Proxy};
use croftrill_standin::store::{StoreFault, StoreStandin};
use futures::future::join_all;
use http::Request;
use http_body_util::Full;
use tokio::time::sleep;

use crate::instrumented::{self, PathCut};

/// Names of the models: more than the replicas can hold at the same time.
pub const MODELS: [&str; 6] = ["m0", "m1", "m2", "m3", "m4", "m5"];
/// Window of the groups' quotas.
pub const QUOTA_WINDOW: Duration = Duration::from_secs(3);
/// Fraction of a quota by which usage in a window may exceed it.
pub const QUOTA_OVERAGE: f64 = 0.1;
/// Number of tokens by which usage in a window may exceed the quota in addition.
pub const QUOTA_SLACK: f64 = 100.0;
/// Number of nodes and replicas of a cluster.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    /// Number of nodes, each of which is a process.
    pub nodes: usize,
    /// Number of replicas, which are stand-ins in the test's own process.
    pub engines: usize,
}

impl Size {
    /// Returns the size with at least the given number of nodes.
    pub fn with_min_nodes(self, min_nodes: usize) -> Self {
        Size {
            nodes: self.nodes.max(min_nodes),
            ..self
        }
    }

    /// Returns the size with at least the given number of replicas.
    pub fn with_min_engines(self, min_engines: usize) -> Self {
        Size {
            engines: self.engines.max(min_engines),
            ..self
        }
    }
}

/// How the replicas and nodes of a round are configured.
#[derive(Debug, Clone, Copy)]
pub struct Conditions {
    /// Returns the configuration of the replica with an index.
    pub engine: fn(usize) -> EngineConfig,
    /// The setting `callers_compete` of the nodes.
    pub callers_compete: bool,
    /// Whether replicas name their software versions, and streams may be resumed.
    pub has_versions: bool,
    /// Number of adapters of each model.
    pub adapters: u32,
    /// Whether replicas start again under their ids, some time before their entries are written.
    pub keeps_ids: bool,
}

impl Default for Conditions {
    fn default() -> Self {
        Conditions {
            engine: |_| EngineConfig::default(),
            callers_compete: false,
            has_versions: false,
            adapters: 2,
            keeps_ids: false,
        }
    }
}

/// The size in continuous integration.
pub const DEFAULT_SIZE: Size = Size { nodes: 3, engines: 2 };
/// Maximum time until a cluster is ready.
const START_TIMEOUT: Duration = Duration::from_secs(60);

/// A process of the daemon, which is killed on drop.
pub struct NodeProcess {
    pub front: SocketAddr,
    pub operator: SocketAddr,
    config: PathBuf,
    program: Cell<Program>,
    child: RefCell<Child>,
}

/// Which program a node's process runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Program {
    /// The daemon of this build.
    Daemon,
    /// The daemon whose clock and paths a test changes ([`crate::instrumented`]).
    Instrumented,
    /// The daemon of another build, at the path in `CROFTRILL_SOAK_OLDER`.
    Older,
}

/// Returns the path of the other build's daemon, if one is given.
pub fn older_build() -> Option<PathBuf> {
    std::env::var_os("CROFTRILL_SOAK_OLDER").map(PathBuf::from)
}

impl NodeProcess {
    /// Sets the program that the next start runs.
    pub fn set_program(&self, program: Program) {
        self.program.set(program);
    }

    fn id(&self) -> u32 {
        self.child.borrow().id()
    }

    /// Cuts the process's paths to replicas, or restores them.
    pub fn set_path_cut(&self, cut: Option<PathCut>) {
        instrumented::set_path_cut(&self.config, cut);
    }

    /// Sends a signal to the process.
    pub fn signal(&self, name: &str) {
        let id = self.child.borrow().id().to_string();
        let _ = Command::new("kill").args([&format!("-{name}"), &id]).status();
    }

    /// Sends signals one after the other, each followed by its pause, and restarts the
    /// process whenever it has ended. Returns once the process runs and is not about to end.
    pub async fn send_signals(&self, signals: &[(&'static str, Duration)]) {
        let mut ending = None;
        for (name, pause) in signals {
            if matches!(*name, "TERM" | "KILL") {
                ending = Some(self.child.borrow().id());
            }
            self.signal(name);
            sleep(*pause).await;
            self.start_if_ended();
        }
        while ending == Some(self.child.borrow().id()) {
            sleep(Duration::from_millis(20)).await;
            self.start_if_ended();
        }
    }

    fn start_if_ended(&self) {
        let ended = self
            .child
            .borrow_mut()
            .try_wait()
            .expect("the child can be waited for");
        if ended.is_some() {
            *self.child.borrow_mut() = spawn(&self.config, self.program.get());
        }
    }

    /// Kills the process, or asks it to stop, waits for its end and restarts it, unless
    /// another fault has restarted it already.
    pub async fn restart(&self, is_graceful: bool) {
        let id = self.child.borrow().id();
        self.signal(if is_graceful { "TERM" } else { "KILL" });
        while self.child.borrow().id() == id {
            self.start_if_ended();
            sleep(Duration::from_millis(20)).await;
        }
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        let _ = self.child.get_mut().kill();
        let _ = self.child.get_mut().wait();
    }
}

fn spawn(config: &Path, program: Program) -> Child {
    let mut command = match program {
        Program::Daemon => daemon(Path::new(env!("CARGO_BIN_EXE_croftrilld")), config),
        Program::Older => daemon(&older_build().expect("CROFTRILL_SOAK_OLDER is set"), config),
        Program::Instrumented => instrumented::command(config),
    };
    command
        .stdout(log_output(config))
        .spawn()
        .expect("the daemon starts")
}

fn daemon(program: &Path, config: &Path) -> Command {
    let mut command = Command::new(program);
    command.arg("--config").arg(config);
    command
}

/// Returns the output for a daemon's log: a file in the directory `CROFTRILL_SOAK_LOGS`, or
/// none.
fn log_output(config: &Path) -> Stdio {
    let Some(directory) = std::env::var_os("CROFTRILL_SOAK_LOGS") else {
        return Stdio::null();
    };
    let name = config.with_extension("log");
    let name = name.file_name().expect("the settings file has a name");
    let file = OpenOptions::new()
        .create(true)
        .append(true)
        .open(PathBuf::from(directory).join(name));
    file.expect("a log file").into()
}

pub struct Cluster {
    pub store: Rc<StoreStandin>,
    store_address: SocketAddr,
    /// The proxy between each node and the store.
    pub store_proxies: Vec<Rc<Proxy>>,
    /// The current incarnation of each replica.
    pub engines: RefCell<Vec<Rc<EngineStandin>>>,
    /// Former incarnations of replicas, which have ended.
    pub ended_engines: RefCell<Vec<Rc<EngineStandin>>>,
    /// The proxy between the nodes and each replica.
    pub engine_proxies: Vec<Rc<Proxy>>,
    pub nodes: Vec<NodeProcess>,
    pub document: RefCell<Document>,
    conditions: Conditions,
    /// Rejections a second that the replicas bear at present.
    max_rejections: Cell<Option<u32>>,
    /// Number of the software version of replicas that start from now on.
    version_number: Cell<u32>,
    directory: PathBuf,
}

fn document(adapters: u32) -> Document {
    let models = MODELS.iter().map(|name| ModelDocument {
        name: (*name).to_string(),
        weights_mb: 90.0,
        load_seconds: 0.6,
        disk_load_seconds: Some(0.2),
        adapters,
        adapter_mb: 1.0,
    });
    Document {
        version: 1,
        replica_weights_mb: 190.0,
        adapter_slots: 4,
        loads_per_second: 10.0,
        objective_ms: 3000,
        timeout_ms: 4000,
        resumable: false,
        models: models.collect(),
        groups: Vec::new(),
    }
}

/// First port that daemons listen on. The range is below the ephemeral ports of the operating
/// system (from 32768 on): an outgoing connection could take such a port while its daemon
/// restarts.
const FIRST_PORT: u16 = 10_000;
/// Number of these ports.
const PORT_COUNT: u16 = 22_000;

/// Number of ports that this process has tried, in all its tests.
static TRIED_PORTS: AtomicU32 = AtomicU32::new(0);

/// Returns a free port of the loopback address that this process uses only once.
fn free_address() -> SocketAddr {
    // Soak tests of several processes may run in parallel, too.
    let first = std::process::id() * 61;
    for _ in 0..PORT_COUNT {
        let number = first.wrapping_add(TRIED_PORTS.fetch_add(1, Ordering::Relaxed));
        let port = FIRST_PORT + (number % u32::from(PORT_COUNT)) as u16;
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            return listener.local_addr().expect("an address");
        }
    }
    panic!("no free port");
}

/// Era of a store that was never restored.
const FIRST_ERA: u64 = 0;
/// Maximum time until a replica that starts again writes its entry.
const MAX_ENTRY_DELAY_MS: u64 = 700;
/// Time after which a crashed replica restarts.
const ENGINE_RESTART_DELAY: Duration = Duration::from_millis(700);

fn engine(
    listener: tokio::net::TcpListener,
    identity: EngineIdentity,
    config: EngineConfig,
    models: &[String],
) -> Rc<EngineStandin> {
    let on_disk = vec![MODELS[2].to_string(), MODELS[3].to_string()];
    EngineStandin::start(listener, identity, config, models, &on_disk)
}

impl Cluster {
    pub async fn start(name: &str, size: Size, program: Program, conditions: Conditions) -> Self {
        let directory = std::env::temp_dir().join(format!("croftrill-soak-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&directory).expect("a directory");
        let (listener, store_address) = listen().await.expect("a port");
        let store = StoreStandin::start(listener);
        let mut cluster = Cluster {
            store,
            store_address,
            store_proxies: Vec::new(),
            engines: RefCell::default(),
            ended_engines: RefCell::default(),
            engine_proxies: Vec::new(),
            nodes: Vec::new(),
            document: RefCell::new(document(conditions.adapters)),
            conditions,
            max_rejections: Cell::default(),
            version_number: Cell::default(),
            directory,
        };
        cluster.document.borrow_mut().resumable = conditions.has_versions;
        cluster.write_document();
        if conditions.keeps_ids && conditions.has_versions {
            cluster.write_versions_record();
        }
        for index in 0..size.engines {
            cluster.add_engine(index).await;
        }
        for index in 0..size.nodes {
            cluster.add_node(index, store_address, program).await;
        }
        tokio::time::timeout(START_TIMEOUT, cluster.wait_until_ready())
            .await
            .expect("the cluster becomes ready");
        cluster
    }

    /// Writes the current document to the store, as an operator would.
    pub fn write_document(&self) {
        let value = serde_json::to_vec(&*self.document.borrow()).expect("a document");
        let write = WireWrite {
            key: DOCUMENT_KEY.to_string(),
            value: encode_value(&value),
            lease: 0,
        };
        let transaction = WireTransaction {
            conditions: Vec::new(),
            writes: vec![write],
        };
        self.store.with_state(|state| state.transact(&transaction));
    }

    async fn add_engine(&mut self, index: usize) {
        let (listener, upstream) = listen().await.expect("a port");
        let (proxy_listener, address) = listen().await.expect("a port");
        let models = vec![MODELS[index % MODELS.len()].to_string()];
        let config = (self.conditions.engine)(index);
        let identity = self.identity(index, address, 0);
        let engine = engine(listener, identity, config, &models);
        self.engines.borrow_mut().push(engine);
        self.engine_proxies.push(Proxy::start(proxy_listener, upstream));
    }

    /// Ends replicas at requests that crash them, and restarts each one, with no models, at
    /// the same address after `ENGINE_RESTART_DELAY`. Runs until it is dropped.
    pub async fn crash_engines(&self) {
        let each = (0..self.engine_proxies.len()).map(|index| async move {
            loop {
                let engine = self.engines.borrow()[index].clone();
                engine.wait_for_end().await;
                engine.end();
                let proxy = &self.engine_proxies[index];
                proxy.end();
                sleep(ENGINE_RESTART_DELAY).await;
                let (listener, upstream) = listen().await.expect("a port");
                let ended = self.ended_engines.borrow().len();
                let address = proxy.address().expect("a proxy has an address");
                let config = (self.conditions.engine)(index);
                let identity = self.identity(index, address, ended + 1);
                let restarted = self::engine(listener, identity, config, &[]);
                restarted.set_max_rejections(self.max_rejections.get());
                if self.conditions.keeps_ids {
                    restarted.continue_order_faults(&engine);
                    engine.set_next_life(restarted.clone());
                }
                self.engines.borrow_mut()[index] = restarted;
                self.ended_engines.borrow_mut().push(engine);
                proxy.restart(upstream).await.expect("its address is free");
            }
        });
        join_all(each).await;
    }

    /// Returns the identity of a replica that starts after a number of starts of any replicas; 0 for its
    /// first one.
    fn identity(&self, index: usize, address: SocketAddr, starts: usize) -> EngineIdentity {
        let id = if self.conditions.keeps_ids || starts == 0 {
            format!("e{index}")
        } else {
            format!("e{index}.{}", starts - 1)
        };
        EngineIdentity {
            id,
            zone: "z".to_string(),
            address,
            store: self.store_address,
            software_version: self.software_version(),
            restart: self.restart(index, starts),
        }
    }

    /// Returns how a replica starts after a number of ends of any replicas.
    fn restart(&self, index: usize, ended: usize) -> Option<Restart> {
        let delay_ms = (ended * 7 + index) as u64 * 137 % MAX_ENTRY_DELAY_MS;
        self.conditions.keeps_ids.then(|| Restart {
            started_ms: 1 + ended as u64,
            entry_delay: Duration::from_millis(if ended == 0 { 0 } else { delay_ms }),
        })
    }

    /// Kills all nodes at once, and starts them again after a while.
    pub async fn kill_all_nodes(&self, down: Duration) {
        let killed: Vec<u32> = self.nodes.iter().map(NodeProcess::id).collect();
        for node in &self.nodes {
            node.signal("KILL");
        }
        sleep(down).await;
        for (node, id) in self.nodes.iter().zip(killed) {
            while node.id() == id {
                node.start_if_ended();
                sleep(Duration::from_millis(20)).await;
            }
        }
    }

    /// Writes to the store that streams have begun at the present version only, as after a long time.
    pub fn write_versions_record(&self) {
        let version = self.software_version().expect("replicas name their versions");
        let record = VersionsRecord {
            versions: [version.into()].into(),
            is_complete: true,
            era: Some(FIRST_ERA),
        };
        let write = WireWrite {
            key: format!("{RECORD_PREFIX}{MODEL_SERVICE}"),
            value: encode_value(&encode_record(&record, 0)),
            lease: 0,
        };
        let transaction = WireTransaction {
            conditions: Vec::new(),
            writes: vec![write],
        };
        self.store.with_state(|state| state.transact(&transaction));
    }

    /// Lets all replicas fall over beyond this number of rejections a second; `None` ends that.
    pub fn set_max_rejections(&self, per_s: Option<u32>) {
        self.max_rejections.set(per_s);
        for engine in self.engines.borrow().iter() {
            engine.set_max_rejections(per_s);
        }
    }

    /// Sets the time that adapters take to arrive at all replicas from now on.
    pub fn set_adapter_transit(&self, transit: Duration) {
        for engine in self.engines.borrow().iter() {
            engine.set_adapter_transit(transit);
        }
    }

    /// Lets replicas that start from now on run the next software version.
    pub fn begin_next_version(&self) {
        self.version_number.set(self.version_number.get() + 1);
    }

    fn software_version(&self) -> Option<String> {
        let has_versions = self.conditions.has_versions;
        has_versions.then(|| format!("v{}", self.version_number.get()))
    }

    /// Returns the current incarnation of a replica.
    pub fn engine(&self, index: usize) -> Rc<EngineStandin> {
        self.engines.borrow()[index].clone()
    }

    /// Returns the ledgers of all replicas, including incarnations that have ended.
    pub fn ledgers(&self) -> Vec<Ledger> {
        let engines = self.engines.borrow();
        let ended = self.ended_engines.borrow();
        engines
            .iter()
            .chain(ended.iter())
            .map(|engine| engine.ledger())
            .collect()
    }

    async fn add_node(&mut self, index: usize, store: SocketAddr, program: Program) {
        let (proxy_listener, store_proxy_address) = listen().await.expect("a port");
        self.store_proxies.push(Proxy::start(proxy_listener, store));
        let (front, peer, operator) = (free_address(), free_address(), free_address());
        let config = self.directory.join(format!("node-{index}.toml"));
        let mut text = format!(
            "name = \"n{index}\"\nzone = \"z\"\nlisten = \"{front}\"\npeer = \"{peer}\"\n\
             operator = \"{operator}\"\nstore = \"{store_proxy_address}\"\nstop_grace_seconds = 3.0\norder_gap_ms = 600\n",
        );
        if self.conditions.callers_compete {
            text += "callers_compete = true\n";
        }
        // An older build may not support quotas.
        if program != Program::Older {
            text += &format!(
                "[quota]\nwindow_seconds = {}\noverage = {}\nslack = {}\n",
                QUOTA_WINDOW.as_secs_f64(),
                QUOTA_OVERAGE,
                QUOTA_SLACK,
            );
        }
        std::fs::write(&config, text).expect("the settings are written");
        let child = RefCell::new(spawn(&config, program));
        self.nodes.push(NodeProcess {
            front,
            operator,
            config,
            program: Cell::new(program),
            child,
        });
    }

    async fn wait_until_ready(&self) {
        for node in &self.nodes {
            loop {
                let status = status(node).await;
                if status.is_some_and(|status| {
                    status.lifecycle == "ready" && status.replicas.len() == self.engines.borrow().len()
                }) {
                    break;
                }
                sleep(Duration::from_millis(50)).await;
            }
        }
    }

    /// Removes all faults and waits until all nodes are ready.
    pub async fn remove_faults(&self) {
        self.store.set_fault(StoreFault::None);
        for proxy in self.store_proxies.iter().chain(&self.engine_proxies) {
            proxy.set(Fault::None);
        }
        for node in &self.nodes {
            node.signal("CONT");
            node.set_path_cut(None);
        }
        tokio::time::timeout(START_TIMEOUT, self.wait_until_ready())
            .await
            .expect("every node becomes ready");
    }

    pub async fn stop(self) {
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

/// Returns the status that a node reports, if it answers.
pub async fn status(node: &NodeProcess) -> Option<NodeStatus> {
    let pool = ConnectionPool::new(ConnectionConfig::default());
    let request = Request::builder()
        .uri("/v1/status")
        .header("host", node.operator.to_string())
        .body(Full::default())
        .expect("a request");
    let answer = pool
        .exchange(node.operator, request, Duration::from_secs(1))
        .await
        .ok()?;
    serde_json::from_slice(answer.body()).ok()
}
