//! Tenant balances on the node that keeps them.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use super::account::{Account, AccountBounds};
pub use super::decision::{KeeperConfig, QuotaRequest, ReservationDecision};
use crate::tenants::{Quota, Tenant};
use crate::time::Moment;

/// How long a node still counts as listed after it was last seen. A machine whose entry the store
/// lost may continue with a keeper and listeners of its own. Exceeds the longest known partition
/// (12 s) plus the lease that an entry still has.
const LISTED_RETENTION: Duration = Duration::from_secs(20);

/// The balances of the tenants of one partition.
///
/// Invariant: while its share is `share`, the fraction of the listed nodes that listen to it,
/// this keeper grants a tenant at most `share` x (`income` x `t` + `savings` + `debt`) in any time
/// `t`. A new keeper starts without a balance. So where `k` keepers start within a window, a
/// tenant gets at most `window_allowance` + (`k` + 1) x `debt` in that window. For a node that
/// becomes silent, `share` counts twice until its old keeper notices. A request granted ahead
/// counts at the time it may run, at the keeper that its node listens to then
/// ([`QuotaKeeper::carry`]).
#[derive(Debug)]
pub struct QuotaKeeper {
    config: KeeperConfig,
    accounts: HashMap<Arc<str>, Account>,
    /// Number of nodes that listen to this keeper.
    listeners: usize,
    /// Numbers of listed nodes, with the time each was last observed.
    listed: Vec<(Moment, usize)>,
    settled_at: Moment,
    /// When the last listener left.
    idle_since: Option<Moment>,
}

impl QuotaKeeper {
    /// Creates a keeper without listeners.
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

    /// Returns the fraction of each quota that belongs to the listeners. It uses the highest
    /// recent number of listed nodes, since entries of live nodes expire while the store is
    /// unavailable.
    pub fn share(&self) -> f64 {
        let listed = self.listed.iter().map(|(_, count)| *count).max();
        self.listeners as f64 / listed.unwrap_or(1).max(self.listeners).max(1) as f64
    }

    /// Sets the number of listening nodes.
    pub fn set_listeners(&mut self, listeners: usize, now: Moment) {
        self.settle(now);
        let previous = std::mem::replace(&mut self.listeners, listeners);
        match (previous, listeners) {
            (1.., 0) => self.idle_since = Some(now),
            (0, 1..) => self.resume(now),
            _ => {}
        }
    }

    /// Handles the arrival of the first listener. Nodes may have spent their savings at another
    /// keeper, so savings are dropped and only debts remain, for one window.
    fn resume(&mut self, now: Moment) {
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

    /// Sets the number of listed nodes.
    pub fn set_listed_nodes(&mut self, nodes: usize, now: Moment) {
        self.settle(now);
        self.listed
            .retain(|(seen, _)| now.since(*seen) <= LISTED_RETENTION);
        match self.listed.last_mut() {
            Some((seen, count)) if *count == nodes => *seen = now,
            _ => self.listed.push((now, nodes)),
        }
    }

    /// Applies a tenant's quota as of a version of the configuration.
    pub fn update_quota(&mut self, name: &Arc<str>, quota: Quota, version: u64, now: Moment) {
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

    /// Applies the quotas of all tenants as of a version of the configuration.
    pub fn update_quotas<'a>(
        &mut self,
        tenants: impl Iterator<Item = &'a Tenant>,
        version: u64,
        now: Moment,
    ) {
        for tenant in tenants {
            if let Some(quota) = tenant.quota {
                self.update_quota(&tenant.name, quota, version, now);
            }
        }
    }

    /// Decides on a request of a tenant. A request that the balance can pay for within its
    /// patience is granted ahead: a wait of tens of milliseconds serves the caller better than a
    /// refusal, after which it would retry against the same balance.
    pub fn reserve(&mut self, name: &str, request: QuotaRequest, now: Moment) -> ReservationDecision {
        self.settle(now);
        let share = self.share();
        let Some(account) = self.accounts.get_mut(name) else {
            return ReservationDecision::Granted {
                after: Duration::ZERO,
            };
        };
        let bounds = AccountBounds::new(&self.config, &account.quota, share);
        account.reserve(request, &bounds)
    }

    /// Charges units that another keeper granted ahead to a listener that has moved here, since
    /// they are used while this keeper is in charge.
    pub fn carry(&mut self, name: &str, cost: u64, now: Moment) {
        self.settle(now);
        if let Some(account) = self.accounts.get_mut(name) {
            account.charge(cost);
        }
    }

    /// Returns the units of a granted request that did not run.
    pub fn refund(&mut self, name: &str, cost: u64, now: Moment) {
        self.settle(now);
        let share = self.share();
        if let Some(account) = self.accounts.get_mut(name) {
            let bounds = AccountBounds::new(&self.config, &account.quota, share);
            account.refund(cost, &bounds);
        }
    }

    /// Returns the balance of each tenant, in units.
    pub fn balances(&self) -> impl Iterator<Item = (&Arc<str>, f64)> {
        self.accounts
            .iter()
            .map(|(name, account)| (name, account.balance()))
    }

    /// Brings all balances up to date.
    fn settle(&mut self, now: Moment) {
        let elapsed = now.since(self.settled_at);
        self.settled_at = self.settled_at.max(now);
        let share = self.share();
        for account in self.accounts.values_mut() {
            let bounds = AccountBounds::new(&self.config, &account.quota, share);
            account.accrue(elapsed, &bounds);
        }
    }
}
