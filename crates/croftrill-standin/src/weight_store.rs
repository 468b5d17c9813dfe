//! Stand-in of the weight store: starts only so many reads a second, and slows
//! all of them when too many run at once. `POST /control/faults` sets
//! [`WeightStoreFaults`]; `GET /control/ledger` answers a [`WeightStoreLedger`].

use crate::control::{FAULTS_PATH, LEDGER_PATH};
use crate::rate_limit::RateLimit;
use crate::server::{self, not_found, ok, read_json, refuse, Body, ConnectionCutter, Handler};
use crate::server::{HandlerResult, RunningServer};
use croftrill_platform::weight_store::WeightStoreLimits;
use croftrill_platform::wire::weight_store::{CheckpointRead, CHECKPOINTS_PATH, LIMITS_PATH};
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// The progress of each read is computed so often.
const TICK: Duration = Duration::from_millis(5);
/// The rate limit lets through so many reads at once.
const START_BURST: f64 = 1.0;

/// Settings of the stand-in.
#[derive(Clone, Debug)]
pub struct WeightStoreConfig {
    /// Where to listen.
    pub listen: SocketAddr,
    /// Reads started a second; 0 for no limit.
    pub loads_per_second: f64,
    /// Reads at once that run at full speed.
    pub concurrent_loads: u32,
    /// Full speed of one read.
    pub mib_per_second: f64,
}

impl Default for WeightStoreConfig {
    fn default() -> Self {
        Self {
            listen: (Ipv4Addr::LOCALHOST, 0).into(),
            loads_per_second: 0.0,
            concurrent_loads: 6,
            mib_per_second: 100_000.0,
        }
    }
}

/// Faults in force.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct WeightStoreFaults {
    /// Every read takes so many times longer.
    pub slowdown: f64,
}

impl Default for WeightStoreFaults {
    fn default() -> Self {
        Self { slowdown: 1.0 }
    }
}

/// What happened.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WeightStoreLedger {
    /// Reads started.
    pub started: u64,
    /// Reads completed.
    pub completed: u64,
    /// Reads refused by the rate limit.
    pub rate_limited: u64,
    /// Most reads that ran at once.
    pub peak_running: u32,
}

/// The stand-in.
pub struct WeightStoreService {
    config: WeightStoreConfig,
    state: Mutex<State>,
}

struct State {
    running: u32,
    rate_limit: RateLimit,
    faults: WeightStoreFaults,
    ledger: WeightStoreLedger,
}

/// A running stand-in; stops when dropped.
pub struct RunningWeightStore {
    /// The server.
    pub server: RunningServer,
    service: Arc<WeightStoreService>,
}

impl RunningWeightStore {
    /// What happened so far.
    pub fn ledger(&self) -> WeightStoreLedger {
        self.service.lock().ledger.clone()
    }

    /// Sets the faults in force.
    pub fn set_faults(&self, faults: WeightStoreFaults) {
        self.service.lock().faults = faults;
    }
}

impl WeightStoreService {
    /// Starts the stand-in.
    pub async fn start(config: WeightStoreConfig) -> io::Result<RunningWeightStore> {
        let listen = config.listen;
        let state = State {
            running: 0,
            rate_limit: RateLimit::new(config.loads_per_second, START_BURST),
            faults: WeightStoreFaults::default(),
            ledger: WeightStoreLedger::default(),
        };
        let service = Arc::new(Self {
            config,
            state: Mutex::new(state),
        });
        let server = server::start(listen, service.clone(), ConnectionCutter::new()).await?;
        Ok(RunningWeightStore { server, service })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn limits(&self) -> WeightStoreLimits {
        WeightStoreLimits {
            loads_per_second_thousandths: (self.config.loads_per_second * 1000.0) as u64,
            concurrent_loads: self.config.concurrent_loads,
            running_loads: self.lock().running,
        }
    }

    /// Present speed of each read.
    fn mib_per_second(&self) -> f64 {
        let state = self.lock();
        let share = f64::from(self.config.concurrent_loads) / f64::from(state.running.max(1));
        self.config.mib_per_second * share.min(1.0) / state.faults.slowdown.max(f64::MIN_POSITIVE)
    }

    async fn read_checkpoint(&self, read: CheckpointRead) -> Response<Body> {
        let running = match self.begin_read() {
            Ok(running) => running,
            Err(wait) => return refuse(StatusCode::TOO_MANY_REQUESTS, "too many loads a second", wait),
        };
        let mut left_mib = read.checkpoint_mib as f64;
        let mut last = Instant::now();
        while left_mib > 0.0 {
            tokio::time::sleep(TICK).await;
            let now = Instant::now();
            left_mib -= now.duration_since(last).as_secs_f64() * self.mib_per_second();
            last = now;
        }
        drop(running);
        self.lock().ledger.completed += 1;
        ok(&())
    }

    fn begin_read(&self) -> Result<RunningRead<'_>, u64> {
        let mut state = self.lock();
        if let Err(wait) = state.rate_limit.take() {
            state.ledger.rate_limited += 1;
            return Err(wait);
        }
        state.running += 1;
        state.ledger.started += 1;
        state.ledger.peak_running = state.ledger.peak_running.max(state.running);
        Ok(RunningRead(self))
    }

    async fn answer(&self, request: Request<Incoming>) -> HandlerResult {
        match request.uri().path() {
            LIMITS_PATH => Ok(ok(&self.limits())),
            LEDGER_PATH => Ok(ok(&self.lock().ledger)),
            FAULTS_PATH => {
                let faults = read_json(request).await?;
                self.lock().faults = faults;
                Ok(ok(&()))
            }
            CHECKPOINTS_PATH => {
                let read = read_json(request).await?;
                Ok(self.read_checkpoint(read).await)
            }
            _ => Ok(not_found()),
        }
    }
}

impl Handler for WeightStoreService {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> HandlerResult {
        self.answer(request).await
    }
}

/// A read in progress; also ends when its caller goes away.
struct RunningRead<'a>(&'a WeightStoreService);

impl Drop for RunningRead<'_> {
    fn drop(&mut self) {
        self.0.lock().running -= 1;
    }
}
