//! The state of a run and the actions that a policy may take.

mod loads;
mod requests;

use super::checkpoint_cache::CheckpointSource;
use super::engine::EngineState;
use super::event_queue::EventQueue;
use super::weight_store::WeightStore;
use crate::identifiers::{ClassIndex, EngineIndex, Micros, ModelIndex, NodeIndex, RequestIndex, MILLISECOND};
use crate::measurement::{measure, Counters, Measurement, RunRecord};
use crate::scenario::Scenario;
use crate::workload::{ModelSpec, RequestSpec, Workload};
use croftrill_state::outcome::RefusalCause;
use croftrill_state::Instant;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;

/// Length of the windows in which shares are measured, in seconds.
pub(crate) const SHARE_WINDOW_SECONDS: u64 = 30;

/// Set apart from the seeds of workloads, so that caches and requests are
/// drawn independently.
const CACHE_SEED: u64 = 0x6361_6368_6573;
/// The same for what callers do.
const CALLER_SEED: u64 = 0x6361_6c6c_6572;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Not yet.
    Open,
    /// Its whole answer reached the client.
    Served {
        /// When the first token reached the client.
        first_token: Micros,
        /// When the last token reached the client.
        last_token: Micros,
        /// Whether it waited for a load.
        cold: bool,
    },
    /// It was refused, and did not run.
    Refused {
        /// Why.
        cause: RefusalCause,
        /// When the refusal reached the client.
        at: Micros,
    },
}

/// Why a load was not begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadError {
    /// The engine holds the model already.
    AlreadyHeld,
    /// Its memory has no room.
    NoMemory,
}

pub(super) enum Event<M> {
    Arrival(RequestIndex),
    Message(M),
    StoreStart(u64),
    StoreCheck(u64),
    LoadDone(u64),
    UnloadDone(EngineIndex, ModelIndex),
    EngineStep(EngineIndex),
}

#[derive(Clone, Debug)]
struct RunningLoad {
    engine: EngineIndex,
    model: ModelIndex,
    source: CheckpointSource,
    ordered: Micros,
}

#[derive(Clone, Copy, Debug, Default)]
struct Dispatched {
    first_token: Option<Micros>,
    cold: bool,
    started: bool,
}

/// A run. Messages of the policy to itself have the type `M`.
pub struct World<'a, M> {
    scenario: &'a Scenario,
    workload: &'a Workload,
    now: Micros,
    events: EventQueue<Event<M>>,
    engines: Vec<EngineState>,
    store: WeightStore,
    loads: BTreeMap<u64, RunningLoad>,
    next_load: u64,
    loaded_at: BTreeMap<(EngineIndex, ModelIndex), Micros>,
    /// Requests as their callers last sent them.
    requests: Vec<RequestSpec>,
    returns: Vec<u32>,
    callers: SmallRng,
    outcomes: Vec<Outcome>,
    dispatched: Vec<Dispatched>,
    counters: Counters,
    /// Engine time by window and group.
    group_micros: Vec<Vec<Micros>>,
    measured_end: Option<EndOfArrivals>,
}

/// What is counted only while requests arrive.
struct EndOfArrivals {
    idle_micros: Micros,
    busy_slot_micros: f64,
}

impl<'a, M> World<'a, M> {
    pub(super) fn new(scenario: &'a Scenario, workload: &'a Workload) -> Self {
        let mut events = EventQueue::default();
        for (index, request) in workload.requests.iter().enumerate() {
            let arrives = request.sent + scenario.places.client_delay_micros;
            events.push(arrives, Event::Arrival(RequestIndex(index)));
        }
        let engines = (0..scenario.places.engines)
            .map(|engine| EngineState::new(engine % scenario.places.zones, &scenario.engine))
            .collect();
        let mut world = Self {
            scenario,
            workload,
            now: 0,
            events,
            engines,
            store: WeightStore::new(scenario.weight_store.clone()),
            loads: BTreeMap::new(),
            next_load: 0,
            loaded_at: BTreeMap::new(),
            requests: workload.requests.clone(),
            returns: vec![0; workload.requests.len()],
            callers: SmallRng::seed_from_u64(workload.seed ^ CALLER_SEED),
            outcomes: vec![Outcome::Open; workload.requests.len()],
            dispatched: vec![Dispatched::default(); workload.requests.len()],
            counters: Counters::default(),
            group_micros: Vec::new(),
            measured_end: None,
        };
        world.fill_caches();
        world
    }

    /// Each disk starts with its own part of the checkpoints.
    fn fill_caches(&mut self) {
        let mut random = SmallRng::seed_from_u64(self.workload.seed ^ CACHE_SEED);
        for engine in &mut self.engines {
            let part = random.random_range(0.0..=self.scenario.engine.initial_disk_part);
            let count = (self.workload.models.len() as f64 * part) as usize;
            let mut models: Vec<usize> = (0..self.workload.models.len()).collect();
            models.shuffle(&mut random);
            for model in models.into_iter().take(count) {
                let mib = self.workload.models[model].checkpoint_mib;
                engine.cache.put_on_disk(ModelIndex(model), mib);
            }
        }
    }

    pub(super) fn next_event(&mut self, end: Micros) -> Option<Event<M>> {
        let (time, event) = self.events.pop()?;
        if time > end {
            return None;
        }
        if time >= self.workload.duration && self.measured_end.is_none() {
            self.measured_end = Some(self.end_of_arrivals());
        }
        self.now = time;
        Some(event)
    }

    fn end_of_arrivals(&self) -> EndOfArrivals {
        let end = self.workload.duration;
        EndOfArrivals {
            idle_micros: self.engines.iter().map(|engine| engine.idle_micros(end)).sum(),
            busy_slot_micros: self.store.busy_slot_micros(),
        }
    }

    /// The present time.
    pub fn now(&self) -> Micros {
        self.now
    }

    /// The present time as the state machines see it.
    pub fn instant(&self) -> Instant {
        Instant(self.now / MILLISECOND)
    }

    /// The scenario.
    pub fn scenario(&self) -> &'a Scenario {
        self.scenario
    }

    /// All models.
    pub fn models(&self) -> &'a [ModelSpec] {
        &self.workload.models
    }

    /// A model.
    pub fn model(&self, model: ModelIndex) -> &'a ModelSpec {
        &self.workload.models[model.0]
    }

    /// A request as its caller last sent it.
    pub fn request(&self, request: RequestIndex) -> RequestSpec {
        self.requests[request.0]
    }

    /// How a request ended.
    pub fn outcome(&self, request: RequestIndex) -> Outcome {
        self.outcomes[request.0]
    }

    /// Engines.
    pub fn engines(&self) -> &[EngineState] {
        &self.engines
    }

    /// An engine.
    pub fn engine(&self, engine: EngineIndex) -> &EngineState {
        &self.engines[engine.0]
    }

    /// Where an engine would read a checkpoint.
    pub fn source(&self, engine: EngineIndex, model: ModelIndex) -> CheckpointSource {
        self.engines[engine.0].cache.source(model)
    }

    /// Zone of a node.
    pub fn zone_of_node(&self, node: NodeIndex) -> usize {
        node.0 % self.scenario.places.zones
    }

    /// One way between two zones.
    pub fn zone_delay(&self, one: usize, other: usize) -> Micros {
        if one == other {
            self.scenario.places.local_delay_micros
        } else {
            self.scenario.places.zone_delay_micros
        }
    }

    /// One way between a node and an engine (or the node beside it).
    pub fn delay(&self, node: NodeIndex, engine: EngineIndex) -> Micros {
        self.zone_delay(self.zone_of_node(node), self.engines[engine.0].zone)
    }

    /// Brings the policy a message after a delay.
    pub fn send(&mut self, delay: Micros, message: M) {
        self.events.push(self.now + delay, Event::Message(message));
    }

    /// Whether a request neither ended nor started.
    pub fn is_waiting(&self, request: RequestIndex) -> bool {
        self.outcomes[request.0] == Outcome::Open && !self.dispatched[request.0].started
    }

    pub(super) fn measure(mut self, policy: &str) -> Measurement {
        let end = self.measured_end.take().unwrap_or_else(|| self.end_of_arrivals());
        self.counters.idle_accelerator_micros = end.idle_micros;
        self.counters.store_busy_slot_micros = end.busy_slot_micros;
        self.counters.store_most_at_once = self.store.most_at_once();
        self.counters.store_moved_mib = self.store.moved_mib();
        measure(RunRecord {
            policy,
            scenario: self.scenario,
            workload: self.workload,
            outcomes: &self.outcomes,
            counters: &self.counters,
            group_micros: &self.group_micros,
        })
    }

    /// A class.
    pub fn class(&self, class: ClassIndex) -> &'a crate::scenario::ClassProfile {
        &self.scenario.classes[class.0]
    }
}
