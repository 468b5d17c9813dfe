//! The daemon's process: settings file and signal handling.

use std::path::{Path, PathBuf};

use anyhow::{bail, Context};
use croftrill_node::logging;
use tokio::signal::unix::{signal, SignalKind};
use tokio::task::spawn_local;

use crate::daemon::{Daemon, Environment};
use crate::settings::Settings;

/// Reads the settings file.
///
/// Returns an error if the file cannot be read, or one that lists every invalid setting.
pub fn read_settings(path: &Path) -> anyhow::Result<Settings> {
    let text = std::fs::read_to_string(path).with_context(|| format!("cannot read {}", path.display()))?;
    match Settings::parse(&text) {
        Ok(settings) => Ok(settings),
        Err(findings) => bail!("{}:\n  {}", path.display(), findings.join("\n  ")),
    }
}

/// Runs a daemon until SIGTERM or SIGINT, then stops it within its grace period.
pub async fn run(
    path: PathBuf,
    settings: Settings,
    environment: Environment,
    log: logging::Log,
) -> anyhow::Result<()> {
    let daemon = Daemon::start_in(settings, environment).await?;
    spawn_local(log.report_dropped_lines(daemon.node.clone()));
    spawn_local(validate_on_hangup(path));
    let mut stop = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = stop.recv() => {}
        _ = interrupt.recv() => {}
    }
    daemon.stop().await;
    Ok(())
}

/// Validates the settings file on SIGHUP. Changed settings take effect only after a restart.
async fn validate_on_hangup(path: PathBuf) {
    let Ok(mut hangup) = signal(SignalKind::hangup()) else {
        return;
    };
    while hangup.recv().await.is_some() {
        match read_settings(&path) {
            Ok(_) => tracing::info!(target: "node", event = "reload", outcome = "settings are valid"),
            Err(error) => {
                tracing::warn!(target: "node", event = "reload", outcome = "settings are invalid; keeping the old ones", %error);
            }
        }
    }
}
