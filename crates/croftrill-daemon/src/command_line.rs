//! The daemon's command line.

use croftrill_settings::{Findings, HttpEndpoint, KeyOverride, LogLevel, Overrides, Settings};
use lexopt::prelude::*;
use std::path::PathBuf;

/// What `--help` prints.
pub const HELP: &str = "\
croftrilld: serves rarely used models from one shared pool of accelerators

Usage: croftrilld --config FILE [OPTIONS]

  -c, --config FILE           settings file (TOML)
      --check                 check the settings, print all findings, and exit
      --node-id NAME          node.id
      --zone NAME             node.zone
      --cell NAME             node.cell
      --listen-callers A      listen.callers      (ip:port)
      --listen-operators A    listen.operators
      --listen-peers A        listen.peers
      --listen-attempts A     listen.attempts
      --advertise-peers A     advertise.peers
      --advertise-attempts A  advertise.attempts
      --seed A                cluster.seeds, may be repeated
      --key-value URL         platform.key_value  (http://ip:port)
      --machine-list URL      platform.machine_list
      --weight-store URL      platform.weight_store
      --log-level LEVEL       log.level (off, error, warn, info, debug, trace)
      --set KEY=VALUE         any key of the settings file, may be repeated
  -h, --help                  print this help
  -V, --version               print the version

A flag overrides the settings file. Exit codes: 0 success, 1 failure,
2 wrong usage or settings.
";

/// What the command line asks for.
pub enum Command {
    /// Print the help.
    Help,
    /// Print the version.
    Version,
    /// Check the settings.
    Check(Box<Settings>),
    /// Run.
    Run(Box<Settings>),
}

/// Why the command line asks for nothing that can be done.
#[derive(Debug)]
pub enum UsageError {
    /// A flag is wrong.
    Arguments(String),
    /// The settings are wrong.
    Settings(Findings),
}

#[derive(Default)]
struct Arguments {
    config: Option<PathBuf>,
    check: bool,
    overrides: Overrides,
}

/// Reads the process's command line and the settings file that it names.
pub fn parse(parser: lexopt::Parser) -> Result<Command, UsageError> {
    match parse_arguments(parser).map_err(|error| UsageError::Arguments(error.to_string()))? {
        Parsed::Help => Ok(Command::Help),
        Parsed::Version => Ok(Command::Version),
        Parsed::Arguments(arguments) => load(*arguments),
    }
}

enum Parsed {
    Help,
    Version,
    Arguments(Box<Arguments>),
}

fn parse_arguments(mut parser: lexopt::Parser) -> Result<Parsed, lexopt::Error> {
    let mut arguments = Arguments::default();
    while let Some(argument) = parser.next()? {
        let overrides = &mut arguments.overrides;
        match argument {
            Short('h') | Long("help") => return Ok(Parsed::Help),
            Short('V') | Long("version") => return Ok(Parsed::Version),
            Short('c') | Long("config") => arguments.config = Some(parser.value()?.into()),
            Long("check") => arguments.check = true,
            Long("node-id") => overrides.node_id = Some(parser.value()?.string()?),
            Long("zone") => overrides.zone = Some(parser.value()?.string()?),
            Long("cell") => overrides.cell = Some(parser.value()?.string()?),
            Long("listen-callers") => overrides.listen_callers = Some(parser.value()?.parse()?),
            Long("listen-operators") => overrides.listen_operators = Some(parser.value()?.parse()?),
            Long("listen-peers") => overrides.listen_peers = Some(parser.value()?.parse()?),
            Long("listen-attempts") => overrides.listen_attempts = Some(parser.value()?.parse()?),
            Long("advertise-peers") => overrides.advertise_peers = Some(parser.value()?.parse()?),
            Long("advertise-attempts") => overrides.advertise_attempts = Some(parser.value()?.parse()?),
            Long("seed") => overrides.seeds.push(parser.value()?.parse()?),
            Long("key-value") => overrides.key_value = Some(endpoint(&mut parser)?),
            Long("machine-list") => overrides.machine_list = Some(endpoint(&mut parser)?),
            Long("weight-store") => overrides.weight_store = Some(endpoint(&mut parser)?),
            Long("set") => overrides.keys.push(key_override(&mut parser)?),
            Long("log-level") => overrides.log_level = Some(log_level(&mut parser)?),
            other => return Err(other.unexpected()),
        }
    }
    Ok(Parsed::Arguments(Box::new(arguments)))
}

fn endpoint(parser: &mut lexopt::Parser) -> Result<HttpEndpoint, lexopt::Error> {
    let text = parser.value()?.string()?;
    HttpEndpoint::parse(&text).ok_or_else(|| format!("{text:?} is not of the form http://ip:port").into())
}

fn key_override(parser: &mut lexopt::Parser) -> Result<KeyOverride, lexopt::Error> {
    let text = parser.value()?.string()?;
    KeyOverride::parse(&text).ok_or_else(|| format!("{text:?} is not of the form key=value").into())
}

fn log_level(parser: &mut lexopt::Parser) -> Result<LogLevel, lexopt::Error> {
    let text = parser.value()?.string()?;
    LogLevel::parse(&text).ok_or_else(|| format!("{text:?} is not a log level").into())
}

fn load(arguments: Arguments) -> Result<Command, UsageError> {
    let (path, text) = read_settings(&arguments)?;
    let settings = Settings::load(&path, &text, &arguments.overrides).map_err(UsageError::Settings)?;
    let settings = Box::new(settings);
    Ok(if arguments.check {
        Command::Check(settings)
    } else {
        Command::Run(settings)
    })
}

/// Without a file, everything comes from flags.
fn read_settings(arguments: &Arguments) -> Result<(String, String), UsageError> {
    let Some(path) = &arguments.config else {
        return Ok(("(flags)".to_string(), String::new()));
    };
    let shown = path.display().to_string();
    let text = std::fs::read_to_string(path)
        .map_err(|error| UsageError::Arguments(format!("{shown} cannot be read: {error}")))?;
    Ok((shown, text))
}
