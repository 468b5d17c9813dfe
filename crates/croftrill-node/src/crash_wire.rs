//! The wire format of reports about requests, and parts of prompts, that crash replicas.
//!
//! The two are reported apart, as earlier builds take whatever is in a report for requests.

use std::collections::BTreeSet;
use std::time::Duration;

use croftrill_scheduler::crash_ledger::{
    CrashReport, EndedReplica, Fingerprint, PartHash, SuspectId, Suspicion,
};
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
    /// Converts the requests of a report to their wire format.
    pub fn from_report(report: &CrashReport) -> Self {
        let suspicions = report.iter().filter_map(|(id, suspicion)| {
            let SuspectId::Request(fingerprint) = id else {
                return None;
            };
            Some(WireSuspicion {
                fingerprint: [(fingerprint.0 >> 64) as u64, fingerprint.0 as u64],
                ended: suspicion.ended.iter().map(|replica| replica.0).collect(),
                cleared: suspicion.cleared.iter().map(|replica| replica.0).collect(),
            })
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
                position: 0,
            };
            let fingerprint = Fingerprint(u128::from(upper) << 64 | u128::from(lower));
            (SuspectId::Request(fingerprint), suspicion)
        });
        suspicions.collect()
    }
}

/// The evidence against one part of prompts.
#[derive(Debug, Clone, PartialEq, Eq, SerBin, DeBin)]
pub struct WirePartSuspicion {
    /// Hash of the part.
    part: u64,
    /// The last position at which it stood in a prompt.
    position: u32,
    /// Replicas that ended when a request with the part had just started there.
    ended: WireList<u64>,
    /// Those of them of which the part was cleared.
    cleared: WireList<u64>,
}

/// When a replica ended.
#[derive(Debug, Clone, PartialEq, Eq, SerBin, DeBin)]
pub struct WireEndTime {
    /// The incarnation that ended.
    replica: u64,
    /// Time since its end, when the report was written.
    age_ms: u32,
}

/// A node's report of parts.
#[derive(Debug, Clone, PartialEq, Eq, SerBin, DeBin)]
pub struct WirePartReport {
    suspicions: WireList<WirePartSuspicion>,
    /// When the replicas ended that the suspicions name.
    end_times: WireList<WireEndTime>,
}

impl WirePartReport {
    /// Converts the parts of a report to their wire format. `age_of` returns the time since a replica's
    /// end.
    pub fn from_report(report: &CrashReport, age_of: impl Fn(EndedReplica) -> Duration) -> Self {
        let mut ended: BTreeSet<EndedReplica> = BTreeSet::new();
        let suspicions = report.iter().filter_map(|(id, suspicion)| {
            let SuspectId::Part(part) = id else {
                return None;
            };
            ended.extend(&suspicion.ended);
            Some(WirePartSuspicion {
                part: part.0,
                position: suspicion.position,
                ended: suspicion.ended.iter().map(|replica| replica.0).collect(),
                cleared: suspicion.cleared.iter().map(|replica| replica.0).collect(),
            })
        });
        let suspicions = suspicions.collect();
        let end_times = ended.into_iter().map(|replica: EndedReplica| WireEndTime {
            replica: replica.0,
            age_ms: age_of(replica).as_millis().try_into().unwrap_or(u32::MAX),
        });
        WirePartReport {
            suspicions,
            end_times: end_times.collect(),
        }
    }

    /// Returns the replicas that ended, with the time since then.
    pub fn end_ages(&self) -> impl Iterator<Item = (EndedReplica, Duration)> + '_ {
        let times = self.end_times.iter();
        times.map(|time| {
            (
                EndedReplica(time.replica),
                Duration::from_millis(time.age_ms.into()),
            )
        })
    }

    /// Converts the wire format back to a report.
    pub fn into_report(self) -> CrashReport {
        let suspicions = self.suspicions.into_iter().map(|wire| {
            let suspicion = Suspicion {
                ended: wire.ended.into_iter().map(EndedReplica).collect(),
                cleared: wire.cleared.into_iter().map(EndedReplica).collect(),
                position: wire.position,
            };
            (SuspectId::Part(PartHash(wire.part)), suspicion)
        });
        suspicions.collect()
    }

    /// Returns whether the report holds no part.
    pub fn is_empty(&self) -> bool {
        self.suspicions.is_empty()
    }
}
