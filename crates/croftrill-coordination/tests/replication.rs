//! Replicas: proposals, following peers, bootstrap, request rates.

mod support;

use croftrill_coordination::replication::{Follower, FollowerConfig, ProposeOutcome, Replica, ReplicaConfig};
use croftrill_protocol::peer::LogPage;
use croftrill_state::cluster::ApplyError;
use croftrill_state::{GroupId, NodeId, Revision, Term};
use std::sync::Arc;
use std::time::Duration;
use support::{
    log_over, put_group, replica_over, Fault, MembersSeenBy, SimulatedMembers, SimulatedPeers,
    SimulatedService,
};
use tokio_util::sync::CancellationToken;

/// Nodes that wait on the service.
const READERS: u64 = 2;

const NO_TERM: Term = Term(0);

async fn put(replica: &Replica, plan: &str) -> ProposeOutcome {
    let change = put_group(plan, plan, replica.head());
    replica.propose(change, NO_TERM).await
}

async fn put_many(replica: &Replica, count: u64) {
    put_many_from(replica, 0, count).await;
}

async fn put_many_from(replica: &Replica, first: u64, count: u64) {
    for index in first..first + count {
        let plan = format!("{}-{index}", replica.node());
        assert!(matches!(put(replica, &plan).await, ProposeOutcome::Applied(_)));
    }
}

async fn pause_secs(secs: u64) {
    tokio::time::sleep(Duration::from_secs(secs)).await;
}

#[tokio::test(start_paused = true)]
async fn a_proposal_that_lost_the_race_goes_to_the_next_revision() {
    let service = SimulatedService::new();
    let first = replica_over("first", service.client());
    let second = replica_over("second", service.client());
    put_many(&first, 20).await;
    assert_eq!(put(&second, "late").await, ProposeOutcome::Applied(Revision(21)));
    first.catch_up_from_log().await.unwrap();
    assert_eq!(*first.state(), *second.state());
}

#[tokio::test(start_paused = true)]
async fn racing_proposals_all_take_effect_once() {
    let service = SimulatedService::new();
    let replicas: Vec<_> = (0..5)
        .map(|index| replica_over(&format!("node-{index}"), service.client()))
        .collect();
    let proposals = replicas
        .iter()
        .map(|replica| put(replica, replica.node().as_str()));
    let outcomes = futures::future::join_all(proposals).await;
    let mut revisions: Vec<u64> = outcomes
        .iter()
        .map(|outcome| match outcome {
            ProposeOutcome::Applied(revision) => revision.0,
            other => panic!("{other:?}"),
        })
        .collect();
    revisions.sort_unstable();
    assert_eq!(revisions, [1, 2, 3, 4, 5]);
}

#[tokio::test(start_paused = true)]
async fn a_proposal_waits_a_moment_for_the_rate_limit_and_not_for_an_outage() {
    let service = SimulatedService::new();
    let client = service.client();
    let replica = replica_over("node", client.clone());
    client.fail_next([Fault::RateLimited; 3]);
    assert_eq!(
        put(&replica, "limited").await,
        ProposeOutcome::Applied(Revision(1))
    );

    client.fail_next([Fault::RateLimited; 1_000]);
    let refused = put(&replica, "limited-for-long").await;
    assert!(
        matches!(refused, ProposeOutcome::Unavailable { .. }),
        "{refused:?}"
    );
    client.clear_faults();

    client.fail_next([Fault::Unreachable]);
    let refused = put(&replica, "unreachable").await;
    assert!(
        matches!(refused, ProposeOutcome::Unavailable { .. }),
        "{refused:?}"
    );
    assert_eq!(service.keys("croftrill/log/").len(), 1);
}

/// While the service does not answer, or answers what may mean anything, a
/// proposal is refused with certainty and not left unknown.
#[tokio::test(start_paused = true)]
async fn a_proposal_in_an_outage_is_refused_with_certainty() {
    for fault in [Fault::Unreachable, Fault::CallLost, Fault::AnswerLost] {
        let service = SimulatedService::new();
        let client = service.client();
        let replica = replica_over("node", client.clone());
        client.fail_next([fault; 100]);
        let refused = put(&replica, "plan").await;
        assert!(
            matches!(refused, ProposeOutcome::Unavailable { .. }),
            "{fault:?}: {refused:?}"
        );
        assert!(service.keys("croftrill/log/").is_empty());
    }
}

#[tokio::test(start_paused = true)]
async fn a_plan_from_a_stale_view_is_rejected_with_the_change_that_came_first() {
    let service = SimulatedService::new();
    let first = replica_over("first", service.client());
    let second = replica_over("second", service.client());
    let theirs = put_group("theirs", "shared", Revision(0));
    let ours = put_group("ours", "shared", Revision(0));
    assert_eq!(
        first.propose(theirs, NO_TERM).await,
        ProposeOutcome::Applied(Revision(1))
    );
    let outcome = second.propose(ours, NO_TERM).await;
    assert!(
        matches!(outcome, ProposeOutcome::Rejected(ApplyError::Stale { .. })),
        "{outcome:?}"
    );
    assert_eq!(second.head(), Revision(1));
}

#[tokio::test(start_paused = true)]
async fn a_plan_confirmed_twice_is_applied_once() {
    let service = SimulatedService::new();
    let replica = replica_over("first", service.client());
    let client = service.client();
    let other = replica_over("second", client.clone());
    // The snapshot and the log are read first.
    client.fail_next([Fault::None; 3]);
    client.fail_next([Fault::AnswerLost]);
    client.fail_next([Fault::Unreachable; 20]);
    assert_eq!(put(&other, "plan").await, ProposeOutcome::OutcomeUnknown);
    let again = replica
        .propose(put_group("plan", "plan", Revision(0)), NO_TERM)
        .await;
    let at = Revision(1);
    assert!(
        matches!(&again, ProposeOutcome::Rejected(ApplyError::AlreadyConfirmed { at: found, .. }) if *found == at),
        "{again:?}"
    );
}

#[tokio::test(start_paused = true)]
async fn a_rejection_is_not_based_on_an_old_copy() {
    let service = SimulatedService::new();
    let first = replica_over("first", service.client());
    let second = replica_over("second", service.client());
    put_many(&first, 1).await;
    let delete = support::confirm(
        "delete",
        Revision(1),
        croftrill_state::entry::Intent::DeleteGroup(GroupId::from("first-0")),
    );
    assert_eq!(
        second.propose(delete, NO_TERM).await,
        ProposeOutcome::Applied(Revision(2))
    );
}

#[tokio::test(start_paused = true)]
async fn a_change_for_one_revision_is_not_moved_to_a_later_one() {
    let service = SimulatedService::new();
    let first = replica_over("first", service.client());
    let second = replica_over("second", service.client());
    put_many(&first, 2).await;
    let change = put_group("plan", "group", Revision(0));
    let outcome = second.propose_at(Revision(0), change, NO_TERM).await;
    assert_eq!(outcome, ProposeOutcome::Stale { head: Revision(2) });
    assert_eq!(second.head(), Revision(2));
}

#[tokio::test(start_paused = true)]
async fn the_revision_never_goes_back_with_a_peer_that_is_behind() {
    let service = SimulatedService::new();
    let ahead = replica_over("ahead", service.client());
    let behind = replica_over("behind", service.client());
    put_many(&ahead, 3).await;
    behind.catch_up_from_log().await.unwrap();
    put_many_from(&ahead, 3, 3).await;
    assert!(!ahead.apply_page(behind.log_page(Revision(0), 100)));
    assert!(!ahead.apply_page(LogPage::Snapshot((*behind.state()).clone())));
    assert_eq!(ahead.head(), Revision(6));
}

#[tokio::test(start_paused = true)]
async fn a_peer_far_behind_gets_the_whole_state() {
    let service = SimulatedService::new();
    let ahead = replica_over("ahead", service.client());
    put_many(&ahead, 30).await;
    let behind = replica_over("behind", service.client());
    assert!(matches!(ahead.log_page(Revision(0), 100), LogPage::Snapshot(_)));
    assert!(behind.apply_page(ahead.log_page(Revision(0), 100)));
    assert_eq!(*behind.state(), *ahead.state());
    let LogPage::Entries(page) = ahead.log_page(Revision(12), 4) else {
        panic!("a snapshot");
    };
    assert_eq!(page.first().map(|entry| entry.revision), Some(Revision(13)));
    assert_eq!(page.len(), 4);
}

#[tokio::test(start_paused = true)]
async fn kept_entries_are_bounded_in_bytes() {
    let service = SimulatedService::new();
    let config = ReplicaConfig {
        kept_bytes: 500,
        ..ReplicaConfig::new(NodeId::from("small"))
    };
    let replica = Replica::new(config, log_over(service.client()));
    put_many(&replica, 30).await;
    assert!(matches!(
        replica.log_page(Revision(20), 100),
        LogPage::Snapshot(_)
    ));
    assert!(matches!(replica.log_page(Revision(29), 100), LogPage::Entries(page) if page.len() == 1));
}

#[tokio::test(start_paused = true)]
async fn a_new_node_starts_from_snapshot_and_entries() {
    let service = SimulatedService::new();
    let writer = replica_over("writer", service.client());
    put_many(&writer, 15).await;
    writer.write_snapshot().await.unwrap();
    put_many_from(&writer, 15, 3).await;
    let late = replica_over("late", service.client());
    late.catch_up_from_log().await.unwrap();
    assert_eq!(*late.state(), *writer.state());
}

/// A node serves as soon as it has a copy, so the first one must not be a part
/// of the log.
#[tokio::test(start_paused = true)]
async fn the_first_copy_from_the_service_is_whole_or_none() {
    let service = SimulatedService::new();
    let writer = replica_over("writer", service.client());
    put_many(&writer, 15).await;
    writer.write_snapshot().await.unwrap();
    put_many_from(&writer, 15, 30).await;
    let calls_of_a_copy = 40;
    for calls_before_the_fault in 0..calls_of_a_copy {
        let client = service.client();
        let late = replica_over("late", client.clone());
        client.fail_next(vec![Fault::None; calls_before_the_fault]);
        client.fail_next([Fault::Unreachable]);
        let result = late.catch_up_from_log().await;
        let expected = if result.is_ok() { 45 } else { 0 };
        let whole_or_none = late.head() == Revision(expected) || late.head() == Revision(45);
        assert!(
            whole_or_none,
            "after {calls_before_the_fault} calls: {}",
            late.head()
        );
    }
}

#[tokio::test(start_paused = true)]
async fn the_first_copy_from_a_peer_is_whole() {
    let service = SimulatedService::new();
    let peer = replica_over("peer", service.client());
    put_many(&peer, 12).await;
    let late = replica_over("late", service.client());
    assert!(late.apply_page(peer.log_page(Revision(0), 4)));
    assert_eq!(late.head(), Revision(12));
}

#[tokio::test(start_paused = true)]
async fn a_node_behind_a_compaction_goes_on_from_the_snapshot() {
    let service = SimulatedService::new();
    let writer = replica_over("writer", service.client());
    let paused = replica_over("paused", service.client());
    put_many(&writer, 2).await;
    paused.catch_up_from_log().await.unwrap();
    put_many_from(&writer, 2, 20).await;
    writer.write_snapshot().await.unwrap();
    // Its revision's key is absent again; the write must not count.
    let change = put_group("paused", "paused", Revision(2));
    let outcome = paused.propose_at(Revision(2), change, NO_TERM).await;
    assert_eq!(outcome, ProposeOutcome::OutcomeUnknown);
    assert_eq!(*paused.state(), *writer.state());
    assert_eq!(put(&paused, "again").await, ProposeOutcome::Applied(Revision(23)));
}

/// A node with its follower.
struct Follows {
    replica: Arc<Replica>,
    follower: Arc<Follower>,
    shutdown: CancellationToken,
}

fn follow(
    replica: Arc<Replica>,
    seeds: &[&str],
    peers: &Arc<SimulatedPeers>,
    members: &Arc<SimulatedMembers>,
) -> Follows {
    let config = FollowerConfig {
        seeds: seeds.iter().map(|seed| seed.to_string()).collect(),
        ..FollowerConfig::default()
    };
    let members = Arc::new(MembersSeenBy {
        node: replica.node().clone(),
        members: members.clone(),
    });
    let follower = Follower::new(config, replica.clone(), peers.clone(), members);
    let follower = Arc::new(follower);
    let shutdown = CancellationToken::new();
    let (running, token) = (follower.clone(), shutdown.clone());
    tokio::spawn(async move { running.run(token).await });
    Follows {
        replica,
        follower,
        shutdown,
    }
}

#[tokio::test(start_paused = true)]
async fn a_node_starts_from_peers_while_the_service_is_down() {
    let service = SimulatedService::new();
    let peer = replica_over("peer", service.client());
    put_many(&peer, 30).await;
    service.set_down(true);
    let peers = Arc::new(SimulatedPeers::default());
    peers.add("peer", peer.clone());
    let members = SimulatedMembers::of(&["peer", "new"]);
    let new = follow(
        replica_over("new", service.client()),
        &["absent", "peer"],
        &peers,
        &members,
    );
    pause_secs(5).await;
    assert_eq!(*new.replica.state(), *peer.state());
}

#[tokio::test(start_paused = true)]
async fn a_node_that_finds_nobody_keeps_trying() {
    let service = SimulatedService::new();
    put_many(&replica_over("writer", service.client()), 3).await;
    service.set_down(true);
    let peers = Arc::new(SimulatedPeers::default());
    let members = SimulatedMembers::of(&["new"]);
    let new = follow(
        replica_over("new", service.client()),
        &["absent"],
        &peers,
        &members,
    );
    let before = service.calls();
    pause_secs(3_600).await;
    assert_eq!(new.replica.head(), Revision(0));
    let an_hour_of_longest_pauses = 3_600 / 7 + 20;
    assert!(service.calls() - before < an_hour_of_longest_pauses);
    service.set_down(false);
    pause_secs(20).await;
    assert_eq!(new.replica.head(), Revision(3));
}

#[tokio::test(start_paused = true)]
async fn a_told_head_is_fetched_from_the_teller() {
    let service = SimulatedService::new();
    let writer = replica_over("writer", service.client());
    let peers = Arc::new(SimulatedPeers::default());
    peers.add("writer", writer.clone());
    put_many(&writer, 1).await;
    let members = SimulatedMembers::of(&["a", "b", "c", "learner"]);
    let client = service.client();
    let learner = follow(
        replica_over("learner", client.clone()),
        &["writer"],
        &peers,
        &members,
    );
    pause_secs(1).await;
    client.set_cut_off(true);
    put_many_from(&writer, 1, 4).await;
    learner.replica.observe_head("gone".to_string(), Revision(5));
    learner.replica.observe_head("writer".to_string(), Revision(5));
    pause_secs(1).await;
    assert_eq!(learner.replica.head(), Revision(5));
    learner.shutdown.cancel();
}

#[tokio::test(start_paused = true)]
async fn an_isolated_node_reads_the_service_itself() {
    let service = SimulatedService::new();
    let writer = replica_over("writer", service.client());
    put_many(&writer, 1).await;
    let peers = Arc::new(SimulatedPeers::default());
    let members = SimulatedMembers::of(&["a", "b", "c", "d", "e", "f", "isolated"]);
    members.set_deaf("isolated");
    let node = follow(replica_over("isolated", service.client()), &[], &peers, &members);
    pause_secs(1).await;
    put_many_from(&writer, 1, 4).await;
    pause_secs(60).await;
    assert_eq!(node.replica.head(), Revision(5));
}

#[tokio::test(start_paused = true)]
async fn a_coordinating_node_waits_on_the_service() {
    let service = SimulatedService::new();
    let writer = replica_over("writer", service.client());
    let peers = Arc::new(SimulatedPeers::default());
    let members = SimulatedMembers::of(&["a", "b", "c", "d", "e", "f", "holder"]);
    let node = follow(replica_over("holder", service.client()), &[], &peers, &members);
    node.follower.set_coordinating(true);
    pause_secs(60).await;
    put_many(&writer, 4).await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(node.replica.head(), Revision(4));
}

/// Calls to the service in ten quiet minutes of `count` nodes that all hear
/// from one another, but no news of the log.
async fn quiet_calls(count: usize) -> u64 {
    let service = SimulatedService::new();
    let writer = replica_over("writer", service.client());
    put_many(&writer, 3).await;
    let peers = Arc::new(SimulatedPeers::default());
    peers.add("writer", writer);
    let names: Vec<String> = (0..count).map(|index| format!("node-{index}")).collect();
    let borrowed: Vec<&str> = names.iter().map(String::as_str).collect();
    let members = SimulatedMembers::of(&borrowed);
    let nodes: Vec<Follows> = names
        .iter()
        .map(|name| {
            follow(
                replica_over(name, service.client()),
                &["writer"],
                &peers,
                &members,
            )
        })
        .collect();
    pause_secs(30).await;
    let before = service.calls();
    pause_secs(600).await;
    assert!(nodes.iter().all(|node| node.replica.head() == Revision(3)));
    service.calls() - before
}

#[tokio::test(start_paused = true)]
async fn the_service_sees_the_same_rate_at_any_number_of_nodes() {
    let few = quiet_calls(4).await;
    let many = quiet_calls(200).await;
    // Two readers, one wait each twenty seconds; the phase is random.
    let most = READERS * (600 / 20 + 1);
    assert!(few <= most && many <= most, "{few} {many}");
    assert!(few.abs_diff(many) <= READERS, "{few} {many}");
}
