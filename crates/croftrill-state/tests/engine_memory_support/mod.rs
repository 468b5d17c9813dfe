//! The truth beside an `EngineMemory`: the engine, the log, the orders on their
//! way, the requests that run.
//!
//! Each of these has a file with the events that change it. Every event checks
//! what the memory decided against the truth.

pub mod campaign;
mod checks;
mod engine;
mod inventories;
mod log;
mod orders;
mod requests;

use croftrill_state::cluster::Target;
use croftrill_state::configuration::{Adapter, Model, PriorityClass};
use croftrill_state::engine_memory::*;
use croftrill_state::placement::{AssignmentState, Residency};
use croftrill_state::{AdapterId, Instant, ModelId, Revision};
use std::collections::BTreeMap;

pub const MODELS: usize = 6;
pub const ACCELERATORS: usize = 3;
pub const CAPACITY: u64 = 100;
const ADAPTER_MEMORY: u64 = 15;
const LOST_ORDER_HOLD: u64 = 2_000;

/// What one replica of a model needs.
pub struct Spec {
    pub accelerators: u32,
    /// On each of its accelerators.
    pub memory: u64,
}

pub fn spec(number: usize) -> Spec {
    let (accelerators, memory) = [(1, 30), (1, 60), (2, 50), (3, 40), (1, 90), (2, 85)][number];
    Spec { accelerators, memory }
}

pub fn model_id(number: usize) -> ModelId {
    ModelId::new(format!("model-{number}"))
}

pub fn target(number: usize, adapter: bool) -> Target {
    Target {
        model: model_id(number),
        adapter: adapter.then(|| AdapterId::new(format!("adapter-{number}"))),
    }
}

pub fn accelerators_from(first: u32, count: u32) -> Vec<u32> {
    (0..count).map(|n| (first + n) % ACCELERATORS as u32).collect()
}

/// What becomes of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// Carried out, and the owner hears so.
    Answered,
    /// Carried out, and the owner hears nothing.
    AnswerLost,
    /// Known never to have arrived.
    Undelivered,
    /// May still arrive, after the owner gave up waiting for an answer.
    Delayed,
}

/// A replica that the engine really holds.
#[derive(Clone, Debug)]
struct TrueModel {
    version: u32,
    loaded: bool,
    accelerators: Vec<u32>,
    memory: u64,
    adapters: BTreeMap<AdapterId, TrueAdapter>,
}

#[derive(Clone, Debug)]
struct TrueAdapter {
    version: u32,
    loaded: bool,
    memory: u64,
}

#[derive(Clone, Debug)]
struct Order {
    token: u64,
    action: MemoryAction,
    /// When a delayed order must have arrived.
    arrives_before: Instant,
}

/// An inventory on its way to the owner that asked for it.
struct Snapshot {
    token: u64,
    number: usize,
    ticket: InventoryTicket,
    report: HeldReport,
}

#[derive(Clone, Debug)]
struct Run {
    token: u64,
    target: Target,
}

/// An engine, its owners one after the other, and the `EngineMemory` under test.
pub struct World {
    /// The memory of the present owner.
    pub memory: EngineMemory,
    eviction: EvictionPolicy,
    now: Instant,
    /// The fencing token of the present owner.
    token: u64,
    models: Vec<Model>,
    adapters: Vec<Adapter>,
    log: BTreeMap<ModelId, AssignedModel>,
    revision: Revision,
    /// Releases that the memory knows and how many inventories were asked for
    /// before it learned of them.
    releases: BTreeMap<ModelId, (Revision, usize)>,
    inventories_asked: usize,
    /// The number of the newest inventory that the memory took in.
    newest_inventory: Option<usize>,
    demands: Vec<Demand>,
    engine: BTreeMap<ModelId, TrueModel>,
    orders: Vec<Order>,
    /// Orders that were answered as lost and may still arrive.
    late: Vec<Order>,
    snapshots: Vec<Snapshot>,
    runs: Vec<Run>,
    /// The engine restarted and no inventory has shown it yet.
    restart_unseen: bool,
}

fn memory(eviction: EvictionPolicy) -> EngineMemory {
    EngineMemory::new(MemoryConfig {
        eviction,
        idle_unload_millis: 8_000,
        tight_idle_unload_millis: 16_000,
        lost_order_hold_millis: LOST_ORDER_HOLD,
        minimum_residence_millis: 500,
        ..MemoryConfig::default()
    })
}

impl World {
    pub fn new(eviction: EvictionPolicy) -> Self {
        let models = (0..MODELS).map(|number| Model {
            id: model_id(number),
            version: 1,
            accelerators: spec(number).accelerators,
            memory_mib_per_accelerator: spec(number).memory,
            checkpoint_mib: spec(number).memory,
            min_replicas: 0,
            max_replicas: 1,
        });
        let adapters = (0..MODELS).map(|number| Adapter {
            id: target(number, true).adapter.unwrap(),
            base: model_id(number),
            version: 1,
            memory_mib_per_accelerator: ADAPTER_MEMORY,
        });
        let mut world = Self {
            memory: memory(eviction),
            eviction,
            now: Instant(1),
            token: 1,
            models: models.collect(),
            adapters: adapters.collect(),
            log: BTreeMap::new(),
            revision: Revision(0),
            releases: BTreeMap::new(),
            inventories_asked: 0,
            newest_inventory: None,
            demands: Vec::new(),
            engine: BTreeMap::new(),
            orders: Vec::new(),
            late: Vec::new(),
            snapshots: Vec::new(),
            runs: Vec::new(),
            restart_unseen: false,
        };
        world.apply_log();
        world.fence();
        world
    }

    pub fn pass(&mut self, millis: u64) {
        self.now = self.now + millis;
    }
}
