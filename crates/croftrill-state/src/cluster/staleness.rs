//! Whether what a plan names is still as the plan saw it.

use super::{ApplyError, ClusterState, ObjectName, Versioned};
use crate::entry::{Intent, PlacementStep};
use crate::identifiers::{ModelId, Revision};

impl ClusterState {
    /// The revision that last wrote or deleted an object; 0 if none did.
    pub fn object_changed_at(&self, object: &ObjectName) -> Revision {
        let present = match object {
            ObjectName::Group(id) => self.groups.get(id).map(changed_at),
            ObjectName::Model(id) => self.models.get(id).map(changed_at),
            ObjectName::Adapter(id) => self.adapters.get(id).map(changed_at),
            ObjectName::Node(id) => self.nodes.get(id).map(changed_at),
            ObjectName::Engine(id) => self.engines.get(id).map(changed_at),
            ObjectName::Placement(id) => return self.placement_changed_at(id),
        };
        present.unwrap_or_else(|| self.tombstones.deleted_at(object))
    }

    fn placement_changed_at(&self, model: &ModelId) -> Revision {
        let written = self
            .assignments
            .get(model)
            .into_iter()
            .flat_map(|by_engine| by_engine.values())
            .map(changed_at)
            .max()
            .unwrap_or(Revision(0));
        let removed = self.tombstones.deleted_at(&ObjectName::Placement(model.clone()));
        written.max(removed)
    }

    /// Refuses a plan if an object that it names changed after `base`.
    pub(super) fn require_unchanged(
        &self,
        intents: &[Intent],
        steps: &[PlacementStep],
        base: Revision,
    ) -> Result<(), ApplyError> {
        let named_by_intents = intents.iter().map(named_by_intent);
        let named_by_steps = steps.iter().flat_map(named_by_step);
        for object in named_by_intents.chain(named_by_steps) {
            let changed_at = self.object_changed_at(&object);
            if changed_at > base {
                return Err(ApplyError::Stale {
                    object: object.to_string(),
                    changed_at,
                    base,
                });
            }
        }
        Ok(())
    }
}

fn changed_at<T>(found: &Versioned<T>) -> Revision {
    found.changed_at
}

fn named_by_intent(intent: &Intent) -> ObjectName {
    match intent {
        Intent::PutGroup(group) => ObjectName::Group(group.id.clone()),
        Intent::DeleteGroup(id) => ObjectName::Group(id.clone()),
        Intent::PutModel(model) => ObjectName::Model(model.id.clone()),
        Intent::DeleteModel(id) => ObjectName::Model(id.clone()),
        Intent::PutAdapter(adapter) => ObjectName::Adapter(adapter.id.clone()),
        Intent::DeleteAdapter(id) => ObjectName::Adapter(id.clone()),
        Intent::DrainNode(id) => ObjectName::Node(id.clone()),
        Intent::DrainEngine(id) => ObjectName::Engine(id.clone()),
    }
}

fn named_by_step(step: &PlacementStep) -> Vec<ObjectName> {
    let (model, engine) = match step {
        PlacementStep::Assign { assignment } => (&assignment.model, &assignment.engine),
        PlacementStep::Release { model, engine } => (model, engine),
        PlacementStep::SetOwner { engine, owner } => {
            return vec![
                ObjectName::Engine(engine.clone()),
                ObjectName::Node(owner.clone()),
            ];
        }
    };
    vec![
        ObjectName::Engine(engine.clone()),
        ObjectName::Model(model.clone()),
        ObjectName::Placement(model.clone()),
    ]
}
