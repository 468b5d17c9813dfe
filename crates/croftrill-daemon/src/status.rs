//! A node's view of the cluster, as shown to operators.

use croftrill_node::node::{Lifecycle, Node};
use croftrill_node::ports::Platform;
use croftrill_scheduler::crash_ledger::Verdict;
use croftrill_scheduler::load_summary::ObservedLoad;
use croftrill_scheduler::replica_table::ReplicaEntry;
use croftrill_scheduler::time::Moment;
use serde::{Deserialize, Serialize};

/// A node's view of a replica.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ReplicaStatus {
    /// Identity of the replica's incarnation.
    pub id: String,
    /// Service that the replica belongs to.
    pub service: String,
    /// Address to which requests are sent.
    pub address: String,
    /// Whether the replica accepts requests.
    pub ready: bool,
    /// Models that the replica holds; an adapter is written as `model/adapter`.
    pub models: Vec<String>,
    /// Models that are being loaded.
    pub arriving: Vec<String>,
    /// Last load that the replica reported to any node.
    #[serde(default)]
    pub load: Option<LoadStatus>,
}

/// The load that a replica reported last, and how the scheduler rates it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LoadStatus {
    /// Requests that are running at the replica.
    pub running: u32,
    /// Requests that wait at the replica.
    pub waiting: u32,
    /// Requests that the replica can run at the same time.
    pub slots: u32,
    /// Usual speed; 1.0 is the usual speed of a replica.
    pub speed: f64,
    /// Current speed, from recent reports.
    pub speed_now: f64,
    /// Age of the report, in milliseconds.
    pub told_ms_ago: u64,
    /// Whether all slots are in use or requests wait at the replica.
    pub full: bool,
    /// Whether the current speed is well below the usual speed of replicas.
    pub slow: bool,
}

impl LoadStatus {
    fn of(entry: &ReplicaEntry, now: Moment) -> Option<Self> {
        let observed = ObservedLoad::of(entry, now)?;
        Some(LoadStatus {
            running: observed.load.running,
            waiting: observed.load.waiting,
            slots: observed.slots,
            speed: observed.speed,
            speed_now: observed.speed_now,
            told_ms_ago: now.since(observed.at).as_millis() as u64,
            full: observed.is_full(),
            slow: observed.is_slow(),
        })
    }
}

/// A request under which replicas ended.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct SuspectStatus {
    /// Fingerprint of the request's content, as printed in the log.
    pub fingerprint: String,
    /// Number of replicas that ended while running the request.
    pub ends: usize,
    /// Number of these replicas for whose end the request is blamed.
    pub blamed: usize,
    /// Treatment of the request: `free`, `one at a time`, `held` or `refused`.
    pub verdict: String,
}

/// A quota for which a node is the keeper.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct QuotaStatus {
    /// Name of the group.
    pub group: String,
    /// Remaining tokens; negative if the group is in debt.
    pub balance: i64,
}

/// A node's view of the cluster.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct NodeStatus {
    /// Name of the node.
    pub node: String,
    /// Lifecycle state: `starting`, `ready` or `stopping`.
    pub lifecycle: String,
    /// Version of the active configuration; 0 if there is none.
    pub configuration_version: u64,
    /// Names of the orderers, one per shard.
    pub orderers: Vec<String>,
    /// Names of the live nodes.
    pub nodes: Vec<String>,
    /// Requests in flight.
    pub in_flight: usize,
    /// Requests that wait for a free slot.
    pub waiting: usize,
    /// Replicas that the node knows.
    pub replicas: Vec<ReplicaStatus>,
    /// Requests, and parts of prompts, under which replicas ended, from the reports of all nodes.
    #[serde(default)]
    pub suspects: Vec<SuspectStatus>,
    /// Quotas for which this node is the keeper.
    #[serde(default)]
    pub quotas: Vec<QuotaStatus>,
}

fn suspects<P: Platform>(node: &Node<P>) -> Vec<SuspectStatus> {
    let now = node.clock.now();
    let mut state = node.state.borrow_mut();
    let suspects = state.crash_ledger.suspects(now);
    let suspects = suspects.map(|(id, suspect, verdict)| SuspectStatus {
        fingerprint: id.to_string(),
        ends: suspect.ends.len(),
        blamed: suspect.blamed,
        verdict: verdict_name(verdict).to_string(),
    });
    suspects.collect()
}

fn verdict_name(verdict: Verdict) -> &'static str {
    match verdict {
        Verdict::Free => "free",
        Verdict::OneAtATime => "one at a time",
        Verdict::Retrial => "tried again",
        Verdict::Held(_) => "held",
        Verdict::Refused => "refused",
    }
}

/// Returns the node's current status.
pub fn status<P: Platform>(node: &Node<P>) -> NodeStatus {
    let suspects = suspects(node);
    let quotas = node
        .quotas
        .balances()
        .into_iter()
        .map(|(group, balance)| QuotaStatus {
            group: group.to_string(),
            balance: balance as i64,
        });
    let now = node.clock.now();
    let state = node.state.borrow();
    let replicas = state.replicas.iter().map(|entry| {
        let held_models = entry.listing.holdings.models.iter();
        let models = held_models.flat_map(|held| {
            let adapters = held
                .adapters
                .iter()
                .map(|adapter| format!("{}/{adapter}", held.model));
            std::iter::once(held.model.to_string())
                .chain(adapters)
                .collect::<Vec<_>>()
        });
        ReplicaStatus {
            id: entry.listing.id.to_string(),
            service: entry.listing.service.to_string(),
            address: entry.listing.address.to_string(),
            ready: entry.is_ready(),
            models: models.collect(),
            arriving: entry
                .arriving
                .iter()
                .map(|arrival| arrival.model.to_string())
                .collect(),
            load: LoadStatus::of(entry, now),
        }
    });
    NodeStatus {
        node: node.settings.identity.name.clone(),
        lifecycle: lifecycle_name(state.lifecycle).to_string(),
        configuration_version: state
            .configuration
            .as_ref()
            .map_or(0, |configuration| configuration.version),
        orderers: state
            .members
            .orderers()
            .map(|(_, member)| member.name.clone())
            .collect(),
        nodes: state.members.nodes().map(|member| member.name.clone()).collect(),
        in_flight: node.in_flight.get(),
        waiting: state.fair_queue.waiting(),
        replicas: replicas.collect(),
        suspects,
        quotas: quotas.collect(),
    }
}

fn lifecycle_name(lifecycle: Lifecycle) -> &'static str {
    match lifecycle {
        Lifecycle::Starting => "starting",
        Lifecycle::Ready => "ready",
        Lifecycle::Stopping => "stopping",
    }
}
