//! Settings of claims.

/// Settings of claims; the same on all nodes. Durations are in milliseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimConfig {
    /// A key stays taken for so long after its grant.
    pub window_millis: u64,
    /// A holder grants only if it heard within this time from a majority of its
    /// ring, none of which was ahead of it in the log. With one ping a period, a
    /// node of `n` hears from a majority in about `n / 3` periods, which this
    /// must exceed.
    pub authority_millis: u64,
    /// Age that a probe may have when it is read.
    pub probe_delay_millis: u64,
    /// A change of the ring of which half of the former ring has not been heard
    /// to know counts as known after this time nevertheless; otherwise the keys
    /// of a ring that was lost as a whole would be refused for ever. Too short
    /// only if the lost majority runs on, cut off from all others, for so long.
    pub unconfirmed_millis: u64,
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
            probe_delay_millis: 5_000,
            unconfirmed_millis: 3_600_000,
            grant_transit_millis: 2_000,
            view_limit_millis: 3_000,
            max_records: 50_000,
        }
    }
}

impl ClaimConfig {
    /// Time from when half of the former ring was heard to know of its
    /// replacement until every grant by it is out of its window. What a former
    /// holder heard from its majority includes one of that half, before it knew;
    /// from then on the holder may go on for the authority time, and its last
    /// grant may be in transit.
    pub fn cold_millis(&self) -> u64 {
        self.window_millis + self.authority_millis + self.probe_delay_millis + self.grant_transit_millis
    }

    /// A hand-over that took longer is given up. Half a window is well before
    /// the new holder may know the keys by the passing of time alone, after
    /// which it may have granted keys that the hand-over does not know.
    pub fn hand_over_millis(&self) -> u64 {
        self.window_millis / 2
    }
}
