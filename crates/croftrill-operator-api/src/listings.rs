//! What a node knows, for people and programs to read.

use crate::OperatorApi;
use croftrill_protocol::operator::{EngineStatus, ModelListing, NodeStatus, Status};
use croftrill_state::configuration::{Adapter, Group};
use croftrill_state::placement::{Engine, Lifecycle, Node};
use croftrill_state::{ClusterState, EngineId, ModelId};
use std::collections::BTreeMap;

/// The whole system.
pub(crate) fn status(api: &OperatorApi) -> Status {
    let state = api.state.load();
    let coordinator = state.coordinators.get(&api.config.cell);
    let mut models = models_by_engine(&state);
    Status {
        node: api.config.node.to_string(),
        revision: state.revision,
        coordinator: coordinator.map(|found| found.node.to_string()),
        key_value_reachable: api.log.is_reachable(),
        nodes: state
            .nodes
            .values()
            .map(|found| node_status(&found.value))
            .collect(),
        engines: state
            .engines
            .values()
            .map(|found| {
                let held = models.remove(&found.value.id).unwrap_or_default();
                engine_status(&found.value, held)
            })
            .collect(),
    }
}

fn models_by_engine(state: &ClusterState) -> BTreeMap<EngineId, Vec<ModelId>> {
    let mut models: BTreeMap<EngineId, Vec<ModelId>> = BTreeMap::new();
    for assignment in state.all_assignments() {
        let held = models.entry(assignment.engine.clone()).or_default();
        held.push(assignment.model.clone());
    }
    models
}

fn node_status(node: &Node) -> NodeStatus {
    NodeStatus {
        node: node.id.to_string(),
        zone: node.zone.to_string(),
        cell: node.cell.to_string(),
        lifecycle: lifecycle(node.lifecycle),
    }
}

fn engine_status(engine: &Engine, models: Vec<ModelId>) -> EngineStatus {
    EngineStatus {
        engine: engine.id.clone(),
        zone: engine.zone.to_string(),
        owner: engine.owner.as_ref().map(ToString::to_string),
        lifecycle: lifecycle(engine.lifecycle),
        accelerator_memory_mib: engine.accelerator_memory_mib.clone(),
        models,
    }
}

fn lifecycle(lifecycle: Lifecycle) -> String {
    match lifecycle {
        Lifecycle::Live => "live".to_string(),
        Lifecycle::Leaving => "leaving".to_string(),
        Lifecycle::Stopping => "stopping".to_string(),
    }
}

/// Every group.
pub(crate) fn groups(api: &OperatorApi) -> Vec<Group> {
    let state = api.state.load();
    state.groups.values().map(|found| found.value.clone()).collect()
}

/// Every model with its assignments.
pub(crate) fn models(api: &OperatorApi) -> Vec<ModelListing> {
    let state = api.state.load();
    let models = state.models.values();
    models
        .map(|found| ModelListing {
            model: found.value.clone(),
            retiring: state.is_retiring(&found.value.id),
            assignments: state.assignments_of_model(&found.value.id).cloned().collect(),
        })
        .collect()
}

/// Every adapter.
pub(crate) fn adapters(api: &OperatorApi) -> Vec<Adapter> {
    let state = api.state.load();
    state.adapters.values().map(|found| found.value.clone()).collect()
}
