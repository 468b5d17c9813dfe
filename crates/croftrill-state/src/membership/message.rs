//! Messages of the membership protocol, one a datagram.

use crate::checked_message::{self, MessageError};
use crate::identifiers::{NodeId, Revision};
use nanoserde::{DeBin, SerBin};
use thiserror::Error;

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

impl From<MessageError> for DatagramError {
    fn from(error: MessageError) -> Self {
        match error {
            MessageError::Checksum => Self::Checksum,
            MessageError::Malformed(reason) => Self::Malformed(reason),
        }
    }
}

impl Probe {
    /// The datagram of this probe.
    pub fn encode(&self) -> Vec<u8> {
        checked_message::encode(self)
    }

    /// The probe of a datagram.
    pub fn decode(datagram: &[u8]) -> Result<Self, DatagramError> {
        Ok(checked_message::decode(datagram)?)
    }
}
