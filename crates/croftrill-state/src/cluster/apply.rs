//! Applying entries.

use super::{
    ApplyError, ClusterState, Coordinator, FormerMembership, Versioned, FORMER_MEMBERSHIPS, REMEMBERED_PLANS,
};
use crate::entry::{Change, Intent, LogEntry, PlacementStep};
use crate::identifiers::{CellId, EngineId, FencingToken, ModelId, NodeId, PlanId, Revision, Term};
use crate::placement::{Assignment, AssignmentState, Engine, Lifecycle, Node};
use std::collections::BTreeSet;

/// Names of the objects that an entry changed, for the checks after it.
#[derive(Default)]
struct Touched {
    models: BTreeSet<ModelId>,
    engines: BTreeSet<EngineId>,
}

impl ClusterState {
    /// Applies the next entry. An error other than `OutOfOrder` means that the
    /// entry was rejected: the revision advanced and nothing else changed.
    pub fn apply(&mut self, entry: &LogEntry) -> Result<(), ApplyError> {
        if entry.revision != self.revision.next() {
            return Err(ApplyError::OutOfOrder {
                applied: self.revision,
                found: entry.revision,
            });
        }
        match self.after(entry) {
            Ok(next) => {
                *self = next;
                Ok(())
            }
            Err(error) => {
                self.revision = entry.revision;
                Err(error)
            }
        }
    }

    /// The state after an entry, or why the entry would be rejected. Authors
    /// call it before they append.
    pub fn after(&self, entry: &LogEntry) -> Result<ClusterState, ApplyError> {
        let mut next = self.clone();
        next.revision = entry.revision;
        let mut touched = Touched::default();
        next.apply_change(entry, &mut touched)?;
        next.check_touched(&touched.models, &touched.engines)?;
        Ok(next)
    }

    fn apply_change(&mut self, entry: &LogEntry, touched: &mut Touched) -> Result<(), ApplyError> {
        let at = entry.revision;
        match &entry.change {
            Change::ConfirmPlan {
                plan,
                base,
                intents,
                steps,
            } => {
                self.require_unconfirmed(plan)?;
                self.require_unchanged_intents(intents, *base)?;
                self.require_unchanged_steps(steps, *base)?;
                for intent in intents {
                    self.apply_intent(intent, at, touched)?;
                }
                self.apply_steps(steps, at, touched)?;
                self.remember_plan(plan, at);
                Ok(())
            }
            Change::ElectCoordinator { cell, node } => self.elect(cell, node, entry.term),
            Change::Reconcile {
                cell,
                put_nodes,
                remove_nodes,
                put_engines,
                remove_engines,
                steps,
            } => {
                self.require_term(cell, entry.term)?;
                for node in put_nodes {
                    self.put_node(node, at);
                }
                for node in remove_nodes {
                    self.remove_node(node, at);
                }
                for engine in put_engines {
                    self.put_engine(engine, at, touched);
                }
                for engine in remove_engines {
                    self.remove_engine(engine, at, touched);
                }
                self.apply_steps(steps, at, touched)
            }
            Change::Released { model, engine } => self.released(model, engine, at, touched),
        }
    }

    fn require_unconfirmed(&self, plan: &PlanId) -> Result<(), ApplyError> {
        let found = self.confirmed_plans.iter().find(|(_, id)| *id == plan);
        match found {
            None => Ok(()),
            Some((at, _)) => Err(ApplyError::AlreadyConfirmed {
                plan: plan.clone(),
                at: *at,
            }),
        }
    }

    fn remember_plan(&mut self, plan: &PlanId, at: Revision) {
        self.confirmed_plans.insert(at, plan.clone());
        while self.confirmed_plans.len() > REMEMBERED_PLANS {
            self.confirmed_plans.pop_first();
        }
    }

    fn require_unchanged_intents(&self, intents: &[Intent], base: Revision) -> Result<(), ApplyError> {
        for intent in intents {
            let (kind, name, changed_at) = match intent {
                Intent::PutGroup(group) => ("group", group.id.to_string(), self.group_changed(&group.id)),
                Intent::DeleteGroup(id) => ("group", id.to_string(), self.group_changed(id)),
                Intent::PutModel(model) => ("model", model.id.to_string(), self.model_changed(&model.id)),
                Intent::DeleteModel(id) => ("model", id.to_string(), self.model_changed(id)),
                Intent::PutAdapter(adapter) => (
                    "adapter",
                    adapter.id.to_string(),
                    self.adapter_changed(&adapter.id),
                ),
                Intent::DeleteAdapter(id) => ("adapter", id.to_string(), self.adapter_changed(id)),
                Intent::DrainNode(id) => ("node", id.to_string(), self.node_changed(id)),
                Intent::DrainEngine(id) => ("engine", id.to_string(), self.engine_changed(id)),
            };
            require_unchanged(kind, &name, changed_at, base)?;
        }
        Ok(())
    }

    fn require_unchanged_steps(&self, steps: &[PlacementStep], base: Revision) -> Result<(), ApplyError> {
        for step in steps {
            let (model, engine) = match step {
                PlacementStep::Assign { assignment } => (Some(&assignment.model), &assignment.engine),
                PlacementStep::Release { model, engine } => (Some(model), engine),
                PlacementStep::SetOwner { engine, .. } => (None, engine),
            };
            require_unchanged("engine", engine.as_str(), self.engine_changed(engine), base)?;
            if let Some(model) = model {
                let changed_at = self.assignments_changed(model);
                require_unchanged("placement of model", model.as_str(), changed_at, base)?;
            }
        }
        Ok(())
    }

    fn apply_intent(
        &mut self,
        intent: &Intent,
        at: Revision,
        touched: &mut Touched,
    ) -> Result<(), ApplyError> {
        match intent {
            Intent::PutGroup(group) => {
                self.groups.insert(group.id.clone(), versioned(at, group));
            }
            Intent::DeleteGroup(id) => {
                self.groups
                    .remove(id)
                    .ok_or_else(|| missing("group", id.as_str()))?;
            }
            Intent::PutModel(model) => {
                self.models.insert(model.id.clone(), versioned(at, model));
                touched.models.insert(model.id.clone());
            }
            Intent::DeleteModel(id) => {
                if let Some(adapter) = self.adapters.values().find(|a| a.value.base == *id) {
                    return Err(ApplyError::Invalid(format!(
                        "model {id} still has adapter {}",
                        adapter.value.id
                    )));
                }
                self.models
                    .remove(id)
                    .ok_or_else(|| missing("model", id.as_str()))?;
                touched.models.insert(id.clone());
            }
            Intent::PutAdapter(adapter) => {
                if !self.models.contains_key(&adapter.base) {
                    return Err(missing("base model", adapter.base.as_str()));
                }
                self.adapters.insert(adapter.id.clone(), versioned(at, adapter));
            }
            Intent::DeleteAdapter(id) => {
                self.adapters
                    .remove(id)
                    .ok_or_else(|| missing("adapter", id.as_str()))?;
            }
            Intent::DrainNode(id) => {
                let found = self.nodes.get(id).ok_or_else(|| missing("node", id.as_str()))?;
                let mut node = found.value.clone();
                node.lifecycle = Lifecycle::Leaving;
                self.put_node(&node, at);
            }
            Intent::DrainEngine(id) => {
                let engine = self
                    .engines
                    .get_mut(id)
                    .ok_or_else(|| missing("engine", id.as_str()))?;
                engine.value.lifecycle = Lifecycle::Leaving;
                engine.changed_at = at;
            }
        }
        Ok(())
    }

    fn apply_steps(
        &mut self,
        steps: &[PlacementStep],
        at: Revision,
        touched: &mut Touched,
    ) -> Result<(), ApplyError> {
        for step in steps {
            match step {
                PlacementStep::Assign { assignment } => self.assign(assignment, at, touched),
                PlacementStep::Release { model, engine } => {
                    let assignment = self.assignment_mut(model, engine)?;
                    assignment.value.state = AssignmentState::Releasing;
                    assignment.changed_at = at;
                    touched.engines.insert(engine.clone());
                }
                PlacementStep::SetOwner { engine, owner } => self.set_owner(engine, owner, at)?,
            }
        }
        Ok(())
    }

    fn assign(&mut self, assignment: &Assignment, at: Revision, touched: &mut Touched) {
        touched.models.insert(assignment.model.clone());
        touched.engines.insert(assignment.engine.clone());
        self.assignments
            .entry(assignment.model.clone())
            .or_default()
            .insert(assignment.engine.clone(), versioned(at, assignment));
    }

    fn assignment_mut(
        &mut self,
        model: &ModelId,
        engine: &EngineId,
    ) -> Result<&mut Versioned<Assignment>, ApplyError> {
        self.assignments
            .get_mut(model)
            .and_then(|by_engine| by_engine.get_mut(engine))
            .ok_or_else(|| ApplyError::Invalid(format!("model {model} is not assigned to engine {engine}")))
    }

    fn set_owner(&mut self, id: &EngineId, owner: &NodeId, at: Revision) -> Result<(), ApplyError> {
        if !self.nodes.contains_key(owner) {
            return Err(missing("node", owner.as_str()));
        }
        let engine = self
            .engines
            .get_mut(id)
            .ok_or_else(|| missing("engine", id.as_str()))?;
        engine.value.owner = Some(owner.clone());
        engine.value.fencing_token = FencingToken(at.0);
        Ok(())
    }

    fn elect(&mut self, cell: &CellId, node: &NodeId, term: Term) -> Result<(), ApplyError> {
        let present = self.coordinators.get(cell).map_or(Term(0), |c| c.term);
        if term <= present {
            return Err(ApplyError::StaleTerm { present, found: term });
        }
        let coordinator = Coordinator {
            node: node.clone(),
            term,
        };
        self.coordinators.insert(cell.clone(), coordinator);
        Ok(())
    }

    fn require_term(&self, cell: &CellId, found: Term) -> Result<(), ApplyError> {
        let present = self.coordinators.get(cell).map_or(Term(0), |c| c.term);
        if found == present && found != Term(0) {
            return Ok(());
        }
        Err(ApplyError::StaleTerm { present, found })
    }

    fn put_node(&mut self, node: &Node, at: Revision) {
        let before = self.nodes.get(&node.id).and_then(|found| live_cell(&found.value));
        let after = live_cell(node);
        if before != after {
            self.note_membership_change(before, at);
            self.note_membership_change(after, at);
        }
        self.nodes.insert(node.id.clone(), versioned(at, node));
    }

    /// To be called before the live nodes of a cell change. Counts one change an
    /// entry, however many nodes it changes.
    fn note_membership_change(&mut self, cell: Option<CellId>, at: Revision) {
        let Some(cell) = cell else {
            return;
        };
        let nodes = self.live_nodes(&cell);
        let membership = self.cell_memberships.entry(cell).or_default();
        if membership.changed_at == at {
            return;
        }
        if membership.version > 0 {
            membership.former.push(FormerMembership {
                changed_at: membership.changed_at,
                nodes,
            });
        }
        if membership.former.len() > FORMER_MEMBERSHIPS {
            membership.former.remove(0);
        }
        membership.changed_at = at;
        membership.version += 1;
    }

    fn live_nodes(&self, cell: &CellId) -> Vec<NodeId> {
        self.nodes
            .values()
            .filter(|node| live_cell(&node.value).as_ref() == Some(cell))
            .map(|node| node.value.id.clone())
            .collect()
    }

    fn remove_node(&mut self, id: &NodeId, at: Revision) {
        let cell = self.nodes.get(id).and_then(|found| live_cell(&found.value));
        self.note_membership_change(cell, at);
        self.nodes.remove(id);
        for engine in self.engines.values_mut() {
            if engine.value.owner.as_ref() == Some(id) {
                engine.value.owner = None;
            }
        }
    }

    fn put_engine(&mut self, engine: &Engine, at: Revision, touched: &mut Touched) {
        let mut next = engine.clone();
        if let Some(present) = self.engines.get(&engine.id) {
            next.owner = present.value.owner.clone();
            next.fencing_token = present.value.fencing_token;
        }
        touched.engines.insert(engine.id.clone());
        self.engines.insert(engine.id.clone(), versioned(at, &next));
    }

    fn remove_engine(&mut self, id: &EngineId, at: Revision, touched: &mut Touched) {
        self.engines.remove(id);
        let models: Vec<ModelId> = self
            .assignments_on_engine(id)
            .map(|assignment| assignment.model.clone())
            .collect();
        for model in models {
            self.remove_assignment(&model, id, at);
            touched.models.insert(model);
        }
    }

    fn released(
        &mut self,
        model: &ModelId,
        engine: &EngineId,
        at: Revision,
        touched: &mut Touched,
    ) -> Result<(), ApplyError> {
        let state = &self.assignment_mut(model, engine)?.value.state;
        if *state != AssignmentState::Releasing {
            return Err(ApplyError::Invalid(format!(
                "model {model} is not being released from engine {engine}"
            )));
        }
        self.remove_assignment(model, engine, at);
        touched.models.insert(model.clone());
        touched.engines.insert(engine.clone());
        Ok(())
    }

    /// Removes an assignment and activates those that waited for it.
    fn remove_assignment(&mut self, model: &ModelId, engine: &EngineId, at: Revision) {
        let Some(by_engine) = self.assignments.get_mut(model) else {
            return;
        };
        by_engine.remove(engine);
        for waiting in by_engine.values_mut() {
            let released = AssignmentState::WaitingFor {
                engine: engine.clone(),
            };
            if waiting.value.state == released {
                waiting.value.state = AssignmentState::Active;
                waiting.changed_at = at;
            }
        }
        if by_engine.is_empty() {
            self.assignments.remove(model);
        }
    }

    fn group_changed(&self, id: &crate::GroupId) -> Revision {
        self.groups.get(id).map_or(Revision(0), |found| found.changed_at)
    }

    fn model_changed(&self, id: &ModelId) -> Revision {
        self.models.get(id).map_or(Revision(0), |found| found.changed_at)
    }

    fn adapter_changed(&self, id: &crate::AdapterId) -> Revision {
        self.adapters
            .get(id)
            .map_or(Revision(0), |found| found.changed_at)
    }

    fn node_changed(&self, id: &NodeId) -> Revision {
        self.nodes.get(id).map_or(Revision(0), |found| found.changed_at)
    }

    fn engine_changed(&self, id: &EngineId) -> Revision {
        self.engines.get(id).map_or(Revision(0), |found| found.changed_at)
    }

    fn assignments_changed(&self, model: &ModelId) -> Revision {
        self.assignments
            .get(model)
            .into_iter()
            .flat_map(|by_engine| by_engine.values())
            .map(|found| found.changed_at)
            .max()
            .unwrap_or(Revision(0))
    }
}

/// The cell that a node is a live member of.
fn live_cell(node: &Node) -> Option<CellId> {
    (node.lifecycle == Lifecycle::Live).then(|| node.cell.clone())
}

fn versioned<T: Clone>(at: Revision, value: &T) -> Versioned<T> {
    Versioned {
        changed_at: at,
        value: value.clone(),
    }
}

fn missing(kind: &str, name: &str) -> ApplyError {
    ApplyError::Invalid(format!("{kind} {name} does not exist"))
}

fn require_unchanged(kind: &str, name: &str, changed_at: Revision, base: Revision) -> Result<(), ApplyError> {
    if changed_at <= base {
        return Ok(());
    }
    Err(ApplyError::Stale {
        object: format!("{kind} {name}"),
        changed_at,
        base,
    })
}
