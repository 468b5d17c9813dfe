//! A cell, its coordinator and what the coordinator sees, for the tests of
//! `croftrill_state::reconcile`.
#![allow(dead_code)]

use croftrill_state::cluster::{ClusterState, Coordinator};
use croftrill_state::configuration::Model;
use croftrill_state::entry::{Change, Intent, LogEntry, PlacementStep};
use croftrill_state::placement::{Assignment, AssignmentState, Engine, Lifecycle, Node};
use croftrill_state::reconcile::{ListedMachines, Observation, ReconcileConfig, Reconciler};
use croftrill_state::*;
use std::collections::BTreeSet;

pub const OWNER_DEAD_MILLIS: u64 = 4_000;
pub const MACHINE_ABSENT_MILLIS: u64 = 30_000;
pub const STEADY_NODE_MILLIS: u64 = 30_000;
pub const BETWEEN_MOVES_MILLIS: u64 = 5_000;
pub const MOST_CHANGES: usize = 400;
/// More plans than any change of the world takes.
pub const MOST_PLANS: usize = 100;

pub fn cell() -> CellId {
    CellId::from("cell")
}

pub fn node(name: &str, zone: &str) -> Node {
    Node {
        id: NodeId::from(name),
        zone: ZoneId::from(zone),
        cell: cell(),
        peer_address: name.to_string(),
        attempt_address: name.to_string(),
        lifecycle: Lifecycle::Live,
    }
}

pub fn engine(name: &str, zone: &str) -> Engine {
    Engine {
        id: EngineId::from(name),
        zone: ZoneId::from(zone),
        cell: cell(),
        address: name.to_string(),
        accelerator_memory_mib: vec![40, 40],
        max_running: 4,
        owner: None,
        fencing_token: FencingToken(0),
        lifecycle: Lifecycle::Live,
    }
}

pub fn model(name: &str, min_replicas: u32, max_replicas: u32, memory: u64) -> Model {
    Model {
        id: ModelId::from(name),
        version: 1,
        accelerators: 1,
        memory_mib_per_accelerator: memory,
        checkpoint_mib: memory,
        min_replicas,
        max_replicas,
    }
}

/// A change that only adds or changes one assignment.
pub fn assign(assignment: Assignment) -> Change {
    Change::Reconcile {
        cell: cell(),
        put_nodes: Vec::new(),
        remove_nodes: Vec::new(),
        put_engines: Vec::new(),
        remove_engines: Vec::new(),
        steps: vec![PlacementStep::Assign { assignment }],
    }
}

/// A cell and what its coordinator sees.
pub struct World {
    pub state: ClusterState,
    pub reconciler: Reconciler,
    pub machines: ListedMachines,
    pub dead: BTreeSet<NodeId>,
    /// Nodes that announced a planned stop and have not ended yet.
    pub leaving: BTreeSet<NodeId>,
    pub list_is_readable: bool,
    pub now: Instant,
}

impl World {
    pub fn new() -> Self {
        Self::with_most_changes(MOST_CHANGES)
    }

    pub fn with_most_changes(most_changes: usize) -> Self {
        let mut state = ClusterState::default();
        let coordinator = Coordinator {
            node: NodeId::from("coordinator"),
            term: Term(1),
        };
        state.coordinators.insert(cell(), coordinator);
        let config = ReconcileConfig {
            owner_dead_millis: OWNER_DEAD_MILLIS,
            machine_absent_millis: MACHINE_ABSENT_MILLIS,
            steady_node_millis: STEADY_NODE_MILLIS,
            between_moves_millis: BETWEEN_MOVES_MILLIS,
            most_changes,
        };
        Self {
            state,
            reconciler: Reconciler::new(cell(), config),
            machines: ListedMachines::default(),
            dead: BTreeSet::new(),
            leaving: BTreeSet::new(),
            list_is_readable: true,
            now: Instant(0),
        }
    }

    pub fn list_node(&mut self, node: Node) {
        self.machines.nodes.insert(node.id.clone(), node);
    }

    pub fn list_engine(&mut self, engine: Engine) {
        self.machines.engines.insert(engine.id.clone(), engine);
    }

    pub fn put_model(&mut self, model: Model) {
        self.confirm(Intent::PutModel(model));
    }

    /// Puts a model and places it.
    pub fn place_model(&mut self, model: Model) {
        self.put_model(model);
        self.settle();
    }

    /// Drains an engine and plans what follows.
    pub fn drain_engine(&mut self, engine: &EngineId) {
        self.confirm(Intent::DrainEngine(engine.clone()));
        self.settle();
    }

    pub fn confirm(&mut self, intent: Intent) {
        let plan = PlanId::new(format!("plan-{}", self.state.revision));
        let base = self.state.revision;
        let steps = Vec::new();
        let intents = vec![intent];
        self.append(Change::ConfirmPlan {
            plan,
            base,
            intents,
            steps,
        });
    }

    pub fn append(&mut self, change: Change) {
        self.append_unchecked(change);
        self.state.check().unwrap();
    }

    /// Records the present release of an assignment.
    pub fn append_released(&mut self, assignment: Assignment) {
        let (model, engine) = (assignment.model, assignment.engine);
        let release = self.state.assignments[&model][&engine].changed_at;
        self.append(Change::Released {
            model,
            engine,
            release,
        });
    }

    pub fn append_unchecked(&mut self, change: Change) {
        let entry = LogEntry {
            revision: self.state.revision.next(),
            entry_id: EntryId(self.state.revision.0),
            author: NodeId::from("coordinator"),
            term: Term(1),
            change,
        };
        if let Err(error) = self.state.apply(&entry) {
            panic!("{error}: {entry:?}");
        }
    }

    pub fn plan(&mut self) -> Option<Change> {
        let (dead, leaving) = (&self.dead, &self.leaving);
        let observation = Observation {
            machines: self.list_is_readable.then_some(&self.machines),
            alive: &|node| !dead.contains(node) && !leaving.contains(node),
            leaving: &|node| leaving.contains(node),
            now: self.now,
        };
        self.reconciler.plan(&self.state, &observation)
    }

    /// Plans and applies until there is nothing to do.
    pub fn settle(&mut self) {
        for _ in 0..MOST_PLANS {
            match self.plan() {
                Some(change) => self.append(change),
                None => return,
            }
        }
        panic!("plans never end: {:?}", self.plan());
    }

    pub fn pass(&mut self, millis: u64) {
        self.settle();
        self.now = self.now + millis;
        self.settle();
    }

    pub fn owner(&self, name: &str) -> Option<&NodeId> {
        self.engine(name).owner.as_ref()
    }

    pub fn engine(&self, name: &str) -> &Engine {
        &self.state.engines[&EngineId::from(name)].value
    }

    pub fn assignments(&self, name: &str) -> Vec<Assignment> {
        self.state
            .assignments_of_model(&ModelId::from(name))
            .cloned()
            .collect()
    }

    /// The engine of a model's first assignment.
    pub fn first_engine(&self, name: &str) -> EngineId {
        self.assignments(name)[0].engine.clone()
    }

    /// Engines whose release some assignment of a model waits for.
    pub fn awaited_engines(&self, name: &str) -> BTreeSet<EngineId> {
        let awaited = |assignment: Assignment| match assignment.state {
            AssignmentState::WaitingFor { engine } => Some(engine),
            AssignmentState::Active | AssignmentState::Releasing => None,
        };
        self.assignments(name).into_iter().filter_map(awaited).collect()
    }

    pub fn release_all(&mut self) {
        let releasing: Vec<Assignment> = self
            .state
            .all_assignments()
            .filter(|assignment| assignment.state == AssignmentState::Releasing)
            .cloned()
            .collect();
        for assignment in releasing {
            self.append_released(assignment);
        }
    }
}

/// Two zones with two nodes and two engines each, every engine owned.
pub fn two_zones() -> World {
    let mut world = World::new();
    for zone in ["a", "b"] {
        for index in 0..2 {
            world.list_node(node(&format!("{zone}-node-{index}"), zone));
            world.list_engine(engine(&format!("{zone}-engine-{index}"), zone));
        }
    }
    world.settle();
    world
}

pub fn lifecycle(world: &World, node: &str) -> Lifecycle {
    world.state.nodes[&NodeId::from(node)].value.lifecycle
}
