//! Checks that the limits that replicas announce hold over all nodes together.

use std::collections::BTreeMap;

use croftrill_standin::engine::Arrival;

use crate::cluster::Cluster;
use crate::faults::PlannedFault;
use crate::replica_signals::node_of;

/// Time from a replica's first answer with a limit until the limit holds.
const LIMIT_HOLDS_AFTER_MS: u64 = 3000;
/// Window in which requests are counted.
const WINDOW_MS: u64 = 4000;
/// Time after which a node that received an answer with a limit must apply it.
const LIMIT_APPLIED_AFTER_MS: u64 = 500;
/// Factor on the number of requests that the limit allows in a window, and number of
/// requests allowed in addition.
const OVERAGE: f64 = 1.5;
const SLACK: f64 = 5.0;

/// Checks all replicas by the requests of nodes whose processes ran without interruption.
/// Requests of orderers do not name a node: they count if no node was interrupted.
pub fn check_limits_hold(cluster: &Cluster, plan: &[PlannedFault], seed: u64) {
    let nodes = cluster.nodes.len();
    let ran_uninterrupted = |node: usize| !plan.iter().any(|planned| planned.injection.interrupts(node));
    let all_ran_uninterrupted = (0..nodes).all(ran_uninterrupted);
    let mut limit_answers = 0;
    for ledger in cluster.ledgers() {
        let counts = |arrival: &&Arrival| match node_of(&arrival.attempt, nodes) {
            Some(node) => ran_uninterrupted(node),
            None => all_ran_uninterrupted,
        };
        for limit_run in limit_runs(&ledger.arrivals) {
            limit_answers += limit_run.len();
            let counted: Vec<&Arrival> = limit_run.iter().filter(counts).collect();
            check_limit_holds(&after_limit_received(&counted, nodes), limit_run[0].at_ms, seed);
        }
    }
    println!("seed {seed}: {limit_answers} answers with a limit");
}

/// Returns the runs of consecutive requests whose answers announce the same limit.
fn limit_runs(arrivals: &[Arrival]) -> Vec<&[Arrival]> {
    let runs = arrivals.chunk_by(|left, right| left.limit_per_s == right.limit_per_s);
    runs.filter(|run| run[0].limit_per_s.is_some()).collect()
}

/// Returns those of the requests whose node received the limit `LIMIT_APPLIED_AFTER_MS` before.
fn after_limit_received<'a>(calls: &[&'a Arrival], nodes: usize) -> Vec<&'a Arrival> {
    let mut first_ms: BTreeMap<Option<usize>, u64> = BTreeMap::new();
    let has_received_limit = |call: &&&Arrival| {
        let node = node_of(&call.attempt, nodes);
        let first = *first_ms.entry(node).or_insert(call.at_ms);
        call.at_ms >= first + LIMIT_APPLIED_AFTER_MS
    };
    calls.iter().filter(has_received_limit).copied().collect()
}

fn check_limit_holds(calls: &[&Arrival], limit_start_ms: u64, seed: u64) {
    let holding: Vec<&&Arrival> = calls
        .iter()
        .filter(|call| call.at_ms >= limit_start_ms + LIMIT_HOLDS_AFTER_MS)
        .collect();
    for (index, first) in holding.iter().enumerate() {
        let window = holding[index..]
            .iter()
            .take_while(|call| call.at_ms < first.at_ms + WINDOW_MS);
        let count = window.count();
        let limit_per_s = first.limit_per_s.unwrap_or_default();
        let allowed = OVERAGE * limit_per_s * WINDOW_MS as f64 / 1000.0 + SLACK;
        assert!(
            count as f64 <= allowed,
            "seed {seed}: {count} requests in a window that starts with {first:?}; allowed {allowed}"
        );
    }
}
