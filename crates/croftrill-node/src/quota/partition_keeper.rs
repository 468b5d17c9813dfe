//! The keeper of one partition, of quotas or of limits.

use std::collections::HashMap;
use std::sync::Arc;

use croftrill_scheduler::quota::keeper::{KeeperConfig, QuotaKeeper};
use croftrill_scheduler::quota::keepers::QuotaPartition;
use croftrill_scheduler::quota::limits::LimitKeeper;
use croftrill_scheduler::time::Moment;

/// A node's own keeper of a partition, whether or not other nodes use it.
pub(super) enum PartitionKeeper {
    /// Keeper of tenants' quotas.
    Quotas(QuotaKeeper),
    /// Keeper of replicas' limits.
    Limits(LimitKeeper),
}

impl PartitionKeeper {
    pub(super) fn new(partition: QuotaPartition, config: KeeperConfig, now: Moment) -> Self {
        if partition.covers_replicas() {
            PartitionKeeper::Limits(LimitKeeper::new())
        } else {
            PartitionKeeper::Quotas(QuotaKeeper::new(config, now))
        }
    }

    /// Returns the fraction of the quotas that this keeper grants to its listeners. Limits are
    /// not divided.
    pub(super) fn share(&self) -> f64 {
        match self {
            PartitionKeeper::Quotas(keeper) => keeper.share(),
            PartitionKeeper::Limits(_) => 1.0,
        }
    }

    /// Sets the number of nodes that listen. Limits do not depend on it, as only nodes that
    /// received a limit query its keeper.
    pub(super) fn set_listeners(&mut self, listeners: usize, now: Moment) {
        if let PartitionKeeper::Quotas(keeper) = self {
            keeper.set_listeners(listeners, now);
        }
    }

    /// Records a cost that another keeper granted and that has not run yet.
    pub(super) fn carry(&mut self, subject: &str, cost: u64, now: Moment) {
        match self {
            PartitionKeeper::Quotas(keeper) => keeper.carry(subject, cost, now),
            PartitionKeeper::Limits(keeper) => keeper.carry(subject, cost, now),
        }
    }

    /// Takes back a granted cost that was not used.
    pub(super) fn refund(&mut self, subject: &str, cost: u64, now: Moment) {
        match self {
            PartitionKeeper::Quotas(keeper) => keeper.refund(subject, cost, now),
            PartitionKeeper::Limits(keeper) => keeper.refund(subject, now),
        }
    }

    /// Returns the balance of each tenant, in units.
    pub(super) fn balances(&self) -> HashMap<Arc<str>, f64> {
        match self {
            PartitionKeeper::Quotas(keeper) => keeper
                .balances()
                .map(|(name, balance)| (name.clone(), balance))
                .collect(),
            PartitionKeeper::Limits(_) => HashMap::new(),
        }
    }
}
