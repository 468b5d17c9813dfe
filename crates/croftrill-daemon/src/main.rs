//! `croftrilld`: one node of the serving system.

use std::path::{Path, PathBuf};

use anyhow::{bail, Context};
use croftrill_daemon::daemon::Daemon;
use croftrill_daemon::settings::Settings;
use croftrill_node::logging;
use lexopt::prelude::*;
use tokio::signal::unix::{signal, SignalKind};
use tokio::task::{spawn_local, LocalSet};

const HELP: &str = "\
Runs one node of the serving system.

Usage: croftrilld --config FILE [--check]

  --config FILE  settings, in TOML
  --check        check the settings, print every finding, and end
  --help, --version
";

struct Arguments {
    config: PathBuf,
    check: bool,
}

fn arguments() -> anyhow::Result<Option<Arguments>> {
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

fn read_settings(path: &Path) -> anyhow::Result<Settings> {
    let text = std::fs::read_to_string(path).with_context(|| format!("cannot read {}", path.display()))?;
    match Settings::parse(&text) {
        Ok(settings) => Ok(settings),
        Err(findings) => bail!("{}:\n  {}", path.display(), findings.join("\n  ")),
    }
}

fn main() -> anyhow::Result<()> {
    let Some(arguments) = arguments()? else {
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
    LocalSet::new().block_on(&runtime, run(arguments.config, settings, log))
}

async fn run(path: PathBuf, settings: Settings, log: logging::Log) -> anyhow::Result<()> {
    let daemon = Daemon::start(settings).await?;
    spawn_local(log.review(daemon.node.clone()));
    spawn_local(check_on_hangup(path));
    let mut stop = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = stop.recv() => {}
        _ = interrupt.recv() => {}
    }
    daemon.stop().await;
    Ok(())
}

/// Checks the settings again on SIGHUP. They come into force with a restart.
async fn check_on_hangup(path: PathBuf) {
    let Ok(mut hangup) = signal(SignalKind::hangup()) else {
        return;
    };
    while hangup.recv().await.is_some() {
        match read_settings(&path) {
            Ok(_) => tracing::info!(target: "node", event = "reload", outcome = "settings are good"),
            Err(error) => {
                tracing::warn!(target: "node", event = "reload", outcome = "kept the old settings", %error);
            }
        }
    }
}
