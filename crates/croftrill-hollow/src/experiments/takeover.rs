//! The coordinator of a cell fails; another one takes over.

use crate::cluster::HollowCluster;
use crate::population::{cell_of, Population};
use crate::report::{quantile, Format, Table};
use crate::usage::Sample;
use anyhow::Context;
use croftrill_state::{CellId, NodeId};
use serde_json::json;
use std::time::Duration;
use tokio::time::Instant;

/// Settings of the experiment.
#[derive(Clone, Debug)]
pub struct TakeoverConfig {
    /// Numbers of nodes, rising.
    pub sizes: Vec<usize>,
    /// What is configured.
    pub population: Population,
    /// Failures at each size.
    pub failures: usize,
    /// Pause before each failure.
    pub settle: Duration,
}

/// Runs it.
pub async fn run(config: TakeoverConfig, format: Format) -> anyhow::Result<()> {
    let mut table = Table::new(
        "takeover: seconds from the coordinator's failure; calls to the key-value service",
        &[
            "nodes",
            "failures",
            "term_p50",
            "term_max",
            "known_to_all_max",
            "engines_owned_max",
            "calls_per_second_idle",
            "calls_per_second_takeover_max",
            "calls_get",
            "calls_list",
            "calls_write",
            "calls_lease",
            "calls_watch",
        ],
    );
    for &size in &config.sizes {
        let mut cluster = HollowCluster::start(size, config.population).await?;
        table.row(measure(&mut cluster, &config).await?);
        cluster.stop().await;
    }
    print!("{}", table.render(format));
    Ok(())
}

/// One failure, in seconds and calls.
struct Takeover {
    idle_rate: f64,
    term: f64,
    known_to_all: f64,
    owned: f64,
    rate: f64,
    calls: [u64; 5],
}

async fn measure(
    cluster: &mut HollowCluster,
    config: &TakeoverConfig,
) -> anyhow::Result<Vec<serde_json::Value>> {
    let mut takeovers = Vec::new();
    for _ in 0..config.failures {
        takeovers.push(fail_once(cluster, config).await?);
    }
    let all = |figure: &dyn Fn(&Takeover) -> f64| takeovers.iter().map(figure).collect::<Vec<f64>>();
    let most = |figure: &dyn Fn(&Takeover) -> f64| quantile(&all(figure), 1.0);
    let mut row = vec![
        json!(cluster.specs.len()),
        json!(config.failures),
        json!(quantile(&all(&|takeover| takeover.term), 0.5)),
        json!(most(&|takeover| takeover.term)),
        json!(most(&|takeover| takeover.known_to_all)),
        json!(most(&|takeover| takeover.owned)),
        json!(most(&|takeover| takeover.idle_rate)),
        json!(most(&|takeover| takeover.rate)),
    ];
    row.extend((0..5).map(|kind| json!(most(&|takeover| takeover.calls[kind] as f64))));
    Ok(row)
}

async fn fail_once(cluster: &mut HollowCluster, config: &TakeoverConfig) -> anyhow::Result<Takeover> {
    let cell = cell_of(0);
    let idle_from = Sample::take(cluster)?;
    tokio::time::sleep(config.settle).await;
    let before = Sample::take(cluster)?;
    let idle = before.since(&idle_from);
    let coordinator = cluster
        .coordinator(&cell)
        .context("the cell has no coordinator")?;
    let failed = coordinator.spec.clone();
    let node = cluster.take(failed.index).context("the coordinator runs")?;
    let started = Instant::now();
    node.crash().await;
    let elapsed = || started.elapsed().as_secs_f64();
    cluster
        .wait_for("a new term", || {
            cluster
                .nodes()
                .any(|node| coordinator_at(node, &cell).is_some_and(|now| now != failed.id))
        })
        .await?;
    let term = elapsed();
    cluster
        .wait_for("all know the new term", || {
            cluster
                .nodes()
                .all(|node| coordinator_at(node, &cell).is_some_and(|now| now != failed.id))
        })
        .await?;
    let known_to_all = elapsed();
    let taken_over = Sample::take(cluster)?.since(&before);
    cluster
        .wait_for("its engines have other owners", || {
            owned_engines(cluster, &failed.id) == 0
        })
        .await?;
    let owned = elapsed();
    cluster.restart(failed.index).await?;
    cluster.wait_settled().await?;
    Ok(Takeover {
        idle_rate: idle.calls().total() as f64 / idle.seconds,
        term,
        known_to_all,
        owned,
        rate: taken_over.calls().total() as f64 / taken_over.seconds,
        calls: taken_over.calls().calls,
    })
}

fn coordinator_at(node: &crate::node::HollowNode, cell: &CellId) -> Option<NodeId> {
    let state = node.replica.state();
    state
        .coordinators
        .get(cell)
        .map(|coordinator| coordinator.node.clone())
}

fn owned_engines(cluster: &HollowCluster, owner: &NodeId) -> usize {
    let Some(node) = cluster.nodes().next() else {
        return 0;
    };
    let state = node.replica.state();
    let engines = state.engines.values();
    engines
        .filter(|engine| engine.value.owner.as_ref() == Some(owner))
        .count()
}
