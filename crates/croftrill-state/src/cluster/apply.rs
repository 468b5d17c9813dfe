//! Applying entries: acceptance, then the parts of each kind of change.

use super::{ApplyError, ClusterState, Coordinator};
use crate::entry::{Change, LogEntry};
use crate::identifiers::{CellId, EngineId, ModelId, PlanId, Revision, Term};
use std::collections::BTreeSet;

/// What is known of the entry while it is applied.
pub(super) struct Applying<'a> {
    /// The entry's revision.
    pub at: Revision,
    /// The state before the entry.
    pub before: &'a ClusterState,
    /// Models whose invariants must be checked after the entry.
    pub models: BTreeSet<ModelId>,
    /// Engines whose invariants must be checked after the entry.
    pub engines: BTreeSet<EngineId>,
}

impl<'a> Applying<'a> {
    pub(super) fn new(at: Revision, before: &'a ClusterState) -> Self {
        Self {
            at,
            before,
            models: BTreeSet::new(),
            engines: BTreeSet::new(),
        }
    }

    pub(super) fn touch(&mut self, model: &ModelId, engine: &EngineId) {
        self.models.insert(model.clone());
        self.engines.insert(engine.clone());
    }
}

impl ClusterState {
    /// Applies the next entry. An error other than `OutOfOrder` means that the
    /// entry was rejected: the revision advanced and nothing else changed.
    pub fn apply(&mut self, entry: &LogEntry) -> Result<(), ApplyError> {
        match self.after(entry) {
            Ok(next) => {
                *self = next;
                Ok(())
            }
            Err(error) => {
                if !matches!(error, ApplyError::OutOfOrder { .. }) {
                    self.revision = entry.revision;
                }
                Err(error)
            }
        }
    }

    /// The state after an entry, or why the entry would be rejected. Authors
    /// call it before they append.
    pub fn after(&self, entry: &LogEntry) -> Result<ClusterState, ApplyError> {
        if entry.revision != self.revision.next() {
            return Err(ApplyError::OutOfOrder {
                applied: self.revision,
                found: entry.revision,
            });
        }
        self.accept(entry)?;
        let mut next = self.clone();
        next.revision = entry.revision;
        let mut applying = Applying::new(entry.revision, self);
        next.apply_change(entry, &mut applying)?;
        next.finish(&mut applying);
        next.note_membership_changes(self, entry.revision);
        next.check_touched(&applying)?;
        Ok(next)
    }

    /// The checks that need no copy of the state.
    fn accept(&self, entry: &LogEntry) -> Result<(), ApplyError> {
        match &entry.change {
            Change::ConfirmPlan {
                plan,
                base,
                intents,
                steps,
            } => {
                self.require_unconfirmed(plan)?;
                self.require_unchanged(intents, steps, *base)
            }
            Change::ElectCoordinator { cell, .. } => self.require_later_term(cell, entry.term),
            Change::Reconcile { cell, .. } => self.require_present_term(cell, entry.term),
            Change::Released {
                model,
                engine,
                release,
            } => self.require_releasing(model, engine, *release),
        }
    }

    fn apply_change(&mut self, entry: &LogEntry, applying: &mut Applying) -> Result<(), ApplyError> {
        match &entry.change {
            Change::ConfirmPlan {
                plan, intents, steps, ..
            } => {
                self.apply_intents(intents, applying)?;
                self.apply_steps(steps, applying)?;
                self.remember_plan(plan, applying.at);
                Ok(())
            }
            Change::ElectCoordinator { cell, node } => {
                let coordinator = Coordinator {
                    node: node.clone(),
                    term: entry.term,
                };
                self.coordinators.insert(cell.clone(), coordinator);
                Ok(())
            }
            Change::Reconcile {
                put_nodes,
                remove_nodes,
                put_engines,
                remove_engines,
                steps,
                ..
            } => {
                self.put_nodes(put_nodes, applying.at);
                self.remove_nodes(remove_nodes, applying.at);
                self.put_engines(put_engines, applying);
                self.remove_engines(remove_engines, applying);
                self.apply_steps(steps, applying)
            }
            Change::Released { model, engine, .. } => {
                self.remove_assignment(model, engine, applying);
                Ok(())
            }
        }
    }

    /// What follows from the changes of an entry by itself.
    pub(super) fn finish(&mut self, applying: &mut Applying) {
        for model in applying.models.clone() {
            self.activate_waiting(&model, applying);
            self.remove_if_retired(&model, applying.at);
        }
    }

    fn require_unconfirmed(&self, plan: &PlanId) -> Result<(), ApplyError> {
        match self.confirmed_at(plan) {
            None => Ok(()),
            Some(at) => Err(ApplyError::AlreadyConfirmed {
                plan: plan.clone(),
                at,
            }),
        }
    }

    /// The revision at which a plan was confirmed, if it is remembered.
    pub fn confirmed_at(&self, plan: &PlanId) -> Option<Revision> {
        self.confirmed_plans
            .iter()
            .find(|(_, id)| *id == plan)
            .map(|(at, _)| *at)
    }

    fn remember_plan(&mut self, plan: &PlanId, at: Revision) {
        self.confirmed_plans.insert(at, plan.clone());
        while self.confirmed_plans.len() > super::REMEMBERED_PLANS {
            self.confirmed_plans.pop_first();
        }
    }

    fn require_later_term(&self, cell: &CellId, found: Term) -> Result<(), ApplyError> {
        let present = self.present_term(cell);
        if found > present {
            return Ok(());
        }
        Err(ApplyError::StaleTerm { present, found })
    }

    fn require_present_term(&self, cell: &CellId, found: Term) -> Result<(), ApplyError> {
        let present = self.present_term(cell);
        if found == present && found != Term(0) {
            return Ok(());
        }
        Err(ApplyError::StaleTerm { present, found })
    }

    fn present_term(&self, cell: &CellId) -> Term {
        self.coordinators
            .get(cell)
            .map_or(Term(0), |coordinator| coordinator.term)
    }
}
