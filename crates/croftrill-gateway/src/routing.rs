//! Chooses the engine whose queue a request should pass. Pure.
//!
//! A replica that is known to be loaded is preferred, the one with the shorter
//! wait of two random ones. If none is known, all gateways agree on the order
//! of the candidates, so that a burst of first requests meets at one owner and
//! starts one load.

use crate::load_table::LoadTable;
use croftrill_state::cluster::ClusterState;
use croftrill_state::placement::{AssignmentState, Lifecycle};
use croftrill_state::rendezvous;
use croftrill_state::{EngineId, FencingToken, Instant, ModelId, NodeId};
use rand::seq::SliceRandom;
use rand::Rng;
use std::collections::BTreeMap;

/// An engine that may serve a model, and its owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The engine.
    pub engine: EngineId,
    /// Its owner.
    pub owner: NodeId,
    /// Where the owner takes attempts.
    pub attempt_address: String,
    /// The owner's token.
    pub fencing_token: FencingToken,
}

/// Engines that may serve a model now.
pub fn candidates(state: &ClusterState, model: &ModelId) -> Vec<Candidate> {
    state
        .assignments_of_model(model)
        .filter(|assignment| assignment.state == AssignmentState::Active)
        .filter_map(|assignment| candidate(state, &assignment.engine))
        .collect()
}

fn candidate(state: &ClusterState, engine: &EngineId) -> Option<Candidate> {
    let engine = &state.engines.get(engine)?.value;
    let owner = &state.nodes.get(engine.owner.as_ref()?)?.value;
    if engine.lifecycle != Lifecycle::Live || owner.lifecycle != Lifecycle::Live {
        return None;
    }
    Some(Candidate {
        engine: engine.id.clone(),
        owner: owner.id.clone(),
        attempt_address: owner.attempt_address.clone(),
        fencing_token: engine.fencing_token,
    })
}

/// The candidates in the order in which they should be tried.
pub fn order(
    candidates: Vec<Candidate>,
    model: &ModelId,
    loads: &LoadTable,
    now: Instant,
    random: &mut impl Rng,
) -> Vec<Candidate> {
    let (mut loaded, cold): (Vec<_>, Vec<_>) = candidates
        .into_iter()
        .partition(|candidate| loads.is_known_loaded(model, &candidate.engine, now));
    loaded.shuffle(random);
    shorter_wait_first(&mut loaded, loads, now);
    loaded.extend(by_rendezvous(cold, model));
    loaded
}

/// Power of two choices: of the first two, the one with the shorter wait goes
/// first. The others keep their random order.
fn shorter_wait_first(loaded: &mut [Candidate], loads: &LoadTable, now: Instant) {
    if let [first, second, ..] = loaded {
        if loads.expected_wait(&second.engine, now) < loads.expected_wait(&first.engine, now) {
            std::mem::swap(first, second);
        }
    }
}

fn by_rendezvous(cold: Vec<Candidate>, model: &ModelId) -> Vec<Candidate> {
    // The hash takes node names; an engine's name serves as well.
    let mut by_name: BTreeMap<NodeId, Candidate> = cold
        .into_iter()
        .map(|candidate| (NodeId::from(candidate.engine.as_str()), candidate))
        .collect();
    let names: Vec<NodeId> = by_name.keys().cloned().collect();
    rendezvous::ranked(model.as_str(), &names)
        .into_iter()
        .filter_map(|name| by_name.remove(name))
        .collect()
}
