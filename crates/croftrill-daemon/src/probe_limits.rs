//! Limits on the age of what membership tells, by the period of its probes.
//!
//! Must hold: each limit spans several periods, however long these are; otherwise
//! a node that hears everybody would hold itself for cut off between two probes.

use std::time::Duration;

/// Shortest age after which a node that heard nobody holds itself for cut off.
const LEAST_HEARD_LATELY: Duration = Duration::from_secs(4);
/// The same limit in periods.
const HEARD_LATELY_PERIODS: u32 = 4;
/// Shortest age at which a view of membership, published once a period, is no
/// evidence any more.
const LEAST_VIEW_LIMIT: Duration = Duration::from_secs(3);
/// The same limit in periods.
const VIEW_LIMIT_PERIODS: u32 = 3;

/// A node that heard nobody for this long holds itself for cut off.
pub fn heard_lately(probe_period: Duration) -> Duration {
    LEAST_HEARD_LATELY.max(probe_period * HEARD_LATELY_PERIODS)
}

/// A view of membership older than this is evidence of nothing.
pub fn view_limit(probe_period: Duration) -> Duration {
    LEAST_VIEW_LIMIT.max(probe_period * VIEW_LIMIT_PERIODS)
}
