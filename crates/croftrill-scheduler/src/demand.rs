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

/// Requests that were counted together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Asked {
    /// Number of requests.
    pub requests: f64,
    /// Their cost, in tokens.
    pub tokens: f64,
    /// Mean of the times within which their answers earn full credit.
    pub objective: Duration,
    /// Requests, these or earlier ones, that holders served too late.
    pub late: f64,
}

/// Time constant of the rate that follows changes.
const RATE_MEMORY: Duration = Duration::from_secs(6);
/// Time constant of the rate that shows a rise.
const BRIEF_MEMORY: Duration = Duration::from_secs(1);
/// Standard deviations of a brief count by which it may be chance.
const CHANCE_DEVIATIONS: f64 = 2.0;
/// Time constant of the rate that steadies rare demand.
const LASTING_MEMORY: Duration = Duration::from_secs(20);
/// Least time over which the lasting rate is averaged.
const LEAST_OBSERVATION: Duration = Duration::from_secs(3);
/// Requests that a model is taken to have had that was never asked for: of a Poisson
/// rate all that silence tells is that it is about so many in the time observed.
const UNSEEN_REQUESTS: f64 = 0.5;
/// Least time over which an unseen model's silence is counted.
const LEAST_SILENCE: Duration = Duration::from_secs(1);
/// Requests that would have been expected by now in a silence that shows a fall of demand.
const SILENT_REQUESTS: f64 = 2.0;
/// Longest time between two accounts of requests that go on: so much silence says nothing.
const TOLD_EVERY: Duration = Duration::from_millis(500);
/// Late requests that come closer together than this count as one occasion: one
/// long prompt delays every stream at its replica, whatever the number of holders.
const LATE_OCCASION: Duration = Duration::from_millis(500);
/// Requests in time that are assumed besides those that were counted, so that
/// one late request alone says little.
const ASSUMED_IN_TIME: f64 = 4.0;
/// Least share of late requests: of a thousand one may always be.
const LEAST_LATE_SHARE: f64 = 0.001;
/// Late requests can be counted before the requests that they are part of.
const MOST_LATE_SHARE: f64 = 0.95;
/// After this time without a request a waiting mark is over.
const WAITING_FOR: Duration = Duration::from_millis(4000);

/// Demand for one model or adapter.
#[derive(Debug, Clone, Copy, Default)]
struct Rate {
    requests: f64,
    tokens: f64,
    /// Requests that fade with [`BRIEF_MEMORY`].
    brief: f64,
    late: f64,
    /// Occasions on which requests were late.
    late_occasions: f64,
    last_late_occasion: Option<Moment>,
    /// Requests that fade with [`LASTING_MEMORY`].
    lasting: f64,
    /// Sum of the objectives of `lasting`, in seconds.
    objectives_s: f64,
    updated: Moment,
    first_request: Option<Moment>,
    last_request: Option<Moment>,
    waiting_until: Option<Moment>,
    waiting_since: Option<Moment>,
}

impl Rate {
    fn add(&mut self, asked: &Asked, now: Moment) {
        self.fade_to(now);
        self.requests += asked.requests;
        self.tokens += asked.tokens;
        self.brief += asked.requests;
        self.late += asked.late;
        if asked.late > 0.0 {
            self.count_late_occasion(now);
        }
        self.lasting += asked.requests;
        self.objectives_s += asked.requests * asked.objective.as_secs_f64();
        if asked.requests > 0.0 {
            self.first_request.get_or_insert(now);
            self.last_request = Some(now);
        }
    }

    fn count_late_occasion(&mut self, now: Moment) {
        let last = self.last_late_occasion;
        if last.is_none_or(|last| now.since(last) >= LATE_OCCASION) {
            self.late_occasions += 1.0;
            self.last_late_occasion = Some(now);
        }
    }

    fn requests_per_second(&self, now: Moment) -> f64 {
        self.requests * self.fade(now) / RATE_MEMORY.as_secs_f64()
    }

    fn tokens_per_second(&self, now: Moment) -> f64 {
        self.tokens * self.fade(now) / RATE_MEMORY.as_secs_f64()
    }

    /// Requests a second at present: a rise shows as soon as it is no chance, and no more
    /// than the silence since the last request allows. `observed` is how long requests
    /// have been counted.
    fn present_per_second(&self, observed: Duration, now: Moment) -> f64 {
        let Some(last) = self.last_request else { return 0.0 };
        let steady = self.requests * self.fade(now) / observed_weight_s(RATE_MEMORY, observed);
        let brief = self.brief * fade(BRIEF_MEMORY, now.since(self.updated));
        let surely = (brief - CHANCE_DEVIATIONS * brief.sqrt()).max(0.0);
        let risen = surely / observed_weight_s(BRIEF_MEMORY, observed);
        let silence = now.since(last).saturating_sub(TOLD_EVERY).as_secs_f64();
        steady.max(risen).min(SILENT_REQUESTS / silence.max(f64::EPSILON))
    }

    /// Mean cost of its requests, in tokens.
    fn tokens_per_request(&self) -> f64 {
        if self.requests > 0.0 {
            self.tokens / self.requests
        } else {
            0.0
        }
    }

    /// The steadier of the two rates, but no more than the silence since the
    /// last request allows. `observed` is how long requests have been counted.
    fn lasting_per_second(&self, observed: Duration, now: Moment) -> f64 {
        let Some(last) = self.last_request else { return 0.0 };
        let memory_s = LASTING_MEMORY.as_secs_f64();
        let observed_s = observed.max(LEAST_OBSERVATION).as_secs_f64();
        let weight_s = memory_s * (1.0 - (-observed_s / memory_s).exp());
        let lasting = self.lasting * fade(LASTING_MEMORY, now.since(self.updated)) / weight_s;
        let silence_s = now.since(last).as_secs_f64().max(f64::EPSILON);
        lasting
            .max(self.requests_per_second(now))
            .min(SILENT_REQUESTS / silence_s)
    }

    /// The share that is late beyond doubt: less one standard deviation of the
    /// number of occasions, as a few may be chance.
    fn late_share(&self, now: Moment) -> f64 {
        let fade = self.fade(now);
        let late = self.late * fade;
        let occasions = (self.late_occasions * fade).max(1.0);
        let surely_late = late * (1.0 - 1.0 / occasions.sqrt());
        let requests = self.requests * fade + ASSUMED_IN_TIME;
        (surely_late / requests).clamp(LEAST_LATE_SHARE, MOST_LATE_SHARE)
    }

    fn objective(&self) -> Option<Duration> {
        (self.lasting > 0.0).then(|| Duration::from_secs_f64(self.objectives_s / self.lasting))
    }

    fn fade(&self, now: Moment) -> f64 {
        fade(RATE_MEMORY, now.since(self.updated))
    }

    fn fade_to(&mut self, now: Moment) {
        let short = self.fade(now);
        let long = fade(LASTING_MEMORY, now.since(self.updated));
        self.requests *= short;
        self.tokens *= short;
        self.brief *= fade(BRIEF_MEMORY, now.since(self.updated));
        self.late *= short;
        self.late_occasions *= short;
        self.lasting *= long;
        self.objectives_s *= long;
        self.updated = now;
    }
}

/// What is left of a quantity after `elapsed`.
fn fade(memory: Duration, elapsed: Duration) -> f64 {
    (-elapsed.as_secs_f64() / memory.as_secs_f64()).exp()
}

/// Seconds that a fading count stands for, of requests counted for `observed`.
fn observed_weight_s(memory: Duration, observed: Duration) -> f64 {
    let observed_s = observed.max(LEAST_SILENCE).as_secs_f64();
    let memory_s = memory.as_secs_f64();
    memory_s * (1.0 - (-observed_s / memory_s).exp())
}

/// Demand of all nodes together.
#[derive(Debug, Default)]
pub struct Demand {
    /// When the first request was counted.
    began: Option<Moment>,
    rates: HashMap<ModelKey, Rate>,
    /// Demand for all adapters of a model together.
    adapters_of: HashMap<ModelKey, Rate>,
    /// Demand for all models of a service together.
    services: HashMap<ServiceName, Rate>,
}

impl Demand {
    /// No demand yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts requests; for an adapter its model is counted too.
    pub fn count(&mut self, key: &ModelKey, asked: &Asked, now: Moment) {
        self.began.get_or_insert(now);
        if key.adapter.is_some() {
            self.count(&key.base(), asked, now);
            self.adapters_of.entry(key.base()).or_default().add(asked, now);
        } else if let Some(service) = self.services.get_mut(&key.service) {
            service.add(asked, now);
        } else {
            let mut service = Rate::default();
            service.add(asked, now);
            self.services.insert(key.service.clone(), service);
        }
        self.rates.entry(key.clone()).or_default().add(asked, now);
    }

    /// How long requests have been counted.
    pub fn observed(&self, now: Moment) -> Duration {
        self.began.map_or(Duration::ZERO, |began| now.since(began))
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

    /// Requests a second at present, of which a rise shows within a second.
    pub fn present_requests_per_second(&self, key: &ModelKey, now: Moment) -> f64 {
        let observed = self.observed(now);
        self.rates
            .get(key)
            .map_or(0.0, |rate| rate.present_per_second(observed, now))
    }

    /// Cost tokens a second at present, of which a rise shows within a second.
    pub fn present_tokens_per_second(&self, key: &ModelKey, now: Moment) -> f64 {
        let observed = self.observed(now);
        let rate = self.rates.get(key);
        rate.map_or(0.0, |rate| {
            rate.present_per_second(observed, now) * rate.tokens_per_request()
        })
    }

    /// Cost tokens a second of a service over the last seconds.
    pub fn service_tokens_per_second(&self, service: &ServiceName, now: Moment) -> f64 {
        let Some(rate) = self.services.get(service) else {
            return 0.0;
        };
        let observed = rate
            .first_request
            .map_or(Duration::ZERO, |first| now.since(first));
        rate.tokens * rate.fade(now) / observed_weight_s(RATE_MEMORY, observed)
    }

    /// Requests a second that are likely to go on.
    pub fn lasting_requests_per_second(&self, key: &ModelKey, now: Moment) -> f64 {
        let observed = self.observed(now);
        let seen = self.rates.get(key).filter(|rate| rate.last_request.is_some());
        match seen {
            Some(rate) => rate.lasting_per_second(observed, now),
            None => self.unseen_per_second(observed),
        }
    }

    /// Requests a second that are to be expected for a model that was not asked for yet;
    /// none while nothing at all was.
    fn unseen_per_second(&self, observed: Duration) -> f64 {
        match self.began {
            None => 0.0,
            Some(_) => UNSEEN_REQUESTS / observed.max(LEAST_SILENCE).as_secs_f64(),
        }
    }

    /// Share of the requests that its holders serve too late.
    pub fn late_share(&self, key: &ModelKey, now: Moment) -> f64 {
        self.rates
            .get(key)
            .map_or(LEAST_LATE_SHARE, |rate| rate.late_share(now))
    }

    /// Requests of the last seconds, and those of them that its holders served too late.
    pub fn requests_and_late(&self, key: &ModelKey, now: Moment) -> (f64, f64) {
        self.rates.get(key).map_or((0.0, 0.0), |rate| {
            let fade = rate.fade(now);
            (rate.requests * fade, (rate.late * fade).min(rate.requests * fade))
        })
    }

    /// When it was asked for last; `None` if never.
    pub fn last_request(&self, key: &ModelKey) -> Option<Moment> {
        self.rates.get(key).and_then(|rate| rate.last_request)
    }

    /// Mean objective of the requests; `None` if there were none.
    pub fn objective(&self, key: &ModelKey) -> Option<Duration> {
        self.rates.get(key).and_then(Rate::objective)
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
