//! Assignments of models: away from engines that leave, and up to as many as
//! each model may have.
//!
//! Of several cells, the one chosen by rendezvous hashing over the cells with a
//! live coordinator looks after a model.

use super::draft::Draft;
use super::engine_room::EngineRoom;
use crate::configuration::Model;
use crate::entry::PlacementStep;
use crate::identifiers::{CellId, EngineId, ModelId, NodeId, ZoneId};
use crate::placement::{Assignment, AssignmentState, Lifecycle, Residency};
use crate::rendezvous;
use std::collections::{BTreeMap, BTreeSet};

/// Engines that will exist, by whether they take new work.
struct Engines {
    live: BTreeSet<EngineId>,
    leaving: BTreeSet<EngineId>,
}

/// What a model has on engines that will exist.
struct Holdings {
    /// On live engines, loaded or to be loaded.
    kept: Vec<Assignment>,
    /// To be released now: on leaving engines.
    doomed: Vec<Assignment>,
    /// Being released already.
    releasing: Vec<Assignment>,
    /// Those of `kept` that wait for a release which is over.
    stranded: Vec<Assignment>,
}

pub(super) fn draft_assignments(draft: &mut Draft, alive: &dyn Fn(&NodeId) -> bool) {
    let engines = engines(draft);
    let mut rooms: Option<BTreeMap<EngineId, EngineRoom>> = None;
    let state = draft.state;
    for versioned in state.models.values() {
        let model = &versioned.value;
        if state.is_retiring(&model.id) || !looks_after(draft, model, alive) {
            continue;
        }
        let holdings = holdings(draft, model, &engines);
        let missing = (model.max_replicas as usize).saturating_sub(holdings.kept.len());
        let changes = missing + holdings.doomed.len() + holdings.stranded.len();
        if changes == 0 {
            continue;
        }
        for assignment in &holdings.doomed {
            if !draft.has_room(1) {
                return;
            }
            draft.step(PlacementStep::Release {
                model: model.id.clone(),
                engine: assignment.engine.clone(),
            });
        }
        let rooms = rooms.get_or_insert_with(|| engine_rooms(draft, &engines));
        draft_missing(draft, model, &holdings, rooms);
    }
}

fn engines(draft: &Draft) -> Engines {
    let of = |lifecycle: Lifecycle| {
        draft
            .engines()
            .filter(|engine| engine.lifecycle == lifecycle)
            .map(|engine| engine.id.clone())
            .collect()
    };
    Engines {
        live: of(Lifecycle::Live),
        leaving: of(Lifecycle::Leaving),
    }
}

fn looks_after(draft: &Draft, model: &Model, alive: &dyn Fn(&NodeId) -> bool) -> bool {
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

fn holdings(draft: &Draft, model: &Model, engines: &Engines) -> Holdings {
    let mut holdings = Holdings {
        kept: Vec::new(),
        doomed: Vec::new(),
        releasing: Vec::new(),
        stranded: Vec::new(),
    };
    for assignment in draft.state.assignments_of_model(&model.id) {
        let mut assignment = assignment.clone();
        if is_activated_by_removal(draft, &assignment, engines) {
            assignment.state = AssignmentState::Active;
        }
        let live = engines.live.contains(&assignment.engine);
        let leaving = engines.leaving.contains(&assignment.engine);
        if !live && !leaving {
            continue;
        }
        if assignment.state == AssignmentState::Releasing {
            holdings.releasing.push(assignment);
        } else if live {
            if is_stranded(draft, &assignment) {
                holdings.stranded.push(assignment.clone());
            }
            holdings.kept.push(assignment);
        } else {
            holdings.doomed.push(assignment);
        }
    }
    holdings
}

/// Whether this plan removes the engine that the assignment waits for, which
/// activates it.
fn is_activated_by_removal(draft: &Draft, assignment: &Assignment, engines: &Engines) -> bool {
    let AssignmentState::WaitingFor { engine } = &assignment.state else {
        return false;
    };
    let removed = !engines.live.contains(engine) && !engines.leaving.contains(engine);
    removed && is_assigned(draft, &assignment.model, engine)
}

/// Whether it waits for a release that will never come.
fn is_stranded(draft: &Draft, assignment: &Assignment) -> bool {
    let AssignmentState::WaitingFor { engine } = &assignment.state else {
        return false;
    };
    !is_assigned(draft, &assignment.model, engine)
}

fn is_assigned(draft: &Draft, model: &ModelId, engine: &EngineId) -> bool {
    let by_engine = draft.state.assignments.get(model);
    by_engine.is_some_and(|by_engine| by_engine.contains_key(engine))
}

fn engine_rooms(draft: &Draft, engines: &Engines) -> BTreeMap<EngineId, EngineRoom> {
    let mut rooms: BTreeMap<EngineId, EngineRoom> = draft
        .engines()
        .filter(|engine| engines.live.contains(&engine.id))
        .map(|engine| (engine.id.clone(), EngineRoom::new(engine)))
        .collect();
    for assignment in draft.state.all_assignments() {
        let Some(room) = rooms.get_mut(&assignment.engine) else {
            continue;
        };
        if assignment.state == AssignmentState::Releasing {
            let held = draft
                .state
                .releasing_memory(&assignment.model, &assignment.engine);
            room.count_releasing(assignment, held);
        } else if let Some(model) = draft.state.models.get(&assignment.model) {
            room.count(assignment, &model.value);
        }
    }
    rooms
}

/// Adds assignments up to the model's most: at once while fewer replicas exist
/// than it may have, else each waiting for one release.
fn draft_missing(
    draft: &mut Draft,
    model: &Model,
    holdings: &Holdings,
    rooms: &mut BTreeMap<EngineId, EngineRoom>,
) {
    let most = model.max_replicas as usize;
    let mut releases = releases_without_waiter(holdings);
    let mut decided = decided(holdings);
    let mut residents = holdings.kept.iter().filter(|a| is_resident(a)).count();
    let mut taken: BTreeSet<EngineId> = all_engines(holdings);
    let mut zones = zones_of(&holdings.kept, rooms);
    for stranded in &holdings.stranded {
        if decided < most && draft.has_room(1) {
            decided += 1;
            let mut assignment = stranded.clone();
            assignment.state = AssignmentState::Active;
            draft.step(PlacementStep::Assign { assignment });
        }
    }
    for _ in holdings.kept.len()..most {
        if !draft.has_room(1) {
            return;
        }
        let state = if decided < most {
            AssignmentState::Active
        } else if let Some(engine) = releases.pop() {
            AssignmentState::WaitingFor { engine }
        } else {
            return;
        };
        let wants_resident = residents < model.min_replicas as usize;
        let Some((engine, residency)) = choose(model, wants_resident, &taken, &zones, rooms) else {
            return;
        };
        let assignment = Assignment {
            model: model.id.clone(),
            engine: engine.clone(),
            residency,
            state,
        };
        if assignment.state == AssignmentState::Active {
            decided += 1;
        }
        if is_resident(&assignment) {
            residents += 1;
        }
        if let Some(room) = rooms.get_mut(&engine) {
            room.count(&assignment, model);
            *zones.entry(room.zone.clone()).or_default() += 1;
        }
        taken.insert(engine);
        draft.step(PlacementStep::Assign { assignment });
    }
}

/// Replicas that count once the doomed ones are being released. Each assignment
/// that waits will count in place of the release it waits for.
fn decided(holdings: &Holdings) -> usize {
    let active = holdings.kept.iter().filter(|a| !is_waiting(a)).count();
    let doomed = holdings.doomed.iter().filter(|a| !is_waiting(a)).count();
    active + doomed + holdings.releasing.len()
}

fn releases_without_waiter(holdings: &Holdings) -> Vec<EngineId> {
    let awaited: BTreeSet<&EngineId> = holdings
        .kept
        .iter()
        .filter_map(|assignment| match &assignment.state {
            AssignmentState::WaitingFor { engine } => Some(engine),
            _ => None,
        })
        .collect();
    let doomed = holdings.doomed.iter().filter(|a| !is_waiting(a));
    holdings
        .releasing
        .iter()
        .chain(doomed)
        .map(|assignment| assignment.engine.clone())
        .filter(|engine| !awaited.contains(engine))
        .collect()
}

fn all_engines(holdings: &Holdings) -> BTreeSet<EngineId> {
    holdings
        .kept
        .iter()
        .chain(&holdings.doomed)
        .chain(&holdings.releasing)
        .map(|assignment| assignment.engine.clone())
        .collect()
}

fn zones_of(kept: &[Assignment], rooms: &BTreeMap<EngineId, EngineRoom>) -> BTreeMap<ZoneId, usize> {
    let mut zones = BTreeMap::new();
    for room in kept.iter().filter_map(|a| rooms.get(&a.engine)) {
        *zones.entry(room.zone.clone()).or_default() += 1;
    }
    zones
}

/// The best engine for one more replica: in the zone that has the fewest of
/// them, with the least memory promised.
fn choose(
    model: &Model,
    wants_resident: bool,
    taken: &BTreeSet<EngineId>,
    zones: &BTreeMap<ZoneId, usize>,
    rooms: &BTreeMap<EngineId, EngineRoom>,
) -> Option<(EngineId, Residency)> {
    let cost = |room: &EngineRoom| {
        let same_zone = zones.get(&room.zone).copied().unwrap_or(0);
        let promised = room.promised_thousandths();
        (same_zone, promised, room.tie_break(&model.id))
    };
    let free = || rooms.values().filter(|room| !taken.contains(&room.id));
    if wants_resident {
        let best = free()
            .filter_map(|room| room.resident_place(model).map(|place| (room, place)))
            .min_by_key(|(room, _)| cost(room));
        if let Some((room, accelerators)) = best {
            return Some((room.id.clone(), Residency::Resident { accelerators }));
        }
    }
    let best = free()
        .filter(|room| room.fits_on_demand(model))
        .min_by_key(|room| cost(room))?;
    Some((best.id.clone(), Residency::OnDemand))
}

fn is_waiting(assignment: &Assignment) -> bool {
    matches!(assignment.state, AssignmentState::WaitingFor { .. })
}

fn is_resident(assignment: &Assignment) -> bool {
    matches!(assignment.residency, Residency::Resident { .. })
}
