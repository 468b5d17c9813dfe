//! Means over several seeds, one line a policy.

use crate::measurement::{Measurement, Quantiles};
use std::fmt::Write;

/// A table of means; each element of `seeds` holds the runs of one seed, with
/// the same policies in the same order.
pub fn mean_table(seeds: &[Vec<Measurement>]) -> String {
    let mut text = String::from(
        "| policy | in time | of the tightest class | missed | refused | cold starts | cold p50 ms | p95 | p99 | p99.9 \
         | idle hours | loads | from store | unused loads | store use | used / owed, least group |\n\
         |---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n",
    );
    let policies = seeds.first().map_or(0, Vec::len);
    for policy in 0..policies {
        let runs: Vec<&Measurement> = seeds.iter().map(|runs| &runs[policy]).collect();
        write_line(&mut text, &runs);
    }
    text
}

fn write_line(text: &mut String, runs: &[&Measurement]) {
    let cold = |part: fn(&Quantiles) -> f64| mean(runs, |run| part(&run.cold_start));
    let _ = writeln!(
        text,
        "| {} | {:.2} % | {:.2} % | {:.0} | {:.0} | {:.0} | {:.0} | {:.0} | {:.0} | {:.0} | {:.2} | {:.0} | {:.0} | {:.0} | {:.1} % | {:.2} |",
        runs[0].policy,
        mean(runs, |run| percent(run.in_time, run.sent)),
        mean(runs, tightest_class),
        mean(runs, |run| (run.served - run.in_time) as f64),
        mean(runs, |run| run.refused as f64),
        cold(|quantiles| quantiles.count as f64),
        cold(|quantiles| quantiles.p50),
        cold(|quantiles| quantiles.p95),
        cold(|quantiles| quantiles.p99),
        cold(|quantiles| quantiles.p999),
        mean(runs, |run| run.idle_accelerator_hours),
        mean(runs, |run| loads(run) as f64),
        mean(runs, |run| run.loads_from_store as f64),
        mean(runs, |run| run.unused_loads as f64),
        mean(runs, |run| 100.0 * run.store_use),
        mean(runs, least_share),
    );
}

fn mean(runs: &[&Measurement], value: impl Fn(&Measurement) -> f64) -> f64 {
    runs.iter().map(|run| value(run)).sum::<f64>() / runs.len().max(1) as f64
}

/// The scenarios name their classes the most urgent first.
fn tightest_class(run: &Measurement) -> f64 {
    run.classes
        .first()
        .map_or(0.0, |class| percent(class.in_time, class.sent))
}

fn least_share(run: &Measurement) -> f64 {
    run.groups
        .iter()
        .map(|group| group.share_of_owed)
        .fold(f64::INFINITY, f64::min)
}

fn loads(run: &Measurement) -> u64 {
    run.loads_from_memory + run.loads_from_disk + run.loads_from_store
}

fn percent(part: u64, whole: u64) -> f64 {
    100.0 * part as f64 / whole.max(1) as f64
}
