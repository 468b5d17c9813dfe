//! Demand for models and adapters, as exponentially decaying request rates.

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
    /// The adapter; `None` means the model, with or without adapters.
    pub adapter: Option<AdapterName>,
}

impl ModelKey {
    /// Returns the key of the model without an adapter.
    pub fn base(&self) -> ModelKey {
        ModelKey {
            adapter: None,
            ..self.clone()
        }
    }
}

/// Demand that is counted in one step.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DemandSample {
    /// Number of requests.
    pub requests: f64,
    /// Their cost, in tokens.
    pub tokens: f64,
    /// Mean time for which their callers wait.
    pub caller_time: Duration,
    /// Requests that holders served too late, out of these or earlier ones.
    pub late: f64,
}

/// Time constant of the rate that follows changes of demand.
const RATE_TIME_CONSTANT: Duration = Duration::from_secs(6);
/// Time constant of the rate that detects a sudden rise.
const BURST_TIME_CONSTANT: Duration = Duration::from_secs(1);
/// Standard deviations of the burst count that are attributed to chance.
const NOISE_DEVIATIONS: f64 = 2.0;
/// Time constant of the rate that smooths rare demand.
const SUSTAINED_TIME_CONSTANT: Duration = Duration::from_secs(20);
/// Minimum time over which the sustained rate is averaged.
const MIN_OBSERVATION: Duration = Duration::from_secs(3);
/// Requests assumed for a model that was never requested: the absence of requests over a
/// time only bounds a Poisson rate to about this number in that time.
const UNSEEN_REQUESTS: f64 = 0.5;
/// Minimum time over which requests are averaged, and over which the absence of requests
/// for a model counts.
const MIN_SILENCE: Duration = Duration::from_secs(1);
/// Maximum number of requests that may be overdue at an estimated rate: a longer time without
/// a request shows that demand has fallen.
const MAX_OVERDUE_REQUESTS: f64 = 2.0;
/// Maximum interval between two demand reports of ongoing requests: silence of this length
/// carries no information.
const MAX_REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Late requests closer together than this count as one occasion: one long prompt delays
/// every stream at its replica, however many holders there are.
const LATE_OCCASION_GAP: Duration = Duration::from_millis(500);
/// Requests served in time that are assumed besides the counted ones, so that a single late
/// request has little effect.
const PRIOR_REQUESTS_IN_TIME: f64 = 4.0;
/// Minimum share of late requests: one in a thousand is always possible.
const MIN_LATE_SHARE: f64 = 0.001;
/// Maximum share of late requests: they can be counted before the requests that they belong
/// to, so that the share could exceed one.
const MAX_LATE_SHARE: f64 = 0.95;
/// Time after which a mark of waiting requests expires unless it is renewed.
const WAITING_EXPIRY: Duration = Duration::from_millis(4000);

/// Demand for one model or adapter.
#[derive(Debug, Clone, Copy, Default)]
struct Rate {
    requests: f64,
    tokens: f64,
    /// Requests, decaying with [`BURST_TIME_CONSTANT`].
    burst_requests: f64,
    late: f64,
    /// Occasions on which requests were late.
    late_occasions: f64,
    last_late_occasion: Option<Moment>,
    /// Requests, decaying with [`SUSTAINED_TIME_CONSTANT`].
    sustained_requests: f64,
    /// Sum of the callers' times of the requests in `sustained_requests`, in seconds.
    caller_times_s: f64,
    updated: Moment,
    first_request: Option<Moment>,
    last_request: Option<Moment>,
    waiting_until: Option<Moment>,
    waiting_since: Option<Moment>,
}

impl Rate {
    fn add(&mut self, sample: &DemandSample, now: Moment) {
        self.decay_to(now);
        self.requests += sample.requests;
        self.tokens += sample.tokens;
        self.burst_requests += sample.requests;
        self.late += sample.late;
        if sample.late > 0.0 {
            self.count_late_occasion(now);
        }
        self.sustained_requests += sample.requests;
        self.caller_times_s += sample.requests * sample.caller_time.as_secs_f64();
        if sample.requests > 0.0 {
            self.first_request.get_or_insert(now);
            self.last_request = Some(now);
        }
    }

    fn count_late_occasion(&mut self, now: Moment) {
        let last = self.last_late_occasion;
        if last.is_none_or(|last| now.since(last) >= LATE_OCCASION_GAP) {
            self.late_occasions += 1.0;
            self.last_late_occasion = Some(now);
        }
    }

    fn requests_per_second(&self, now: Moment) -> f64 {
        self.requests * self.decay(now) / RATE_TIME_CONSTANT.as_secs_f64()
    }

    fn tokens_per_second(&self, now: Moment) -> f64 {
        self.tokens * self.decay(now) / RATE_TIME_CONSTANT.as_secs_f64()
    }

    /// Returns the present requests per second. A rise shows as soon as it is statistically
    /// significant; the time without a request bounds the rate from above. `observed` is how
    /// long requests have been counted.
    fn present_per_second(&self, observed: Duration, now: Moment) -> f64 {
        let Some(last) = self.last_request else { return 0.0 };
        let steady = self.requests * self.decay(now) / rate_divisor_s(RATE_TIME_CONSTANT, observed);
        let burst_requests = self.burst_requests * decay(BURST_TIME_CONSTANT, now.since(self.updated));
        let significant = (burst_requests - NOISE_DEVIATIONS * burst_requests.sqrt()).max(0.0);
        let rise = significant / rate_divisor_s(BURST_TIME_CONSTANT, observed);
        let silence_s = now.since(last).saturating_sub(MAX_REPORT_INTERVAL).as_secs_f64();
        steady
            .max(rise)
            .min(MAX_OVERDUE_REQUESTS / silence_s.max(f64::EPSILON))
    }

    /// Returns the mean cost of a request in tokens.
    fn tokens_per_request(&self) -> f64 {
        if self.requests > 0.0 {
            self.tokens / self.requests
        } else {
            0.0
        }
    }

    /// Returns the larger of the sustained and the usual rate, bounded from above by the
    /// time without a request. `observed` is how long requests have been counted.
    fn sustained_per_second(&self, observed: Duration, now: Moment) -> f64 {
        let Some(last) = self.last_request else { return 0.0 };
        let time_constant_s = SUSTAINED_TIME_CONSTANT.as_secs_f64();
        let observed_s = observed.max(MIN_OBSERVATION).as_secs_f64();
        let divisor_s = time_constant_s * (1.0 - (-observed_s / time_constant_s).exp());
        let sustained_rate =
            self.sustained_requests * decay(SUSTAINED_TIME_CONSTANT, now.since(self.updated)) / divisor_s;
        let silence_s = now.since(last).as_secs_f64().max(f64::EPSILON);
        sustained_rate
            .max(self.requests_per_second(now))
            .min(MAX_OVERDUE_REQUESTS / silence_s)
    }

    /// Returns the share of late requests, lowered by one standard deviation of the number of
    /// occasions, since a few occasions may be chance.
    fn late_share(&self, now: Moment) -> f64 {
        let decay = self.decay(now);
        let late = self.late * decay;
        let occasions = (self.late_occasions * decay).max(1.0);
        let significant_late = late * (1.0 - 1.0 / occasions.sqrt());
        let requests = self.requests * decay + PRIOR_REQUESTS_IN_TIME;
        (significant_late / requests).clamp(MIN_LATE_SHARE, MAX_LATE_SHARE)
    }

    fn caller_time(&self) -> Option<Duration> {
        (self.sustained_requests > 0.0)
            .then(|| Duration::from_secs_f64(self.caller_times_s / self.sustained_requests))
    }

    fn decay(&self, now: Moment) -> f64 {
        decay(RATE_TIME_CONSTANT, now.since(self.updated))
    }

    fn decay_to(&mut self, now: Moment) {
        let short = self.decay(now);
        let long = decay(SUSTAINED_TIME_CONSTANT, now.since(self.updated));
        self.requests *= short;
        self.tokens *= short;
        self.burst_requests *= decay(BURST_TIME_CONSTANT, now.since(self.updated));
        self.late *= short;
        self.late_occasions *= short;
        self.sustained_requests *= long;
        self.caller_times_s *= long;
        self.updated = now;
    }
}

/// Returns the fraction of a quantity that is left after `elapsed`.
fn decay(time_constant: Duration, elapsed: Duration) -> f64 {
    (-elapsed.as_secs_f64() / time_constant.as_secs_f64()).exp()
}

/// Returns the seconds by which a decaying count must be divided to give a rate, if requests
/// have been counted for `observed`.
fn rate_divisor_s(time_constant: Duration, observed: Duration) -> f64 {
    let observed_s = observed.max(MIN_SILENCE).as_secs_f64();
    let time_constant_s = time_constant.as_secs_f64();
    time_constant_s * (1.0 - (-observed_s / time_constant_s).exp())
}

/// Demand reported by all nodes.
#[derive(Debug, Default)]
pub struct Demand {
    /// When the first request was counted.
    started: Option<Moment>,
    rates: HashMap<ModelKey, Rate>,
    /// Total demand for the adapters of each model.
    adapters_of: HashMap<ModelKey, Rate>,
    /// Total demand for the models of each service.
    services: HashMap<ServiceName, Rate>,
}

impl Demand {
    /// Creates an empty record of demand.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts requests. Requests for an adapter count for its model too.
    pub fn count(&mut self, key: &ModelKey, sample: &DemandSample, now: Moment) {
        self.started.get_or_insert(now);
        if key.adapter.is_some() {
            self.count(&key.base(), sample, now);
            self.adapters_of.entry(key.base()).or_default().add(sample, now);
        } else if let Some(service) = self.services.get_mut(&key.service) {
            service.add(sample, now);
        } else {
            let mut service = Rate::default();
            service.add(sample, now);
            self.services.insert(key.service.clone(), service);
        }
        self.rates.entry(key.clone()).or_default().add(sample, now);
    }

    /// Returns how long requests have been counted.
    pub fn observed(&self, now: Moment) -> Duration {
        self.started.map_or(Duration::ZERO, |started| now.since(started))
    }

    /// Records that requests are waiting for this model or adapter to be loaded.
    pub fn mark_waiting(&mut self, key: &ModelKey, now: Moment) {
        let rate = self.rates.entry(key.clone()).or_default();
        let over = rate.waiting_until.is_none_or(|until| until < now);
        if over {
            rate.waiting_since = Some(now);
        }
        rate.waiting_until = Some(now + WAITING_EXPIRY);
    }

    /// Records that the model or adapter has been loaded.
    pub fn clear_waiting(&mut self, key: &ModelKey) {
        if let Some(rate) = self.rates.get_mut(key) {
            rate.waiting_until = None;
        }
    }

    /// Returns the models and adapters that requests are waiting for, the longest wait first.
    pub fn awaited_models(&self, now: Moment) -> Vec<ModelKey> {
        let mut waiting: Vec<(Moment, &ModelKey)> = self
            .rates
            .iter()
            .filter(|(_, rate)| rate.waiting_until.is_some_and(|until| now <= until))
            .map(|(key, rate)| (rate.waiting_since.unwrap_or(now), key))
            .collect();
        waiting.sort();
        waiting.into_iter().map(|(_, key)| key.clone()).collect()
    }

    /// Returns how long requests have been waiting for the model or adapter.
    pub fn wait_time(&self, key: &ModelKey, now: Moment) -> Duration {
        let since = self.rates.get(key).and_then(|rate| rate.waiting_since);
        since.map_or(Duration::ZERO, |since| now.since(since))
    }

    /// Returns the requests per second for a model or adapter.
    pub fn requests_per_second(&self, key: &ModelKey, now: Moment) -> f64 {
        self.rates
            .get(key)
            .map_or(0.0, |rate| rate.requests_per_second(now))
    }

    /// Returns the present requests per second, which show a rise within a second.
    pub fn present_requests_per_second(&self, key: &ModelKey, now: Moment) -> f64 {
        let observed = self.observed(now);
        self.rates
            .get(key)
            .map_or(0.0, |rate| rate.present_per_second(observed, now))
    }

    /// Returns the present cost in tokens per second, which shows a rise within a second.
    pub fn present_tokens_per_second(&self, key: &ModelKey, now: Moment) -> f64 {
        let observed = self.observed(now);
        let rate = self.rates.get(key);
        rate.map_or(0.0, |rate| {
            rate.present_per_second(observed, now) * rate.tokens_per_request()
        })
    }

    /// Returns the recent cost of a service's requests in tokens per second.
    pub fn service_tokens_per_second(&self, service: &ServiceName, now: Moment) -> f64 {
        let Some(rate) = self.services.get(service) else {
            return 0.0;
        };
        let observed = rate
            .first_request
            .map_or(Duration::ZERO, |first| now.since(first));
        rate.tokens * rate.decay(now) / rate_divisor_s(RATE_TIME_CONSTANT, observed)
    }

    /// Returns the requests per second that are likely to continue.
    pub fn sustained_requests_per_second(&self, key: &ModelKey, now: Moment) -> f64 {
        let observed = self.observed(now);
        let seen = self.rates.get(key).filter(|rate| rate.last_request.is_some());
        match seen {
            Some(rate) => rate.sustained_per_second(observed, now),
            None => self.unseen_per_second(observed),
        }
    }

    /// Returns the expected requests per second for a model that was never requested; zero
    /// while no model was requested at all.
    fn unseen_per_second(&self, observed: Duration) -> f64 {
        match self.started {
            None => 0.0,
            Some(_) => UNSEEN_REQUESTS / observed.max(MIN_SILENCE).as_secs_f64(),
        }
    }

    /// Returns the share of the requests that the holders serve too late.
    pub fn late_share(&self, key: &ModelKey, now: Moment) -> f64 {
        self.rates
            .get(key)
            .map_or(MIN_LATE_SHARE, |rate| rate.late_share(now))
    }

    /// Returns the recent requests, and how many of them the holders served too late.
    pub fn requests_and_late(&self, key: &ModelKey, now: Moment) -> (f64, f64) {
        self.rates.get(key).map_or((0.0, 0.0), |rate| {
            let decay = rate.decay(now);
            (
                rate.requests * decay,
                (rate.late * decay).min(rate.requests * decay),
            )
        })
    }

    /// Returns the time of the last request, if there was one.
    pub fn last_request(&self, key: &ModelKey) -> Option<Moment> {
        self.rates.get(key).and_then(|rate| rate.last_request)
    }

    /// Returns the mean time for which the callers of the requests wait, if there were any.
    pub fn caller_time(&self, key: &ModelKey) -> Option<Duration> {
        self.rates.get(key).and_then(Rate::caller_time)
    }

    /// Returns the requests per second for all adapters of a model.
    pub fn adapter_requests_per_second(&self, model: &ModelKey, now: Moment) -> f64 {
        self.adapters_of
            .get(model)
            .map_or(0.0, |rate| rate.requests_per_second(now))
    }

    /// Returns the cost of the requests for a model or adapter in tokens per second.
    pub fn tokens_per_second(&self, key: &ModelKey, now: Moment) -> f64 {
        self.rates
            .get(key)
            .map_or(0.0, |rate| rate.tokens_per_second(now))
    }
}
