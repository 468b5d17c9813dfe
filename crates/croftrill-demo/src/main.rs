//! `croftrill-demo`: a whole system in one process, for trying it out.

use croftrill_daemon::{logging, signals};
use croftrill_demo::{DemoConfig, DemoSystem};
use lexopt::prelude::*;
use std::process::ExitCode;

const HELP: &str = "\
croftrill-demo: a whole croftrill system on loopback, with stand-ins of the platform

Usage: croftrill-demo [--callers IP:PORT] [--operators IP:PORT] [--log-level LEVEL]

It prints lines to paste and stays up until it is interrupted. Addresses default
to free ports of 127.0.0.1, the log level to warn.
";

/// Exit code of wrong usage.
const EXIT_USAGE: u8 = 2;

struct Arguments {
    config: DemoConfig,
    log_level: log::LevelFilter,
}

fn main() -> ExitCode {
    match parse(lexopt::Parser::from_env()) {
        Ok(None) => {
            print!("{HELP}");
            ExitCode::SUCCESS
        }
        Ok(Some(arguments)) => run(arguments),
        Err(error) => {
            eprintln!("croftrill-demo: {error}; see --help");
            ExitCode::from(EXIT_USAGE)
        }
    }
}

/// `None` stands for `--help`.
fn parse(mut parser: lexopt::Parser) -> Result<Option<Arguments>, lexopt::Error> {
    let mut arguments = Arguments {
        config: DemoConfig::default(),
        log_level: log::LevelFilter::Warn,
    };
    while let Some(argument) = parser.next()? {
        match argument {
            Short('h') | Long("help") => return Ok(None),
            Long("callers") => arguments.config.callers = parser.value()?.parse()?,
            Long("operators") => arguments.config.operators = parser.value()?.parse()?,
            Long("log-level") => arguments.log_level = parser.value()?.parse()?,
            other => return Err(other.unexpected()),
        }
    }
    Ok(Some(arguments))
}

fn run(arguments: Arguments) -> ExitCode {
    match serve(arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("croftrill-demo: {error:#}");
            ExitCode::FAILURE
        }
    }
}

#[tokio::main]
async fn serve(arguments: Arguments) -> anyhow::Result<()> {
    logging::start(arguments.log_level)?;
    let system = DemoSystem::start(arguments.config).await?;
    print_hints(&system);
    signals::planned_stop().await?;
    system.stop().await;
    Ok(())
}

fn print_hints(system: &DemoSystem) {
    let callers = system.callers();
    let operators = system.operators();
    println!(
        "croftrill runs: 2 nodes, 2 engines, models clause-lookup (loaded) and bid-review (asleep).

Ask the sleeping model; the first answer waits for its load:

  curl -N http://{callers}/v1/completions -H 'X-Croftrill-Group: demo' -d '{{\"model\":\"bid-review\",\"prompt\":\"Review the bid.\",\"max_tokens\":32,\"stream\":true}}'

Operate it:

  cargo run -q -p croftrill-cli -- --node {operators} status
  curl http://{operators}/metrics

Interrupt (Ctrl-C) for a planned stop."
    );
}
