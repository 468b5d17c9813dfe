//! Learned load times by checkpoint source.
//!
//! What is learned fades back to the configured expectation, so that a slow
//! spell of the weight store does not stop loads for good.

use super::CheckpointLocality;
use crate::time::Instant;
use std::collections::BTreeMap;

/// What is expected before anything was learned.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadTimeConfig {
    /// Fixed part of every load, in milliseconds.
    pub fixed_millis: u64,
    /// Speed from the machine's memory, in MiB a second.
    pub memory_mib_per_second: u64,
    /// Speed from the machine's disk, in MiB a second.
    pub disk_mib_per_second: u64,
    /// Speed from the weight store, in MiB a second.
    pub remote_mib_per_second: u64,
    /// Weight of a new observation, in thousandths.
    pub gain_thousandths: u32,
    /// Time after which an observation counts half, in milliseconds.
    pub half_life_millis: u64,
}

impl Default for LoadTimeConfig {
    fn default() -> Self {
        Self {
            fixed_millis: 50,
            memory_mib_per_second: 20_000,
            disk_mib_per_second: 5_000,
            remote_mib_per_second: 2_000,
            gain_thousandths: 500,
            half_life_millis: 30_000,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Learned {
    /// Observed time relative to the expected time.
    factor: f64,
    at: Instant,
}

/// Estimates load times.
#[derive(Clone, Debug)]
pub struct LoadTimeEstimator {
    config: LoadTimeConfig,
    learned: BTreeMap<CheckpointLocality, Learned>,
}

impl LoadTimeEstimator {
    /// An estimator that has learned nothing.
    pub fn new(config: LoadTimeConfig) -> Self {
        Self {
            config,
            learned: BTreeMap::new(),
        }
    }

    /// Estimated time of a load of so many MiB, in milliseconds.
    pub fn estimate(&self, source: CheckpointLocality, mib: u64, now: Instant) -> u64 {
        let expected = self.expected(source, mib);
        (expected * self.factor(source, now)).round() as u64
    }

    /// Learns from a load that ended.
    pub fn observe(&mut self, source: CheckpointLocality, mib: u64, millis: u64, now: Instant) {
        let ratio = millis as f64 / self.expected(source, mib).max(1.0);
        let gain = f64::from(self.config.gain_thousandths) / 1000.0;
        let before = self.factor(source, now);
        let factor = before + gain * (ratio - before);
        self.learned.insert(source, Learned { factor, at: now });
    }

    fn factor(&self, source: CheckpointLocality, now: Instant) -> f64 {
        let Some(learned) = self.learned.get(&source) else {
            return 1.0;
        };
        let half_lives = now.millis_since(learned.at) as f64 / self.config.half_life_millis.max(1) as f64;
        1.0 + (learned.factor - 1.0) * 0.5f64.powf(half_lives)
    }

    fn expected(&self, source: CheckpointLocality, mib: u64) -> f64 {
        let speed = match source {
            CheckpointLocality::Memory => self.config.memory_mib_per_second,
            CheckpointLocality::Disk => self.config.disk_mib_per_second,
            CheckpointLocality::Remote => self.config.remote_mib_per_second,
        };
        self.config.fixed_millis as f64 + mib as f64 * 1000.0 / speed.max(1) as f64
    }
}
