//! The command line.

use crate::experiments::steady::SteadyConfig;
use crate::population::Population;
use crate::report::Format;
use anyhow::{bail, ensure};
use lexopt::prelude::*;
use std::time::Duration;

/// Shown by `--help`.
pub const HELP: &str = "\
Measures what control costs at the size to design for, with hollow nodes: the
control parts of many daemons in one process, over loopback.

Usage: croftrill-hollow EXPERIMENT [OPTIONS]

Experiments:
  steady      Cost while nothing happens, at growing sizes

Options:
  --sizes N,N,..     Numbers of nodes, rising (default 24,48,95)
  --population P     Models and adapters, in percent of 730 and 8300 (default 100)
  --window SECONDS   Length of each measurement (default 30)
  --settle SECONDS   Pause before each measurement (default 10)
  --output FORMAT    table or json (default table)
  -h, --help         Print this help
";

/// What to do.
pub enum Command {
    /// Print the help.
    Help,
    /// Run an experiment.
    Run(Experiment, Options),
}

/// The experiments.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Experiment {
    /// Cost while nothing happens.
    Steady,
}

/// Options of all experiments.
#[derive(Clone, Debug)]
pub struct Options {
    /// Numbers of nodes, rising.
    pub sizes: Vec<usize>,
    /// What is configured.
    pub population: Population,
    /// Length of each measurement.
    pub window: Duration,
    /// Pause before each measurement.
    pub settle: Duration,
    /// How the report is written.
    pub format: Format,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            sizes: vec![24, 48, 95],
            population: Population::percent(100),
            window: Duration::from_secs(30),
            settle: Duration::from_secs(10),
            format: Format::Table,
        }
    }
}

impl Options {
    /// The settings of `steady`.
    pub fn steady(&self) -> SteadyConfig {
        SteadyConfig {
            sizes: self.sizes.clone(),
            population: self.population,
            settle: self.settle,
            window: self.window,
        }
    }
}

/// Reads the command line.
pub fn parse(mut parser: lexopt::Parser) -> anyhow::Result<Command> {
    let mut options = Options::default();
    let mut experiment = None;
    while let Some(argument) = parser.next()? {
        match argument {
            Short('h') | Long("help") => return Ok(Command::Help),
            Long("sizes") => options.sizes = sizes(&parser.value()?.string()?)?,
            Long("population") => options.population = Population::percent(parser.value()?.parse()?),
            Long("window") => options.window = Duration::from_secs(parser.value()?.parse()?),
            Long("settle") => options.settle = Duration::from_secs(parser.value()?.parse()?),
            Long("output") => options.format = format(&parser.value()?.string()?)?,
            Value(name) if experiment.is_none() => experiment = Some(named(&name.string()?)?),
            other => return Err(other.unexpected().into()),
        }
    }
    match experiment {
        Some(experiment) => Ok(Command::Run(experiment, options)),
        None => bail!("no experiment given; see --help"),
    }
}

fn named(name: &str) -> anyhow::Result<Experiment> {
    match name {
        "steady" => Ok(Experiment::Steady),
        other => bail!("no experiment is called {other}; see --help"),
    }
}

fn sizes(text: &str) -> anyhow::Result<Vec<usize>> {
    let sizes: Result<Vec<usize>, _> = text.split(',').map(|size| size.trim().parse()).collect();
    let sizes = sizes?;
    ensure!(
        !sizes.is_empty() && sizes[0] > 0 && sizes.is_sorted(),
        "--sizes must rise from at least 1"
    );
    Ok(sizes)
}

fn format(text: &str) -> anyhow::Result<Format> {
    match text {
        "table" => Ok(Format::Table),
        "json" => Ok(Format::Json),
        other => bail!("--output is table or json, not {other}"),
    }
}
