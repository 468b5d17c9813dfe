//! Which of a port's connections is closed when a further one comes and none is free.

use std::time::Duration;

use crate::time::Moment;

/// Time without a byte after which a request that arrives counts as stalled.
const STALL_TIME: Duration = Duration::from_secs(1);

/// What a connection does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionPhase {
    /// It waits for a request.
    Idle,
    /// A header block arrives.
    Head,
    /// A body arrives.
    Body,
    /// A request runs, or its answer leaves.
    Running,
}

/// What is known of a connection.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionFacts {
    /// What it does.
    pub phase: ConnectionPhase,
    /// Since when: the start of the phase, or the last byte of a body.
    pub since: Moment,
    /// Whether it had a request that was answered.
    pub has_served: bool,
}

impl ConnectionFacts {
    /// Returns the order in which connections are closed, the lowest first, or `None` for one that is not.
    fn closing_rank(&self, now: Moment) -> Option<(u8, Moment)> {
        let is_stalled = now.since(self.since) >= STALL_TIME;
        let rank = match self.phase {
            ConnectionPhase::Running => return None,
            ConnectionPhase::Idle if self.has_served => 1,
            _ if is_stalled => 0,
            _ => 2,
        };
        Some((rank, self.since))
    }
}

/// Returns the index of the connection to close: first one that stalls or was never used, then one that is
/// idle, then the oldest of those that have just come. A running request is never closed for another.
pub fn connection_to_close(connections: impl Iterator<Item = ConnectionFacts>, now: Moment) -> Option<usize> {
    let ranked = connections
        .enumerate()
        .filter_map(|(index, facts)| Some((facts.closing_rank(now)?, index)));
    ranked.min().map(|(_, index)| index)
}
