//! One node of the simulated fleet: its process, and its view of the store's list.

use std::collections::BTreeSet;
use std::time::Duration;

use croftrill_scheduler::fleet_share::{FleetShare, FleetShareConfig};
use croftrill_scheduler::retry_budget::{RetryBudget, RetryBudgetConfig, SEND_DELAY_ALLOWANCE};
use croftrill_scheduler::time::Moment;

use super::fleet::{LEASE_MS, RATIO, SLACK, WINDOW_MS};

const SERVICE: &str = "llm";

fn at(millis: u64) -> Moment {
    Moment::from_start(Duration::from_millis(3_600_000 + millis))
}

/// What a node keeps in memory.
pub struct Process {
    budget: RetryBudget,
    fleet_share: FleetShare,
}

/// A node, whether its process runs or not.
pub struct Node {
    pub name: String,
    pub process: Option<Process>,
    /// Time at which the process starts; `None` if it never does.
    pub starts_at: Option<u64>,
    pub frozen_until: u64,
    pub refused_until: u64,
    pub cut_until: u64,
    pub renew_at: u64,
    pub update_at: u64,
    pub view: BTreeSet<String>,
    pub weight: f64,
}

impl Node {
    /// Returns whether its process runs and does not stand still.
    pub fn is_running(&self, now: u64) -> bool {
        self.process.is_some() && self.frozen_until <= now
    }

    /// Gives the node a view of the store that is complete at `now`.
    pub fn observe(&mut self, listed: BTreeSet<String>, now: u64) {
        let Some(process) = &mut self.process else {
            return;
        };
        for gone in self.view.difference(&listed) {
            process.fleet_share.record_gone(gone, at(now));
        }
        for name in listed.difference(&self.view) {
            process.fleet_share.record_listed(name);
        }
        if listed.contains(&self.name) {
            process.fleet_share.record_confirmed(at(now));
        }
        self.view = listed;
    }

    /// Records that a request arrived.
    pub fn record_request(&mut self, now: u64) {
        if let Some(process) = &mut self.process {
            process.budget.record_request(&SERVICE.into(), at(now));
        }
    }

    /// Returns whether the node's budget grants a retry.
    pub fn takes_retry(&mut self, now: u64) -> bool {
        let Some(process) = &mut self.process else {
            return false;
        };
        let share = process.fleet_share.share(self.view.len(), at(now));
        process.budget.take(&SERVICE.into(), share, at(now)).is_granted
    }
}

impl Process {
    /// Starts a process that uses the fraction `safety` of the budget.
    pub fn start(name: &str, safety: f64, is_first_start: bool) -> Self {
        let budget_config = RetryBudgetConfig {
            ratio: RATIO,
            slack: SLACK,
            window: Duration::from_millis(WINDOW_MS),
            safety,
        };
        let share_config = FleetShareConfig {
            confirmation_lifetime: Duration::from_millis(LEASE_MS),
            window: Duration::from_millis(WINDOW_MS) + SEND_DELAY_ALLOWANCE,
        };
        Process {
            budget: RetryBudget::new(budget_config, name),
            fleet_share: FleetShare::new(share_config, is_first_start),
        }
    }
}
