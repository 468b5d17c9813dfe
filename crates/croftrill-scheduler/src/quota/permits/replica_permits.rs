//! The permits of one replica, and what is known of its slots.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use super::load_sample::{HeldPermit, LoadSample, StartedRun, REPORT_DELAY};
use super::{PermitAnswer, PermitDecision, PermitEnd, PermitId, PermitRequest, RequesterId};
use crate::quota::limits::KeeperRole;
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
/// Time that a request or an answer is on its way between a node and a replica.
const TRANSIT_TIME: Duration = Duration::from_millis(5);
/// Number of samples that are kept. A low load within so many answers shows free slots.
const MAX_SAMPLES: usize = 32;
/// Time after which a permit ends that nobody returned, beyond the time that its request may run.
const RETURN_DELAY: Duration = Duration::from_secs(1);
/// Minimum time to retry after.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(20);
/// Maximum time to retry after for those that were refused before.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);
/// Time without requests after which a replica's permits are dropped.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Weight of the newest run in the mean run time.
const RUN_TIME_WEIGHT: f64 = 0.1;
/// Part of the free slots that a secondary keeper uses, as the primary may still serve other nodes.
const SECONDARY_FRACTION: f64 = 0.5;

/// A request that waits for a permit.
#[derive(Debug, Clone, Copy)]
struct Waiter {
    id: PermitId,
    lifetime: Duration,
}

/// The permits of one replica.
#[derive(Debug)]
pub(super) struct ReplicaPermits {
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
    /// Requests that were refused and may come back, less the runs that have ended since.
    refused: f64,
    settled_at: Moment,
    last_request_at: Moment,
}

impl ReplicaPermits {
    /// Returns the permits of a replica of which nothing is known.
    pub(super) fn new(request: &PermitRequest, now: Moment) -> Self {
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
            refused: 0.0,
            settled_at: now,
            last_request_at: now,
        }
    }

    /// Returns whether nobody has requested a permit for long.
    pub(super) fn is_idle(&self, now: Moment) -> bool {
        now.since(self.last_request_at) >= IDLE_TIMEOUT
    }

    /// Decides on a request for a permit.
    pub(super) fn request(
        &mut self,
        id: PermitId,
        request: &PermitRequest,
        role: KeeperRole,
        now: Moment,
    ) -> PermitDecision {
        self.update(request, now);
        self.settle(role, now);
        let is_first = self.urgent_waiters.is_empty() && (request.is_urgent || self.waiters.is_empty());
        if is_first && self.has_room(role) {
            self.grant(id, request.lifetime, now);
            return PermitDecision::Granted;
        }
        match self.free_in(request.is_urgent) {
            Some(free_in) if free_in < request.patience => {
                self.enqueue(id, request);
                PermitDecision::Queued
            }
            free_in => {
                let free_in = free_in.unwrap_or(self.probe_in(role, now));
                let retry_after = free_in.max(MIN_RETRY_AFTER) + self.time_for_refused();
                if retry_after < request.lifetime {
                    self.refused += 1.0;
                }
                PermitDecision::Refused { retry_after }
            }
        }
    }

    fn enqueue(&mut self, id: PermitId, request: &PermitRequest) {
        let waiter = Waiter {
            id,
            lifetime: request.lifetime,
        };
        if request.is_urgent {
            self.urgent_waiters.push_back(waiter);
        } else {
            self.waiters.push_back(waiter);
        }
    }

    /// Returns whether a request for a permit waits.
    pub(super) fn is_waiting(&self, id: PermitId) -> bool {
        let mut waiters = self.urgent_waiters.iter().chain(&self.waiters);
        waiters.any(|waiter| waiter.id == id)
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
        self.refused = 0.0;
        self.rejected_at.clear();
        self.returned_at.clear();
        self.samples.clear();
        self.unaccounted = request.slots;
    }

    /// Drops what has lapsed. What is not known any more counts as taken.
    pub(super) fn settle(&mut self, role: KeeperRole, now: Moment) {
        let elapsed_s = now.since(self.settled_at).as_secs_f64();
        self.settled_at = self.settled_at.max(now);
        self.refused = (self.refused - self.ends_per_s() * elapsed_s).max(0.0);
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
    pub(super) fn apply_samples(&mut self, now: Moment) {
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

    /// Returns the number of runs that end in a second.
    fn ends_per_s(&self) -> f64 {
        let run_time = self.mean_run_time.filter(|run_time| !run_time.is_zero());
        run_time.map_or(0.0, |run_time| self.held.len() as f64 / run_time.as_secs_f64())
    }

    /// Returns the time in which the runs that are out end for those that were refused before; zero
    /// while no run tells.
    fn time_for_refused(&self) -> Duration {
        let ends_per_s = self.ends_per_s();
        if ends_per_s == 0.0 {
            return Duration::ZERO;
        }
        let time_s = self.refused / ends_per_s;
        Duration::from_secs_f64(time_s.min(MAX_RETRY_AFTER.as_secs_f64()))
    }

    /// Returns the time until a probe may be sent again.
    fn probe_in(&self, role: KeeperRole, now: Moment) -> Duration {
        let first = self.rejected_at.front();
        first.map_or(Duration::ZERO, |at| {
            (*at + self.rejection_period(role)).since(now)
        })
    }

    /// Grants permits to those that wait, as long as there is room.
    pub(super) fn grant_waiting(&mut self, role: KeeperRole, now: Moment) -> Vec<PermitId> {
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
    pub(super) fn start(&mut self, id: PermitId, answer: PermitAnswer, now: Moment) {
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

    pub(super) fn end(&mut self, id: PermitId, end: PermitEnd, now: Moment) {
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
    pub(super) fn lose_requester(&mut self, requester: RequesterId) {
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
