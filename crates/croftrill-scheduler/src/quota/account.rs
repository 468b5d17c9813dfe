//! What one tenant may spend at one keeper.

use std::time::Duration;

use super::ruling::{KeeperConfig, Ruling, Want};
use crate::tenants::Quota;

/// Least part of the income that is kept for urgent requests until they have saved
/// enough.
const LEAST_URGENT_PART: f64 = 0.05;
/// Most of the income that is kept for them: the rest still serves others.
const MOST_URGENT_PART: f64 = 0.6;
/// What is kept for urgent requests, in what they asked for: they come unevenly.
const URGENT_MARGIN: f64 = 1.25;
/// Time constant of what urgent requests ask for.
const URGENT_MEMORY_S: f64 = 2.0;
/// A request of at most so many times the mean cost passes as an urgent one: it takes
/// next to nothing from others.
const SMALL_COST: f64 = 0.1;
/// Requests over which the mean cost is taken.
const MEAN_OVER: f64 = 64.0;

/// Bounds of an account, by the part of the quota that belongs to its keeper.
#[derive(Debug, Clone, Copy)]
pub(super) struct AccountBounds {
    /// Units gained in a second.
    pub income_per_s: f64,
    /// Most units saved.
    pub most_saved: f64,
    /// Most units of debt.
    pub debt: f64,
    /// Longest time told or waited.
    pub window: Duration,
}

impl AccountBounds {
    pub(super) fn new(config: &KeeperConfig, quota: &Quota, share: f64) -> Self {
        AccountBounds {
            income_per_s: config.income_per_s(quota) * share,
            most_saved: config.most_saved(quota) * share,
            debt: config.debt() * share,
            window: config.window,
        }
    }

    fn time_to_gain(&self, units: f64) -> Duration {
        let time = Duration::try_from_secs_f64(units.max(0.0) / self.income_per_s.max(f64::MIN_POSITIVE));
        time.unwrap_or(self.window).min(self.window)
    }
}

/// What one tenant may spend.
#[derive(Debug, Clone)]
pub(super) struct Account {
    /// Its quota.
    pub quota: Quota,
    /// Version of the configuration that told the quota.
    pub version: u64,
    /// Units that may be spent on any request; below zero: a debt.
    balance: f64,
    /// Units that may be spent on urgent requests besides.
    for_urgent: f64,
    /// Units that urgent requests asked for, fading with [`URGENT_MEMORY_S`].
    urgent_asked: f64,
    /// Units that were refused, less what has come in since.
    refused: f64,
    /// Mean cost of the requests.
    mean_cost: f64,
}

impl Account {
    /// An account without a balance.
    pub(super) fn new(quota: Quota, version: u64) -> Self {
        Account {
            quota,
            version,
            balance: 0.0,
            for_urgent: 0.0,
            urgent_asked: 0.0,
            refused: 0.0,
            mean_cost: 0.0,
        }
    }

    /// Units that may be spent, on any request and on urgent ones.
    pub(super) fn balance(&self) -> f64 {
        self.balance + self.for_urgent
    }

    /// What is saved is given up; a debt stays.
    pub(super) fn drop_savings(&mut self) {
        self.balance = self.balance.min(0.0);
        self.for_urgent = 0.0;
        self.refused = 0.0;
    }

    /// Debts are forgotten, too.
    pub(super) fn clear(&mut self) {
        self.drop_savings();
        self.balance = 0.0;
    }

    /// The quota changed: what is above a lower one's savings is lost.
    pub(super) fn set_quota(&mut self, quota: Quota, version: u64, bounds: &AccountBounds) {
        self.quota = quota;
        self.version = version;
        self.balance = self.balance.min(bounds.most_saved);
        self.for_urgent = self.for_urgent.min(bounds.most_saved);
    }

    /// Part of the income that is kept for urgent requests. Large patient requests of a
    /// tenant that asks for more than it may would else take all that comes in, as they
    /// are granted ahead.
    fn urgent_part(&self, bounds: &AccountBounds) -> f64 {
        let asked_per_s = self.urgent_asked / URGENT_MEMORY_S;
        let wanted = URGENT_MARGIN * asked_per_s / bounds.income_per_s.max(f64::MIN_POSITIVE);
        wanted.clamp(LEAST_URGENT_PART, MOST_URGENT_PART)
    }

    /// Time passed. What is above the most, as of requests that did not run, or after
    /// a node left, is neither added to nor taken.
    pub(super) fn gain(&mut self, elapsed: Duration, bounds: &AccountBounds) {
        let income = bounds.income_per_s * elapsed.as_secs_f64();
        let part = self.urgent_part(bounds);
        let most_for_urgent = bounds.most_saved * part;
        let for_urgent = (income * part).min((most_for_urgent - self.for_urgent).max(0.0));
        self.for_urgent += for_urgent;
        let most = (bounds.most_saved - self.for_urgent).max(0.0);
        if self.balance < most {
            self.balance = (self.balance + income - for_urgent).min(most);
        }
        self.refused = (self.refused - income).max(0.0);
        self.urgent_asked *= (-elapsed.as_secs_f64() / URGENT_MEMORY_S).exp();
    }

    /// A request wants to run.
    pub(super) fn ask(&mut self, want: Want, bounds: &AccountBounds) -> Ruling {
        let cost = want.cost as f64;
        let is_urgent = want.is_urgent || cost <= self.mean_cost * SMALL_COST;
        self.mean_cost += (cost - self.mean_cost) / MEAN_OVER;
        if is_urgent {
            self.urgent_asked += cost;
            if cost <= self.for_urgent {
                self.for_urgent -= cost;
                return Ruling::Granted {
                    after: Duration::ZERO,
                };
            }
        }
        let missing = cost - bounds.debt - self.balance;
        let after = bounds.time_to_gain(missing);
        if after <= want.patience.min(bounds.window / 2) {
            self.balance -= cost;
            return Ruling::Granted { after };
        }
        let again_after = bounds.time_to_gain(missing + self.refused);
        self.refused += cost;
        Ruling::Refused {
            again_after,
            balance: self.balance(),
        }
    }

    /// So much was granted ahead by another keeper, and runs while this one rules.
    pub(super) fn owe(&mut self, cost: u64) {
        self.balance -= cost as f64;
    }

    /// A request that was granted did not run.
    pub(super) fn give_back(&mut self, cost: u64) {
        self.balance += cost as f64;
    }
}
