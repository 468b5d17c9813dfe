//! The units that one tenant may spend at one keeper.

use std::time::Duration;

use super::decision::{KeeperConfig, QuotaRequest, ReservationDecision, MAX_AHEAD};
use super::expected_retries::ExpectedRetries;
use crate::tenants::Quota;

/// Fraction of the income set aside for non-urgent requests while the tenant sends any.
const NON_URGENT_INCOME_FRACTION: f64 = 0.1;
/// Maximum balance set aside for non-urgent requests, in requests of mean cost.
const MAX_NON_URGENT_REQUESTS: f64 = 2.0;
/// Maximum balance set aside for non-urgent requests, as a fraction of the maximum savings.
const MAX_NON_URGENT_FRACTION: f64 = 0.5;
/// Time constant with which refused units stop being expected again: callers retry a few times, and
/// within their deadline.
const REFUSED_DECAY_S: f64 = 2.0;
/// Number of requests over which moving averages are taken.
const MEAN_REQUESTS: f64 = 64.0;
/// Non-urgent requests are granted ahead for at most the time that urgent ones can wait, divided
/// by this. Income beyond that stays available to urgent requests until it arrives.
const NON_URGENT_AHEAD_DIVISOR: u32 = 2;

/// Limits of an account, scaled to its keeper's share of the quota.
#[derive(Debug, Clone, Copy)]
pub(super) struct AccountBounds {
    /// Income in units per second.
    pub income_per_s: f64,
    /// Maximum savings, in units.
    pub max_savings: f64,
    /// Maximum debt, in units.
    pub debt: f64,
    /// Maximum for any returned or waited time.
    pub window: Duration,
}

impl AccountBounds {
    pub(super) fn new(config: &KeeperConfig, quota: &Quota, share: f64) -> Self {
        AccountBounds {
            income_per_s: config.income_per_s(quota) * share,
            max_savings: config.max_savings(quota) * share,
            debt: config.debt() * share,
            window: config.window,
        }
    }

    /// Returns the time after which this many units are certain to have arrived, even while part
    /// of the income is set aside.
    fn time_to_earn(&self, units: f64) -> Duration {
        let certain_per_s = self.income_per_s * (1.0 - NON_URGENT_INCOME_FRACTION);
        let time = Duration::try_from_secs_f64(units.max(0.0) / certain_per_s.max(f64::MIN_POSITIVE));
        time.unwrap_or(self.window).min(self.window)
    }
}

/// The units that one tenant may spend.
///
/// Invariant: `balance` never drops so low that the income certain to arrive before a grant's
/// time would leave it below `-debt` at that time; `non_urgent_balance` is never negative.
/// Together they gain at most the income and hold at most the maximum savings. So within any time
/// `t`, the requests that are both made and granted for a time within it cost at most `income` x
/// `t` + `savings` + `debt`.
#[derive(Debug, Clone)]
pub(super) struct Account {
    /// The tenant's quota.
    pub quota: Quota,
    /// Version of the configuration that defines the quota.
    pub version: u64,
    /// Units available to any request. Negative values are debt, including units granted ahead.
    balance: f64,
    /// Units available only to non-urgent requests.
    non_urgent_balance: f64,
    /// Time since the last non-urgent request; `None` before the first.
    since_non_urgent: Option<Duration>,
    /// Refused units that may be requested again.
    refused_units: f64,
    /// Moving average of the cost of requests.
    mean_cost: f64,
    /// Refused requests that may be retried: the costliest of each step of time granted ahead.
    expected_retries: ExpectedRetries,
    /// Moving average of the time that urgent requests can wait, in seconds; `None` before the
    /// first.
    mean_urgent_patience_s: Option<f64>,
}

impl Account {
    /// Creates an account without a balance.
    pub(super) fn new(quota: Quota, version: u64) -> Self {
        Account {
            quota,
            version,
            balance: 0.0,
            non_urgent_balance: 0.0,
            since_non_urgent: None,
            refused_units: 0.0,
            mean_cost: 0.0,
            expected_retries: ExpectedRetries::default(),
            mean_urgent_patience_s: None,
        }
    }

    /// Returns the units available in total, including those for non-urgent requests only.
    pub(super) fn balance(&self) -> f64 {
        self.balance + self.non_urgent_balance
    }

    /// Drops all savings but retains debt.
    pub(super) fn drop_savings(&mut self) {
        self.balance = self.balance.min(0.0);
        self.non_urgent_balance = 0.0;
        self.refused_units = 0.0;
        self.expected_retries = ExpectedRetries::default();
    }

    /// Drops all savings and debt.
    pub(super) fn clear(&mut self) {
        self.drop_savings();
        self.balance = 0.0;
    }

    /// Applies a new quota, which cuts savings down to the new maximum.
    pub(super) fn set_quota(&mut self, quota: Quota, version: u64, bounds: &AccountBounds) {
        self.quota = quota;
        self.version = version;
        self.non_urgent_balance = self
            .non_urgent_balance
            .min(bounds.max_savings * MAX_NON_URGENT_FRACTION);
        self.balance = self.balance.min(bounds.max_savings - self.non_urgent_balance);
    }

    /// Returns the maximum balance set aside for non-urgent requests.
    fn max_non_urgent(&self, bounds: &AccountBounds) -> f64 {
        let is_needed = self.since_non_urgent.is_some_and(|since| since < bounds.window);
        if !is_needed {
            return 0.0;
        }
        (self.mean_cost * MAX_NON_URGENT_REQUESTS).min(bounds.max_savings * MAX_NON_URGENT_FRACTION)
    }

    /// Adds the income of the elapsed time. A balance above the maximum, as after a node left,
    /// neither grows nor is cut.
    pub(super) fn accrue(&mut self, elapsed: Duration, bounds: &AccountBounds) {
        let income = bounds.income_per_s * elapsed.as_secs_f64();
        self.since_non_urgent = self.since_non_urgent.map(|since| since + elapsed);
        self.expected_retries.advance(elapsed);
        let max_non_urgent = self.max_non_urgent(bounds);
        let surplus = (self.non_urgent_balance - max_non_urgent).max(0.0);
        let set_aside =
            (income * NON_URGENT_INCOME_FRACTION).min((max_non_urgent - self.non_urgent_balance).max(0.0));
        self.non_urgent_balance += set_aside - surplus;
        self.save(income - set_aside + surplus, bounds);
        self.refused_units = (self.refused_units - income).max(0.0);
        self.refused_units *= (-elapsed.as_secs_f64() / REFUSED_DECAY_S).exp();
    }

    fn save(&mut self, units: f64, bounds: &AccountBounds) {
        let max_balance = (bounds.max_savings - self.non_urgent_balance).max(0.0);
        self.balance = (self.balance + units).min(max_balance.max(self.balance));
    }

    /// Decides on a request and charges the account if it is granted.
    pub(super) fn reserve(&mut self, request: QuotaRequest, bounds: &AccountBounds) -> ReservationDecision {
        let cost = request.cost as f64;
        self.record_request(&request);
        let ahead = request.patience.min(self.max_ahead(request.is_urgent, bounds));
        let left_to_others = self.expected_retries.max_cost_before(ahead);
        if !request.is_urgent && self.pay_with_non_urgent_balance(cost, left_to_others, bounds) {
            return ReservationDecision::Granted {
                after: Duration::ZERO,
            };
        }
        let missing = cost - bounds.debt - self.balance;
        let left_to_others = left_to_others.min(self.max_left_to_others(cost, bounds));
        if bounds.time_to_earn(missing + left_to_others) <= ahead {
            self.balance -= cost;
            return ReservationDecision::Granted {
                after: bounds.time_to_earn(missing),
            };
        }
        let retry_after = bounds.time_to_earn(missing + self.refused_units);
        self.refused_units += cost;
        self.expected_retries.record(ahead, cost, retry_after);
        ReservationDecision::Refused {
            retry_after,
            balance: self.balance(),
        }
    }

    /// Updates the averages with a request, whether or not it is granted.
    fn record_request(&mut self, request: &QuotaRequest) {
        self.mean_cost += (request.cost as f64 - self.mean_cost) / MEAN_REQUESTS;
        if !request.is_urgent {
            self.since_non_urgent = Some(Duration::ZERO);
            return;
        }
        let patience_s = request.patience.min(MAX_AHEAD).as_secs_f64();
        let mean_s = self.mean_urgent_patience_s.get_or_insert(patience_s);
        *mean_s += (patience_s - *mean_s) / MEAN_REQUESTS;
    }

    /// Returns the units that a request can leave to others and still be granted once the savings
    /// are full.
    fn max_left_to_others(&self, cost: f64, bounds: &AccountBounds) -> f64 {
        (bounds.max_savings - self.non_urgent_balance + bounds.debt - cost).max(0.0)
    }

    /// Returns the maximum time for which a request is granted ahead.
    fn max_ahead(&self, is_urgent: bool, bounds: &AccountBounds) -> Duration {
        let max_ahead = MAX_AHEAD.min(bounds.window / 2);
        match self.mean_urgent_patience_s {
            Some(patience_s) if !is_urgent => {
                max_ahead.min(Duration::from_secs_f64(patience_s) / NON_URGENT_AHEAD_DIVISOR)
            }
            _ => max_ahead,
        }
    }

    /// Pays immediately, from the shared balance first and from the one for non-urgent requests
    /// if that falls short. Returns false if both, less `left_to_others`, do not suffice.
    fn pay_with_non_urgent_balance(
        &mut self,
        cost: f64,
        left_to_others: f64,
        bounds: &AccountBounds,
    ) -> bool {
        let free = self.balance + bounds.debt - left_to_others;
        let from_balance = free.clamp(0.0, cost);
        let from_non_urgent = cost - from_balance;
        if from_non_urgent > self.non_urgent_balance {
            return false;
        }
        self.balance -= from_balance;
        self.non_urgent_balance -= from_non_urgent;
        true
    }

    /// Charges units that another keeper granted ahead and that are used while this keeper is in
    /// charge.
    pub(super) fn charge(&mut self, cost: u64) {
        self.balance -= cost as f64;
    }

    /// Returns the units of a granted request that did not run. Units above the maximum savings
    /// are lost: otherwise they could be spent on top of the income received in the meantime.
    pub(super) fn refund(&mut self, cost: u64, bounds: &AccountBounds) {
        self.save(cost as f64, bounds);
    }
}
