//! Queues in the order of arrival, one an engine, as the baselines use them.

use crate::identifiers::{EngineIndex, ModelIndex, RequestIndex};
use crate::simulation::World;
use std::collections::VecDeque;

/// The queues.
#[derive(Clone, Debug)]
pub(super) struct ArrivalOrder {
    queues: Vec<VecDeque<RequestIndex>>,
}

impl ArrivalOrder {
    pub(super) fn new(engines: usize) -> Self {
        Self {
            queues: vec![VecDeque::new(); engines],
        }
    }

    pub(super) fn push(&mut self, engine: EngineIndex, request: RequestIndex) {
        self.queues[engine.0].push_back(request);
    }

    pub(super) fn len(&self, engine: EngineIndex) -> usize {
        self.queues[engine.0].len()
    }

    /// Starts every request whose model is loaded, while there are free slots.
    pub(super) fn dispatch<M>(&mut self, world: &mut World<'_, M>, engine: EngineIndex) {
        let mut kept = VecDeque::new();
        while let Some(request) = self.queues[engine.0].pop_front() {
            if !world.is_waiting(request) {
                continue;
            }
            let model = world.request(request).model;
            let state = world.engine(engine);
            if state.is_loaded(model) && state.free_slots() > 0 {
                world.dispatch(request, engine);
            } else {
                kept.push_back(request);
            }
        }
        self.queues[engine.0] = kept;
    }

    /// Models that waiting requests want and the engine does not hold, the one
    /// that waited longest first.
    pub(super) fn wanted<M>(&self, world: &World<'_, M>, engine: EngineIndex) -> Vec<ModelIndex> {
        let held = &world.engine(engine).held;
        let mut wanted = Vec::new();
        for request in &self.queues[engine.0] {
            let model = world.request(*request).model;
            if !held.contains_key(&model) && !wanted.contains(&model) {
                wanted.push(model);
            }
        }
        wanted
    }
}
