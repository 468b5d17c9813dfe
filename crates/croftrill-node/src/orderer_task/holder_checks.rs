//! Checks whether the holders of a model for which requests wait at other nodes are in reach.
//!
//! A request waits only if its node reaches no holder, so a wait for a model that is listed as held
//! contradicts the list. The listing of a replica that ended stays for some heartbeats; meanwhile the
//! orderers would load the model nowhere.

use std::rc::Rc;
use std::time::Duration;

use croftrill_scheduler::demand::ModelKey;
use croftrill_scheduler::health::SendOutcome;
use croftrill_scheduler::path_search::SearchFailure;
use croftrill_scheduler::replica_table::ReplicaEntry;
use tokio::task::spawn_local;

use super::OrdererInput;
use crate::node::Node;
use crate::peer::ToOrderer;
use crate::ports::Platform;
use crate::replica_path::{self, ConnectOptions, PathTarget};

/// Maximum number of holders that are checked. It is unlikely that more are lost at once, and a node
/// that waits for a model with many holders is more likely to have an old list of them.
const MAX_CHECKED: usize = 4;
/// Minimum time between two checks of a replica: that between two reminders of one request.
const MIN_INTERVAL: Duration = Duration::from_millis(500);

/// Checks the holders that the list names of the model in a message about a wait. If one is out of
/// reach, gives the message to this node's orderers once more.
pub(super) fn check<P: Platform>(node: &Rc<Node<P>>, message: &ToOrderer) {
    let key = match message {
        ToOrderer::Waiting(model) => model.to_key(),
        ToOrderer::WaitingAt(wait) => wait.model.to_key(),
        _ => return,
    };
    for target in targets(node, &key) {
        spawn_local(check_holder(node.clone(), target, message.clone()));
    }
}

/// Returns the holders to check, and records that they are checked now.
fn targets<P: Platform>(node: &Node<P>, key: &ModelKey) -> Vec<PathTarget> {
    let now = node.clock.now();
    let mut state = node.state.borrow_mut();
    state.holder_checks.retain(|_, at| now.since(*at) < MIN_INTERVAL);
    let holders = state.replicas.with_model(&key.service, &key.model);
    let is_listed_holder = |entry: &&ReplicaEntry| entry.is_ready() && entry.serves(&key.model, None);
    let holders: Vec<&ReplicaEntry> = holders.filter(is_listed_holder).take(MAX_CHECKED + 1).collect();
    if holders.len() > MAX_CHECKED {
        return Vec::new();
    }
    let is_due = |entry: &&ReplicaEntry| {
        entry.is_in_reach(now) && !state.holder_checks.contains_key(&entry.listing.id)
    };
    let due = holders.into_iter().filter(is_due);
    let targets: Vec<PathTarget> = due.filter_map(PathTarget::of).collect();
    for target in &targets {
        state.holder_checks.insert(target.replica.clone(), now);
    }
    targets
}

/// Connects to a replica and records it as out of reach if it is down.
async fn check_holder<P: Platform>(node: Rc<Node<P>>, target: PathTarget, message: ToOrderer) {
    let options = ConnectOptions { may_reuse: true };
    match replica_path::connect(&node, &node.pool, &target, options).await {
        Ok(connection) => node.pool.put_back(connection, &http::HeaderMap::new()),
        Err(SearchFailure::NoPath) => {}
        Err(failure) => {
            tracing::info!(target: "orderer", event = "a listed holder of an awaited model is out of reach",
                replica = &*target.replica, ?failure);
            let now = node.clock.now();
            node.state
                .borrow_mut()
                .replicas
                .record_outcome(&target.replica, SendOutcome::Unreachable, now);
            node.notify_orderer_tasks(|| OrdererInput::FromNode(message.clone()));
        }
    }
}
