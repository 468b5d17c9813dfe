//! Settings of claims.

/// Settings of claims; the same on all nodes. Durations are in milliseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimConfig {
    /// A key stays taken for so long after its grant.
    pub window_millis: u64,
    /// A holder grants only if it heard from a majority of its ring within this
    /// time. With one ping a period, a node of `n` hears from a majority in
    /// about `n / 3` periods, which this must exceed.
    pub authority_millis: u64,
    /// A holder that has known of a later log revision for this time and not
    /// applied it grants nothing.
    pub behind_limit_millis: u64,
    /// A gateway drops a grant that took longer than this to arrive.
    pub grant_transit_millis: u64,
    /// A membership snapshot older than this is no evidence of anything.
    pub view_limit_millis: u64,
    /// Records held at most; more claims are refused.
    pub max_records: usize,
}

impl Default for ClaimConfig {
    fn default() -> Self {
        Self {
            window_millis: 600_000,
            authority_millis: 240_000,
            behind_limit_millis: 10_000,
            grant_transit_millis: 2_000,
            view_limit_millis: 3_000,
            max_records: 50_000,
        }
    }
}

impl ClaimConfig {
    /// Time after a change of the ring until every grant by the former ring is
    /// out of its window: a former holder may go on for the authority time and
    /// the time that it may be behind, and its last grant may be in transit.
    pub fn cold_millis(&self) -> u64 {
        self.window_millis + self.authority_millis + self.behind_limit_millis + self.grant_transit_millis
    }

    /// A hand-over that took longer is given up. Half a window is well before
    /// the new holder may know the keys by the passing of time alone, after
    /// which it may have granted keys that the hand-over does not know.
    pub fn hand_over_millis(&self) -> u64 {
        self.window_millis / 2
    }
}
