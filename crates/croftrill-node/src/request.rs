//! One request from its arrival to the end of its answer.
//!
//! Safety: a request that must not be repeated goes to a second replica only if
//! the first provably did not run it; and a refusal that promises "not run" is
//! given only if every replica it went to provably did not run it.

use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use croftrill_scheduler::admission::{caller_patience, decide_cold, ColdDecision, ColdRequest};
use croftrill_scheduler::catalog::{Configuration, Route, RouteKind, ServiceName};
use croftrill_scheduler::demand::ModelKey;
use croftrill_scheduler::health::SendOutcome;
use croftrill_scheduler::replica::ReplicaId;
use croftrill_scheduler::routing::{choose, ModelNeed, RoutingRequest};
use http::header::{self, HeaderMap, HeaderName, HeaderValue};
use http::{request, response, Method, Request, Response, StatusCode, Uri};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use tokio::time::{timeout_at, Instant};
use xxhash_rust::xxh3::xxh3_64;

use crate::connection::{Connection, ExchangeError};
use crate::metrics::Metrics;
use crate::node::{Lifecycle, Node};
use crate::peer::{ToOrderer, WireModel};
use crate::ports::{AnswerFacts, Dialect, Execution, Forwarding, Platform, RequestFacts};
use crate::stream::{AnswerBody, EventCutter};

/// Time that a caller without a deadline is taken to wait.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);
/// Expected time to read one token of a prompt.
const TIME_PER_PROMPT_TOKEN: Duration = Duration::from_micros(30);
/// Cost of a generated token, in prompt tokens.
const OUTPUT_TOKEN_COST: u64 = 10;
/// Expected time until an adapter is there once it was asked for.
const ADAPTER_READY_IN: Duration = Duration::from_millis(120);
/// Expected time until a model of unknown load time is there.
const MODEL_READY_IN: Duration = Duration::from_millis(1500);
/// Expected time from the first mention of a model to its order.
const ORDER_DELAY: Duration = Duration::from_millis(350);
/// Expected time until a model is there while no node gives orders.
const NO_ORDERER_READY_IN: Duration = Duration::from_millis(3000);
/// Time to come back after a refusal without a better estimate.
const DEFAULT_RETURN: Duration = Duration::from_millis(400);
/// Pause before a request goes once more to the replica that refused it.
const SAME_REPLICA_PAUSE: Duration = Duration::from_millis(60);
/// Sends of one request, at most, whatever the route allows.
const MOST_SENDS: usize = 4;
/// Time between two reminders to the orderer of a waiting request.
const REMIND_EVERY: Duration = Duration::from_millis(500);

type Answer = Response<AnswerBody>;

/// Serves one request.
pub async fn serve<P: Platform>(node: &Rc<Node<P>>, request: Request<Incoming>) -> Answer {
    let arrival = Instant::now();
    let flight = Flight::begin(node);
    let (head, body) = request.into_parts();
    let facts = match node.platform.dialect().request_facts(&head) {
        Ok(facts) => facts,
        Err(error) => return refuse(StatusCode::BAD_REQUEST, &error.to_string(), None),
    };
    let Some(configuration) = node.configuration() else {
        return refuse(
            StatusCode::SERVICE_UNAVAILABLE,
            "no configuration yet",
            Some(DEFAULT_RETURN),
        );
    };
    let Some(route) = find_route(&configuration, &head) else {
        tracing::info!(target: "request", id = facts.id, outcome = "no route", version = configuration.version);
        return refuse(StatusCode::NOT_FOUND, "no such route", None);
    };
    let deadline = arrival + facts.deadline.unwrap_or(DEFAULT_DEADLINE);
    let until = route
        .timeout
        .map_or(deadline, |timeout| deadline.min(arrival + timeout));
    let body = match timeout_at(until, read_body(body, &head, configuration.limits.max_body_bytes)).await {
        Ok(Ok(body)) => body,
        Ok(Err(status)) => return refuse(status, "the body cannot be taken", None),
        Err(_) => {
            return refuse(
                StatusCode::REQUEST_TIMEOUT,
                "the body did not arrive in time",
                None,
            )
        }
    };
    let mut facts = facts;
    if let Err(error) = node.platform.dialect().read_body(&mut facts, &body) {
        return refuse(StatusCode::BAD_REQUEST, &error.to_string(), None);
    }
    let service = pick_backend(&route, &facts.id);
    let Ok(place) = timeout_at(until, take_place(node, &configuration, &facts)).await else {
        return refuse(
            StatusCode::SERVICE_UNAVAILABLE,
            "other groups come first",
            Some(DEFAULT_RETURN),
        );
    };
    let run = RequestRun {
        node: node.clone(),
        facts,
        route,
        service,
        configuration,
        head: Rc::new(head),
        body,
        arrival,
        until,
        flight: Some(flight),
        place,
        sends: 0,
        tried: Vec::new(),
        refused_by: None,
        may_have_run: false,
        last_reminder: Cell::new(None),
        sent_after: None,
        answered_after: None,
    };
    run.serve().await
}

/// Counts a request as in flight while it lives.
struct Flight<P: Platform>(Rc<Node<P>>);

impl<P: Platform> Flight<P> {
    fn begin(node: &Rc<Node<P>>) -> Self {
        node.in_flight.set(node.in_flight.get() + 1);
        Flight(node.clone())
    }
}

impl<P: Platform> Drop for Flight<P> {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}

/// A place among the requests that the node serves at the same time.
struct Place<P: Platform> {
    node: Rc<Node<P>>,
}

impl<P: Platform> Drop for Place<P> {
    fn drop(&mut self) {
        self.node.state.borrow_mut().fair_queue.release();
        self.node.place_freed.notify_waiters();
    }
}

/// Group of requests that name none.
const NO_GROUP: &str = "";

/// Waits for a place, in the order that the groups' shares give. `None` where
/// the number of places is not bounded.
async fn take_place<P: Platform>(
    node: &Rc<Node<P>>,
    configuration: &Configuration,
    facts: &RequestFacts,
) -> Option<Place<P>> {
    node.settings.most_in_service?;
    let group: Arc<str> = facts.group.as_deref().unwrap_or(NO_GROUP).into();
    let share = configuration.group_shares.get(&group).copied().unwrap_or(1);
    let cost = facts.prompt_tokens + OUTPUT_TOKEN_COST * facts.output_tokens;
    let ticket = Ticket {
        node: node.clone(),
        number: node.state.borrow_mut().fair_queue.enter(&group, share, cost),
    };
    loop {
        let freed = node.place_freed.notified();
        if node.state.borrow_mut().fair_queue.try_start(ticket.number) {
            return Some(Place { node: node.clone() });
        }
        freed.await;
    }
}

/// A waiting request; leaves the queue if it is given up.
struct Ticket<P: Platform> {
    node: Rc<Node<P>>,
    number: u64,
}

impl<P: Platform> Drop for Ticket<P> {
    fn drop(&mut self) {
        self.node.state.borrow_mut().fair_queue.leave(self.number);
        self.node.place_freed.notify_waiters();
    }
}

/// Counts a request as sent to a replica while it lives.
struct Send<P: Platform> {
    node: Rc<Node<P>>,
    replica: ReplicaId,
    tokens: u64,
    reading: bool,
}

impl<P: Platform> Send<P> {
    fn begin(node: &Rc<Node<P>>, replica: &ReplicaId, tokens: u64) -> Self {
        node.state.borrow_mut().replicas.begin_send(replica, tokens);
        Send {
            node: node.clone(),
            replica: replica.clone(),
            tokens,
            reading: true,
        }
    }

    /// The first token came: the prompt has been read.
    fn prompt_done(&mut self) {
        if std::mem::take(&mut self.reading) {
            self.node
                .state
                .borrow_mut()
                .replicas
                .prompt_done(&self.replica, self.tokens);
        }
    }

    fn record(&self, outcome: SendOutcome) {
        let now = self.node.clock.now();
        self.node
            .state
            .borrow_mut()
            .replicas
            .record_outcome(&self.replica, outcome, now);
    }
}

impl<P: Platform> Drop for Send<P> {
    fn drop(&mut self) {
        self.prompt_done();
        self.node.state.borrow_mut().replicas.end_send(&self.replica);
    }
}

/// How one send to a replica ended.
enum SendEnd<P: Platform> {
    /// The head of an answer that can be passed on, with its body to come.
    Streaming(Box<Streaming<P>>),
    /// A whole answer.
    Whole { head: response::Parts, body: Bytes },
    /// Nothing was sent.
    NotSent,
    /// The replica provably did not run it.
    NotExecuted { misdirected: bool },
    /// It may have run, and no usable answer came.
    Broken { cause: &'static str },
    /// The request's own time is over.
    OutOfTime,
}

/// An answer whose body is still coming.
struct Streaming<P: Platform> {
    head: response::Parts,
    body: Incoming,
    /// Held so that the socket closes with the stream.
    _connection: Connection,
    send: Send<P>,
}

struct RequestRun<P: Platform> {
    node: Rc<Node<P>>,
    facts: RequestFacts,
    route: Arc<Route>,
    service: ServiceName,
    configuration: Arc<Configuration>,
    head: Rc<request::Parts>,
    body: Bytes,
    arrival: Instant,
    until: Instant,
    flight: Option<Flight<P>>,
    place: Option<Place<P>>,
    sends: usize,
    tried: Vec<ReplicaId>,
    refused_by: Option<ReplicaId>,
    may_have_run: bool,
    last_reminder: Cell<Option<Instant>>,
    /// Time from arrival to the first send.
    sent_after: Option<Duration>,
    /// Time from arrival to the head of the answer.
    answered_after: Option<Duration>,
}

/// Where to send next.
enum NextReplica {
    Send(ReplicaId),
    GiveUp(&'static str, Option<Duration>),
}

impl<P: Platform> RequestRun<P> {
    async fn serve(mut self) -> Answer {
        self.count_arrival();
        loop {
            let replica = match self.next_replica().await {
                NextReplica::Send(replica) => replica,
                NextReplica::GiveUp(cause, come_back) => return self.give_up(cause, come_back),
            };
            if self.sends > 0 && !self.take_retry(&replica) {
                return self.give_up("retry budget used up", Some(DEFAULT_RETURN));
            }
            let end = self.send(&replica, None, self.attempt_limit()).await;
            match end {
                SendEnd::Streaming(streaming) => return self.answer_stream(*streaming),
                SendEnd::Whole { head, body } => {
                    let failed = head.status.is_server_error();
                    if !failed || !self.may_repeat_after(&replica) {
                        return self.answer_whole(&replica, head, body);
                    }
                }
                SendEnd::NotSent => self.exclude(replica),
                SendEnd::NotExecuted { misdirected } => {
                    if !self.after_refusal(replica, misdirected).await {
                        return self.give_up("the replica refused", Some(DEFAULT_RETURN));
                    }
                }
                SendEnd::Broken { cause } => {
                    self.may_have_run = true;
                    if !self.may_repeat_after(&replica) {
                        return self.give_up(cause, None);
                    }
                }
                SendEnd::OutOfTime => {
                    self.may_have_run = true;
                    return self.give_up("out of time", None);
                }
            }
        }
    }

    fn count_arrival(&self) {
        let now = self.node.clock.now();
        let mut state = self.node.state.borrow_mut();
        state.retry_budget.request(&self.service, now);
        if let Some(key) = self.model_key() {
            let tokens = self.facts.prompt_tokens + OUTPUT_TOKEN_COST * self.facts.output_tokens;
            state.demand.add(key, tokens);
        }
    }

    /// The model that the request needs, if its service serves models.
    fn model_key(&self) -> Option<ModelKey> {
        let is_engine = self
            .configuration
            .service(&self.service)
            .is_some_and(|service| service.engine.is_some());
        let model = self.facts.model.clone().filter(|_| is_engine)?;
        Some(ModelKey {
            service: self.service.clone(),
            model,
            adapter: self.facts.adapter.clone(),
        })
    }

    /// A replica that was never reached does not count as one it was sent to,
    /// but is not tried again.
    fn exclude(&mut self, replica: ReplicaId) {
        self.tried.push(replica);
    }

    /// True if the request may go to another replica after it may have run at this one.
    fn may_repeat_after(&mut self, replica: &ReplicaId) -> bool {
        if !self.tried.contains(replica) {
            self.tried.push(replica.clone());
        }
        let within = self.sends < (self.route.max_attempts as usize).min(MOST_SENDS);
        self.route.is_idempotent() && within && Instant::now() < self.until
    }

    /// After a replica provably did not run it: true if it may be sent once more,
    /// to another replica if the route allows, else to the same one after a pause.
    async fn after_refusal(&mut self, replica: ReplicaId, misdirected: bool) -> bool {
        if self.sends >= MOST_SENDS {
            return false;
        }
        let sent_to = self.tried.iter().filter(|tried| **tried != replica).count() + 1;
        let others_allowed = sent_to < self.route.max_attempts as usize;
        if others_allowed {
            self.exclude(replica);
            return true;
        }
        if misdirected {
            return false;
        }
        self.refused_by = Some(replica);
        tokio::time::sleep(SAME_REPLICA_PAUSE).await;
        Instant::now() + self.first_event_after() < self.arrival + self.route.objective
    }

    /// Takes a send beyond the first from the budget.
    fn take_retry(&self, replica: &ReplicaId) -> bool {
        let now = self.node.clock.now();
        let mut state = self.node.state.borrow_mut();
        let nodes = state.members.node_count();
        let taken = state.retry_budget.take(&self.service, nodes, now);
        let outcome = if taken { "taken" } else { "refused" };
        Metrics::count(&self.node.metrics.retries, kind_name(self.route.kind), outcome);
        tracing::info!(target: "retry", id = self.facts.id, sends = self.sends, replica = &**replica, nodes, outcome);
        taken
    }

    /// The replica that takes the request; waits for its model if that helps.
    async fn next_replica(&mut self) -> NextReplica {
        if let Some(replica) = self.refused_by.take() {
            return NextReplica::Send(replica);
        }
        loop {
            if let Some(replica) = self.choose() {
                return NextReplica::Send(replica);
            }
            if Instant::now() >= self.until {
                return NextReplica::GiveUp("out of time", None);
            }
            let decision = self.cold_decision();
            if decision.is_some() && self.node.lifecycle() == Lifecycle::Stopping {
                // Another node can wait for the model; this one may end before it comes.
                return NextReplica::GiveUp("the node is stopping", self.come_back_after());
            }
            match decision {
                None => return NextReplica::GiveUp("no replica", Some(DEFAULT_RETURN)),
                Some(ColdDecision::Refuse { come_back_after }) => {
                    return NextReplica::GiveUp("model not loaded", Some(come_back_after));
                }
                Some(ColdDecision::Wait) => self.wait_for_view().await,
            }
        }
    }

    fn choose(&self) -> Option<ReplicaId> {
        let now = self.node.clock.now();
        let state = self.node.state.borrow();
        let request = RoutingRequest {
            service: &self.service,
            need: self.model_need(),
            zone: &self.node.settings.identity.zone,
            tried: &self.tried,
            salt: xxh3_64(self.facts.id.as_bytes()),
        };
        choose(&state.replicas, &request, now)
    }

    fn model_need(&self) -> Option<ModelNeed<'_>> {
        let key = self.model_key()?;
        let shared = self
            .facts
            .parts
            .len()
            .saturating_sub(1)
            .max(1)
            .min(self.facts.parts.len());
        let shared_parts = &self.facts.parts[..shared];
        let model_hash = xxh3_64(key.model.as_bytes());
        let adapter_hash = key
            .adapter
            .as_ref()
            .map_or(0, |adapter| xxh3_64(adapter.as_bytes()));
        Some(ModelNeed {
            model: self.facts.model.as_deref()?,
            adapter: self.facts.adapter.as_deref(),
            shared_part: shared_parts
                .last()
                .map(|part| part.hash ^ model_hash ^ adapter_hash),
            shared_tokens: shared_parts.iter().map(|part| part.tokens).sum(),
        })
    }

    /// What to do while no replica can take the request; `None` if waiting is no use.
    fn cold_decision(&self) -> Option<ColdDecision> {
        let Some(key) = self.model_key() else {
            // A service without models: a replica may come back soon.
            let waited = self.arrival.elapsed();
            return (waited < self.route.objective / 4).then_some(ColdDecision::Wait);
        };
        let ready_in = self.ready_in(&key)?;
        self.remind_orderer(&key);
        Some(decide_cold(&ColdRequest {
            waited: self.arrival.elapsed(),
            ready_in,
            first_event_after: self.first_event_after(),
            objective: self.route.objective,
            patience: self.patience(),
            left: self.until.saturating_duration_since(Instant::now()),
        }))
    }

    /// Expected time until the model and adapter are there; `None` if the
    /// configuration does not know the model.
    fn ready_in(&self, key: &ModelKey) -> Option<Duration> {
        let engine = self.configuration.service(&self.service)?.engine.as_ref()?;
        let spec = engine.models.get(&key.model)?;
        let now = self.node.clock.now();
        let state = self.node.state.borrow();
        if state.replicas.holders(&self.service, &key.model) > 0 {
            return Some(ADAPTER_READY_IN);
        }
        if let Some(ready_at) = state.replicas.arrival(&self.service, &key.model) {
            return Some(ready_at.since(now).max(Duration::from_millis(20)));
        }
        if state.members.orderer().is_none() {
            return Some(NO_ORDERER_READY_IN);
        }
        Some(ORDER_DELAY + spec.disk_load.min(MODEL_READY_IN))
    }

    /// Time from arrival to when the caller or the route ends the request.
    fn patience(&self) -> Duration {
        let whole = self.until - self.arrival;
        caller_patience(&self.route).map_or(whole, |patience| patience.min(whole))
    }

    /// When the model should be there, for a caller that is sent away.
    fn come_back_after(&self) -> Option<Duration> {
        self.model_key().and_then(|key| self.ready_in(&key))
    }

    fn remind_orderer(&self, key: &ModelKey) {
        let now = Instant::now();
        if self
            .last_reminder
            .get()
            .is_some_and(|last| now - last < REMIND_EVERY)
        {
            return;
        }
        self.last_reminder.set(Some(now));
        self.node
            .tell_orderer(ToOrderer::Waiting(WireModel::from_key(key)));
    }

    async fn wait_for_view(&self) {
        let longest = Instant::now() + Duration::from_millis(100);
        let wake = async {
            tokio::select! {
                () = self.node.view_changed.notified() => {}
                () = self.node.stop_requested.notified() => {}
            }
        };
        let _ = timeout_at(longest.min(self.until), wake).await;
    }

    fn first_event_after(&self) -> Duration {
        TIME_PER_PROMPT_TOKEN * self.facts.prompt_tokens as u32
    }

    /// Time after which a silent replica is given up for another one.
    fn attempt_limit(&self) -> Option<Instant> {
        let more = self.sends + 1 < self.route.max_attempts as usize;
        (self.route.is_idempotent() && more).then(|| Instant::now() + self.route.objective / 2)
    }

    /// Sends the request to a replica and judges the head of its answer.
    async fn send(
        &mut self,
        replica: &ReplicaId,
        resume_after: Option<&str>,
        limit: Option<Instant>,
    ) -> SendEnd<P> {
        let address = {
            let state = self.node.state.borrow();
            state
                .replicas
                .get(replica)
                .and_then(|entry| entry.listing.address.parse().ok())
        };
        let Some(address) = address else {
            return SendEnd::NotSent;
        };
        let mut send = Send::begin(&self.node, replica, self.facts.prompt_tokens);
        let connected = if self.route.is_idempotent() {
            self.node.pool.connect(address).await
        } else {
            self.node.patient_pool.dial(address).await
        };
        let mut connection = match connected {
            Ok(connection) => connection,
            Err(_) => {
                send.record(SendOutcome::Unreachable);
                return SendEnd::NotSent;
            }
        };
        let request = self.engine_request(replica, resume_after);
        self.sends += 1;
        self.sent_after.get_or_insert(self.arrival.elapsed());
        let until = limit.map_or(self.until, |limit| limit.min(self.until));
        let answer = match timeout_at(until, connection.send(request)).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(error)) => return self.send_failed(&send, &error),
            Err(_) if Instant::now() >= self.until => return SendEnd::OutOfTime,
            Err(_) => {
                send.record(SendOutcome::Failure);
                return SendEnd::Broken {
                    cause: "the replica is silent",
                };
            }
        };
        send.prompt_done();
        self.answered_after = Some(self.arrival.elapsed());
        self.judge_answer(replica, answer, connection, send).await
    }

    fn send_failed(&mut self, send: &Send<P>, error: &ExchangeError) -> SendEnd<P> {
        tracing::info!(target: "send", id = self.facts.id, replica = &*send.replica, %error);
        if error.nothing_sent() {
            self.sends -= 1;
            return SendEnd::NotSent;
        }
        send.record(SendOutcome::Failure);
        SendEnd::Broken {
            cause: "the replica broke off",
        }
    }

    async fn judge_answer(
        &mut self,
        replica: &ReplicaId,
        answer: Response<Incoming>,
        connection: Connection,
        send: Send<P>,
    ) -> SendEnd<P> {
        let (head, body) = answer.into_parts();
        let facts = self.node.platform.dialect().answer_facts(&self.facts.id, &head);
        self.take_load(replica, &facts);
        if facts.execution == Execution::NotExecuted {
            return self.not_executed(replica, &facts, &head, &send);
        }
        let usable = facts.is_ours && (!head.status.is_success() || (facts.is_signed && facts.is_plain));
        if !usable {
            send.record(SendOutcome::Failure);
            return SendEnd::Broken {
                cause: "the answer is not this request's",
            };
        }
        if self.route.kind == RouteKind::Streaming && head.status.is_success() {
            return SendEnd::Streaming(Box::new(Streaming {
                head,
                body,
                _connection: connection,
                send,
            }));
        }
        match timeout_at(self.until, body.collect()).await {
            Ok(Ok(body)) => {
                let failed = head.status.is_server_error();
                send.record(if failed {
                    SendOutcome::Failure
                } else {
                    SendOutcome::Success
                });
                if self.route.is_idempotent() {
                    self.node.pool.put_back(connection, &head.headers);
                }
                SendEnd::Whole {
                    head,
                    body: body.to_bytes(),
                }
            }
            Ok(Err(_)) => {
                send.record(SendOutcome::Failure);
                SendEnd::Broken {
                    cause: "the answer was cut off",
                }
            }
            Err(_) => SendEnd::OutOfTime,
        }
    }

    fn take_load(&self, replica: &ReplicaId, facts: &AnswerFacts) {
        if let Some(load) = facts.load {
            let now = self.node.clock.now();
            self.node
                .state
                .borrow_mut()
                .replicas
                .told_load(replica, load, now);
        }
    }

    fn not_executed(
        &self,
        replica: &ReplicaId,
        facts: &AnswerFacts,
        head: &response::Parts,
        send: &Send<P>,
    ) -> SendEnd<P> {
        tracing::info!(target: "send", id = self.facts.id, replica = &**replica, status = head.status.as_u16(),
            outcome = "not executed", misdirected = facts.is_misdirected);
        if facts.is_misdirected {
            if let Some(model) = self.facts.model.clone() {
                let adapter = self.facts.adapter.clone();
                self.node
                    .state
                    .borrow_mut()
                    .replicas
                    .mark_absent(replica, model, adapter);
            }
        } else {
            send.record(SendOutcome::Failure);
        }
        SendEnd::NotExecuted {
            misdirected: facts.is_misdirected,
        }
    }

    /// The request as a replica gets it.
    fn engine_request(&self, replica: &ReplicaId, resume_after: Option<&str>) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = origin_form(&self.head.uri);
        let mut headers = end_to_end(&self.head.headers);
        headers.remove(header::CONTENT_LENGTH);
        headers.remove(header::EXPECT);
        let forwarding = Forwarding {
            replica,
            time_left: self.until.saturating_duration_since(Instant::now()),
            priority: self.model_key().map(|_| self.route.priority),
            resume_after,
        };
        self.node.platform.dialect().forward(&mut headers, &forwarding);
        *request.headers_mut() = headers;
        request
    }

    /// Passes on a whole answer.
    fn answer_whole(self, replica: &ReplicaId, mut head: response::Parts, body: Bytes) -> Answer {
        head.headers = end_to_end(&head.headers);
        if self.head.method != Method::HEAD {
            head.headers.remove(header::CONTENT_LENGTH);
        }
        self.log_end(
            replica,
            if head.status.is_success() {
                "served"
            } else {
                "failed at the replica"
            },
        );
        let mut answer = Response::new(AnswerBody::whole(body));
        *answer.status_mut() = head.status;
        *answer.headers_mut() = head.headers;
        answer
    }

    /// Passes on a stream; a task of its own carries it on.
    fn answer_stream(mut self, streaming: Streaming<P>) -> Answer {
        let (sender, body) = AnswerBody::stream();
        let mut answer = Response::new(body);
        *answer.status_mut() = streaming.head.status;
        *answer.headers_mut() = end_to_end(&streaming.head.headers);
        if self.route.resumable {
            // Its length may change if it goes on at another replica.
            answer.headers_mut().remove(header::CONTENT_LENGTH);
        }
        self.node
            .metrics
            .first_byte_seconds
            .observe(self.arrival.elapsed().as_secs_f64());
        let (flight, place) = (self.flight.take(), self.place.take());
        tokio::task::spawn_local(async move {
            let _held = (flight, place);
            self.pump(streaming, sender).await;
        });
        answer
    }

    async fn pump(mut self, first: Streaming<P>, sender: EventSender) {
        let mut cutter = EventCutter::after(self.facts.last_event_id.clone());
        let mut current = first;
        loop {
            let replica = current.send.replica.clone();
            let end = self.pump_one(&mut current, &mut cutter, &sender).await;
            match end {
                PumpEnd::Complete => {
                    current.send.record(SendOutcome::Success);
                    self.log_end(&replica, "served");
                    return;
                }
                PumpEnd::CallerGone => {
                    self.log_end(&replica, "caller gone");
                    return;
                }
                PumpEnd::OutOfTime => {
                    self.log_end(&replica, "stream out of time");
                    let _ = sender.send(Err(io::ErrorKind::TimedOut.into())).await;
                    return;
                }
                PumpEnd::Broken => {}
            }
            current.send.record(SendOutcome::Failure);
            drop(current);
            cutter.drop_partial();
            match self.resume(&replica, &cutter).await {
                Some(next) => current = next,
                None => {
                    self.log_end(&replica, "stream cut off");
                    let _ = sender.send(Err(io::ErrorKind::ConnectionReset.into())).await;
                    return;
                }
            }
        }
    }

    async fn pump_one(
        &self,
        streaming: &mut Streaming<P>,
        cutter: &mut EventCutter,
        sender: &EventSender,
    ) -> PumpEnd {
        loop {
            let frame = tokio::select! {
                frame = streaming.body.frame() => frame,
                () = sender.closed() => return PumpEnd::CallerGone,
                () = tokio::time::sleep_until(self.until) => return PumpEnd::OutOfTime,
            };
            let bytes = match frame {
                None => return self.pump_rest(cutter, sender).await,
                Some(Err(_)) => return PumpEnd::Broken,
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(bytes) => bytes,
                    Err(_) => continue,
                },
            };
            let bytes = if self.route.resumable {
                cutter.push(&bytes)
            } else {
                Some(bytes)
            };
            if let Some(bytes) = bytes {
                if sender.send(Ok(bytes)).await.is_err() {
                    return PumpEnd::CallerGone;
                }
            }
        }
    }

    async fn pump_rest(&self, cutter: &mut EventCutter, sender: &EventSender) -> PumpEnd {
        let rest = cutter.take_rest();
        if !rest.is_empty() && sender.send(Ok(rest)).await.is_err() {
            return PumpEnd::CallerGone;
        }
        PumpEnd::Complete
    }

    /// Goes on with a broken stream at another replica, if the route allows.
    async fn resume(&mut self, broken: &ReplicaId, cutter: &EventCutter) -> Option<Streaming<P>> {
        if !self.may_repeat_after(broken) {
            return None;
        }
        let after = cutter.last_id().map(str::to_string);
        loop {
            let NextReplica::Send(replica) = self.next_replica().await else {
                return None;
            };
            if !self.take_retry(&replica) {
                return None;
            }
            match self.send(&replica, after.as_deref(), None).await {
                SendEnd::Streaming(streaming) => return Some(*streaming),
                SendEnd::OutOfTime => return None,
                _ if !self.may_repeat_after(&replica) => return None,
                _ => {}
            }
        }
    }

    /// The final answer to a request that is given up.
    fn give_up(&self, cause: &'static str, come_back: Option<Duration>) -> Answer {
        let status = match (self.may_have_run, Instant::now() >= self.until) {
            (false, _) => StatusCode::SERVICE_UNAVAILABLE,
            (true, true) => StatusCode::GATEWAY_TIMEOUT,
            (true, false) => StatusCode::BAD_GATEWAY,
        };
        let come_back = if self.may_have_run {
            None
        } else {
            Some(come_back.unwrap_or(DEFAULT_RETURN))
        };
        Metrics::count(&self.node.metrics.requests, kind_name(self.route.kind), "refused");
        tracing::info!(target: "request", id = self.facts.id, route = &*self.route.name, outcome = "given up",
            cause, status = status.as_u16(), sends = self.sends, model = self.facts.model.as_deref(),
            adapter = self.facts.adapter.as_deref(), waited_ms = self.arrival.elapsed().as_millis() as u64,
            come_back_ms = come_back.map(|time| time.as_millis() as u64), version = self.configuration.version);
        refuse(status, cause, come_back)
    }

    fn log_end(&self, replica: &ReplicaId, outcome: &'static str) {
        let metric = if outcome == "served" { "served" } else { "failed" };
        Metrics::count(&self.node.metrics.requests, kind_name(self.route.kind), metric);
        tracing::info!(target: "request", id = self.facts.id, route = &*self.route.name, outcome,
            replica = &**replica, sends = self.sends, model = self.facts.model.as_deref(),
            adapter = self.facts.adapter.as_deref(), sent_ms = millis(self.sent_after),
            answered_ms = millis(self.answered_after), prompt_tokens = self.facts.prompt_tokens,
            elapsed_ms = self.arrival.elapsed().as_millis() as u64, version = self.configuration.version);
    }
}

fn millis(time: Option<Duration>) -> Option<u64> {
    time.map(|time| time.as_millis() as u64)
}

type EventSender = tokio::sync::mpsc::Sender<Result<Bytes, io::Error>>;

/// How a replica's part of a stream ended.
enum PumpEnd {
    Complete,
    Broken,
    CallerGone,
    OutOfTime,
}

fn kind_name(kind: RouteKind) -> &'static str {
    match kind {
        RouteKind::Safe => "safe",
        RouteKind::Unsafe => "unsafe",
        RouteKind::Streaming => "streaming",
    }
}

fn find_route(configuration: &Configuration, head: &request::Parts) -> Option<Arc<Route>> {
    let host = head
        .headers
        .get(header::HOST)
        .and_then(|host| host.to_str().ok())
        .or(head.uri.host())?;
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    let route = configuration
        .route(host, head.uri.path())
        .or_else(|| configuration.route(name, head.uri.path()));
    route.cloned()
}

/// The backend of a request, by weight; evenly spread over the ids.
fn pick_backend(route: &Route, id: &str) -> ServiceName {
    let total: u64 = route
        .backends
        .iter()
        .map(|backend| u64::from(backend.weight))
        .sum();
    let mut place = xxh3_64(id.as_bytes()) % total.max(1);
    for backend in &route.backends {
        if place < u64::from(backend.weight) {
            return backend.service.clone();
        }
        place -= u64::from(backend.weight);
    }
    route
        .backends
        .first()
        .map(|backend| backend.service.clone())
        .unwrap_or_else(|| "".into())
}

/// Reads a whole body within the limit.
async fn read_body(body: Incoming, head: &request::Parts, most: usize) -> Result<Bytes, StatusCode> {
    let told = head
        .headers
        .get(header::CONTENT_LENGTH)
        .and_then(|value| value.to_str().ok());
    if told
        .and_then(|value| value.parse::<usize>().ok())
        .is_some_and(|length| length > most)
    {
        return Err(StatusCode::PAYLOAD_TOO_LARGE);
    }
    match Limited::new(body, most).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(StatusCode::PAYLOAD_TOO_LARGE),
        Err(_) => Err(StatusCode::BAD_REQUEST),
    }
}

/// An answer of the system's own.
pub fn refuse(status: StatusCode, reason: &str, come_back: Option<Duration>) -> Answer {
    let body = format!("{{\"error\":\"{}\"}}", reason.replace(['"', '\\'], "'"));
    let mut answer = Response::new(AnswerBody::whole(body));
    *answer.status_mut() = status;
    let headers = answer.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(time) = come_back {
        if let Ok(value) = HeaderValue::from_str(&format!("{:.3}", time.as_secs_f64())) {
            headers.insert(header::RETRY_AFTER, value);
        }
    }
    answer
}

/// The target as a replica gets it: path and query, unchanged.
fn origin_form(uri: &Uri) -> Uri {
    uri.path_and_query()
        .map_or_else(|| Uri::from_static("/"), |target| Uri::from(target.clone()))
}

/// Headers that concern one connection only.
const HOP_BY_HOP: [HeaderName; 7] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// The headers that go past this node.
fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let mut passed = headers.clone();
    let named = headers.get_all(header::CONNECTION);
    for name in named
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
    {
        if let Ok(name) = HeaderName::from_bytes(name.trim().as_bytes()) {
            passed.remove(name);
        }
    }
    for name in HOP_BY_HOP {
        passed.remove(name);
    }
    passed.remove("keep-alive");
    passed
}

/// True once the node takes requests.
pub fn is_ready<P: Platform>(node: &Node<P>) -> bool {
    node.lifecycle() == Lifecycle::Ready
}
