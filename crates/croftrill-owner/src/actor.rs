//! The task of one owned engine.
//!
//! It alone changes the engine's queue and memory plan. Calls to the engine and
//! the coordinator run in tasks of their own, which send their results back as
//! messages, so that the actor never waits for anybody.

mod attempts;
mod engine_link;
mod loads;
mod orders;
mod releases;

use crate::runner::RunEnd;
use crate::service::Shared;
use crate::submission::{SharedLoad, Submission, SubmissionId};
use croftrill_platform::engine::{EngineClient, EngineError, Inventory, OrderOutcome};
use croftrill_protocol::attempt::QueueLoad;
use croftrill_protocol::peer::{LoadPermit, ReportOutcome};
use croftrill_state::cluster::Target;
use croftrill_state::configuration::{Adapter, PriorityClass};
use croftrill_state::engine_memory::{AssignedModel, EngineMemory, InventoryTicket, MemoryAction};
use croftrill_state::outcome::{Refusal, RefusalCause};
use croftrill_state::placement::Engine;
use croftrill_state::replica_queue::ReplicaQueue;
use croftrill_state::{AttemptId, ClusterState, EngineId, FencingToken, Instant, ModelId, Revision};
use engine_link::EngineLink;
use loads::LoadProgress;
use log::{info, warn};
use releases::ReleaseProgress;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio_util::sync::CancellationToken;

/// Ended attempts whose ids are remembered, so that a duplicate is refused.
const REMEMBERED_ATTEMPTS: usize = 4096;
/// Longest sleep of an actor that expects nothing, in milliseconds.
const IDLE_WAKE_MILLIS: u64 = 5_000;

/// What an actor is told.
pub(crate) enum Message {
    /// A new attempt.
    Submit(Submission),
    /// The gateway closed the stream of an attempt.
    Abandoned {
        attempt: AttemptId,
        submission: SubmissionId,
    },
    /// Cancel an attempt, whatever its submission.
    Cancel(AttemptId),
    /// Refuse everything that waits, since the node leaves.
    RefuseWaiting,
    /// The engine's answer to a fence or an inventory.
    Inventory {
        ticket: InventoryTicket,
        result: Result<Inventory, EngineError>,
    },
    /// The engine's answer to an order.
    Ordered {
        action: MemoryAction,
        result: Result<OrderOutcome, EngineError>,
    },
    /// The coordinator's answer; `None` if none answered.
    Permit {
        model: ModelId,
        permit: Option<LoadPermit>,
    },
    /// The coordinator's answer to a report of a release.
    ReleaseReported { model: ModelId, outcome: ReportOutcome },
    /// The first token of an attempt came.
    FirstToken(AttemptId),
    /// A dispatched attempt ended.
    RunEnded { attempt: AttemptId, end: RunEnd },
}

/// Why an actor gives no more orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Retired {
    /// The log gave the engine to another owner or token.
    ByLog,
    /// The engine has seen a higher token than ours.
    ByEngine,
}

struct RunningAttempt {
    submission: SubmissionId,
    target: Target,
    priority: PriorityClass,
    cancel: CancellationToken,
}

/// The owner's side of one engine.
pub(crate) struct EngineActor {
    shared: Arc<Shared>,
    engine: Engine,
    token: FencingToken,
    client: Arc<dyn EngineClient>,
    mailbox: mpsc::UnboundedReceiver<Message>,
    sender: mpsc::UnboundedSender<Message>,
    changes: watch::Receiver<Revision>,
    link: EngineLink,
    retired: Option<Retired>,
    queue: ReplicaQueue,
    memory: EngineMemory,
    load: SharedLoad,
    waiting: BTreeMap<AttemptId, Submission>,
    running: BTreeMap<AttemptId, RunningAttempt>,
    ended: VecDeque<AttemptId>,
    ended_set: BTreeSet<AttemptId>,
    loads: BTreeMap<ModelId, LoadProgress>,
    releases: BTreeMap<ModelId, ReleaseProgress>,
    /// The state that was last taken in.
    applied: Option<Arc<ClusterState>>,
    accounted_until: Instant,
    idle_accelerators: usize,
}

impl EngineActor {
    /// An actor of an engine that the log gave to this node with `token`.
    pub(crate) fn new(
        shared: Arc<Shared>,
        engine: Engine,
        mailbox: mpsc::UnboundedReceiver<Message>,
        sender: mpsc::UnboundedSender<Message>,
    ) -> Self {
        let now = shared.clock.now();
        let client = shared.engines.connect(&engine);
        let mut queue = shared.config.queue.clone();
        queue.max_running = engine.max_running;
        Self {
            token: engine.fencing_token,
            client,
            mailbox,
            sender,
            changes: shared.changes.clone(),
            link: EngineLink::new(now),
            retired: None,
            queue: ReplicaQueue::new(queue),
            memory: EngineMemory::new(shared.config.memory.clone()),
            load: SharedLoad::default(),
            waiting: BTreeMap::new(),
            running: BTreeMap::new(),
            ended: VecDeque::new(),
            ended_set: BTreeSet::new(),
            loads: BTreeMap::new(),
            releases: BTreeMap::new(),
            applied: None,
            accounted_until: now,
            idle_accelerators: 0,
            engine,
            shared,
        }
    }

    /// Runs until the log took the engine away and the last stream ended.
    pub(crate) async fn run(mut self) {
        info!(
            "owner: engine taken over engine={} token={}",
            self.engine.id, self.token
        );
        self.apply_state();
        while !self.is_done() {
            self.step();
            self.wait().await;
        }
        self.close();
        info!(
            "owner: engine given up engine={} token={}",
            self.engine.id, self.token
        );
    }

    async fn wait(&mut self) {
        let wake = self.shared.clock.at(self.next_wake());
        tokio::select! {
            biased;
            changed = self.changes.changed() => self.state_changed(changed.is_err()),
            message = self.mailbox.recv() => self.take_messages(message),
            () = tokio::time::sleep_until(wake) => {}
        }
    }

    /// Takes everything that has come, so that a burst costs one step.
    fn take_messages(&mut self, first: Option<Message>) {
        let mut next = first;
        while let Some(message) = next {
            self.receive(message);
            next = self.mailbox.try_recv().ok();
        }
    }

    fn receive(&mut self, message: Message) {
        match message {
            Message::Submit(submission) => self.submit(submission),
            Message::Abandoned { attempt, submission } => self.abandoned(attempt, submission),
            Message::Cancel(attempt) => self.cancel(attempt),
            Message::RefuseWaiting => self.refuse_waiting(RefusalCause::Leaving),
            Message::Inventory { ticket, result } => self.inventory_answered(ticket, result),
            Message::Ordered { action, result } => self.ordered(action, result),
            Message::Permit { model, permit } => self.permit_answered(&model, permit),
            Message::ReleaseReported { model, outcome } => self.release_reported(&model, outcome),
            Message::FirstToken(attempt) => self.queue.first_token(attempt, self.now()),
            Message::RunEnded { attempt, end } => self.run_ended(attempt, end),
        }
    }

    /// Carries out everything that is due.
    fn step(&mut self) {
        let now = self.now();
        self.account_idle_time(now);
        if self.retired.is_none() {
            self.keep_link(now);
            self.refuse_late(now);
            if self.link.is_up() {
                self.order(now);
                self.report_releases(now);
            }
            if self.link.takes_requests() {
                self.dispatch(now);
            }
        }
        self.idle_accelerators = self.memory.idle_accelerators();
        self.publish_load();
    }

    fn next_wake(&self) -> Instant {
        let now = self.now();
        let mut wake = now + IDLE_WAKE_MILLIS;
        if self.retired.is_some() {
            return wake;
        }
        let deadline = self.queue.next_deadline().map(|at| at + 1);
        let decision = self.memory.next_decision(now);
        let link = Some(self.next_link_time());
        let load = self.next_load_time();
        let release = self.next_release_time();
        for at in [deadline, decision, link, load, release].into_iter().flatten() {
            wake = wake.min(at);
        }
        wake.max(now + 1)
    }

    fn now(&self) -> Instant {
        self.shared.clock.now()
    }

    fn state_changed(&mut self, source_is_gone: bool) {
        if source_is_gone {
            self.retire(Retired::ByLog);
            return;
        }
        self.apply_state();
    }

    fn apply_state(&mut self) {
        let state = self.shared.state.load_full();
        let Some(engine) = state
            .engines
            .get(&self.engine.id)
            .map(|found| found.value.clone())
        else {
            self.retire(Retired::ByLog);
            return;
        };
        let ours = engine.owner.as_ref() == Some(&self.shared.config.node);
        if !ours || engine.fencing_token != self.token {
            self.retire(Retired::ByLog);
            return;
        }
        if engine.address != self.engine.address {
            self.client = self.shared.engines.connect(&engine);
        }
        self.queue.set_max_running(engine.max_running);
        self.engine = engine;
        self.apply_groups(&state);
        self.apply_assignments(&state);
        self.applied = Some(state);
    }

    fn apply_groups(&mut self, state: &ClusterState) {
        let applied = self.applied.as_ref();
        if !applied.is_some_and(|applied| applied.groups.is_same(&state.groups)) {
            self.queue.set_share_weights(share_weights(state));
        }
    }

    fn apply_assignments(&mut self, state: &ClusterState) {
        let unchanged = self.applied.as_ref().is_some_and(|applied| {
            applied.models.is_same(&state.models)
                && applied.adapters.is_same(&state.adapters)
                && applied.engines.is_same(&state.engines)
                && applied.assignments.is_same(&state.assignments)
        });
        if unchanged {
            return;
        }
        let capacity = self.engine.accelerator_memory_mib.clone();
        let assigned = assigned_models(state, &self.engine.id);
        let adapters = adapters_of(state, &assigned);
        self.memory.set_assignments(capacity, assigned, adapters);
    }

    fn retire(&mut self, retired: Retired) {
        if self.retired != Some(Retired::ByLog) {
            warn!(
                "owner: ownership lost engine={} token={} cause={retired:?}",
                self.engine.id, self.token
            );
            self.retired = Some(retired);
        }
        self.end_open_loads();
        self.refuse_waiting(RefusalCause::NotOwner);
    }

    fn is_done(&self) -> bool {
        self.retired == Some(Retired::ByLog) && self.running.is_empty()
    }

    /// Refuses what came after the end.
    fn close(&mut self) {
        self.mailbox.close();
        while let Ok(message) = self.mailbox.try_recv() {
            if let Message::Submit(submission) = message {
                let refusal = self.refusal(RefusalCause::NotOwner);
                submission.refuse(refusal, QueueLoad::default());
            }
        }
        self.shared.metrics.remove_engine(self.engine.id.as_str());
    }

    /// Counts the time since the last step with what was idle at its end.
    fn account_idle_time(&mut self, now: Instant) {
        let millis = now.millis_since(self.accounted_until);
        let metrics = &self.shared.metrics;
        metrics.idle_accelerators(self.idle_accelerators, millis);
        self.accounted_until = now;
    }

    fn publish_load(&self) {
        let estimate = self.queue.estimate(self.now());
        let load = QueueLoad {
            waiting: estimate.waiting,
            running: estimate.running,
            estimated_wait_millis: u32::try_from(estimate.estimated_wait_millis).unwrap_or(u32::MAX),
        };
        self.load.set(load);
        let engine = self.engine.id.as_str();
        self.shared.metrics.set_queue(engine, load.waiting, load.running);
    }

    /// A refusal of something that was never handed to the engine.
    fn refusal(&self, cause: RefusalCause) -> Refusal {
        let config = &self.shared.config;
        let retry = match cause {
            RefusalCause::Leaving => config.leaving_retry_millis,
            RefusalCause::EngineFailed => self.link.retry_in(self.now()).max(1),
            _ => config.not_owner_retry_millis,
        };
        Refusal::not_run(cause, retry)
    }

    fn call_timeout(&self) -> Duration {
        Duration::from_millis(self.shared.config.engine_call_timeout_millis)
    }
}

fn share_weights(state: &ClusterState) -> BTreeMap<croftrill_state::GroupId, u32> {
    state
        .groups
        .values()
        .map(|group| (group.value.id.clone(), group.value.share_weight))
        .collect()
}

fn assigned_models(state: &ClusterState, engine: &EngineId) -> Vec<AssignedModel> {
    state
        .assignments_on_engine(engine)
        .filter_map(|assignment| {
            let model = state.models.get(&assignment.model)?;
            Some(AssignedModel {
                model: model.value.clone(),
                residency: assignment.residency.clone(),
                state: assignment.state.clone(),
            })
        })
        .collect()
}

/// The adapters of the models that the engine may hold.
fn adapters_of(state: &ClusterState, assigned: &[AssignedModel]) -> Vec<Adapter> {
    let bases: BTreeSet<&ModelId> = assigned.iter().map(|assigned| &assigned.model.id).collect();
    let adapters = state.adapters.values().map(|found| &found.value);
    adapters
        .filter(|adapter| bases.contains(&adapter.base))
        .cloned()
        .collect()
}
