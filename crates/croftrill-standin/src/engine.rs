//! Stand-in of a model engine: fenced orders, limited accelerator memory,
//! continuous batching with priorities, a prefix cache, resumable streams with
//! a known text, lagging load reports.
//!
//! `POST /control/faults` sets [`EngineFaults`]; `GET /control/ledger` answers
//! an [`EngineLedger`]. A crash forgets everything but the ledger and the disk
//! cache, as a new process on the same machine would.

mod answer;
mod checkpoint_cache;
mod config;
mod held;
mod ledger;
mod loading;
mod orders;
mod prefix_cache;
mod runs;
mod slots;

pub use answer::expected_answer;
pub use config::{EngineConfig, EngineFaults};
pub use ledger::{
    peak_replicas, AcceleratorRecord, EngineLedger, FencedRecord, LoadRecord, RunEnd, RunRecord,
};

use crate::control::{FAULTS_PATH, LEDGER_PATH};
use crate::server::{self, json, not_found, ok, read_json, Body, ConnectionCutter, Handler};
use crate::server::{now_millis, HandlerResult, Rejection, RunningServer};
use checkpoint_cache::CheckpointCache;
use croftrill_platform::engine::Inventory;
use croftrill_platform::wire::engine as wire;
use croftrill_platform::wire::RefusalBody;
use croftrill_platform::{HttpEndpoint, HttpWeightStore};
use croftrill_state::{AttemptId, FencingToken};
use held::HeldModels;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use prefix_cache::PrefixCache;
use slots::Slots;
use std::collections::{BTreeMap, HashSet};
use std::io;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// The stand-in.
pub struct Engine {
    config: EngineConfig,
    weight_store: Option<HttpWeightStore>,
    cutter: ConnectionCutter,
    slots: Arc<Slots>,
    frozen: watch::Sender<bool>,
    state: Mutex<State>,
}

struct State {
    highest_token: FencingToken,
    held: HeldModels,
    memory_cache: CheckpointCache,
    disk_cache: CheckpointCache,
    prefix_cache: PrefixCache,
    /// Cancels the runs.
    runs: BTreeMap<AttemptId, CancellationToken>,
    /// Every attempt accepted so far.
    known_attempts: HashSet<AttemptId>,
    faults: EngineFaults,
    down_until: Option<Instant>,
    load_report: (Instant, wire::LoadReport),
    ledger: EngineLedger,
}

/// A running stand-in; stops when dropped.
pub struct RunningEngine {
    /// The server.
    pub server: RunningServer,
    engine: Arc<Engine>,
}

impl RunningEngine {
    /// What happened so far.
    pub fn ledger(&self) -> EngineLedger {
        self.engine.lock().ledger.clone()
    }

    /// Sets the faults in force.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.engine.set_faults(faults);
    }
}

impl Engine {
    /// Starts the stand-in.
    pub async fn start(config: EngineConfig) -> io::Result<RunningEngine> {
        let listen = config.listen;
        let cutter = ConnectionCutter::new();
        let weight_store = config.weight_store.as_ref();
        let engine = Arc::new(Self {
            weight_store: weight_store.map(|address| HttpWeightStore::new(HttpEndpoint::new(address))),
            cutter: cutter.clone(),
            slots: Slots::new(config.max_running),
            frozen: watch::Sender::new(false),
            state: Mutex::new(State::new(&config)),
            config,
        });
        let server = server::start(listen, engine.clone(), cutter).await?;
        let reports = engine.clone().report_load();
        tokio::spawn(server.stop_token().run_until_cancelled_owned(reports));
        Ok(RunningEngine { server, engine })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn set_faults(&self, faults: EngineFaults) {
        self.frozen.send_replace(faults.freeze);
        self.lock().faults = faults;
    }

    /// Returns when the engine is not frozen.
    async fn thawed(&self) {
        // The sender lives as long as `self`.
        let _ = self.frozen.subscribe().wait_for(|frozen| !frozen).await;
    }

    /// Forgets what a process would forget, and closes all connections.
    fn crash(&self) {
        let mut guard = self.lock();
        let state = &mut *guard;
        let restart_after = Duration::from_millis(state.faults.restart_after_millis);
        state.faults.crash_after_tokens = None;
        state.down_until = Some(Instant::now() + restart_after);
        state.ledger.crashes += 1;
        state.highest_token = FencingToken::default();
        state.known_attempts.clear();
        state.memory_cache.clear();
        state.prefix_cache = PrefixCache::new(self.config.prefix_cache_blocks);
        for (attempt, cancel) in std::mem::take(&mut state.runs) {
            state.ledger.run_ended(attempt, RunEnd::Crashed);
            cancel.cancel();
        }
        let models: Vec<_> = state.held.models.keys().cloned().collect();
        for model in models {
            state.release(&model, false);
        }
        drop(guard);
        self.cutter.cut_all();
    }

    async fn report_load(self: Arc<Self>) {
        let mut ticks = tokio::time::interval(Duration::from_millis(
            self.config.load_report_interval_millis.max(1),
        ));
        loop {
            ticks.tick().await;
            let (running, waiting) = self.slots.counts();
            let mut state = self.lock();
            let report = wire::LoadReport {
                age_millis: 0,
                running,
                waiting,
                max_running: self.config.max_running,
                used_memory_mib: state.held.used_mib(),
            };
            state.load_report = (Instant::now(), report);
        }
    }

    fn present_load_report(&self) -> wire::LoadReport {
        let (taken_at, mut report) = self.lock().load_report.clone();
        report.age_millis = taken_at.elapsed().as_millis() as u64;
        report
    }

    async fn control(&self, request: Request<Incoming>) -> HandlerResult {
        match request.uri().path() {
            FAULTS_PATH => {
                self.set_faults(read_json(request).await?);
                Ok(ok(&()))
            }
            LEDGER_PATH => Ok(ok(&self.lock().ledger)),
            _ => Ok(not_found()),
        }
    }

    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> HandlerResult {
        match request.uri().path() {
            wire::INVENTORY_PATH => Ok(ok(&self.lock().inventory())),
            wire::LOAD_PATH => Ok(ok(&self.present_load_report())),
            wire::FENCE_PATH => {
                let body: wire::FenceRequest = read_json(request).await?;
                let mut state = self.lock();
                state
                    .check_token(body.fencing_token, wire::FENCE_PATH)
                    .map_err(fenced)?;
                Ok(ok(&state.inventory()))
            }
            wire::LOAD_MODEL_PATH => Ok(ok(&self.load_model(read_json(request).await?))),
            wire::UNLOAD_MODEL_PATH => Ok(ok(&self.unload_model(read_json(request).await?))),
            wire::LOAD_ADAPTER_PATH => Ok(ok(&self.load_adapter(read_json(request).await?))),
            wire::UNLOAD_ADAPTER_PATH => Ok(ok(&self.unload_adapter(read_json(request).await?))),
            wire::RUN_PATH => {
                let body = read_json(request).await?;
                self.run(body)
            }
            wire::CANCEL_PATH => {
                let body: wire::CancelRequest = read_json(request).await?;
                self.cancel(body.attempt);
                Ok(ok(&serde_json::Map::new()))
            }
            _ => Ok(not_found()),
        }
    }

    fn is_down(&self) -> bool {
        let down_until = self.lock().down_until;
        down_until.is_some_and(|until| Instant::now() < until)
    }
}

impl Handler for Engine {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> HandlerResult {
        if request.uri().path().starts_with("/control/") {
            return self.control(request).await;
        }
        if self.is_down() {
            return Err(Rejection::ConnectionCut);
        }
        self.thawed().await;
        self.answer(request).await
    }
}

impl State {
    fn new(config: &EngineConfig) -> Self {
        Self {
            highest_token: FencingToken::default(),
            held: HeldModels::new(config.accelerator_memory_mib.clone()),
            memory_cache: CheckpointCache::new(config.memory_cache_mib),
            disk_cache: CheckpointCache::new(config.disk_cache_mib),
            prefix_cache: PrefixCache::new(config.prefix_cache_blocks),
            runs: BTreeMap::new(),
            known_attempts: HashSet::new(),
            faults: EngineFaults::default(),
            down_until: None,
            load_report: (Instant::now(), wire::LoadReport::default()),
            ledger: EngineLedger::new(&config.accelerator_memory_mib),
        }
    }

    /// Refuses a token lower than the highest seen, else remembers it. The
    /// error is the highest.
    fn check_token(&mut self, token: FencingToken, call: &str) -> Result<(), FencingToken> {
        let highest = self.highest_token;
        if token < highest {
            let at_millis = now_millis();
            self.ledger.fenced.push(FencedRecord {
                at_millis,
                call: call.to_string(),
                token,
                highest,
            });
            return Err(highest);
        }
        self.highest_token = token;
        Ok(())
    }

    fn inventory(&self) -> Inventory {
        Inventory {
            fencing_token: self.highest_token,
            models: self.held.report(),
            running: self.runs.keys().copied().collect(),
            cached_in_memory: self.memory_cache.models(),
            cached_on_disk: self.disk_cache.models(),
        }
    }
}

fn fenced(highest: FencingToken) -> Response<Body> {
    let body = RefusalBody {
        reason: format!("fenced by token {highest}"),
        retry_after_millis: 0,
        highest_fencing_token: Some(highest),
    };
    json(StatusCode::CONFLICT, &body)
}
