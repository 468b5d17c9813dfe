//! Messages about the software versions of replicas and of streams.

use croftrill_scheduler::software_versions::LifetimeVersions;
use nanoserde::{DeBin, SerBin};

use crate::wire::WireList;

/// Software versions of replicas. Sent before the listings of these replicas, which do not state
/// them.
#[derive(Debug, Clone, PartialEq, Default, SerBin, DeBin)]
pub struct WireVersions {
    /// Revision of the store that the sender's view reaches.
    pub reached: u64,
    /// True if `services` is as of that revision; otherwise it may be some hundred milliseconds older.
    pub is_current: bool,
    /// Which versions the services have among all replicas that the sender knows.
    pub services: WireList<WireServiceVersions>,
    /// Versions of replicas, unless their service has only one.
    pub replicas: WireList<WireReplicaVersion>,
}

/// The software versions of a service's replicas, on the wire.
#[derive(Debug, Clone, PartialEq, Eq, SerBin, DeBin)]
pub struct WireServiceVersions {
    /// The service.
    pub service: String,
    /// The version, if all its replicas run the same.
    pub sole_version: Option<String>,
    /// Time for which the sender knows that they had no other, at most that of a stream, in
    /// milliseconds.
    pub sole_for_ms: u32,
}

/// The software version of a replica, on the wire.
#[derive(Debug, Clone, PartialEq, Eq, SerBin, DeBin)]
pub struct WireReplicaVersion {
    /// The replica.
    pub replica: String,
    /// When the incarnation started, in Unix milliseconds.
    pub started_ms: Option<u64>,
    /// Its version.
    pub version: String,
}

/// A message to a keeper of streams' versions, the only one of its link.
#[derive(Debug, Clone, PartialEq, Eq, SerBin, DeBin)]
pub enum WireStreamVersion {
    /// Versions of streams.
    Record(WireList<WireStreamRecord>),
    /// Asks for the version of an attempt's stream.
    Find {
        /// The caller's attempt.
        attempt: String,
        /// The service that runs it.
        service: String,
    },
}

/// The version that wrote the first event of a stream, on the wire.
#[derive(Debug, Clone, PartialEq, Eq, SerBin, DeBin)]
pub struct WireStreamRecord {
    /// The caller's attempt that brought the event.
    pub attempt: String,
    /// The version.
    pub version: String,
    /// Time for which the record may be needed, in milliseconds.
    pub lifetime_ms: u32,
}

/// The answer to [`WireStreamVersion`].
#[derive(Debug, Clone, PartialEq, Eq, SerBin, DeBin)]
pub enum WireStreamVersionAnswer {
    /// The version is recorded.
    Recorded,
    /// The recorded version.
    Found(String),
    /// There is no record.
    NotFound(WireLifetimeVersions),
}

/// Which versions the keeper has observed of the service, on the wire.
#[derive(Debug, Clone, PartialEq, Eq, SerBin, DeBin)]
pub enum WireLifetimeVersions {
    /// Only this one, for as long as a stream lives.
    Sole(String),
    /// Several.
    Mixed,
    /// Only this one, for a shorter time.
    Unclear(Option<String>),
}

impl WireLifetimeVersions {
    /// Converts observed versions into their wire form.
    pub fn from_versions(versions: &LifetimeVersions) -> Self {
        match versions {
            LifetimeVersions::Sole(version) => WireLifetimeVersions::Sole(version.to_string()),
            LifetimeVersions::Mixed => WireLifetimeVersions::Mixed,
            LifetimeVersions::Unclear(version) => {
                WireLifetimeVersions::Unclear(version.as_ref().map(ToString::to_string))
            }
        }
    }

    /// Returns the observed versions.
    pub fn into_versions(self) -> LifetimeVersions {
        match self {
            WireLifetimeVersions::Sole(version) => LifetimeVersions::Sole(version.into()),
            WireLifetimeVersions::Mixed => LifetimeVersions::Mixed,
            WireLifetimeVersions::Unclear(version) => LifetimeVersions::Unclear(version.map(Into::into)),
        }
    }
}
