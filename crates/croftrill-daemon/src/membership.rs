//! Membership, wired to the node's copy of the log.
//!
//! Probes tell peers this node's head and tell it theirs; the nodes that the log
//! lists are those that are probed. What membership believes is given to the
//! log's parts as [`LiveMembers`].

use crate::probe_limits;
use croftrill_coordination::membership_driver::{MembershipDriverConfig, MembershipHandle};
use croftrill_coordination::replication::{LiveMembers, Replica};
use croftrill_settings::Settings;
use croftrill_state::membership::{LocalMember, MembershipConfig, MembershipEvent, MembershipView};
use croftrill_state::{ClusterState, NodeId, Revision};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

/// Time between two ticks of the membership state machine.
const MEMBERSHIP_TICK: Duration = Duration::from_millis(100);

/// The driver's settings; it probes from the bound address of the peer service.
pub fn driver_config(settings: &Settings, bound: SocketAddr) -> MembershipDriverConfig {
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

/// Membership's view, as the log's parts ask for it.
pub struct ViewedMembers {
    handle: MembershipHandle,
    heard_lately_millis: u64,
}

impl ViewedMembers {
    /// Over the running membership.
    pub fn new(handle: MembershipHandle, probe_period: Duration) -> Self {
        Self {
            handle,
            heard_lately_millis: probe_limits::heard_lately(probe_period).as_millis() as u64,
        }
    }
}

impl LiveMembers for ViewedMembers {
    fn alive(&self) -> Vec<NodeId> {
        let view: Arc<MembershipView> = self.handle.view();
        let others = view.members.keys().filter(|node| view.is_alive(node)).cloned();
        others.chain(std::iter::once(view.local.clone())).collect()
    }

    fn is_alive(&self, node: &NodeId) -> bool {
        self.handle.view().is_alive(node)
    }

    fn hears_others(&self) -> bool {
        let view = self.handle.view();
        let heard = view.members.values().filter_map(|member| member.heard_at);
        heard
            .map(|at| view.taken_at.millis_since(at))
            .any(|age_millis| age_millis <= self.heard_lately_millis)
    }

    fn is_leaving(&self, node: &NodeId) -> bool {
        self.handle.view().is_leaving(node)
    }
}

/// Takes in the heads that peers told on their probes.
pub async fn observe_heads(replica: Arc<Replica>, mut events: mpsc::Receiver<MembershipEvent>) {
    while let Some(event) = events.recv().await {
        match event {
            MembershipEvent::HeadSeen { address, head, .. } => replica.observe_head(address, head),
            other => log::debug!("membership: event={other:?}"),
        }
    }
}

/// Tells peers of each new head, and membership of each new list of nodes.
pub async fn announce_heads(replica: Arc<Replica>, membership: MembershipHandle, stop: CancellationToken) {
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
