//! Runs as text tables, in the form of Markdown.

use crate::measurement::{Measurement, Quantiles};
use std::fmt::Write;

/// All that a reader compares, of several runs of one workload.
pub fn table(runs: &[Measurement]) -> String {
    let mut text = String::new();
    if let Some(first) = runs.first() {
        let _ = writeln!(
            text,
            "{} seed {} duration {} s, {} requests\n",
            first.scenario, first.seed, first.duration_seconds, first.sent
        );
    }
    text.push_str(&summary_table(runs));
    text.push('\n');
    text.push_str(&class_table(runs));
    text.push('\n');
    text.push_str(&group_table(runs));
    text
}

/// One line a run.
pub fn summary_table(runs: &[Measurement]) -> String {
    let mut text = String::from(
        "| policy | in time | missed | refused | lost | cold starts | cold p50 ms | p95 | p99 | p99.9 \
         | idle hours | loads mem/disk/store | above decided | evictions | unused | store use | store most |\n\
         |---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n",
    );
    for run in runs {
        let _ = writeln!(
            text,
            "| {} | {:.2} % | {} | {} | {} | {} | {} | {:.2} | {}/{}/{} | {} | {} | {} | {:.1} % | {} |",
            run.policy,
            percent(run.in_time, run.sent),
            run.served - run.in_time,
            run.refused,
            run.lost,
            run.cold_start.count,
            quantile_cells(&run.cold_start),
            run.idle_accelerator_hours,
            run.loads_from_memory,
            run.loads_from_disk,
            run.loads_from_store,
            run.loads_above_decided_replicas,
            run.evictions,
            run.unused_loads,
            100.0 * run.store_use,
            run.store_most_at_once,
        );
    }
    text
}

fn class_table(runs: &[Measurement]) -> String {
    let mut text = String::from(
        "| policy | class | sent | in time | missed | refused | first token p50 ms | p95 | p99 | p99.9 \
         | cold starts | cold p50 ms | p95 | p99 | p99.9 | refusals by cause |\n\
         |---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n",
    );
    for run in runs {
        for class in &run.classes {
            let causes: Vec<String> = class
                .refused
                .iter()
                .map(|(cause, count)| format!("{cause} {count}"))
                .collect();
            let _ = writeln!(
                text,
                "| {} | {} | {} | {:.2} % | {} | {} | {} | {} | {} | {} |",
                run.policy,
                class.name,
                class.sent,
                percent(class.in_time, class.sent),
                class.missed,
                class.refused.values().sum::<u64>(),
                quantile_cells(&class.first_token),
                class.cold_start.count,
                quantile_cells(&class.cold_start),
                causes.join(", "),
            );
        }
    }
    text
}

fn group_table(runs: &[Measurement]) -> String {
    let mut text = String::from(
        "| policy | group | sent | in time | engine seconds | used / owed |\n|---|---|---|---|---|---|\n",
    );
    for run in runs {
        for group in &run.groups {
            let _ = writeln!(
                text,
                "| {} | {} | {} | {:.2} % | {:.0} | {:.2} |",
                run.policy,
                group.name,
                group.sent,
                percent(group.in_time, group.sent),
                group.engine_seconds,
                group.share_of_owed,
            );
        }
    }
    text
}

fn quantile_cells(quantiles: &Quantiles) -> String {
    if quantiles.count == 0 {
        return "- | - | - | -".to_string();
    }
    format!(
        "{:.0} | {:.0} | {:.0} | {:.0}",
        quantiles.p50, quantiles.p95, quantiles.p99, quantiles.p999
    )
}

fn percent(part: u64, whole: u64) -> f64 {
    if whole == 0 {
        return 0.0;
    }
    100.0 * part as f64 / whole as f64
}
