//! Nodes and engines that joined, changed, or are gone.

use super::draft::Draft;
use super::{lasted, usable, ListedMachines, Observation, Reconciler};
use crate::placement::{Engine, Lifecycle, Node};

impl Reconciler {
    /// Nodes that announced a planned stop, and those that came back from one.
    /// What the nodes themselves say needs no machine list.
    pub(super) fn draft_stops(&self, draft: &mut Draft, observation: &Observation) {
        for versioned in draft.state.nodes.values() {
            let node = &versioned.value;
            let lifecycle = by_own_word(node, observation);
            if node.cell == draft.cell && lifecycle != node.lifecycle && draft.has_room(1) {
                let mut next = node.clone();
                next.lifecycle = lifecycle;
                draft.put_node(next);
            }
        }
    }

    pub(super) fn draft_machines(
        &self,
        draft: &mut Draft,
        machines: &ListedMachines,
        observation: &Observation,
    ) {
        for node in machines.nodes.values().filter(|node| node.cell == self.cell) {
            draft_node(draft, node, observation);
        }
        for engine in machines.engines.values().filter(|e| e.cell == self.cell) {
            draft_engine(draft, engine);
        }
        if usable(Some(machines)).is_some() {
            self.draft_gone_nodes(draft, observation);
            self.draft_gone_engines(draft, observation);
        }
    }

    fn draft_gone_nodes(&self, draft: &mut Draft, observation: &Observation) {
        let patience = self.config.machine_absent_millis;
        for versioned in draft.state.nodes.values() {
            let node = &versioned.value;
            let gone = node.cell == draft.cell
                && !(observation.alive)(&node.id)
                && lasted(&self.node_absent_since, &node.id, patience, observation.now);
            if gone && draft.has_room(1) {
                draft.remove_node(node.id.clone());
            }
        }
    }

    fn draft_gone_engines(&self, draft: &mut Draft, observation: &Observation) {
        let patience = self.config.machine_absent_millis;
        for versioned in draft.state.engines.values() {
            let engine = &versioned.value;
            let gone = engine.cell == draft.cell
                && lasted(&self.engine_absent_since, &engine.id, patience, observation.now);
            if gone && draft.has_room(1) {
                draft.remove_engine(engine.id.clone());
            }
        }
    }
}

fn draft_node(draft: &mut Draft, listed: &Node, observation: &Observation) {
    let present = draft.state.nodes.get(&listed.id).map(|found| &found.value);
    let mut next = listed.clone();
    if let Some(present) = present {
        next.lifecycle = later(by_own_word(present, observation), listed.lifecycle);
    }
    if present != Some(&next) && draft.has_room(1) {
        draft.put_node(next);
    }
}

fn draft_engine(draft: &mut Draft, listed: &Engine) {
    let present = draft.state.engines.get(&listed.id).map(|found| &found.value);
    let Some(present) = present else {
        if draft.has_room(1) {
            draft.put_engine(listed.clone());
        }
        return;
    };
    if !draft.has_room(1) {
        return;
    }
    if present.accelerator_memory_mib != listed.accelerator_memory_mib {
        // Another machine under the same name: what the former one held is
        // gone. The next plan takes in the new one.
        draft.remove_engine(listed.id.clone());
        return;
    }
    let mut next = listed.clone();
    next.lifecycle = later(present.lifecycle, listed.lifecycle);
    next.owner = present.owner.clone();
    next.fencing_token = present.fencing_token;
    if next != *present {
        draft.put_engine(next);
    }
}

/// What a node's own announcements make of its present lifecycle.
fn by_own_word(node: &Node, observation: &Observation) -> Lifecycle {
    match node.lifecycle {
        Lifecycle::Live if (observation.leaving)(&node.id) => Lifecycle::Stopping,
        Lifecycle::Stopping if (observation.alive)(&node.id) => Lifecycle::Live,
        present => present,
    }
}

/// A drain is not taken back while the machine stays listed, and a list that
/// lags does not take back a stop.
fn later(present: Lifecycle, listed: Lifecycle) -> Lifecycle {
    match present {
        Lifecycle::Leaving => Lifecycle::Leaving,
        Lifecycle::Stopping if listed == Lifecycle::Live => Lifecycle::Stopping,
        Lifecycle::Live | Lifecycle::Stopping => listed,
    }
}
