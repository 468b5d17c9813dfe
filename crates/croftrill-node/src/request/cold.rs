//! Requests whose model or adapter is not loaded yet: they wait, or are refused with a retry delay.

use std::time::Duration;

use croftrill_scheduler::admission::{decide, decide_unknown, Admission, CallerTime, RemainingWork};
use croftrill_scheduler::demand::ModelKey;
use croftrill_scheduler::interest::Interest;
use croftrill_scheduler::replica::ReplicaId;
use croftrill_scheduler::replica_table::Availability;
use croftrill_scheduler::routing::{self, choose, ModelNeed, RoutingRequest};
use croftrill_scheduler::time::Moment;
use croftrill_scheduler::work::RequestWork;
use tokio::time::sleep;
use xxhash_rust::xxh3::xxh3_64;

use super::{RequestRun, DEFAULT_RETRY_AFTER, OTHER_NODE_RETRY_AFTER};
use crate::node::{Lifecycle, NodeState};
use crate::peer::{ToOrderer, WireModel};
use crate::ports::Platform;
use crate::tree;

/// Expected time from the request for an adapter until it is loaded.
const ADAPTER_READY_IN: Duration = Duration::from_millis(120);
/// Expected time until the orderer publishes what a newly listed replica holds. That arrives over
/// another link than the listing, within milliseconds; the estimate is the same as for an adapter.
const PLACEMENT_UPDATE_IN: Duration = ADAPTER_READY_IN;
/// Expected time from the first reminder about a model to the order to load it.
pub(super) const ORDER_DELAY: Duration = Duration::from_millis(350);
/// Minimum expected time until a model is loaded.
pub(super) const MIN_READY_IN: Duration = Duration::from_millis(20);
/// Expected time until a model is loaded while no orderer is linked.
const NO_ORDERER_READY_IN: Duration = Duration::from_millis(3000);
/// Minimum time between two reminders to the orderers of the same waiting request.
const REMINDER_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of times that a request is resent to a replica that was tried already.
const MAX_REPEATS: u32 = 2;
/// Pause before such a resend.
const REPEAT_PAUSE: Duration = Duration::from_millis(80);
/// Maximum time between two checks of the view while a request waits. Updates on other nodes'
/// requests arrive about as often.
const MAX_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The next step of a request.
pub(super) enum NextReplica {
    Send(ReplicaId),
    GiveUp(&'static str, Option<Duration>),
}

impl<P: Platform> RequestRun<P> {
    /// Returns the replica to send to, after waiting for the model where that helps.
    pub(super) async fn next_replica(&mut self) -> NextReplica {
        if let Some(replica) = self.refused_by.take() {
            if self.take_reservation(&replica).await {
                return NextReplica::Send(replica);
            }
        }
        tree::wait_until_known(&self.node, &self.interests()).await;
        loop {
            if self.now() >= self.deadline {
                return NextReplica::GiveUp("out of time", None);
            }
            if let Some(refused) = self.await_slot().await {
                return refused;
            }
            let chosen = match self.choose(&self.tried) {
                _ if self.has_searched_enough() => None,
                Some(replica) => Some(replica),
                None => self.choose_again().await,
            };
            if let Some(replica) = chosen {
                if self.take_reservation(&replica).await {
                    return NextReplica::Send(replica);
                }
                continue;
            }
            match self.reservation_decision() {
                Some(Admission::Wait) => {
                    self.wait_for_reservation().await;
                    continue;
                }
                Some(Admission::Refuse { come_back_after }) => {
                    self.count_late();
                    return NextReplica::GiveUp("its replicas take no more now", Some(come_back_after));
                }
                None => {}
            }
            match self.cooldown_decision() {
                Some(Admission::Wait) if self.node.lifecycle() != Lifecycle::Stopping => {
                    self.wait_for_view_change().await;
                    continue;
                }
                Some(Admission::Refuse { come_back_after }) => {
                    self.count_late();
                    return NextReplica::GiveUp("its replicas want rest", Some(come_back_after));
                }
                Some(Admission::Wait) | None => {}
            }
            if self.reaches_lost_replica().await || self.has_choice() {
                continue;
            }
            if self.lacks_only_paths() {
                return NextReplica::GiveUp("no path to its replicas", Some(OTHER_NODE_RETRY_AFTER));
            }
            match self.version_decision() {
                Some(Admission::Wait) if self.node.lifecycle() != Lifecycle::Stopping => {
                    self.wait_for_view_change().await;
                    continue;
                }
                Some(Admission::Refuse { come_back_after }) => {
                    return NextReplica::GiveUp("no replica of its version", Some(come_back_after));
                }
                Some(Admission::Wait) => {
                    return NextReplica::GiveUp("the node is stopping", Some(OTHER_NODE_RETRY_AFTER));
                }
                None => {}
            }
            let decision = self.cold_decision();
            if decision.is_some() && self.node.lifecycle() == Lifecycle::Stopping {
                // Another node can wait for the model; this one may end before it comes.
                return NextReplica::GiveUp("the node is stopping", self.retry_after());
            }
            match decision {
                None => return NextReplica::GiveUp("no replica", Some(DEFAULT_RETRY_AFTER)),
                Some(Admission::Refuse { come_back_after }) => {
                    return NextReplica::GiveUp(self.absence(), Some(come_back_after));
                }
                Some(Admission::Wait) => {
                    self.wait_for_view_change().await;
                    self.holders_due_since = self.now();
                }
            }
        }
    }

    /// Returns the interests that cover what this node needs to choose a replica for the request.
    fn interests(&self) -> Vec<Interest> {
        let key = self.model_key();
        let interest = |model, adapter| Interest {
            service: self.service.clone(),
            model,
            adapter,
        };
        let Some(key) = key else {
            return vec![interest(None, None)];
        };
        if self.configured_model_key().is_none() {
            return Vec::new();
        }
        let mut interests = vec![interest(Some(key.model.clone()), None)];
        if key.adapter.is_some() {
            interests.push(interest(Some(key.model.clone()), key.adapter.clone()));
        }
        interests
    }

    /// Chooses among all replicas, tried ones included, after a pause. If no other replica can
    /// take an idempotent request, resending it to the same one is better than waiting.
    async fn choose_again(&mut self) -> Option<ReplicaId> {
        let allowed = self.route.is_idempotent() && !self.tried.is_empty();
        if !allowed || self.repeats >= MAX_REPEATS {
            return None;
        }
        self.repeats += 1;
        sleep(REPEAT_PAUSE).await;
        self.choose(&[])
    }

    pub(super) fn choose(&self, tried: &[ReplicaId]) -> Option<ReplicaId> {
        let now = self.node.clock.now();
        let state = self.node.state.borrow();
        let rate_limited = self.rate_limited.iter().map(|limited| limited.replica.clone());
        let tried: Vec<ReplicaId> = tried.iter().cloned().chain(rate_limited).collect();
        let request = self.routing_request(&tried, &state);
        self.node
            .step_times
            .time("choice", || choose(&state.replicas, &request, now))
    }

    /// Returns the request in the form that routing uses, without the replicas in `tried`.
    pub(super) fn routing_request<'a>(
        &'a self,
        tried: &'a [ReplicaId],
        state: &'a NodeState,
    ) -> RoutingRequest<'a> {
        let now = self.now();
        let engine = self.configuration.service(&self.service);
        let engine = engine.and_then(|service| service.engine.as_ref());
        RoutingRequest {
            service: &self.service,
            need: self.model_need(),
            zone: &self.node.settings.identity.zone,
            tried,
            version: self.required_version(state),
            begins_at: self.permitted_versions(state),
            salt: xxh3_64(self.facts.id.as_bytes()),
            work: self.work(),
            attempt_left: self.attempt_end().since(now),
            pause_objective: self.route.pause_objective,
            deadline_left: self.deadline.since(now),
            kv_cache_tokens: engine.map_or(0, |engine| engine.kv_capacity),
        }
    }

    /// Returns the work that the request is for a replica.
    pub(super) fn work(&self) -> RequestWork {
        RequestWork {
            prompt_tokens: self.facts.prompt_tokens,
            output_tokens: self.facts.output_tokens,
        }
    }

    pub(super) fn model_need(&self) -> Option<ModelNeed<'_>> {
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
            shared_prefix_hash: shared_parts
                .last()
                .map(|part| part.hash ^ model_hash ^ adapter_hash),
            shared_prefix_tokens: shared_parts.iter().map(|part| part.tokens).sum(),
        })
    }

    /// Returns whether replicas could take the request that other nodes reach, but this one does not.
    /// There is nothing to wait for: the model is loaded, and another node serves the caller.
    fn lacks_only_paths(&self) -> bool {
        let now = self.now();
        let state = self.node.state.borrow();
        let request = self.routing_request(&[], &state);
        let candidates = routing::candidates(&state.replicas, &request, now);
        let mut candidates = candidates.filter(|entry| entry.is_in_reach(now)).peekable();
        candidates.peek().is_some()
            && candidates.all(|entry| state.replica_paths.is_only_path_broken(&entry.listing.id))
    }

    /// Decides what to do while no replica can take the request. Returns `None` if waiting is no
    /// use.
    pub(super) fn cold_decision(&self) -> Option<Admission> {
        if self.answered_after.is_none() && self.was_rejected_by_all() {
            return None;
        }
        let Some(key) = self.model_key() else {
            return Some(self.decide_without_replica());
        };
        let ready_in = self.ready_in(&key)?;
        self.node.holdings_needed.notify_one();
        self.remind_orderer(&ToOrderer::Waiting(WireModel::from_key(&key)));
        Some(self.decide_in(&key, ready_in))
    }

    /// Returns whether a replica can take the request now. One may have loaded its model since the last
    /// choice.
    fn has_choice(&self) -> bool {
        !self.has_searched_enough() && self.choose(&self.tried).is_some()
    }

    /// Returns what the request waits for in vain, as a cause.
    fn absence(&self) -> &'static str {
        match self.model_key() {
            Some(_) => "model not loaded",
            None => "no replica",
        }
    }

    /// Returns whether the request was sent to every replica in reach that could take it. Waiting
    /// brings no other one.
    fn was_rejected_by_all(&self) -> bool {
        let now = self.now();
        let state = self.node.state.borrow();
        let request = self.routing_request(&[], &state);
        let candidates = routing::candidates(&state.replicas, &request, now);
        let mut in_reach = candidates.filter(|entry| entry.is_in_reach(now)).peekable();
        in_reach.peek().is_some() && in_reach.all(|entry| self.tried.contains(&entry.listing.id))
    }

    /// Decides on a request to a service without models of which no replica is listed. Nothing tells
    /// when one is.
    fn decide_without_replica(&self) -> Admission {
        let attempt = self.attempt_end().since(self.arrival);
        decide_unknown(&self.caller_time(), attempt, DEFAULT_RETRY_AFTER)
    }

    /// Decides on the request if its model is loaded in `ready_in`.
    pub(super) fn decide_in(&self, key: &ModelKey, ready_in: Duration) -> Admission {
        let (time, work) = (self.caller_time(), self.remaining_work(ready_in));
        let decision = decide(&time, &work);
        let is_first = !self.logged_cold.replace(true);
        if is_first || decision != Admission::Wait {
            self.log_cold(key, &time, &work, decision);
        }
        decision
    }

    /// Logs the decision with the values that it is based on.
    fn log_cold(&self, key: &ModelKey, time: &CallerTime, work: &RemainingWork, decision: Admission) {
        let state = self.node.state.borrow();
        let reachable = state
            .replicas
            .reachable_holders(&self.service, &key.model, self.now());
        tracing::info!(target: "cold", id = self.facts.id, model = &*key.model, adapter = key.adapter.as_deref(),
            ?decision, waited_ms = self.waited().as_millis() as u64,
            ready_in_ms = work.ready_in.as_millis() as u64, run_ms = work.run.as_millis() as u64,
            answer_ms = work.answer.as_millis() as u64, answer_left_ms = time.answer_left.as_millis() as u64,
            attempt_left_ms = time.attempt_left.as_millis() as u64, caller_left_ms = time.caller_left.as_millis() as u64,
            holders = state.replicas.holders(&self.service, &key.model), reachable,
            orderers_linked = state.linked.iter().filter(|linked| **linked).count());
    }

    /// Returns the expected time until the model and adapter are loaded, or `None` if the
    /// configuration does not have them.
    pub(super) fn ready_in(&self, key: &ModelKey) -> Option<Duration> {
        let engine = self.configuration.service(&self.service)?.engine.as_ref()?;
        let spec = engine.find_model(&key.model, key.adapter.as_deref())?;
        let now = self.node.clock.now();
        let state = self.node.state.borrow();
        match state.replicas.availability(&self.service, &key.model, None, now) {
            Availability::Held => return Some(ADAPTER_READY_IN),
            Availability::ExpectedAt(ready_at) => return Some(ready_at.since(now).max(MIN_READY_IN)),
            Availability::Absent => {}
        }
        if state
            .replicas
            .awaits_placement(&self.service, |shard| state.linked[shard.index()])
        {
            return Some(PLACEMENT_UPDATE_IN);
        }
        if !state.linked.contains(&true) {
            return Some(NO_ORDERER_READY_IN);
        }
        if self.waited() < ORDER_DELAY && state.replicas.may_have_unknown_copy(&self.service, &key.model) {
            // The orderer knows all copies and will announce the load that it starts.
            return Some(ORDER_DELAY + spec.disk_load);
        }
        Some(ORDER_DELAY + state.replicas.reload_time(&self.service, spec, now))
    }

    /// Returns the time after which a refused caller should find the model loaded.
    pub(super) fn retry_after(&self) -> Option<Duration> {
        self.model_key().and_then(|key| self.ready_in(&key))
    }

    pub(super) fn remind_orderer(&self, message: &ToOrderer) {
        let now = self.now();
        if self
            .last_reminder
            .get()
            .is_some_and(|last| now.since(last) < REMINDER_INTERVAL)
        {
            return;
        }
        self.last_reminder.set(Some(now));
        self.node.send_to_orderers(message);
    }

    /// Returns when a decision is made again if nothing changes: after a check interval, and at
    /// `last_decision_at`.
    pub(super) fn next_check_at(&self, last_decision_at: Moment) -> Moment {
        let now = self.now();
        let next_check_at = (now + MAX_CHECK_INTERVAL).min(self.deadline);
        if now < last_decision_at {
            next_check_at.min(last_decision_at)
        } else {
            next_check_at
        }
    }

    /// Waits until the decision on the request may change. It is made once more while a refusal can
    /// still reach the caller.
    pub(super) async fn wait_for_view_change(&self) {
        let latest = self.next_check_at(self.now() + self.max_wait().saturating_sub(MIN_READY_IN));
        let wake = async {
            tokio::select! {
                () = self.node.view_changed.notified() => {}
                () = self.node.stop_requested.notified() => {}
            }
        };
        // A timeout is expected: the decision is made again either way.
        let _ = self.node.clock.timeout_at(latest, wake).await;
    }
}
