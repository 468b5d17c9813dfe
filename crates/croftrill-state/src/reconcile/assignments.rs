//! Assignments of models: away from engines that leave, and up to as many as
//! each model may have.
//!
//! Of several cells, the one chosen by rendezvous hashing over the cells with a
//! live coordinator is responsible for a model.

use super::draft::Draft;
use super::holdings::{Engines, Holdings};
use crate::configuration::Model;
use crate::entry::PlacementStep;
use crate::identifiers::{CellId, EngineId, ModelId, NodeId};
use crate::occupancy::{EngineOccupancy, Occupancy, ReplicaSpread};
use crate::placement::{Assignment, AssignmentState, Lifecycle, Residency};
use crate::rendezvous;
use std::collections::{BTreeMap, BTreeSet};
use xxhash_rust::xxh3::xxh3_64;

pub(super) fn draft_assignments(draft: &mut Draft, alive: &dyn Fn(&NodeId) -> bool) {
    let engines = Engines::of(draft);
    // Made only when a model lacks something, which is rare.
    let mut occupancy: Option<Occupancy> = None;
    let state = draft.state;
    for versioned in state.models.values() {
        let model = &versioned.value;
        if state.is_retiring(&model.id) || !is_responsible(draft, model, alive) {
            continue;
        }
        let holdings = Holdings::of(draft, model, &engines);
        let missing = (model.max_replicas as usize).saturating_sub(holdings.kept.len());
        if missing + holdings.to_release.len() + holdings.to_activate.len() == 0 {
            continue;
        }
        for assignment in &holdings.to_release {
            if !draft.has_room(1) {
                return;
            }
            draft.step(PlacementStep::Release {
                model: model.id.clone(),
                engine: assignment.engine.clone(),
            });
        }
        let occupancy = occupancy.get_or_insert_with(|| live_occupancy(draft));
        let mut replicas = Replicas::new(model, &holdings);
        replicas.activate(draft, &holdings.to_activate);
        replicas.add_missing(draft, occupancy);
    }
}

fn is_responsible(draft: &Draft, model: &Model, alive: &dyn Fn(&NodeId) -> bool) -> bool {
    let cells: BTreeMap<NodeId, &CellId> = draft
        .state
        .coordinators
        .iter()
        .filter(|(cell, coordinator)| **cell == draft.cell || alive(&coordinator.node))
        .map(|(cell, _)| (NodeId::new(cell.as_str()), cell))
        .collect();
    if cells.len() < 2 {
        return true;
    }
    let chosen = rendezvous::highest(model.id.as_str(), cells.keys());
    chosen.and_then(|name| cells.get(name)) == Some(&&draft.cell)
}

/// The memory of the live engines as the draft leaves them.
fn live_occupancy(draft: &Draft) -> Occupancy {
    let live = draft
        .engines()
        .filter(|engine| engine.lifecycle == Lifecycle::Live);
    Occupancy::of_engines(draft.state, live)
}

/// The replicas of one model while the draft adds to them.
struct Replicas<'a> {
    model: &'a Model,
    /// Replicas that count against the most of the model.
    decided: usize,
    residents: usize,
    /// Engines of the replicas that are kept or added.
    engines: Vec<EngineId>,
    /// Engines that cannot take another replica.
    taken: BTreeSet<EngineId>,
    /// Engines whose release a new replica may wait for.
    releases: Vec<EngineId>,
}

impl<'a> Replicas<'a> {
    fn new(model: &'a Model, holdings: &Holdings) -> Self {
        Self {
            model,
            decided: holdings.decided_replicas(),
            residents: holdings.kept.iter().filter(|a| is_resident(a)).count(),
            engines: holdings.kept.iter().map(|a| a.engine.clone()).collect(),
            taken: holdings.taken_engines(),
            releases: holdings.releases_without_waiter(),
        }
    }

    fn most(&self) -> usize {
        self.model.max_replicas as usize
    }

    /// Activates assignments that wait for nothing, as far as the model's most
    /// allows.
    fn activate(&mut self, draft: &mut Draft, waiting: &[Assignment]) {
        for assignment in waiting {
            if self.decided < self.most() && draft.has_room(1) {
                self.decided += 1;
                let assignment = Assignment {
                    state: AssignmentState::Active,
                    ..assignment.clone()
                };
                draft.step(PlacementStep::Assign { assignment });
            }
        }
    }

    /// Adds assignments up to the model's most: at once while fewer replicas
    /// exist than it may have, else each waiting for one release.
    fn add_missing(&mut self, draft: &mut Draft, occupancy: &mut Occupancy) {
        while self.engines.len() < self.most() && draft.has_room(1) {
            let Some(state) = self.next_state() else {
                return;
            };
            let Some((engine, residency)) = self.choose(occupancy) else {
                return;
            };
            let assignment = Assignment {
                model: self.model.id.clone(),
                engine,
                residency,
                state,
            };
            self.count(&assignment);
            occupancy.add(self.model, &assignment);
            draft.step(PlacementStep::Assign { assignment });
        }
    }

    /// The state of the next new assignment, if there may be one.
    fn next_state(&mut self) -> Option<AssignmentState> {
        if self.decided < self.most() {
            return Some(AssignmentState::Active);
        }
        let engine = self.releases.pop()?;
        Some(AssignmentState::WaitingFor { engine })
    }

    fn count(&mut self, assignment: &Assignment) {
        self.decided += usize::from(assignment.counts_as_replica());
        self.residents += usize::from(is_resident(assignment));
        self.engines.push(assignment.engine.clone());
        self.taken.insert(assignment.engine.clone());
    }

    /// The best engine for one more replica, kept loaded there if the model
    /// lacks residents and one fits.
    fn choose(&self, occupancy: &Occupancy) -> Option<(EngineId, Residency)> {
        let spread = ReplicaSpread {
            taken: &self.taken,
            by_zone: occupancy.replicas_by_zone(self.engines.iter()),
        };
        // Not the planner's cost: a coordinator's plan is given no facts about
        // caches, and hashing keeps equally good engines from filling in order.
        let cost = |id: &EngineId, engine: &EngineOccupancy| {
            (engine.promised_thousandths(), tie_break(&self.model.id, id))
        };
        if self.residents < self.model.min_replicas as usize {
            let fits = |engine: &EngineOccupancy| engine.accelerators_for_resident(self.model);
            if let Some((engine, accelerators)) = occupancy.best_engine(&spread, fits, cost) {
                return Some((engine, Residency::Resident { accelerators }));
            }
        }
        let fits = |engine: &EngineOccupancy| engine.fits_on_demand(self.model).then_some(());
        let (engine, ()) = occupancy.best_engine(&spread, fits, cost)?;
        Some((engine, Residency::OnDemand))
    }
}

/// Spreads models over engines that are equally good.
fn tie_break(model: &ModelId, engine: &EngineId) -> u64 {
    xxh3_64(format!("{model}\0{engine}").as_bytes())
}

fn is_resident(assignment: &Assignment) -> bool {
    matches!(assignment.residency, Residency::Resident { .. })
}
