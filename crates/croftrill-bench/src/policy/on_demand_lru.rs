//! Baseline: each router alone loads what it is first asked for on an engine of
//! its zone, and engines evict the least recently used model. Routers do not
//! know of each other's loads, nothing admits loads to the weight store, and
//! requests start in the order of arrival.

use super::arrival_order::ArrivalOrder;
use super::{LoadDone, Policy};
use crate::identifiers::{EngineIndex, ModelIndex, NodeIndex, RequestIndex};
use crate::simulation::{HeldState, World};
use croftrill_state::outcome::{Refusal, RefusalCause};
use std::collections::BTreeMap;

/// What travels or fires later.
pub enum Message {
    /// A request reached an engine.
    AtEngine(RequestIndex, EngineIndex),
    /// The client gave up.
    Expired(RequestIndex),
}

/// The baseline.
pub struct OnDemandLru {
    queues: ArrivalOrder,
    /// Where each router sent a model's first request.
    chosen: BTreeMap<(NodeIndex, ModelIndex), EngineIndex>,
    next_in_zone: usize,
}

impl OnDemandLru {
    /// For a number of engines.
    pub fn new(engines: usize) -> Self {
        Self {
            queues: ArrivalOrder::new(engines),
            chosen: BTreeMap::new(),
            next_in_zone: 0,
        }
    }

    fn choose(&mut self, world: &World<'_, Message>, router: NodeIndex, model: ModelIndex) -> EngineIndex {
        if let Some(engine) = self.chosen.get(&(router, model)) {
            return *engine;
        }
        let zone = world.zone_of_node(router);
        let near: Vec<usize> = (0..world.engines().len())
            .filter(|engine| world.engines()[*engine].zone == zone)
            .collect();
        let candidates = if near.is_empty() {
            (0..world.engines().len()).collect()
        } else {
            near
        };
        let engine = EngineIndex(candidates[self.next_in_zone % candidates.len()]);
        self.next_in_zone += 1;
        self.chosen.insert((router, model), engine);
        engine
    }

    fn advance(&mut self, world: &mut World<'_, Message>, engine: EngineIndex) {
        self.queues.dispatch(world, engine);
        for model in self.queues.wanted(world, engine) {
            if world.start_load(engine, model).is_err() {
                evict_least_recently_used(world, engine);
            }
        }
    }
}

/// Unloads one model unless an unload runs already.
fn evict_least_recently_used<M>(world: &mut World<'_, M>, engine: EngineIndex) {
    let held = &world.engine(engine).held;
    if held.values().any(|held| held.state == HeldState::Unloading) {
        return;
    }
    let victim = held
        .iter()
        .filter(|(_, held)| held.state == HeldState::Loaded && held.running == 0)
        .min_by_key(|(_, held)| held.last_used)
        .map(|(model, _)| *model);
    if let Some(model) = victim {
        world.unload(engine, model);
    }
}

impl Policy for OnDemandLru {
    type Message = Message;

    fn name(&self) -> &str {
        "on-demand-lru"
    }

    fn arrived(&mut self, world: &mut World<'_, Message>, request: RequestIndex) {
        let spec = world.request(request);
        let engine = self.choose(world, spec.router, spec.model);
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
                self.advance(world, engine);
            }
            Message::Expired(request) => {
                if world.is_waiting(request) {
                    world.refuse(request, &Refusal::not_run(RefusalCause::DeadlineExpired, 0));
                }
            }
        }
    }

    fn loaded(&mut self, world: &mut World<'_, Message>, done: LoadDone) {
        self.advance(world, done.engine);
    }

    fn unloaded(&mut self, world: &mut World<'_, Message>, engine: EngineIndex, _model: ModelIndex) {
        self.advance(world, engine);
    }

    fn finished(&mut self, world: &mut World<'_, Message>, _request: RequestIndex, engine: EngineIndex) {
        self.advance(world, engine);
    }
}
