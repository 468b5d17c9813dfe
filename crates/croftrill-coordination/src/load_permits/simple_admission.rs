//! Admission by the weight store's stated limits, the most urgent load first.

use super::{rate_of, LoadAdmission};
use croftrill_platform::weight_store::WeightStoreLimits;
use croftrill_protocol::peer::{LoadPermit, LoadPermitRequest, LoadReport};
use croftrill_state::{EngineId, Instant, ModelId};
use std::collections::BTreeMap;

/// Limits and expectations.
#[derive(Clone, Debug)]
pub struct SimpleAdmissionConfig {
    /// Loads that may start a second, in thousandths.
    pub loads_per_second_thousandths: u64,
    /// Loads that may run at once.
    pub concurrent_loads: u32,
    /// Expected speed of one load, in MiB a second.
    pub mib_per_second: u64,
    /// A load whose end was never reported is forgotten after this time, in
    /// milliseconds.
    pub forget_running_millis: u64,
    /// A waiting load that was not asked for again is forgotten after this
    /// time, in milliseconds.
    pub forget_waiting_millis: u64,
    /// Shortest and longest time to come back, in milliseconds.
    pub retry_millis: (u64, u64),
}

impl Default for SimpleAdmissionConfig {
    fn default() -> Self {
        Self {
            loads_per_second_thousandths: 3_000,
            concurrent_loads: 6,
            mib_per_second: 1_000,
            forget_running_millis: 600_000,
            forget_waiting_millis: 3_000,
            retry_millis: (50, 1_000),
        }
    }
}

/// One engine's load of one model.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct LoadKey {
    engine: EngineId,
    model: ModelId,
}

struct Waiting {
    deadline: Instant,
    last_asked: Instant,
}

/// Admission by rate and concurrency.
pub struct SimpleAdmission {
    config: SimpleAdmissionConfig,
    running: BTreeMap<LoadKey, Instant>,
    waiting: BTreeMap<LoadKey, Waiting>,
    next_start: Instant,
}

impl SimpleAdmission {
    /// Nothing runs.
    pub fn new(config: SimpleAdmissionConfig) -> Self {
        Self {
            config,
            running: BTreeMap::new(),
            waiting: BTreeMap::new(),
            next_start: Instant(0),
        }
    }

    fn forget_old(&mut self, now: Instant) {
        let config = &self.config;
        self.running
            .retain(|_, started| now.millis_since(*started) < config.forget_running_millis);
        self.waiting
            .retain(|_, waiting| now.millis_since(waiting.last_asked) < config.forget_waiting_millis);
    }

    fn expected_millis(&self, request: &LoadPermitRequest) -> u64 {
        request.remote_mib.saturating_mul(1_000) / self.config.mib_per_second.max(1)
    }

    fn between_starts(&self) -> u64 {
        1_000_000 / self.config.loads_per_second_thousandths.max(1)
    }

    fn start(&mut self, now: Instant, key: LoadKey) {
        self.waiting.remove(&key);
        self.running.insert(key, now);
        self.next_start = self.next_start.max(now) + self.between_starts();
    }

    /// Other waiting loads with an earlier deadline.
    fn more_urgent(&self, key: &LoadKey, deadline: Instant) -> usize {
        let mine = (deadline, key);
        self.waiting
            .iter()
            .filter(|(other, waiting)| *other != key && (waiting.deadline, *other) < mine)
            .count()
    }

    fn wait(
        &mut self,
        now: Instant,
        key: LoadKey,
        deadline: Instant,
        ahead: usize,
        alone: u64,
    ) -> LoadPermit {
        let last_asked = now;
        self.waiting.insert(key, Waiting { deadline, last_asked });
        let slots = u64::from(self.config.concurrent_loads.max(1));
        let by_rate = self.next_start.millis_since(now) + self.between_starts() * ahead as u64;
        let by_slots = alone * (ahead as u64 / slots);
        let (shortest, longest) = self.config.retry_millis;
        LoadPermit::Wait {
            retry_after_millis: by_rate.clamp(shortest, longest),
            expected_millis: by_rate.max(by_slots) + alone,
        }
    }
}

impl LoadAdmission for SimpleAdmission {
    fn request(&mut self, now: Instant, request: &LoadPermitRequest) -> LoadPermit {
        self.forget_old(now);
        let key = LoadKey {
            engine: request.engine.clone(),
            model: request.model.clone(),
        };
        let expected_millis = self.expected_millis(request);
        if request.remote_mib == 0 || self.running.contains_key(&key) {
            return LoadPermit::Granted { expected_millis };
        }
        let deadline = now + request.deadline_millis;
        let ahead = self.more_urgent(&key, deadline);
        let free = (self.config.concurrent_loads as usize).saturating_sub(self.running.len());
        if ahead < free && now >= self.next_start {
            self.start(now, key);
            return LoadPermit::Granted { expected_millis };
        }
        self.wait(now, key, deadline, ahead, expected_millis)
    }

    fn finish(&mut self, _now: Instant, report: &LoadReport) {
        let key = LoadKey {
            engine: report.engine.clone(),
            model: report.model.clone(),
        };
        self.running.remove(&key);
    }

    fn take_over(&mut self, _now: Instant) {
        self.running.clear();
        self.waiting.clear();
    }

    fn set_limits(&mut self, _now: Instant, limits: &WeightStoreLimits) {
        self.config.loads_per_second_thousandths = rate_of(limits);
        self.config.concurrent_loads = limits.concurrent_loads;
    }
}
