//! Starts the tasks of a node and stops the node.

use std::rc::Rc;
use std::time::Duration;

use croftrill_scheduler::quota::keepers::QuotaPartition;
use tokio::net::TcpListener;
use tokio::task::{spawn_local, JoinHandle};

use crate::node::{Node, NodeQueues};
use crate::ports::{KeyValueStore, Platform};
use crate::{
    brittle_reports, configuration, crash_reports, directory, front, load_updates, membership, orderer_task,
    peer_link, quota, replica_path, replica_versions, step_times, stored_streams, stored_versions,
    stream_versions, tree,
};

/// Maximum time that a stopping node waits for the removal of its entries from the store.
const WITHDRAWAL_TIMEOUT: Duration = Duration::from_millis(300);
/// Interval at which old idle connections are closed.
const POOL_CLEANUP_INTERVAL: Duration = Duration::from_secs(5);

/// The running tasks of a node.
pub struct Running<P: Platform> {
    node: Rc<Node<P>>,
    membership: JoinHandle<()>,
    orderers: Vec<JoinHandle<()>>,
}

/// Starts a node on two listeners, for callers and for other nodes. Must run within a
/// `LocalSet`. `started_ns` is the time of day in nanoseconds, which distinguishes this process
/// from earlier ones and is never used as an order.
pub fn start<P: Platform>(
    node: &Rc<Node<P>>,
    queues: NodeQueues,
    front_listener: TcpListener,
    peer_listener: TcpListener,
    started_ns: u64,
) -> Running<P> {
    let incarnation = membership::incarnation_of(started_ns);
    spawn_local(front::accept(node.clone(), front_listener));
    spawn_local(peer_link::accept(node.clone(), peer_listener));
    spawn_local(peer_link::send_demand(node.clone()));
    spawn_local(load_updates::forward(node.clone()));
    spawn_local(directory::follow(node.clone()));
    spawn_local(directory::read_holdings(node.clone()));
    spawn_local(replica_versions::observe(node.clone()));
    spawn_local(stored_versions::maintain(node.clone()));
    spawn_local(stream_versions::publish_as_proof_lapses(node.clone()));
    spawn_local(stored_streams::maintain(node.clone(), incarnation));
    spawn_local(crash_reports::publish(node.clone(), incarnation));
    spawn_local(brittle_reports::publish(node.clone()));
    spawn_local(configuration::probes::probe_others(node.clone()));
    spawn_local(close_old_connections(node.clone()));
    spawn_local(watch_suspensions(node.clone()));
    spawn_local(watch_store_era(node.clone()));
    spawn_local(step_times::watch(node.step_times.clone()));
    spawn_local(replica_path::monitor::watch(node.clone()));
    for partition in QuotaPartition::all() {
        let own = node.settings.identity.peer;
        spawn_local(quota::follow_keeper(
            node.quotas.clone(),
            node.clone(),
            partition,
            own,
        ));
    }
    let mut orderers = Vec::new();
    spawn_local(tree::follow_relays(node.clone(), queues.to_relay));
    for queues in queues.shards {
        let shard = queues.shard;
        spawn_local(peer_link::follow_orderer(node.clone(), shard, queues.to_orderer));
        let orderer = orderer_task::run(node.clone(), shard, queues.orderer_inbox, incarnation);
        orderers.push(spawn_local(orderer));
    }
    Running {
        node: node.clone(),
        membership: spawn_local(membership::maintain_entry(node.clone(), incarnation)),
        orderers,
    }
}

impl<P: Platform> Running<P> {
    /// Stops the node: finishes the requests in flight within the grace period and removes the
    /// node's entries from the store.
    pub async fn stop(self) {
        self.node.begin_stop();
        front::drain(&self.node).await;
        let withdrawal = async {
            let _ = self.membership.await;
            for orderer in self.orderers {
                let _ = orderer.await;
            }
        };
        let _ = tokio::time::timeout(WITHDRAWAL_TIMEOUT, withdrawal).await;
    }
}

/// Reacts to new eras of the store until the process ends.
async fn watch_store_era<P: Platform>(node: Rc<Node<P>>) {
    let era = node.platform.store().era();
    loop {
        era.wait_for_rise().await;
        let (newest, first) = (era.newest(), era.first());
        tracing::warn!(target: "store", event = "new era: the store was restored from an older copy, later writes are lost", newest, first);
        node.metrics.store_rises.inc();
        configuration::update_era(&node);
        configuration::update_newest_metric(&node);
        node.configuration_exchanged.notify_waiters();
        crash_reports::republish(&node);
        node.relay_changed.notify_waiters();
    }
}

/// Discards idle connections and pending watches after each suspension of the machine.
async fn watch_suspensions<P: Platform>(node: Rc<Node<P>>) {
    let on_resume = |suspended: Duration| {
        tracing::warn!(target: "node", event = "resumed", suspended_ms = suspended.as_millis() as u64);
        node.metrics.suspensions.inc();
        // The peers may have closed these connections, and the notice may be lost.
        node.pool.close_idle();
        node.patient_pool.close_idle();
        // Relayed changes are outdated by the length of the suspension.
        node.relay_changed.notify_waiters();
        // The store may have dropped watches that waited during the suspension.
        node.store_reachability.record_call(false);
    };
    node.clock.watch_suspensions(on_resume).await;
}

async fn close_old_connections<P: Platform>(node: Rc<Node<P>>) {
    loop {
        tokio::time::sleep(POOL_CLEANUP_INTERVAL).await;
        node.pool.drop_expired();
    }
}
