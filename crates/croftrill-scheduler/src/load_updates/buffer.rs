//! Load samples that wait to be forwarded.

use std::collections::HashMap;

use super::{LoadKey, LoadSample, MAX_SAMPLED_REPLICAS, MAX_SAMPLE_AGE};
use crate::time::Moment;

/// Outcome of recording a load sample.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SampleOutcome {
    /// The sample is the newest of its replica and was stored.
    Stored,
    /// The sample is too old, or not newer than the known one.
    Outdated,
    /// Samples of too many replicas are stored already.
    Dropped,
}

/// The newest load sample of each replica since the buffer was last drained.
#[derive(Debug, Default)]
pub struct LoadBuffer(HashMap<LoadKey, LoadSample>);

impl LoadBuffer {
    /// Records a sample.
    pub fn record(&mut self, sample: LoadSample, now: Moment) -> SampleOutcome {
        if now.since(sample.at) >= MAX_SAMPLE_AGE {
            return SampleOutcome::Outdated;
        }
        let is_full = self.0.len() >= MAX_SAMPLED_REPLICAS;
        match self.0.get_mut(&sample.key) {
            Some(known) if known.at >= sample.at => SampleOutcome::Outdated,
            Some(known) => {
                *known = sample;
                SampleOutcome::Stored
            }
            None if is_full => SampleOutcome::Dropped,
            None => {
                self.0.insert(sample.key, sample);
                SampleOutcome::Stored
            }
        }
    }

    /// Removes all samples and returns those that are recent enough to be forwarded.
    pub fn take(&mut self, now: Moment) -> Vec<LoadSample> {
        let samples = self.0.drain().map(|(_, sample)| sample);
        samples
            .filter(|sample| now.since(sample.at) < MAX_SAMPLE_AGE)
            .collect()
    }

    /// Returns the number of stored samples.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether no sample is stored.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
