//! Turns operators' intents into a plan: which replicas to load, allow, move
//! and stop.
//!
//! A pure solver: it reads a [`ClusterState`] and proposes steps; nothing here
//! applies them. Invariants:
//! - the same inputs always give the same plan;
//! - a plan passes [`ClusterState::after`] at the revision it was made from;
//! - every problem of the intents is found and reported together.

mod changes;
mod placing;
mod validation;

use crate::entry::{Change, Intent, LogEntry, PlacementStep};
use crate::identifiers::{EngineId, EntryId, ModelId, NodeId, PlanId, Term};
use crate::ClusterState;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use thiserror::Error;

/// Checkpoints that an engine's machine holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineCache {
    /// In the machine's memory.
    pub in_memory: BTreeSet<ModelId>,
    /// On the machine's disk.
    pub on_disk: BTreeSet<ModelId>,
}

/// Where a load would read its checkpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CacheLevel {
    /// The machine's memory.
    Memory,
    /// The machine's disk.
    Disk,
    /// The weight store.
    Remote,
}

/// Expected speeds of loads, in MiB a second.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadSpeeds {
    /// From the machine's memory.
    pub memory: u64,
    /// From the machine's disk.
    pub disk: u64,
    /// From the weight store.
    pub remote: u64,
}

impl Default for LoadSpeeds {
    fn default() -> Self {
        Self {
            memory: 16_000,
            disk: 2_500,
            remote: 1_000,
        }
    }
}

/// What is known of the engines beside the log. May be empty: it improves
/// plans and is needed by none.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineFacts {
    /// Cached checkpoints.
    pub caches: BTreeMap<EngineId, EngineCache>,
    /// Expected speeds.
    pub speeds: LoadSpeeds,
}

impl EngineFacts {
    /// The fastest place from which an engine would load a model.
    pub fn cache_level(&self, engine: &EngineId, model: &ModelId) -> CacheLevel {
        let Some(cache) = self.caches.get(engine) else {
            return CacheLevel::Remote;
        };
        if cache.in_memory.contains(model) {
            return CacheLevel::Memory;
        }
        if cache.on_disk.contains(model) {
            return CacheLevel::Disk;
        }
        CacheLevel::Remote
    }

    /// Expected time of a load, in milliseconds.
    pub fn expected_load_millis(&self, engine: &EngineId, model: &ModelId, checkpoint_mib: u64) -> u64 {
        let speed = match self.cache_level(engine, model) {
            CacheLevel::Memory => self.speeds.memory,
            CacheLevel::Disk => self.speeds.disk,
            CacheLevel::Remote => self.speeds.remote,
        };
        checkpoint_mib.saturating_mul(1000) / speed.max(1)
    }
}

/// What a plan does to one replica or owner, for people to read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "action")]
pub enum PlanAction {
    /// A replica is loaded and kept.
    Load {
        /// The model.
        model: ModelId,
        /// The engine.
        engine: EngineId,
        /// Memory on all its accelerators, in MiB.
        memory_mib: u64,
        /// Expected time, in milliseconds.
        expected_millis: u64,
    },
    /// A replica may be loaded there when asked for.
    Allow {
        /// The model.
        model: ModelId,
        /// The engine.
        engine: EngineId,
        /// Memory on all its accelerators when loaded, in MiB.
        memory_mib: u64,
    },
    /// A replica moves.
    Move {
        /// The model.
        model: ModelId,
        /// From this engine.
        from: EngineId,
        /// To this engine.
        to: EngineId,
        /// Memory on all its accelerators, in MiB.
        memory_mib: u64,
        /// Expected time, in milliseconds.
        expected_millis: u64,
    },
    /// A replica is drained and unloaded.
    Stop {
        /// The model.
        model: ModelId,
        /// The engine.
        engine: EngineId,
        /// Memory given back, in MiB.
        memory_mib: u64,
    },
    /// The queue of an engine moves to another node.
    ChangeOwner {
        /// The engine.
        engine: EngineId,
        /// The new owner.
        owner: NodeId,
    },
}

/// What the solver proposes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PlannedChange {
    /// Changes of placement, in order.
    pub steps: Vec<PlacementStep>,
    /// The same for people to read.
    pub actions: Vec<PlanAction>,
    /// What the operator should know.
    pub warnings: Vec<String>,
}

/// One problem of the intents.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlanFinding {
    /// Kind and name of the object.
    pub object: String,
    /// What is wrong with it.
    pub problem: String,
}

impl fmt::Display for PlanFinding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.object, self.problem)
    }
}

/// The intents cannot be planned; every finding.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{}", join(findings))]
pub struct PlanError {
    /// What was found, in the order of the intents.
    pub findings: Vec<PlanFinding>,
}

fn join(findings: &[PlanFinding]) -> String {
    let lines: Vec<String> = findings.iter().map(PlanFinding::to_string).collect();
    lines.join("; ")
}

impl PlanError {
    fn single(object: &str, problem: impl Into<String>) -> Self {
        let finding = PlanFinding {
            object: object.to_string(),
            problem: problem.into(),
        };
        Self {
            findings: vec![finding],
        }
    }
}

/// Plans intents on a state.
pub fn plan(
    state: &ClusterState,
    facts: &EngineFacts,
    intents: &[Intent],
) -> Result<PlannedChange, PlanError> {
    validation::validate(state, intents)?;
    let wanted = state
        .with_intents(intents)
        .map_err(|error| PlanError::single("intents", error.to_string()))?;
    let planned = changes::plan_intents(state, &wanted, facts, intents);
    require_applicable(state, intents, &planned)?;
    Ok(planned)
}

/// What is offered would also be accepted: a fault of the solver is found here
/// and not by an operator who confirms the plan.
fn require_applicable(
    state: &ClusterState,
    intents: &[Intent],
    planned: &PlannedChange,
) -> Result<(), PlanError> {
    let entry = LogEntry {
        revision: state.revision.next(),
        entry_id: EntryId(0),
        author: NodeId::default(),
        term: Term(0),
        change: Change::ConfirmPlan {
            plan: PlanId::default(),
            base: state.revision,
            intents: intents.to_vec(),
            steps: planned.steps.clone(),
        },
    };
    match state.after(&entry) {
        Ok(_) => Ok(()),
        Err(error) => Err(PlanError::single("plan", error.to_string())),
    }
}
