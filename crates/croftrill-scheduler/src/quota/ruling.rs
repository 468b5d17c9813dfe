//! What is asked of a keeper, what it says, and the bounds by which it does.

use std::time::Duration;

use crate::tenants::Quota;

/// Part of the overage that is spent. What is left covers requests that wait between
/// their grant and their replica, so that more of them arrive in a window.
const OVERAGE_PART: f64 = 0.8;
/// Part of the slack that is spent in any window.
const SLACK_PART: f64 = 0.2;
/// Part of the slack up to which a tenant may be in debt at all keepers together.
/// Two more keepers that begin within a window, each with the whole of it, stay
/// within the slack.
const DEBT_PART: f64 = 0.2;
/// Part of the burst that can be saved up. The window bounds what is saved and what
/// comes in together: the less is saved, the more comes in while a tenant asks for
/// more than it may. Half of it still bears twice the rate for half a second.
const SAVED_PART: f64 = 0.5;

/// Longest time for which units are granted ahead: what was granted cannot be taken back,
/// neither for a more urgent request nor by a keeper that follows this one.
pub(super) const MOST_AHEAD: Duration = Duration::from_millis(500);

/// Bounds that hold for all keepers.
#[derive(Debug, Clone, Copy)]
pub struct KeeperConfig {
    /// Sliding window of the quotas.
    pub window: Duration,
    /// Part of a quota that a window may be over it.
    pub overage: f64,
    /// Units that a window may be over that besides.
    pub slack: f64,
}

impl KeeperConfig {
    /// Units of debt that a tenant may have: a request that is larger than the
    /// balance passes, and the next ones wait for it.
    pub fn debt(&self) -> f64 {
        self.slack * DEBT_PART
    }

    /// Units that a tenant may spend in a window, but for its debt: nearly as many as
    /// the bounds allow, as a request that is refused below them is lost.
    pub fn spent_in_window(&self, quota: &Quota) -> f64 {
        let told = quota.rate_per_s * self.window.as_secs_f64() + quota.burst;
        told * (1.0 + self.overage * OVERAGE_PART) + self.slack * SLACK_PART
    }

    /// Most units that a tenant can save up.
    pub(super) fn most_saved(&self, quota: &Quota) -> f64 {
        quota.burst * SAVED_PART
    }

    /// Units that a tenant gains in a second.
    pub(super) fn income_per_s(&self, quota: &Quota) -> f64 {
        (self.spent_in_window(quota) - self.most_saved(quota)) / self.window.as_secs_f64()
    }
}

/// What a request wants of its tenant's quota.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Want {
    /// Units that it counts for.
    pub cost: u64,
    /// Time for which it may be granted ahead; one that can wait longer asks again.
    pub patience: Duration,
    /// True if no route's requests are more urgent.
    pub is_urgent: bool,
}

/// What a keeper says to a question.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Ruling {
    /// The request may run after this time: then the balance has paid for it.
    Granted {
        /// Zero if the balance pays for it now.
        after: Duration,
    },
    /// It is beyond what the tenant has here.
    Refused {
        /// Time until the balance pays for it, behind those refused before it.
        again_after: Duration,
        /// The balance, in units.
        balance: f64,
    },
}
