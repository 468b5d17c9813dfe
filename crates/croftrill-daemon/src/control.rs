//! The parts on the control thread: the node's copy of the log, membership,
//! claims, the coordinator's role, the peer service.

use crate::control_thread::ControlTasks;
use crate::learned_admission::LearnedAdmission;
use crate::peer_calls::PeerCalls;
use crate::peer_parts::{OwnAttempts, OwnPlans, StartedClaims};
use croftrill_coordination::claim_service::{ClaimHolderConfig, ClaimHolderService};
use croftrill_coordination::coordinator::{Coordinator, CoordinatorConfig, CoordinatorParts, LeaseConfig};
use croftrill_coordination::load_permits::LoadPermitService;
use croftrill_coordination::membership_driver::{
    MembershipDriver, MembershipDriverConfig, MembershipHandle, MonotonicClock,
};
use croftrill_coordination::peer_service::{PeerParts, PeerService};
use croftrill_coordination::replication::{Follower, FollowerConfig, LiveMembers, Replica};
use croftrill_operator_api::OperatorApi;
use croftrill_owner::OwnerService;
use croftrill_platform::key_value::KeyValueService;
use croftrill_platform::machine_list::MachineList;
use croftrill_platform::weight_store::WeightStore;
use croftrill_settings::Settings;
use croftrill_state::claims::{ClaimConfig, ClaimHolder};
use croftrill_state::load_admission::LoadAdmissionConfig;
use croftrill_state::membership::{LocalMember, MembershipConfig, MembershipEvent, MembershipView};
use croftrill_state::{ClusterState, NodeId, Revision, Term};
use croftrill_transport::peer::PeerServer;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio_util::sync::CancellationToken;

/// Time between two ticks of the membership state machine.
const MEMBERSHIP_TICK: Duration = Duration::from_millis(100);
/// Longest wait for the answer to one call of the claim holders to each other.
const HAND_OVER_CALL_LIMIT: Duration = Duration::from_secs(2);

/// Stands for the rate of a weight store that limits none.
const UNLIMITED_LOADS_PER_SECOND_THOUSANDTHS: u64 = 1_000_000;

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
    /// The node's owner service.
    pub owner: OwnerService,
    /// The node's operators' API.
    pub operators: Arc<OperatorApi>,
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
}

impl Control {
    /// Starts all parts on the present (control) runtime.
    pub async fn start(input: ControlInput, tasks: ControlTasks) -> anyhow::Result<Control> {
        let bound = input.peer_listener.local_addr()?;
        let clock = MonotonicClock::start();
        let config = membership_config(&input.settings, bound);
        let (driver, membership, events) = MembershipDriver::bind(config, clock).await?;
        tasks.spawn(driver.run(tasks.stop.clone()));
        tasks.spawn(observe_heads(input.replica.clone(), events));
        tasks.spawn(announce_heads(
            input.replica.clone(),
            membership.clone(),
            tasks.stop.clone(),
        ));

        let members: Arc<dyn LiveMembers> = Arc::new(ViewedMembers(membership.clone()));
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
                config: claim_holder_parts(&input.settings),
                replica: input.replica.clone(),
                membership: membership.clone(),
                clock,
                calls: input.calls.clone(),
                claims: claims.clone(),
            },
            tasks.clone(),
        ));
        let role = start_coordinator(&input, follower, members, &tasks);
        serve_peers(input, claims.clone(), &tasks).await?;
        Ok(Control {
            membership,
            claims,
            role,
        })
    }
}

/// Membership's view, as the log's parts ask for it.
struct ViewedMembers(MembershipHandle);

impl LiveMembers for ViewedMembers {
    fn alive(&self) -> Vec<NodeId> {
        let view: Arc<MembershipView> = self.0.view();
        let others = view.members.keys().filter(|node| view.is_alive(node)).cloned();
        others.chain(std::iter::once(view.local.clone())).collect()
    }

    fn is_alive(&self, node: &NodeId) -> bool {
        self.0.view().is_alive(node)
    }
}

fn membership_config(settings: &Settings, bound: SocketAddr) -> MembershipDriverConfig {
    MembershipDriverConfig {
        bind: bound,
        local: LocalMember {
            node: settings.node.id.clone(),
            address: settings.advertise.peers_or(bound).to_string(),
            incarnation: start_time_millis(),
        },
        seeds: settings.seeds.iter().map(SocketAddr::to_string).collect(),
        random_seed: rand::random(),
        membership: MembershipConfig {
            period_millis: settings.timings.probe_period.as_millis() as u64,
            ..MembershipConfig::default()
        },
        tick: MEMBERSHIP_TICK,
    }
}

fn start_time_millis() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(1, |elapsed| elapsed.as_millis() as u64)
}

fn follower_config(settings: &Settings) -> FollowerConfig {
    FollowerConfig {
        seeds: settings.seeds.iter().map(SocketAddr::to_string).collect(),
        ..FollowerConfig::default()
    }
}

/// Heads that peers told on their probes.
async fn observe_heads(replica: Arc<Replica>, mut events: mpsc::Receiver<MembershipEvent>) {
    while let Some(event) = events.recv().await {
        match event {
            MembershipEvent::HeadSeen { address, head, .. } => replica.observe_head(address, head),
            MembershipEvent::HealthChanged { node, health } => {
                log::info!("membership: health changed node={node} health={health:?}");
            }
            other => log::debug!("membership: event={other:?}"),
        }
    }
}

/// Tells peers of each new head, and membership of each new list of nodes.
async fn announce_heads(replica: Arc<Replica>, membership: MembershipHandle, stop: CancellationToken) {
    let mut heads = replica.new_heads();
    let mut listed = Revision(0);
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            changed = heads.changed() => if changed.is_err() { return },
        }
        let head = *heads.borrow_and_update();
        membership.new_head(head);
        let state = replica.state();
        if let Some(changed_at) = nodes_changed_at(&state).filter(|changed_at| *changed_at != listed) {
            listed = changed_at;
            membership.list_members(listed_members(&state));
        }
    }
}

fn nodes_changed_at(state: &ClusterState) -> Option<Revision> {
    state
        .cell_memberships
        .values()
        .map(|membership| membership.changed_at)
        .max()
}

fn listed_members(state: &ClusterState) -> Vec<(NodeId, String)> {
    let nodes = state.nodes.values().map(|node| &node.value);
    nodes
        .map(|node| (node.id.clone(), node.peer_address.clone()))
        .collect()
}

/// What the claim holder is made of.
struct ClaimStart {
    config: ClaimHolderParts,
    replica: Arc<Replica>,
    membership: MembershipHandle,
    clock: MonotonicClock,
    calls: Arc<PeerCalls>,
    claims: StartedClaims,
}

struct ClaimHolderParts {
    settings: Settings,
    claims: ClaimConfig,
}

fn claim_holder_parts(settings: &Settings) -> ClaimHolderParts {
    ClaimHolderParts {
        settings: settings.clone(),
        claims: claim_config(settings),
    }
}

/// Settings of claims; the authority window stays well inside the claim window.
pub fn claim_config(settings: &Settings) -> ClaimConfig {
    let defaults = ClaimConfig::default();
    let window_millis = settings.timings.claim_window.as_millis() as u64;
    ClaimConfig {
        window_millis,
        authority_millis: defaults.authority_millis.min(window_millis / 2),
        ..defaults
    }
}

/// Gets the first copy of the log, starts the claim holder, follows the log.
async fn follow(follower: Arc<Follower>, start: ClaimStart, tasks: ControlTasks) {
    let stop = tasks.stop.clone();
    tokio::select! {
        () = stop.cancelled() => return,
        () = follower.bootstrap() => {}
    }
    start_claims(start, &tasks).await;
    follower.run(stop).await;
}

async fn start_claims(start: ClaimStart, tasks: &ControlTasks) {
    let witnessed_empty_log = log_is_empty(&start.replica).await;
    let config = ClaimHolderConfig {
        cell: start.config.settings.node.cell.clone(),
        holder: ClaimHolder {
            node: start.config.settings.node.id.clone(),
            instance: rand::random::<u64>().max(1),
            witnessed_empty_log,
        },
        claims: start.config.claims,
        call_limit: HAND_OVER_CALL_LIMIT,
    };
    let view = start.membership.shared_view();
    let holder = Arc::new(ClaimHolderService::new(config, view, start.clock, start.calls));
    holder.apply_state(&start.replica.state());
    let running = holder.clone();
    let stop = tasks.stop.clone();
    tasks.spawn(async move { running.run(stop).await });
    tasks.spawn(follow_rings(holder.clone(), start.replica, tasks.clone()));
    let _ = start.claims.0.set(holder);
}

/// Whether no entry was ever written. Only the service can tell; it is asked
/// only if no peer knew of an entry.
async fn log_is_empty(replica: &Replica) -> bool {
    if replica.head() > Revision(0) {
        return false;
    }
    replica.catch_up_from_log().await.is_ok() && replica.head() == Revision(0)
}

/// Tells the claim holder of each applied revision.
async fn follow_rings(
    holder: Arc<ClaimHolderService<PeerCalls>>,
    replica: Arc<Replica>,
    tasks: ControlTasks,
) {
    let mut heads = replica.new_heads();
    loop {
        holder.apply_state(&replica.state());
        tokio::select! {
            () = tasks.stop.cancelled() => return,
            changed = heads.changed() => if changed.is_err() { return },
        }
    }
}

fn start_coordinator(
    input: &ControlInput,
    follower: Arc<Follower>,
    members: Arc<dyn LiveMembers>,
    tasks: &ControlTasks,
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
    let stop = tasks.stop.clone();
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

async fn serve_peers(input: ControlInput, claims: StartedClaims, tasks: &ControlTasks) -> anyhow::Result<()> {
    let admission = admission_config(input.weight_store.as_ref()).await;
    let permits = LoadPermitService::new(
        input.replica.clone(),
        input.settings.node.cell.clone(),
        Box::new(LearnedAdmission::new(admission)),
    );
    let service = PeerService::new(PeerParts {
        replica: input.replica,
        permits: Arc::new(permits),
        plans: Arc::new(OwnPlans(input.operators)),
        claims: Arc::new(claims),
        attempts: Arc::new(OwnAttempts(input.owner)),
    });
    let listener = TcpListener::from_std(input.peer_listener)?;
    tasks.spawn(PeerServer::serve(listener, service, tasks.stop.clone()));
    Ok(())
}

/// A store that states no rate limits none.
fn stated_rate(thousandths: u64) -> u64 {
    match thousandths {
        0 => UNLIMITED_LOADS_PER_SECOND_THOUSANDTHS,
        limited => limited,
    }
}

/// The store's stated limits, or cautious ones while it cannot be asked.
async fn admission_config(store: &dyn WeightStore) -> LoadAdmissionConfig {
    let defaults = LoadAdmissionConfig::default();
    match store.limits().await {
        Ok(limits) => LoadAdmissionConfig {
            loads_per_second_thousandths: stated_rate(limits.loads_per_second_thousandths),
            concurrent_loads: limits.concurrent_loads,
            ..defaults
        },
        Err(error) => {
            log::warn!("permits: limits of the weight store unknown error=\"{error}\"");
            defaults
        }
    }
}
