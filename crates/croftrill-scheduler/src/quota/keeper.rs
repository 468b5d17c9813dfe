//! The balances of tenants at the node that keeps them.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use super::account::{Account, AccountBounds};
pub use super::ruling::{KeeperConfig, Ruling, Want};
use crate::tenants::{Quota, Tenant};
use crate::time::Moment;

/// Time for which a node counts as listed after it was: a machine that the store lost
/// may go on, with a keeper and listeners of its own. Longer than any cut known (12 s)
/// and the lease that an entry has still.
const LISTED_MEMORY: Duration = Duration::from_secs(20);

/// The balances of the tenants of one part.
///
/// Invariant: in any time `t` it grants a tenant at most `share` x (`income` x `t` +
/// `saved` + `debt`), while `share` holds: the part of the listed nodes that listen
/// to it. A new keeper begins without a balance. So where `k` keepers begin within
/// a window, a tenant gets at most `spent_in_window` + (`k` + 1) x `debt` in it, and
/// for a node that fell silent `share` is counted twice until its old keeper notices.
/// A request granted ahead counts when it may run, at whichever keeper its node
/// listens to then ([`QuotaKeeper::carry`]).
#[derive(Debug)]
pub struct QuotaKeeper {
    config: KeeperConfig,
    accounts: HashMap<Arc<str>, Account>,
    /// Nodes that listen to this keeper.
    listeners: usize,
    /// Counts of the listed nodes, with when they were last seen.
    listed: Vec<(Moment, usize)>,
    settled_at: Moment,
    /// When the last listener left.
    idle_since: Option<Moment>,
}

impl QuotaKeeper {
    /// A keeper without listeners.
    pub fn new(config: KeeperConfig, now: Moment) -> Self {
        QuotaKeeper {
            config,
            accounts: HashMap::new(),
            listeners: 0,
            listed: Vec::new(),
            settled_at: now,
            idle_since: Some(now),
        }
    }

    /// Part of each quota that belongs to the listeners. Of the listed nodes the most of
    /// the last time count: entries of living nodes lapse while the store is away.
    pub fn share(&self) -> f64 {
        let listed = self.listed.iter().map(|(_, count)| *count).max();
        self.listeners as f64 / listed.unwrap_or(1).max(self.listeners).max(1) as f64
    }

    /// So many nodes listen now.
    pub fn set_listeners(&mut self, listeners: usize, now: Moment) {
        self.settle(now);
        let had = std::mem::replace(&mut self.listeners, listeners);
        match (had, listeners) {
            (1.., 0) => self.idle_since = Some(now),
            (0, 1..) => self.begin(now),
            _ => {}
        }
    }

    /// The first listener came: what it may have had elsewhere is not given twice,
    /// so only debts stay, and these for a window.
    fn begin(&mut self, now: Moment) {
        let idle = self.idle_since.take().map(|since| now.since(since));
        let is_forgotten = idle.is_some_and(|idle| idle > self.config.window);
        for account in self.accounts.values_mut() {
            if is_forgotten {
                account.clear();
            } else {
                account.drop_savings();
            }
        }
    }

    /// So many nodes are listed now.
    pub fn count_listed(&mut self, nodes: usize, now: Moment) {
        self.settle(now);
        self.listed.retain(|(seen, _)| now.since(*seen) <= LISTED_MEMORY);
        match self.listed.last_mut() {
            Some((seen, count)) if *count == nodes => *seen = now,
            _ => self.listed.push((now, nodes)),
        }
    }

    /// The quota of a tenant as a version of the configuration tells it.
    pub fn learn(&mut self, name: &Arc<str>, quota: Quota, version: u64, now: Moment) {
        let is_known = self
            .accounts
            .get(name)
            .is_some_and(|account| account.version >= version || account.quota == quota);
        if is_known {
            if let Some(account) = self.accounts.get_mut(name) {
                account.version = account.version.max(version);
            }
            return;
        }
        self.settle(now);
        let bounds = AccountBounds::new(&self.config, &quota, self.share());
        let account = self.accounts.entry(name.clone());
        let account = account.or_insert_with(|| Account::new(quota, version));
        account.set_quota(quota, version, &bounds);
    }

    /// The quotas of all tenants as a version of the configuration tells them.
    pub fn learn_all<'a>(&mut self, tenants: impl Iterator<Item = &'a Tenant>, version: u64, now: Moment) {
        for tenant in tenants {
            if let Some(quota) = tenant.quota {
                self.learn(&tenant.name, quota, version, now);
            }
        }
    }

    /// A request of a tenant wants to run. One that the balance will have paid for within
    /// its patience is granted ahead: a wait of some ten milliseconds serves
    /// its caller, where a refusal would have it come back to the same balance.
    pub fn ask(&mut self, name: &str, want: Want, now: Moment) -> Ruling {
        self.settle(now);
        let share = self.share();
        let Some(account) = self.accounts.get_mut(name) else {
            return Ruling::Granted {
                after: Duration::ZERO,
            };
        };
        let bounds = AccountBounds::new(&self.config, &account.quota, share);
        account.ask(want, &bounds)
    }

    /// A listener that came has so much granted ahead by another keeper: it runs while
    /// this one rules, and counts here.
    pub fn carry(&mut self, name: &str, cost: u64, now: Moment) {
        self.settle(now);
        if let Some(account) = self.accounts.get_mut(name) {
            account.owe(cost);
        }
    }

    /// A request that was granted did not run.
    pub fn give_back(&mut self, name: &str, cost: u64, now: Moment) {
        self.settle(now);
        let share = self.share();
        if let Some(account) = self.accounts.get_mut(name) {
            let bounds = AccountBounds::new(&self.config, &account.quota, share);
            account.give_back(cost, &bounds);
        }
    }

    /// Balance of each tenant, in units.
    pub fn balances(&self) -> impl Iterator<Item = (&Arc<str>, f64)> {
        self.accounts
            .iter()
            .map(|(name, account)| (name, account.balance()))
    }

    /// Brings all balances up to now.
    fn settle(&mut self, now: Moment) {
        let elapsed = now.since(self.settled_at);
        self.settled_at = self.settled_at.max(now);
        let share = self.share();
        for account in self.accounts.values_mut() {
            let bounds = AccountBounds::new(&self.config, &account.quota, share);
            account.gain(elapsed, &bounds);
        }
    }
}
