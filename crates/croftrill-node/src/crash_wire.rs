//! The wire format of reports about requests that crash replicas.

use croftrill_scheduler::crash_ledger::{CrashReport, EndedReplica, Fingerprint, Suspicion};
use nanoserde::{DeBin, SerBin};

use crate::wire::WireList;

/// The evidence against one request.
#[derive(Debug, Clone, PartialEq, Eq, SerBin, DeBin)]
pub struct WireSuspicion {
    /// Upper and lower half of the request's fingerprint.
    fingerprint: [u64; 2],
    /// Replicas that ended when the request had just started there.
    ended: WireList<u64>,
    /// Those of them of which the request was cleared.
    cleared: WireList<u64>,
}

/// A node's report.
#[derive(Debug, Clone, PartialEq, Eq, SerBin, DeBin)]
pub struct WireCrashReport {
    suspicions: WireList<WireSuspicion>,
}

impl WireCrashReport {
    /// Converts a report to its wire format.
    pub fn from_report(report: &CrashReport) -> Self {
        let suspicions = report.iter().map(|(fingerprint, suspicion)| WireSuspicion {
            fingerprint: [(fingerprint.0 >> 64) as u64, fingerprint.0 as u64],
            ended: suspicion.ended.iter().map(|replica| replica.0).collect(),
            cleared: suspicion.cleared.iter().map(|replica| replica.0).collect(),
        });
        WireCrashReport {
            suspicions: suspicions.collect(),
        }
    }

    /// Converts the wire format back to a report.
    pub fn into_report(self) -> CrashReport {
        let suspicions = self.suspicions.into_iter().map(|wire| {
            let [upper, lower] = wire.fingerprint;
            let suspicion = Suspicion {
                ended: wire.ended.into_iter().map(EndedReplica).collect(),
                cleared: wire.cleared.into_iter().map(EndedReplica).collect(),
            };
            (
                Fingerprint(u128::from(upper) << 64 | u128::from(lower)),
                suspicion,
            )
        });
        suspicions.collect()
    }
}
