//! Messages about connections to replicas over another node.

use nanoserde::{DeBin, SerBin};

/// A node's request to be connected to a replica that it does not reach itself.
#[derive(Debug, Clone, PartialEq, Eq, SerBin, DeBin)]
pub struct WireConnect {
    /// The replica.
    pub replica: String,
    /// Its address as the sender knows it, for a node that does not know the replica.
    pub address: String,
}

/// Answer to [`WireConnect`], the last message on its link. If connected, the requesting node's
/// bytes for the replica follow as they are, and the replica's bytes in frames, with an empty frame
/// at their end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, SerBin, DeBin)]
pub enum WireConnectAnswer {
    /// The replica is connected.
    Connected,
    /// The replica cannot be connected or is leaving; others can be.
    Down,
    /// The replica cannot be connected, and the node cannot tell why. Others may be.
    NotReached,
    /// The node reaches no replica itself.
    NoPath,
    /// The node carries no further connections now.
    Busy,
}

impl WireConnectAnswer {
    /// Returns the name of the answer, for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            WireConnectAnswer::Connected => "connected",
            WireConnectAnswer::Down => "down",
            WireConnectAnswer::NotReached => "not reached",
            WireConnectAnswer::NoPath => "no path",
            WireConnectAnswer::Busy => "busy",
        }
    }
}
