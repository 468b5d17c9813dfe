//! Demand for models and adapters, as a rate that fades with time.

use std::collections::HashMap;
use std::time::Duration;

use crate::catalog::{AdapterName, ModelName, ServiceName};
use crate::time::Moment;

/// A model of a service, or an adapter of it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ModelKey {
    /// The service.
    pub service: ServiceName,
    /// The model.
    pub model: ModelName,
    /// An adapter of it; `None`: the model, with or without adapters.
    pub adapter: Option<AdapterName>,
}

impl ModelKey {
    /// The same model without an adapter.
    pub fn base(&self) -> ModelKey {
        ModelKey {
            adapter: None,
            ..self.clone()
        }
    }
}

/// Time constant of the fading rate.
const RATE_MEMORY: Duration = Duration::from_secs(6);
/// After this time without a request a waiting mark is over.
const WAITING_FOR: Duration = Duration::from_millis(4000);

/// Demand for one model or adapter.
#[derive(Debug, Clone, Copy, Default)]
struct Rate {
    requests: f64,
    tokens: f64,
    updated: Moment,
    waiting_until: Option<Moment>,
    waiting_since: Option<Moment>,
}

impl Rate {
    fn add(&mut self, requests: f64, tokens: f64, now: Moment) {
        self.fade_to(now);
        self.requests += requests;
        self.tokens += tokens;
    }

    fn requests_per_second(&self, now: Moment) -> f64 {
        self.requests * self.fade(now) / RATE_MEMORY.as_secs_f64()
    }

    fn tokens_per_second(&self, now: Moment) -> f64 {
        self.tokens * self.fade(now) / RATE_MEMORY.as_secs_f64()
    }

    fn fade(&self, now: Moment) -> f64 {
        (-now.since(self.updated).as_secs_f64() / RATE_MEMORY.as_secs_f64()).exp()
    }

    fn fade_to(&mut self, now: Moment) {
        let fade = self.fade(now);
        self.requests *= fade;
        self.tokens *= fade;
        self.updated = now;
    }
}

/// Demand of all nodes together.
#[derive(Debug, Default)]
pub struct Demand {
    rates: HashMap<ModelKey, Rate>,
    /// Demand for all adapters of a model together.
    adapters_of: HashMap<ModelKey, Rate>,
}

impl Demand {
    /// No demand yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts requests; for an adapter its model is counted too.
    pub fn count(&mut self, key: &ModelKey, requests: f64, tokens: f64, now: Moment) {
        if key.adapter.is_some() {
            self.count(&key.base(), requests, tokens, now);
            self.adapters_of
                .entry(key.base())
                .or_default()
                .add(requests, tokens, now);
        }
        self.rates
            .entry(key.clone())
            .or_default()
            .add(requests, tokens, now);
    }

    /// Requests wait for this model or adapter.
    pub fn mark_waiting(&mut self, key: &ModelKey, now: Moment) {
        let rate = self.rates.entry(key.clone()).or_default();
        let over = rate.waiting_until.is_none_or(|until| until < now);
        if over {
            rate.waiting_since = Some(now);
        }
        rate.waiting_until = Some(now + WAITING_FOR);
    }

    /// What was waited for is there.
    pub fn clear_waiting(&mut self, key: &ModelKey) {
        if let Some(rate) = self.rates.get_mut(key) {
            rate.waiting_until = None;
        }
    }

    /// Models and adapters that are waited for, those waiting longest first.
    pub fn waiting(&self, now: Moment) -> Vec<ModelKey> {
        let mut waiting: Vec<(Moment, &ModelKey)> = self
            .rates
            .iter()
            .filter(|(_, rate)| rate.waiting_until.is_some_and(|until| now <= until))
            .map(|(key, rate)| (rate.waiting_since.unwrap_or(now), key))
            .collect();
        waiting.sort();
        waiting.into_iter().map(|(_, key)| key.clone()).collect()
    }

    /// How long the model or adapter has been waited for.
    pub fn waited(&self, key: &ModelKey, now: Moment) -> Duration {
        let since = self.rates.get(key).and_then(|rate| rate.waiting_since);
        since.map_or(Duration::ZERO, |since| now.since(since))
    }

    /// Requests a second.
    pub fn requests_per_second(&self, key: &ModelKey, now: Moment) -> f64 {
        self.rates
            .get(key)
            .map_or(0.0, |rate| rate.requests_per_second(now))
    }

    /// Requests a second for all adapters of a model.
    pub fn adapter_requests_per_second(&self, model: &ModelKey, now: Moment) -> f64 {
        self.adapters_of
            .get(model)
            .map_or(0.0, |rate| rate.requests_per_second(now))
    }

    /// Cost tokens a second.
    pub fn tokens_per_second(&self, key: &ModelKey, now: Moment) -> f64 {
        self.rates
            .get(key)
            .map_or(0.0, |rate| rate.tokens_per_second(now))
    }
}
