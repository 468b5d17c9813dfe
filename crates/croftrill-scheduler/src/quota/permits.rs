//! Permits for requests to replicas that fall over if they must reject too many requests.
//!
//! One node keeps the permits of a replica ([`PermitKeeper`]), and the others request one before
//! each send and report how it ended. No more permits are out than the replica has slots. Requests
//! there that no permit accounts for are bounded by evidence: everything counts as taken until an
//! answer tells a lower load, again when no answer has come for a while, and after each rejection.
//!
//! A request beyond the slots that are known to be free is a probe, which the replica may reject.
//! Probes under way and rejections in the last second together are at most half of what the replica
//! bears. The other half is left for what the evidence missed: requests that are late on their way,
//! and nodes that reach no keeper.
//!
//! A keeper that replaces another one knows nothing of the permits granted before, which count as
//! taken like all else.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use super::limits::KeeperRole;
use crate::replica::{Incarnation, StartedMs};
use crate::time::Moment;

/// Time in which a replica counts its rejections, and for a rejection to be reported late.
const REJECTION_PERIOD: Duration = Duration::from_millis(1250);
/// The same for a replica that bears none of the probes: some requests must go on, as only an answer
/// shows free slots.
const FALL_PERIOD: Duration = Duration::from_secs(10);
/// Part of the bearable rejections that probes may cause, and the part at a secondary keeper.
const PROBE_FRACTION: f64 = 0.5;
const SECONDARY_PROBE_FRACTION: f64 = 0.25;
/// Time for which an answer tells of the requests that no permit accounts for.
const EVIDENCE_VALIDITY: Duration = Duration::from_secs(1);
/// Time by which a report usually comes later than what it tells of.
const REPORT_DELAY: Duration = Duration::from_millis(50);
/// Time that a request or an answer is on its way between a node and a replica.
const TRANSIT_TIME: Duration = Duration::from_millis(5);
/// Number of samples that are kept. A low load within so many answers shows free slots.
const MAX_SAMPLES: usize = 32;
/// Time after which a permit ends that nobody returned, beyond the time that its request may run.
const RETURN_DELAY: Duration = Duration::from_secs(1);
/// Weight of the newest run in the mean run time.
const RUN_TIME_WEIGHT: f64 = 0.1;
/// Part of the free slots that a secondary keeper uses, as the primary may still serve other nodes.
const SECONDARY_FRACTION: f64 = 0.5;
/// Minimum time to retry after.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(20);
/// Time without requests after which a replica's permits are dropped.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// A node that requests permits. Unique at a keeper.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequesterId(pub u64);

/// A permit, or the request for one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PermitId {
    /// The node that requests it.
    pub requester: RequesterId,
    /// Number that the node gave it.
    pub number: u64,
}

/// A request for a permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PermitRequest {
    /// When the incarnation of the replica started, if known.
    pub started_ms: Option<StartedMs>,
    /// Requests that the replica runs at the same time.
    pub slots: u32,
    /// Rejections a second that the replica bears.
    pub max_rejections_per_s: u32,
    /// Time for which the request can wait for its permit.
    pub patience: Duration,
    /// Time after which the replica stops to work on the request.
    pub lifetime: Duration,
    /// True if no other requests are more urgent.
    pub is_urgent: bool,
}

/// The decision on a request for a permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PermitDecision {
    /// The request may be sent.
    Granted,
    /// It waits; a later decision follows unless it is cancelled.
    Queued,
    /// No slot is free in time.
    Refused {
        /// Expected time until one is.
        retry_after: Duration,
    },
}

/// How the request of a permit ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PermitEnd {
    /// It was not sent.
    NotSent,
    /// The replica answered it to the end.
    Complete(PermitAnswer),
    /// The replica rejected it.
    Rejected,
    /// It may still run.
    Unknown,
}

/// What an answer shows, or its head if more of it is to come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PermitAnswer {
    /// Time from the send to the answer, by the node's clock.
    pub elapsed: Duration,
    /// Requests at the replica, running and waiting, if it tells them.
    pub requests: Option<u32>,
}

/// A permit that is out.
#[derive(Debug, Clone, Copy)]
struct HeldPermit {
    granted_at: Moment,
    /// When the replica certainly has ended the request.
    ends_by: Moment,
    /// When the start of its answer was reported, and when at the latest it ran.
    started: Option<StartedRun>,
}

#[derive(Debug, Clone, Copy)]
struct StartedRun {
    reported_at: Moment,
    runs_from: Moment,
}

/// A load that a replica told, with the permits whose requests certainly were part of it.
#[derive(Debug, Clone, Copy)]
struct LoadSample {
    /// The replica told it between these two.
    after: Moment,
    before: Moment,
    requests: u32,
    accounted: u32,
    /// When the started requests were counted that were still out.
    counted_at: Option<Moment>,
}

impl LoadSample {
    /// Returns whether a request that ran for all of this time was part of the load.
    fn is_within(&self, runs_from: Moment, runs_until: Moment) -> bool {
        runs_from <= self.after && self.before <= runs_until
    }

    /// Counts the requests that had started and are still out.
    fn count_started(&mut self, held: &HashMap<PermitId, HeldPermit>, now: Moment) {
        if self.counted_at.is_some() || now.since(self.before) < REPORT_DELAY {
            return;
        }
        self.counted_at = Some(now);
        let started = held.values().filter_map(|permit| permit.started);
        self.accounted += started.filter(|run| run.runs_from <= self.after).count() as u32;
    }

    /// Counts a request that has ended, unless it was counted.
    fn count_ended(&mut self, permit: &HeldPermit, runs_from: Moment, runs_until: Moment) {
        let is_counted = permit.started.zip(self.counted_at);
        let is_counted = is_counted.is_some_and(|(run, counted_at)| run.reported_at <= counted_at);
        if !is_counted && self.is_within(runs_from, runs_until) {
            self.accounted += 1;
        }
    }
}

/// A request that waits for a permit.
#[derive(Debug, Clone, Copy)]
struct Waiter {
    id: PermitId,
    lifetime: Duration,
}

/// The permits of one replica.
#[derive(Debug)]
struct ReplicaPermits {
    started_ms: Option<StartedMs>,
    slots: u32,
    max_rejections_per_s: u32,
    held: HashMap<PermitId, HeldPermit>,
    urgent_waiters: VecDeque<Waiter>,
    waiters: VecDeque<Waiter>,
    /// Upper bound of the requests there that no permit accounts for.
    unaccounted: u32,
    /// The newest samples since that bound was last raised, oldest first.
    samples: VecDeque<LoadSample>,
    /// When an answer last told something.
    evidence_at: Moment,
    /// When permits were returned, for at most [`REPORT_DELAY`].
    returned_at: VecDeque<Moment>,
    rejected_at: VecDeque<Moment>,
    mean_run_time: Option<Duration>,
    last_request_at: Moment,
}

impl ReplicaPermits {
    /// Returns the permits of a replica of which nothing is known.
    fn new(request: &PermitRequest, now: Moment) -> Self {
        ReplicaPermits {
            started_ms: request.started_ms,
            slots: request.slots,
            max_rejections_per_s: request.max_rejections_per_s,
            held: HashMap::new(),
            urgent_waiters: VecDeque::new(),
            waiters: VecDeque::new(),
            unaccounted: request.slots,
            samples: VecDeque::new(),
            evidence_at: now,
            returned_at: VecDeque::new(),
            rejected_at: VecDeque::new(),
            mean_run_time: None,
            last_request_at: now,
        }
    }

    /// Applies what a request tells of the replica. Nothing is known of a later incarnation.
    fn update(&mut self, request: &PermitRequest, now: Moment) {
        self.last_request_at = now;
        match Incarnation::of(request.started_ms, self.started_ms) {
            Incarnation::Earlier => return,
            Incarnation::Later => self.forget_incarnation(request),
            Incarnation::Same => self.started_ms = request.started_ms.or(self.started_ms),
        }
        self.slots = request.slots;
        self.max_rejections_per_s = request.max_rejections_per_s;
    }

    fn forget_incarnation(&mut self, request: &PermitRequest) {
        self.started_ms = request.started_ms;
        self.held.clear();
        self.rejected_at.clear();
        self.returned_at.clear();
        self.samples.clear();
        self.unaccounted = request.slots;
    }

    /// Drops what has lapsed. What is not known any more counts as taken.
    fn settle(&mut self, role: KeeperRole, now: Moment) {
        self.held.retain(|_, permit| permit.ends_by > now);
        drop_older_than(&mut self.returned_at, REPORT_DELAY, now);
        let rejection_period = self.rejection_period(role);
        drop_older_than(&mut self.rejected_at, rejection_period, now);
        if now.since(self.evidence_at) > EVIDENCE_VALIDITY {
            self.assume_full();
        }
    }

    fn rejection_period(&self, role: KeeperRole) -> Duration {
        if self.bearable_probes(role) == 0 {
            FALL_PERIOD
        } else {
            REJECTION_PERIOD
        }
    }

    /// Counts all slots as taken.
    fn assume_full(&mut self) {
        self.raise_unaccounted(self.slots.saturating_sub(self.held.len() as u32));
    }

    /// Raises the bound of the requests that no permit accounts for. Earlier samples don't count any more.
    fn raise_unaccounted(&mut self, least: u32) {
        if least > self.unaccounted {
            self.unaccounted = least.min(self.slots);
            self.samples.clear();
        }
    }

    /// Lowers that bound by what the samples show.
    fn apply_samples(&mut self, now: Moment) {
        for sample in &mut self.samples {
            sample.count_started(&self.held, now);
            let most = sample.requests.saturating_sub(sample.accounted);
            self.unaccounted = self.unaccounted.min(most);
        }
    }

    /// Returns the slots that may be used.
    fn usable_slots(&self, role: KeeperRole) -> u32 {
        match role {
            KeeperRole::Primary => self.slots,
            KeeperRole::Secondary => {
                let free = f64::from(self.slots.saturating_sub(self.unaccounted)) * SECONDARY_FRACTION;
                self.unaccounted.min(self.slots) + free as u32
            }
        }
    }

    /// Returns the number of probes in a second that the replica bears if all are rejected.
    fn bearable_probes(&self, role: KeeperRole) -> u32 {
        let max_per_s = f64::from(self.max_rejections_per_s);
        match role {
            // A single one is left to the primary.
            KeeperRole::Primary => (max_per_s * PROBE_FRACTION).max(max_per_s.min(1.0)) as u32,
            KeeperRole::Secondary => (max_per_s * SECONDARY_PROBE_FRACTION) as u32,
        }
    }

    /// Returns the number of probes that may be under way or have been rejected.
    fn max_probes(&self, role: KeeperRole) -> u32 {
        self.bearable_probes(role).max(1)
    }

    /// Returns whether one more request may be sent.
    fn has_room(&self, role: KeeperRole) -> bool {
        let held = self.held.len() as u32 + 1;
        let taken = held.saturating_add(self.unaccounted);
        let probes = taken.saturating_sub(self.usable_slots(role));
        let rejected = self.rejected_at.len() as u32;
        held <= self.slots.max(1) && (probes == 0 || probes + rejected <= self.max_probes(role))
    }

    fn grant(&mut self, id: PermitId, lifetime: Duration, now: Moment) {
        let permit = HeldPermit {
            granted_at: now,
            ends_by: now + lifetime + RETURN_DELAY,
            started: None,
        };
        self.held.insert(id, permit);
    }

    /// Returns the expected time until a permit is free, behind those that wait; `None` if none of
    /// those that are out will free one.
    fn free_in(&self, is_urgent: bool) -> Option<Duration> {
        if self.held.is_empty() {
            return None;
        }
        let Some(run_time) = self.mean_run_time else {
            return Some(Duration::ZERO);
        };
        let less_urgent = if is_urgent { 0 } else { self.waiters.len() };
        let ahead = self.urgent_waiters.len() + less_urgent + 1;
        Some(run_time.mul_f64(ahead as f64 / self.held.len() as f64))
    }

    /// Returns the time until a probe may be sent again.
    fn probe_in(&self, role: KeeperRole, now: Moment) -> Duration {
        let first = self.rejected_at.front();
        first.map_or(Duration::ZERO, |at| {
            (*at + self.rejection_period(role)).since(now)
        })
    }

    /// Grants permits to those that wait, as long as there is room.
    fn grant_waiting(&mut self, role: KeeperRole, now: Moment) -> Vec<PermitId> {
        let mut granted = Vec::new();
        while self.has_room(role) {
            let next = self.urgent_waiters.pop_front();
            let Some(waiter) = next.or_else(|| self.waiters.pop_front()) else {
                break;
            };
            self.grant(waiter.id, waiter.lifetime, now);
            granted.push(waiter.id);
        }
        granted
    }

    fn cancel_waiting(&mut self, is_cancelled: impl Fn(PermitId) -> bool) {
        self.urgent_waiters.retain(|waiter| !is_cancelled(waiter.id));
        self.waiters.retain(|waiter| !is_cancelled(waiter.id));
    }

    /// Applies the answer to a request, or its head.
    fn apply_answer(&mut self, permit: &HeldPermit, answer: PermitAnswer, now: Moment) {
        self.evidence_at = now;
        let Some(requests) = answer.requests else {
            // Accepted at this level: each such answer frees one slot, as long as none is rejected.
            self.unaccounted = self.unaccounted.saturating_sub(1);
            return;
        };
        let possible = (self.held.len() + self.returned_at.len()) as u32;
        self.raise_unaccounted(requests.saturating_sub(possible));
        if self.samples.len() == MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back(LoadSample {
            after: permit.granted_at + answer.elapsed,
            before: now,
            requests,
            accounted: 0,
            counted_at: None,
        });
    }

    /// Records that the answer to a permit's request has started.
    fn start(&mut self, id: PermitId, answer: PermitAnswer, now: Moment) {
        let Some(permit) = self.held.get_mut(&id) else {
            return;
        };
        permit.started = Some(StartedRun {
            reported_at: now,
            runs_from: now - answer.elapsed + TRANSIT_TIME,
        });
        let permit = *permit;
        self.apply_answer(&permit, answer, now);
    }

    fn end(&mut self, id: PermitId, end: PermitEnd, now: Moment) {
        self.cancel_waiting(|waiting| waiting == id);
        let Some(permit) = self.held.remove(&id) else {
            return;
        };
        match end {
            PermitEnd::NotSent => {}
            PermitEnd::Complete(answer) => self.complete(&permit, answer, now),
            PermitEnd::Rejected => {
                self.rejected_at.push_back(now);
                self.evidence_at = now;
                self.raise_unaccounted(self.slots.saturating_sub(self.held.len() as u32).max(1));
            }
            PermitEnd::Unknown => self.add_unaccounted(1),
        }
    }

    fn complete(&mut self, permit: &HeldPermit, answer: PermitAnswer, now: Moment) {
        self.returned_at.push_back(now);
        self.record_run_time(answer.elapsed);
        // Wherever its run lies between the grant and now, it covers all of this time.
        let runs_from = now - answer.elapsed + TRANSIT_TIME;
        let runs_until = permit.granted_at + answer.elapsed - TRANSIT_TIME;
        for sample in &mut self.samples {
            sample.count_ended(permit, runs_from, runs_until);
        }
        if permit.started.is_none() {
            self.apply_answer(permit, answer, now);
        }
    }

    fn add_unaccounted(&mut self, requests: u32) {
        self.raise_unaccounted(self.unaccounted.saturating_add(requests).min(self.slots));
    }

    fn record_run_time(&mut self, run_time: Duration) {
        let mean = self.mean_run_time.unwrap_or(run_time);
        self.mean_run_time = Some(mean.mul_f64(1.0 - RUN_TIME_WEIGHT) + run_time.mul_f64(RUN_TIME_WEIGHT));
    }

    /// Handles the loss of the link to a node: its requests may still run.
    fn lose_requester(&mut self, requester: RequesterId) {
        self.cancel_waiting(|waiting| waiting.requester == requester);
        let before = self.held.len();
        self.held.retain(|id, _| id.requester != requester);
        let lost = (before - self.held.len()) as u32;
        self.add_unaccounted(lost);
    }
}

fn drop_older_than(moments: &mut VecDeque<Moment>, age: Duration, now: Moment) {
    while moments.front().is_some_and(|at| now.since(*at) > age) {
        moments.pop_front();
    }
}

/// The permits that one node keeps for all nodes.
#[derive(Debug)]
pub struct PermitKeeper {
    role: KeeperRole,
    replicas: HashMap<Arc<str>, ReplicaPermits>,
}

impl Default for PermitKeeper {
    fn default() -> Self {
        PermitKeeper {
            role: KeeperRole::Secondary,
            replicas: HashMap::new(),
        }
    }
}

impl PermitKeeper {
    /// Sets this keeper's role.
    pub fn set_role(&mut self, role: KeeperRole) {
        self.role = role;
    }

    /// Decides on a request for a permit.
    pub fn request(
        &mut self,
        replica: &Arc<str>,
        id: PermitId,
        request: &PermitRequest,
        now: Moment,
    ) -> PermitDecision {
        if !self.replicas.contains_key(replica) {
            self.replicas
                .retain(|_, permits| now.since(permits.last_request_at) < IDLE_TIMEOUT);
        }
        let permits = self.replicas.entry(replica.clone());
        let permits = permits.or_insert_with(|| ReplicaPermits::new(request, now));
        permits.update(request, now);
        permits.settle(self.role, now);
        let is_first = permits.urgent_waiters.is_empty() && (request.is_urgent || permits.waiters.is_empty());
        if is_first && permits.has_room(self.role) {
            permits.grant(id, request.lifetime, now);
            return PermitDecision::Granted;
        }
        let free_in = permits.free_in(request.is_urgent);
        let Some(_) = free_in.filter(|free_in| *free_in < request.patience) else {
            let retry_after = free_in
                .unwrap_or(permits.probe_in(self.role, now))
                .max(MIN_RETRY_AFTER);
            return PermitDecision::Refused { retry_after };
        };
        let waiter = Waiter {
            id,
            lifetime: request.lifetime,
        };
        if request.is_urgent {
            permits.urgent_waiters.push_back(waiter);
        } else {
            permits.waiters.push_back(waiter);
        }
        PermitDecision::Queued
    }

    /// Returns whether a request for a permit waits.
    pub fn is_waiting(&self, replica: &str, id: PermitId) -> bool {
        let permits = self.replicas.get(replica);
        permits.is_some_and(|permits| {
            let mut waiters = permits.urgent_waiters.iter().chain(&permits.waiters);
            waiters.any(|waiter| waiter.id == id)
        })
    }

    /// Records that the answer to a permit's request has started. Returns the permits that are
    /// granted by it.
    pub fn start(&mut self, replica: &str, id: PermitId, answer: PermitAnswer, now: Moment) -> Vec<PermitId> {
        self.change(replica, now, |permits| permits.start(id, answer, now))
    }

    /// Records how a permit's request ended, or that a request for a permit was given up. Returns the
    /// permits that are granted by it.
    pub fn end(&mut self, replica: &str, id: PermitId, end: PermitEnd, now: Moment) -> Vec<PermitId> {
        self.change(replica, now, |permits| permits.end(id, end, now))
    }

    fn change(
        &mut self,
        replica: &str,
        now: Moment,
        apply: impl FnOnce(&mut ReplicaPermits),
    ) -> Vec<PermitId> {
        let Some(permits) = self.replicas.get_mut(replica) else {
            return Vec::new();
        };
        permits.settle(self.role, now);
        apply(permits);
        permits.apply_samples(now);
        permits.grant_waiting(self.role, now)
    }

    /// Handles the loss of the link to a node.
    pub fn lose_requester(&mut self, requester: RequesterId) {
        for permits in self.replicas.values_mut() {
            permits.lose_requester(requester);
        }
    }
}
