//! The coordinator's role under pauses: a holder that was paused past its lease
//! changes nothing, and half of the nodes go on without the other half.

mod support;

use std::time::Duration;
use support::{eventually, Cluster, ClusterPlan, MODEL_OPTIONS, SHORT_TIMINGS};

async fn start(nodes: usize, engines: usize) -> Cluster {
    let plan = ClusterPlan {
        nodes,
        engines,
        settings: SHORT_TIMINGS.to_string(),
        ..ClusterPlan::default()
    };
    let cluster = Cluster::start(plan).await;
    cluster.create_model("tender-review", &MODEL_OPTIONS).await;
    cluster
}

/// Twice in a row. While the old one is paused, operators change things, its
/// engines are taken over and the machine list gets an engine that the old one
/// would add as well.
#[tokio::test(flavor = "multi_thread")]
async fn paused_coordinator_changes_nothing_when_resumed() {
    let mut cluster = start(3, 2).await;
    for round in 0..2 {
        let old = cluster.coordinator_seen_by(0).await.expect("a coordinator");
        let others: Vec<usize> = (0..3).filter(|&index| index != old).collect();
        let witness = others[0];

        cluster.nodes[old].process.pause();
        cluster.wait_other_coordinator(witness, old).await;
        cluster.start_engine(&format!("engine-late-{round}")).await;
        let share = format!("{}", 10 + round);
        cluster.operate_successfully(
            &cluster.nodes[witness],
            &["group", "update", "tests", "--share", &share, "--yes"],
        );
        cluster.wait_owned_without(witness, &[old]).await;
        cluster.wait_agreement(&others).await;
        let before = cluster.owners_seen_by(witness).await;
        cluster.nodes[old].process.resume();

        cluster.wait_agreement(&[0, 1, 2]).await;
        cluster.wait_one_coordinator(&[0, 1, 2]).await;
        assert_ne!(cluster.coordinator_seen_by(witness).await, Some(old));
        assert_eq!(cluster.owners_seen_by(old).await, before);
        let groups = cluster.nodes[old].http().json("/v1/groups").await;
        assert_eq!(groups.expect("the groups")[0]["share_weight"], 10 + round);
        cluster.check_log_written_once().await;
    }
}

/// Half of the nodes stop for a while, the coordinator among them, and come
/// back with what they believed before.
#[tokio::test(flavor = "multi_thread")]
async fn half_goes_on_without_the_other_half_and_takes_it_back() {
    let cluster = start(4, 4).await;
    let coordinator = cluster.coordinator_seen_by(0).await.expect("a coordinator");
    let paused = [coordinator, (coordinator + 1) % 4];
    let others: Vec<usize> = (0..4).filter(|index| !paused.contains(index)).collect();

    for index in paused {
        cluster.nodes[index].process.pause();
    }
    for &witness in &others {
        cluster.wait_owned_without(witness, &paused).await;
    }
    cluster.operate_successfully(
        &cluster.nodes[others[0]],
        &["group", "update", "tests", "--share", "7", "--yes"],
    );
    for index in paused {
        cluster.nodes[index].process.resume();
    }

    for node in &cluster.nodes {
        eventually("every node sees all four alive", || async {
            node.http().metric("croftrill_alive_members").await == Some(4.0)
        })
        .await;
    }
    cluster.wait_agreement(&[0, 1, 2, 3]).await;
    cluster.wait_one_coordinator(&[0, 1, 2, 3]).await;
    cluster.check_log_written_once().await;
}

/// The machine list changes while nobody coordinates, and the former coordinator
/// starts again as another process.
#[tokio::test(flavor = "multi_thread")]
async fn killed_coordinator_starts_again_and_holds_no_role_of_its_own() {
    let mut cluster = start(3, 2).await;
    let old = cluster.coordinator_seen_by(0).await.expect("a coordinator");
    let witness = (old + 1) % 3;
    let third = (old + 2) % 3;

    cluster.nodes[old].process.kill();
    cluster.start_engine("engine-late").await;
    cluster.wait_owned_without(witness, &[old]).await;
    cluster.restart_node(old);
    cluster.wait_node_ready(old).await;
    cluster.wait_agreement(&[old, witness, third]).await;
    cluster.wait_one_coordinator(&[old, witness, third]).await;
    cluster.check_log_written_once().await;
}

/// Two failures together: the coordinator is paused, and the key-value service
/// goes away for longer than the lease before anybody can take over.
#[tokio::test(flavor = "multi_thread")]
async fn coordinator_paused_through_an_outage_changes_nothing_when_resumed() {
    let cluster = start(3, 2).await;
    let old = cluster.coordinator_seen_by(0).await.expect("a coordinator");
    let others: Vec<usize> = (0..3).filter(|&index| index != old).collect();

    cluster.nodes[old].process.pause();
    cluster.set_key_value_outage(true).await;
    tokio::time::sleep(Duration::from_secs(4)).await;
    cluster.nodes[old].process.resume();
    tokio::time::sleep(Duration::from_secs(1)).await;
    cluster.nodes[old].process.pause();
    cluster.set_key_value_outage(false).await;
    cluster.wait_other_coordinator(others[0], old).await;
    cluster.wait_owned_without(others[0], &[old]).await;
    cluster.nodes[old].process.resume();

    cluster.wait_agreement(&[0, 1, 2]).await;
    cluster.wait_one_coordinator(&[0, 1, 2]).await;
    cluster.check_log_written_once().await;
}
