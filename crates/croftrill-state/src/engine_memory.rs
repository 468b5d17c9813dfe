//! Decides loads and evictions on one engine.
//!
//! Invariants, whatever the order of events:
//! - the memory of everything held, reserved or not yet confirmed as unloaded
//!   fits on every accelerator, beside the reservations of the residents;
//! - only a model with an active assignment is loaded;
//! - a model or adapter in use is never unloaded;
//! - memory is reserved before a load is ordered, and free only after an
//!   inventory asked for later than the unload shows that the engine let go.

mod accounting;
mod decide;
mod eviction;
mod load_time;
mod reconcile;

pub use reconcile::Settled;

pub use load_time::{LoadTimeConfig, LoadTimeEstimator};

use crate::cluster::Target;
use crate::configuration::{Adapter, Model, PriorityClass};
use crate::identifiers::{AdapterId, ModelId};
use crate::placement::{AssignmentState, Residency};
use crate::replica_queue::Wake;
use crate::time::Instant;
use std::collections::{BTreeMap, BTreeSet};

/// Where a checkpoint is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum CheckpointLocality {
    /// In the machine's memory.
    Memory,
    /// On the machine's disk.
    Disk,
    /// In the weight store.
    Remote,
}

/// Which idle model gives way.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EvictionPolicy {
    /// The one that is cheapest to wake again: time of a load from where its
    /// checkpoint is, times the rate of its requests.
    #[default]
    ExpectedWakeCost,
    /// The least recently used one (the baseline).
    LeastRecentlyUsed,
}

/// Settings of the decisions.
#[derive(Clone, Debug, PartialEq)]
pub struct MemoryConfig {
    /// How victims are chosen.
    pub eviction: EvictionPolicy,
    /// On-demand models and adapters that were idle this long are unloaded, in
    /// milliseconds.
    pub idle_unload_millis: u64,
    /// The same for models whose requests come with a tight deadline.
    pub tight_idle_unload_millis: u64,
    /// A request with less time to its first token than this makes its model
    /// one with tight deadlines, in milliseconds.
    pub tight_deadline_millis: u64,
    /// A waiting target may stop new work of a busy model of the same class
    /// after it waited this long, in milliseconds.
    pub displace_after_millis: u64,
    /// Time that a loaded model may work before such a stop, in milliseconds.
    pub minimum_residence_millis: u64,
    /// Pause after a failed order, doubled with each failure, in milliseconds.
    pub order_backoff_millis: u64,
    /// Time constant of the observed request rates, in milliseconds.
    pub rate_window_millis: u64,
    /// How load times are estimated.
    pub load_time: LoadTimeConfig,
}

impl Default for MemoryConfig {
    fn default() -> Self {
        Self {
            eviction: EvictionPolicy::default(),
            idle_unload_millis: 300_000,
            tight_idle_unload_millis: 900_000,
            tight_deadline_millis: 5_000,
            displace_after_millis: 1_000,
            minimum_residence_millis: 5_000,
            order_backoff_millis: 500,
            rate_window_millis: 600_000,
            load_time: LoadTimeConfig::default(),
        }
    }
}

/// An assignment on the engine with its model.
#[derive(Clone, Debug, PartialEq)]
pub struct AssignedModel {
    /// The model.
    pub model: Model,
    /// Memory use.
    pub residency: Residency,
    /// Progress.
    pub state: AssignmentState,
}

/// A model that the engine says it holds.
#[derive(Clone, Debug, PartialEq)]
pub struct HeldReplica {
    /// The model.
    pub model: ModelId,
    /// Its version.
    pub version: u32,
    /// Whether it is ready; otherwise it is being loaded.
    pub loaded: bool,
    /// Accelerators that it spans.
    pub accelerators: Vec<u32>,
    /// Memory on each, in MiB.
    pub memory_mib_per_accelerator: u64,
    /// Adapters beside it.
    pub adapters: Vec<HeldAdapterReplica>,
}

/// An adapter that the engine says it holds.
#[derive(Clone, Debug, PartialEq)]
pub struct HeldAdapterReplica {
    /// The adapter.
    pub adapter: AdapterId,
    /// Its version.
    pub version: u32,
    /// Memory on each accelerator of the base, in MiB.
    pub memory_mib_per_accelerator: u64,
}

/// What the engine says it holds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HeldReport {
    /// Models.
    pub replicas: Vec<HeldReplica>,
    /// Checkpoints in the machine's memory.
    pub cached_in_memory: BTreeSet<ModelId>,
    /// Checkpoints on the machine's disk.
    pub cached_on_disk: BTreeSet<ModelId>,
}

/// Marks the moment when an inventory was asked for. What changed later than
/// that is not judged by its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct InventoryTicket(u64);

/// A target that requests wait for.
#[derive(Clone, Debug, PartialEq)]
pub struct Demand {
    /// The target.
    pub target: Target,
    /// The most urgent class that waits.
    pub priority: PriorityClass,
    /// The earliest first-token deadline.
    pub earliest_deadline: Instant,
    /// The latest first-token deadline.
    pub latest_deadline: Instant,
    /// When the oldest request came.
    pub oldest_arrival: Instant,
}

/// What to order from the engine.
#[derive(Clone, Debug, PartialEq)]
pub enum MemoryAction {
    /// Load a model; its memory is reserved.
    Load {
        /// The model.
        model: Model,
        /// Accelerators to span.
        accelerators: Vec<u32>,
        /// Where the checkpoint is.
        source: CheckpointLocality,
    },
    /// Unload a model.
    Unload {
        /// The model.
        model: ModelId,
        /// Why.
        reason: UnloadReason,
    },
    /// Load an adapter; its memory is reserved.
    LoadAdapter {
        /// The adapter.
        adapter: Adapter,
    },
    /// Unload an adapter.
    UnloadAdapter {
        /// The adapter.
        adapter: AdapterId,
        /// Its base.
        base: ModelId,
    },
}

/// Why a model is unloaded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum UnloadReason {
    /// The engine holds it without an active assignment.
    NotAssigned,
    /// Its assignment is being released.
    Released,
    /// It is not the version in force.
    OldVersion,
    /// It makes room.
    Evicted,
    /// Nobody asked for it for long.
    Idle,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Memory is reserved; the order is not given, or not answered.
    Reserved,
    /// The engine accepted the load.
    Loading,
    /// Ready.
    Loaded,
    /// An unload is ordered and not answered.
    Unloading,
    /// The order was answered or lost; the next inventory tells.
    Uncertain,
}

#[derive(Clone, Debug)]
struct Replica {
    version: u32,
    accelerators: Vec<u32>,
    memory: u64,
    phase: Phase,
    /// Sequence number of the last change by us.
    changed: u64,
    loaded_at: Instant,
    /// When the load is expected to be done.
    expected_at: Instant,
    /// No new work: it is to make room.
    yielding: bool,
    adapters: BTreeMap<AdapterId, AdapterReplica>,
}

#[derive(Clone, Debug)]
struct AdapterReplica {
    version: u32,
    memory: u64,
    phase: Phase,
    changed: u64,
    loaded_at: Instant,
}

/// Use of a model or adapter, kept also while it is not loaded.
#[derive(Clone, Debug, Default)]
struct Usage {
    running: u32,
    last_used: Instant,
    rate: f64,
    tight: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct Backoff {
    failures: u32,
    until: Instant,
}

/// What one engine holds and should hold.
pub struct EngineMemory {
    config: MemoryConfig,
    capacity: Vec<u64>,
    assigned: BTreeMap<ModelId, AssignedModel>,
    adapters: BTreeMap<AdapterId, Adapter>,
    replicas: BTreeMap<ModelId, Replica>,
    usage: BTreeMap<Target, Usage>,
    backoff: BTreeMap<Target, Backoff>,
    cached_in_memory: BTreeSet<ModelId>,
    cached_on_disk: BTreeSet<ModelId>,
    load_time: LoadTimeEstimator,
    sequence: u64,
    /// Time of the last decision.
    latest: Instant,
    /// Ticket of the newest inventory taken in.
    inventory: Option<u64>,
}

impl EngineMemory {
    /// An engine that nothing is known of yet; nothing is decided before the
    /// first inventory.
    pub fn new(config: MemoryConfig) -> Self {
        let load_time = LoadTimeEstimator::new(config.load_time.clone());
        Self {
            config,
            capacity: Vec::new(),
            assigned: BTreeMap::new(),
            adapters: BTreeMap::new(),
            replicas: BTreeMap::new(),
            usage: BTreeMap::new(),
            backoff: BTreeMap::new(),
            cached_in_memory: BTreeSet::new(),
            cached_on_disk: BTreeSet::new(),
            load_time,
            sequence: 0,
            latest: Instant::default(),
            inventory: None,
        }
    }

    /// Sets the accelerators, the assignments of this engine and the adapters
    /// that the log decided.
    pub fn set_assignments(
        &mut self,
        capacity: Vec<u64>,
        assigned: Vec<AssignedModel>,
        adapters: Vec<Adapter>,
    ) {
        self.capacity = capacity;
        self.assigned = assigned.into_iter().map(|a| (a.model.id.clone(), a)).collect();
        self.adapters = adapters.into_iter().map(|a| (a.id.clone(), a)).collect();
    }

    /// Records that a request of the target is handed to the engine.
    pub fn use_started(&mut self, target: &Target, now: Instant) {
        let usage = self.usage.entry(target.clone()).or_default();
        usage.running += 1;
        usage.last_used = now;
    }

    /// Records that a request of the target ended.
    pub fn use_ended(&mut self, target: &Target, now: Instant) {
        let usage = self.usage.entry(target.clone()).or_default();
        usage.running = usage.running.saturating_sub(1);
        usage.last_used = now;
    }

    /// Records that a request of the target arrived with so much time to its
    /// first token.
    pub fn requested(&mut self, target: &Target, millis_to_deadline: u64, now: Instant) {
        let window = self.config.rate_window_millis.max(1) as f64;
        let tight = millis_to_deadline < self.config.tight_deadline_millis;
        let usage = self.usage.entry(target.clone()).or_default();
        usage.rate = decayed_rate(usage, window, now) + 1.0;
        usage.last_used = now;
        usage.tight |= tight;
    }

    /// Whether the target can take work now.
    pub fn is_usable(&self, target: &Target) -> bool {
        let Some(replica) = self.replicas.get(&target.model) else {
            return false;
        };
        let Some(assigned) = self.assigned.get(&target.model) else {
            return false;
        };
        let base_usable = replica.phase == Phase::Loaded
            && !replica.yielding
            && assigned.state == AssignmentState::Active
            && replica.version == assigned.model.version;
        base_usable && self.adapter_usable(target, replica)
    }

    fn adapter_usable(&self, target: &Target, replica: &Replica) -> bool {
        let Some(id) = &target.adapter else {
            return true;
        };
        let held = replica.adapters.get(id);
        let decided = self.adapters.get(id);
        match (held, decided) {
            (Some(held), Some(decided)) => held.phase == Phase::Loaded && held.version == decided.version,
            _ => false,
        }
    }

    /// When the target is expected to take work.
    pub fn wake(&self, target: &Target, now: Instant) -> Wake {
        let Some(assigned) = self.assigned.get(&target.model) else {
            return self.never();
        };
        if assigned.state != AssignmentState::Active {
            return self.never();
        }
        if self.is_usable(target) {
            return Wake::Ready;
        }
        let base = self.base_wake_millis(assigned, now);
        let adapter = self.adapter_wake_millis(target, now);
        let backoff = self.backoff_millis(target, now);
        Wake::In(base + adapter + backoff)
    }

    fn never(&self) -> Wake {
        Wake::Never {
            retry_after_millis: self.config.displace_after_millis,
        }
    }

    fn base_wake_millis(&self, assigned: &AssignedModel, now: Instant) -> u64 {
        match self.replicas.get(&assigned.model.id) {
            Some(replica) if replica.phase == Phase::Loaded => 0,
            Some(replica) if matches!(replica.phase, Phase::Loading | Phase::Reserved) => {
                replica.expected_at.millis_since(now)
            }
            _ => self.load_millis(&assigned.model, now),
        }
    }

    fn adapter_wake_millis(&self, target: &Target, now: Instant) -> u64 {
        match target.adapter.as_ref().and_then(|id| self.adapters.get(id)) {
            Some(adapter) => self.load_time.estimate(
                CheckpointLocality::Remote,
                adapter.memory_mib_per_accelerator,
                now,
            ),
            None => 0,
        }
    }

    fn backoff_millis(&self, target: &Target, now: Instant) -> u64 {
        let base = Target {
            model: target.model.clone(),
            adapter: None,
        };
        [&base, target]
            .into_iter()
            .filter_map(|key| self.backoff.get(key))
            .map(|backoff| backoff.until.millis_since(now))
            .max()
            .unwrap_or(0)
    }

    /// Estimated time of a load of the model, in milliseconds.
    pub fn load_millis(&self, model: &Model, now: Instant) -> u64 {
        let source = self.source(&model.id);
        self.load_time.estimate(source, model.checkpoint_mib, now)
    }

    /// Where the engine would read the checkpoint of a model.
    pub fn source(&self, model: &ModelId) -> CheckpointLocality {
        if self.cached_in_memory.contains(model) {
            CheckpointLocality::Memory
        } else if self.cached_on_disk.contains(model) {
            CheckpointLocality::Disk
        } else {
            CheckpointLocality::Remote
        }
    }

    /// Whether any load or order is not finished, so that inventories should
    /// be asked for soon.
    pub fn is_settled(&self) -> bool {
        let settled = |phase: Phase| phase == Phase::Loaded;
        self.replicas
            .values()
            .all(|r| settled(r.phase) && r.adapters.values().all(|a| settled(a.phase)))
    }

    /// Models whose assignment is being released and which the engine confirmed
    /// not to hold.
    pub fn released(&self) -> Vec<ModelId> {
        if self.inventory.is_none() {
            return Vec::new();
        }
        self.assigned
            .values()
            .filter(|assigned| assigned.state == AssignmentState::Releasing)
            .map(|assigned| assigned.model.id.clone())
            .filter(|id| !self.replicas.contains_key(id))
            .collect()
    }

    /// Accelerators that hold memory, and whether any request runs on them.
    pub fn idle_accelerators(&self) -> usize {
        let mut holding: BTreeSet<u32> = BTreeSet::new();
        let mut busy: BTreeSet<u32> = BTreeSet::new();
        for (id, replica) in &self.replicas {
            holding.extend(replica.accelerators.iter().copied());
            if self.in_use(id) {
                busy.extend(replica.accelerators.iter().copied());
            }
        }
        holding.difference(&busy).count()
    }

    fn in_use(&self, model: &ModelId) -> bool {
        self.usage
            .iter()
            .any(|(target, usage)| target.model == *model && usage.running > 0)
    }
}

fn decayed_rate(usage: &Usage, window: f64, now: Instant) -> f64 {
    let age = now.millis_since(usage.last_used) as f64;
    usage.rate * (-age / window).exp()
}
