//! HTTP server of the stand-in store.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use croftrill_http::store_wire::{
    WireLease, WireLeaseRequest, WireRevision, WireTransaction, CHANGES_PATH, ERA_HEADER, ITEMS_PATH,
    LEASES_PATH, REVISION_PATH, WRITE_PATH,
};
use http::{Method, Request, StatusCode};
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout_at};

use crate::http_server::{json, query_value, serve, status, Answer};
use crate::store_state::{StoreState, TransactionOutcome};

/// Interval between checks for expired leases.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(50);
/// Delay of an answer that must not arrive; longer than any caller waits.
const LOST_ANSWER_DELAY: Duration = Duration::from_secs(3600);

/// Faults that the store can simulate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum StoreFault {
    /// No fault.
    #[default]
    None,
    /// Refuses every call without executing it.
    Refusing,
    /// Executes writes, but never answers them.
    LosingWriteAnswers,
    /// Never answers any call.
    Silent,
}

/// An in-memory store.
pub struct StoreStandin {
    state: RefCell<StoreState>,
    changed: Notify,
    fault: Cell<StoreFault>,
    calls: Cell<u64>,
    era: Cell<u64>,
}

impl StoreStandin {
    /// Starts a store on a listener; must run within a `LocalSet`.
    pub fn start(listener: TcpListener) -> Rc<Self> {
        let store = Rc::new(StoreStandin {
            state: RefCell::new(StoreState::new()),
            changed: Notify::new(),
            fault: Cell::new(StoreFault::None),
            calls: Cell::new(0),
            era: Cell::new(0),
        });
        let served = store.clone();
        spawn_local(serve(listener, move |request| served.clone().answer(request)));
        spawn_local(store.clone().expire_leases());
        store
    }

    /// Sets the simulated fault.
    pub fn set_fault(&self, fault: StoreFault) {
        self.fault.set(fault);
        self.changed.notify_waiters();
    }

    /// Returns the number of calls received so far.
    pub fn calls(&self) -> u64 {
        self.calls.get()
    }

    /// Changes the state directly, without a call over the wire.
    pub fn with_state<T>(&self, change: impl FnOnce(&mut StoreState) -> T) -> T {
        let result = change(&mut self.state.borrow_mut());
        self.changed.notify_waiters();
        result
    }

    /// Returns a copy of the current state.
    pub fn copy(&self) -> StoreState {
        self.state.borrow().clone()
    }

    /// Restores the state from a copy and starts a new era.
    pub fn restore(&self, copy: &StoreState) {
        self.era.set(self.era.get() + 1);
        self.with_state(|state| state.restore(copy, Instant::now()));
    }

    async fn expire_leases(self: Rc<Self>) {
        loop {
            sleep(EXPIRY_INTERVAL).await;
            if self.state.borrow_mut().expire(Instant::now()) {
                self.changed.notify_waiters();
            }
        }
    }

    async fn answer(self: Rc<Self>, request: Request<Bytes>) -> Answer {
        let mut answer = self.answer_without_era(request).await;
        answer.headers_mut().insert(ERA_HEADER, self.era.get().into());
        answer
    }

    async fn answer_without_era(&self, request: Request<Bytes>) -> Answer {
        self.calls.set(self.calls.get() + 1);
        match self.fault.get() {
            StoreFault::Refusing => return status(StatusCode::SERVICE_UNAVAILABLE),
            StoreFault::Silent => sleep(LOST_ANSWER_DELAY).await,
            _ => {}
        }
        let path = request.uri().path().to_string();
        match (request.method(), path.as_str()) {
            (&Method::GET, ITEMS_PATH) => {
                let prefix = query_value(&request, "prefix").unwrap_or_default();
                json(&self.state.borrow().items(&prefix))
            }
            (&Method::GET, REVISION_PATH) => json(&WireRevision {
                revision: self.state.borrow().revision(),
            }),
            (&Method::GET, CHANGES_PATH) => self.changes(&request).await,
            (&Method::POST, WRITE_PATH) => {
                let answer = self.write(&request);
                self.delay_lost_answer().await;
                answer
            }
            (&Method::POST, LEASES_PATH) => self.grant(&request),
            (method, path) => self.lease_call(method, path),
        }
    }

    async fn delay_lost_answer(&self) {
        if self.fault.get() == StoreFault::LosingWriteAnswers {
            sleep(LOST_ANSWER_DELAY).await;
        }
    }

    async fn changes(&self, request: &Request<Bytes>) -> Answer {
        let prefix = query_value(request, "prefix").unwrap_or_default();
        let number = |name| {
            query_value(request, name)
                .and_then(|value| value.parse::<u64>().ok())
                .unwrap_or(0)
        };
        let after = number("after");
        let until = tokio::time::Instant::now() + Duration::from_millis(number("wait_ms"));
        loop {
            let changed = self.changed.notified();
            match self.state.borrow().changes(&prefix, after) {
                Err(_) => return status(StatusCode::GONE),
                Ok(changes) if !changes.items.is_empty() => return json(&changes),
                Ok(_) => {}
            }
            if timeout_at(until, changed).await.is_err() {
                return match self.state.borrow().changes(&prefix, after) {
                    Ok(changes) => json(&changes),
                    Err(_) => status(StatusCode::GONE),
                };
            }
        }
    }

    fn write(&self, request: &Request<Bytes>) -> Answer {
        let Ok(transaction) = serde_json::from_slice::<WireTransaction>(request.body()) else {
            return status(StatusCode::BAD_REQUEST);
        };
        match self.with_state(|state| state.transact(&transaction)) {
            TransactionOutcome::Done(revision) => json(&WireRevision { revision }),
            TransactionOutcome::Rejected => status(StatusCode::CONFLICT),
            TransactionOutcome::NoSuchLease => status(StatusCode::NOT_FOUND),
        }
    }

    fn grant(&self, request: &Request<Bytes>) -> Answer {
        let Ok(lease_request) = serde_json::from_slice::<WireLeaseRequest>(request.body()) else {
            return status(StatusCode::BAD_REQUEST);
        };
        let time_to_live = Duration::from_millis(lease_request.time_to_live_ms);
        json(&WireLease {
            lease: self.state.borrow_mut().grant(time_to_live, Instant::now()),
        })
    }

    fn lease_call(&self, method: &Method, path: &str) -> Answer {
        let number = path
            .strip_prefix(LEASES_PATH)
            .and_then(|rest| rest.trim_start_matches('/').parse().ok());
        let Some(lease) = number else {
            return status(StatusCode::BAD_REQUEST);
        };
        let done = match *method {
            Method::POST => self.state.borrow_mut().renew(lease, Instant::now()),
            Method::DELETE => self.with_state(|state| state.end(lease)),
            _ => false,
        };
        status(if done {
            StatusCode::OK
        } else {
            StatusCode::NOT_FOUND
        })
    }
}
