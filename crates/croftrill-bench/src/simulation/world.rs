//! The state of a run and the actions that a policy may take.

use super::checkpoint_cache::CheckpointSource;
use super::engine::{EngineState, HeldState, SequenceProgress};
use super::event_queue::EventQueue;
use super::weight_store::WeightStore;
use crate::identifiers::{
    ClassIndex, EngineIndex, GroupIndex, Micros, ModelIndex, NodeIndex, RequestIndex, MILLISECOND, SECOND,
};
use crate::measurement::{measure, Counters, Measurement, RunRecord};
use crate::policy::LoadDone;
use crate::scenario::Scenario;
use crate::workload::{ModelSpec, RequestSpec, Workload};
use croftrill_state::outcome::{Refusal, RefusalCause};
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

    /// Begins a load on accelerators that the world chooses.
    pub fn start_load(&mut self, engine: EngineIndex, model: ModelIndex) -> Result<(), LoadError> {
        let spec = self.model(model);
        let accelerators = self.engines[engine.0]
            .fitting_accelerators(spec)
            .ok_or(LoadError::NoMemory)?;
        self.start_load_on(engine, model, accelerators)
    }

    /// Begins a load on given accelerators.
    pub fn start_load_on(
        &mut self,
        engine: EngineIndex,
        model: ModelIndex,
        accelerators: Vec<usize>,
    ) -> Result<(), LoadError> {
        let spec = self.model(model);
        let state = &mut self.engines[engine.0];
        if state.held.contains_key(&model) {
            return Err(LoadError::AlreadyHeld);
        }
        let fits = |accelerator: &usize| state.free_mib[*accelerator] >= spec.memory_mib;
        if !accelerators.iter().all(fits) {
            return Err(LoadError::NoMemory);
        }
        let number = self.next_load;
        self.next_load += 1;
        state.hold(self.now, model, spec, accelerators, number);
        let source = state.cache.source(model);
        self.count_load(model, source);
        let load = RunningLoad {
            engine,
            model,
            source,
            ordered: self.now,
        };
        self.loads.insert(number, load);
        self.schedule_load(number, spec, source);
        Ok(())
    }

    /// Puts a model on an engine before the run begins, without a load.
    pub fn preload(&mut self, engine: EngineIndex, model: ModelIndex) -> Result<(), LoadError> {
        let spec = self.model(model);
        let state = &mut self.engines[engine.0];
        let accelerators = state.fitting_accelerators(spec).ok_or(LoadError::NoMemory)?;
        state.hold(self.now, model, spec, accelerators, u64::MAX);
        if let Some(held) = state.held.get_mut(&model) {
            held.state = HeldState::Loaded;
        }
        self.loaded_at.insert((engine, model), self.now);
        Ok(())
    }

    fn count_load(&mut self, model: ModelIndex, source: CheckpointSource) {
        match source {
            CheckpointSource::Memory => self.counters.loads_from_memory += 1,
            CheckpointSource::Disk => self.counters.loads_from_disk += 1,
            CheckpointSource::Remote => self.counters.loads_from_store += 1,
        }
        let replicas = self
            .engines
            .iter()
            .filter(|engine| engine.held.contains_key(&model))
            .count();
        let most = self.model(model).max_replicas as usize;
        if replicas > most {
            self.counters.loads_above_decided_replicas += 1;
        }
    }

    fn schedule_load(&mut self, number: u64, spec: &ModelSpec, source: CheckpointSource) {
        let profile = &self.scenario.engine;
        let fixed = profile.load_fixed_millis * MILLISECOND;
        let speed = match source {
            CheckpointSource::Memory => profile.memory_mib_per_second,
            CheckpointSource::Disk => profile.disk_mib_per_second,
            CheckpointSource::Remote => {
                let start = self.store.reserve_start(self.now);
                self.events.push(start, Event::StoreStart(number));
                return;
            }
        };
        let done = self.now + fixed + spec.checkpoint_mib * SECOND / speed;
        self.events.push(done, Event::LoadDone(number));
    }

    pub(super) fn store_starts(&mut self, load: u64) {
        let Some(running) = self.loads.get(&load) else {
            return;
        };
        let mib = self.model(running.model).checkpoint_mib;
        self.store.begin(self.now, load, mib);
        self.schedule_store_check();
    }

    pub(super) fn store_check(&mut self, generation: u64) {
        let fixed = self.scenario.engine.load_fixed_millis * MILLISECOND;
        for load in self.store.take_done(self.now, generation) {
            self.events.push(self.now + fixed, Event::LoadDone(load));
        }
        self.schedule_store_check();
    }

    fn schedule_store_check(&mut self) {
        if let Some((time, generation)) = self.store.next_check() {
            self.events.push(time, Event::StoreCheck(generation));
        }
    }

    pub(super) fn load_done(&mut self, number: u64) -> Option<LoadDone> {
        let load = self.loads.remove(&number)?;
        let mib = self.model(load.model).checkpoint_mib;
        let engine = &mut self.engines[load.engine.0];
        engine.cache.used(load.model, mib);
        engine.held.get_mut(&load.model)?.state = HeldState::Loaded;
        self.loaded_at.insert((load.engine, load.model), self.now);
        Some(LoadDone {
            engine: load.engine,
            model: load.model,
            source: load.source,
            duration: self.now - load.ordered,
        })
    }

    /// Unloads a loaded model of which nothing runs; `false` if it is not so.
    pub fn unload(&mut self, engine: EngineIndex, model: ModelIndex) -> bool {
        let Some(held) = self.engines[engine.0].held.get_mut(&model) else {
            return false;
        };
        if held.state != HeldState::Loaded || held.running > 0 {
            return false;
        }
        held.state = HeldState::Unloading;
        self.counters.evictions += 1;
        if !held.was_used {
            self.counters.unused_loads += 1;
        }
        let done = self.now + self.scenario.engine.unload_millis * MILLISECOND;
        self.events.push(done, Event::UnloadDone(engine, model));
        true
    }

    pub(super) fn unload_done(&mut self, engine: EngineIndex, model: ModelIndex) {
        let spec = self.model(model);
        self.engines[engine.0].release(self.now, model, spec);
    }

    /// Starts a request on an engine that has its model loaded and a free slot.
    pub fn dispatch(&mut self, request: RequestIndex, engine: EngineIndex) {
        let spec = self.request(request);
        assert_eq!(self.outcomes[request.0], Outcome::Open, "a request runs once");
        assert!(!self.dispatched[request.0].started, "a request runs once");
        let state = &mut self.engines[engine.0];
        assert!(state.is_loaded(spec.model), "the model is loaded");
        assert!(state.free_slots() > 0, "the engine has a free slot");
        let adapter_load = self.scenario.adapters.load_millis * MILLISECOND;
        state.add_sequence(self.now, request, &spec, adapter_load);
        let arrived = spec.sent + self.scenario.places.client_delay_micros;
        let loaded = self.loaded_at.get(&(engine, spec.model)).copied().unwrap_or(0);
        self.dispatched[request.0].started = true;
        self.dispatched[request.0].cold = loaded > arrived;
        self.begin_step(engine);
    }

    fn begin_step(&mut self, engine: EngineIndex) {
        let step = self.engines[engine.0].begin_step(self.now, &self.scenario.engine);
        let Some(step) = step else {
            return;
        };
        for (group, micros) in step.used {
            self.count_group(group, micros);
        }
        self.events.push(step.ends, Event::EngineStep(engine));
    }

    fn count_group(&mut self, group: GroupIndex, micros: Micros) {
        let window = (self.now / (SHARE_WINDOW_SECONDS * SECOND)) as usize;
        let groups = self.scenario.groups.len();
        if self.group_micros.len() <= window {
            self.group_micros.resize(window + 1, vec![0; groups]);
        }
        self.group_micros[window][group.0] += micros;
    }

    pub(super) fn engine_step(&mut self, engine: EngineIndex) -> Vec<(RequestIndex, SequenceProgress)> {
        let progress = self.engines[engine.0].end_step(self.now, &self.scenario.engine);
        for (request, step) in &progress {
            let router = self.request(*request).router;
            let at_client = self.now + self.delay(router, engine) + self.scenario.places.client_delay_micros;
            self.record_progress(*request, *step, at_client);
        }
        self.begin_step(engine);
        progress
    }

    fn record_progress(&mut self, request: RequestIndex, step: SequenceProgress, at_client: Micros) {
        let dispatched = &mut self.dispatched[request.0];
        match step {
            SequenceProgress::FirstToken => dispatched.first_token = Some(at_client),
            SequenceProgress::Finished => {
                self.outcomes[request.0] = Outcome::Served {
                    first_token: dispatched.first_token.unwrap_or(at_client),
                    last_token: at_client,
                    cold: dispatched.cold,
                };
            }
        }
    }

    /// Refuses a request that never ran; the refusal travels from its router to
    /// the caller, who may come back at the named time.
    pub fn refuse(&mut self, request: RequestIndex, refusal: &Refusal) {
        assert_eq!(self.outcomes[request.0], Outcome::Open, "a request ends once");
        assert!(
            !self.dispatched[request.0].started,
            "a started request is not refused"
        );
        let at = self.now + self.scenario.places.client_delay_micros;
        if self.comes_back(request, refusal) {
            self.come_back(request, at + refusal.retry_after_millis * MILLISECOND);
            return;
        }
        self.outcomes[request.0] = Outcome::Refused {
            cause: refusal.cause,
            at,
        };
    }

    fn comes_back(&mut self, request: RequestIndex, refusal: &Refusal) -> bool {
        let callers = &self.scenario.callers;
        let would = self.callers.random::<f64>() < callers.return_part;
        would
            && refusal.cause != RefusalCause::DeadlineExpired
            && refusal.retry_after_millis <= callers.most_wait_millis
            && self.returns[request.0] < callers.most_returns
    }

    /// The caller sends its request again with new deadlines.
    fn come_back(&mut self, request: RequestIndex, sent: Micros) {
        self.returns[request.0] += 1;
        self.counters.returns += 1;
        let spec = &mut self.requests[request.0];
        let later = sent - spec.sent;
        spec.sent += later;
        spec.first_token_deadline += later;
        spec.total_deadline += later;
        let arrives = sent + self.scenario.places.client_delay_micros;
        self.events.push(arrives, Event::Arrival(request));
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
