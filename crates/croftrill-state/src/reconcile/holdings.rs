//! The assignments that a model has on the engines as a plan will leave them.

use super::draft::Draft;
use crate::configuration::Model;
use crate::identifiers::{EngineId, ModelId};
use crate::placement::{Assignment, AssignmentState, Lifecycle};
use std::collections::BTreeSet;

/// Engines that will exist, by whether they take new work.
pub(super) struct Engines {
    live: BTreeSet<EngineId>,
    leaving: BTreeSet<EngineId>,
}

impl Engines {
    /// The engines as the draft leaves them.
    pub(super) fn of(draft: &Draft) -> Self {
        let with = |lifecycle: Lifecycle| {
            draft
                .engines()
                .filter(|engine| engine.lifecycle == lifecycle)
                .map(|engine| engine.id.clone())
                .collect()
        };
        Self {
            live: with(Lifecycle::Live),
            leaving: with(Lifecycle::Leaving),
        }
    }

    fn will_exist(&self, engine: &EngineId) -> bool {
        self.live.contains(engine) || self.leaving.contains(engine)
    }
}

/// What a model has on engines that will exist.
#[derive(Default)]
pub(super) struct Holdings {
    /// On live engines, loaded or to be loaded.
    pub(super) kept: Vec<Assignment>,
    /// To be released now: on leaving engines.
    pub(super) to_release: Vec<Assignment>,
    /// Being released already.
    releasing: Vec<Assignment>,
    /// Those of `kept` that wait for a release which is over.
    pub(super) to_activate: Vec<Assignment>,
}

impl Holdings {
    /// What the model has once the draft is applied.
    pub(super) fn of(draft: &Draft, model: &Model, engines: &Engines) -> Self {
        let mut holdings = Self::default();
        for assignment in draft.state.assignments_of_model(&model.id) {
            if !engines.will_exist(&assignment.engine) {
                continue;
            }
            let mut assignment = assignment.clone();
            if is_activated_by_removal(draft, &assignment, engines) {
                assignment.state = AssignmentState::Active;
            }
            if assignment.state == AssignmentState::Releasing {
                holdings.releasing.push(assignment);
            } else if engines.leaving.contains(&assignment.engine) {
                holdings.to_release.push(assignment);
            } else {
                if waits_for_nothing(draft, &assignment) {
                    holdings.to_activate.push(assignment.clone());
                }
                holdings.kept.push(assignment);
            }
        }
        holdings
    }

    /// Replicas that count once `to_release` is being released. Each assignment
    /// that waits will count in place of the release it waits for.
    pub(super) fn decided_replicas(&self) -> usize {
        let wanted = self.kept.iter().chain(&self.to_release);
        wanted.filter(|a| a.counts_as_replica()).count() + self.releasing.len()
    }

    /// Engines whose release of the model no assignment waits for yet.
    pub(super) fn releases_without_waiter(&self) -> Vec<EngineId> {
        let awaited: BTreeSet<&EngineId> = self.kept.iter().filter_map(awaited_engine).collect();
        let newly_releasing = self.to_release.iter().filter(|a| a.counts_as_replica());
        self.releasing
            .iter()
            .chain(newly_releasing)
            .map(|assignment| assignment.engine.clone())
            .filter(|engine| !awaited.contains(engine))
            .collect()
    }

    /// Engines that cannot take another replica of the model.
    pub(super) fn taken_engines(&self) -> BTreeSet<EngineId> {
        self.kept
            .iter()
            .chain(&self.to_release)
            .chain(&self.releasing)
            .map(|assignment| assignment.engine.clone())
            .collect()
    }
}

/// The engine that must release first, if the assignment waits for one.
fn awaited_engine(assignment: &Assignment) -> Option<&EngineId> {
    match &assignment.state {
        AssignmentState::WaitingFor { engine } => Some(engine),
        AssignmentState::Active | AssignmentState::Releasing => None,
    }
}

/// Whether this plan removes the engine that the assignment waits for, which
/// activates it.
fn is_activated_by_removal(draft: &Draft, assignment: &Assignment, engines: &Engines) -> bool {
    awaited_engine(assignment)
        .is_some_and(|engine| !engines.will_exist(engine) && is_assigned(draft, &assignment.model, engine))
}

/// Whether it waits for a release that will never come.
fn waits_for_nothing(draft: &Draft, assignment: &Assignment) -> bool {
    awaited_engine(assignment).is_some_and(|engine| !is_assigned(draft, &assignment.model, engine))
}

fn is_assigned(draft: &Draft, model: &ModelId, engine: &EngineId) -> bool {
    draft.state.assignment(model, engine).is_some()
}
