//! Health of replicas as their answers show it, judged against their peers.

use std::time::Duration;

use crate::time::Moment;

/// How one send to a replica ended, as far as its health goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendOutcome {
    /// A whole answer.
    Success,
    /// A failure of the replica's own, or a broken answer.
    Failure,
    /// It could not be reached.
    Unreachable,
}

/// Weight that a past outcome keeps after `MEMORY`.
const MEMORY: Duration = Duration::from_secs(3);
/// Failures in a row, by weight, at which a replica counts as an outlier.
const OUTLIER_RATE: f64 = 0.3;
/// Outcomes, by weight, before a rate means anything.
const LEAST_EVIDENCE: f64 = 1.5;
/// How long an unreachable replica is passed over.
const UNREACHABLE_FOR: Duration = Duration::from_millis(1500);

/// Decaying record of one replica's outcomes.
#[derive(Debug, Clone, Default)]
pub struct ReplicaHealth {
    successes: f64,
    failures: f64,
    updated: Moment,
    unreachable_until: Option<Moment>,
}

impl ReplicaHealth {
    /// Counts the outcome of a send.
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

    /// True while the replica could recently not be reached.
    pub fn is_unreachable(&self, now: Moment) -> bool {
        self.unreachable_until.is_some_and(|until| now < until)
    }

    /// Share of failures among recent outcomes; `None` without enough of them.
    pub fn failure_rate(&self, now: Moment) -> Option<f64> {
        let fade = fade(now.since(self.updated));
        let total = (self.successes + self.failures) * fade;
        if total < LEAST_EVIDENCE {
            return None;
        }
        Some(self.failures / (self.successes + self.failures))
    }

    /// True if the replica fails far more often than `peer_rate`, the usual
    /// share of failures among its peers.
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
