//! Membership probes over UDP, one message a datagram.

use croftrill_state::{NodeId, Revision};
use nanoserde::{DeBin, SerBin};

/// Largest datagram, in bytes; fits one Ethernet frame.
pub const MAX_DATAGRAM_BYTES: usize = 1400;

/// What a node believes of another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, SerBin, DeBin)]
pub enum Health {
    /// It answers.
    Alive,
    /// It did not answer lately; it may refute.
    Suspect,
    /// It stayed suspect too long.
    Dead,
    /// It is stopping on purpose.
    Leaving,
}

/// News about a member, carried on probes.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct MemberUpdate {
    /// The member.
    pub node: NodeId,
    /// `ip:port` of its probe socket and peer service.
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
    Ack,
    /// Ping `target` for me and relay its ack.
    PingRequest {
        /// Whom to ping.
        target: NodeId,
        /// Its address.
        address: String,
    },
    /// A new log head; fetch it from the sender.
    NewHead,
}

/// A datagram.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct Probe {
    /// The sender.
    pub from: NodeId,
    /// `ip:port` of its probe socket and peer service.
    pub from_address: String,
    /// Matches an ack to its ping.
    pub sequence: u64,
    /// What it is for.
    pub kind: ProbeKind,
    /// The sender's last applied revision.
    pub head: Revision,
    /// News, the latest first.
    pub updates: Vec<MemberUpdate>,
}
