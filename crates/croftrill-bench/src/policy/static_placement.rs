//! Baseline: models are placed once, the most asked for first, until the
//! memory is full; requests for the others are refused.

use super::arrival_order::ArrivalOrder;
use super::{LoadDone, Policy};
use crate::identifiers::{EngineIndex, ModelIndex, RequestIndex};
use crate::simulation::World;
use croftrill_state::outcome::{Refusal, RefusalCause};
use std::collections::BTreeMap;

/// A model without a replica never gets one, so nobody need come back.
const NEVER_MILLIS: u64 = 86_400_000;

/// What travels or fires later.
pub enum Message {
    /// A request reached an engine.
    AtEngine(RequestIndex, EngineIndex),
    /// The client gave up.
    Expired(RequestIndex),
}

/// The baseline.
pub struct StaticPlacement {
    queues: ArrivalOrder,
    placed: BTreeMap<ModelIndex, Vec<EngineIndex>>,
}

impl StaticPlacement {
    /// For a number of engines.
    pub fn new(engines: usize) -> Self {
        Self {
            queues: ArrivalOrder::new(engines),
            placed: BTreeMap::new(),
        }
    }

    /// Places one more replica of each model where there is most room.
    fn place_round(&mut self, world: &mut World<'_, Message>, models: &[ModelIndex]) {
        for model in models {
            let placed = self.placed.entry(*model).or_default();
            if placed.len() >= world.model(*model).max_replicas as usize {
                continue;
            }
            let mut engines: Vec<usize> = (0..world.engines().len()).collect();
            engines.sort_by_key(|engine| {
                std::cmp::Reverse(world.engines()[*engine].free_mib.iter().sum::<u64>())
            });
            let fitting = engines
                .into_iter()
                .map(EngineIndex)
                .find(|engine| !placed.contains(engine) && world.preload(*engine, *model).is_ok());
            placed.extend(fitting);
        }
    }
}

fn most_asked_first<M>(world: &World<'_, M>) -> Vec<ModelIndex> {
    let rate = |model: &ModelIndex| {
        let spec = world.model(*model);
        spec.popularity * world.class(spec.class).requests_per_second
    };
    let mut models: Vec<ModelIndex> = (0..world.models().len()).map(ModelIndex).collect();
    models.sort_by(|one, other| rate(other).total_cmp(&rate(one)));
    models
}

impl Policy for StaticPlacement {
    type Message = Message;

    fn name(&self) -> &str {
        "static-placement"
    }

    fn start(&mut self, world: &mut World<'_, Message>) {
        let models = most_asked_first(world);
        let rounds = models.iter().map(|model| world.model(*model).max_replicas).max();
        for _ in 0..rounds.unwrap_or(0) {
            self.place_round(world, &models);
        }
    }

    fn arrived(&mut self, world: &mut World<'_, Message>, request: RequestIndex) {
        let spec = world.request(request);
        let placed = self.placed.get(&spec.model).map_or(&[][..], Vec::as_slice);
        let least_loaded = placed
            .iter()
            .min_by_key(|engine| self.queues.len(**engine) + world.engine(**engine).running());
        let Some(engine) = least_loaded.copied() else {
            world.refuse(request, &Refusal::not_run(RefusalCause::NoReplica, NEVER_MILLIS));
            return;
        };
        world.send(spec.total_deadline - world.now(), Message::Expired(request));
        world.send(
            world.delay(spec.router, engine),
            Message::AtEngine(request, engine),
        );
    }

    fn message(&mut self, world: &mut World<'_, Message>, message: Message) {
        match message {
            Message::AtEngine(request, engine) => {
                self.queues.push(engine, request);
                self.queues.dispatch(world, engine);
            }
            Message::Expired(request) => {
                if world.is_waiting(request) {
                    world.refuse(request, &Refusal::not_run(RefusalCause::DeadlineExpired, 0));
                }
            }
        }
    }

    fn loaded(&mut self, world: &mut World<'_, Message>, done: LoadDone) {
        self.queues.dispatch(world, done.engine);
    }

    fn finished(&mut self, world: &mut World<'_, Message>, _request: RequestIndex, engine: EngineIndex) {
        self.queues.dispatch(world, engine);
    }
}
