//! Service times learned from work that ended.
//!
//! What is learned fades with time, so that a slow spell cannot make the queue
//! refuse everything and thereby never learn better.

use crate::time::Instant;

/// How service times are learned.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceTimeConfig {
    /// Weight of a new observation, in thousandths.
    pub gain_thousandths: u32,
    /// Time after which what was learned counts half, in milliseconds.
    pub half_life_millis: u64,
}

impl Default for ServiceTimeConfig {
    fn default() -> Self {
        Self {
            gain_thousandths: 200,
            half_life_millis: 30_000,
        }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Learned {
    value: Option<f64>,
    at: Instant,
}

impl Learned {
    fn value(&self, half_life_millis: u64, now: Instant) -> f64 {
        let half_lives = now.millis_since(self.at) as f64 / half_life_millis.max(1) as f64;
        self.value.unwrap_or(0.0) * 0.5f64.powf(half_lives)
    }

    fn observe(&mut self, value: f64, gain: f64, now: Instant) {
        let next = match self.value {
            None => value,
            Some(before) => before + gain * (value - before),
        };
        *self = Learned {
            value: Some(next),
            at: now,
        };
    }
}

/// Learned service times of one engine.
#[derive(Clone, Debug)]
pub(super) struct ServiceTimes {
    config: ServiceTimeConfig,
    millis_per_unit: Learned,
    first_token_millis: Learned,
}

impl ServiceTimes {
    pub(super) fn new(config: ServiceTimeConfig) -> Self {
        Self {
            config,
            millis_per_unit: Learned::default(),
            first_token_millis: Learned::default(),
        }
    }

    /// Time from dispatch to the end of work that is charged so many units.
    pub(super) fn run_millis(&self, units: u64, now: Instant) -> f64 {
        self.millis_per_unit.value(self.config.half_life_millis, now) * units as f64
    }

    /// Time from dispatch to the first token.
    pub(super) fn first_token_millis(&self, now: Instant) -> u64 {
        self.first_token_millis
            .value(self.config.half_life_millis, now)
            .round() as u64
    }

    pub(super) fn observe_run(&mut self, units: u64, millis: u64, now: Instant) {
        let gain = self.gain();
        self.millis_per_unit
            .observe(millis as f64 / units.max(1) as f64, gain, now);
    }

    pub(super) fn observe_first_token(&mut self, millis: u64, now: Instant) {
        let gain = self.gain();
        self.first_token_millis.observe(millis as f64, gain, now);
    }

    fn gain(&self) -> f64 {
        f64::from(self.config.gain_thousandths) / 1000.0
    }
}
