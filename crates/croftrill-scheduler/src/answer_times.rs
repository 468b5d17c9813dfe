//! How long a service's replicas usually take until their answers begin.

use std::time::Duration;

/// Weight of a new answer in the mean.
const MEAN_GAIN: f64 = 0.125;
/// Weight of a new answer in the mean deviation.
const DEVIATION_GAIN: f64 = 0.25;
/// Deviations from the mean within which nearly all answers begin.
const USUAL_DEVIATIONS: f64 = 4.0;

/// A running estimate by the method of RFC 6298.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct AnswerTimes {
    estimate: Option<Estimate>,
}

#[derive(Debug, Clone, Copy, PartialEq)]
struct Estimate {
    mean_s: f64,
    deviation_s: f64,
}

impl AnswerTimes {
    /// Records the time from a send until the answer began.
    pub fn record(&mut self, time: Duration) {
        let time_s = time.as_secs_f64();
        let estimate = self.estimate.get_or_insert(Estimate {
            mean_s: time_s,
            deviation_s: time_s / 2.0,
        });
        let error_s = time_s - estimate.mean_s;
        estimate.deviation_s += DEVIATION_GAIN * (error_s.abs() - estimate.deviation_s);
        estimate.mean_s += MEAN_GAIN * error_s;
    }

    /// Returns a time within which nearly all answers begin; `None` before the first one.
    pub fn usual(&self) -> Option<Duration> {
        let estimate = self.estimate?;
        let usual_s = estimate.mean_s + USUAL_DEVIATIONS * estimate.deviation_s;
        Some(Duration::from_secs_f64(usual_s))
    }
}
