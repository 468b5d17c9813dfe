//! `croftrilld`: one node of the serving system.

use std::path::PathBuf;

use anyhow::Context;
use croftrill_daemon::daemon::Environment;
use croftrill_daemon::program::{read_settings, run};
use croftrill_node::logging;
use lexopt::prelude::*;
use tokio::task::LocalSet;

const HELP: &str = "\
Runs one node of the serving system.

Usage: croftrilld --config FILE [--check]

  --config FILE  settings file, in TOML
  --check        check the settings, print every error and exit
  --help, --version
";

struct Arguments {
    config: PathBuf,
    check: bool,
}

fn parse_arguments() -> anyhow::Result<Option<Arguments>> {
    let (mut config, mut check) = (None, false);
    let mut parser = lexopt::Parser::from_env();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("config") => config = Some(parser.value()?.into()),
            Long("check") => check = true,
            Short('h') | Long("help") => {
                print!("{HELP}");
                return Ok(None);
            }
            Long("version") => {
                println!("croftrilld {}", env!("CARGO_PKG_VERSION"));
                return Ok(None);
            }
            other => return Err(other.unexpected().into()),
        }
    }
    let config = config.context("--config FILE is missing; see --help")?;
    Ok(Some(Arguments { config, check }))
}

fn main() -> anyhow::Result<()> {
    let Some(arguments) = parse_arguments()? else {
        return Ok(());
    };
    let settings = read_settings(&arguments.config)?;
    if arguments.check {
        println!("{}: no findings", arguments.config.display());
        return Ok(());
    }
    let log = logging::install(logging::LogConfig::default());
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(
        &runtime,
        run(arguments.config, settings, Environment::default(), log),
    )
}
