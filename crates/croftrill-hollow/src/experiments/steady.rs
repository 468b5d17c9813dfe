//! What control costs while nothing happens, at growing sizes.

use crate::cluster::HollowCluster;
use crate::meter::open_files;
use crate::population::Population;
use crate::report::{mean, quantile, Format, Line, Table};
use crate::usage::{NodeUsage, Sample, Usage};
use serde_json::json;
use std::time::Duration;

const MIB: f64 = 1024.0 * 1024.0;

/// Settings of the experiment.
#[derive(Clone, Debug)]
pub struct SteadyConfig {
    /// Numbers of nodes, rising.
    pub sizes: Vec<usize>,
    /// What is configured.
    pub population: Population,
    /// Pause before the measurement at each size.
    pub settle: Duration,
    /// Length of the measurement at each size.
    pub window: Duration,
}

/// Runs it.
pub async fn run(config: SteadyConfig, format: Format) -> anyhow::Result<()> {
    let mut table = Table::new(
        "steady: per node and second; processor time in percent of a core",
        &[
            "nodes",
            "probe_bytes",
            "peer_bytes",
            "key_value_bytes",
            "control_bytes_mean",
            "control_bytes_max",
            "processor_mean",
            "processor_p99",
            "coordinator_processor",
            "coordinator_control_bytes",
            "coordinator_list_bytes",
            "key_value_calls_all",
            "resident_mib_process",
            "open_files",
            "revision",
        ],
    );
    let mut resident = Vec::new();
    for &size in &config.sizes {
        let cluster = HollowCluster::start(size, config.population).await?;
        tokio::time::sleep(config.settle).await;
        let before = Sample::take(&cluster)?;
        tokio::time::sleep(config.window).await;
        let after = Sample::take(&cluster)?;
        resident.push((size as f64, after.resident_bytes as f64 / MIB));
        table.row(figures(
            size,
            &after.since(&before),
            after.resident_bytes as f64 / MIB,
        ));
        table.extend_last(vec![json!(open_files()?), json!(cluster.highest_head().0)]);
        cluster.stop().await;
    }
    print!("{}", table.render(format));
    print!("{}", memory_slope(&resident).render(format));
    Ok(())
}

fn figures(size: usize, usage: &Usage, resident_mib: f64) -> Vec<serde_json::Value> {
    let seconds = usage.seconds;
    let rate = |bytes: u64| bytes as f64 / seconds;
    let processor = |node: &NodeUsage| node.processor_seconds / seconds * 100.0;
    let control = usage.ordinary(|node| rate(node.control_bytes()));
    vec![
        json!(size),
        json!(mean(&usage.ordinary(|node| rate(node.probe_bytes)))),
        json!(mean(&usage.ordinary(|node| rate(
            node.peer_bytes_sent + node.peer_bytes_received
        )))),
        json!(mean(&usage.ordinary(|node| rate(node.calls.bytes)))),
        json!(mean(&control)),
        json!(quantile(&control, 1.0)),
        json!(mean(&usage.ordinary(processor))),
        json!(quantile(&usage.ordinary(processor), 0.99)),
        json!(mean(&usage.coordinators(processor))),
        json!(mean(&usage.coordinators(|node| rate(node.control_bytes())))),
        json!(mean(&usage.coordinators(|node| rate(node.calls.machine_bytes)))),
        json!(usage.calls().total() as f64 / seconds),
        json!(resident_mib),
    ]
}

fn memory_slope(points: &[(f64, f64)]) -> Table {
    let mut table = Table::new("steady: resident memory", &["mib_at_zero", "mib_per_node"]);
    if let Some(line) = Line::through(points) {
        table.row(vec![json!(line.at_zero), json!(line.slope)]);
    }
    table
}
