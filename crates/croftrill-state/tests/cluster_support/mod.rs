//! Builders shared by the tests of the cluster state and of the planner.
#![allow(dead_code)]

use croftrill_state::cluster::ApplyError;
use croftrill_state::configuration::{Adapter, Group, Model, PriorityClass};
use croftrill_state::entry::{Change, Intent, LogEntry, PlacementStep};
use croftrill_state::placement::{Assignment, AssignmentState, Engine, Lifecycle, Node, Residency};
use croftrill_state::{CellId, ClusterState, EntryId, FencingToken, NodeId, PlanId, Revision, Term};

/// The only cell of the tests.
pub const CELL: &str = "cell";
/// Memory of each accelerator of a test engine, in MiB.
pub const ACCELERATOR_MIB: u64 = 80_000;

pub fn group(id: &str, share_weight: u32) -> Group {
    Group {
        id: id.into(),
        share_weight,
        highest_priority: PriorityClass::Critical,
    }
}

pub fn model(id: &str, min_replicas: u32, max_replicas: u32) -> Model {
    Model {
        id: id.into(),
        version: 1,
        accelerators: 1,
        memory_mib_per_accelerator: 30_000,
        checkpoint_mib: 28_000,
        min_replicas,
        max_replicas,
    }
}

pub fn adapter(id: &str, base: &str) -> Adapter {
    Adapter {
        id: id.into(),
        base: base.into(),
        version: 1,
        memory_mib_per_accelerator: 200,
    }
}

pub fn node(id: &str, zone: &str) -> Node {
    Node {
        id: id.into(),
        zone: zone.into(),
        cell: CELL.into(),
        peer_address: "127.0.0.1:1".to_string(),
        attempt_address: "127.0.0.1:2".to_string(),
        lifecycle: Lifecycle::Live,
    }
}

pub fn engine(id: &str, zone: &str, accelerators: usize) -> Engine {
    Engine {
        id: id.into(),
        zone: zone.into(),
        cell: CELL.into(),
        address: "127.0.0.1:3".to_string(),
        accelerator_memory_mib: vec![ACCELERATOR_MIB; accelerators],
        max_running: 8,
        owner: None,
        fencing_token: FencingToken(0),
        lifecycle: Lifecycle::Live,
    }
}

pub fn on_demand(model: &str, engine: &str) -> Assignment {
    Assignment {
        model: model.into(),
        engine: engine.into(),
        residency: Residency::OnDemand,
        state: AssignmentState::Active,
    }
}

pub fn resident(model: &str, engine: &str, accelerators: &[u32]) -> Assignment {
    Assignment {
        residency: Residency::Resident {
            accelerators: accelerators.to_vec(),
        },
        ..on_demand(model, engine)
    }
}

pub fn waiting(model: &str, engine: &str, releasing: &str) -> Assignment {
    Assignment {
        state: AssignmentState::WaitingFor {
            engine: releasing.into(),
        },
        ..on_demand(model, engine)
    }
}

pub fn assign(assignment: Assignment) -> PlacementStep {
    PlacementStep::Assign { assignment }
}

pub fn release(model: &str, engine: &str) -> PlacementStep {
    PlacementStep::Release {
        model: model.into(),
        engine: engine.into(),
    }
}

pub fn confirm(plan: &str, base: Revision, intents: Vec<Intent>, steps: Vec<PlacementStep>) -> Change {
    Change::ConfirmPlan {
        plan: PlanId::from(plan),
        base,
        intents,
        steps,
    }
}

pub fn released(model: &str, engine: &str, release: Revision) -> Change {
    Change::Released {
        model: model.into(),
        engine: engine.into(),
        release,
    }
}

/// The report of the release of this assignment that is under way.
pub fn present_release(state: &ClusterState, model: &str, engine: &str) -> Change {
    let found = &state.assignments[&model.into()][&engine.into()];
    released(model, engine, found.changed_at)
}

/// Records the present release of an assignment.
pub fn apply_released(state: &mut ClusterState, model: &str, engine: &str) -> Result<(), ApplyError> {
    let change = present_release(state, model, engine);
    apply(state, change)
}

pub fn reconcile(nodes: Vec<Node>, engines: Vec<Engine>) -> Change {
    Change::Reconcile {
        cell: CELL.into(),
        put_nodes: nodes,
        remove_nodes: vec![],
        put_engines: engines,
        remove_engines: vec![],
        steps: vec![],
    }
}

pub fn entry(revision: Revision, change: Change) -> LogEntry {
    LogEntry {
        revision,
        entry_id: EntryId(revision.0),
        author: NodeId::from("n1"),
        term: Term(1),
        change,
    }
}

/// Applies a change as the next entry.
pub fn apply(state: &mut ClusterState, change: Change) -> Result<(), ApplyError> {
    let next = entry(state.revision.next(), change);
    state.apply(&next)
}

/// Applies a plan made from the present revision; its id is the revision.
pub fn apply_plan(
    state: &mut ClusterState,
    intents: Vec<Intent>,
    steps: Vec<PlacementStep>,
) -> Result<(), ApplyError> {
    let plan = format!("n1/{}", state.revision.next());
    let change = confirm(&plan, state.revision, intents, steps);
    apply(state, change)
}

/// A state with an elected coordinator, the given nodes and engines.
pub fn cluster(nodes: Vec<Node>, engines: Vec<Engine>) -> ClusterState {
    let mut state = ClusterState::default();
    let elect = Change::ElectCoordinator {
        cell: CellId::from(CELL),
        node: NodeId::from("n1"),
    };
    apply(&mut state, elect).expect("the first coordinator is accepted");
    apply(&mut state, reconcile(nodes, engines)).expect("the machines are accepted");
    state
}

/// Engines `e1..=eN`, two accelerators each, over three zones.
pub fn small_cluster(engines: usize) -> ClusterState {
    let nodes = vec![node("n1", "z1"), node("n2", "z2"), node("n3", "z3")];
    let engines = (1..=engines)
        .map(|number| engine(&format!("e{number}"), &format!("z{}", (number - 1) % 3 + 1), 2))
        .collect();
    cluster(nodes, engines)
}
