//! The owner service of a node: finds the actor of each attempt's engine, and
//! keeps an actor for each engine that the log assigned to this node.

use crate::actor::{EngineActor, Message};
use crate::clock::Clock;
use crate::config::OwnerConfig;
use crate::local_load_rate::LocalLoadRate;
use crate::metrics::OwnerMetrics;
use crate::ports::{EngineConnector, LoadPermits};
use crate::submission::{AttemptStream, Submission, SubmissionId, EVENT_BUFFER};
use arc_swap::ArcSwap;
use croftrill_protocol::attempt::{AttemptEvent, AttemptRequest, QueueLoad};
use croftrill_state::outcome::{Refusal, RefusalCause};
use croftrill_state::placement::{Engine, Lifecycle};
use croftrill_state::{AttemptId, ClusterState, EngineId, FencingToken, Revision};
use futures::stream::{self, BoxStream};
use futures::{FutureExt, StreamExt};
use log::info;
use prometheus_client::registry::Registry;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio_util::task::TaskTracker;

/// How a drain ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainOutcome {
    /// Everything that was accepted has its final event.
    Finished,
    /// The bound passed first: what waited was refused, and so many attempts
    /// still run.
    TimedOut {
        /// Attempts without a final event.
        unfinished: usize,
    },
}

/// What all actors of the node share.
pub(crate) struct Shared {
    pub(crate) config: OwnerConfig,
    pub(crate) state: Arc<ArcSwap<ClusterState>>,
    pub(crate) changes: watch::Receiver<Revision>,
    pub(crate) engines: Arc<dyn EngineConnector>,
    pub(crate) permits: Arc<dyn LoadPermits>,
    pub(crate) metrics: OwnerMetrics,
    pub(crate) clock: Clock,
    local_load_rate: Mutex<LocalLoadRate>,
    actors: Mutex<BTreeMap<EngineId, ActorHandle>>,
    draining: AtomicBool,
    next_submission: AtomicU64,
    pending: TaskTracker,
}

struct ActorHandle {
    token: FencingToken,
    sender: mpsc::UnboundedSender<Message>,
}

/// The owner service of a node.
#[derive(Clone)]
pub struct OwnerService {
    shared: Arc<Shared>,
}

impl OwnerService {
    /// Starts the service on the present runtime. It follows `state` whenever
    /// `changes` tells a new revision.
    pub fn new(
        config: OwnerConfig,
        state: Arc<ArcSwap<ClusterState>>,
        changes: watch::Receiver<Revision>,
        engines: Arc<dyn EngineConnector>,
        permits: Arc<dyn LoadPermits>,
        registry: &mut Registry,
    ) -> Self {
        let rate = LocalLoadRate::new(
            config.local_load_spacing_millis,
            config.local_load_max_spacing_millis,
        );
        let shared = Arc::new(Shared {
            config,
            state,
            changes,
            engines,
            permits,
            metrics: OwnerMetrics::register(registry),
            clock: Clock::start(),
            local_load_rate: Mutex::new(rate),
            actors: Mutex::new(BTreeMap::new()),
            draining: AtomicBool::new(false),
            next_submission: AtomicU64::new(0),
            pending: TaskTracker::new(),
        });
        tokio::spawn(follow_ownership(shared.clone()));
        Self { shared }
    }

    /// Takes an attempt; the stream ends with its final event. Dropping the
    /// stream cancels the attempt.
    pub fn handle(&self, request: AttemptRequest) -> BoxStream<'static, AttemptEvent> {
        let shared = self.shared.clone();
        async move { admit(shared, request).await }
            .flatten_stream()
            .boxed()
    }

    /// Cancels an attempt whose gateway gave up.
    pub fn cancel(&self, attempt: AttemptId) {
        self.shared.tell_all(|| Message::Cancel(attempt));
    }

    /// Refuses new attempts with `Leaving` and waits until all others have
    /// ended, at most `drain_bound_millis`; then refuses what still waits.
    pub async fn drain(&self) -> DrainOutcome {
        self.shared.draining.store(true, Ordering::SeqCst);
        self.shared.pending.close();
        info!("owner: draining attempts={}", self.shared.pending.len());
        let bound = Duration::from_millis(self.shared.config.drain_bound_millis);
        if tokio::time::timeout(bound, self.shared.pending.wait())
            .await
            .is_ok()
        {
            return DrainOutcome::Finished;
        }
        self.shared.tell_all(|| Message::RefuseWaiting);
        DrainOutcome::TimedOut {
            unfinished: self.shared.pending.len(),
        }
    }

    /// Attempts without a final event.
    pub fn open_attempts(&self) -> usize {
        self.shared.pending.len()
    }
}

impl Shared {
    pub(crate) fn local_load_rate(&self) -> MutexGuard<'_, LocalLoadRate> {
        self.local_load_rate
            .lock()
            .expect("the lock of the load rate is never poisoned")
    }

    /// Whether this node takes no new work.
    pub(crate) fn is_leaving(&self) -> bool {
        let state = self.state.load();
        let node = state.nodes.get(&self.config.node);
        let by_log = node.is_some_and(|node| node.value.lifecycle == Lifecycle::Leaving);
        by_log || self.draining.load(Ordering::SeqCst)
    }

    fn actors(&self) -> MutexGuard<'_, BTreeMap<EngineId, ActorHandle>> {
        self.actors
            .lock()
            .expect("the lock of the actors is never poisoned")
    }

    fn tell_all(&self, message: impl Fn() -> Message) {
        for actor in self.actors().values() {
            let _ = actor.sender.send(message());
        }
    }

    /// The engine, if the log gives it to this node.
    fn owned_engine(&self, id: &EngineId) -> Option<Engine> {
        let state = self.state.load();
        let engine = &state.engines.get(id)?.value;
        let ours = engine.owner.as_ref() == Some(&self.config.node);
        ours.then(|| engine.clone())
    }

    /// The actor of an owned engine, started if there is none.
    fn actor(self: &Arc<Self>, engine: Engine) -> mpsc::UnboundedSender<Message> {
        let mut actors = self.actors();
        if let Some(found) = actors.get(&engine.id) {
            if found.token >= engine.fencing_token && !found.sender.is_closed() {
                return found.sender.clone();
            }
        }
        let (sender, mailbox) = mpsc::unbounded_channel();
        let handle = ActorHandle {
            token: engine.fencing_token,
            sender: sender.clone(),
        };
        actors.insert(engine.id.clone(), handle);
        let actor = EngineActor::new(self.clone(), engine, mailbox, sender.clone());
        tokio::spawn(actor.run());
        sender
    }

    fn start_actors_of_owned_engines(self: &Arc<Self>) {
        let state = self.state.load_full();
        let node = &self.config.node;
        let owned = state
            .engines
            .values()
            .filter(|e| e.value.owner.as_ref() == Some(node));
        for engine in owned {
            self.actor(engine.value.clone());
        }
        self.actors().retain(|_, actor| !actor.sender.is_closed());
    }

    fn refused(&self, attempt: AttemptId, cause: RefusalCause) -> BoxStream<'static, AttemptEvent> {
        let retry = match cause {
            RefusalCause::Leaving => self.config.leaving_retry_millis,
            _ => self.config.not_owner_retry_millis,
        };
        self.metrics.refused(cause);
        let event = AttemptEvent::Refused {
            attempt,
            refusal: Refusal::not_run(cause, retry),
            load: QueueLoad::default(),
        };
        stream::once(async move { event }).boxed()
    }

    /// Waits a little for the log entry that the gateway routed by.
    async fn catch_up(&self, revision: Revision) {
        let mut changes = self.changes.clone();
        let limit = Duration::from_millis(self.config.catch_up_millis);
        let reached = async {
            while self.state.load().revision < revision {
                if changes.changed().await.is_err() {
                    return;
                }
            }
        };
        let _ = tokio::time::timeout(limit, reached).await;
    }
}

async fn follow_ownership(shared: Arc<Shared>) {
    let mut changes = shared.changes.clone();
    loop {
        shared.start_actors_of_owned_engines();
        if changes.changed().await.is_err() {
            return;
        }
    }
}

async fn admit(shared: Arc<Shared>, request: AttemptRequest) -> BoxStream<'static, AttemptEvent> {
    let attempt = request.attempt;
    if shared.is_leaving() {
        return shared.refused(attempt, RefusalCause::Leaving);
    }
    shared.catch_up(request.revision).await;
    let Some(engine) = shared.owned_engine(&request.engine) else {
        return shared.refused(attempt, RefusalCause::NotOwner);
    };
    if engine.fencing_token != request.fencing_token {
        return shared.refused(attempt, RefusalCause::NotOwner);
    }
    let actor = shared.actor(engine);
    submit(&shared, request, actor)
}

fn submit(
    shared: &Arc<Shared>,
    mut request: AttemptRequest,
    actor: mpsc::UnboundedSender<Message>,
) -> BoxStream<'static, AttemptEvent> {
    let attempt = request.attempt;
    limit_priority(&shared.state.load(), &mut request);
    let (events, receiver) = mpsc::channel(EVENT_BUFFER);
    let id = SubmissionId(shared.next_submission.fetch_add(1, Ordering::Relaxed));
    let submission = Submission {
        id,
        request,
        arrival: shared.clock.now(),
        cold: false,
        events,
        _pending: shared.pending.token(),
    };
    if actor.send(Message::Submit(submission)).is_err() {
        return shared.refused(attempt, RefusalCause::NotOwner);
    }
    let stream = AttemptStream {
        attempt,
        submission: id,
        events: receiver,
        actor,
    };
    stream.boxed()
}

/// Holds a request to the most urgent class that its group may ask for.
fn limit_priority(state: &ClusterState, request: &mut AttemptRequest) {
    if let Some(group) = state.groups.get(&request.group) {
        request.priority = request.priority.max(group.value.highest_priority);
    }
}
