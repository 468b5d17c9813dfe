//! Membership drivers on loopback sockets.

use croftrill_coordination::membership_driver::{
    MembershipDriver, MembershipDriverConfig, MembershipHandle, MonotonicClock,
};
use croftrill_state::membership::{Health, LocalMember, MembershipConfig, MembershipEvent};
use croftrill_state::{NodeId, Revision};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

/// Far longer than anything takes, also on a busy machine.
const LIMIT: Duration = Duration::from_secs(30);

struct RunningNode {
    handle: MembershipHandle,
    events: mpsc::Receiver<MembershipEvent>,
    stop: CancellationToken,
}

fn fast() -> MembershipConfig {
    MembershipConfig {
        period_millis: 100,
        ack_timeout_millis: 30,
        push_interval_millis: 50,
        // A busy machine may hold a process up for long.
        pause_threshold_millis: 20_000,
        ..MembershipConfig::default()
    }
}

async fn start(name: &str, seeds: Vec<String>) -> RunningNode {
    let config = MembershipDriverConfig {
        bind: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
        local: LocalMember {
            node: NodeId::from(name),
            address: String::new(),
            incarnation: 1,
        },
        seeds,
        random_seed: 1,
        membership: fast(),
        tick: Duration::from_millis(10),
    };
    let bound = MembershipDriver::bind(config, MonotonicClock::start()).await;
    let (driver, handle, events) = bound.expect("a free port");
    let stop = CancellationToken::new();
    tokio::spawn(driver.run(stop.clone()));
    RunningNode { handle, events, stop }
}

async fn start_three() -> Vec<RunningNode> {
    let first = start("a", Vec::new()).await;
    let seeds = vec![first.handle.address().to_string()];
    let second = start("b", seeds.clone()).await;
    let third = start("c", seeds).await;
    let nodes = vec![first, second, third];
    for node in &nodes {
        wait_until(|| node.handle.view().alive_count() == 3).await;
    }
    nodes
}

async fn wait_until(reached: impl Fn() -> bool) {
    let waited = timeout(LIMIT, async {
        while !reached() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    });
    waited.await.expect("it comes about");
}

fn health(node: &RunningNode, of: &str) -> Option<Health> {
    let view = node.handle.view();
    view.members.get(&NodeId::from(of)).map(|member| member.health)
}

#[tokio::test]
async fn nodes_find_each_other_by_one_seed_and_notice_a_crash() {
    let nodes = start_three().await;
    nodes[1].stop.cancel();
    wait_until(|| health(&nodes[0], "b") == Some(Health::Dead)).await;
    wait_until(|| health(&nodes[2], "b") == Some(Health::Dead)).await;
    assert!(!nodes[0].handle.view().is_alive(&NodeId::from("b")));
    assert_eq!(health(&nodes[0], "c"), Some(Health::Alive));
}

#[tokio::test]
async fn a_leaving_node_is_announced() {
    let nodes = start_three().await;
    nodes[2].handle.leave();
    wait_until(|| health(&nodes[0], "c") == Some(Health::Leaving)).await;
    wait_until(|| health(&nodes[1], "c") == Some(Health::Leaving)).await;
}

#[tokio::test]
async fn a_new_head_is_reported_with_the_address_to_fetch_it_from() {
    let mut nodes = start_three().await;
    nodes[0].handle.new_head(Revision(7));
    let address = nodes[0].handle.address().to_string();
    let expected = MembershipEvent::HeadSeen {
        node: NodeId::from("a"),
        address,
        head: Revision(7),
    };
    let events = &mut nodes[1].events;
    let seen = timeout(LIMIT, async {
        while let Some(event) = events.recv().await {
            if event == expected {
                return true;
            }
        }
        false
    });
    assert!(seen.await.expect("an event arrives"));
}

#[tokio::test]
async fn a_node_in_step_counts_for_a_majority_once_it_caught_up() {
    let nodes = start_three().await;
    let all: Vec<NodeId> = ["a", "b", "c"].map(NodeId::from).to_vec();
    let in_step = || {
        let view = nodes[0].handle.view();
        view.in_step_with_majority(&all, view.taken_at, 10_000)
    };
    let view = nodes[0].handle.view();
    assert!(view.heard_from_majority(&all, view.taken_at, 10_000));
    assert!(!in_step());
    nodes[1].handle.set_caught_up();
    wait_until(in_step).await;
}

#[tokio::test]
async fn foreign_datagrams_are_dropped_and_traffic_is_counted() {
    let nodes = start_three().await;
    let stranger = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a socket");
    let address = nodes[0].handle.address();
    for datagram in [&[0xff; 100][..], &[], &[0; 1_500]] {
        stranger.send_to(datagram, address).await.expect("it is sent");
    }
    wait_until(|| nodes[0].handle.traffic().datagrams_dropped == 3).await;
    let counts = nodes[0].handle.traffic();
    assert!(counts.bytes_sent > counts.datagrams_sent * 28);
    assert!(counts.bytes_received > counts.datagrams_received * 28);
    assert_eq!(nodes[0].handle.view().alive_count(), 3);
}
