//! The policy of croftrill: the decision code of the daemon, with routers,
//! owners and a coordinator on different nodes that exchange messages.
//!
//! The gateway's routing and retry rules, the owner's queue and memory
//! decisions, the coordinator's load admission and the planner are the very
//! modules that the daemon runs. Only the drivers around them are the
//! emulator's. Not emulated: failures, leases, claims, membership.

mod cluster;
mod config;
mod coordinator;
mod names;
mod owner;
mod router;

pub use config::{AdmissionKind, ColdChoice, CroftrillConfig, Eviction};

use super::{LoadDone, Policy};
use crate::identifiers::{EngineIndex, ModelIndex, NodeIndex, RequestIndex};
use crate::simulation::World;
use coordinator::Coordinator;
use croftrill_protocol::attempt::QueueLoad;
use croftrill_state::load_admission::Permit;
use croftrill_state::outcome::Refusal;
use croftrill_state::ClusterState;
use names::Names;
use owner::Owner;
use router::Router;

/// What travels between the parts, or fires later.
pub enum Message {
    /// A router's attempt reaches the owner of an engine.
    Attempt(RequestIndex, EngineIndex),
    /// An owner's refusal reaches the router.
    Refused(RequestIndex, EngineIndex, Refusal, QueueLoad),
    /// News of an attempt reach the router: accepted, or its first token.
    News(RequestIndex, EngineIndex, QueueLoad, News),
    /// An owner looks at what is due.
    Due(EngineIndex),
    /// An owner reads what its engine holds.
    Inventory(EngineIndex),
    /// An owner asks for a load.
    PermitRequest(PermitRequest),
    /// The coordinator's answer reaches the owner.
    PermitAnswer(EngineIndex, ModelIndex, Permit),
    /// An owner's report of a load reaches the coordinator.
    LoadReport(LoadReport),
}

/// What an attempt's event says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum News {
    /// It waits in the queue.
    Accepted,
    /// Its first token came, so the model is loaded there.
    FirstToken,
    /// It ended.
    Finished,
}

/// Asks the coordinator for a load.
pub struct PermitRequest {
    engine: EngineIndex,
    model: ModelIndex,
    remote_mib: u64,
    deadline_millis: u64,
}

/// Tells the coordinator the end of a load.
pub struct LoadReport {
    engine: EngineIndex,
    model: ModelIndex,
    remote_mib: u64,
    duration_millis: u64,
    succeeded: bool,
}

type Sim<'a> = World<'a, Message>;

/// The policy.
pub struct Croftrill {
    config: CroftrillConfig,
    names: Names,
    state: ClusterState,
    routers: Vec<Router>,
    owners: Vec<Owner>,
    coordinator: Coordinator,
}

impl Croftrill {
    /// A policy with these settings; `start` places the models.
    pub fn new(config: CroftrillConfig) -> Self {
        Self {
            coordinator: Coordinator::idle(config.admission),
            config,
            names: Names::default(),
            state: ClusterState::default(),
            routers: Vec::new(),
            owners: Vec::new(),
        }
    }

    fn router_of(&self, world: &Sim<'_>, request: RequestIndex) -> NodeIndex {
        world.request(request).router
    }

    fn route(&mut self, world: &mut Sim<'_>, request: RequestIndex) {
        let NodeIndex(node) = self.router_of(world, request);
        self.routers[node].route(world, request, &self.state, &self.names);
    }
}

impl Policy for Croftrill {
    type Message = Message;

    fn name(&self) -> &str {
        &self.config.name
    }

    fn start(&mut self, world: &mut Sim<'_>) {
        self.names = Names::new(world, self.config.fair_shares);
        self.state = cluster::build(world, &self.names, &self.config);
        let places = &world.scenario().places;
        let nodes = places.engines + places.application_replicas;
        self.routers = (0..nodes)
            .map(|node| Router::new(node, self.config.cold_choice))
            .collect();
        self.owners = (0..places.engines)
            .map(|engine| Owner::new(EngineIndex(engine), world, &self.state, &self.names, &self.config))
            .collect();
        self.coordinator = Coordinator::new(self.config.admission, world);
        for owner in &mut self.owners {
            owner.take_inventory(world, &self.names);
        }
    }

    fn arrived(&mut self, world: &mut Sim<'_>, request: RequestIndex) {
        self.route(world, request);
    }

    fn message(&mut self, world: &mut Sim<'_>, message: Message) {
        let names = &self.names;
        match message {
            Message::Attempt(request, engine) => self.owners[engine.0].submit(world, names, request),
            Message::Refused(request, engine, refusal, load) => {
                let NodeIndex(node) = self.router_of(world, request);
                let again = self.routers[node].refused(world, request, engine, refusal, load, names);
                if again {
                    self.route(world, request);
                }
            }
            Message::News(request, engine, load, news) => {
                let NodeIndex(node) = self.router_of(world, request);
                self.routers[node].news(world, request, engine, load, news, names);
            }
            Message::Due(engine) => self.owners[engine.0].due(world, names),
            Message::Inventory(engine) => self.owners[engine.0].take_inventory(world, names),
            Message::PermitRequest(request) => self.coordinator.request(world, names, request),
            Message::PermitAnswer(engine, model, permit) => {
                self.owners[engine.0].permit_answered(world, names, model, permit);
            }
            Message::LoadReport(report) => self.coordinator.finish(world, names, &report),
        }
    }

    fn loaded(&mut self, world: &mut Sim<'_>, done: LoadDone) {
        self.owners[done.engine.0].inventory_soon(world);
    }

    fn unloaded(&mut self, world: &mut Sim<'_>, engine: EngineIndex, model: ModelIndex) {
        self.owners[engine.0].unload_answered(world, &self.names, model);
    }

    fn first_token(&mut self, world: &mut Sim<'_>, request: RequestIndex, engine: EngineIndex) {
        self.owners[engine.0].first_token(world, request);
    }

    fn finished(&mut self, world: &mut Sim<'_>, request: RequestIndex, engine: EngineIndex) {
        self.owners[engine.0].finished(world, &self.names, request);
    }
}
