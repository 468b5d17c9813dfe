//! Runs several policies on one workload.

use crate::identifiers::SECOND;
use crate::measurement::Measurement;
use crate::policy::{OnDemandLru, StaticPlacement};
use crate::scenario::Scenario;
use crate::simulation::{simulate, Progress};
use crate::workload::Workload;

/// A policy that can be run by name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PolicyKind {
    /// Load at the first router, evict the least recently used.
    OnDemandLru,
    /// Place once.
    StaticPlacement,
}

impl PolicyKind {
    /// Every policy, baselines first.
    pub const ALL: [PolicyKind; 2] = [PolicyKind::OnDemandLru, PolicyKind::StaticPlacement];

    /// Its name on the command line and in reports.
    pub fn name(self) -> &'static str {
        match self {
            PolicyKind::OnDemandLru => "on-demand-lru",
            PolicyKind::StaticPlacement => "static-placement",
        }
    }

    /// The policy of that name.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|kind| kind.name() == name)
    }
}

/// Runs one policy.
pub fn run_policy(
    kind: PolicyKind,
    scenario: &Scenario,
    workload: &Workload,
    progress: Progress<'_>,
) -> Measurement {
    let engines = scenario.places.engines;
    match kind {
        PolicyKind::OnDemandLru => simulate(scenario, workload, OnDemandLru::new(engines), progress),
        PolicyKind::StaticPlacement => simulate(scenario, workload, StaticPlacement::new(engines), progress),
    }
}

/// Generates the workload of a seed.
pub fn workload(scenario: &Scenario, seed: u64, duration_seconds: u64) -> Workload {
    Workload::generate(scenario, seed, duration_seconds * SECOND)
}
