//! What one tenant may spend at one keeper.

use std::time::Duration;

use super::returning::Returning;
use super::ruling::{KeeperConfig, Ruling, Want, MOST_AHEAD};
use crate::tenants::Quota;

/// Part of the income that urgent requests leave to the others, while these ask.
const KEPT_PART: f64 = 0.1;
/// Requests of mean cost for which units are kept at most.
const KEPT_REQUESTS: f64 = 2.0;
/// Part of what can be saved that is kept for them at most.
const MOST_KEPT_PART: f64 = 0.5;
/// Time constant after which units that were refused are no more expected to be asked for
/// once more: callers come back once or not at all.
const REFUSED_MEMORY_S: f64 = 2.0;
/// Requests over which means are taken.
const MEAN_OVER: f64 = 64.0;
/// Others are granted ahead for one part in so many of the time that urgent requests can wait,
/// at most: what comes in later is left to the urgent ones until it is there.
const OTHERS_AHEAD: u32 = 2;

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

    /// Time in which so much has surely come in, whatever is kept of the income.
    fn time_to_gain(&self, units: f64) -> Duration {
        let sure_per_s = self.income_per_s * (1.0 - KEPT_PART);
        let time = Duration::try_from_secs_f64(units.max(0.0) / sure_per_s.max(f64::MIN_POSITIVE));
        time.unwrap_or(self.window).min(self.window)
    }
}

/// What one tenant may spend.
///
/// Invariant: `balance` never falls so low that what surely comes in until a grant's time
/// leaves it below `-debt` then; `kept` never falls below zero. Both together gain no more
/// than the income and save no more than the most, so in any time `t` the requests that both
/// ask and have their turn in it count for at most `income` x `t` + `saved` + `debt`.
#[derive(Debug, Clone)]
pub(super) struct Account {
    /// Its quota.
    pub quota: Quota,
    /// Version of the configuration that told the quota.
    pub version: u64,
    /// Units that may be spent on any request; below zero: a debt, and what was granted
    /// ahead.
    balance: f64,
    /// Units that only requests may spend that are not urgent.
    kept: f64,
    /// Time since one of these asked; `None`: none did.
    since_others: Option<Duration>,
    /// Units that were refused and may be asked for once more.
    refused: f64,
    /// Mean cost of the requests.
    mean_cost: f64,
    /// Refused requests that may ask again, the last of each reach.
    returning: Returning,
    /// Mean time for which urgent requests can wait, in seconds; `None`: none asked yet.
    urgent_patience_s: Option<f64>,
}

impl Account {
    /// An account without a balance.
    pub(super) fn new(quota: Quota, version: u64) -> Self {
        Account {
            quota,
            version,
            balance: 0.0,
            kept: 0.0,
            since_others: None,
            refused: 0.0,
            mean_cost: 0.0,
            returning: Returning::default(),
            urgent_patience_s: None,
        }
    }

    /// Units that may be spent, on any request and on those that are not urgent.
    pub(super) fn balance(&self) -> f64 {
        self.balance + self.kept
    }

    /// What is saved is given up; a debt stays.
    pub(super) fn drop_savings(&mut self) {
        self.balance = self.balance.min(0.0);
        self.kept = 0.0;
        self.refused = 0.0;
        self.returning = Returning::default();
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
        self.kept = self.kept.min(bounds.most_saved * MOST_KEPT_PART);
        self.balance = self.balance.min(bounds.most_saved - self.kept);
    }

    /// Units that are kept at most for requests that are not urgent.
    fn most_kept(&self, bounds: &AccountBounds) -> f64 {
        let is_wanted = self.since_others.is_some_and(|since| since < bounds.window);
        if !is_wanted {
            return 0.0;
        }
        (self.mean_cost * KEPT_REQUESTS).min(bounds.most_saved * MOST_KEPT_PART)
    }

    /// Time passed. What is above the most, as after a node left, is neither added to nor
    /// taken.
    pub(super) fn gain(&mut self, elapsed: Duration, bounds: &AccountBounds) {
        let income = bounds.income_per_s * elapsed.as_secs_f64();
        self.since_others = self.since_others.map(|since| since + elapsed);
        self.returning.pass(elapsed);
        let most_kept = self.most_kept(bounds);
        let unwanted = (self.kept - most_kept).max(0.0);
        let keeps = (income * KEPT_PART).min((most_kept - self.kept).max(0.0));
        self.kept += keeps - unwanted;
        self.save(income - keeps + unwanted, bounds);
        self.refused = (self.refused - income).max(0.0);
        self.refused *= (-elapsed.as_secs_f64() / REFUSED_MEMORY_S).exp();
    }

    fn save(&mut self, units: f64, bounds: &AccountBounds) {
        let most = (bounds.most_saved - self.kept).max(0.0);
        self.balance = (self.balance + units).min(most.max(self.balance));
    }

    /// A request wants to run.
    pub(super) fn ask(&mut self, want: Want, bounds: &AccountBounds) -> Ruling {
        let cost = want.cost as f64;
        self.note_asked(&want);
        let ahead = want.patience.min(self.most_ahead(want.is_urgent, bounds));
        let left_to_others = self.returning.most_before(ahead);
        if !want.is_urgent && self.pay_with_kept(cost, left_to_others, bounds) {
            return Ruling::Granted {
                after: Duration::ZERO,
            };
        }
        let missing = cost - bounds.debt - self.balance;
        let left_to_others = left_to_others.min(self.most_left(cost, bounds));
        if bounds.time_to_gain(missing + left_to_others) <= ahead {
            self.balance -= cost;
            return Ruling::Granted {
                after: bounds.time_to_gain(missing),
            };
        }
        let again_after = bounds.time_to_gain(missing + self.refused);
        self.refused += cost;
        self.returning.note(ahead, cost, again_after);
        Ruling::Refused {
            again_after,
            balance: self.balance(),
        }
    }

    /// A request came, whatever becomes of it.
    fn note_asked(&mut self, want: &Want) {
        self.mean_cost += (want.cost as f64 - self.mean_cost) / MEAN_OVER;
        if !want.is_urgent {
            self.since_others = Some(Duration::ZERO);
            return;
        }
        let patience_s = want.patience.min(MOST_AHEAD).as_secs_f64();
        let mean_s = self.urgent_patience_s.get_or_insert(patience_s);
        *mean_s += (patience_s - *mean_s) / MEAN_OVER;
    }

    /// Units that a request can leave and still be granted when all is saved.
    fn most_left(&self, cost: f64, bounds: &AccountBounds) -> f64 {
        (bounds.most_saved - self.kept + bounds.debt - cost).max(0.0)
    }

    /// Longest time for which an urgent request, or another one, is granted ahead.
    fn most_ahead(&self, is_urgent: bool, bounds: &AccountBounds) -> Duration {
        let most = MOST_AHEAD.min(bounds.window / 2);
        match self.urgent_patience_s {
            Some(patience_s) if !is_urgent => most.min(Duration::from_secs_f64(patience_s) / OTHERS_AHEAD),
            _ => most,
        }
    }

    /// Pays now, with what is kept as far as the balance falls short that is not left to
    /// others; false if both do not suffice.
    fn pay_with_kept(&mut self, cost: f64, left_to_others: f64, bounds: &AccountBounds) -> bool {
        let free = self.balance + bounds.debt - left_to_others;
        let from_balance = free.clamp(0.0, cost);
        let from_kept = cost - from_balance;
        if from_kept > self.kept {
            return false;
        }
        self.balance -= from_balance;
        self.kept -= from_kept;
        true
    }

    /// So much was granted ahead by another keeper, and runs while this one rules.
    pub(super) fn owe(&mut self, cost: u64) {
        self.balance -= cost as f64;
    }

    /// A request that was granted did not run. What is more than can be saved is lost: it
    /// would else be spent together with what came in meanwhile.
    pub(super) fn give_back(&mut self, cost: u64, bounds: &AccountBounds) {
        self.save(cost as f64, bounds);
    }
}
