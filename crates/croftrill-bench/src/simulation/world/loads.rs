//! Loads and unloads of a run.

use super::{Event, LoadError, RunningLoad, World};
use crate::identifiers::{EngineIndex, ModelIndex, MILLISECOND, SECOND};
use crate::policy::LoadDone;
use crate::simulation::checkpoint_cache::CheckpointSource;
use crate::simulation::engine::HeldState;
use crate::workload::ModelSpec;

impl<M> World<'_, M> {
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

    pub(in crate::simulation) fn store_starts(&mut self, load: u64) {
        let Some(running) = self.loads.get(&load) else {
            return;
        };
        let mib = self.model(running.model).checkpoint_mib;
        self.store.begin(self.now, load, mib);
        self.schedule_store_check();
    }

    pub(in crate::simulation) fn store_check(&mut self, generation: u64) {
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

    pub(in crate::simulation) fn load_done(&mut self, number: u64) -> Option<LoadDone> {
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

    pub(in crate::simulation) fn unload_done(&mut self, engine: EngineIndex, model: ModelIndex) {
        let spec = self.model(model);
        self.engines[engine.0].release(self.now, model, spec);
    }
}
