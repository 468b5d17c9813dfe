//! A learned estimate of the weight store's present speed.
//!
//! A load takes a fixed time, which the engine needs whatever the size, and the
//! time of the transfer, which is learned.
//!
//! Reports move a weighted average of the time for one MiB. A report counts at
//! most `LARGEST_STEP` times the present estimate, so that one stray report
//! does little, while a true slowdown is learned within a few loads. Loads that
//! run longer than expected show a slowdown before any report comes in.

/// A report moves the estimate at most by this factor either way.
const LARGEST_STEP: f64 = 4.0;
/// Weight of a report that is slower than the estimate.
const SLOWER_WEIGHT: f64 = 0.5;
/// Weight of a report that is faster than the estimate. Lower, since being too
/// hopeful costs a deadline and being too careful only a refusal.
const FASTER_WEIGHT: f64 = 0.3;

/// How long a load has run without a report.
#[derive(Clone, Copy, Debug)]
pub(super) struct RunningEvidence {
    /// Size of the load, in MiB; not 0.
    pub remote_mib: u64,
    /// Time since its start, in milliseconds.
    pub elapsed_millis: u64,
    /// Whether another load ended well since its start, which shows that the
    /// store is not what holds it up.
    pub overtaken: bool,
}

/// The estimate.
#[derive(Clone, Debug)]
pub(super) struct StoreSpeed {
    fixed_millis: u64,
    millis_per_mib: f64,
}

impl StoreSpeed {
    /// An estimate before any report.
    pub(super) fn new(mib_per_second: u64, fixed_millis: u64) -> Self {
        Self {
            fixed_millis,
            millis_per_mib: 1000.0 / mib_per_second.max(1) as f64,
        }
    }

    /// Learns from a load that ended well.
    pub(super) fn observe(&mut self, remote_mib: u64, duration_millis: u64) {
        let lowest = self.millis_per_mib / LARGEST_STEP;
        let highest = self.millis_per_mib * LARGEST_STEP;
        let sample = self
            .transfer_millis_per_mib(remote_mib, duration_millis)
            .clamp(lowest, highest);
        let weight = if sample > self.millis_per_mib {
            SLOWER_WEIGHT
        } else {
            FASTER_WEIGHT
        };
        self.millis_per_mib += weight * (sample - self.millis_per_mib);
    }

    /// Expected duration of a load, in milliseconds, given what runs now.
    pub(super) fn expected_millis(&self, remote_mib: u64, running: &[RunningEvidence]) -> u64 {
        let millis_per_mib = self.millis_per_mib.max(self.proved_by(running));
        self.fixed_millis + (millis_per_mib * remote_mib as f64).ceil() as u64
    }

    fn transfer_millis_per_mib(&self, remote_mib: u64, duration_millis: u64) -> f64 {
        duration_millis.saturating_sub(self.fixed_millis) as f64 / remote_mib as f64
    }

    /// The time for one MiB that running loads prove. Two of them must agree,
    /// since one may be stuck for a reason of its own. A single one counts, but
    /// at most `LARGEST_STEP` times the estimate, if it is alone or was not
    /// overtaken: loads that only just started say nothing against it.
    fn proved_by(&self, running: &[RunningEvidence]) -> f64 {
        let mut slowest = 0.0_f64;
        let mut second_slowest = 0.0_f64;
        let mut single = 0.0_f64;
        for load in running {
            let millis_per_mib = self.transfer_millis_per_mib(load.remote_mib, load.elapsed_millis);
            second_slowest = second_slowest.max(millis_per_mib.min(slowest));
            slowest = slowest.max(millis_per_mib);
            if running.len() == 1 || !load.overtaken {
                single = single.max(millis_per_mib);
            }
        }
        second_slowest.max(single.min(self.millis_per_mib * LARGEST_STEP))
    }
}
