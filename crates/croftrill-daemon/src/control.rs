//! The parts on the control thread: the node's copy of the log, membership,
//! claims, the coordinator's role, the peer service.
//!
//! The start waits for none of the platform's services: what needs an answer of
//! theirs is learned beside it. Peers are served at once, so that a node without
//! a copy of the log tells them so.

use crate::claim_start::{claim_config, ClaimStart};
use crate::control_thread::ControlTasks;
use crate::learned_admission::LearnedAdmission;
use crate::membership::{self, ViewedMembers};
use crate::peer_calls::PeerCalls;
use crate::peer_parts::StartedClaims;
use crate::store_limits;
use croftrill_coordination::coordinator::{Coordinator, CoordinatorConfig, CoordinatorParts, LeaseConfig};
use croftrill_coordination::load_permits::LoadPermitService;
use croftrill_coordination::membership_driver::{MembershipDriver, MembershipHandle, MonotonicClock};
use croftrill_coordination::peer_service::{AttemptCanceller, PeerParts, PeerService, PlanSource};
use croftrill_coordination::replication::{Follower, FollowerConfig, LiveMembers, Replica};
use croftrill_platform::key_value::KeyValueService;
use croftrill_platform::machine_list::MachineList;
use croftrill_platform::weight_store::WeightStore;
use croftrill_settings::Settings;
use croftrill_state::load_admission::LoadAdmissionConfig;
use croftrill_state::placement::{Engine, Lifecycle, Node};
use croftrill_state::{ClusterState, NodeId, Term};
use croftrill_transport::peer::{PeerServer, PeerTraffic};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// What the control parts are made of.
pub struct ControlInput {
    /// The daemon's settings.
    pub settings: Settings,
    /// The node's copy of the log.
    pub replica: Arc<Replica>,
    /// The platform's key-value service.
    pub key_value: Arc<dyn KeyValueService>,
    /// The platform's list of machines.
    pub machines: Arc<dyn MachineList>,
    /// The platform's weight store, for its limits.
    pub weight_store: Arc<dyn WeightStore>,
    /// Attempts at the node's owner service.
    pub attempts: Arc<dyn AttemptCanceller>,
    /// Plans of the node's operators' API.
    pub plans: Arc<dyn PlanSource>,
    /// Calls to peers from the control thread.
    pub calls: Arc<PeerCalls>,
    /// The bound socket of the peer service.
    pub peer_listener: std::net::TcpListener,
}

/// Access to the running control parts.
#[derive(Clone)]
pub struct Control {
    /// Membership.
    pub membership: MembershipHandle,
    /// The claim holder, once started.
    pub claims: StartedClaims,
    /// The term in which this node coordinates its cell.
    pub role: watch::Receiver<Option<Term>>,
    /// Frames of peer calls, made and served.
    pub peer_traffic: Arc<PeerTraffic>,
    /// The node's copy of the log.
    replica: Arc<Replica>,
    coordinator_stop: CancellationToken,
}

impl Control {
    /// Starts all parts on the present (control) runtime.
    pub async fn start(input: ControlInput, tasks: ControlTasks) -> anyhow::Result<Control> {
        let bound = input.peer_listener.local_addr()?;
        let clock = MonotonicClock::start();
        let config = membership::driver_config(&input.settings, bound);
        let (driver, handle, events) = MembershipDriver::bind(config, clock).await?;
        tasks.spawn(driver.run(tasks.stop.clone()));
        tasks.spawn(membership::observe_heads(input.replica.clone(), events));
        tasks.spawn(membership::announce_heads(
            input.replica.clone(),
            handle.clone(),
            tasks.stop.clone(),
        ));

        let members: Arc<dyn LiveMembers> = Arc::new(ViewedMembers::new(
            handle.clone(),
            input.settings.timings.probe_period,
        ));
        let follower = Arc::new(Follower::new(
            follower_config(&input.settings),
            input.replica.clone(),
            input.calls.clone(),
            members.clone(),
        ));
        let claims = StartedClaims::default();
        tasks.spawn(follow(
            follower.clone(),
            ClaimStart {
                cell: input.settings.node.cell.clone(),
                node: input.settings.node.id.clone(),
                claims: claim_config(&input.settings),
                replica: input.replica.clone(),
                membership: handle.clone(),
                clock,
                calls: input.calls.clone(),
                started: claims.clone(),
            },
            tasks.clone(),
        ));
        let peer_traffic = input.calls.traffic().clone();
        let replica = input.replica.clone();
        let coordinator_stop = tasks.stop.child_token();
        let role = start_coordinator(&input, follower, members, &tasks, coordinator_stop.clone());
        serve_peers(input, claims.clone(), &tasks)?;
        Ok(Control {
            membership: handle,
            claims,
            role,
            peer_traffic,
            replica,
            coordinator_stop,
        })
    }

    /// Tells the cell that this node stops on purpose, and gives up the role of
    /// coordinator, so that another node moves this one's engines away.
    pub fn announce_stop(&self) {
        self.membership.leave();
        self.coordinator_stop.cancel();
    }

    /// Waits until the log gives this node no engine and no keys any more.
    /// `false` if that did not happen within `limit`, as while the key-value
    /// service is away, or if nobody else is there to take them.
    pub async fn wait_relieved(&self, limit: Duration) -> bool {
        if self.membership.view().alive_count() <= 1 {
            return false;
        }
        let mut heads = self.replica.new_heads();
        let relieved = heads.wait_for(|_| is_relieved(&self.replica.state(), self.replica.node()));
        let waited = tokio::time::timeout(limit, relieved).await;
        waited.is_ok_and(|relieved| relieved.is_ok())
    }
}

fn is_relieved(state: &ClusterState, node: &NodeId) -> bool {
    let is_live = |node: &Node| node.lifecycle == Lifecycle::Live;
    let takes_part = state.nodes.get(node).is_some_and(|found| is_live(&found.value));
    let owns = |engine: &Engine| engine.owner.as_ref() == Some(node);
    !takes_part && !state.engines.values().any(|found| owns(&found.value))
}

fn follower_config(settings: &Settings) -> FollowerConfig {
    FollowerConfig {
        seeds: settings.seeds.iter().map(SocketAddr::to_string).collect(),
        ..FollowerConfig::default()
    }
}

/// Gets the first copy of the log, then follows the log beside the claims.
async fn follow(follower: Arc<Follower>, claims: ClaimStart, tasks: ControlTasks) {
    let stop = tasks.stop.clone();
    tokio::select! {
        () = stop.cancelled() => return,
        () = follower.bootstrap() => {}
    }
    tasks.spawn(claims.run(tasks.clone()));
    follower.keep_up(stop).await;
}

fn start_coordinator(
    input: &ControlInput,
    follower: Arc<Follower>,
    members: Arc<dyn LiveMembers>,
    tasks: &ControlTasks,
    stop: CancellationToken,
) -> watch::Receiver<Option<Term>> {
    let parts = CoordinatorParts {
        replica: input.replica.clone(),
        follower,
        service: input.key_value.clone(),
        machines: input.machines.clone(),
        members,
    };
    let coordinator = Arc::new(Coordinator::new(coordinator_config(&input.settings), parts));
    let role = coordinator.role();
    tasks.spawn(async move { coordinator.run(stop).await });
    role
}

fn coordinator_config(settings: &Settings) -> CoordinatorConfig {
    let ttl_millis = settings.timings.lease.as_millis() as u64;
    CoordinatorConfig {
        lease: LeaseConfig {
            ttl_millis,
            renew_millis: ttl_millis / 3,
            margin_millis: ttl_millis / 16,
        },
        machine_poll_millis: settings.timings.machine_list_period.as_millis() as u64,
        ..CoordinatorConfig::new(settings.node.cell.clone())
    }
}

fn serve_peers(input: ControlInput, claims: StartedClaims, tasks: &ControlTasks) -> anyhow::Result<()> {
    let permits = Arc::new(LoadPermitService::new(
        input.replica.clone(),
        input.settings.node.cell.clone(),
        Box::new(LearnedAdmission::new(LoadAdmissionConfig::default())),
    ));
    tasks.spawn(store_limits::learn(
        input.weight_store,
        permits.clone(),
        tasks.stop.clone(),
    ));
    let service = PeerService::new(PeerParts {
        replica: input.replica,
        permits,
        plans: input.plans,
        claims: Arc::new(claims),
        attempts: input.attempts,
    });
    let listener = TcpListener::from_std(input.peer_listener)?;
    let traffic = input.calls.traffic().clone();
    let stop = tasks.stop.clone();
    tasks.spawn(PeerServer::serve_counted(listener, service, traffic, stop));
    Ok(())
}
