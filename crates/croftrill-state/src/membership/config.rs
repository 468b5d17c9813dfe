//! Settings of the membership protocol.

use super::message::MAX_DATAGRAM_BYTES;

/// Settings of the membership protocol. Durations are in milliseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MembershipConfig {
    /// Time between two pings of this node.
    pub period_millis: u64,
    /// Wait for a direct ack before others are asked to ping.
    pub ack_timeout_millis: u64,
    /// Members asked to ping one that did not answer.
    pub indirect_pings: usize,
    /// A suspect has this times log2 of the member count, in periods, to refute.
    pub suspicion_multiplier: u64,
    /// An update is told this times log2 of the member count.
    pub retransmit_multiplier: u32,
    /// Random members told at once of a new log head or of a leaving member.
    pub push_fanout: usize,
    /// Shortest time between two pushes of log heads; later heads are joined.
    pub push_interval_millis: u64,
    /// A dead member and a seed address are pinged once in this many periods.
    pub reconnect_periods: u64,
    /// A dead member that the cluster state does not list is forgotten then.
    pub forget_dead_millis: u64,
    /// A gap between ticks that counts as a pause of this process.
    pub pause_threshold_millis: u64,
    /// After a pause, no member is suspected or declared dead for so long.
    pub pause_grace_millis: u64,
    /// Additional pings a period until a majority was heard since the start or
    /// the last pause.
    pub catch_up_pings: usize,
    /// Largest datagram sent, in bytes; at most [`MAX_DATAGRAM_BYTES`].
    pub max_datagram_bytes: usize,
}

impl Default for MembershipConfig {
    fn default() -> Self {
        Self {
            period_millis: 1_000,
            ack_timeout_millis: 300,
            indirect_pings: 3,
            suspicion_multiplier: 1,
            retransmit_multiplier: 2,
            push_fanout: 4,
            push_interval_millis: 1_000,
            reconnect_periods: 10,
            forget_dead_millis: 600_000,
            pause_threshold_millis: 2_000,
            pause_grace_millis: 3_000,
            catch_up_pings: 4,
            max_datagram_bytes: MAX_DATAGRAM_BYTES,
        }
    }
}

/// Rounds that news needs to reach `members` nodes: log2, rounded up.
pub(super) fn spreading_rounds(members: usize) -> u64 {
    let members = members as u64 + 1;
    u64::from(members.next_power_of_two().trailing_zeros()).max(1)
}
