//! Checks that nodes respect the signals that replicas send in their answers.

use std::collections::BTreeMap;

use croftrill_standin::engine::{Arrival, Ledger};

use crate::cluster::Cluster;
use crate::faults::PlannedFault;

/// Time after an answer by which the node must have applied its signals, and requests that
/// were on their way to the replica have arrived.
const SIGNAL_DELAY_MS: u64 = 500;
/// Time after a replica's first signal that it leaves until no more requests may reach it.
const MAX_LEAVING_MS: u64 = 2000;
/// Maximum number of requests of one node that may reach a replica during its cooldown.
const MAX_REQUESTS_IN_COOLDOWN: usize = 2;

/// Returns the node that an attempt was sent to, by the attempt ids of [`crate::checks`].
pub(super) fn node_of(attempt: &str, nodes: usize) -> Option<usize> {
    let (kind, rest) = attempt.split_at_checked(1)?;
    let mut numbers = rest.split('-').skip(1);
    let first: usize = numbers.next()?.parse().ok()?;
    match kind {
        "s" => Some(first % nodes),
        "k" | "r" => Some(first),
        _ => None,
    }
}

/// Checks all replicas and all nodes whose processes ran without interruption.
pub fn check_signals_are_respected(cluster: &Cluster, plan: &[PlannedFault], seed: u64) {
    let nodes = cluster.nodes.len();
    let ran_uninterrupted =
        |node: &usize| -> bool { !plan.iter().any(|planned| planned.injection.interrupts(*node)) };
    for ledger in cluster.ledgers() {
        let mut by_node: BTreeMap<usize, Vec<&Arrival>> = BTreeMap::new();
        for arrival in &ledger.arrivals {
            if let Some(node) = node_of(&arrival.attempt, nodes).filter(ran_uninterrupted) {
                by_node.entry(node).or_default().push(arrival);
            }
        }
        for (node, arrivals) in by_node {
            check_leaving_is_respected(&arrivals, node, seed);
            check_cooldowns_are_respected(&arrivals, node, seed);
        }
    }
    let signals = cluster.ledgers().iter().map(count_signals).sum::<usize>();
    println!("seed {seed}: {signals} answers that signal leaving or a cooldown");
}

fn count_signals(ledger: &Ledger) -> usize {
    let is_signal = |arrival: &&Arrival| arrival.says_leaving || arrival.rest_ms.is_some();
    ledger.arrivals.iter().filter(is_signal).count()
}

fn check_leaving_is_respected(arrivals: &[&Arrival], node: usize, seed: u64) {
    let Some(first) = arrivals.iter().find(|arrival| arrival.says_leaving) else {
        return;
    };
    let bound_ms = first.at_ms + MAX_LEAVING_MS;
    let late = arrivals.iter().find(|arrival| arrival.at_ms > bound_ms);
    assert!(
        late.is_none(),
        "seed {seed}: {late:?} of node {node} after {first:?}"
    );
}

fn check_cooldowns_are_respected(arrivals: &[&Arrival], node: usize, seed: u64) {
    for rejection in arrivals {
        let Some(rest_ms) = rejection.rest_ms else {
            continue;
        };
        let (begin_ms, end_ms) = (rejection.at_ms + SIGNAL_DELAY_MS, rejection.at_ms + rest_ms);
        let in_cooldown = arrivals
            .iter()
            .filter(|other| other.at_ms > begin_ms && other.at_ms < end_ms);
        let count = in_cooldown.count();
        assert!(
            count <= MAX_REQUESTS_IN_COOLDOWN,
            "seed {seed}: {count} requests of node {node} during the cooldown of {rejection:?}"
        );
    }
}
