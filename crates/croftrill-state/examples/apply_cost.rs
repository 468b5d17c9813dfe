//! Measures planning, applying and copying at the full size of a deployment:
//! 730 models, 8300 adapters, 790 engines with 8 accelerators, 380 nodes.
//!
//! Run with `cargo run --release -p croftrill-state --example apply_cost`.

use croftrill_state::configuration::{Adapter, Group, Model, PriorityClass};
use croftrill_state::entry::{Change, Intent, LogEntry, PlacementStep};
use croftrill_state::placement::{AssignmentState, Engine, Lifecycle, Node};
use croftrill_state::planner::{plan, EngineFacts};
use croftrill_state::reconcile::{Observation, ReconcileConfig, Reconciler};
use croftrill_state::{ClusterState, EngineId, EntryId, FencingToken, NodeId, PlanId, Term, ZoneId};
use nanoserde::{DeBin, SerBin};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

const NODES: usize = 380;
const ENGINES: usize = 790;
const ACCELERATORS: usize = 8;
const MODELS: usize = 730;
const ADAPTERS: usize = 8300;
const GROUPS: usize = 200;
const ZONES: usize = 4;
const REPLICAS: u32 = 3;
const ROUNDS: u32 = 200;

fn main() {
    let mut state = ClusterState::default();
    measure("reconcile with every machine", 1, || {
        apply(
            &mut state,
            Change::ElectCoordinator {
                cell: "cell".into(),
                node: "node-0".into(),
            },
        );
        apply(&mut state, every_machine());
    });
    measure("plan and confirm every model one by one", 1, || {
        for number in 0..MODELS {
            confirm(&mut state, vec![Intent::PutModel(model(number, REPLICAS))]);
        }
    });
    measure("plan and confirm groups and adapters at once", 1, || {
        let groups = (0..GROUPS).map(|number| Intent::PutGroup(group(number)));
        let adapters = (0..ADAPTERS).map(|number| Intent::PutAdapter(adapter(number)));
        confirm(&mut state, groups.chain(adapters).collect());
    });
    print_balance(&state);

    let snapshot = state.serialize_bin();
    println!("snapshot: {} KiB", snapshot.len() / 1024);
    measure("clone", ROUNDS, || drop(std::hint::black_box(state.clone())));
    measure("write a snapshot", ROUNDS, || {
        drop(std::hint::black_box(state.serialize_bin()));
    });
    measure("read a snapshot", ROUNDS, || {
        drop(std::hint::black_box(ClusterState::deserialize_bin(&snapshot)));
    });
    measure("check everything", ROUNDS, || {
        std::hint::black_box(state.check()).expect("the invariants hold");
    });
    let mut weight = 0;
    measure("apply a change of a group", ROUNDS, || {
        weight += 1;
        let mut changed = group(0);
        changed.share_weight = weight;
        apply_plan(&mut state, vec![Intent::PutGroup(changed)], vec![]);
    });
    measure("plan a change of a model", ROUNDS, || {
        let intents = [Intent::PutModel(model(0, REPLICAS + 1))];
        std::hint::black_box(plan(&state, &EngineFacts::default(), &intents)).expect("it can be planned");
    });
    measure("plan the coordinator's own changes", 10, || {
        std::hint::black_box(own_changes(&state)).expect("engines lack owners");
    });
    let mut replicas = REPLICAS;
    measure("plan, confirm and release a change of a model", ROUNDS, || {
        replicas = if replicas == REPLICAS { 1 } else { REPLICAS };
        confirm(&mut state, vec![Intent::PutModel(model(0, replicas))]);
        release_all(&mut state);
    });
}

/// Prints how evenly the planner spread the replicas.
fn print_balance(state: &ClusterState) {
    let mut engines: BTreeMap<&EngineId, usize> = state.engines.keys().map(|id| (id, 0)).collect();
    let mut same_zone = 0;
    for by_engine in state.assignments.values() {
        let zones: BTreeSet<&ZoneId> = by_engine.keys().map(|id| &state.engines[id].value.zone).collect();
        same_zone += usize::from(zones.len() < by_engine.len().min(ZONES));
        for engine in by_engine.keys() {
            *engines.entry(engine).or_default() += 1;
        }
    }
    println!(
        "assignments: {}, on one engine {} to {}, models with two replicas in a zone: {same_zone}",
        state.all_assignments().count(),
        engines.values().min().unwrap_or(&0),
        engines.values().max().unwrap_or(&0),
    );
}

fn measure(what: &str, rounds: u32, mut work: impl FnMut()) {
    let started = Instant::now();
    for _ in 0..rounds {
        work();
    }
    let each: Duration = started.elapsed() / rounds;
    println!("{what}: {:.3} ms", each.as_secs_f64() * 1000.0);
}

fn apply(state: &mut ClusterState, change: Change) {
    let entry = LogEntry {
        revision: state.revision.next(),
        entry_id: EntryId(1),
        author: NodeId::from("node-0"),
        term: Term(1),
        change,
    };
    state.apply(&entry).expect("the entry is accepted");
}

fn apply_plan(state: &mut ClusterState, intents: Vec<Intent>, steps: Vec<PlacementStep>) {
    let change = Change::ConfirmPlan {
        plan: PlanId::new(format!("node-0/{:x}", state.revision.0)),
        base: state.revision,
        intents,
        steps,
    };
    apply(state, change);
}

/// What a new coordinator plans, which cannot read the machine list.
fn own_changes(state: &ClusterState) -> Option<Change> {
    let mut reconciler = Reconciler::new("cell".into(), ReconcileConfig::default());
    let observation = Observation {
        machines: None,
        alive: &|_| true,
        leaving: &|_| false,
        now: croftrill_state::Instant(0),
    };
    reconciler.plan(state, &observation)
}

fn confirm(state: &mut ClusterState, intents: Vec<Intent>) {
    let planned = plan(state, &EngineFacts::default(), &intents).expect("the intents can be planned");
    apply_plan(state, intents, planned.steps);
}

fn release_all(state: &mut ClusterState) {
    let releasing: Vec<_> = state
        .all_assignments()
        .filter(|assignment| assignment.state == AssignmentState::Releasing)
        .map(|assignment| (assignment.model.clone(), assignment.engine.clone()))
        .collect();
    for (model, engine) in releasing {
        let release = state.release_revision(&model, &engine);
        let change = Change::Released {
            model,
            engine,
            release: release.expect("the replica is being released"),
        };
        apply(state, change);
    }
}

fn every_machine() -> Change {
    Change::Reconcile {
        cell: "cell".into(),
        put_nodes: (0..NODES).map(node).collect(),
        remove_nodes: vec![],
        put_engines: (0..ENGINES).map(engine).collect(),
        remove_engines: vec![],
        steps: vec![],
    }
}

fn zone(number: usize) -> String {
    format!("zone-{}", number % ZONES)
}

fn node(number: usize) -> Node {
    Node {
        id: NodeId::new(format!("node-{number}")),
        zone: zone(number).as_str().into(),
        cell: "cell".into(),
        peer_address: format!("10.0.0.{number}:7000"),
        attempt_address: format!("10.0.0.{number}:7001"),
        lifecycle: Lifecycle::Live,
    }
}

fn engine(number: usize) -> Engine {
    Engine {
        id: format!("engine-{number}").as_str().into(),
        zone: zone(number).as_str().into(),
        cell: "cell".into(),
        address: format!("10.0.1.{number}:8000"),
        accelerator_memory_mib: vec![80_000; ACCELERATORS],
        max_running: 64,
        owner: None,
        fencing_token: FencingToken(0),
        lifecycle: Lifecycle::Live,
    }
}

fn group(number: usize) -> Group {
    Group {
        id: format!("group-{number}").as_str().into(),
        share_weight: 1,
        highest_priority: PriorityClass::Standard,
    }
}

fn model(number: usize, max_replicas: u32) -> Model {
    Model {
        id: format!("model-{number}").as_str().into(),
        version: 1,
        accelerators: 2,
        memory_mib_per_accelerator: 40_000,
        checkpoint_mib: 70_000,
        min_replicas: u32::from(number % 10 == 0),
        max_replicas,
    }
}

fn adapter(number: usize) -> Adapter {
    Adapter {
        id: format!("adapter-{number}").as_str().into(),
        base: format!("model-{}", number % MODELS).as_str().into(),
        version: 1,
        memory_mib_per_accelerator: 200,
    }
}
