//! Applying what the coordinator learned about machines.
//!
//! A machine marked as leaving stays so until it is removed: the lagging list
//! of the platform must not undo an operator's drain. A node that stopped is no
//! drained machine; its next process takes part again.

use super::apply::Applying;
use super::{versioned, ClusterState, ObjectName, Versioned};
use crate::identifiers::{EngineId, ModelId, NodeId, Revision};
use crate::placement::{Engine, Lifecycle, Node};
use std::collections::BTreeMap;

impl ClusterState {
    pub(super) fn put_nodes(&mut self, nodes: &[Node], at: Revision) {
        for node in nodes {
            let mut next = node.clone();
            if let Some(present) = self.nodes.get(&node.id) {
                next.lifecycle = merged_lifecycle(present.value.lifecycle, node.lifecycle);
            }
            put_if_changed(&mut self.nodes, node.id.clone(), next, at);
        }
    }

    pub(super) fn remove_nodes(&mut self, nodes: &[NodeId], at: Revision) {
        for id in nodes {
            if self.nodes.remove(id).is_none() {
                continue;
            }
            self.tombstones.record(ObjectName::Node(id.clone()), at);
            self.clear_owner(id);
        }
    }

    fn clear_owner(&mut self, owner: &NodeId) {
        for engine in self.engines.values_mut() {
            if engine.value.owner.as_ref() == Some(owner) {
                engine.value.owner = None;
            }
        }
    }

    pub(super) fn put_engines(&mut self, engines: &[Engine], applying: &mut Applying) {
        for engine in engines {
            let mut next = engine.clone();
            if let Some(present) = self.engines.get(&engine.id) {
                next.owner = present.value.owner.clone();
                next.fencing_token = present.value.fencing_token;
                next.lifecycle = merged_lifecycle(present.value.lifecycle, engine.lifecycle);
            }
            applying.engines.insert(engine.id.clone());
            put_if_changed(&mut self.engines, engine.id.clone(), next, applying.at);
        }
    }

    pub(super) fn remove_engines(&mut self, engines: &[EngineId], applying: &mut Applying) {
        for id in engines {
            if self.engines.remove(id).is_none() {
                continue;
            }
            self.tombstones
                .record(ObjectName::Engine(id.clone()), applying.at);
            let models: Vec<ModelId> = self
                .assignments_on_engine(id)
                .map(|assignment| assignment.model.clone())
                .collect();
            for model in models {
                self.remove_assignment(&model, id, applying);
            }
        }
    }
}

fn merged_lifecycle(present: Lifecycle, listed: Lifecycle) -> Lifecycle {
    match present {
        Lifecycle::Leaving => Lifecycle::Leaving,
        Lifecycle::Live | Lifecycle::Stopping => listed,
    }
}

fn put_if_changed<K: Ord, T: Clone + PartialEq>(
    objects: &mut BTreeMap<K, Versioned<T>>,
    id: K,
    next: T,
    at: Revision,
) {
    let unchanged = objects.get(&id).is_some_and(|present| present.value == next);
    if !unchanged {
        objects.insert(id, versioned(at, &next));
    }
}
