//! Peers, membership and the machine list, in memory.

use async_trait::async_trait;
use croftrill_coordination::load_permits::LoadPermitService;
use croftrill_coordination::replication::{LiveMembers, PeerConnector, PeerError, Replica};
use croftrill_platform::machine_list::{Machine, MachineList, MachineListError};
use croftrill_protocol::peer::{LoadPermit, LoadPermitRequest, LoadReport, LogPage, ReportOutcome};
use croftrill_state::{EngineId, ModelId, NodeId, Revision};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};

/// Peers by address; the address of a node is its name.
#[derive(Default)]
pub struct SimulatedPeers {
    replicas: Mutex<BTreeMap<String, Arc<Replica>>>,
    permits: Mutex<BTreeMap<String, Arc<LoadPermitService>>>,
}

impl SimulatedPeers {
    pub fn add(&self, address: &str, replica: Arc<Replica>) {
        self.replicas.lock().unwrap().insert(address.to_string(), replica);
    }

    pub fn add_permits(&self, address: &str, service: Arc<LoadPermitService>) {
        self.permits.lock().unwrap().insert(address.to_string(), service);
    }

    pub fn remove(&self, address: &str) {
        self.replicas.lock().unwrap().remove(address);
        self.permits.lock().unwrap().remove(address);
    }

    fn replica(&self, address: &str) -> Result<Arc<Replica>, PeerError> {
        let found = self.replicas.lock().unwrap().get(address).cloned();
        found.ok_or_else(|| unreachable_peer(address))
    }

    fn permits(&self, address: &str) -> Result<Arc<LoadPermitService>, PeerError> {
        let found = self.permits.lock().unwrap().get(address).cloned();
        found.ok_or_else(|| unreachable_peer(address))
    }
}

fn unreachable_peer(address: &str) -> PeerError {
    PeerError {
        address: address.to_string(),
        reason: "simulated".to_string(),
    }
}

#[async_trait]
impl PeerConnector for SimulatedPeers {
    async fn fetch_log(&self, address: &str, after: Revision, limit: u32) -> Result<LogPage, PeerError> {
        Ok(self.replica(address)?.log_page(after, limit))
    }

    async fn request_load(&self, address: &str, request: LoadPermitRequest) -> Result<LoadPermit, PeerError> {
        Ok(self.permits(address)?.request_load(&request))
    }

    async fn finish_load(&self, address: &str, report: LoadReport) -> Result<ReportOutcome, PeerError> {
        Ok(self.permits(address)?.finish_load(&report))
    }

    async fn report_release(
        &self,
        address: &str,
        model: ModelId,
        engine: EngineId,
    ) -> Result<ReportOutcome, PeerError> {
        Ok(self.replica(address)?.record_release(model, engine).await)
    }
}

/// Who is alive, the same for every node that is not cut off.
#[derive(Default)]
pub struct SimulatedMembers {
    alive: Mutex<BTreeSet<NodeId>>,
    /// These hear nobody, and do not yet hold the others for dead.
    deaf: Mutex<BTreeSet<NodeId>>,
}

/// What one node sees of the members.
pub struct MembersSeenBy {
    pub node: NodeId,
    pub members: Arc<SimulatedMembers>,
}

impl LiveMembers for MembersSeenBy {
    fn alive(&self) -> Vec<NodeId> {
        let mut alive = self.members.alive();
        alive.push(self.node.clone());
        alive.retain(|node| self.is_alive(node));
        alive.sort();
        alive.dedup();
        alive
    }

    fn hears_others(&self) -> bool {
        let deaf = self.members.deaf.lock().unwrap().contains(&self.node);
        !deaf && self.alive().len() > 1
    }

    /// A member that the others hold for dead is one that reaches nobody.
    fn is_alive(&self, node: &NodeId) -> bool {
        *node == self.node || (self.members.is_alive(&self.node) && self.members.is_alive(node))
    }

    fn is_leaving(&self, _node: &NodeId) -> bool {
        false
    }
}

impl SimulatedMembers {
    pub fn of(names: &[&str]) -> Arc<Self> {
        let members = Self::default();
        for name in names {
            members.set_alive(name, true);
        }
        Arc::new(members)
    }

    pub fn set_deaf(&self, name: &str) {
        self.deaf.lock().unwrap().insert(NodeId::from(name));
    }

    pub fn set_alive(&self, name: &str, alive: bool) {
        let mut members = self.alive.lock().unwrap();
        if alive {
            members.insert(NodeId::from(name));
        } else {
            members.remove(&NodeId::from(name));
        }
    }
}

impl LiveMembers for SimulatedMembers {
    fn alive(&self) -> Vec<NodeId> {
        self.alive.lock().unwrap().iter().cloned().collect()
    }

    fn is_alive(&self, node: &NodeId) -> bool {
        self.alive.lock().unwrap().contains(node)
    }

    fn is_leaving(&self, _node: &NodeId) -> bool {
        false
    }
}

/// The machine list.
#[derive(Default)]
pub struct SimulatedMachines {
    machines: Mutex<Vec<Machine>>,
}

impl SimulatedMachines {
    pub fn set(&self, machines: Vec<Machine>) {
        *self.machines.lock().unwrap() = machines;
    }
}

#[async_trait]
impl MachineList for SimulatedMachines {
    async fn machines(&self) -> Result<Vec<Machine>, MachineListError> {
        Ok(self.machines.lock().unwrap().clone())
    }
}
