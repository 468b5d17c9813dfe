//! Takes in what replicas say of themselves in their answers.

use croftrill_scheduler::replica::{BornMs, LimitWord, ReplicaId, ReplicaWord};

use crate::metrics::Metrics;
use crate::node::Node;
use crate::orderer_task::OrdererInput;
use crate::ports::Platform;

/// A replica said something of itself in an answer, at the incarnation that started at
/// `born_ms`. From now on this node goes by it, and what it orders does. `answer_to`: the
/// request's id, or what else was answered.
pub(crate) fn hear<P: Platform>(
    node: &Node<P>,
    replica: &ReplicaId,
    born_ms: Option<BornMs>,
    word: ReplicaWord,
    answer_to: &str,
) {
    if let LimitWord::Limited(limit) = word.limit {
        Metrics::count(&node.metrics.replica_words, "limit", "heard");
        tracing::info!(target: "replica", event = "names a limit", replica = &**replica, answer_to,
            limit_per_s = limit.per_s());
    }
    if word.is_empty() {
        return;
    }
    let now = node.clock.now();
    let mut state = node.state.borrow_mut();
    let listed = state.replicas.get(replica).map(|entry| entry.listing.state);
    let begins_to_leave = state.replicas.hear(replica, born_ms, word, now);
    drop(state);
    if let Some(rest) = word.rest {
        Metrics::count(&node.metrics.replica_words, "rest", "heard");
        tracing::info!(target: "replica", event = "wants rest", replica = &**replica, answer_to, ?listed,
            rest_ms = rest.as_millis() as u64);
    }
    if begins_to_leave {
        Metrics::count(&node.metrics.replica_words, "leaving", "heard");
        tracing::info!(target: "replica", event = "leaves, by its own word", replica = &**replica, answer_to, ?listed);
        node.inform_orderer_tasks(|| OrdererInput::DirectoryChanged);
    }
}
