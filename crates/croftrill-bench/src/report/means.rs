//! Means over several seeds, one line a policy.

use crate::measurement::{Measurement, Quantiles};
use std::fmt::Write;

/// Policy that the others are set against.
const REFERENCE: &str = "croftrill";

/// A table of means; each element of `seeds` holds the runs of one seed, with
/// the same policies in the same order.
pub fn mean_table(seeds: &[Vec<Measurement>]) -> String {
    let mut text = String::from(
        "| policy | in time | against croftrill, points | of the tightest class | of groups that do not flood | late | refused for good | came back | cold starts | cold p50 ms | p95 | p99 | p99.9 \
         | idle hours | loads | from store | unused loads | store use | used / owed, least group |\n\
         |---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n",
    );
    let policies = seeds.first().map_or(0, Vec::len);
    for policy in 0..policies {
        let runs: Vec<&Measurement> = seeds.iter().map(|runs| &runs[policy]).collect();
        write_line(&mut text, &runs, &difference(seeds, policy));
    }
    text
}

fn write_line(text: &mut String, runs: &[&Measurement], difference: &str) {
    let cold = |part: fn(&Quantiles) -> f64| mean(runs, |run| part(&run.cold_start));
    let _ = writeln!(
        text,
        "| {} | {:.2} % | {} | {:.2} % | {:.2} % | {:.0} | {:.0} | {:.0} | {:.0} | {:.0} | {:.0} | {:.0} | {:.0} | {:.2} | {:.0} | {:.0} | {:.0} | {:.1} % | {:.2} |",
        runs[0].policy,
        mean(runs, in_time),
        difference,
        mean(runs, tightest_class),
        mean(runs, not_flooding),
        mean(runs, |run| (run.served - run.in_time) as f64),
        mean(runs, |run| run.refused as f64),
        mean(runs, |run| run.returns as f64),
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

/// Mean difference of the parts served in time to the reference policy on the
/// same seed, with its standard error.
fn difference(seeds: &[Vec<Measurement>], policy: usize) -> String {
    let differences: Option<Vec<f64>> = seeds
        .iter()
        .map(|runs| {
            let reference = runs.iter().find(|run| run.policy == REFERENCE)?;
            Some(in_time(&runs[policy]) - in_time(reference))
        })
        .collect();
    let Some(differences) = differences.filter(|all| all.iter().any(|one| *one != 0.0)) else {
        return "-".to_string();
    };
    let count = differences.len() as f64;
    let mean = differences.iter().sum::<f64>() / count;
    let squares: f64 = differences.iter().map(|one| (one - mean).powi(2)).sum();
    let error = (squares / (count - 1.0).max(1.0) / count).sqrt();
    format!("{mean:+.2} ± {error:.2}")
}

fn in_time(run: &Measurement) -> f64 {
    percent(run.in_time, run.sent)
}

fn not_flooding(run: &Measurement) -> f64 {
    let others = || run.groups.iter().filter(|group| !group.floods);
    percent(
        others().map(|group| group.in_time).sum(),
        others().map(|group| group.sent).sum(),
    )
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
