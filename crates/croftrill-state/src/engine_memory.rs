//! Decides loads and evictions on one engine.
//!
//! Invariants, whatever the order of events:
//! - the memory of everything held, reserved or not yet confirmed as unloaded
//!   fits on every accelerator, beside the reservations of the residents;
//! - only a model with an active assignment is loaded;
//! - a model or adapter in use is never unloaded, nor any while requests of a
//!   former owner still run;
//! - memory is reserved before a load is ordered, and free only after an
//!   inventory asked for later than the unload shows that the engine let go;
//! - a release is confirmed only by an inventory asked for after the release was
//!   learned, so that what was seen in an earlier release confirms no later one.

mod accounting;
mod config;
mod decide;
mod estimate;
mod eviction;
mod held;
mod inventory;
mod load_time;
mod orders;
mod releases;
mod types;

pub use config::{EvictionPolicy, MemoryConfig};
pub use load_time::{LoadTimeConfig, LoadTimeEstimator};
pub use types::{
    AssignedModel, CheckpointLocality, ConfirmedRelease, Demand, HeldAdapterReplica, HeldReplica, HeldReport,
    InventoryTicket, MemoryAction, OrderAnswer, Settled, UnloadReason,
};

use crate::cluster::Target;
use crate::configuration::{Adapter, PriorityClass};
use crate::identifiers::{AdapterId, ModelId};
use crate::placement::AssignmentState;
use crate::time::Instant;
use held::{Backoff, Phase, Replica, Usage};
use releases::LearnedRelease;
use std::collections::{BTreeMap, BTreeSet};

/// A load is looked at again after this part of the time until its expected
/// end.
const INVENTORIES_UNTIL_EXPECTED_END: u64 = 8;

/// What one engine holds and should hold.
pub struct EngineMemory {
    config: MemoryConfig,
    /// Memory of each accelerator, in MiB.
    capacity: Vec<u64>,
    /// What the log lets the engine hold.
    assigned: BTreeMap<ModelId, AssignedModel>,
    adapters: BTreeMap<AdapterId, Adapter>,
    /// What the engine holds, is told to hold, or may hold.
    replicas: BTreeMap<ModelId, Replica>,
    /// The releases that are under way.
    releases: BTreeMap<ModelId, LearnedRelease>,
    usage: BTreeMap<Target, Usage>,
    backoff: BTreeMap<Target, Backoff>,
    /// Targets whose callers were told to come back when a load would be done,
    /// and until when they are awaited.
    awaited: BTreeMap<Target, Instant>,
    cached_in_memory: BTreeSet<ModelId>,
    cached_on_disk: BTreeSet<ModelId>,
    /// Requests of a former owner still run.
    others_running: bool,
    load_time: LoadTimeEstimator,
    /// Numbers inventories and changes in the order in which they were started.
    sequence: u64,
    /// When a decision that was only too early should be looked at again.
    revisit_at: Option<Instant>,
    /// Ticket of the newest inventory taken in.
    inventory: Option<InventoryTicket>,
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
            releases: BTreeMap::new(),
            usage: BTreeMap::new(),
            backoff: BTreeMap::new(),
            awaited: BTreeMap::new(),
            revisit_at: None,
            cached_in_memory: BTreeSet::new(),
            cached_on_disk: BTreeSet::new(),
            others_running: false,
            load_time,
            sequence: 0,
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
        self.forget_unassigned();
        self.learn_releases();
    }

    fn forget_unassigned(&mut self) {
        let assigned = &self.assigned;
        self.usage
            .retain(|target, usage| usage.in_use() || assigned.contains_key(&target.model));
        self.awaited
            .retain(|target, _| assigned.contains_key(&target.model));
    }

    /// Records that a request of the target is handed to the engine.
    pub fn use_started(&mut self, target: &Target, class: PriorityClass, now: Instant) {
        let usage = self.usage.entry(target.clone()).or_default();
        *usage.running.entry(class).or_default() += 1;
        usage.last_used = now;
    }

    /// Records that a request of the target ended.
    pub fn use_ended(&mut self, target: &Target, class: PriorityClass, now: Instant) {
        let usage = self.usage.entry(target.clone()).or_default();
        let running = usage.running.entry(class).or_default();
        *running = running.saturating_sub(1);
        usage.last_used = now;
    }

    /// Records that a request of the target arrived with so much time to its
    /// first token.
    pub fn requested(&mut self, target: &Target, millis_to_deadline: u64, now: Instant) {
        let window = self.config.rate_window_millis;
        let tight = millis_to_deadline < self.config.tight_deadline_millis;
        let usage = self.usage.entry(target.clone()).or_default();
        usage.rate = usage.rate(window, now) + 1.0;
        usage.rate_at = now;
        usage.last_used = now;
        if tight {
            usage.last_tight = Some(now);
        }
    }

    /// Records that a caller was refused because the load takes longer than it
    /// can wait, and was told to come back in so many milliseconds. The load is
    /// worth starting for its return, though not at the cost of others' work.
    pub fn told_to_come_back(&mut self, target: &Target, retry_after_millis: u64, now: Instant) {
        let until = now + retry_after_millis + self.config.return_grace_millis;
        let awaited = self.awaited.entry(target.clone()).or_insert(until);
        *awaited = (*awaited).max(until);
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
            && !replica.draining
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

    /// When the next inventory is worth asking for, in milliseconds; `None` if
    /// no load or order is under way. The nearer the expected end of a load, the
    /// sooner.
    pub fn inventory_due_in(&self, now: Instant) -> Option<u64> {
        let phases = self.replicas.values().flat_map(|replica| {
            let adapters = replica.adapters.values().map(|adapter| (adapter.phase, now));
            adapters.chain([(replica.phase, replica.expected_at)])
        });
        let due = phases.filter_map(|(phase, expected_at)| match phase {
            Phase::Loaded => None,
            Phase::Loading => Some(distance_millis(expected_at, now) / INVENTORIES_UNTIL_EXPECTED_END),
            _ => Some(0),
        });
        due.min()
    }

    /// Whether requests of a former owner still run; nothing is unloaded until
    /// they have ended.
    pub fn others_running(&self) -> bool {
        self.others_running
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

    /// Whether a caller was told to come back for the model.
    fn is_awaited(&self, model: &ModelId) -> bool {
        self.awaited.keys().any(|target| target.model == *model)
    }

    fn usage_of<'a>(&'a self, model: &'a ModelId) -> impl Iterator<Item = &'a Usage> + 'a {
        self.usage
            .iter()
            .filter(move |(target, _)| target.model == *model)
            .map(|(_, usage)| usage)
    }

    fn in_use(&self, model: &ModelId) -> bool {
        self.usage_of(model).any(Usage::in_use)
    }

    /// Checkpoint that a request of the model causes to be loaded, in MiB: none
    /// if the engine holds the model or a load is under way.
    pub fn load_mib_if_absent(&self, model: &ModelId) -> u64 {
        if self.replicas.contains_key(model) {
            return 0;
        }
        let assigned = self.assigned.get(model);
        assigned.map_or(0, |assigned| assigned.model.checkpoint_mib)
    }
}

fn distance_millis(a: Instant, b: Instant) -> u64 {
    a.millis_since(b) + b.millis_since(a)
}
