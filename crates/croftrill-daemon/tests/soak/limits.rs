//! Judges that the limits which replicas name hold over all nodes together.

use std::collections::BTreeMap;

use croftrill_standin::engine::Arrival;

use crate::cluster::Cluster;
use crate::faults::Planned;
use crate::words::node_of;

/// Time from a replica's first word until its limit holds, in milliseconds.
const HOLDS_AFTER_MS: u64 = 3000;
/// Window in which calls are summed.
const WINDOW_MS: u64 = 4000;
/// Time after its first answer with a limit from which a node counts as told.
const TOLD_AFTER_MS: u64 = 500;
/// Most that a window may hold, in what the limit allows, and calls besides.
const OVERAGE: f64 = 1.5;
const SLACK: f64 = 5.0;

/// Judges all replicas, by the nodes whose processes ran on throughout. Calls of orderers
/// name no node: they count where all nodes ran on.
pub fn are_kept(cluster: &Cluster, plan: &[Planned], seed: u64) {
    let nodes = cluster.nodes.len();
    let undisturbed = |node: usize| !plan.iter().any(|planned| planned.injection.interrupts(node));
    let all_ran_on = (0..nodes).all(undisturbed);
    let mut named = 0;
    for ledger in cluster.ledgers() {
        let counts = |arrival: &&Arrival| match node_of(&arrival.attempt, nodes) {
            Some(node) => undisturbed(node),
            None => all_ran_on,
        };
        for need in needs(&ledger.arrivals) {
            named += need.len();
            let counted: Vec<&Arrival> = need.iter().filter(counts).collect();
            need_is_respected(&told(&counted, nodes), need[0].at_ms, seed);
        }
    }
    println!("seed {seed}: {named} answers that name a limit");
}

/// Calls in a row whose answers name the same limit.
fn needs(arrivals: &[Arrival]) -> Vec<&[Arrival]> {
    let runs = arrivals.chunk_by(|left, right| left.limit_per_s == right.limit_per_s);
    runs.filter(|run| run[0].limit_per_s.is_some()).collect()
}

/// Of these, the calls from nodes that had been told some time before.
fn told<'a>(calls: &[&'a Arrival], nodes: usize) -> Vec<&'a Arrival> {
    let mut first_ms: BTreeMap<Option<usize>, u64> = BTreeMap::new();
    let is_told = |call: &&&Arrival| {
        let node = node_of(&call.attempt, nodes);
        let first = *first_ms.entry(node).or_insert(call.at_ms);
        call.at_ms >= first + TOLD_AFTER_MS
    };
    calls.iter().filter(is_told).copied().collect()
}

fn need_is_respected(calls: &[&Arrival], begun_ms: u64, seed: u64) {
    let holding: Vec<&&Arrival> = calls
        .iter()
        .filter(|call| call.at_ms >= begun_ms + HOLDS_AFTER_MS)
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
            "seed {seed}: {count} calls in a window that begins with {first:?}; allowed {allowed}"
        );
    }
}
