//! A whole zone restarted at once.

use crate::cluster::HollowCluster;
use crate::population::{Population, ZONES};
use crate::report::{mean, quantile, Format, Table};
use crate::usage::Sample;
use serde_json::json;
use std::time::Duration;
use tokio::time::Instant;

/// The zone that is restarted; it holds one of the seeds.
const ZONE: usize = 1;
/// How long the survivors are watched from the start of the zone.
const WATCHED: Duration = Duration::from_secs(60);
const KIB: f64 = 1024.0;

/// Settings of the experiment.
#[derive(Clone, Debug)]
pub struct RestartConfig {
    /// Numbers of nodes, rising; a sixth of them is restarted.
    pub sizes: Vec<usize>,
    /// What is configured.
    pub population: Population,
    /// Time between the end of the zone and its start.
    pub down: Duration,
    /// Pause before the measurement at each size.
    pub settle: Duration,
}

/// Runs it.
pub async fn run(config: RestartConfig, format: Format) -> anyhow::Result<()> {
    let mut table = Table::new(
        "restart: a zone at once; seconds from the start of its nodes, KiB",
        &[
            "nodes",
            "restarted",
            "log_p50",
            "log_all",
            "settled_all",
            "key_value_calls",
            "key_value_calls_per_second",
            "received_kib_each",
            "served_kib_survivor_mean",
            "served_kib_survivor_max",
            "processor_ms_restarted",
            "processor_ms_survivor_max",
            "survivor_bytes_per_second_worst",
            "survivor_bytes_per_second_minute",
            "key_value_calls_minute",
        ],
    );
    for &size in &config.sizes {
        let mut cluster = HollowCluster::start(size, config.population).await?;
        tokio::time::sleep(config.settle).await;
        table.row(measure(&mut cluster, &config).await?);
        cluster.stop().await;
    }
    print!("{}", table.render(format));
    Ok(())
}

async fn measure(
    cluster: &mut HollowCluster,
    config: &RestartConfig,
) -> anyhow::Result<Vec<serde_json::Value>> {
    let zone: Vec<usize> = (0..cluster.specs.len())
        .filter(|index| index % ZONES == ZONE)
        .collect();
    for &index in &zone {
        if let Some(node) = cluster.take(index) {
            node.crash().await;
        }
    }
    tokio::time::sleep(config.down).await;
    let before = Sample::take(cluster)?;
    let head = cluster.highest_head();
    let started = Instant::now();
    let mut seconds = Seconds::from(&before);
    for &index in &zone {
        cluster.restart(index).await?;
    }
    let has_log = |index: &usize| {
        cluster
            .node(*index)
            .is_some_and(|node| node.replica.head() >= head)
    };
    let half = zone.len().div_ceil(2);
    cluster
        .wait_for("half of the zone has the log", || {
            zone.iter().filter(|index| has_log(index)).count() >= half
        })
        .await?;
    let log_half = started.elapsed().as_secs_f64();
    cluster
        .wait_for("the zone has the log", || zone.iter().all(has_log))
        .await?;
    let log_all = started.elapsed().as_secs_f64();
    cluster.wait_settled().await?;
    let settled = started.elapsed().as_secs_f64();
    let usage = Sample::take(cluster)?.since(&before);
    while started.elapsed() < WATCHED {
        tokio::time::sleep(Duration::from_secs(1)).await;
        seconds.note(Sample::take(cluster)?);
    }
    let minute = Sample::take(cluster)?.since(&before);
    let served = usage.by_start(false, |node| node.peer_bytes_sent as f64 / KIB);
    let calls = usage.calls().total() as f64;
    Ok(vec![
        json!(cluster.specs.len()),
        json!(zone.len()),
        json!(log_half),
        json!(log_all),
        json!(settled),
        json!(calls),
        json!(calls / usage.seconds),
        json!(mean(
            &usage.by_start(true, |node| node.peer_bytes_received as f64 / KIB)
        )),
        json!(mean(&served)),
        json!(quantile(&served, 1.0)),
        json!(mean(
            &usage.by_start(true, |node| node.processor_seconds * 1000.0)
        )),
        json!(quantile(
            &usage.by_start(false, |node| node.processor_seconds * 1000.0),
            1.0
        )),
        json!(seconds.worst_bytes),
        json!(mean(
            &minute.by_start(false, |node| node.control_bytes() as f64 / minute.seconds)
        )),
        json!(minute.calls().total()),
    ])
}

/// The busiest time between two samples, a second or more apart; mean of the
/// survivors.
struct Seconds {
    last: Sample,
    worst_bytes: f64,
}

impl Seconds {
    fn from(first: &Sample) -> Self {
        Self {
            last: first.clone(),
            worst_bytes: 0.0,
        }
    }

    fn note(&mut self, sample: Sample) {
        let usage = sample.since(&self.last);
        let bytes = usage.by_start(false, |node| node.control_bytes() as f64 / usage.seconds);
        self.worst_bytes = self.worst_bytes.max(mean(&bytes));
        self.last = sample;
    }
}
