//! The keeper of one part: of quotas or of limits.

use std::collections::HashMap;
use std::sync::Arc;

use croftrill_scheduler::quota::keeper::{KeeperConfig, QuotaKeeper};
use croftrill_scheduler::quota::keepers::QuotaPartition;
use croftrill_scheduler::quota::limits::LimitKeeper;
use croftrill_scheduler::time::Moment;

/// A node's own keeper of a part, whether or not others ask it.
pub(super) enum PartKeeper {
    /// Of tenants' quotas.
    Quotas(QuotaKeeper),
    /// Of replicas' limits.
    Limits(LimitKeeper),
}

impl PartKeeper {
    pub(super) fn new(part: QuotaPartition, config: KeeperConfig, now: Moment) -> Self {
        if part.covers_replicas() {
            PartKeeper::Limits(LimitKeeper::new())
        } else {
            PartKeeper::Quotas(QuotaKeeper::new(config, now))
        }
    }

    /// Of quotas, the part that belongs to the listeners. A limit is kept whole.
    pub(super) fn share(&self) -> f64 {
        match self {
            PartKeeper::Quotas(keeper) => keeper.share(),
            PartKeeper::Limits(_) => 1.0,
        }
    }

    /// So many nodes listen now. Limits do not go by it: only nodes that were told of one
    /// ask.
    pub(super) fn set_listeners(&mut self, listeners: usize, now: Moment) {
        if let PartKeeper::Quotas(keeper) = self {
            keeper.set_listeners(listeners, now);
        }
    }

    /// So much was granted by another keeper and is still to run.
    pub(super) fn carry(&mut self, subject: &str, cost: u64, now: Moment) {
        match self {
            PartKeeper::Quotas(keeper) => keeper.carry(subject, cost, now),
            PartKeeper::Limits(keeper) => keeper.carry(subject, cost, now),
        }
    }

    /// What was granted was not used.
    pub(super) fn refund(&mut self, subject: &str, cost: u64, now: Moment) {
        match self {
            PartKeeper::Quotas(keeper) => keeper.refund(subject, cost, now),
            PartKeeper::Limits(keeper) => keeper.refund(subject, now),
        }
    }

    /// Balance of each tenant, in units.
    pub(super) fn balances(&self) -> HashMap<Arc<str>, f64> {
        match self {
            PartKeeper::Quotas(keeper) => keeper
                .balances()
                .map(|(name, balance)| (name.clone(), balance))
                .collect(),
            PartKeeper::Limits(_) => HashMap::new(),
        }
    }
}
