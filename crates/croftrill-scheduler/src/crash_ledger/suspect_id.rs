//! Identities of what may have ended a replica, and of the replicas that ended.

use std::fmt;
use std::str::FromStr;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::replica::StartedMs;

/// Hash that identifies a request by its content: path, caller and body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint(pub u128);

impl fmt::Display for Fingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}", self.0)
    }
}

impl FromStr for Fingerprint {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u128::from_str_radix(text, 16).map(Fingerprint)
    }
}

/// Hash that identifies a part of a prompt by its content, whichever request holds it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PartHash(pub u64);

/// What may have ended a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum SuspectId {
    /// A request.
    Request(Fingerprint),
    /// A part of prompts.
    Part(PartHash),
}

/// Prefix of the text of a part's identity.
const PART_PREFIX: &str = "part-";

impl fmt::Display for SuspectId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SuspectId::Request(fingerprint) => fingerprint.fmt(formatter),
            SuspectId::Part(part) => write!(formatter, "{PART_PREFIX}{:016x}", part.0),
        }
    }
}

impl FromStr for SuspectId {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text.strip_prefix(PART_PREFIX) {
            Some(part) => u64::from_str_radix(part, 16).map(|hash| SuspectId::Part(PartHash(hash))),
            None => text.parse().map(SuspectId::Request),
        }
    }
}

impl From<Fingerprint> for SuspectId {
    fn from(fingerprint: Fingerprint) -> Self {
        SuspectId::Request(fingerprint)
    }
}

/// A request, or a part, that ran at a replica that ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sighting {
    /// What ran there.
    pub id: SuspectId,
    /// Position in the prompt of a part, of which the first is 0.
    pub position: u32,
}

impl From<Fingerprint> for Sighting {
    fn from(fingerprint: Fingerprint) -> Self {
        Sighting {
            id: fingerprint.into(),
            position: 0,
        }
    }
}

/// Hash that identifies a replica incarnation that ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndedReplica(pub u64);

impl EndedReplica {
    /// Returns the key of the incarnation with this ID and start time.
    pub fn of(id: &str, started_ms: Option<StartedMs>) -> Self {
        EndedReplica(xxh3_64_with_seed(id.as_bytes(), started_ms.unwrap_or(0)))
    }
}
