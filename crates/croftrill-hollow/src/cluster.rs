//! A cluster of hollow nodes that can lose nodes and get them back.

use crate::node::{bind_any, HollowNode, NodeSpec};
use crate::platform::Platform;
use crate::population::{self, Population, CELLS, ZONES};
use anyhow::{bail, ensure};
use croftrill_coordination::replication::ProposeOutcome;
use croftrill_state::entry::Change;
use croftrill_state::{CellId, Revision, Term};
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;
use tokio::time::Instant;

/// Operators' changes carry no term.
const NO_TERM: Term = Term(0);
/// Longest wait for a condition of the whole cluster.
const PATIENCE: Duration = Duration::from_secs(180);
/// Between two looks at a condition.
const LOOK_PERIOD: Duration = Duration::from_millis(20);
/// Attempts to bind an address again after its node ended.
const REBIND_ATTEMPTS: usize = 100;

/// A cluster of hollow nodes.
pub struct HollowCluster {
    /// The platform.
    pub platform: Platform,
    /// Every node that was ever started.
    pub specs: Vec<NodeSpec>,
    /// What is configured.
    pub population: Population,
    seeds: Vec<SocketAddr>,
    running: Vec<Option<HollowNode>>,
    engines: usize,
}

impl HollowCluster {
    /// A cluster of so many nodes with the population configured.
    pub async fn start(nodes: usize, population: Population) -> anyhow::Result<HollowCluster> {
        let mut cluster = HollowCluster {
            platform: Platform::start().await?,
            specs: Vec::new(),
            population,
            seeds: Vec::new(),
            running: Vec::new(),
            engines: 0,
        };
        cluster.start_nodes(nodes).await?;
        for change in population.changes() {
            cluster.propose(change).await?;
        }
        cluster.wait_settled().await?;
        Ok(cluster)
    }

    /// Starts nodes, with engines in proportion, and waits until all know all.
    async fn start_nodes(&mut self, nodes: usize) -> anyhow::Result<()> {
        let mut listeners = Vec::new();
        for index in 0..nodes {
            let listener = bind_any()?;
            self.specs.push(NodeSpec::new(index, listener.local_addr()?));
            listeners.push((index, listener));
        }
        let machines = listeners.iter().map(|(index, _)| {
            population::node_machine(*index, self.specs[*index].address, self.specs[*index].address)
        });
        let engines = population::engines_for(nodes);
        let new_engines = (0..engines).map(population::engine_machine);
        let listed = machines.chain(new_engines).collect();
        self.engines = engines;
        self.seeds = self.specs.iter().take(ZONES).map(|spec| spec.address).collect();
        for (index, listener) in listeners {
            self.running.push(None);
            self.start_node(index, listener).await?;
        }
        // A machine is listed once it runs.
        self.platform.put_machines(listed);
        self.wait_settled().await
    }

    /// The running nodes.
    pub fn nodes(&self) -> impl Iterator<Item = &HollowNode> {
        self.running.iter().flatten()
    }

    /// One running node.
    pub fn node(&self, index: usize) -> Option<&HollowNode> {
        self.running.get(index)?.as_ref()
    }

    /// The coordinator of a cell, if one believes to be it.
    pub fn coordinator(&self, cell: &CellId) -> Option<&HollowNode> {
        self.nodes()
            .find(|node| node.spec.cell == *cell && node.is_coordinator())
    }

    /// Takes a node out, to crash or stop it.
    pub fn take(&mut self, index: usize) -> Option<HollowNode> {
        self.running.get_mut(index)?.take()
    }

    /// Starts a node again at its address.
    pub async fn restart(&mut self, index: usize) -> anyhow::Result<()> {
        let listener = bind_again(self.specs[index].address).await?;
        self.start_node(index, listener).await
    }

    async fn start_node(&mut self, index: usize, listener: TcpListener) -> anyhow::Result<()> {
        let spec = self.specs[index].clone();
        let node = HollowNode::start(spec, listener, &self.seeds, &self.platform).await?;
        self.running[index] = Some(node);
        Ok(())
    }

    /// Appends a change through the first running node.
    pub async fn propose(&self, change: Change) -> anyhow::Result<Revision> {
        let Some(node) = self.nodes().next() else {
            bail!("no node runs");
        };
        match node.replica.propose(change, NO_TERM).await {
            ProposeOutcome::Applied(revision) => Ok(revision),
            outcome => bail!("change not appended: {outcome:?}"),
        }
    }

    /// The latest head of all nodes.
    pub fn highest_head(&self) -> Revision {
        let heads = self.nodes().map(|node| node.replica.head());
        heads.max().unwrap_or_default()
    }

    /// Waits until all running nodes know each other and the same log, and all
    /// engines have an owner.
    pub async fn wait_settled(&self) -> anyhow::Result<()> {
        self.wait_for("all know all", || self.is_settled()).await?;
        Ok(())
    }

    /// Waits for a condition of the cluster; returns how long it took.
    pub async fn wait_for(&self, what: &str, condition: impl Fn() -> bool) -> anyhow::Result<Duration> {
        let started = Instant::now();
        while !condition() {
            ensure!(
                started.elapsed() < PATIENCE,
                "waited in vain: {what}; {}",
                self.describe()
            );
            tokio::time::sleep(LOOK_PERIOD).await;
        }
        Ok(started.elapsed())
    }

    /// Whether all running nodes know each other and the same log, and all
    /// engines have an owner.
    fn is_settled(&self) -> bool {
        let running = self.nodes().count();
        let head = self.highest_head();
        let all_agree = self.nodes().all(|node| {
            node.replica.head() == head && node.control.membership.view().alive_count() == running
        });
        all_agree && self.is_placed()
    }

    fn is_placed(&self) -> bool {
        let Some(node) = self.nodes().next() else {
            return true;
        };
        let state = node.replica.state();
        let cells = CELLS.min(self.specs.len());
        state.coordinators.len() == cells
            && state.nodes.len() == self.specs.len()
            && state.engines.len() == self.engines
            && state.engines.values().all(|engine| engine.value.owner.is_some())
    }

    fn describe(&self) -> String {
        let heads: Vec<Revision> = self.nodes().map(|node| node.replica.head()).collect();
        let alive = self
            .nodes()
            .map(|node| node.control.membership.view().alive_count());
        let alive: Vec<usize> = alive.collect();
        format!(
            "running={} heads={:?}..{:?} alive={:?}..{:?} placed={}",
            heads.len(),
            heads.iter().min(),
            heads.iter().max(),
            alive.iter().min(),
            alive.iter().max(),
            self.is_placed()
        )
    }

    /// Ends all nodes.
    pub async fn stop(mut self) {
        let nodes: Vec<HollowNode> = self.running.iter_mut().filter_map(Option::take).collect();
        for node in nodes {
            node.crash().await;
        }
    }
}

async fn bind_again(address: SocketAddr) -> anyhow::Result<TcpListener> {
    for _ in 0..REBIND_ATTEMPTS {
        if let Ok(listener) = TcpListener::bind(address) {
            if std::net::UdpSocket::bind(address).is_ok() {
                return Ok(listener);
            }
        }
        tokio::time::sleep(LOOK_PERIOD).await;
    }
    bail!("address {address} stays taken")
}
