//! The last reading of the machine list.

use croftrill_platform::machine_list::{Machine, MachineList};
use croftrill_state::reconcile::ListedMachines;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Reads the list now and then and keeps the last answer.
pub(super) struct MachineWatch {
    list: Arc<dyn MachineList>,
    poll: Duration,
    next_poll: Instant,
    listed: Option<ListedMachines>,
}

impl MachineWatch {
    /// Nothing read yet; the first refresh reads.
    pub(super) fn new(list: Arc<dyn MachineList>, poll_millis: u64) -> Self {
        Self {
            list,
            poll: Duration::from_millis(poll_millis),
            next_poll: Instant::now(),
            listed: None,
        }
    }

    /// Reads the list if it is time. A failed reading is no reading: machines
    /// that were missing before are not counted as missing longer.
    pub(super) async fn refresh(&mut self) {
        if Instant::now() < self.next_poll {
            return;
        }
        self.next_poll = Instant::now() + self.poll;
        match self.list.machines().await {
            Ok(machines) => self.listed = Some(sorted(machines)),
            Err(error) => {
                log::warn!("coordinator: machine list not read error=\"{error}\"");
                self.listed = None;
            }
        }
    }

    /// The last answer, if the last reading brought one.
    pub(super) fn listed(&self) -> Option<&ListedMachines> {
        self.listed.as_ref()
    }
}

fn sorted(machines: Vec<Machine>) -> ListedMachines {
    let mut listed = ListedMachines::default();
    for machine in machines {
        match machine {
            Machine::Node(node) => {
                listed.nodes.insert(node.id.clone(), node);
            }
            Machine::Engine(engine) => {
                listed.engines.insert(engine.id.clone(), engine);
            }
        }
    }
    listed
}
