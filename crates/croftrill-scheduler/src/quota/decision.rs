//! Requests to keepers, their decisions, and the bounds that keepers enforce.

use std::time::Duration;

use crate::tenants::Quota;

/// Fraction of the overage that is spent. The rest covers requests that are delayed between their
/// grant and their replica, so that more of them arrive in a window.
const OVERAGE_FRACTION: f64 = 0.8;
/// Fraction of the slack that is spent in any window.
const SLACK_FRACTION: f64 = 0.2;
/// Maximum debt of a tenant at all keepers together, as a fraction of the slack. Two more keepers
/// that start within a window, each allowing the full debt, stay within the slack.
const DEBT_FRACTION: f64 = 0.2;
/// Fraction of the burst that can be saved. The window bounds savings and income together: the
/// less is saved, the higher the income while a tenant exceeds its quota. Half of the burst still
/// covers twice the rate for half a second.
const SAVED_BURST_FRACTION: f64 = 0.5;

/// Maximum time for which units are granted ahead. A grant cannot be revoked, neither for a more
/// urgent request nor by the next keeper.
pub(super) const MAX_AHEAD: Duration = Duration::from_millis(500);

/// Bounds that apply to all keepers.
#[derive(Debug, Clone, Copy)]
pub struct KeeperConfig {
    /// Length of the sliding window of the quotas.
    pub window: Duration,
    /// Fraction by which a window may exceed a quota.
    pub overage: f64,
    /// Units by which a window may exceed a quota in addition.
    pub slack: f64,
}

impl KeeperConfig {
    /// Returns the maximum debt of a tenant, in units. A request larger than the balance is
    /// granted, and the next ones wait until it is paid.
    pub fn debt(&self) -> f64 {
        self.slack * DEBT_FRACTION
    }

    /// Returns the units that a tenant may spend in a window, not counting debt. Nearly as many
    /// as the bounds allow, as a request refused below the bounds is lost.
    pub fn window_allowance(&self, quota: &Quota) -> f64 {
        let nominal = quota.rate_per_s * self.window.as_secs_f64() + quota.burst;
        nominal * (1.0 + self.overage * OVERAGE_FRACTION) + self.slack * SLACK_FRACTION
    }

    /// Returns the maximum savings of a tenant, in units.
    pub(super) fn max_savings(&self, quota: &Quota) -> f64 {
        quota.burst * SAVED_BURST_FRACTION
    }

    /// Returns the income of a tenant, in units per second.
    pub(super) fn income_per_s(&self, quota: &Quota) -> f64 {
        (self.window_allowance(quota) - self.max_savings(quota)) / self.window.as_secs_f64()
    }
}

/// A request for units of a tenant's quota.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuotaRequest {
    /// Cost in units.
    pub cost: u64,
    /// Time for which the request may be granted ahead; one that can wait longer retries.
    pub patience: Duration,
    /// True if no route has more urgent requests.
    pub is_urgent: bool,
}

/// A keeper's answer to a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ReservationDecision {
    /// The request may run after this time, when the balance covers its cost.
    Granted {
        /// Zero if the balance covers the cost now.
        after: Duration,
    },
    /// The request exceeds what is available at this keeper.
    Refused {
        /// Time until the balance covers the cost, behind requests refused earlier.
        retry_after: Duration,
        /// The balance, in units.
        balance: f64,
    },
}
