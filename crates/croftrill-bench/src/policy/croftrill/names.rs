//! Names of engines, models and groups, which the decision code uses in place
//! of the emulator's indexes.

use crate::identifiers::{EngineIndex, GroupIndex, ModelIndex};
use crate::simulation::World;
use croftrill_state::{EngineId, GroupId, ModelId, NodeId};
use std::collections::BTreeMap;

/// The group of all requests when groups do not share by weight.
const ONE_GROUP: &str = "all";

/// The names.
#[derive(Default)]
pub(super) struct Names {
    engines: Vec<EngineId>,
    engine_indexes: BTreeMap<EngineId, EngineIndex>,
    models: Vec<ModelId>,
    model_indexes: BTreeMap<ModelId, ModelIndex>,
    groups: Vec<GroupId>,
}

impl Names {
    pub(super) fn new<M>(world: &World<'_, M>, fair_shares: bool) -> Self {
        let engines: Vec<EngineId> = (0..world.engines().len())
            .map(|engine| EngineId::new(format!("engine-{engine:02}")))
            .collect();
        let models: Vec<ModelId> = world
            .models()
            .iter()
            .map(|model| ModelId::from(model.name.as_str()))
            .collect();
        let groups = world.scenario().groups.iter();
        Self {
            engine_indexes: engines
                .iter()
                .enumerate()
                .map(|(index, id)| (id.clone(), EngineIndex(index)))
                .collect(),
            engines,
            model_indexes: models
                .iter()
                .enumerate()
                .map(|(index, id)| (id.clone(), ModelIndex(index)))
                .collect(),
            models,
            groups: groups
                .map(|group| {
                    if fair_shares {
                        group.name.as_str()
                    } else {
                        ONE_GROUP
                    }
                })
                .map(GroupId::from)
                .collect(),
        }
    }

    pub(super) fn engine(&self, engine: EngineIndex) -> &EngineId {
        &self.engines[engine.0]
    }

    pub(super) fn engine_index(&self, id: &EngineId) -> Option<EngineIndex> {
        self.engine_indexes.get(id).copied()
    }

    pub(super) fn model(&self, model: ModelIndex) -> &ModelId {
        &self.models[model.0]
    }

    pub(super) fn model_index(&self, id: &ModelId) -> Option<ModelIndex> {
        self.model_indexes.get(id).copied()
    }

    pub(super) fn group(&self, group: GroupIndex) -> &GroupId {
        &self.groups[group.0]
    }
}

/// The node beside an engine, which owns it.
pub(super) fn owner_of(engine: EngineIndex) -> NodeId {
    NodeId::new(format!("node-{:02}", engine.0))
}
