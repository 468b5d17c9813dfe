//! Rounds in which nodes lose their paths to replicas: their callers are served as the others' are.

use std::time::Duration;

use croftrill_demo::caller::CallOutcome;

use crate::checks::CallRecord;
use crate::faults::{Injection, PlannedFault};
use crate::replica_signals::node_of;

/// Time that a cut lasts beyond the drawn duration, so that some calls fall into it.
pub const ADDED_DURATION: Duration = Duration::from_millis(2_500);
/// Time from the start of a cut until callers must be served as elsewhere.
const SERVED_AFTER: Duration = Duration::from_secs(1);
/// Share of the others' rate that callers of the cut node get.
const MIN_RATE: f64 = 0.9;
/// Calls that may fail beside that, as a window has few.
const MAX_FAILED_BESIDE: f64 = 2.0;

/// A time in which a node's paths are cut.
struct Cut {
    node: usize,
    from: Duration,
    to: Duration,
}

fn cuts(plan: &[PlannedFault]) -> impl Iterator<Item = Cut> + '_ {
    plan.iter().filter_map(|planned| match planned.injection {
        Injection::NodePaths(node, _) => Some(Cut {
            node,
            from: planned.at,
            to: planned.at + planned.duration + ADDED_DURATION,
        }),
        _ => None,
    })
}

/// Checks the callers of cut nodes against those of nodes with paths, all of them nodes whose
/// processes ran without interruption.
pub fn check_callers_are_served(plan: &[PlannedFault], calls: &[CallRecord], nodes: usize, seed: u64) {
    let ran_uninterrupted = |node: usize| !plan.iter().any(|planned| planned.injection.interrupts(node));
    for cut in cuts(plan) {
        let from = cut.from + SERVED_AFTER;
        let is_cut = |node: usize| {
            cuts(plan).any(|other| other.node == node && other.from < cut.to && other.to > cut.from)
        };
        let served = |is_included: &dyn Fn(usize) -> bool| {
            let included = calls.iter().filter(|call| {
                let node = node_of(&call.attempt, nodes);
                node.is_some_and(|node| is_included(node) && ran_uninterrupted(node))
                    && call.started_after >= from
                    && call.started_after < cut.to
            });
            let complete: Vec<bool> = included
                .map(|call| call.outcome == CallOutcome::Complete)
                .collect();
            let count = complete.iter().filter(|is_complete| **is_complete).count();
            (count as f64, complete.len() as f64)
        };
        let at_cut = served(&|node| node == cut.node);
        let at_others = served(&|node| !is_cut(node));
        println!(
            "seed {seed}: node {} without paths: {at_cut:?} served, {at_others:?} at others",
            cut.node
        );
        if at_cut.1 == 0.0 || at_others.1 == 0.0 {
            continue;
        }
        let expected = MIN_RATE * at_others.0 / at_others.1 * at_cut.1;
        assert!(
            at_cut.0 + MAX_FAILED_BESIDE >= expected,
            "seed {seed}: node {}: {at_cut:?} served, {at_others:?} at others",
            cut.node
        );
    }
}
