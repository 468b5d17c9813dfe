//! Signals of a planned stop.

use tokio::signal::unix::{signal, SignalKind};

/// Waits for SIGTERM or SIGINT and names the one that came.
pub async fn planned_stop() -> std::io::Result<&'static str> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => Ok("SIGTERM"),
        _ = interrupt.recv() => Ok("SIGINT"),
    }
}
