//! Applies the signals that replicas send in their answers.

use croftrill_scheduler::replica::{RejectionSignal, ReplicaId, ReplicaSignals};
use croftrill_scheduler::replica_table::{AnsweredCall, SignalChanges};

use crate::metrics::Metrics;
use crate::node::Node;
use crate::orderer_task::OrdererInput;
use crate::ports::Platform;

/// Applies the signals in a replica's answer to a call. This node's requests and orders use
/// them from now on. `answer_to` is the request's id or the kind of call, for the log.
pub(crate) fn apply<P: Platform>(
    node: &Node<P>,
    replica: &ReplicaId,
    call: AnsweredCall,
    signals: ReplicaSignals,
    answer_to: &str,
) {
    let mut state = node.state.borrow_mut();
    let listed = state.replicas.get(replica).map(|entry| entry.listing.state);
    let changes = state.replicas.apply_signals(replica, call, signals);
    let limit = state.replicas.limit_of(replica);
    let service = state
        .replicas
        .get(replica)
        .map(|entry| entry.listing.service.clone());
    let rejections_changed = service.is_some_and(|service| {
        let known = &mut state.brittle_replicas;
        known.record_signal(&service, replica, signals.rejections, call.answered_at)
    });
    drop(state);
    if matches!(signals.rejections, RejectionSignal::Limited { .. }) {
        node.rejections_heard.notify_one();
    }
    if rejections_changed {
        Metrics::count(&node.metrics.replica_words, "rejections", "heard");
        tracing::info!(target: "replica", event = "names the rejections that it bears", replica = &**replica,
            answer_to, rejections = ?signals.rejections);
    }
    if let Some(cooldown) = signals.cooldown {
        Metrics::count(&node.metrics.replica_words, "rest", "heard");
        tracing::info!(target: "replica", event = "requests a cooldown", replica = &**replica, answer_to,
            ?listed, rest_ms = cooldown.as_millis() as u64);
    }
    if changes.limit {
        let limit_per_s = limit.map(|(limit, _)| limit.rate.per_s());
        let event = if limit.is_some() {
            "names a limit"
        } else {
            "names no limit any more"
        };
        Metrics::count(&node.metrics.replica_words, "limit", "heard");
        tracing::info!(target: "replica", event, replica = &**replica, answer_to, limit_per_s);
    }
    if changes.leaving {
        Metrics::count(&node.metrics.replica_words, "leaving", "heard");
        tracing::info!(target: "replica", event = "signals that it is leaving", replica = &**replica, answer_to,
            ?listed);
    }
    if changes != SignalChanges::default() {
        node.notify_orderer_tasks(|| OrdererInput::DirectoryChanged);
    }
}
