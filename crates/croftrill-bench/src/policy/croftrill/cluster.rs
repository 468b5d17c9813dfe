//! The cluster state that operators and coordinator would have built: machines,
//! owners, groups, models and, by the planner, assignments.

use super::names::{owner_of, Names};
use super::CroftrillConfig;
use crate::identifiers::EngineIndex;
use crate::simulation::World;
use croftrill_state::configuration::{Group, Model, PriorityClass};
use croftrill_state::entry::{Change, Intent, LogEntry, PlacementStep};
use croftrill_state::placement::{Engine, Lifecycle, Node};
use croftrill_state::planner::{plan, EngineCache, EngineFacts, LoadSpeeds};
use croftrill_state::{CellId, ClusterState, EntryId, FencingToken, NodeId, PlanId, Term, ZoneId};

const CELL: &str = "cell";

/// Builds the state; panics if the scenario cannot be placed at all.
pub(super) fn build<M>(world: &World<'_, M>, names: &Names, config: &CroftrillConfig) -> ClusterState {
    let mut state = ClusterState::default();
    let coordinator = owner_of(EngineIndex(0));
    append(&mut state, Term(1), elect(&coordinator));
    append(&mut state, Term(1), machines(world, names));
    let intents = intents(world, names, config);
    let planned = plan(&state, &facts(world, names, config), &intents).expect("the models can be planned");
    let base = state.revision;
    let change = Change::ConfirmPlan {
        plan: PlanId::from("first"),
        base,
        intents,
        steps: planned.steps,
    };
    append(&mut state, Term(0), change);
    state
}

fn append(state: &mut ClusterState, term: Term, change: Change) {
    let entry = LogEntry {
        revision: state.revision.next(),
        entry_id: EntryId(state.revision.0 + 1),
        author: owner_of(EngineIndex(0)),
        term,
        change,
    };
    state.apply(&entry).expect("the entry is accepted");
}

fn elect(node: &NodeId) -> Change {
    Change::ElectCoordinator {
        cell: CellId::from(CELL),
        node: node.clone(),
    }
}

fn machines<M>(world: &World<'_, M>, names: &Names) -> Change {
    let engines: Vec<EngineIndex> = (0..world.engines().len()).map(EngineIndex).collect();
    Change::Reconcile {
        cell: CellId::from(CELL),
        put_nodes: engines.iter().map(|engine| node(world, *engine)).collect(),
        remove_nodes: Vec::new(),
        put_engines: engines
            .iter()
            .map(|engine| machine(world, names, *engine))
            .collect(),
        remove_engines: Vec::new(),
        steps: engines
            .iter()
            .map(|engine| PlacementStep::SetOwner {
                engine: names.engine(*engine).clone(),
                owner: owner_of(*engine),
            })
            .collect(),
    }
}

fn zone<M>(world: &World<'_, M>, engine: EngineIndex) -> ZoneId {
    ZoneId::new(format!("zone-{}", world.engine(engine).zone))
}

fn node<M>(world: &World<'_, M>, engine: EngineIndex) -> Node {
    Node {
        id: owner_of(engine),
        zone: zone(world, engine),
        cell: CellId::from(CELL),
        peer_address: String::new(),
        attempt_address: String::new(),
        lifecycle: Lifecycle::Live,
    }
}

fn machine<M>(world: &World<'_, M>, names: &Names, engine: EngineIndex) -> Engine {
    let profile = &world.scenario().engine;
    Engine {
        id: names.engine(engine).clone(),
        zone: zone(world, engine),
        cell: CellId::from(CELL),
        address: String::new(),
        accelerator_memory_mib: vec![profile.accelerator_memory_mib; profile.accelerators],
        max_running: profile.max_running as u32,
        owner: None,
        fencing_token: FencingToken(0),
        lifecycle: Lifecycle::Live,
    }
}

fn intents<M>(world: &World<'_, M>, names: &Names, config: &CroftrillConfig) -> Vec<Intent> {
    let scenario = world.scenario();
    let groups = scenario.groups.iter().map(|group| {
        Intent::PutGroup(Group {
            id: group.name.as_str().into(),
            share_weight: group.share_weight,
            highest_priority: PriorityClass::Critical,
        })
    });
    let models = world.models().iter().enumerate().map(|(index, spec)| {
        let class = &world.class(spec.class).name;
        let resident = config.resident_classes.contains(class);
        Intent::PutModel(Model {
            id: names.model(crate::identifiers::ModelIndex(index)).clone(),
            version: 1,
            accelerators: spec.accelerators,
            memory_mib_per_accelerator: spec.memory_mib,
            checkpoint_mib: spec.checkpoint_mib,
            min_replicas: u32::from(resident),
            max_replicas: spec.max_replicas,
        })
    });
    groups.chain(models).collect()
}

fn facts<M>(world: &World<'_, M>, names: &Names, config: &CroftrillConfig) -> EngineFacts {
    let profile = &world.scenario().engine;
    let mut facts = EngineFacts {
        speeds: LoadSpeeds {
            memory: profile.memory_mib_per_second,
            disk: profile.disk_mib_per_second,
            remote: world.scenario().weight_store.mib_per_second,
        },
        ..EngineFacts::default()
    };
    if !config.cache_facts {
        return facts;
    }
    for index in 0..world.engines().len() {
        let engine = world.engine(EngineIndex(index));
        let cache = EngineCache {
            in_memory: engine
                .cached_in_memory()
                .map(|model| names.model(model).clone())
                .collect(),
            on_disk: engine
                .cached_on_disk()
                .map(|model| names.model(model).clone())
                .collect(),
        };
        facts
            .caches
            .insert(names.engine(EngineIndex(index)).clone(), cache);
    }
    facts
}
