//! The cluster state itself: memory, size on the wire, time of its operations.

use crate::built_state::BuiltState;
use crate::meter::resident_bytes;
use crate::population;
use crate::report::{quantile, Format, Line, Table};
use anyhow::Context;
use croftrill_platform::machine_list::Machine;
use croftrill_state::reconcile::{ReconcileConfig, Reconciler};
use croftrill_state::{ClusterState, Term};
use nanoserde::{DeBin, SerBin};
use serde_json::json;
use std::hint::black_box;

/// Copies that are held at once to see the memory of one.
const COPIES: usize = 16;
/// Repetitions of each timed operation; the median counts.
const REPETITIONS: usize = 31;
const MIB: f64 = 1024.0 * 1024.0;

/// Settings of the experiment.
#[derive(Clone, Debug)]
pub struct StateSizeConfig {
    /// Parts of the size to design for, in percent, rising.
    pub percents: Vec<usize>,
}

/// Runs it.
pub fn run(config: &StateSizeConfig, format: Format) -> anyhow::Result<()> {
    let mut table = Table::new(
        "state-size: at a part of the size to design for",
        &[
            "percent",
            "nodes",
            "engines",
            "models",
            "adapters",
            "assignments",
            "memory_mib",
            "snapshot_kib",
            "encode_ms",
            "decode_ms",
            "apply_change_ms",
            "change_bytes",
            "plan_idle_ms",
            "machine_list_kib",
            "machine_list_parse_ms",
        ],
    );
    let mut memory = Vec::new();
    for &percent in &config.percents {
        let part = BuiltState::build(percent)?;
        let copy_mib = memory_of_copy(&part)?;
        memory.push((percent as f64, copy_mib));
        table.row(figures(percent, &part, copy_mib)?);
    }
    print!("{}", table.render(format));
    let mut slopes = Table::new("state-size: memory", &["mib_at_zero", "mib_per_percent"]);
    if let Some(line) = Line::through(&memory) {
        slopes.row(vec![json!(line.at_zero), json!(line.slope)]);
    }
    print!("{}", slopes.render(format));
    Ok(())
}

/// Memory of one more copy that was decoded from the wire.
fn memory_of_copy(built: &BuiltState) -> anyhow::Result<f64> {
    let bytes = built.state.serialize_bin();
    let before = resident_bytes()?;
    let copies: Result<Vec<ClusterState>, _> = (0..COPIES)
        .map(|_| ClusterState::deserialize_bin(&bytes))
        .collect();
    let copies = copies.context("the state cannot be decoded")?;
    let after = resident_bytes()?;
    drop(black_box(copies));
    Ok((after.saturating_sub(before)) as f64 / COPIES as f64 / MIB)
}

fn figures(percent: usize, built: &BuiltState, copy_mib: f64) -> anyhow::Result<Vec<serde_json::Value>> {
    let bytes = built.state.serialize_bin();
    let change = built.population.ordinary_change(0, built.state.revision);
    let entry = built.entry(change, Term(0));
    let list = serde_json::to_vec(&built.listed)?;
    let mut reconciler = Reconciler::new(population::cell_of(0), ReconcileConfig::default());
    Ok(vec![
        json!(percent),
        json!(built.state.nodes.len()),
        json!(built.state.engines.len()),
        json!(built.state.models.len()),
        json!(built.state.adapters.len()),
        json!(built.state.all_assignments().count()),
        json!(copy_mib),
        json!(bytes.len() as f64 / 1024.0),
        json!(median_millis(|| built.state.serialize_bin())),
        json!(median_millis(|| ClusterState::deserialize_bin(&bytes))),
        json!(median_millis(|| {
            let mut next = built.state.clone();
            let applied = next.apply(&entry);
            (next, applied)
        })),
        json!(entry.serialize_bin().len()),
        json!(median_millis(|| built.plan(&mut reconciler))),
        json!(list.len() as f64 / 1024.0),
        json!(median_millis(|| serde_json::from_slice::<Vec<Machine>>(&list))),
    ])
}

/// The median time of an operation, in milliseconds.
pub(super) fn median_millis<T>(mut operation: impl FnMut() -> T) -> f64 {
    let times = (0..REPETITIONS).map(|_| {
        let started = std::time::Instant::now();
        black_box(operation());
        started.elapsed().as_secs_f64() * 1000.0
    });
    quantile(&times.collect::<Vec<f64>>(), 0.5)
}
