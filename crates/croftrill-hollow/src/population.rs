//! What the cluster holds: nodes, engines, groups, models and adapters of the
//! size to design for, or a part of it.

use croftrill_platform::machine_list::Machine;
use croftrill_state::configuration::{Adapter, Group, Model, PriorityClass};
use croftrill_state::entry::{Change, Intent};
use croftrill_state::placement::{Engine, Lifecycle, Node};
use croftrill_state::{
    AdapterId, CellId, EngineId, FencingToken, GroupId, ModelId, NodeId, PlanId, Revision, ZoneId,
};
use std::net::SocketAddr;

/// Nodes at the size to design for.
pub const FULL_NODES: usize = 380;
/// Engines at the size to design for.
pub const FULL_ENGINES: usize = 790;
/// Models at the size to design for.
pub const FULL_MODELS: usize = 730;
/// Adapters at the size to design for.
pub const FULL_ADAPTERS: usize = 8300;
/// Zones.
pub const ZONES: usize = 6;
/// Cells, one for each region.
pub const CELLS: usize = 2;

/// Accelerators of one engine: 6300 on 790 engines.
const ACCELERATORS: usize = 8;
const ACCELERATOR_MEMORY_MIB: u64 = 80 * 1024;
const MODEL_MEMORY_MIB: u64 = 14 * 1024;
const GROUPS: usize = 40;
/// Intents in one entry; operators' plans are smaller.
const INTENTS_PER_ENTRY: usize = 400;

/// How much is configured.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Population {
    /// Models.
    pub models: usize,
    /// Adapters.
    pub adapters: usize,
}

impl Population {
    /// A part of the size to design for, in percent.
    pub fn percent(percent: usize) -> Self {
        Self {
            models: (FULL_MODELS * percent / 100).max(1),
            adapters: FULL_ADAPTERS * percent / 100,
        }
    }

    /// The operators' entries that configure it.
    pub fn changes(&self) -> Vec<Change> {
        let groups = (0..GROUPS).map(|index| Intent::PutGroup(group(index)));
        let models = (0..self.models).map(|index| Intent::PutModel(model(index)));
        let adapters = (0..self.adapters).map(|index| Intent::PutAdapter(self.adapter(index, 1)));
        let intents: Vec<Intent> = groups.chain(models).chain(adapters).collect();
        let chunks = intents.chunks(INTENTS_PER_ENTRY).enumerate();
        chunks
            .map(|(index, intents)| confirm(format!("population/{index}"), Revision(0), intents.to_vec()))
            .collect()
    }

    /// One ordinary change of configuration: a new version of an adapter.
    pub fn ordinary_change(&self, number: usize, base: Revision) -> Change {
        let adapter = self.adapter(number % self.adapters.max(1), number as u32 + 2);
        confirm(
            format!("change/{number}"),
            base,
            vec![Intent::PutAdapter(adapter)],
        )
    }

    fn adapter(&self, index: usize, version: u32) -> Adapter {
        Adapter {
            id: AdapterId::new(format!("adapter-{index:05}")),
            base: model_id(index % self.models),
            version,
            memory_mib_per_accelerator: 200,
        }
    }
}

fn confirm(plan: String, base: Revision, intents: Vec<Intent>) -> Change {
    Change::ConfirmPlan {
        plan: PlanId::new(plan),
        base,
        intents,
        steps: Vec::new(),
    }
}

/// The name of a group.
pub fn group_id(index: usize) -> GroupId {
    GroupId::new(format!("group-{index:03}"))
}

fn group(index: usize) -> Group {
    Group {
        id: group_id(index),
        share_weight: 1 + index as u32 % 5,
        highest_priority: PriorityClass::Interactive,
    }
}

/// The name of a model.
pub fn model_id(index: usize) -> ModelId {
    ModelId::new(format!("model-{index:04}"))
}

fn model(index: usize) -> Model {
    Model {
        id: model_id(index),
        version: 1,
        accelerators: 1 + (index as u32 % 4),
        memory_mib_per_accelerator: MODEL_MEMORY_MIB,
        checkpoint_mib: MODEL_MEMORY_MIB,
        min_replicas: 0,
        max_replicas: 2,
    }
}

/// The name of a node.
pub fn node_id(index: usize) -> NodeId {
    NodeId::new(format!("node-{index:03}"))
}

/// The zone of a node or engine.
pub fn zone_of(index: usize) -> ZoneId {
    ZoneId::new(format!("zone-{}", index % ZONES))
}

/// The cell of a node or engine: the region of its zone.
pub fn cell_of(index: usize) -> CellId {
    CellId::new(format!("cell-{}", index % ZONES % CELLS))
}

/// Engines beside so many nodes.
pub fn engines_for(nodes: usize) -> usize {
    (FULL_ENGINES * nodes).div_ceil(FULL_NODES)
}

/// A node as the machine list tells it.
pub fn node_machine(index: usize, peers: SocketAddr, attempts: SocketAddr) -> Machine {
    Machine::Node(Node {
        id: node_id(index),
        zone: zone_of(index),
        cell: cell_of(index),
        peer_address: peers.to_string(),
        attempt_address: attempts.to_string(),
        lifecycle: Lifecycle::Live,
    })
}

/// An engine as the machine list tells it. Nobody calls it.
pub fn engine_machine(index: usize) -> Machine {
    Machine::Engine(Engine {
        id: EngineId::new(format!("engine-{index:03}")),
        zone: zone_of(index),
        cell: cell_of(index),
        address: "127.0.0.1:1".to_string(),
        accelerator_memory_mib: vec![ACCELERATOR_MEMORY_MIB; ACCELERATORS],
        max_running: 32,
        owner: None,
        fencing_token: FencingToken::default(),
        lifecycle: Lifecycle::Live,
    })
}
