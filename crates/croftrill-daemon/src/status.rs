//! What a node believes, as operators see it.

use croftrill_node::node::{Lifecycle, Node};
use croftrill_node::ports::Platform;
use croftrill_scheduler::crash_ledger::Verdict;
use croftrill_scheduler::load_summary::ObservedLoad;
use croftrill_scheduler::replica_table::ReplicaEntry;
use croftrill_scheduler::time::Moment;
use serde::{Deserialize, Serialize};

/// What a node believes of a replica.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ReplicaStatus {
    /// Identity.
    pub id: String,
    /// Service.
    pub service: String,
    /// Address.
    pub address: String,
    /// Whether it takes requests.
    pub ready: bool,
    /// Models it holds; adapters after a slash.
    pub models: Vec<String>,
    /// Models on their way.
    pub arriving: Vec<String>,
    /// What it told of its load, to this node or to others.
    #[serde(default)]
    pub load: Option<LoadStatus>,
}

/// What a replica told of its load last, and what it counts as by that.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LoadStatus {
    /// Requests running there.
    pub running: u32,
    /// Requests waiting there.
    pub waiting: u32,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// How fast it usually works; 1: the usual speed of a replica.
    pub speed: f64,
    /// How fast it works now, as far as that was told lately.
    pub speed_now: f64,
    /// How long ago it told, in milliseconds.
    pub told_ms_ago: u64,
    /// True if it runs all that it can, or requests wait there.
    pub full: bool,
    /// True if it works at well under the usual speed of replicas now.
    pub slow: bool,
}

impl LoadStatus {
    fn of(entry: &ReplicaEntry, now: Moment) -> Option<Self> {
        let judged = ObservedLoad::of(entry, now)?;
        Some(LoadStatus {
            running: judged.load.running,
            waiting: judged.load.waiting,
            slots: judged.slots,
            speed: judged.speed,
            speed_now: judged.speed_now,
            told_ms_ago: now.since(judged.at).as_millis() as u64,
            full: judged.is_full(),
            slow: judged.is_slow(),
        })
    }
}

/// A request under which replicas ended.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct SuspectStatus {
    /// Identity of its content, as the log names it.
    pub fingerprint: String,
    /// Replicas that ended under it.
    pub ends: usize,
    /// Those of them for which it bears the blame.
    pub blamed: usize,
    /// What becomes of it when it comes: `free`, `one at a time`, `held`, `refused`.
    pub verdict: String,
}

/// A quota that a node keeps.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct QuotaStatus {
    /// The group.
    pub group: String,
    /// What it has left, in tokens; below zero: a debt.
    pub balance: i64,
}

/// What a node believes.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct NodeStatus {
    /// Name of the node.
    pub node: String,
    /// Where it is in its life.
    pub lifecycle: String,
    /// Version of the configuration in force; 0: none.
    pub configuration_version: u64,
    /// The nodes that give orders, one a shard.
    pub orderers: Vec<String>,
    /// Live nodes.
    pub nodes: Vec<String>,
    /// Requests being served.
    pub in_flight: usize,
    /// Requests that wait for a place.
    pub waiting: usize,
    /// Replicas.
    pub replicas: Vec<ReplicaStatus>,
    /// Requests under which replicas ended, as all nodes reported.
    #[serde(default)]
    pub suspects: Vec<SuspectStatus>,
    /// Quotas that this node keeps.
    #[serde(default)]
    pub quotas: Vec<QuotaStatus>,
}

fn suspects<P: Platform>(node: &Node<P>) -> Vec<SuspectStatus> {
    let now = node.clock.now();
    let mut state = node.state.borrow_mut();
    let suspects = state.crash_ledger.suspects();
    let suspects = suspects.map(|(fingerprint, suspect)| SuspectStatus {
        fingerprint: fingerprint.to_string(),
        ends: suspect.ends.len(),
        blamed: suspect.blamed,
        verdict: verdict_name(suspect.verdict(now)).to_string(),
    });
    suspects.collect()
}

fn verdict_name(verdict: Verdict) -> &'static str {
    match verdict {
        Verdict::Free => "free",
        Verdict::OneAtATime => "one at a time",
        Verdict::Held(_) => "held",
        Verdict::Refused => "refused",
    }
}

/// What the node believes now.
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
        let held = entry.listing.holdings.models.iter();
        let models = held.flat_map(|held| {
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
