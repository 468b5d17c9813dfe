//! How long a change of configuration takes to reach every node, and what it
//! costs each of them.

use crate::cluster::HollowCluster;
use crate::population::Population;
use crate::report::{mean, quantile, Format, Table};
use crate::usage::{NodeUsage, Sample};
use anyhow::bail;
use croftrill_coordination::replication::ProposeOutcome;
use croftrill_state::{Revision, Term};
use serde_json::json;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// Longest wait for one change to reach a node.
const PATIENCE: Duration = Duration::from_secs(60);
/// The proposing node moves on by so many nodes with each change.
const PROPOSER_STEP: usize = 7;
const OPERATOR_TERM: Term = Term(0);

/// Settings of the experiment.
#[derive(Clone, Debug)]
pub struct PropagateConfig {
    /// Numbers of nodes, rising.
    pub sizes: Vec<usize>,
    /// What is configured.
    pub population: Population,
    /// Changes at each size.
    pub changes: usize,
    /// Pause after each change; also the window of the steady state, per change.
    pub gap: Duration,
    /// Pause before the measurement at each size.
    pub settle: Duration,
}

/// Runs it.
pub async fn run(config: PropagateConfig, format: Format) -> anyhow::Result<()> {
    let mut table = Table::new(
        "propagate: seconds from an operator's call to a node's use; cost per node and change",
        &[
            "nodes",
            "changes",
            "append_p50",
            "node_p50",
            "node_p99",
            "all_p50",
            "all_max",
            "bytes_per_change",
            "served_bytes_max",
            "processor_ms_per_change",
            "key_value_calls_per_change",
        ],
    );
    for &size in &config.sizes {
        let cluster = HollowCluster::start(size, config.population).await?;
        tokio::time::sleep(config.settle).await;
        table.row(measure(&cluster, &config).await?);
        cluster.stop().await;
    }
    print!("{}", table.render(format));
    Ok(())
}

/// Times of one change, in seconds.
struct Spread {
    append: f64,
    nodes: Vec<f64>,
}

async fn measure(
    cluster: &HollowCluster,
    config: &PropagateConfig,
) -> anyhow::Result<Vec<serde_json::Value>> {
    let idle_from = Sample::take(cluster)?;
    tokio::time::sleep(config.gap * config.changes as u32).await;
    let busy_from = Sample::take(cluster)?;
    let mut spreads = Vec::new();
    for number in 0..config.changes {
        spreads.push(spread_one(cluster, number).await?);
        tokio::time::sleep(config.gap).await;
    }
    let end = Sample::take(cluster)?;
    let idle = busy_from.since(&idle_from);
    let busy = end.since(&busy_from);
    let per_change = |figure: &dyn Fn(&NodeUsage) -> f64| {
        let idle_rate = mean(&idle.ordinary(figure)) / idle.seconds;
        (mean(&busy.ordinary(figure)) - idle_rate * busy.seconds) / config.changes as f64
    };
    let calls = busy.calls().total() as f64 - idle.calls().total() as f64 / idle.seconds * busy.seconds;
    let served = quantile(&busy.ordinary(|node| node.peer_bytes_sent as f64), 1.0);
    let all_nodes: Vec<f64> = spreads.iter().flat_map(|spread| spread.nodes.clone()).collect();
    let slowest: Vec<f64> = spreads
        .iter()
        .map(|spread| quantile(&spread.nodes, 1.0))
        .collect();
    let appends: Vec<f64> = spreads.iter().map(|spread| spread.append).collect();
    Ok(vec![
        json!(cluster.nodes().count()),
        json!(config.changes),
        json!(quantile(&appends, 0.5)),
        json!(quantile(&all_nodes, 0.5)),
        json!(quantile(&all_nodes, 0.99)),
        json!(quantile(&slowest, 0.5)),
        json!(quantile(&slowest, 1.0)),
        json!(per_change(&|node| node.control_bytes() as f64)),
        json!(served / config.changes as f64),
        json!(per_change(&|node| node.processor_seconds * 1000.0)),
        json!(calls / config.changes as f64),
    ])
}

async fn spread_one(cluster: &HollowCluster, number: usize) -> anyhow::Result<Spread> {
    let running = cluster.nodes().count();
    let proposer = cluster.nodes().nth(number * PROPOSER_STEP % running);
    let Some(proposer) = proposer else {
        bail!("no node runs");
    };
    let change = cluster
        .population
        .ordinary_change(number, proposer.replica.head());
    let started = Instant::now();
    let revision = match proposer.replica.propose(change, OPERATOR_TERM).await {
        ProposeOutcome::Applied(revision) => revision,
        outcome => bail!("change not appended: {outcome:?}"),
    };
    let append = started.elapsed().as_secs_f64();
    let mut waits = JoinSet::new();
    for node in cluster.nodes() {
        waits.spawn(reached(node.replica.new_heads(), revision, started));
    }
    let mut nodes = Vec::new();
    while let Some(reached) = waits.join_next().await {
        nodes.push(reached??);
    }
    Ok(Spread { append, nodes })
}

async fn reached(
    mut heads: watch::Receiver<Revision>,
    revision: Revision,
    started: Instant,
) -> anyhow::Result<f64> {
    tokio::time::timeout(PATIENCE, heads.wait_for(|head| *head >= revision)).await??;
    Ok(started.elapsed().as_secs_f64())
}
