//! HTTP server of a stand-in replica, which also maintains its own entry in the store.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::LazyLock;
use std::time::{Duration, Instant};

use base64::prelude::{Engine as _, BASE64_STANDARD};
use bytes::Bytes;
use croftrill_http::dialect::{ATTEMPT_HEADER, BYTES_PER_TOKEN, GROUP_HEADER, LAST_EVENT_HEADER};
use croftrill_http::document::{COMPLETION_PATHS, MODEL_SERVICE};
use croftrill_http::engine_wire::{
    WireOrder, WireReplica, WireReport, INCARNATION_HEADER, LEAVING_HEADER, LEAVING_VALUE, LIMIT_HEADER,
    LOAD_HEADER, NOT_EXECUTED_HEADER, ORDER_PATH, REJECTIONS_HEADER, REPORT_PATH,
};
use croftrill_http::records::REPLICA_PREFIX;
use croftrill_http::store::StoreClient;
use croftrill_node::ports::{ConditionalPut, KeyValueStore, StoreError, Write};
use croftrill_node::stream::{AnswerBody, StreamChunk};
use croftrill_scheduler::replica::OrderOutcome;
use http::header::HeaderValue;
use http::{Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::sleep;

use crate::answer_ends::ClosedBetweenEvents;
use crate::engine_state::{EngineConfig, EngineState, StartOutcome};
use crate::http_server::{json, serve_with_faults, status, Answer};

/// Path that returns the replica's [`Ledger`].
pub const LEDGER_PATH: &str = "/standin/ledger";
/// Interval between renewals of the lease on the replica's entry.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);
/// Time to live of the replica's entry.
const ENTRY_TIME_TO_LIVE: Duration = Duration::from_millis(1500);
/// Reference point of all timestamps, common to the replicas of one process.
static PROCESS_START: LazyLock<Instant> = LazyLock::new(Instant::now);
/// Number of events in an answer to a request without `max_tokens`.
const DEFAULT_EVENTS: u64 = 8;

/// Requests that a replica ran, and violations that it observed.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Ledger {
    /// Number of runs by attempt id.
    pub runs: std::collections::BTreeMap<String, u32>,
    /// Violated guarantees of the system.
    pub violations: Vec<String>,
    /// Runs with the group that the node sent, in order.
    #[serde(default)]
    pub group_runs: Vec<GroupRun>,
    /// Calls in order, with the signals in their answers.
    #[serde(default)]
    pub arrivals: Vec<Arrival>,
    /// Number of requests that were rejected because no slot was free.
    #[serde(default)]
    pub turned_away: u32,
    /// Number of times that it fell over as it had to reject too many requests.
    #[serde(default)]
    pub falls: u32,
    /// Attempts whose answer was closed after a whole event, though not whole, without a length or
    /// chunks, so that nobody can tell.
    #[serde(default)]
    pub closed_between_events: Vec<String>,
}

/// A call that reached the replica, whether it was run or not.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Arrival {
    /// Attempt id; empty for an order or a report call.
    pub attempt: String,
    /// Time of arrival, in milliseconds since the process started.
    pub at_ms: u64,
    /// Whether the answer announces that the replica is leaving.
    pub says_leaving: bool,
    /// Cooldown that the answer requests, in milliseconds.
    pub rest_ms: Option<u64>,
    /// Limit in the answer on requests per second from all nodes together.
    pub limit_per_s: Option<f64>,
}

/// A run and its cost for the group's quota.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct GroupRun {
    /// Attempt id.
    pub attempt: String,
    /// Group that the node sent, if any.
    pub group: Option<String>,
    /// Tokens of the prompt plus the maximum number of tokens of the answer.
    pub tokens: u64,
    /// Start time, in milliseconds since the process started.
    pub at_ms: u64,
}

/// Identity and addresses of a replica.
#[derive(Debug, Clone)]
pub struct EngineIdentity {
    /// Id of the incarnation.
    pub id: String,
    /// Zone of the replica.
    pub zone: String,
    /// Address in the replica's entry, which may be that of a proxy.
    pub address: SocketAddr,
    /// Address of the store.
    pub store: SocketAddr,
    /// Version of its software, named in its entry and in each event.
    pub software_version: Option<String>,
    /// Whether it has the id of an earlier incarnation, and how it differs from that.
    pub restart: Option<Restart>,
}

/// How a replica starts that may have the id of an earlier incarnation.
#[derive(Debug, Clone, Copy)]
pub struct Restart {
    /// When it started, as its entry and its reports say.
    pub started_ms: u64,
    /// Time from the start, from when on it answers, until it first writes its entry.
    pub entry_delay: Duration,
}

/// An in-memory replica.
pub struct EngineStandin {
    identity: EngineIdentity,
    state: RefCell<EngineState>,
    slots: u32,
    tasks: RefCell<Vec<JoinHandle<()>>>,
    group_runs: RefCell<Vec<GroupRun>>,
    key_leaks: RefCell<Vec<String>>,
    arrivals: RefCell<Vec<Arrival>>,
    /// Whether answers announce that the replica is leaving. The entry does not.
    is_leaving: Cell<bool>,
    /// Cooldown to request while the replica rejects all requests.
    cooldown: Cell<Option<Duration>>,
    /// Rejections a second that it bears, sent in answers; it ends at one more.
    max_rejections: Cell<Option<u32>>,
    /// Times of its rejections in the last second.
    rejected_at: RefCell<VecDeque<Instant>>,
    /// Number of times that it fell over.
    falls: Cell<u32>,
    /// Limit to send in answers while the replica is overloaded.
    limit_per_s: Cell<Option<f64>>,
    /// Whether the entry must be written again because the store may have lost it.
    must_rewrite_entry: Cell<bool>,
    /// Attempts whose answer was closed after a whole event, though not whole, without a length.
    closed_between_events: ClosedBetweenEvents,
    /// Which orders get no answer and are carried out late.
    late_orders: Cell<Option<LateOrders>>,
    /// Number of orders received while some were late.
    order_count: Cell<u32>,
    /// The replica that started again under this one's id.
    next_life: RefCell<Option<Rc<EngineStandin>>>,
    /// Notified when the replica is to end: a crashing request ran, an order was beyond its room, or it
    /// has left.
    end_requested: Notify,
}

/// Orders that get no answer and are carried out late.
#[derive(Debug, Clone, Copy)]
pub struct LateOrders {
    /// Each order with a number that this divides.
    pub each: u32,
    /// Time until it is carried out.
    pub late_by: Duration,
}

#[derive(Debug, Deserialize)]
struct Completion {
    model: String,
    #[serde(default)]
    max_tokens: Option<u64>,
    #[serde(default)]
    prompt: String,
    /// Parts in front of the prompt.
    #[serde(default)]
    messages: Vec<Message>,
}

#[derive(Debug, Deserialize)]
struct Message {
    content: String,
}

impl Completion {
    fn crashes_replica(&self) -> bool {
        let mut messages = self.messages.iter();
        self.prompt.starts_with(CRASH_PROMPT_PREFIX)
            || messages.any(|message| message.content.starts_with(CRASH_PART_PREFIX))
    }
}

/// Prefix of messages that crash any replica that begins to answer, whatever the prompt is.
pub const CRASH_PART_PREFIX: &str = "crash part ";
/// Prefix of prompts that crash any replica that starts to run them.
pub const CRASH_PROMPT_PREFIX: &str = "crash ";
/// Time in which a replica counts its rejections.
const REJECTION_PERIOD: Duration = Duration::from_secs(1);
/// Time from the start of such a request to the crash.
const CRASH_DELAY: Duration = Duration::from_millis(30);

impl EngineStandin {
    /// Starts a replica on a listener; must run within a `LocalSet`.
    pub fn start(
        listener: TcpListener,
        identity: EngineIdentity,
        config: EngineConfig,
        models: &[String],
        on_disk: &[String],
    ) -> Rc<Self> {
        let slots = config.slots as u32;
        let faults = config.answer_faults;
        let state = RefCell::new(EngineState::new(config, models, on_disk));
        let engine = Rc::new(EngineStandin {
            identity,
            state,
            slots,
            tasks: RefCell::default(),
            group_runs: RefCell::default(),
            key_leaks: RefCell::default(),
            arrivals: RefCell::default(),
            is_leaving: Cell::new(false),
            cooldown: Cell::new(None),
            max_rejections: Cell::new(None),
            rejected_at: RefCell::default(),
            falls: Cell::new(0),
            limit_per_s: Cell::new(None),
            must_rewrite_entry: Cell::new(false),
            closed_between_events: ClosedBetweenEvents::default(),
            late_orders: Cell::new(None),
            order_count: Cell::default(),
            next_life: RefCell::default(),
            end_requested: Notify::new(),
        });
        let served = engine.clone();
        let answer = move |request: Request<Bytes>| {
            let engine = served.clone();
            async move { engine.answer(&request) }
        };
        let closed = engine.closed_between_events.clone();
        let serving = spawn_local(serve_with_faults(listener, answer, faults, closed));
        let listed = spawn_local(engine.clone().maintain_entry());
        engine.tasks.borrow_mut().extend([serving, listed]);
        engine
    }

    /// Waits until the replica crashes or leaves.
    pub async fn wait_for_end(&self) {
        self.end_requested.notified().await;
    }

    /// Causes the entry to be written again, as the store may have lost it.
    pub fn rewrite_entry(&self) {
        self.must_rewrite_entry.set(true);
    }

    /// Announces in all following answers that the replica is leaving.
    pub fn announce_leaving(&self) {
        self.is_leaving.set(true);
    }

    /// Reports that the replica has left, so that the caller of [`Self::wait_for_end`] restarts it.
    pub fn finish_leaving(&self) {
        self.end_requested.notify_one();
    }

    /// Rejects all following requests with a cooldown; `None` accepts them again.
    pub fn set_cooldown(&self, cooldown: Option<Duration>) {
        self.cooldown.set(cooldown);
    }

    /// Sends a limit on calls in all following answers; `None` sends none.
    pub fn set_limit(&self, per_s: Option<f64>) {
        self.limit_per_s.set(per_s);
    }

    /// Sets the rejections a second that the replica bears; `None` for any number.
    pub fn set_max_rejections(&self, per_s: Option<u32>) {
        self.max_rejections.set(per_s);
    }

    /// Sets how many slots are taken by others from now on. Answers don't tell of them.
    pub fn set_taken_slots(&self, slots: usize) {
        self.state.borrow_mut().set_taken_slots(slots);
    }

    /// Sets whether work takes longer than usual from now on.
    pub fn set_slowed(&self, is_slowed: bool) {
        self.state.borrow_mut().set_slowed(is_slowed);
    }

    /// Stops accepting connections and renewing the entry. Open connections stay up; the proxy in
    /// front of the replica has to reset them.
    pub fn end(&self) {
        self.tasks.borrow_mut().drain(..).for_each(|task| task.abort());
    }

    /// Returns the requests that the replica ran and the violations that it observed.
    pub fn ledger(&self) -> Ledger {
        let state = self.state.borrow();
        Ledger {
            runs: state.runs().clone(),
            violations: [state.violations(), &self.key_leaks.borrow()].concat(),
            group_runs: self.group_runs.borrow().clone(),
            arrivals: self.arrivals.borrow().clone(),
            turned_away: state.rejected_requests(),
            falls: self.falls.get(),
            closed_between_events: self.closed_between_events.borrow().clone(),
        }
    }

    fn answer(self: &Rc<Self>, request: &Request<Bytes>) -> Answer {
        let mut answer = self.answer_without_signals(request);
        if self.is_leaving.get() {
            let value = HeaderValue::from_static(LEAVING_VALUE);
            answer.headers_mut().insert(LEAVING_HEADER, value);
        }
        if let Some(max_rejections) = self.max_rejections.get() {
            let value = HeaderValue::from(max_rejections);
            answer.headers_mut().insert(REJECTIONS_HEADER, value);
        }
        let limit = self.limit_per_s.get().map(|per_s| per_s.to_string());
        if let Some(value) = limit.and_then(|limit| HeaderValue::from_str(&limit).ok()) {
            answer.headers_mut().insert(LIMIT_HEADER, value);
        }
        answer
    }

    fn record_arrival(&self, attempt: &str) {
        self.arrivals.borrow_mut().push(Arrival {
            attempt: attempt.to_string(),
            at_ms: PROCESS_START.elapsed().as_millis() as u64,
            says_leaving: self.is_leaving.get(),
            rest_ms: self.cooldown.get().map(|cooldown| cooldown.as_millis() as u64),
            limit_per_s: self.limit_per_s.get(),
        });
    }

    fn answer_without_signals(self: &Rc<Self>, request: &Request<Bytes>) -> Answer {
        let path = request.uri().path();
        if path == LEDGER_PATH {
            return json(&self.ledger());
        }
        let expected = request
            .headers()
            .get(INCARNATION_HEADER)
            .and_then(|value| value.to_str().ok());
        if expected.is_some_and(|expected| expected != self.identity.id) {
            return self.with_attempt_and_load(status(StatusCode::MISDIRECTED_REQUEST), request);
        }
        match path {
            REPORT_PATH => {
                self.record_arrival("");
                match self.state.borrow_mut().report(Instant::now()) {
                    Some(report) => json(&WireReport {
                        started_ms: self.started_ms(),
                        ..report
                    }),
                    None => never_ending(),
                }
            }
            ORDER_PATH => {
                self.record_arrival("");
                self.order(request)
            }
            path if COMPLETION_PATHS.contains(&path) => self.complete(request),
            _ => status(StatusCode::NOT_FOUND),
        }
    }

    fn order(self: &Rc<Self>, request: &Request<Bytes>) -> Answer {
        let Ok(order) = serde_json::from_slice::<WireOrder>(request.body()) else {
            return status(StatusCode::BAD_REQUEST);
        };
        if !self.state.borrow_mut().admits(&order) {
            return status(StatusCode::PRECONDITION_FAILED);
        }
        if let Some(late_by) = self.draw_late_order() {
            let addressee = self.clone();
            spawn_local(async move {
                sleep(late_by).await;
                addressee.latest_life().carry_out(&order);
            });
            return never_ending();
        }
        match self.carry_out(&order) {
            OrderOutcome::Accepted => status(StatusCode::ACCEPTED),
            OrderOutcome::AlreadyHolds => status(StatusCode::OK),
            OrderOutcome::Conflict => status(StatusCode::CONFLICT),
            OrderOutcome::Fenced => status(StatusCode::PRECONDITION_FAILED),
            OrderOutcome::OtherIncarnation => status(StatusCode::MISDIRECTED_REQUEST),
            OrderOutcome::Rejected => status(StatusCode::BAD_REQUEST),
            OrderOutcome::Unknown => never_ending(),
        }
    }

    fn carry_out(&self, order: &WireOrder) -> OrderOutcome {
        let mut state = self.state.borrow_mut();
        let outcome = state.order(order, Instant::now());
        if state.has_fallen() {
            self.end_requested.notify_one();
        }
        outcome
    }

    /// Returns how late the next order is carried out, if it gets no answer.
    fn draw_late_order(&self) -> Option<Duration> {
        let late = self.late_orders.get()?;
        let number = self.order_count.get();
        self.order_count.set(number + 1);
        (number % late.each == 0).then_some(late.late_by)
    }

    /// Returns the replica that has this one's id now.
    fn latest_life(self: &Rc<Self>) -> Rc<Self> {
        let mut latest = self.clone();
        loop {
            let Some(next) = latest.next_life.borrow().clone() else {
                return latest;
            };
            latest = next;
        }
    }

    /// Notes that a replica has started again under this one's id, so that late orders reach it.
    pub fn set_next_life(&self, next: Rc<Self>) {
        self.next_life.replace(Some(next));
    }

    /// Sets which orders get no answer and are carried out late; `None` answers all.
    pub fn set_late_orders(&self, late: Option<LateOrders>) {
        self.late_orders.set(late);
    }

    /// Continues the slow adapters and late orders of the life before.
    pub fn continue_order_faults(&self, former: &Self) {
        self.late_orders.set(former.late_orders.get());
        let transit = former.state.borrow().adapter_transit();
        self.set_adapter_transit(transit);
    }

    /// Sets the time that adapters take to arrive from now on.
    pub fn set_adapter_transit(&self, adapter_transit: Duration) {
        self.state.borrow_mut().set_adapter_transit(adapter_transit);
    }

    fn complete(self: &Rc<Self>, request: &Request<Bytes>) -> Answer {
        let attempt = request
            .headers()
            .get(ATTEMPT_HEADER)
            .and_then(|value| value.to_str().ok());
        let completion = serde_json::from_slice::<Completion>(request.body());
        let (Some(attempt), Ok(completion)) = (attempt, completion) else {
            return not_executed(status(StatusCode::BAD_REQUEST));
        };
        self.record_arrival(attempt);
        if let Some(cooldown) = self.cooldown.get() {
            let refusal = not_executed(status(StatusCode::SERVICE_UNAVAILABLE));
            return self.with_attempt_and_load(with_retry_after(refusal, cooldown), request);
        }
        let (model, adapter) = model_and_adapter(&completion.model);
        let outcome = self
            .state
            .borrow_mut()
            .start_run(attempt, model, adapter, Instant::now());
        match outcome {
            StartOutcome::Absent => {
                self.with_attempt_and_load(status(StatusCode::MISDIRECTED_REQUEST), request)
            }
            StartOutcome::Full => {
                self.record_rejection();
                self.with_attempt_and_load(not_executed(status(StatusCode::SERVICE_UNAVAILABLE)), request)
            }
            StartOutcome::Running => {
                self.record_group_run(request, attempt, &completion);
                if completion.crashes_replica() {
                    self.clone().schedule_crash();
                }
                let events = completion.max_tokens.unwrap_or(DEFAULT_EVENTS);
                let first = first_event(request);
                let stream = self.stream(attempt.to_string(), completion.model, first, events);
                self.with_attempt_and_load(stream, request)
            }
        }
    }

    /// Records the group of a request. A caller's key must not reach a replica.
    fn record_group_run(&self, request: &Request<Bytes>, attempt: &str, completion: &Completion) {
        let header = |name: &str| request.headers().get(name).and_then(|value| value.to_str().ok());
        if request.headers().contains_key(http::header::AUTHORIZATION) {
            let leak = format!("the key of {attempt} reached a replica");
            self.key_leaks.borrow_mut().push(leak);
        }
        self.group_runs.borrow_mut().push(GroupRun {
            attempt: attempt.to_string(),
            group: header(GROUP_HEADER).map(str::to_string),
            tokens: completion.prompt.len() as u64 / BYTES_PER_TOKEN + completion.max_tokens.unwrap_or(0),
            at_ms: PROCESS_START.elapsed().as_millis() as u64,
        });
    }

    /// Counts a rejection for want of a slot, and ends the replica if it bears no more.
    fn record_rejection(&self) {
        let now = Instant::now();
        let mut rejected_at = self.rejected_at.borrow_mut();
        rejected_at.retain(|at| now.duration_since(*at) < REJECTION_PERIOD);
        rejected_at.push_back(now);
        let max_rejections = self.max_rejections.get();
        if max_rejections.is_some_and(|max| rejected_at.len() > max as usize) && self.falls.get() == 0 {
            self.falls.set(1);
            self.end_requested.notify_one();
        }
    }

    fn schedule_crash(self: Rc<Self>) {
        spawn_local(async move {
            sleep(CRASH_DELAY).await;
            self.end_requested.notify_one();
        });
    }

    /// Streams numbered events, from the number `first` on, followed by the end marker.
    fn stream(self: &Rc<Self>, attempt: String, requested: String, first: u64, events: u64) -> Answer {
        let (sender, body) = AnswerBody::stream();
        let engine = self.clone();
        let pause = self.state.borrow().event_interval();
        spawn_local(async move {
            let version = engine.identity.software_version.clone().unwrap_or_default();
            for index in first..events {
                sleep(pause).await;
                let event = format!(
                    "id: {index}\ndata: {{\"attempt\":\"{attempt}\",\"index\":{index},\"of\":{events},\
                     \"version\":\"{version}\"}}\n\n"
                );
                if sender.send(Ok(StreamChunk::Bytes(event.into()))).await.is_err() {
                    break;
                }
            }
            for part in [StreamChunk::Bytes("data: [DONE]\n\n".into()), StreamChunk::End] {
                // The receiver may be closed already; the run ends in any case.
                let _ = sender.send(Ok(part)).await;
            }
            let (model, adapter) = model_and_adapter(&requested);
            let mut state = engine.state.borrow_mut();
            state.end_run(model, adapter, Instant::now());
        });
        let mut answer = Response::new(body);
        let kind = HeaderValue::from_static("text/event-stream");
        answer.headers_mut().insert(http::header::CONTENT_TYPE, kind);
        answer
    }

    /// Adds headers with the request's attempt id and the current load.
    fn with_attempt_and_load(&self, mut answer: Answer, request: &Request<Bytes>) -> Answer {
        if let Some(attempt) = request.headers().get(ATTEMPT_HEADER) {
            answer.headers_mut().insert(ATTEMPT_HEADER, attempt.clone());
        }
        if let Ok(load) = HeaderValue::from_str(&self.state.borrow().load()) {
            answer.headers_mut().insert(LOAD_HEADER, load);
        }
        answer
    }

    /// Maintains the replica's entry in the store: writes each change of it under a lease and
    /// renews the lease.
    async fn maintain_entry(self: Rc<Self>) {
        if let Some(restart) = self.identity.restart {
            sleep(restart.entry_delay).await;
        }
        let store = StoreClient::new(self.identity.store);
        let mut lease = None;
        let mut written = None;
        loop {
            let entry = self.entry();
            if self.must_rewrite_entry.take() {
                written = None;
            }
            let known = match lease {
                Some(lease) if store.renew_lease(lease).await != Err(StoreError::NoSuchLease) => Some(lease),
                _ => store.grant_lease(ENTRY_TIME_TO_LIVE).await.ok(),
            };
            if let Some(number) = known {
                if known != lease || written.as_ref() != Some(&entry) {
                    let write = Write {
                        key: format!("{REPLICA_PREFIX}{}", self.identity.id),
                        value: entry.clone(),
                        lease: number,
                    };
                    let put = ConditionalPut {
                        conditions: Vec::new(),
                        writes: vec![write],
                    };
                    written = store.put(put).await.is_ok().then_some(entry);
                }
            }
            lease = known;
            sleep(HEARTBEAT_INTERVAL).await;
        }
    }

    fn started_ms(&self) -> Option<u64> {
        self.identity.restart.map(|restart| restart.started_ms)
    }

    fn entry(&self) -> Bytes {
        let replica = WireReplica {
            service: MODEL_SERVICE.to_string(),
            address: self.identity.address.to_string(),
            zone: self.identity.zone.clone(),
            slots: self.slots,
            draining: false,
            holdings: self.state.borrow_mut().holdings(Instant::now()),
            software_version: self.identity.software_version.clone(),
            started_ms: self.started_ms(),
        };
        serde_json::to_vec(&replica).unwrap_or_default().into()
    }
}

/// Splits what a request asks for into the model and its adapter.
fn model_and_adapter(requested: &str) -> (&str, Option<&str>) {
    match requested.split_once('/') {
        Some((model, adapter)) => (model, Some(adapter)),
        None => (requested, None),
    }
}

/// Returns the number of the first event of an answer: after the one that the request names.
fn first_event(request: &Request<Bytes>) -> u64 {
    let last = request.headers().get(LAST_EVENT_HEADER);
    let last = last.and_then(|value| value.to_str().ok()?.parse::<u64>().ok());
    last.map_or(0, |last| last + 1)
}

/// Returns an answer whose body never ends, as its replica says nothing more.
fn never_ending() -> Answer {
    let (sender, body) = AnswerBody::stream();
    spawn_local(async move { sender.closed().await });
    Response::new(body)
}

fn not_executed(mut answer: Answer) -> Answer {
    answer
        .headers_mut()
        .insert(NOT_EXECUTED_HEADER, HeaderValue::from_static("1"));
    answer
}

fn with_retry_after(mut answer: Answer, cooldown: Duration) -> Answer {
    if let Ok(value) = HeaderValue::from_str(&cooldown.as_secs_f64().to_string()) {
        answer.headers_mut().insert(http::header::RETRY_AFTER, value);
    }
    answer
}

/// Encodes a value as the store holds it, for tools that write to the store directly.
pub fn encode_value(value: &[u8]) -> String {
    BASE64_STANDARD.encode(value)
}
