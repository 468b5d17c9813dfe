//! The cluster state itself: memory, size on the wire, time of its operations.

use crate::meter::resident_bytes;
use crate::population::{self, Population, CELLS};
use crate::report::{quantile, Format, Line, Table};
use anyhow::{bail, Context};
use croftrill_platform::machine_list::Machine;
use croftrill_state::entry::{Change, LogEntry};
use croftrill_state::reconcile::{ListedMachines, Observation, ReconcileConfig, Reconciler};
use croftrill_state::{CellId, ClusterState, EntryId, Instant, NodeId, Term};
use nanoserde::{DeBin, SerBin};
use serde_json::json;
use std::hint::black_box;
use std::net::SocketAddr;

/// Copies that are held at once to see the memory of one.
const COPIES: usize = 16;
/// Repetitions of each timed operation; the median counts.
const REPETITIONS: usize = 31;
/// More plans than any state here needs.
const MOST_PLANS: usize = 1000;
const MIB: f64 = 1024.0 * 1024.0;
const FIRST_TERM: Term = Term(1);

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
        let part = Part::build(percent)?;
        let copy_mib = part.memory_of_copy()?;
        memory.push((percent as f64, copy_mib));
        table.row(part.figures(copy_mib)?);
    }
    print!("{}", table.render(format));
    let mut slopes = Table::new("state-size: memory", &["mib_at_zero", "mib_per_percent"]);
    if let Some(line) = Line::through(&memory) {
        slopes.row(vec![json!(line.at_zero), json!(line.slope)]);
    }
    print!("{}", slopes.render(format));
    Ok(())
}

/// A state and what the machine list says of it.
struct Part {
    percent: usize,
    population: Population,
    machines: ListedMachines,
    listed: Vec<Machine>,
    state: ClusterState,
}

impl Part {
    fn build(percent: usize) -> anyhow::Result<Part> {
        let nodes = (population::FULL_NODES * percent / 100).max(1);
        let listed = listed(nodes);
        let mut part = Part {
            percent,
            population: Population::percent(percent),
            machines: sorted(&listed),
            listed,
            state: ClusterState::default(),
        };
        for cell in cells() {
            let node = node_of(&cell);
            part.apply(Change::ElectCoordinator { cell, node }, FIRST_TERM)?;
        }
        part.reconcile()?;
        for change in part.population.changes() {
            part.apply(change, Term(0))?;
        }
        part.reconcile()?;
        Ok(part)
    }

    fn reconcile(&mut self) -> anyhow::Result<()> {
        for cell in cells() {
            let mut reconciler = Reconciler::new(cell, ReconcileConfig::default());
            let mut plans = 0;
            while let Some(change) = self.plan(&mut reconciler) {
                self.apply(change, FIRST_TERM)?;
                plans += 1;
                if plans > MOST_PLANS {
                    bail!("the reconciler finds no end");
                }
            }
        }
        Ok(())
    }

    fn plan(&self, reconciler: &mut Reconciler) -> Option<Change> {
        let observation = Observation {
            machines: Some(&self.machines),
            alive: &|_| true,
            now: Instant(0),
        };
        reconciler.plan(&self.state, &observation)
    }

    fn apply(&mut self, change: Change, term: Term) -> anyhow::Result<()> {
        let entry = self.entry(change, term);
        self.state.apply(&entry)?;
        Ok(())
    }

    fn entry(&self, change: Change, term: Term) -> LogEntry {
        LogEntry {
            revision: self.state.revision.next(),
            entry_id: EntryId(self.state.revision.0 + 1),
            author: population::node_id(0),
            term,
            change,
        }
    }

    /// Memory of one more copy that was decoded from the wire.
    fn memory_of_copy(&self) -> anyhow::Result<f64> {
        let bytes = self.state.serialize_bin();
        let before = resident_bytes()?;
        let copies: Result<Vec<ClusterState>, _> = (0..COPIES)
            .map(|_| ClusterState::deserialize_bin(&bytes))
            .collect();
        let copies = copies.context("the state cannot be decoded")?;
        let after = resident_bytes()?;
        drop(black_box(copies));
        Ok((after.saturating_sub(before)) as f64 / COPIES as f64 / MIB)
    }

    fn figures(&self, copy_mib: f64) -> anyhow::Result<Vec<serde_json::Value>> {
        let bytes = self.state.serialize_bin();
        let change = self.population.ordinary_change(0, self.state.revision);
        let entry = self.entry(change, Term(0));
        let list = serde_json::to_vec(&self.listed)?;
        let mut reconciler = Reconciler::new(population::cell_of(0), ReconcileConfig::default());
        Ok(vec![
            json!(self.percent),
            json!(self.state.nodes.len()),
            json!(self.state.engines.len()),
            json!(self.state.models.len()),
            json!(self.state.adapters.len()),
            json!(self.state.all_assignments().count()),
            json!(copy_mib),
            json!(bytes.len() as f64 / 1024.0),
            json!(median_millis(|| self.state.serialize_bin())),
            json!(median_millis(|| ClusterState::deserialize_bin(&bytes))),
            json!(median_millis(|| {
                let mut next = self.state.clone();
                let applied = next.apply(&entry);
                (next, applied)
            })),
            json!(entry.serialize_bin().len()),
            json!(median_millis(|| self.plan(&mut reconciler))),
            json!(list.len() as f64 / 1024.0),
            json!(median_millis(|| serde_json::from_slice::<Vec<Machine>>(&list))),
        ])
    }
}

fn cells() -> Vec<CellId> {
    (0..CELLS).map(population::cell_of).collect()
}

fn node_of(cell: &CellId) -> NodeId {
    let index = (0..CELLS).find(|index| population::cell_of(*index) == *cell);
    population::node_id(index.unwrap_or_default())
}

fn listed(nodes: usize) -> Vec<Machine> {
    let address = SocketAddr::from(([127, 0, 0, 1], 40_000));
    let listed_nodes = (0..nodes).map(|index| population::node_machine(index, address));
    let engines = (0..population::engines_for(nodes)).map(population::engine_machine);
    listed_nodes.chain(engines).collect()
}

fn sorted(listed: &[Machine]) -> ListedMachines {
    let mut machines = ListedMachines::default();
    for machine in listed {
        match machine {
            Machine::Node(node) => {
                machines.nodes.insert(node.id.clone(), node.clone());
            }
            Machine::Engine(engine) => {
                machines.engines.insert(engine.id.clone(), engine.clone());
            }
        }
    }
    machines
}

fn median_millis<T>(mut operation: impl FnMut() -> T) -> f64 {
    let times = (0..REPETITIONS).map(|_| {
        let started = std::time::Instant::now();
        black_box(operation());
        started.elapsed().as_secs_f64() * 1000.0
    });
    quantile(&times.collect::<Vec<f64>>(), 0.5)
}
