//! Each group's engine time against what it is owed.
//!
//! In each window the engine time that was delivered is divided by weight among
//! the groups, up to each one's demand (what it used, and what its refused or
//! late requests would have used); what a group does not need goes to the
//! others. Only windows count in which some demand was unmet.

use super::{met_deadlines, RunRecord};
use crate::identifiers::SECOND;
use crate::simulation::SHARE_WINDOW_SECONDS;

/// Used to owed of each group; 1 if it never wanted more than it got.
pub(super) fn shares_of_owed(run: &RunRecord<'_>) -> Vec<f64> {
    let groups = run.scenario.groups.len();
    let unmet = unmet_demand(run);
    let windows = unmet.len().max(run.group_micros.len());
    let mut used_sum = vec![0.0; groups];
    let mut owed_sum = vec![0.0; groups];
    for window in 0..windows {
        let Some(unmet) = unmet
            .get(window)
            .filter(|unmet| unmet.iter().any(|micros| *micros > 0.0))
        else {
            continue;
        };
        let used: Vec<f64> = (0..groups)
            .map(|group| {
                run.group_micros
                    .get(window)
                    .map_or(0.0, |micros| micros[group] as f64)
            })
            .collect();
        let demand: Vec<f64> = used.iter().zip(unmet).map(|(used, unmet)| used + unmet).collect();
        let owed = fair_shares(used.iter().sum(), &demand, &weights(run));
        for group in 0..groups {
            used_sum[group] += used[group];
            owed_sum[group] += owed[group];
        }
    }
    used_sum
        .iter()
        .zip(&owed_sum)
        .map(|(used, owed)| if *owed > 0.0 { used / owed } else { 1.0 })
        .collect()
}

fn weights(run: &RunRecord<'_>) -> Vec<f64> {
    run.scenario
        .groups
        .iter()
        .map(|group| f64::from(group.share_weight))
        .collect()
}

/// Engine time, by window of sending and group, that requests would have used
/// which were refused or late.
fn unmet_demand(run: &RunRecord<'_>) -> Vec<Vec<f64>> {
    let groups = run.scenario.groups.len();
    let micros_per_token = micros_per_token(run);
    let mut unmet: Vec<Vec<f64>> = Vec::new();
    for (request, outcome) in run.workload.requests.iter().zip(run.outcomes) {
        if met_deadlines(request, *outcome) {
            continue;
        }
        let window = (request.sent / (SHARE_WINDOW_SECONDS * SECOND)) as usize;
        if unmet.len() <= window {
            unmet.resize(window + 1, vec![0.0; groups]);
        }
        let tokens =
            f64::from(request.prompt_tokens) / PROMPT_TOKENS_AS_ONE + f64::from(request.answer_tokens);
        unmet[window][request.group.0] += tokens * micros_per_token;
    }
    unmet
}

/// Prompt tokens that cost about as much as one token of an answer.
const PROMPT_TOKENS_AS_ONE: f64 = 10.0;

fn micros_per_token(run: &RunRecord<'_>) -> f64 {
    let used: u64 = run.group_micros.iter().flatten().sum();
    let tokens: f64 = run
        .workload
        .requests
        .iter()
        .zip(run.outcomes)
        .filter(|(_, outcome)| matches!(outcome, crate::simulation::Outcome::Served { .. }))
        .map(|(request, _)| {
            f64::from(request.prompt_tokens) / PROMPT_TOKENS_AS_ONE + f64::from(request.answer_tokens)
        })
        .sum();
    if tokens > 0.0 {
        used as f64 / tokens
    } else {
        0.0
    }
}

/// Divides `total` by weight, no group above its demand.
pub fn fair_shares(total: f64, demand: &[f64], weights: &[f64]) -> Vec<f64> {
    let mut shares = vec![0.0; demand.len()];
    let mut open: Vec<usize> = (0..demand.len()).collect();
    let mut left = total;
    while !open.is_empty() {
        let weight_sum: f64 = open.iter().map(|group| weights[*group]).sum();
        let (full, rest): (Vec<usize>, Vec<usize>) = open
            .iter()
            .partition(|group| demand[**group] <= left * weights[**group] / weight_sum);
        if full.is_empty() {
            for group in rest {
                shares[group] = left * weights[group] / weight_sum;
            }
            break;
        }
        for group in full {
            shares[group] = demand[group];
            left -= demand[group];
        }
        open = rest;
    }
    shares
}
