//! Probes the node's own paths to replicas while some are broken.
//!
//! Callers' requests take another path meanwhile; none is sent to find out whether its own works.

use std::rc::Rc;
use std::time::Duration;

use croftrill_scheduler::replica::ReplicaId;
use croftrill_scheduler::replica_table::ReplicaEntry;
use croftrill_scheduler::shard::Shard;
use futures::future::join_all;
use rand::seq::IteratorRandom;
use tokio::time::sleep;

use super::{ask_peers, dial, record_broken, record_own_connection, PathTarget, PeerVerdict};
use crate::node::Node;
use crate::ports::Platform;

/// Interval between two rounds of probes.
const ROUND_INTERVAL: Duration = Duration::from_millis(250);
/// Number of paths that a round probes, and a survey for each shard.
const PROBES_PER_ROUND: usize = 4;
/// Time to connect to a replica.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);

/// Probes broken paths until the process ends.
pub(crate) async fn watch<P: Platform>(node: Rc<Node<P>>) {
    loop {
        node.path_check_needed.notified().await;
        survey(&node).await;
        while probe_round(&node).await {
            sleep(ROUND_INTERVAL).await;
        }
    }
}

/// Checks the own path to a replica to which another node was faster.
pub(super) async fn check_overtaken<P: Platform>(node: Rc<Node<P>>, target: PathTarget) {
    if !node.state.borrow_mut().replica_paths.begin_check(&target.replica) {
        return;
    }
    let is_reached = probe(&node, &target).await;
    node.state.borrow_mut().replica_paths.end_check(&target.replica);
    if !is_reached {
        record_broken(&node, &target, true);
    }
}

/// Tries some replicas of each shard, so that an orderer knows soon whether it lost its own.
async fn survey<P: Platform>(node: &Rc<Node<P>>) {
    let targets = survey_targets(node);
    join_all(targets.iter().map(|target| check(node, target))).await;
}

fn survey_targets<P: Platform>(node: &Node<P>) -> Vec<PathTarget> {
    let state = node.state.borrow();
    let is_unknown =
        |entry: &&ReplicaEntry| entry.is_ready() && !state.replica_paths.is_broken(&entry.listing.id);
    let of_shard = |shard| {
        let entries = state.replicas.iter().filter(is_unknown);
        let entries = entries.filter(move |entry| Shard::of_replica(&entry.listing.id) == shard);
        entries.choose_multiple(&mut rand::rng(), PROBES_PER_ROUND)
    };
    Shard::all()
        .flat_map(of_shard)
        .filter_map(PathTarget::of)
        .collect()
}

/// Tries a path and, if it fails, asks other nodes whether they reach the replica.
async fn check<P: Platform>(node: &Rc<Node<P>>, target: &PathTarget) {
    if probe(node, target).await {
        return;
    }
    if ask_peers(node, target).await == PeerVerdict::Reached {
        record_broken(node, target, true);
    }
}

/// Tries to connect to a replica over the own path. Returns whether it is reached.
async fn probe<P: Platform>(node: &Rc<Node<P>>, target: &PathTarget) -> bool {
    let is_reached = dial(node, target.address, PROBE_TIMEOUT).await.is_ok();
    if is_reached {
        record_own_connection(node, target, None);
    }
    is_reached
}

/// Probes the broken paths that are due. If one works again, probes all others at once. Returns
/// whether any is still broken.
async fn probe_round<P: Platform>(node: &Rc<Node<P>>) -> bool {
    let now = node.clock.now();
    let due = {
        let state = &mut *node.state.borrow_mut();
        let replicas = &state.replicas;
        state.replica_paths.retain(|id| replicas.get(id).is_some());
        state.replica_paths.take_due_probes(PROBES_PER_ROUND, now)
    };
    if probe_all(node, &due).await {
        let rest: Vec<ReplicaId> = node.state.borrow().replica_paths.broken().cloned().collect();
        probe_all(node, &rest).await;
    }
    let broken = node.state.borrow().replica_paths.broken_count();
    node.metrics.replicas_out_of_reach.set(broken as i64);
    broken > 0
}

/// Probes the paths to these replicas at the same time. Returns whether any is reached.
async fn probe_all<P: Platform>(node: &Rc<Node<P>>, replicas: &[ReplicaId]) -> bool {
    let targets: Vec<PathTarget> = {
        let state = node.state.borrow();
        let listed = replicas.iter().filter_map(|id| state.replicas.get(id));
        listed.filter_map(PathTarget::of).collect()
    };
    let probes = targets.iter().map(|target| probe(node, target));
    join_all(probes).await.contains(&true)
}
