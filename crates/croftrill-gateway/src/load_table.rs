//! What this gateway learned about engines from the replies of their owners.
//! Nothing is gossiped, so an entry is as old as the last reply.

use croftrill_protocol::attempt::QueueLoad;
use croftrill_state::{EngineId, Instant, ModelId};
use std::collections::HashMap;

/// A replica is believed to be loaded for this long after its last sign, in
/// milliseconds.
pub const LOADED_BELIEF_MILLIS: u64 = 60_000;

/// The expected wait at an engine; the smaller, the better.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ExpectedWait {
    /// What is left of the owner's last estimate, in milliseconds.
    pub millis: u64,
    /// Attempts of this gateway under way there.
    pub outstanding: u32,
}

#[derive(Clone, Copy, Debug, Default)]
struct EngineLoad {
    estimated_wait_millis: u64,
    reported_at: Instant,
    outstanding: u32,
}

/// Loads of engines, and where models were seen loaded.
#[derive(Debug, Default)]
pub struct LoadTable {
    engines: HashMap<EngineId, EngineLoad>,
    loaded: HashMap<ModelId, HashMap<EngineId, Instant>>,
}

impl LoadTable {
    /// Notes the load that came with a reply.
    pub fn record_load(&mut self, engine: &EngineId, load: QueueLoad, now: Instant) {
        let entry = self.engines.entry(engine.clone()).or_default();
        entry.estimated_wait_millis = u64::from(load.estimated_wait_millis);
        entry.reported_at = now;
    }

    /// Notes a sign that the engine holds the model.
    pub fn record_loaded(&mut self, model: &ModelId, engine: &EngineId, now: Instant) {
        let engines = self.loaded.entry(model.clone()).or_default();
        engines.insert(engine.clone(), now);
    }

    /// Notes a sign that the engine does not serve the model.
    pub fn forget_loaded(&mut self, model: &ModelId, engine: &EngineId) {
        if let Some(engines) = self.loaded.get_mut(model) {
            engines.remove(engine);
        }
    }

    /// Notes that an attempt goes to the engine.
    pub fn attempt_started(&mut self, engine: &EngineId) {
        self.engines.entry(engine.clone()).or_default().outstanding += 1;
    }

    /// Notes that an attempt at the engine ended.
    pub fn attempt_ended(&mut self, engine: &EngineId) {
        if let Some(entry) = self.engines.get_mut(engine) {
            entry.outstanding = entry.outstanding.saturating_sub(1);
        }
    }

    /// Whether the engine showed lately that it holds the model.
    pub fn is_known_loaded(&self, model: &ModelId, engine: &EngineId, now: Instant) -> bool {
        self.loaded
            .get(model)
            .and_then(|engines| engines.get(engine))
            .is_some_and(|seen| now.millis_since(*seen) < LOADED_BELIEF_MILLIS)
    }

    /// The wait to expect at an engine. An estimate shrinks as it gets older,
    /// since the queue drains meanwhile.
    pub fn expected_wait(&self, engine: &EngineId, now: Instant) -> ExpectedWait {
        let entry = self.engines.get(engine).copied().unwrap_or_default();
        let age = now.millis_since(entry.reported_at);
        ExpectedWait {
            millis: entry.estimated_wait_millis.saturating_sub(age),
            outstanding: entry.outstanding,
        }
    }

    /// Drops what is known of engines that are gone.
    pub fn retain_engines(&mut self, exists: impl Fn(&EngineId) -> bool) {
        self.engines.retain(|engine, _| exists(engine));
        for engines in self.loaded.values_mut() {
            engines.retain(|engine, _| exists(engine));
        }
        self.loaded.retain(|_, engines| !engines.is_empty());
    }
}
