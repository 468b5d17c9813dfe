//! Tells a replica that is down from an own path that is cut: by connecting to other replicas.

use std::rc::Rc;
use std::time::Duration;

use croftrill_scheduler::replica_table::ReplicaEntry;
use futures::future::{join, join_all};
use rand::seq::IteratorRandom;

use super::{dial, record_own_connection, PathTarget};
use crate::node::Node;
use crate::ports::Platform;

/// Time to connect to another replica.
const CONTROL_TIMEOUT: Duration = Duration::from_millis(60);
/// Number of other replicas that are tried.
const CONTROL_COUNT: usize = 2;

/// Returns whether this node reaches other replicas now, so that its own path is not the cause.
pub(super) async fn reaches_others<P: Platform>(node: &Rc<Node<P>>, target: &PathTarget) -> bool {
    let controls = control_targets(node, target);
    if controls.is_empty() {
        return false;
    }
    let dials = controls.iter().map(|control| async {
        let is_reached = dial(node, control.address, CONTROL_TIMEOUT).await.is_ok();
        if is_reached {
            record_own_connection(node, control, None);
        }
        is_reached
    });
    join_all(dials).await.iter().all(|is_reached| *is_reached)
}

/// Returns whether this node reaches other replicas now, and still not this one. An attempt that hung
/// while the own path was cut says nothing of the replica once the path works again.
pub(super) async fn reaches_only_others<P: Platform>(node: &Rc<Node<P>>, target: &PathTarget) -> bool {
    let again = dial(node, target.address, CONTROL_TIMEOUT);
    let (again, others) = join(again, reaches_others(node, target)).await;
    if again.is_ok() {
        record_own_connection(node, target, None);
    }
    others && again.is_err()
}

/// Returns some replicas to which this node's path should work: of the target's service, as a cut
/// may affect the replicas of one service only, or of any if it has no others.
fn control_targets<P: Platform>(node: &Node<P>, target: &PathTarget) -> Vec<PathTarget> {
    let state = node.state.borrow();
    if state.replica_paths.broken_count() > 0 {
        return Vec::new();
    }
    let service = state
        .replicas
        .get(&target.replica)
        .map(|entry| &entry.listing.service);
    let is_other = |entry: &&ReplicaEntry| entry.is_ready() && entry.listing.id != target.replica;
    let of_service = |entry: &&ReplicaEntry| Some(&entry.listing.service) == service;
    let others = state.replicas.iter().filter(is_other).filter(of_service);
    let mut chosen = others.choose_multiple(&mut rand::rng(), CONTROL_COUNT);
    if chosen.is_empty() {
        let any = state.replicas.iter().filter(is_other);
        chosen = any.choose_multiple(&mut rand::rng(), CONTROL_COUNT);
    }
    chosen.into_iter().filter_map(PathTarget::of).collect()
}
