//! Runs several policies on one workload.

use crate::identifiers::SECOND;
use crate::measurement::Measurement;
use crate::policy::{Croftrill, CroftrillConfig, OnDemandLru, StaticPlacement};
use crate::scenario::Scenario;
use crate::simulation::{simulate, Progress};
use crate::workload::Workload;
use anyhow::{Context, Result};
use serde::Deserialize;

const POLICIES: &str = include_str!("../workloads/policies.toml");

/// A policy and its settings.
#[derive(Clone, Debug, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum PolicySpec {
    /// Load at the first router, evict the least recently used.
    OnDemandLru,
    /// Place once.
    StaticPlacement,
    /// The policy of croftrill.
    Croftrill(CroftrillConfig),
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct PolicyFile {
    policies: Vec<PolicySpec>,
}

impl PolicySpec {
    /// The policies of `workloads/policies.toml`.
    pub fn built_in() -> Result<Vec<Self>> {
        Self::parse(POLICIES)
    }

    /// Policies from TOML.
    pub fn parse(text: &str) -> Result<Vec<Self>> {
        let file: PolicyFile = toml_edit::de::from_str(text).context("the policies cannot be read")?;
        Ok(file.policies)
    }

    /// Its name on the command line and in reports.
    pub fn name(&self) -> &str {
        match self {
            PolicySpec::OnDemandLru => "on-demand-lru",
            PolicySpec::StaticPlacement => "static-placement",
            PolicySpec::Croftrill(config) => &config.name,
        }
    }
}

/// Runs one policy.
pub fn run_policy(
    policy: &PolicySpec,
    scenario: &Scenario,
    workload: &Workload,
    progress: Progress<'_>,
) -> Measurement {
    let engines = scenario.places.engines;
    match policy {
        PolicySpec::OnDemandLru => simulate(scenario, workload, OnDemandLru::new(engines), progress),
        PolicySpec::StaticPlacement => simulate(scenario, workload, StaticPlacement::new(engines), progress),
        PolicySpec::Croftrill(config) => {
            simulate(scenario, workload, Croftrill::new(config.clone()), progress)
        }
    }
}

/// Generates the workload of a seed.
pub fn workload(scenario: &Scenario, seed: u64, duration_seconds: u64) -> Workload {
    Workload::generate(scenario, seed, duration_seconds * SECOND)
}
