//! `croftrill-bench`: compares scheduling policies and measures the cost of the orderer.

use croftrill_bench::capacity::{
    measure, measure_crash_reports, measure_part_reports, REPORTED_PARTS, REPORTED_REQUESTS, SIZES,
};
use croftrill_bench::experiment::{policies, simulate, Load};
use croftrill_bench::fleet::{fleet_cost, FleetSize};
use croftrill_bench::limits::{self, KeeperFailure, LimitPolicy, LimitRun};
use croftrill_bench::spread::{self, LoadUpdates, SpreadOutcome, SpreadRun};
use lexopt::prelude::*;
use std::time::Duration;

const HELP: &str = "\
Runs simulated loads against the scheduler's own code.

Usage: croftrill-bench experiment [--models N] [--replicas N] [--rare PER_S]
                                  [--busy PER_S] [--seconds N] [--seeds N]
       croftrill-bench capacity
       croftrill-bench fleet [--nodes N] [--replicas N]
       croftrill-bench limits [--seeds N]
       croftrill-bench spread [--seeds N] [--demand PER_S]
";

fn main() -> anyhow::Result<()> {
    let mut load = Load::default();
    let mut seeds = 5;
    let mut nodes = 985;
    let mut demand_per_s = 500.0;
    let mut command = String::new();
    let mut parser = lexopt::Parser::from_env();
    while let Some(argument) = parser.next()? {
        match argument {
            Value(word) if command.is_empty() => command = word.string()?,
            Long("demand") => demand_per_s = parser.value()?.parse()?,
            Long("nodes") => nodes = parser.value()?.parse()?,
            Long("models") => load.models = parser.value()?.parse()?,
            Long("replicas") => load.replicas = parser.value()?.parse()?,
            Long("rare") => load.rare_per_second = parser.value()?.parse()?,
            Long("busy") => load.busy_per_second = parser.value()?.parse()?,
            Long("seconds") => load.seconds = parser.value()?.parse()?,
            Long("seeds") => seeds = parser.value()?.parse()?,
            Short('h') | Long("help") => {
                print!("{HELP}");
                return Ok(());
            }
            other => return Err(other.unexpected().into()),
        }
    }
    match command.as_str() {
        "experiment" => experiment(&load, seeds),
        "capacity" => capacity(),
        "fleet" => fleet(FleetSize {
            nodes,
            replicas: load.replicas,
        }),
        "limits" => compare_limits(seeds),
        "spread" => compare_spread(seeds, demand_per_s),
        _ => print!("{HELP}"),
    }
    Ok(())
}

/// Prints a comparison of the ways to enforce a replica's rate limit across all nodes.
///
/// The fullest window is the maximum over all seeds; the other columns are means.
fn compare_limits(seeds: u64) {
    println!(
        "{:>5} {:>7} {:<10} {:<8} {:>8} {:>8} {:>6} {:>8} {:>11}",
        "nodes", "limit/s", "way", "trouble", "allowed", "fullest", "used", "wait ms", "questions/s"
    );
    for nodes in [7, 295, 985] {
        for limit_per_s in [1.0, 10.0] {
            let chosen = (2.0 * limit_per_s + 5.0) as usize;
            for policy in [
                LimitPolicy::EvenShares,
                LimitPolicy::Standalone,
                LimitPolicy::Chosen(chosen),
                LimitPolicy::Keeper,
            ] {
                compare_limit(nodes, limit_per_s, policy, KeeperFailure::None, seeds);
            }
            for failure in [
                KeeperFailure::Killed,
                KeeperFailure::Frozen,
                KeeperFailure::Cut,
                KeeperFailure::Doubled,
                KeeperFailure::Alone,
            ] {
                compare_limit(nodes, limit_per_s, LimitPolicy::Keeper, failure, seeds);
            }
        }
    }
}

fn compare_limit(nodes: usize, limit_per_s: f64, policy: LimitPolicy, failure: KeeperFailure, seeds: u64) {
    /// Ratio of arriving requests to those that the limit allows.
    const PRESSURE: f64 = 4.0;
    let outcomes: Vec<_> = (1..=seeds)
        .map(|seed| {
            limits::simulate(LimitRun {
                nodes,
                limit_per_s,
                demand_per_s: limit_per_s * PRESSURE,
                policy,
                failure,
                seed,
                length: Duration::from_secs(60),
            })
        })
        .collect();
    let fullest_window = outcomes
        .iter()
        .map(|outcome| outcome.fullest_window)
        .max()
        .unwrap_or(0);
    let mean = |of: fn(&limits::LimitOutcome) -> f64| outcomes.iter().map(of).sum::<f64>() / seeds as f64;
    println!(
        "{nodes:>5} {limit_per_s:>7} {:<10} {:<8} {:>8} {fullest_window:>8} {:>6.2} {:>8.0} {:>11.1}",
        policy.name(),
        format!("{failure:?}"),
        limits::max_calls_per_window(limit_per_s),
        mean(|outcome| outcome.used_fraction),
        mean(|outcome| outcome.mean_wait_ms),
        mean(|outcome| outcome.keeper_requests_per_s),
    );
}

/// Prints a comparison of the ways to choose among replicas of different speed, as means over the seeds.
fn compare_spread(seeds: u64, demand_per_s: f64) {
    println!(
        "{:>5} {:<16} {:<11} {:>7} {:>9} {:>6} {:>8} {:>7} {:>13}",
        "nodes", "news", "way", "waited", "rejected", "late", "overdue", "p99 ms", "busiest/mean"
    );
    let (soon, late) = (Duration::from_millis(200), Duration::from_secs(1));
    for nodes in [7, 65, 985] {
        for updates in [
            LoadUpdates::After(Duration::from_millis(100)),
            LoadUpdates::After(soon),
            LoadUpdates::After(late),
            LoadUpdates::After(2 * late),
            LoadUpdates::Lost(soon),
            LoadUpdates::False(soon),
            LoadUpdates::None,
        ] {
            for policy in [
                spread::RoutingPolicy::Alike,
                spread::RoutingPolicy::LeastCost,
                spread::RoutingPolicy::TwoChoices,
                spread::RoutingPolicy::ByRoom,
                spread::RoutingPolicy::Chosen,
            ] {
                let outcomes: Vec<SpreadOutcome> = (1..=seeds)
                    .map(|seed| {
                        spread::simulate(SpreadRun {
                            nodes,
                            policy,
                            updates,
                            demand_per_s,
                            seed,
                            length: Duration::from_secs(30),
                        })
                    })
                    .collect();
                let mean =
                    |of: fn(&SpreadOutcome) -> f64| outcomes.iter().map(of).sum::<f64>() / seeds as f64;
                println!(
                    "{nodes:>5} {:<16} {:<11} {:>7.3} {:>9.3} {:>6.3} {:>8.3} {:>7.0} {:>13.2}",
                    format!("{updates:?}"),
                    format!("{policy:?}"),
                    mean(|outcome| outcome.waited),
                    mean(|outcome| outcome.rejected),
                    mean(|outcome| outcome.late),
                    mean(|outcome| outcome.overdue),
                    mean(|outcome| outcome.first_event_p99_ms),
                    mean(|outcome| outcome.busiest_to_mean),
                );
            }
        }
    }
}

fn experiment(load: &Load, seeds: u64) {
    println!(
        "{:<14} {:>4} {:>8} {:>7} {:>9} {:>8} {:>8} {:>6}",
        "policy", "seed", "requests", "warm %", "unserved", "p50 ms", "p95 ms", "loads"
    );
    for policy in policies() {
        for seed in 1..=seeds {
            let outcome = simulate(&Load { seed, ..*load }, &policy);
            let warm = 100.0 * outcome.warm as f64 / outcome.requests.max(1) as f64;
            println!(
                "{:<14} {seed:>4} {:>8} {warm:>7.1} {:>9} {:>8} {:>8} {:>6}",
                policy.name,
                outcome.requests,
                outcome.unserved,
                outcome.cold_wait_ms.value_at_quantile(0.5),
                outcome.cold_wait_ms.value_at_quantile(0.95),
                outcome.loads,
            );
        }
    }
}

fn fleet(size: FleetSize) {
    let cost = fleet_cost(size);
    println!("{} nodes before {} replicas", size.nodes, size.replicas);
    let rows = [
        ("relays", cost.relays),
        ("followers of one relay, most", cost.max_followers),
        ("links from others to one orderer", cost.orderer_links),
        ("replicas that a relay or an orderer knows", cost.relay_replicas),
        ("replicas that a follower knows", cost.follower_replicas),
        (
            "bytes that a follower gets before it serves",
            cost.follower_start_bytes,
        ),
        ("bytes that it gets for one more model", cost.interest_bytes),
        (
            "bytes of a view that a relay is told whole",
            cost.relay_view_bytes,
        ),
        ("bytes of the longest message of it", cost.longest_message_bytes),
        ("bytes from the store as all start", cost.store_start_bytes),
        (
            "bytes to all nodes for a replica's change",
            cost.replica_change_bytes,
        ),
        ("bytes to all nodes for a node's change", cost.node_change_bytes),
    ];
    for (what, value) in rows {
        println!("{value:>13}  {what}");
    }
}

fn capacity() {
    println!(
        "{:>8} {:>7} {:>13} {:>13} {:>14} {:>12}",
        "replicas", "models", "idle plan us", "busy plan us", "snapshot B", "change B"
    );
    for size in SIZES {
        let cost = measure(size);
        println!(
            "{:>8} {:>7} {:>13} {:>13} {:>14} {:>12}",
            size.replicas,
            size.models,
            cost.idle_plan.as_micros(),
            cost.busy_plan.as_micros(),
            cost.snapshot_bytes,
            cost.change_bytes,
        );
    }
    println!("\nreports of requests that crash replicas, of 380 nodes");
    println!("requests each  report B  verdict after a report us");
    for requests in REPORTED_REQUESTS {
        let cost = measure_crash_reports(requests);
        let verdict_us = cost.verdict.as_secs_f64() * 1e6;
        println!("{requests:13}  {:8}  {verdict_us:25.0}", cost.report_bytes);
    }
    println!("\nreports of parts of prompts that crash replicas, of 985 nodes");
    println!("   parts each  report B  verdict after a report us");
    for parts in REPORTED_PARTS {
        let cost = measure_part_reports(parts);
        let verdict_us = cost.verdict.as_secs_f64() * 1e6;
        println!("{parts:13}  {:8}  {verdict_us:25.0}", cost.report_bytes);
    }
}
