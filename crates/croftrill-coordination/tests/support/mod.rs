//! Simulated surroundings of the coordination parts: a key-value service with
//! faults, peers in memory, membership, the machine list.

#![allow(dead_code, unused_imports)]

mod key_value;
mod surroundings;

pub use key_value::{Fault, SimulatedClient, SimulatedService};
pub use surroundings::{MembersSeenBy, SimulatedMachines, SimulatedMembers, SimulatedPeers};

use croftrill_coordination::replication::{Replica, ReplicaConfig};
use croftrill_coordination::revision_log::{RevisionLog, RevisionLogConfig};
use croftrill_platform::key_value::KeyValueService;
use croftrill_state::configuration::{Group, Model, PriorityClass};
use croftrill_state::entry::{Change, Intent};
use croftrill_state::placement::{Engine, Lifecycle, Node};
use croftrill_state::{CellId, EngineId, FencingToken, GroupId, ModelId, NodeId, PlanId, Revision, ZoneId};
use std::cell::Cell;
use std::sync::Arc;

/// The only cell of most tests.
pub fn cell() -> CellId {
    CellId::from("cell")
}

/// A log with short pauses.
pub fn log_over(service: Arc<dyn KeyValueService>) -> RevisionLog {
    let config = RevisionLogConfig {
        resolve_attempts: 4,
        resolve_pause_millis: 5,
        longest_resolve_pause_millis: 20,
        snapshot_part_bytes: 300,
        kept_entries: 5,
        deletion_pause_millis: 1,
        ..RevisionLogConfig::default()
    };
    RevisionLog::new(service, config)
}

/// A replica that keeps few entries. Each one of a test has its own seed.
pub fn replica_over(name: &str, service: Arc<dyn KeyValueService>) -> Arc<Replica> {
    thread_local! {
        static NEXT_SEED: Cell<u64> = const { Cell::new(1) };
    }
    let random_seed = NEXT_SEED.with(|next| next.replace(next.get() + 1));
    let config = ReplicaConfig {
        random_seed,
        kept_entries: 20,
        read_limit: 7,
        ..ReplicaConfig::new(NodeId::from(name))
    };
    Arc::new(Replica::new(config, log_over(service)))
}

/// A change that creates a group; `base` is the revision it was planned from.
pub fn put_group(plan: &str, group: &str, base: Revision) -> Change {
    let group = Group {
        id: GroupId::from(group),
        share_weight: 1,
        highest_priority: PriorityClass::Critical,
    };
    confirm(plan, base, Intent::PutGroup(group))
}

/// A change that creates a model.
pub fn put_model(plan: &str, model: Model, base: Revision) -> Change {
    confirm(plan, base, Intent::PutModel(model))
}

/// A confirmed plan of one intent.
pub fn confirm(plan: &str, base: Revision, intent: Intent) -> Change {
    Change::ConfirmPlan {
        plan: PlanId::from(plan),
        base,
        intents: vec![intent],
        steps: Vec::new(),
    }
}

/// A model of one accelerator.
pub fn model(name: &str, min_replicas: u32, max_replicas: u32) -> Model {
    Model {
        id: ModelId::from(name),
        version: 1,
        accelerators: 1,
        memory_mib_per_accelerator: 10_000,
        checkpoint_mib: 10_000,
        min_replicas,
        max_replicas,
    }
}

/// A node of the cell.
pub fn node(name: &str) -> Node {
    Node {
        id: NodeId::from(name),
        zone: ZoneId::from("zone"),
        cell: cell(),
        peer_address: name.to_string(),
        attempt_address: format!("{name}-attempts"),
        lifecycle: Lifecycle::Live,
    }
}

/// An engine of the cell with two accelerators.
pub fn engine(name: &str) -> Engine {
    Engine {
        id: EngineId::from(name),
        zone: ZoneId::from("zone"),
        cell: cell(),
        address: format!("{name}-address"),
        accelerator_memory_mib: vec![40_000, 40_000],
        max_running: 8,
        owner: None,
        fencing_token: FencingToken(0),
        lifecycle: Lifecycle::Live,
    }
}
