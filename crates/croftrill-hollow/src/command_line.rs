//! The command line.

use crate::experiments::operator::OperatorConfig;
use crate::experiments::propagate::PropagateConfig;
use crate::experiments::restart::RestartConfig;
use crate::experiments::state_size::StateSizeConfig;
use crate::experiments::steady::SteadyConfig;
use crate::experiments::takeover::TakeoverConfig;
use crate::experiments::traffic::TrafficConfig;
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
  state-size  Memory, snapshot and operations of the cluster state
  propagate   Time and cost of a change of configuration at every node
  restart     A sixth of the nodes (a zone) fails and starts again at once
  takeover    The coordinator of a cell fails
  traffic     Processor time of a request at the gateway and at the owner
  operator    The operators' calls: plan, status, listings

Options:
  --sizes N,N,..     Numbers of nodes, rising (default 24,48,95)
  --population P     Models and adapters, in percent of 730 and 8300 (default 100)
  --window SECONDS   Length of each measurement (default 30)
  --settle SECONDS   Pause before each measurement (default 10)
  --percents P,P,..  Parts of the full size (state-size, operator; default
                     25,50,100)
  --changes N        Changes at each size (propagate; default 30)
  --gap MILLIS       Pause after each change (propagate; default 1000)
  --down SECONDS     Time between end and start (restart; default 2)
  --failures N       Failures at each size (takeover; default 3)
  --rates N,N,..     Requests a second (traffic; default 10,20,40)
  --tokens N,N,..    Tokens of an answer (traffic; default 50,100,200)
  --output FORMAT    table or json (default table)
  -h, --help         Print this help
";

/// What to do.
pub enum Command {
    /// Print the help.
    Help,
    /// Run an experiment.
    Run(Experiment, Box<Options>),
}

/// The experiments.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Experiment {
    /// Cost while nothing happens.
    Steady,
    /// The cluster state itself.
    StateSize,
    /// A change of configuration.
    Propagate,
    /// A zone restarted at once.
    Restart,
    /// A coordinator's failure.
    Takeover,
    /// Requests.
    Traffic,
    /// Operators' calls.
    Operator,
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
    /// Parts of the full size, in percent, rising.
    pub percents: Vec<usize>,
    /// Changes at each size.
    pub changes: usize,
    /// Pause after each change.
    pub gap: Duration,
    /// Time between the end of nodes and their start.
    pub down: Duration,
    /// Failures at each size.
    pub failures: usize,
    /// Requests a second.
    pub rates: Vec<usize>,
    /// Tokens of an answer.
    pub tokens: Vec<usize>,
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
            percents: vec![25, 50, 100],
            changes: 30,
            gap: Duration::from_millis(1000),
            down: Duration::from_secs(2),
            failures: 3,
            rates: vec![10, 20, 40],
            tokens: vec![50, 100, 200],
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

    /// The settings of `state-size`.
    pub fn state_size(&self) -> StateSizeConfig {
        StateSizeConfig {
            percents: self.percents.clone(),
        }
    }

    /// The settings of `operator`.
    pub fn operator(&self) -> OperatorConfig {
        OperatorConfig {
            percents: self.percents.clone(),
        }
    }

    /// The settings of `traffic`.
    pub fn traffic(&self) -> TrafficConfig {
        TrafficConfig {
            rates: self.rates.clone(),
            tokens: self.tokens.clone(),
            window: self.window,
        }
    }

    /// The settings of `propagate`.
    pub fn propagate(&self) -> PropagateConfig {
        PropagateConfig {
            sizes: self.sizes.clone(),
            population: self.population,
            changes: self.changes,
            gap: self.gap,
            settle: self.settle,
        }
    }

    /// The settings of `restart`.
    pub fn restart(&self) -> RestartConfig {
        RestartConfig {
            sizes: self.sizes.clone(),
            population: self.population,
            down: self.down,
            settle: self.settle,
        }
    }

    /// The settings of `takeover`.
    pub fn takeover(&self) -> TakeoverConfig {
        TakeoverConfig {
            sizes: self.sizes.clone(),
            population: self.population,
            failures: self.failures,
            settle: self.settle,
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
            Long("percents") => options.percents = sizes(&parser.value()?.string()?)?,
            Long("changes") => options.changes = parser.value()?.parse()?,
            Long("gap") => options.gap = Duration::from_millis(parser.value()?.parse()?),
            Long("down") => options.down = Duration::from_secs(parser.value()?.parse()?),
            Long("failures") => options.failures = parser.value()?.parse()?,
            Long("rates") => options.rates = sizes(&parser.value()?.string()?)?,
            Long("tokens") => options.tokens = sizes(&parser.value()?.string()?)?,
            Long("output") => options.format = format(&parser.value()?.string()?)?,
            Value(name) if experiment.is_none() => experiment = Some(named(&name.string()?)?),
            other => return Err(other.unexpected().into()),
        }
    }
    match experiment {
        Some(experiment) => Ok(Command::Run(experiment, Box::new(options))),
        None => bail!("no experiment given; see --help"),
    }
}

fn named(name: &str) -> anyhow::Result<Experiment> {
    match name {
        "steady" => Ok(Experiment::Steady),
        "state-size" => Ok(Experiment::StateSize),
        "propagate" => Ok(Experiment::Propagate),
        "restart" => Ok(Experiment::Restart),
        "takeover" => Ok(Experiment::Takeover),
        "traffic" => Ok(Experiment::Traffic),
        "operator" => Ok(Experiment::Operator),
        other => bail!("no experiment is called {other}; see --help"),
    }
}

fn sizes(text: &str) -> anyhow::Result<Vec<usize>> {
    let sizes: Result<Vec<usize>, _> = text.split(',').map(|size| size.trim().parse()).collect();
    let sizes = sizes?;
    ensure!(
        !sizes.is_empty() && sizes[0] > 0 && sizes.is_sorted(),
        "a list of sizes must rise from at least 1"
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
