//! Moves of engines that have a usable owner, to spread them again after nodes
//! came back.
//!
//! A move refuses what waits in the former owner's queue, so moves are made one
//! at a time, seldom, and only to nodes that have been steady. An engine moves
//! into its own zone, or away from an owner that has clearly more engines than
//! another one; each move makes one of the two rarer, so moves come to an end.

use super::draft::Draft;
use super::ownership::candidates;
use super::{lasted, Observation, Reconciler};
use crate::engine_owners::OwnerCandidate;
use crate::entry::PlacementStep;
use crate::identifiers::NodeId;
use crate::placement::{Engine, Lifecycle};

/// An owner with this many engines more than another one gives one away.
const CLEARLY_MORE: usize = 3;

impl Reconciler {
    pub(super) fn draft_move(&mut self, draft: &mut Draft, observation: &Observation) {
        let now = observation.now;
        let pause = self.config.between_moves_millis;
        let paused = self.moved_at.is_some_and(|at| now.millis_since(at) < pause);
        if paused || !draft.has_room(1) || !self.without_owner(draft, observation).is_empty() {
            return;
        }
        let steady = self.steady_candidates(draft, observation);
        let found = draft
            .engines()
            .filter(|engine| engine.cell == draft.cell && engine.lifecycle == Lifecycle::Live)
            .find_map(|engine| better_owner(engine, &steady).map(|owner| (engine.id.clone(), owner)));
        if let Some((engine, owner)) = found {
            self.moved_at = Some(now);
            draft.step(PlacementStep::SetOwner { engine, owner });
        }
    }

    fn steady_candidates(&self, draft: &Draft, observation: &Observation) -> Vec<OwnerCandidate> {
        let patience = self.config.steady_node_millis;
        let mut steady = candidates(draft, observation);
        steady.retain(|candidate| lasted(&self.alive_since, &candidate.id, patience, observation.now));
        steady
    }
}

fn better_owner(engine: &Engine, steady: &[OwnerCandidate]) -> Option<NodeId> {
    let present = steady.iter().find(|c| Some(&c.id) == engine.owner.as_ref())?;
    let same_zone = || steady.iter().filter(|c| c.zone == engine.zone);
    let best_of_zone = same_zone().min_by_key(|c| (c.owned, &c.id));
    if let Some(best) = best_of_zone.filter(|_| present.zone != engine.zone) {
        return Some(best.id.clone());
    }
    let best = best_of_zone.or_else(|| steady.iter().min_by_key(|c| (c.owned, &c.id)))?;
    (present.owned >= best.owned + CLEARLY_MORE).then(|| best.id.clone())
}
