//! The command line.

use crate::compare::{run_policy, workload, PolicySpec};
use crate::identifiers::SECOND;
use crate::measurement::Measurement;
use crate::report;
use crate::scenario::{Scenario, DEPLOYMENTS};
use anyhow::{bail, Context, Result};
use indicatif::{ProgressBar, ProgressStyle};
use lexopt::prelude::*;
use std::path::PathBuf;

/// Default length of a run, in seconds.
const DEFAULT_DURATION_SECONDS: u64 = 1800;

/// Text of `--help`.
pub const HELP: &str = "\
croftrill-bench: compare policies of croftrill in simulated time

Usage: croftrill-bench compare [options]

Options:
  --deployment NAME   granite-ledger (default) or surakshita-yatra
  --workload FILE     a scenario in TOML in place of --deployment
  --no-caches         engines cache no checkpoints: every load reads from the
                      weight store
  --flood-factor F    the flooding group sends F times as much (default 1)
  --seed N            seed of requests and caches (default 1); may be repeated,
                      then the means are printed
  --duration SECONDS  time over which requests arrive (default 1800)
  --policies FILE     policies in TOML in place of the built-in ones
  --policy NAME       run only this policy; may be repeated
  --output DIR        write report.json, report.md and SVG plots there
  --help              print this
  --version           print the version
";

/// What was asked for.
#[derive(Debug)]
pub enum Command {
    /// Print [`HELP`].
    Help,
    /// Print the version.
    Version,
    /// Compare policies.
    Compare(Box<CompareOptions>),
}

/// Options of `compare`.
#[derive(Debug)]
pub struct CompareOptions {
    scenario: Scenario,
    seeds: Vec<u64>,
    duration_seconds: u64,
    policies: Vec<PolicySpec>,
    output: Option<PathBuf>,
}

/// Reads the command line.
pub fn parse(arguments: impl IntoIterator<Item = std::ffi::OsString>) -> Result<Command> {
    let mut parser = lexopt::Parser::from_args(arguments);
    let mut compare = false;
    let mut policies = PolicySpec::built_in()?;
    let mut names: Vec<String> = Vec::new();
    let mut no_caches = false;
    let mut flood_factor = 1.0;
    let mut options = CompareOptions {
        scenario: Scenario::built_in(DEPLOYMENTS[0])?,
        seeds: Vec::new(),
        duration_seconds: DEFAULT_DURATION_SECONDS,
        policies: Vec::new(),
        output: None,
    };
    while let Some(argument) = parser.next()? {
        match argument {
            Short('h') | Long("help") => return Ok(Command::Help),
            Short('V') | Long("version") => return Ok(Command::Version),
            Value(command) if command == "compare" => compare = true,
            Long("deployment") => options.scenario = Scenario::built_in(&parser.value()?.string()?)?,
            Long("workload") => options.scenario = read_scenario(parser.value()?.into())?,
            Long("flood-factor") => flood_factor = parser.value()?.parse()?,
            Long("no-caches") => no_caches = true,
            Long("seed") => options.seeds.push(parser.value()?.parse()?),
            Long("duration") => options.duration_seconds = parser.value()?.parse()?,
            Long("policies") => policies = read_policies(parser.value()?.into())?,
            Long("policy") => names.push(parser.value()?.string()?),
            Long("output") => options.output = Some(parser.value()?.into()),
            _ => return Err(argument.unexpected().into()),
        }
    }
    if !compare {
        bail!("no command given; see --help");
    }
    options.scenario = options.scenario.with_flood(flood_factor);
    if no_caches {
        options.scenario = options.scenario.without_caches();
    }
    if options.seeds.is_empty() {
        options.seeds.push(1);
    }
    options.policies = choose_policies(policies, &names)?;
    Ok(Command::Compare(Box::new(options)))
}

fn read_scenario(path: PathBuf) -> Result<Scenario> {
    let text = std::fs::read_to_string(&path).with_context(|| format!("cannot read {}", path.display()))?;
    Scenario::parse(&text).with_context(|| path.display().to_string())
}

fn read_policies(path: PathBuf) -> Result<Vec<PolicySpec>> {
    let text = std::fs::read_to_string(&path).with_context(|| format!("cannot read {}", path.display()))?;
    PolicySpec::parse(&text).with_context(|| path.display().to_string())
}

/// The named policies, or all if none is named.
fn choose_policies(policies: Vec<PolicySpec>, names: &[String]) -> Result<Vec<PolicySpec>> {
    let known: Vec<&str> = policies.iter().map(PolicySpec::name).collect();
    if let Some(unknown) = names.iter().find(|name| !known.contains(&name.as_str())) {
        bail!("unknown policy {unknown}; known: {}", known.join(", "));
    }
    let wanted = |policy: &PolicySpec| names.is_empty() || names.iter().any(|name| name == policy.name());
    Ok(policies.into_iter().filter(wanted).collect())
}

/// Runs `compare` and prints its tables: each seed's in full, or with several
/// seeds their means alone.
pub fn compare(options: &CompareOptions) -> Result<()> {
    let mut seeds = Vec::new();
    for seed in &options.seeds {
        let runs = run_seed(options, *seed);
        if options.seeds.len() == 1 {
            println!("{}", report::table(&runs));
        }
        if let Some(directory) = &options.output {
            report::write(
                &runs,
                &directory.join(format!("{}-seed-{seed}", options.scenario.name)),
            )?;
        }
        require_none_lost(&runs)?;
        seeds.push(runs);
    }
    if seeds.len() > 1 {
        println!(
            "{}, means over seeds {:?}\n",
            options.scenario.name, options.seeds
        );
        println!("{}", report::mean_table(&seeds));
    }
    Ok(())
}

/// A run that lost a request proves nothing else.
fn require_none_lost(runs: &[Measurement]) -> Result<()> {
    for run in runs {
        if run.lost > 0 {
            bail!("{} lost {} requests with seed {}", run.policy, run.lost, run.seed);
        }
    }
    Ok(())
}

fn run_seed(options: &CompareOptions, seed: u64) -> Vec<Measurement> {
    let workload = workload(&options.scenario, seed, options.duration_seconds);
    let bar = ProgressBar::new(options.duration_seconds * options.policies.len() as u64);
    if let Ok(style) = ProgressStyle::with_template("{msg:24} {bar:40} {pos}/{len} simulated s, {eta} left") {
        bar.set_style(style);
    }
    let mut runs = Vec::new();
    for (index, policy) in options.policies.iter().enumerate() {
        let before = index as u64 * options.duration_seconds;
        bar.set_message(policy.name().to_string());
        let run = run_policy(policy, &options.scenario, &workload, &mut |micros| {
            bar.set_position(before + (micros / SECOND).min(options.duration_seconds));
        });
        runs.push(run);
    }
    bar.finish_and_clear();
    runs
}
