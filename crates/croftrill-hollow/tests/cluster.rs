//! Hollow nodes are whole nodes as far as control goes.

use croftrill_hollow::cluster::HollowCluster;
use croftrill_hollow::population::{self, Population};
use croftrill_state::AdapterId;

const NODES: usize = 12;
const POPULATION: Population = Population {
    models: 8,
    adapters: 40,
};

#[tokio::test]
async fn twelve_nodes_are_one_membership_and_all_apply_a_change() {
    let cluster = HollowCluster::start(NODES, POPULATION).await.unwrap();
    for node in cluster.nodes() {
        assert_eq!(node.control.membership.view().alive_count(), NODES);
    }

    let base = cluster.highest_head();
    let revision = cluster
        .propose(POPULATION.ordinary_change(0, base))
        .await
        .unwrap();
    cluster
        .wait_for("the change is applied everywhere", || {
            cluster.nodes().all(|node| node.replica.head() >= revision)
        })
        .await
        .unwrap();

    for node in cluster.nodes() {
        let state = node.replica.state();
        let adapter = &state.adapters[&AdapterId::from("adapter-00000")];
        assert_eq!(adapter.value.version, 2);
        assert_eq!(state.engines.len(), population::engines_for(NODES));
    }
    cluster.stop().await;
}

#[tokio::test]
async fn a_failed_coordinator_is_replaced_and_comes_back_as_a_member() {
    let mut cluster = HollowCluster::start(NODES, POPULATION).await.unwrap();
    let cell = population::cell_of(0);
    let failed = cluster.coordinator(&cell).unwrap().spec.clone();
    cluster.take(failed.index).unwrap().crash().await;

    cluster
        .wait_for("another node coordinates", || {
            cluster.nodes().all(|node| {
                let state = node.replica.state();
                state.coordinators[&cell].node != failed.id
            })
        })
        .await
        .unwrap();
    cluster.restart(failed.index).await.unwrap();
    cluster.wait_settled().await.unwrap();

    let returned = cluster.node(failed.index).unwrap();
    assert_eq!(returned.replica.head(), cluster.highest_head());
    cluster.stop().await;
}
