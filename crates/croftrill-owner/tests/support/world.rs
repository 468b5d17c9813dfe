//! A cluster of one node, one engine and some models, changed by the test.

use super::engine::MemoryEngine;
use arc_swap::ArcSwap;
use async_trait::async_trait;
use croftrill_owner::{EngineConnector, LoadPermits, OwnerConfig, OwnerService, PermitsUnreachable};
use croftrill_platform::engine::EngineClient;
use croftrill_protocol::attempt::{AttemptEvent, AttemptRequest, Generation};
use croftrill_protocol::peer::{LoadPermit, LoadPermitRequest, LoadReport, ReportOutcome};
use croftrill_state::cluster::{Target, Versioned};
use croftrill_state::configuration::{Adapter, Group, Model, PriorityClass};
use croftrill_state::engine_memory::ConfirmedRelease;
use croftrill_state::outcome::Refusal;
use croftrill_state::placement::{Assignment, AssignmentState, Engine, Lifecycle, Node, Residency};
use croftrill_state::*;
use futures::StreamExt;
use prometheus_client::registry::Registry;
use std::sync::{Arc, Mutex};
use tokio::sync::watch;

/// The coordinator as the owner sees it.
#[derive(Default)]
pub struct Coordinator {
    pub unreachable: Mutex<bool>,
    /// Answers to give before `Granted`.
    pub waits: Mutex<Vec<LoadPermit>>,
    pub asked: Mutex<Vec<LoadPermitRequest>>,
    pub reports: Mutex<Vec<LoadReport>>,
    pub releases: Mutex<Vec<ConfirmedRelease>>,
    /// Reports of releases to answer with `TryLater`.
    pub failing_reports: Mutex<u32>,
}

#[async_trait]
impl LoadPermits for Coordinator {
    async fn request_load(&self, request: LoadPermitRequest) -> Result<LoadPermit, PermitsUnreachable> {
        self.asked.lock().unwrap().push(request);
        if *self.unreachable.lock().unwrap() {
            return Err(PermitsUnreachable);
        }
        let granted = LoadPermit::Granted { expected_millis: 100 };
        Ok(self.waits.lock().unwrap().pop().unwrap_or(granted))
    }

    async fn finish_load(&self, report: LoadReport) -> ReportOutcome {
        self.reports.lock().unwrap().push(report);
        ReportOutcome::Recorded
    }

    async fn report_release(&self, model: ModelId, _engine: EngineId, release: Revision) -> ReportOutcome {
        let released = ConfirmedRelease { model, release };
        self.releases.lock().unwrap().push(released);
        let mut failing = self.failing_reports.lock().unwrap();
        if *failing > 0 {
            *failing -= 1;
            return ReportOutcome::TryLater;
        }
        ReportOutcome::Recorded
    }
}

struct OneEngine(MemoryEngine);

impl EngineConnector for OneEngine {
    fn connect(&self, _engine: &Engine) -> Arc<dyn EngineClient> {
        Arc::new(self.0.clone())
    }
}

/// The whole world of one test.
pub struct World {
    pub engine: MemoryEngine,
    pub coordinator: Arc<Coordinator>,
    pub service: OwnerService,
    pub registry: Registry,
    state: Arc<ArcSwap<ClusterState>>,
    changes: watch::Sender<Revision>,
    next_attempt: Mutex<u64>,
}

pub const NODE: &str = "node-1";
pub const OTHER_NODE: &str = "node-2";
pub const ENGINE: &str = "engine-1";
const MEMORY: u64 = 100;

/// A world with a configured service and nothing assigned.
pub fn world_with(change: impl FnOnce(&mut OwnerConfig)) -> World {
    let mut config = OwnerConfig::new(NodeId::from(NODE));
    change(&mut config);
    let state = Arc::new(ArcSwap::from_pointee(first_state()));
    let (changes, receiver) = watch::channel(Revision(1));
    let engine = MemoryEngine::new(vec![MEMORY, MEMORY]);
    let coordinator = Arc::new(Coordinator::default());
    let mut registry = Registry::default();
    let service = OwnerService::new(
        config,
        state.clone(),
        receiver,
        Arc::new(OneEngine(engine.clone())),
        coordinator.clone(),
        &mut registry,
    );
    World {
        engine,
        coordinator,
        service,
        registry,
        state,
        changes,
        next_attempt: Mutex::new(0),
    }
}

/// A world with default settings.
pub fn world() -> World {
    world_with(|_| {})
}

fn first_state() -> ClusterState {
    let mut state = ClusterState {
        revision: Revision(1),
        ..ClusterState::default()
    };
    let group = Group {
        id: GroupId::from("group"),
        share_weight: 1,
        highest_priority: PriorityClass::Critical,
    };
    state.groups.insert(group.id.clone(), at(1, group));
    for name in [NODE, OTHER_NODE] {
        let node = Node {
            id: NodeId::from(name),
            zone: ZoneId::from("zone"),
            cell: CellId::from("cell"),
            peer_address: String::new(),
            attempt_address: String::new(),
            lifecycle: Lifecycle::Live,
        };
        state.nodes.insert(node.id.clone(), at(1, node));
    }
    let engine = Engine {
        id: EngineId::from(ENGINE),
        zone: ZoneId::from("zone"),
        cell: CellId::from("cell"),
        address: String::new(),
        accelerator_memory_mib: vec![MEMORY, MEMORY],
        max_running: 4,
        owner: Some(NodeId::from(NODE)),
        fencing_token: FencingToken(1),
        lifecycle: Lifecycle::Live,
    };
    state.engines.insert(engine.id.clone(), at(1, engine));
    state
}

fn at<T>(revision: u64, value: T) -> Versioned<T> {
    Versioned {
        changed_at: Revision(revision),
        value,
    }
}

impl World {
    /// What `/metrics` would print of the owner.
    pub fn metrics(&self) -> String {
        let mut text = String::new();
        prometheus_client::encoding::text::encode(&mut text, &self.registry).unwrap();
        text
    }

    /// Changes the state as a new log entry would.
    pub fn change(&self, change: impl FnOnce(&mut ClusterState)) {
        let mut next = (**self.state.load()).clone();
        next.revision = next.revision.next();
        change(&mut next);
        let revision = next.revision;
        self.state.store(Arc::new(next));
        self.changes.send(revision).unwrap();
    }

    /// Creates a model of so much memory on one accelerator and assigns it.
    pub fn assign(&self, name: &str, memory: u64, residency: Residency) {
        self.change(|state| {
            let model = Model {
                id: ModelId::from(name),
                version: 1,
                accelerators: 1,
                memory_mib_per_accelerator: memory,
                checkpoint_mib: memory,
                min_replicas: 0,
                max_replicas: 1,
            };
            state.models.insert(model.id.clone(), at(1, model));
            let assignment = Assignment {
                model: ModelId::from(name),
                engine: EngineId::from(ENGINE),
                residency,
                state: AssignmentState::Active,
            };
            state
                .assignments
                .entry(ModelId::from(name))
                .or_default()
                .insert(EngineId::from(ENGINE), at(state.revision.0, assignment));
        });
    }

    pub fn set_assignment(&self, name: &str, assignment_state: AssignmentState) {
        self.change(|state| {
            let by_engine = state.assignments.get_mut(&ModelId::from(name)).unwrap();
            let found = by_engine.get_mut(&EngineId::from(ENGINE)).unwrap();
            found.value.state = assignment_state;
            found.changed_at = state.revision;
        });
    }

    /// The revision that last changed the assignment of a model.
    pub fn revision_of(&self, name: &str) -> Revision {
        self.state.load().assignments[&ModelId::from(name)][&EngineId::from(ENGINE)].changed_at
    }

    pub fn add_adapter(&self, name: &str, base: &str, memory: u64) {
        self.change(|state| {
            let adapter = Adapter {
                id: AdapterId::from(name),
                base: ModelId::from(base),
                version: 1,
                memory_mib_per_accelerator: memory,
            };
            state.adapters.insert(adapter.id.clone(), at(1, adapter));
        });
    }

    /// Gives the engine to a node, with the new revision as token.
    pub fn set_owner(&self, node: &str) {
        self.change(|state| {
            let token = FencingToken(state.revision.0);
            let engine = &mut state.engines.get_mut(&EngineId::from(ENGINE)).unwrap().value;
            engine.owner = Some(NodeId::from(node));
            engine.fencing_token = token;
        });
    }

    pub fn token(&self) -> FencingToken {
        self.state.load().engines[&EngineId::from(ENGINE)]
            .value
            .fencing_token
    }

    /// A request of 3 tokens with lenient deadlines.
    pub fn request(&self, model: &str) -> AttemptRequest {
        let mut next = self.next_attempt.lock().unwrap();
        *next += 1;
        AttemptRequest {
            request: RequestId(*next),
            attempt: AttemptId(*next),
            target: Target {
                model: ModelId::from(model),
                adapter: None,
            },
            engine: EngineId::from(ENGINE),
            fencing_token: self.token(),
            revision: self.state.load().revision,
            group: GroupId::from("group"),
            priority: PriorityClass::Standard,
            first_token_deadline_millis: 10_000,
            total_deadline_millis: 20_000,
            unrepeatable: None,
            resume: None,
            generation: Generation {
                prompt: "a prompt".to_string(),
                max_tokens: 3,
                ..Generation::default()
            },
        }
    }

    /// Runs an attempt to its end.
    pub async fn events_of(&self, request: AttemptRequest) -> Vec<AttemptEvent> {
        self.service.handle(request).collect().await
    }

    /// Runs an attempt in the background.
    pub fn spawn(&self, request: AttemptRequest) -> tokio::task::JoinHandle<Vec<AttemptEvent>> {
        let stream = self.service.handle(request);
        tokio::spawn(stream.collect())
    }
}

/// Lets simulated time pass.
pub async fn pass(millis: u64) {
    tokio::time::sleep(std::time::Duration::from_millis(millis)).await;
}

/// The refusal that ended an attempt.
pub fn refusal(events: &[AttemptEvent]) -> Refusal {
    match events.last() {
        Some(AttemptEvent::Refused { refusal, .. }) => refusal.clone(),
        other => panic!("not refused: {other:?}"),
    }
}

/// The text of an answer, checked to be whole and in order.
pub fn whole_text(events: &[AttemptEvent]) -> String {
    let mut text = String::new();
    let mut next = None;
    for event in events {
        if let AttemptEvent::Tokens {
            offset,
            count,
            text: part,
            ..
        } = event
        {
            assert_eq!(*offset, next.unwrap_or(*offset));
            next = Some(offset + count);
            text.push_str(part);
        }
    }
    assert!(
        matches!(events.last(), Some(AttemptEvent::Finished { .. })),
        "not finished: {events:?}"
    );
    text
}
