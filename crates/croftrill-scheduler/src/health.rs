//! Health of replicas, derived from the outcomes of requests and compared with their peers.

use std::time::Duration;

use crate::time::Moment;

/// Outcome of sending a request to a replica, as far as it concerns the replica's health.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendOutcome {
    /// A complete response.
    Success,
    /// A failure of the replica, or a broken response.
    Failure,
    /// The replica was unreachable.
    Unreachable,
}

/// Time constant with which the weight of an outcome decays.
const MEMORY: Duration = Duration::from_secs(3);
/// Difference to the failure rate of its peers above which a replica counts as an outlier.
const OUTLIER_RATE: f64 = 0.3;
/// Weight of outcomes below which a failure rate is not meaningful.
const LEAST_EVIDENCE: f64 = 1.5;
/// Time for which an unreachable replica is skipped.
const UNREACHABLE_FOR: Duration = Duration::from_millis(1500);

/// Decaying record of a replica's outcomes.
#[derive(Debug, Clone, Default)]
pub struct ReplicaHealth {
    successes: f64,
    failures: f64,
    updated: Moment,
    unreachable_until: Option<Moment>,
}

impl ReplicaHealth {
    /// Records the outcome of a request.
    pub fn record(&mut self, outcome: SendOutcome, now: Moment) {
        self.decay(now);
        match outcome {
            SendOutcome::Success => {
                self.successes += 1.0;
                self.unreachable_until = None;
            }
            SendOutcome::Failure => self.failures += 1.0,
            SendOutcome::Unreachable => {
                self.failures += 1.0;
                self.unreachable_until = Some(now + UNREACHABLE_FOR);
            }
        }
    }

    /// Returns whether the replica was unreachable recently.
    pub fn is_unreachable(&self, now: Moment) -> bool {
        self.unreachable_until.is_some_and(|until| now < until)
    }

    /// Returns the share of failures among recent outcomes, or `None` if there are too few.
    pub fn failure_rate(&self, now: Moment) -> Option<f64> {
        let fade = fade(now.since(self.updated));
        let total = (self.successes + self.failures) * fade;
        if total < LEAST_EVIDENCE {
            return None;
        }
        Some(self.failures / (self.successes + self.failures))
    }

    /// Returns whether the replica fails far more often than `peer_rate`, the usual failure rate
    /// among its peers.
    pub fn is_outlier(&self, peer_rate: f64, now: Moment) -> bool {
        self.failure_rate(now)
            .is_some_and(|rate| rate > peer_rate + OUTLIER_RATE)
    }

    fn decay(&mut self, now: Moment) {
        let fade = fade(now.since(self.updated));
        self.successes *= fade;
        self.failures *= fade;
        self.updated = now;
    }
}

fn fade(elapsed: Duration) -> f64 {
    (-elapsed.as_secs_f64() / MEMORY.as_secs_f64()).exp()
}
