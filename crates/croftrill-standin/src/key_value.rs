//! Stand-in of the key-value service: compare-and-swap, leases, long-poll
//! watches, a rate limit and faults.
//!
//! `POST /control/faults` sets [`KeyValueFaults`]; `GET /control/ledger`
//! answers every change, in order, as [`KeyValueChange`]s, and `GET
//! /control/calls` answers [`KeyValueCalls`].

mod store;

use crate::control::{CALLS_PATH, FAULTS_PATH, LEDGER_PATH};
use crate::rate_limit::RateLimit;
use crate::server::{self, not_found, ok, read_json, refuse, ConnectionCutter, Handler};
use crate::server::{now_millis, Body, HandlerResult, Rejection, RunningServer};
use croftrill_platform::key_value::{LeaseId, StoredValue, WriteOutcome};
use croftrill_platform::wire::key_value as wire;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use store::Store;
use tokio::sync::watch;
use tokio::time::{timeout_at, Instant};

/// Most keys that a watch answers.
const WATCH_LIMIT: u32 = 1000;
/// Retry hint of an outage, in milliseconds.
const OUTAGE_RETRY_MILLIS: u64 = 500;

/// Settings of the stand-in.
#[derive(Clone, Debug)]
pub struct KeyValueConfig {
    /// Where to listen.
    pub listen: SocketAddr,
    /// Calls a second; 0 for no limit.
    pub rate_per_second: f64,
    /// Calls at once that the rate limit lets through.
    pub burst: f64,
}

impl Default for KeyValueConfig {
    fn default() -> Self {
        Self {
            listen: (Ipv4Addr::LOCALHOST, 0).into(),
            rate_per_second: 0.0,
            burst: 20.0,
        }
    }
}

/// Faults in force.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct KeyValueFaults {
    /// Every call is answered by 503 without effect.
    pub outage: bool,
    /// Added to each call, half of it before the effect and half after.
    pub latency_millis: u64,
    /// The answers of so many writes and deletes that took effect are lost: the
    /// connection is closed instead.
    pub lose_answers: u32,
    /// An outage begins with the last lost answer, so that the writer cannot
    /// read back what it wrote.
    pub outage_follows: bool,
}

/// A change that took effect.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KeyValueChange {
    /// When, in milliseconds since the Unix epoch.
    pub at_millis: u64,
    /// The key.
    pub key: String,
    /// What happened to it.
    pub kind: ChangeKind,
    /// The version after it.
    pub version: u64,
    /// Whether the answer was lost on purpose.
    pub answer_lost: bool,
}

/// Kinds of changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeKind {
    /// The key came to be.
    Created,
    /// It was overwritten.
    Updated,
    /// It was deleted.
    Deleted,
    /// It vanished with its lease.
    LeaseEnded,
}

/// Calls so far, by what became of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyValueCalls {
    /// Let through.
    pub admitted: u64,
    /// Refused by the rate limit.
    pub rate_limited: u64,
    /// Refused by an outage.
    pub refused_in_outage: u64,
}

impl KeyValueCalls {
    /// All of them.
    pub fn all(&self) -> u64 {
        self.admitted + self.rate_limited + self.refused_in_outage
    }
}

/// The stand-in.
pub struct KeyValue {
    state: Mutex<State>,
    /// The version of the last write; wakes the watches.
    last_version: watch::Sender<u64>,
}

struct State {
    store: Store,
    rate_limit: RateLimit,
    faults: KeyValueFaults,
    calls: KeyValueCalls,
}

/// A running stand-in; stops when dropped.
pub struct RunningKeyValue {
    /// The server.
    pub server: RunningServer,
    service: Arc<KeyValue>,
}

impl RunningKeyValue {
    /// Every change so far, in order.
    pub fn ledger(&self) -> Vec<KeyValueChange> {
        self.service.lock().store.ledger().to_vec()
    }

    /// Sets the faults in force.
    pub fn set_faults(&self, faults: KeyValueFaults) {
        self.service.set_faults(faults);
    }
}

impl KeyValue {
    /// Starts the stand-in.
    pub async fn start(config: KeyValueConfig) -> io::Result<RunningKeyValue> {
        let state = State {
            store: Store::default(),
            rate_limit: RateLimit::new(config.rate_per_second, config.burst),
            faults: KeyValueFaults::default(),
            calls: KeyValueCalls::default(),
        };
        let service = Arc::new(Self {
            state: Mutex::new(state),
            last_version: watch::Sender::new(0),
        });
        let server = server::start(config.listen, service.clone(), ConnectionCutter::new()).await?;
        Ok(RunningKeyValue { server, service })
    }

    /// Also wakes the watches, which end in an outage.
    fn set_faults(&self, faults: KeyValueFaults) {
        self.lock().faults = faults;
        self.last_version.send_modify(|_| {});
    }

    /// The state, with ended leases removed.
    fn lock(&self) -> MutexGuard<'_, State> {
        let mut state = self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        state.store.end_leases(now_millis());
        state
    }

    fn admit(&self) -> Result<Duration, Rejection> {
        let mut state = self.lock();
        if state.faults.outage {
            state.calls.refused_in_outage += 1;
            return Err(refuse(StatusCode::SERVICE_UNAVAILABLE, "outage", OUTAGE_RETRY_MILLIS).into());
        }
        if let Err(wait) = state.rate_limit.take() {
            state.calls.rate_limited += 1;
            return Err(refuse(StatusCode::TOO_MANY_REQUESTS, "rate limited", wait).into());
        }
        state.calls.admitted += 1;
        Ok(Duration::from_millis(state.faults.latency_millis / 2))
    }

    async fn call(&self, request: Request<Incoming>) -> HandlerResult {
        let path = request.uri().path().to_string();
        let answer = match path.as_str() {
            wire::GET_PATH => {
                let body: wire::GetRequest = read_json(request).await?;
                let value = self.lock().store.get(&body.key);
                ok(&wire::GetAnswer { value })
            }
            wire::LIST_PATH => {
                let body: wire::ListRequest = read_json(request).await?;
                let values = self.lock().store.list(&body.prefix, &body.after, body.limit);
                ok(&wire::ListAnswer { values })
            }
            wire::WRITE_PATH => {
                let body: wire::WriteRequest = read_json(request).await?;
                let Some(outcome) = self.lock().store.write_if(body, now_millis()) else {
                    return Err(lease_expired().into());
                };
                return self.answer_change(outcome);
            }
            wire::DELETE_PATH => {
                let body: wire::DeleteRequest = read_json(request).await?;
                let outcome = self
                    .lock()
                    .store
                    .delete_if(&body.key, body.expected, now_millis());
                return self.answer_change(outcome);
            }
            wire::GRANT_PATH => {
                let body: wire::GrantRequest = read_json(request).await?;
                let lease = self.lock().store.grant(body.ttl_millis, now_millis());
                ok(&wire::LeaseBody { lease })
            }
            wire::RENEW_PATH => {
                let body: wire::LeaseBody = read_json(request).await?;
                lease_answer(body.lease, self.lock().store.renew(body.lease, now_millis()))
            }
            wire::REVOKE_PATH => {
                let body: wire::LeaseBody = read_json(request).await?;
                lease_answer(body.lease, self.lock().store.revoke(body.lease, now_millis()))
            }
            wire::WATCH_PATH => self.watch(read_json(request).await?).await?,
            _ => not_found(),
        };
        Ok(answer)
    }

    /// Answers a write or delete, unless its answer shall be lost.
    fn answer_change(&self, outcome: WriteOutcome) -> HandlerResult {
        if let WriteOutcome::Written(version) = outcome {
            self.last_version.send_replace(version);
            let mut state = self.lock();
            if state.faults.lose_answers > 0 {
                state.faults.lose_answers -= 1;
                if state.faults.lose_answers == 0 && state.faults.outage_follows {
                    state.faults.outage = true;
                }
                state.store.mark_answer_lost(version);
                return Err(Rejection::ConnectionCut);
            }
        }
        Ok(ok(&outcome))
    }

    async fn watch(&self, body: wire::WatchRequest) -> HandlerResult {
        let deadline = Instant::now() + Duration::from_millis(body.wait_millis);
        let mut last_version = self.last_version.subscribe();
        loop {
            last_version.mark_unchanged();
            let values = self.watched(&body)?;
            if !values.is_empty() || timeout_at(deadline, last_version.changed()).await.is_err() {
                return Ok(ok(&wire::ListAnswer { values }));
            }
        }
    }

    fn watched(&self, body: &wire::WatchRequest) -> Result<Vec<StoredValue>, Rejection> {
        let state = self.lock();
        if state.faults.outage {
            return Err(Rejection::ConnectionCut);
        }
        Ok(state.store.list(&body.prefix, &body.after, WATCH_LIMIT))
    }

    async fn control(&self, request: Request<Incoming>) -> HandlerResult {
        match request.uri().path() {
            FAULTS_PATH => {
                self.set_faults(read_json(request).await?);
                Ok(ok(&()))
            }
            LEDGER_PATH => Ok(ok(&self.lock().store.ledger())),
            CALLS_PATH => Ok(ok(&self.lock().calls)),
            _ => Ok(not_found()),
        }
    }
}

impl Handler for KeyValue {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> HandlerResult {
        if request.uri().path().starts_with("/control/") {
            return self.control(request).await;
        }
        let half_latency = self.admit()?;
        tokio::time::sleep(half_latency).await;
        let result = self.call(request).await;
        tokio::time::sleep(half_latency).await;
        result
    }
}

fn lease_answer(lease: LeaseId, known: bool) -> Response<Body> {
    if known {
        ok(&wire::LeaseBody { lease })
    } else {
        lease_expired()
    }
}

fn lease_expired() -> Response<Body> {
    refuse(StatusCode::GONE, "the lease has expired", 0)
}
