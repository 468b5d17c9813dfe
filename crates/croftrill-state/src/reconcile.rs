//! What a cell's coordinator changes by itself: the nodes and engines that the
//! machine list names, the owners of engines, and assignments of models that
//! lost one or never had one.
//!
//! Invariants:
//! - a machine on its way out never becomes live again while it stays listed,
//!   so an operator's drain is not undone by a lagging list;
//! - a node that announced its planned stop loses its engines at once, however
//!   the list lags, and is live again when a new process of it answers;
//! - a machine is removed only after it was missing from the list for a while
//!   (and, if it is a node, does not answer either), and never because the list
//!   is empty;
//! - no model gets more replicas than it may have, and no engine more than fits:
//!   a replacement at the limit waits for the release that makes room;
//! - a change that the state refuses does not hold up the others;
//! - one plan has a bounded size; the next one continues.

mod acceptance;
mod assignments;
mod draft;
mod holdings;
mod machines;
mod moves;
mod ownership;

use crate::cluster::ClusterState;
use crate::entry::Change;
use crate::identifiers::{CellId, EngineId, NodeId};
use crate::placement::{Engine, Node};
use crate::time::Instant;
use draft::Draft;
use std::collections::BTreeMap;

/// How patient a reconciler is.
#[derive(Clone, Debug)]
pub struct ReconcileConfig {
    /// An owner that does not answer for this long loses its engines, in
    /// milliseconds.
    pub owner_dead_millis: u64,
    /// A machine missing from the list for this long is gone, in milliseconds.
    pub machine_absent_millis: u64,
    /// A node that answers for this long may be given engines that have a usable
    /// owner, in milliseconds.
    pub steady_node_millis: u64,
    /// Between two such moves, in milliseconds.
    pub between_moves_millis: u64,
    /// Most changes in one plan.
    pub most_changes: usize,
}

impl Default for ReconcileConfig {
    fn default() -> Self {
        Self {
            owner_dead_millis: 4_000,
            machine_absent_millis: 30_000,
            steady_node_millis: 30_000,
            between_moves_millis: 5_000,
            most_changes: 400,
        }
    }
}

/// The machine list, sorted by kind.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ListedMachines {
    /// Machines that run the daemon.
    pub nodes: BTreeMap<NodeId, Node>,
    /// Machines that run an engine.
    pub engines: BTreeMap<EngineId, Engine>,
}

/// What the coordinator sees of the world.
pub struct Observation<'a> {
    /// The machine list; `None` while it cannot be read.
    pub machines: Option<&'a ListedMachines>,
    /// Whether membership believes a node to be alive, and not leaving.
    pub alive: &'a dyn Fn(&NodeId) -> bool,
    /// Whether a node announced to membership that it stops on purpose.
    pub leaving: &'a dyn Fn(&NodeId) -> bool,
    /// The time.
    pub now: Instant,
}

/// Plans a coordinator's own changes; remembers since when something is amiss.
#[derive(Clone, Debug)]
pub struct Reconciler {
    config: ReconcileConfig,
    cell: CellId,
    dead_since: BTreeMap<NodeId, Instant>,
    alive_since: BTreeMap<NodeId, Instant>,
    moved_at: Option<Instant>,
    node_absent_since: BTreeMap<NodeId, Instant>,
    engine_absent_since: BTreeMap<EngineId, Instant>,
}

impl Reconciler {
    /// A reconciler of a cell that has seen nothing yet.
    pub fn new(cell: CellId, config: ReconcileConfig) -> Self {
        Self {
            config,
            cell,
            dead_since: BTreeMap::new(),
            alive_since: BTreeMap::new(),
            moved_at: None,
            node_absent_since: BTreeMap::new(),
            engine_absent_since: BTreeMap::new(),
        }
    }

    /// What to change now, if anything. The change is made for exactly this
    /// state, which accepts it, and must not be appended after any other entry.
    pub fn plan(&mut self, state: &ClusterState, observation: &Observation) -> Option<Change> {
        self.observe(state, observation);
        let mut draft = Draft::new(state, self.cell.clone(), self.config.most_changes);
        self.draft_stops(&mut draft, observation);
        if let Some(machines) = observation.machines {
            self.draft_machines(&mut draft, machines, observation);
        }
        self.draft_owners(&mut draft, observation);
        self.draft_move(&mut draft, observation);
        assignments::draft_assignments(&mut draft, observation.alive);
        let change = draft.into_change()?;
        acceptance::accepted_part(state, change)
    }

    /// Notes since when nodes do not answer and machines are not listed.
    fn observe(&mut self, state: &ClusterState, observation: &Observation) {
        let now = observation.now;
        let dead = state.nodes.keys().filter(|id| !(observation.alive)(id));
        note_since(&mut self.dead_since, dead, now);
        let alive = state.nodes.keys().filter(|id| (observation.alive)(id));
        note_since(&mut self.alive_since, alive, now);
        let Some(machines) = usable(observation.machines) else {
            return;
        };
        let absent = state.nodes.keys().filter(|id| !machines.nodes.contains_key(id));
        note_since(&mut self.node_absent_since, absent, now);
        let absent = state
            .engines
            .keys()
            .filter(|id| !machines.engines.contains_key(id));
        note_since(&mut self.engine_absent_since, absent, now);
    }
}

/// A list without any machine is a fault of the list.
fn usable(machines: Option<&ListedMachines>) -> Option<&ListedMachines> {
    machines.filter(|listed| !listed.nodes.is_empty() || !listed.engines.is_empty())
}

/// Keeps the first time of what is still so, and forgets the rest.
fn note_since<'a, K: Ord + Clone + 'a>(
    since: &mut BTreeMap<K, Instant>,
    present: impl Iterator<Item = &'a K>,
    now: Instant,
) {
    let before = std::mem::take(since);
    for key in present {
        let first = before.get(key).copied().unwrap_or(now);
        since.insert(key.clone(), first);
    }
}

fn lasted<K: Ord>(since: &BTreeMap<K, Instant>, key: &K, millis: u64, now: Instant) -> bool {
    since
        .get(key)
        .is_some_and(|first| now.millis_since(*first) >= millis)
}
