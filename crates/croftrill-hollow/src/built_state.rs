//! A cluster state of a part of the size to design for, built by applying the
//! entries that operators and coordinators would write.

use crate::population::{self, Population, CELLS};
use anyhow::bail;
use croftrill_platform::machine_list::Machine;
use croftrill_state::entry::{Change, LogEntry};
use croftrill_state::reconcile::{ListedMachines, Observation, ReconcileConfig, Reconciler};
use croftrill_state::{CellId, ClusterState, EntryId, Instant, NodeId, Term};
use std::net::SocketAddr;

/// More plans than any state here needs.
const MOST_PLANS: usize = 1000;
const FIRST_TERM: Term = Term(1);

/// A state and what the machine list says of it.
pub struct BuiltState {
    /// What is configured.
    pub population: Population,
    /// The machine list's answer.
    pub listed: Vec<Machine>,
    /// The state.
    pub state: ClusterState,
    machines: ListedMachines,
}

impl BuiltState {
    /// Builds the state at a part of the size to design for, in percent.
    pub fn build(percent: usize) -> anyhow::Result<BuiltState> {
        let nodes = (population::FULL_NODES * percent / 100).max(1);
        let listed = listed(nodes);
        let mut part = BuiltState {
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

    /// What a coordinator would change now, if anything.
    pub fn plan(&self, reconciler: &mut Reconciler) -> Option<Change> {
        let observation = Observation {
            machines: Some(&self.machines),
            alive: &|_| true,
            leaving: &|_| false,
            now: Instant(0),
        };
        reconciler.plan(&self.state, &observation)
    }

    fn apply(&mut self, change: Change, term: Term) -> anyhow::Result<()> {
        let entry = self.entry(change, term);
        self.state.apply(&entry)?;
        Ok(())
    }

    /// The entry after the present state.
    pub fn entry(&self, change: Change, term: Term) -> LogEntry {
        LogEntry {
            revision: self.state.revision.next(),
            entry_id: EntryId(self.state.revision.0 + 1),
            author: population::node_id(0),
            term,
            change,
        }
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
    let listed_nodes = (0..nodes).map(|index| population::node_machine(index, address, address));
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
