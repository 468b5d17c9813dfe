//! Messages of the membership protocol, one a datagram.

use crate::identifiers::{NodeId, Revision};
use nanoserde::{DeBin, SerBin};
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Largest datagram, in bytes; fits one Ethernet frame.
pub const MAX_DATAGRAM_BYTES: usize = 1400;

/// What a node believes of another. Among news of one incarnation the later
/// variant wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, SerBin, DeBin)]
pub enum Health {
    /// It answers.
    Alive,
    /// It did not answer lately; it may refute.
    Suspect,
    /// It is stopping on purpose.
    Leaving,
    /// It stayed suspect too long, or stopped.
    Dead,
}

/// News about a member, carried on probes.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct MemberUpdate {
    /// The member.
    pub node: NodeId,
    /// `ip:port` of its probe socket and peer service. Empty in what others say
    /// of a suspect or dead member, to save bytes.
    pub address: String,
    /// Raised by the member itself to refute a suspicion; the higher wins.
    pub incarnation: u64,
    /// What is believed.
    pub health: Health,
}

/// What a datagram is for.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum ProbeKind {
    /// Answer with `Ack`.
    Ping,
    /// Answer to a ping, perhaps relayed.
    Ack {
        /// Who answered the ping.
        target: NodeId,
    },
    /// Ping `target` for me and relay its ack.
    PingRequest {
        /// Whom to ping.
        target: NodeId,
        /// Its address.
        address: String,
    },
    /// A new log head; fetch it from the sender. Not answered.
    NewHead,
    /// Updates that cannot wait for the next ping. Not answered.
    Announce,
}

/// A datagram.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct Probe {
    /// The sender, as it sees itself.
    pub sender: MemberUpdate,
    /// Matches an ack to its ping.
    pub sequence: u64,
    /// What it is for.
    pub kind: ProbeKind,
    /// The sender's last applied revision.
    pub head: Revision,
    /// Whether the sender has applied all that the key-value service's log had
    /// at some time since the sender's process started. Until then its head may
    /// be lower than that of an earlier process of its node.
    pub caught_up: bool,
    /// News, the least often told first.
    pub updates: Vec<MemberUpdate>,
}

/// Bytes of the checksum before the message.
pub(super) const CHECKSUM_BYTES: usize = 8;

/// Mixed into the checksum, so that datagrams of other programs are refused.
const CHECKSUM_SEED: u64 = 0x6372_6f66_7472_696c;

/// Why a datagram was dropped.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum DatagramError {
    /// It is not of this protocol, or it was damaged.
    #[error("checksum differs")]
    Checksum,
    /// It holds no probe.
    #[error("malformed probe: {0}")]
    Malformed(String),
}

impl Probe {
    /// The datagram of this probe.
    pub fn encode(&self) -> Vec<u8> {
        let body = self.serialize_bin();
        let mut datagram = Vec::with_capacity(CHECKSUM_BYTES + body.len());
        datagram.extend_from_slice(&xxh3_64_with_seed(&body, CHECKSUM_SEED).to_le_bytes());
        datagram.extend_from_slice(&body);
        datagram
    }

    /// The probe of a datagram. The checksum comes first, because the decoder
    /// trusts the lengths that it finds.
    pub fn decode(datagram: &[u8]) -> Result<Self, DatagramError> {
        let (checksum, body) = datagram
            .split_first_chunk::<CHECKSUM_BYTES>()
            .ok_or(DatagramError::Checksum)?;
        if u64::from_le_bytes(*checksum) != xxh3_64_with_seed(body, CHECKSUM_SEED) {
            return Err(DatagramError::Checksum);
        }
        Self::deserialize_bin(body).map_err(|error| DatagramError::Malformed(error.to_string()))
    }
}
