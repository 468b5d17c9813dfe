//! The engine's own doings, and changes of its owner.

use super::*;

impl World {
    pub fn loads_finish(&mut self) {
        for held in self.engine.values_mut() {
            held.loaded = true;
            for adapter in held.adapters.values_mut() {
                adapter.loaded = true;
            }
        }
    }

    pub fn load_fails(&mut self, number: usize) {
        let id = model_id(number);
        if let Some(held) = self.engine.get_mut(&id) {
            held.adapters.retain(|_, adapter| adapter.loaded);
        }
        if self.engine.get(&id).is_some_and(|held| !held.loaded) {
            self.engine.remove(&id);
        }
    }

    /// The engine loses everything; the streams of its requests break.
    pub fn engine_restarts(&mut self) {
        self.engine.clear();
        self.snapshots.clear();
        for run in std::mem::take(&mut self.runs) {
            if run.token == self.token {
                self.memory
                    .use_ended(&run.target, PriorityClass::Standard, self.now);
            }
        }
        self.restart_unseen = true;
    }

    /// Another owner fences the engine. Requests of the former one run on;
    /// its orders are refused.
    pub fn owner_changes(&mut self) {
        self.token += 1;
        self.demands.clear();
        self.forget_inventory();
        self.fence();
    }
}
