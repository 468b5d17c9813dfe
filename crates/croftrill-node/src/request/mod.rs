//! Serves one request from its arrival to the end of its answer.
//!
//! [`serve`] reads the request, finds its route, charges its quota and waits for a slot at this
//! node. [`RequestRun`] then sends it until it is answered or given up. The modules:
//!
//! - [`access`]: API keys and quotas.
//! - [`time_left`]: the caller's time and the work left.
//! - [`guards`]: resources that a request holds.
//! - [`cold`]: waits for models that are not loaded.
//! - [`reach`]: replicas out of reach.
//! - [`full`]: waits for free slots at replicas.
//! - [`cooldown`]: waits for replicas in cooldown.
//! - [`rejections`]: replicas that fall over if they must reject too many requests.
//! - [`replica_limits`]: reservations at replicas that announced a rate limit.
//! - [`sending`]: one send to a replica.
//! - [`streaming`]: event streams.
//! - [`version`]: the software version of a stream.
//! - [`answers`]: final answers.
//! - [`forwarding`]: routes, targets and headers.
//! - [`missing_route`]: requests without a route.
//! - [`crashing`] and [`fingerprint`]: requests that crash replicas.
//!
//! A request that is not idempotent is sent to a second replica only if the first provably did
//! not run it. A refusal that promises "not run" is given only if every replica that the request
//! was sent to provably did not run it.

mod access;
mod answers;
mod cold;
mod cooldown;
mod crashing;
mod fingerprint;
mod forwarding;
mod full;
mod guards;
mod missing_route;
mod reach;
mod rejections;
mod replica_limits;
mod sending;
mod streaming;
mod time_left;
mod version;

use std::cell::{Cell, OnceCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use croftrill_scheduler::admission::DEFAULT_DEADLINE;
use croftrill_scheduler::catalog::{Configuration, Route, ServiceName};
use croftrill_scheduler::connection_slots::ConnectionPhase;
use croftrill_scheduler::crash_ledger::Fingerprint;
use croftrill_scheduler::demand::ModelKey;
use croftrill_scheduler::fleet_share::WithheldReason;
use croftrill_scheduler::replica::ReplicaId;
use croftrill_scheduler::time::Moment;
use http::{request, Request, Response, StatusCode};
use hyper::body::Incoming;

use self::access::{authorize, refuse_access, take_credit};
pub use self::answers::refuse;
use self::answers::{json, kind_name, refuse_body, refuse_for_service, AnswerEnd};
use self::cold::NextReplica;
use self::forwarding::pick_backend;
use self::guards::{acquire_slot, InFlightGuard, ServiceSlot};
use self::missing_route::{find_newest_route, refuse_without_route};
use self::rejections::RiskBasis;
use self::replica_limits::RateLimitedReplica;
use self::sending::{SendEnd, Streaming};
use self::time_left::{attempt_end, last_start, model_work};
use self::version::StreamVersion;
use crate::answer_reader::Framing;
use crate::body_reader::{self, BodyError, BodyLimits, HeldBody};
use crate::crash_trial::Trial;
use crate::memory::HeldMemory;
use crate::metrics::Metrics;
use crate::node::Node;
use crate::port_connections::PortConnection;
use crate::ports::{Dialect, Platform, RequestFacts};
use crate::quota::{Credit, Permit};
use crate::service_places::ServicePlace;
use crate::stream::AnswerBody;
use crate::stream_versions;

/// Maximum deadline of a caller. Later ones are shortened to this.
const MAX_DEADLINE: Duration = Duration::from_secs(3600);
/// Cost of a generated token, in prompt tokens.
const OUTPUT_TOKEN_COST: u64 = 3;
/// Retry delay named in a refusal if there is no better estimate.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(400);
/// Retry delay for a caller that should go to another node.
const OTHER_NODE_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Pause before a request is resent to the replica that refused it.
const SAME_REPLICA_PAUSE: Duration = Duration::from_millis(60);
/// Maximum time that a body waits for memory. A caller whose request is not read for as long, or for a third
/// of its time, turns to another node.
const MAX_ROOM_WAIT: Duration = Duration::from_secs(1);
/// Maximum number of sends of one request, even if the route allows more.
const MAX_SENDS: usize = 4;

type Answer = Response<AnswerBody>;

/// Returns the cost of a request, in prompt tokens.
fn cost(facts: &RequestFacts) -> u64 {
    facts.prompt_tokens + OUTPUT_TOKEN_COST * facts.output_tokens
}

/// Returns the limits of a body whose request has this much time.
fn body_limits(configuration: &Configuration, time: Duration) -> BodyLimits {
    BodyLimits {
        max_bytes: configuration.limits.max_body_bytes as u64,
        max_pause: configuration.limits.idle_timeout,
        max_wait: MAX_ROOM_WAIT.min(time / 3),
    }
}

/// Serves one request, which arrived over `connection`.
pub(crate) async fn serve<P: Platform>(
    node: &Rc<Node<P>>,
    request: Request<Incoming>,
    connection: &PortConnection,
) -> Answer {
    let arrival = node.clock.now();
    let in_flight = InFlightGuard::start(node);
    let (head, body) = request.into_parts();
    let own = node
        .configuration()
        .and_then(|known| node.platform.dialect().local_answer(&head, &known));
    if let Some(body) = own {
        return json(body);
    }
    let facts = match node.platform.dialect().request_facts(&head) {
        Ok(facts) => facts,
        Err(error) => return refuse(StatusCode::BAD_REQUEST, &error.to_string(), None),
    };
    if node.rejects_new_requests() {
        tracing::info!(target: "request", id = facts.id, outcome = "refused", cause = "the node is about to end");
        return refuse(
            StatusCode::SERVICE_UNAVAILABLE,
            "the node is about to end",
            Some(OTHER_NODE_RETRY_AFTER),
        );
    }
    let Some(configuration) = node.configuration() else {
        return refuse(
            StatusCode::SERVICE_UNAVAILABLE,
            "no configuration yet",
            Some(DEFAULT_RETRY_AFTER),
        );
    };
    let (configuration, route) = match find_newest_route(node, configuration, &head).await {
        Ok(found) => found,
        Err(version) => return refuse_without_route(node, &facts.id, version),
    };
    let scheme = node.platform.dialect().key_scheme();
    let tenant = match authorize(&configuration, &route, &head.headers, scheme) {
        Ok(tenant) => tenant,
        Err(denied) => return refuse_access(node, &facts.id, &configuration, denied),
    };
    let caller_deadline = arrival + facts.deadline.unwrap_or(DEFAULT_DEADLINE).min(MAX_DEADLINE);
    let deadline = route
        .timeout
        .map_or(caller_deadline, |timeout| caller_deadline.min(arrival + timeout));
    let body_limits = body_limits(&configuration, deadline.since(arrival));
    let reading = body_reader::read(body, body_limits, &node.memory);
    let body = match node.clock.timeout_at(deadline, reading).await {
        Ok(Ok(body)) => body,
        Ok(Err(error)) => return refuse_body(node, &facts.id, error),
        Err(_) => return refuse_body(node, &facts.id, BodyError::Stalled),
    };
    connection.set_phase(ConnectionPhase::Running);
    let mut facts = facts;
    if let Err(error) = node.platform.dialect().read_body(&mut facts, &body.bytes) {
        return refuse(StatusCode::BAD_REQUEST, &error.to_string(), None);
    }
    if let Some(tenant) = &tenant {
        facts.group = Some(tenant.to_string());
    }
    let service = pick_backend(&route, &facts.id);
    let Some(place) = node.service_places.take(&service) else {
        return refuse_for_service(node, &facts.id, &service);
    };
    let attempt_end = attempt_end(&route, arrival, deadline);
    let work = model_work(&configuration, &service, &facts);
    let last_start = {
        let replicas = &node.state.borrow().replicas;
        last_start(replicas, &service, work, attempt_end, deadline)
    };
    let tenant_name = tenant.as_ref();
    let credit = take_credit(
        node,
        &facts,
        tenant_name,
        &configuration,
        &route,
        last_start,
        attempt_end,
    );
    let credit = match credit.await {
        Ok(credit) => credit,
        Err(answer) => return *answer,
    };
    let quota_granted_after = credit.as_ref().map(|_| node.clock.now().since(arrival));
    let slot_wait = node
        .clock
        .timeout_at(deadline, acquire_slot(node, &configuration, &facts));
    let Ok(slot) = slot_wait.await else {
        return refuse(
            StatusCode::SERVICE_UNAVAILABLE,
            "other groups come first",
            Some(DEFAULT_RETRY_AFTER),
        );
    };
    let admitted_at = node.clock.now();
    let run = RequestRun {
        node: node.clone(),
        facts,
        tenant,
        credit,
        quota_granted_after,
        route,
        service,
        configuration,
        head: Rc::new(head),
        body,
        arrival,
        deadline,
        caller_deadline,
        in_flight: Some(in_flight),
        slot,
        _place: place,
        sends: 0,
        tried: Vec::new(),
        unreached: Vec::new(),
        rate_limited: Vec::new(),
        reservation: None,
        permit: None,
        permit_refusals: 0,
        reservation_waits: 0,
        rejection_risk: None,
        risk_basis: None,
        repeats: 0,
        refused_by: None,
        was_rejected: false,
        may_have_run: false,
        last_reminder: Cell::new(None),
        logged_cold: Cell::new(false),
        holders_due_since: admitted_at,
        sent_after: None,
        answered_after: None,
        longest_pause: Cell::new(Duration::ZERO),
        answer_end: Cell::default(),
        caller_framing: None,
        counted_late: Cell::new(false),
        fingerprint: OnceCell::new(),
        trial: None,
        broke_at: Cell::new(None),
        stream_version: StreamVersion::Any,
        may_await_version: true,
        stream_broke_at: None,
        earlier_run: None,
        stream_memory: None,
        held_part_bytes: Cell::new(0),
    };
    run.serve().await
}

struct RequestRun<P: Platform> {
    node: Rc<Node<P>>,
    facts: RequestFacts,
    /// The tenant whose key the caller presented.
    tenant: Option<Arc<str>>,
    /// The charge to the tenant's quota.
    credit: Option<Credit>,
    /// Time from arrival until the quota granted the request.
    quota_granted_after: Option<Duration>,
    route: Arc<Route>,
    service: ServiceName,
    configuration: Arc<Configuration>,
    head: Rc<request::Parts>,
    body: HeldBody,
    arrival: Moment,
    /// When the caller or the route ends the request.
    deadline: Moment,
    /// When the caller ends the request and all its attempts.
    caller_deadline: Moment,
    in_flight: Option<InFlightGuard<P>>,
    slot: Option<ServiceSlot<P>>,
    /// Its place among the requests of its service.
    _place: ServicePlace,
    sends: usize,
    tried: Vec<ReplicaId>,
    /// Those of `tried` to which no connection came up.
    unreached: Vec<ReplicaId>,
    /// Replicas whose rate limit leaves no reservation in time.
    rate_limited: Vec<RateLimitedReplica>,
    /// The reservation at the next replica, if that announced a rate limit.
    reservation: Option<Credit>,
    /// The permit for the next replica, if that bears few rejections.
    permit: Option<Permit>,
    /// Number of waits before another request for a reservation.
    reservation_waits: u32,
    /// Number of replicas that had no permit left since the last wait.
    permit_refusals: u32,
    /// The reservation of a rejection, if no keeper of permits is reached and the next replica falls over after some of them.
    rejection_risk: Option<Credit>,
    /// What the last send was based on, if its replica may fall over after some rejections.
    risk_basis: Option<RiskBasis>,
    repeats: u32,
    refused_by: Option<ReplicaId>,
    /// Whether a replica rejected it, possibly for want of room.
    was_rejected: bool,
    may_have_run: bool,
    last_reminder: Cell<Option<Moment>>,
    /// Whether the first decision on a missing model was logged.
    logged_cold: Cell<bool>,
    /// Since when its holders alone make it wait: neither its quota nor the load of its model.
    holders_due_since: Moment,
    /// Time from arrival to the first send.
    sent_after: Option<Duration>,
    /// Time from arrival to the head of the answer.
    answered_after: Option<Duration>,
    /// Longest time between two chunks of the stream.
    longest_pause: Cell<Duration>,
    /// How the last answer of a replica ended.
    answer_end: Cell<Option<AnswerEnd>>,
    /// What tells the caller where its answer ends, if that is a stream.
    caller_framing: Option<Framing>,
    /// Whether the request was counted as served too late.
    counted_late: Cell<bool>,
    /// Identity of the request's content, computed when it is first needed.
    fingerprint: OnceCell<Fingerprint>,
    /// Keeps other requests of a suspect from being sent, if replicas ended under it before.
    trial: Option<Trial<P>>,
    /// When an exchange with a replica last ended in a way that the replica's end would explain.
    broke_at: Cell<Option<Moment>>,
    /// The software version at which its stream may go on.
    stream_version: StreamVersion,
    /// Whether it may wait for its model to be loaded at its version. A stream whose replica is only
    /// silent does not, as that may still go on.
    may_await_version: bool,
    /// When its stream last broke, from when its caller waits for the next event.
    stream_broke_at: Option<Moment>,
    /// A run of its stream at a silent replica, which ends before the stream goes on at another one.
    earlier_run: Option<Streaming<P>>,
    /// The memory of what its caller has not read of a stream.
    stream_memory: Option<HeldMemory>,
    /// Room in that for the part of a stream that cannot be passed on yet.
    held_part_bytes: Cell<u64>,
}

impl<P: Platform> RequestRun<P> {
    async fn serve(mut self) -> Answer {
        self.count_arrival();
        self.find_stream_version().await;
        if self.stream_version == StreamVersion::Unknown {
            return self.give_up(
                "the version of the stream is not known",
                stream_versions::known_in(&self.node, &self.service),
            );
        }
        loop {
            if let Some(judgment) = self.blocking_judgment().await {
                return self.refuse_suspect(judgment);
            }
            let replica = match self.next_replica().await {
                NextReplica::Send(replica) => replica,
                NextReplica::GiveUp(cause, retry_after) => return self.give_up(cause, retry_after),
            };
            if self.sends > 0 && !self.take_retry(&replica) {
                return self.give_up("retry budget used up", Some(DEFAULT_RETRY_AFTER));
            }
            let end = self.send(&replica, None, self.silence_deadline()).await;
            match end {
                SendEnd::Streaming(streaming) => return self.answer_stream(*streaming),
                SendEnd::Complete { head, body, held } => {
                    let failed = head.status.is_server_error();
                    if !failed || !self.may_repeat_after(&replica) {
                        return self.answer_complete(&replica, head, body, held);
                    }
                }
                SendEnd::Suspected(judgment) => return self.refuse_suspect(judgment),
                SendEnd::NotSent => self.exclude(replica),
                SendEnd::NotExecuted { misdirected } => {
                    if !self.prepare_resend(&replica, misdirected).await {
                        let retry_after = self.retry_after_refusal(&replica);
                        return self.give_up("the replica refused", Some(retry_after));
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

    fn now(&self) -> Moment {
        self.node.clock.now()
    }

    /// Returns the time since the request arrived.
    fn waited(&self) -> Duration {
        self.now().since(self.arrival)
    }

    fn count_arrival(&self) {
        let now = self.node.clock.now();
        let caller_time = self.attempt_end().since(self.arrival);
        let mut state = self.node.state.borrow_mut();
        state.retry_budget.record_request(&self.service, now);
        if let Some(key) = self.configured_model_key() {
            state.demand.add(key, cost(&self.facts), caller_time);
        }
    }

    /// Counts the request, once, as one that the holders of its model served too late or not at all. The
    /// count is demand for another holder.
    fn count_late(&self) {
        if self.counted_late.replace(true) {
            return;
        }
        if let Some(key) = self.configured_model_key() {
            self.node.state.borrow_mut().demand.add_late(key);
        }
    }

    /// Records the time between two chunks of the stream.
    fn record_pause(&self, pause: Duration) {
        self.longest_pause.set(self.longest_pause.get().max(pause));
        if self.route.pause_objective.is_some_and(|longest| pause > longest) {
            self.count_late();
        }
    }

    /// Returns the cost charged to the tenant's quota.
    fn quota_cost(&self) -> Option<u64> {
        self.credit.as_ref().map(Credit::cost)
    }

    /// Returns the rank among all requests at a replica; 0 is the most urgent.
    fn rank(&self) -> u8 {
        let tenants = &self.configuration.tenants;
        let tenant = self.tenant.as_deref().and_then(|name| tenants.find_by_name(name));
        let route = self.route.priority;
        tenant.map_or(route, |tenant| tenants.rank(tenant, route))
    }

    /// Returns the model that the request needs, if its service serves models.
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

    /// Returns the model that the request needs, if the configuration has it. Of others nothing is kept
    /// beyond the request, as callers may make up any number of names.
    fn configured_model_key(&self) -> Option<ModelKey> {
        let key = self.model_key()?;
        let engine = self.configuration.service(&self.service)?.engine.as_ref()?;
        engine.find_model(&key.model, key.adapter.as_deref())?;
        Some(key)
    }

    /// Excludes a replica from further choices. This counts no send, as the replica may not have
    /// been reached.
    fn exclude(&mut self, replica: ReplicaId) {
        self.tried.push(replica);
    }

    /// Returns whether the request, which may have run at this replica, may be sent to another one.
    fn may_repeat_after(&mut self, replica: &ReplicaId) -> bool {
        if !self.tried.contains(replica) {
            self.tried.push(replica.clone());
        }
        let has_attempts_left = self.sends < (self.route.max_attempts as usize).min(MAX_SENDS);
        self.route.is_idempotent() && has_attempts_left && self.now() < self.deadline
    }

    /// Returns whether the request may be resent after a replica provably did not run it: to
    /// another replica if the route allows more attempts, otherwise to the same one after a pause.
    async fn prepare_resend(&mut self, replica: &ReplicaId, misdirected: bool) -> bool {
        self.was_rejected |= !misdirected;
        if self.sends >= MAX_SENDS {
            return false;
        }
        let sent_to = self.tried.iter().filter(|tried| *tried != replica).count() + 1;
        let others_allowed = sent_to < self.route.max_attempts as usize;
        if others_allowed {
            self.exclude(replica.clone());
            if !misdirected
                && self.only_tried_replicas_have_slots()
                && self.pause_before_resend(replica).await
            {
                self.tried.retain(|tried| tried != replica);
            }
            return true;
        }
        if misdirected || !self.pause_before_resend(replica).await {
            return false;
        }
        self.refused_by = Some(replica.clone());
        true
    }

    /// Returns whether only replicas that were tried can take the request, and tell when they have a
    /// free slot.
    fn only_tried_replicas_have_slots(&self) -> bool {
        let waits_for_slots = {
            let state = self.node.state.borrow();
            state.replicas.routes_by_capacity(&self.service)
        };
        waits_for_slots && self.model_key().is_some() && self.choose(&self.tried).is_none()
    }

    /// Takes a send after the first from the retry budget. Returns whether the budget allowed it.
    fn take_retry(&self, replica: &ReplicaId) -> bool {
        let now = self.node.clock.now();
        let share = self.node.share();
        let budget = &mut self.node.state.borrow_mut().retry_budget;
        let decision = budget.take(&self.service, share, now);
        let outcome = if decision.is_granted { "taken" } else { "refused" };
        Metrics::count(&self.node.metrics.retries, kind_name(self.route.kind), outcome);
        Metrics::count_retry(&self.node.metrics.service_retries, &self.service, outcome);
        tracing::info!(target: "retry", id = self.facts.id, service = &*self.service, sends = self.sends,
            replica = &**replica, sharing_nodes = share.nodes,
            slack_withheld = share.withheld.map(WithheldReason::name),
            requests = decision.window.mean_requests, retries = decision.window.retries,
            slack = decision.slack, allowed = decision.allowed, outcome);
        decision.is_granted
    }
}
