//! The owner's side of an engine: queue, memory decisions, loads, dispatch.
//! Follows the owner service step by step.

mod loads;

use super::names::Names;
use super::{CroftrillConfig, Message, News, Sim};
use crate::identifiers::{EngineIndex, ModelIndex, RequestIndex, MILLISECOND};
use crate::simulation::HeldState;
use croftrill_protocol::attempt::QueueLoad;
use croftrill_state::cluster::Target;
use croftrill_state::configuration::Model;
use croftrill_state::engine_memory::{
    AssignedModel, CheckpointLocality, Demand, EngineMemory, HeldReplica, HeldReport, LoadTimeConfig,
    MemoryConfig, OrderAnswer, Settled,
};
use croftrill_state::outcome::{Refusal, RefusalCause};
use croftrill_state::replica_queue::{QueueConfig, QueueItem, ReplicaQueue, Work};
use croftrill_state::{AttemptId, ClusterState, Instant};
use std::collections::BTreeMap;

/// While a load is under way the owner reads the inventory every 50 ms, so it
/// learns of the end half of that later on average.
const INVENTORY_LAG_MILLIS: u64 = 25;
/// Deadline named for a load that nobody waits for, in milliseconds.
const NO_DEADLINE_MILLIS: u64 = 600_000;
const MILLIS_IN_SECOND: u64 = 1000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    AskAt(Instant),
    Asking,
    Ordered(Instant),
}

struct Load {
    model: Model,
    accelerators: Vec<u32>,
    source: CheckpointLocality,
    stage: Stage,
}

impl Load {
    fn remote_mib(&self) -> u64 {
        match self.source {
            CheckpointLocality::Remote => self.model.checkpoint_mib,
            CheckpointLocality::Memory | CheckpointLocality::Disk => 0,
        }
    }
}

/// The owner of one engine.
pub(super) struct Owner {
    engine: EngineIndex,
    queue: ReplicaQueue,
    memory: EngineMemory,
    loads: BTreeMap<ModelIndex, Load>,
    next_due: Option<Instant>,
}

impl Owner {
    pub(super) fn new(
        engine: EngineIndex,
        world: &Sim<'_>,
        state: &ClusterState,
        names: &Names,
        config: &CroftrillConfig,
    ) -> Self {
        let profile = &world.scenario().engine;
        let mut queue = ReplicaQueue::new(QueueConfig {
            max_running: profile.max_running as u32,
            cost: config.cost.into(),
            ..QueueConfig::default()
        });
        let weights = state.groups.values().map(|group| &group.value);
        queue.set_share_weights(
            weights
                .map(|group| (group.id.clone(), group.share_weight))
                .collect(),
        );
        let mut memory = EngineMemory::new(memory_config(world, config));
        let assigned = state
            .assignments_on_engine(names.engine(engine))
            .map(|assignment| AssignedModel {
                model: state.models[&assignment.model].value.clone(),
                residency: assignment.residency.clone(),
                state: assignment.state.clone(),
                changed_at: state.assignments[&assignment.model][names.engine(engine)].changed_at,
            })
            .collect();
        let capacity = vec![profile.accelerator_memory_mib; profile.accelerators];
        memory.set_assignments(capacity, assigned, Vec::new());
        Self {
            engine,
            queue,
            memory,
            loads: BTreeMap::new(),
            next_due: None,
        }
    }

    /// A router's attempt.
    pub(super) fn submit(&mut self, world: &mut Sim<'_>, names: &Names, request: RequestIndex) {
        let now = world.instant();
        let item = self.queue_item(world, names, request);
        let target = item.target.clone();
        let slack = item.first_token_deadline.millis_since(now);
        let memory = &self.memory;
        match self.queue.push(item, |target| memory.wake(target, now), now) {
            Ok(displaced) => {
                self.memory.requested(&target, slack, now);
                self.tell(world, request, News::Accepted);
                if let Some((item, refusal)) = displaced {
                    self.refuse(world, request_of(item.attempt), refusal);
                }
            }
            Err(refusal) => {
                self.await_return(&target, &refusal, now);
                self.refuse(world, request, refusal);
            }
        }
        self.step(world, names);
    }

    /// A caller that was refused since the load takes too long will come back.
    fn await_return(&mut self, target: &Target, refusal: &Refusal, now: Instant) {
        if refusal.cause == RefusalCause::LoadTooSlow {
            self.memory
                .told_to_come_back(target, refusal.retry_after_millis, now);
        }
    }

    fn queue_item(&self, world: &Sim<'_>, names: &Names, request: RequestIndex) -> QueueItem {
        let spec = world.request(request);
        let target = target_of(world, names, request);
        let load_mib = self.memory.load_mib_if_absent(&target.model);
        QueueItem {
            attempt: attempt_of(request),
            target,
            group: names.group(spec.group).clone(),
            priority: world.class(spec.class).priority,
            first_token_deadline: Instant(spec.first_token_deadline / MILLISECOND),
            total_deadline: Instant(spec.total_deadline / MILLISECOND),
            work: Work {
                prompt_tokens: spec.prompt_tokens,
                output_tokens: spec.answer_tokens,
                load_mib,
            },
        }
    }

    /// The timer of `due` fired.
    pub(super) fn due(&mut self, world: &mut Sim<'_>, names: &Names) {
        if self.next_due.is_some_and(|at| at <= world.instant()) {
            self.next_due = None;
        }
        self.step(world, names);
    }

    pub(super) fn inventory_soon(&self, world: &mut Sim<'_>) {
        world.send(
            INVENTORY_LAG_MILLIS * MILLISECOND,
            Message::Inventory(self.engine),
        );
    }

    /// Reads what the engine holds.
    pub(super) fn take_inventory(&mut self, world: &mut Sim<'_>, names: &Names) {
        let now = world.instant();
        let ticket = self.memory.inventory_asked(now);
        let report = held_report(world, names, self.engine);
        for settled in self.memory.reconcile(ticket, report, now) {
            if let Settled::Loaded(model) = settled {
                self.load_ended(world, names, &model);
            }
        }
        self.step(world, names);
    }

    pub(super) fn unload_answered(&mut self, world: &mut Sim<'_>, names: &Names, model: ModelIndex) {
        let now = world.instant();
        self.memory
            .unload_answered(names.model(model), OrderAnswer::Done, now);
        self.take_inventory(world, names);
    }

    pub(super) fn first_token(&mut self, world: &mut Sim<'_>, request: RequestIndex) {
        self.queue.first_token(attempt_of(request), world.instant());
        self.tell(world, request, News::FirstToken);
    }

    pub(super) fn finished(&mut self, world: &mut Sim<'_>, names: &Names, request: RequestIndex) {
        let now = world.instant();
        let spec = world.request(request);
        let served = Work {
            prompt_tokens: spec.prompt_tokens,
            output_tokens: spec.answer_tokens,
            load_mib: 0,
        };
        self.queue.finish(attempt_of(request), Some(served), now);
        let priority = world.class(spec.class).priority;
        self.memory
            .use_ended(&target_of(world, names, request), priority, now);
        self.tell(world, request, News::Finished);
        self.step(world, names);
    }

    fn step(&mut self, world: &mut Sim<'_>, names: &Names) {
        let now = world.instant();
        self.refuse_late(world, now);
        let demands = self.demands();
        for action in self.memory.decide(&demands, now) {
            self.carry_out(world, names, action, now);
        }
        self.advance_loads(world, names, &demands, now);
        self.dispatch(world, names, now);
        self.schedule_next(world, now);
    }

    fn refuse_late(&mut self, world: &mut Sim<'_>, now: Instant) {
        let memory = &self.memory;
        let refused = self.queue.expire(now, |target| memory.wake(target, now));
        for (item, refusal) in refused {
            self.await_return(&item.target, &refusal, now);
            self.refuse(world, request_of(item.attempt), refusal);
        }
    }

    fn refuse(&self, world: &mut Sim<'_>, request: RequestIndex, refusal: Refusal) {
        let delay = world.delay(world.request(request).router, self.engine);
        world.send(
            delay,
            Message::Refused(request, self.engine, refusal, self.queue_load(world.instant())),
        );
    }

    fn tell(&self, world: &mut Sim<'_>, request: RequestIndex, news: News) {
        let delay = world.delay(world.request(request).router, self.engine);
        world.send(
            delay,
            Message::News(request, self.engine, self.queue_load(world.instant()), news),
        );
    }

    fn queue_load(&self, now: Instant) -> QueueLoad {
        let estimate = self.queue.estimate(now);
        QueueLoad {
            waiting: estimate.waiting,
            running: estimate.running,
            estimated_wait_millis: u32::try_from(estimate.estimated_wait_millis).unwrap_or(u32::MAX),
        }
    }

    fn demands(&self) -> Vec<Demand> {
        self.queue
            .waiting_targets()
            .into_iter()
            .map(|waiting| Demand {
                target: waiting.target,
                priority: waiting.priority,
                earliest_deadline: waiting.earliest_deadline,
                latest_deadline: waiting.latest_deadline,
                oldest_arrival: waiting.oldest_arrival,
            })
            .collect()
    }

    fn dispatch(&mut self, world: &mut Sim<'_>, names: &Names, now: Instant) {
        loop {
            let memory = &self.memory;
            let Some(item) = self.queue.pop_ready(|target| memory.is_usable(target), now) else {
                return;
            };
            let request = request_of(item.attempt);
            self.memory
                .use_started(&target_of(world, names, request), item.priority, now);
            world.dispatch(request, self.engine);
        }
    }

    /// Sets the timer for the next thing that is due without an event.
    fn schedule_next(&mut self, world: &mut Sim<'_>, now: Instant) {
        let asks = self.loads.values().filter_map(|load| match load.stage {
            Stage::AskAt(at) => Some(at),
            Stage::Asking | Stage::Ordered(_) => None,
        });
        let deadline = self.queue.next_deadline().map(|at| at + 1);
        let decision = self.memory.next_decision(now);
        let next = asks.chain(deadline).chain(decision).min();
        let Some(next) = next.map(|at| at.max(now + 1)) else {
            return;
        };
        if self.next_due.is_some_and(|due| due <= next) {
            return;
        }
        self.next_due = Some(next);
        world.send(next.millis_since(now) * MILLISECOND, Message::Due(self.engine));
    }
}

fn memory_config(world: &Sim<'_>, config: &CroftrillConfig) -> MemoryConfig {
    let profile = &world.scenario().engine;
    MemoryConfig {
        eviction: config.eviction.into(),
        idle_unload_millis: config.idle_unload_seconds * MILLIS_IN_SECOND,
        tight_idle_unload_millis: config.tight_idle_unload_seconds * MILLIS_IN_SECOND,
        displace_after_millis: config.displace_after_millis,
        minimum_residence_millis: config.minimum_residence_millis,
        return_grace_millis: config.return_grace_seconds * MILLIS_IN_SECOND,
        load_time: LoadTimeConfig {
            fixed_millis: profile.load_fixed_millis,
            memory_mib_per_second: profile.memory_mib_per_second,
            disk_mib_per_second: profile.disk_mib_per_second,
            remote_mib_per_second: world.scenario().weight_store.mib_per_second,
            ..LoadTimeConfig::default()
        },
        ..MemoryConfig::default()
    }
}

fn held_report(world: &Sim<'_>, names: &Names, engine: EngineIndex) -> HeldReport {
    let state = world.engine(engine);
    let replicas = state.held.iter().map(|(model, held)| HeldReplica {
        model: names.model(*model).clone(),
        version: 1,
        loaded: !matches!(held.state, HeldState::Loading(_)),
        accelerators: held.accelerators.iter().map(|index| *index as u32).collect(),
        memory_mib_per_accelerator: world.model(*model).memory_mib,
        adapters: Vec::new(),
    });
    HeldReport {
        replicas: replicas.collect(),
        cached_in_memory: state
            .cached_in_memory()
            .map(|model| names.model(model).clone())
            .collect(),
        cached_on_disk: state
            .cached_on_disk()
            .map(|model| names.model(model).clone())
            .collect(),
        others_running: false,
    }
}

/// The engine loads adapters by itself in the emulator, under every policy.
fn target_of(world: &Sim<'_>, names: &Names, request: RequestIndex) -> Target {
    Target {
        model: names.model(world.request(request).model).clone(),
        adapter: None,
    }
}

/// A request has at most one attempt at a time, so its number serves.
fn attempt_of(request: RequestIndex) -> AttemptId {
    AttemptId(request.0 as u64)
}

fn request_of(attempt: AttemptId) -> RequestIndex {
    RequestIndex(attempt.0 as usize)
}
