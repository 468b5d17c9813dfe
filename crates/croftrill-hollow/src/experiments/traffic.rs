//! What one request costs the gateway and the owner: two whole daemons in this
//! process, each on named threads, before one engine stand-in.

use crate::caller::Caller;
use crate::meter::ProcessorTimes;
use crate::named_runtime::NamedRuntime;
use crate::node;
use crate::platform::Platform;
use crate::population::{self, Population};
use crate::report::{Format, Line, Table};
use anyhow::ensure;
use croftrill_coordination::replication::{ProposeOutcome, Replica, ReplicaConfig};
use croftrill_coordination::revision_log::{RevisionLog, RevisionLogConfig};
use croftrill_daemon::Daemon;
use croftrill_platform::http::{HttpEndpoint, HttpKeyValueService};
use croftrill_platform::machine_list::Machine;
use croftrill_standin::{Engine, EngineConfig, RunningEngine};
use croftrill_state::{NodeId, Term};
use serde_json::json;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Both daemons in one zone and cell.
const NODES: [usize; 2] = [0, population::ZONES];
/// Names of the threads of the daemons' traffic.
const THREADS: [&str; 2] = ["first-traffic", "second-traffic"];
const ENGINE_INDEX: usize = 0;
const MAX_RUNNING: u32 = 512;
const TOKEN_INTERVAL: Duration = Duration::from_millis(10);
/// Longest wait for the daemons to serve.
const PATIENCE: Duration = Duration::from_secs(60);
const LOOK_PERIOD: Duration = Duration::from_millis(100);
const SETTLE: Duration = Duration::from_secs(3);
/// Share of the answers that must be whole for a row to count.
const WHOLE_SHARE: f64 = 0.99;

/// Settings of the experiment.
#[derive(Clone, Debug)]
pub struct TrafficConfig {
    /// Requests a second.
    pub rates: Vec<usize>,
    /// Tokens of each answer.
    pub tokens: Vec<usize>,
    /// Length of each measurement.
    pub window: Duration,
}

/// Runs it.
pub async fn run(config: TrafficConfig, format: Format) -> anyhow::Result<()> {
    let system = System::start().await?;
    let mut table = Table::new(
        "traffic: processor time in percent of a core",
        &["tokens", "rate", "answers", "gateway", "owner", "control_of_both"],
    );
    let mut slopes = Table::new(
        "traffic: processor milliseconds of one request",
        &["tokens", "gateway", "owner"],
    );
    for &tokens in &config.tokens {
        let mut gateway = Vec::new();
        let mut owner = Vec::new();
        for &rate in &config.rates {
            let load = system.load(tokens, rate, config.window).await?;
            gateway.push((rate as f64, load.gateway));
            owner.push((rate as f64, load.owner));
            table.row(vec![
                json!(tokens),
                json!(rate),
                json!(load.answers),
                json!(load.gateway * 100.0),
                json!(load.owner * 100.0),
                json!(load.control * 100.0),
            ]);
        }
        let slope = |points: &[(f64, f64)]| Line::through(points).map(|line| line.slope * 1000.0);
        slopes.row(vec![json!(tokens), json!(slope(&gateway)), json!(slope(&owner))]);
    }
    print!("{}", table.render(format));
    print!("{}", slopes.render(format));
    Ok(())
}

/// Two daemons and an engine.
struct System {
    /// Where callers reach the daemon that does not own the engine.
    caller: Caller,
    gateway_threads: &'static str,
    owner_threads: &'static str,
    _daemons: Vec<Daemon>,
    _engine: RunningEngine,
    _runtimes: Vec<NamedRuntime>,
    _platform: Platform,
}

/// Processor seconds a second under one load.
struct Load {
    answers: usize,
    gateway: f64,
    owner: f64,
    control: f64,
}

impl System {
    async fn start() -> anyhow::Result<System> {
        let platform = Platform::start().await?;
        let engine_runtime = NamedRuntime::new("engine")?;
        let engine_config = EngineConfig {
            max_running: MAX_RUNNING,
            token_interval_micros: TOKEN_INTERVAL.as_micros() as u64,
            ..EngineConfig::default()
        };
        let engine = engine_runtime.run(Engine::start(engine_config)).await??;
        let mut runtimes = vec![engine_runtime];
        let mut daemons = Vec::new();
        let mut seeds = Vec::new();
        for (index, name) in NODES.into_iter().zip(THREADS) {
            let runtime = NamedRuntime::new(name)?;
            let settings = node::settings(index, unused(), &seeds, &platform)?;
            let daemon = runtime.run(Daemon::start(settings)).await??;
            let addresses = daemon.addresses();
            seeds.push(addresses.peers);
            let machine = population::node_machine(index, addresses.peers, addresses.attempts);
            platform.put_machines(vec![machine]);
            daemons.push(daemon);
            runtimes.push(runtime);
        }
        let address = engine.server.address().to_string();
        platform.put_machines(vec![engine_at(address)]);
        let owner = configure(&platform).await?;
        let owner_is_first = owner == population::node_id(NODES[0]);
        let (gateway, owner) = if owner_is_first { (1, 0) } else { (0, 1) };
        let system = System {
            caller: Caller::new(daemons[gateway].addresses().callers),
            gateway_threads: THREADS[gateway],
            owner_threads: THREADS[owner],
            _daemons: daemons,
            _engine: engine,
            _runtimes: runtimes,
            _platform: platform,
        };
        system.wait_serving().await?;
        Ok(system)
    }

    async fn wait_serving(&self) -> anyhow::Result<()> {
        let started = Instant::now();
        while !self.caller.complete(1).await {
            ensure!(started.elapsed() < PATIENCE, "the daemons do not serve");
            tokio::time::sleep(LOOK_PERIOD).await;
        }
        Ok(())
    }

    async fn load(&self, tokens: usize, rate: usize, window: Duration) -> anyhow::Result<Load> {
        let answer_time = TOKEN_INTERVAL * tokens as u32;
        let whole_time = SETTLE + answer_time + window;
        let calling = tokio::spawn(self.caller.clone().call_at_rate(tokens as u32, rate, whole_time));
        tokio::time::sleep(SETTLE + answer_time).await;
        let (before, from) = (ProcessorTimes::read()?, Instant::now());
        tokio::time::sleep(window).await;
        let (after, until) = (ProcessorTimes::read()?, Instant::now());
        let seconds = (until - from).as_secs_f64();
        let used = |name: &str| after.used_by_name(&before, name).as_secs_f64() / seconds;
        let outcome = calling.await?;
        ensure!(
            outcome.whole as f64 >= outcome.asked as f64 * WHOLE_SHARE,
            "only {} of {} answers were whole",
            outcome.whole,
            outcome.asked
        );
        Ok(Load {
            answers: outcome.whole,
            gateway: used(self.gateway_threads),
            owner: used(self.owner_threads),
            control: used("control"),
        })
    }
}

fn unused() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn engine_at(address: String) -> Machine {
    let mut machine = population::engine_machine(ENGINE_INDEX);
    if let Machine::Engine(engine) = &mut machine {
        engine.address = address;
        engine.max_running = MAX_RUNNING;
    }
    machine
}

/// Configures one model and waits for the engine's owner.
async fn configure(platform: &Platform) -> anyhow::Result<NodeId> {
    let key_value = HttpKeyValueService::new(HttpEndpoint::new(platform.key_value_address().to_string()));
    let log = RevisionLog::new(Arc::new(key_value), RevisionLogConfig::default());
    let replica = Replica::new(ReplicaConfig::new(NodeId::from("operator")), log);
    let population = Population {
        models: 1,
        adapters: 0,
    };
    for change in population.changes() {
        let outcome = replica.propose(change, Term(0)).await;
        ensure!(
            matches!(outcome, ProposeOutcome::Applied(_)),
            "not configured: {outcome:?}"
        );
    }
    let started = Instant::now();
    loop {
        replica.catch_up_from_log().await?;
        let state = replica.state();
        let owner = state
            .engines
            .values()
            .find_map(|engine| engine.value.owner.clone());
        if state.nodes.len() == NODES.len() {
            if let Some(owner) = owner {
                return Ok(owner);
            }
        }
        ensure!(started.elapsed() < PATIENCE, "the engine gets no owner");
        tokio::time::sleep(LOOK_PERIOD).await;
    }
}
