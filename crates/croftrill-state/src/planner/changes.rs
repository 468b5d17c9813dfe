//! Gathers the placements of all models that a plan concerns, and turns them into
//! steps, actions and warnings.

use super::placing::{ModelPlacement, Placer};
use super::{EngineFacts, PlanAction, PlannedChange};
use crate::configuration::Model;
use crate::engine_owners;
use crate::entry::{Intent, PlacementStep};
use crate::identifiers::{EngineId, ModelId, NodeId};
use crate::placement::{Assignment, AssignmentState, Lifecycle, Residency};
use crate::ClusterState;
use std::collections::BTreeMap;

/// Pressure on an engine's memory from which on the operator is warned, in
/// thousandths: its on-demand replicas would need this many times what is free.
const WARNING_PRESSURE: u64 = 4000;

/// Plans the intents; `wanted` is the state with the intents applied.
pub(super) fn plan_intents(
    before: &ClusterState,
    wanted: &ClusterState,
    facts: &EngineFacts,
    intents: &[Intent],
) -> PlannedChange {
    let mut planning = Planning::new(before, wanted, facts);
    for model in concerned_models(before, intents) {
        planning.place(&model);
    }
    for intent in intents {
        if let Intent::DrainNode(node) = intent {
            planning.reassign_engines(node);
        }
    }
    planning.finish()
}

/// Models whose placement the intents may change, in order.
fn concerned_models(before: &ClusterState, intents: &[Intent]) -> Vec<ModelId> {
    let mut models: Vec<ModelId> = Vec::new();
    for intent in intents {
        let concerned: Vec<ModelId> = match intent {
            Intent::PutModel(model) => vec![model.id.clone()],
            Intent::DeleteModel(id) => vec![id.clone()],
            Intent::DrainEngine(engine) => before
                .assignments_on_engine(engine)
                .map(|assignment| assignment.model.clone())
                .collect(),
            _ => vec![],
        };
        for model in concerned {
            if !models.contains(&model) {
                models.push(model);
            }
        }
    }
    models
}

struct Planning<'a> {
    before: &'a ClusterState,
    wanted: &'a ClusterState,
    facts: &'a EngineFacts,
    placer: Placer<'a>,
    releases: Vec<PlacementStep>,
    assigns: Vec<PlacementStep>,
    owners: Vec<PlacementStep>,
    actions: Vec<PlanAction>,
    warnings: Vec<String>,
}

impl<'a> Planning<'a> {
    fn new(before: &'a ClusterState, wanted: &'a ClusterState, facts: &'a EngineFacts) -> Self {
        Self {
            before,
            wanted,
            facts,
            placer: Placer::new(before, wanted, facts),
            releases: Vec::new(),
            assigns: Vec::new(),
            owners: Vec::new(),
            actions: Vec::new(),
            warnings: Vec::new(),
        }
    }

    fn place(&mut self, id: &ModelId) {
        let Some(model) = self.wanted.models.get(id).map(|found| &found.value) else {
            return;
        };
        let placement = if self.wanted.is_retiring(id) {
            self.placer.release_all(model)
        } else {
            self.placer.place(model)
        };
        self.warn(model, &placement);
        self.describe_actions(model, &placement);
        self.add_steps(placement);
    }

    fn add_steps(&mut self, placement: ModelPlacement) {
        for assignment in placement.released {
            self.releases.push(PlacementStep::Release {
                model: assignment.model,
                engine: assignment.engine,
            });
        }
        for assignment in placement.converted.into_iter().chain(placement.added) {
            self.assigns.push(PlacementStep::Assign { assignment });
        }
    }

    fn describe_actions(&mut self, model: &Model, placement: &ModelPlacement) {
        if self.must_reload(model) {
            let residents = placement.kept.iter().filter(|a| is_resident(a));
            let reloads: Vec<PlanAction> = residents.map(|a| self.start(model, a)).collect();
            self.actions.extend(reloads);
        }
        for assignment in &placement.converted {
            let action = self.start(model, assignment);
            self.actions.push(action);
        }
        let moves = placement.released.len().min(placement.added.len());
        for (from, to) in placement.released.iter().zip(&placement.added) {
            let action = self.relocate(model, from, to);
            self.actions.push(action);
        }
        for assignment in &placement.released[moves..] {
            let action = self.stop(assignment);
            self.actions.push(action);
        }
        for assignment in &placement.added[moves..] {
            let action = self.start(model, assignment);
            self.actions.push(action);
        }
    }

    /// Whether loaded replicas hold something else than the model's record says.
    fn must_reload(&self, model: &Model) -> bool {
        let before = self.before.models.get(&model.id).map(|found| &found.value);
        before.is_some_and(|before| {
            before.version != model.version
                || before.memory_mib_per_accelerator != model.memory_mib_per_accelerator
        })
    }

    fn start(&self, model: &Model, assignment: &Assignment) -> PlanAction {
        if is_resident(assignment) {
            return PlanAction::Load {
                model: model.id.clone(),
                engine: assignment.engine.clone(),
                memory_mib: replica_mib(model),
                expected_millis: self.load_millis(model, &assignment.engine),
            };
        }
        PlanAction::Allow {
            model: model.id.clone(),
            engine: assignment.engine.clone(),
            memory_mib: replica_mib(model),
        }
    }

    fn relocate(&self, model: &Model, from: &Assignment, to: &Assignment) -> PlanAction {
        PlanAction::Move {
            model: model.id.clone(),
            from: from.engine.clone(),
            to: to.engine.clone(),
            memory_mib: replica_mib(model),
            expected_millis: self.load_millis(model, &to.engine),
        }
    }

    fn stop(&self, assignment: &Assignment) -> PlanAction {
        let before = self.before.models.get(&assignment.model);
        PlanAction::Stop {
            model: assignment.model.clone(),
            engine: assignment.engine.clone(),
            memory_mib: before.map_or(0, |found| replica_mib(&found.value)),
        }
    }

    fn load_millis(&self, model: &Model, engine: &EngineId) -> u64 {
        self.facts
            .expected_load_millis(engine, &model.id, model.checkpoint_mib)
    }

    fn warn(&mut self, model: &Model, placement: &ModelPlacement) {
        let id = &model.id;
        if placement.missing_residents > 0 {
            self.warnings.push(format!(
                "model {id}: no room to keep {} of its {} replicas loaded",
                placement.missing_residents, model.min_replicas
            ));
        }
        if placement.missing_replicas > 0 {
            self.warnings.push(format!(
                "model {id}: no engine for {} of at most {} replicas",
                placement.missing_replicas, model.max_replicas
            ));
        }
        if placement.missing_replicas == model.max_replicas {
            self.warnings.push(format!(
                "model {id}: fits on no engine now; its requests will be refused"
            ));
        }
        for assignment in &placement.added {
            if let AssignmentState::WaitingFor { engine } = &assignment.state {
                self.warnings.push(format!(
                    "model {id}: the replica on engine {} starts after engine {engine} released its own",
                    assignment.engine
                ));
            }
        }
    }

    /// Gives the engines of a drained node to other nodes.
    fn reassign_engines(&mut self, leaving: &NodeId) {
        let nodes = self.wanted.nodes.values().map(|found| &found.value);
        let engines = self.wanted.engines.values().map(|found| &found.value);
        let live = nodes.filter(|node| node.lifecycle == Lifecycle::Live);
        let mut candidates = engine_owners::candidates(live, engines);
        let owned = self.wanted.engines.values().map(|found| &found.value);
        for engine in owned.filter(|engine| engine.owner.as_ref() == Some(leaving)) {
            let Some(owner) = engine_owners::choose_owner(&mut candidates, engine) else {
                self.warnings.push(format!(
                    "engine {}: no other live node can own it; its models will not be served",
                    engine.id
                ));
                continue;
            };
            self.actions.push(PlanAction::ChangeOwner {
                engine: engine.id.clone(),
                owner: owner.clone(),
            });
            self.owners.push(PlacementStep::SetOwner {
                engine: engine.id.clone(),
                owner,
            });
        }
    }

    fn finish(mut self) -> PlannedChange {
        self.warn_of_pressure();
        let mut steps = self.releases;
        steps.extend(self.assigns);
        steps.extend(self.owners);
        PlannedChange {
            steps,
            actions: self.actions,
            warnings: self.warnings,
        }
    }

    /// Warns of crowded engines that this plan adds to.
    fn warn_of_pressure(&mut self) {
        let pressures: BTreeMap<&EngineId, u64> = self.placer.pressures().collect();
        for step in &self.assigns {
            let PlacementStep::Assign { assignment } = step else {
                continue;
            };
            let pressure = pressures.get(&assignment.engine).copied().unwrap_or(0);
            if pressure >= WARNING_PRESSURE {
                self.warnings.push(format!(
                    "engine {}: its on-demand models need {}.{} times the memory that is free for them",
                    assignment.engine,
                    pressure / 1000,
                    pressure % 1000 / 100
                ));
            }
        }
    }
}

fn is_resident(assignment: &Assignment) -> bool {
    assignment.residency != Residency::OnDemand
}

fn replica_mib(model: &Model) -> u64 {
    model
        .memory_mib_per_accelerator
        .saturating_mul(u64::from(model.accelerators))
}
