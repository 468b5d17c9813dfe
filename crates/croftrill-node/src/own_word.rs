//! Takes in what replicas say of themselves in their answers.

use croftrill_scheduler::replica::{ReplicaId, ReplicaSignals};
use croftrill_scheduler::replica_table::{AnsweredCall, SignalChanges};

use crate::metrics::Metrics;
use crate::node::Node;
use crate::orderer_task::OrdererInput;
use crate::ports::Platform;

/// A replica said something of itself in the answer to a call. From now on this node goes
/// by it, and what it orders does. `answer_to`: the request's id, or what else was answered.
pub(crate) fn hear<P: Platform>(
    node: &Node<P>,
    replica: &ReplicaId,
    call: AnsweredCall,
    word: ReplicaSignals,
    answer_to: &str,
) {
    let mut state = node.state.borrow_mut();
    let listed = state.replicas.get(replica).map(|entry| entry.listing.state);
    let news = state.replicas.apply_signals(replica, call, word);
    let limit = state.replicas.limit_of(replica);
    drop(state);
    if let Some(rest) = word.cooldown {
        Metrics::count(&node.metrics.replica_words, "rest", "heard");
        tracing::info!(target: "replica", event = "wants rest", replica = &**replica, answer_to, ?listed,
            rest_ms = rest.as_millis() as u64);
    }
    if news.limit {
        let limit_per_s = limit.map(|(limit, _)| limit.rate.per_s());
        let event = if limit.is_some() {
            "names a limit"
        } else {
            "names no limit any more"
        };
        Metrics::count(&node.metrics.replica_words, "limit", "heard");
        tracing::info!(target: "replica", event, replica = &**replica, answer_to, limit_per_s);
    }
    if news.leaving {
        Metrics::count(&node.metrics.replica_words, "leaving", "heard");
        tracing::info!(target: "replica", event = "leaves, by its own word", replica = &**replica, answer_to, ?listed);
    }
    if news != SignalChanges::default() {
        node.inform_orderer_tasks(|| OrdererInput::DirectoryChanged);
    }
}
