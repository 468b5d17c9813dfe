//! What an operator would type, through the operators' own client.

use anyhow::{ensure, Context};
use croftrill_cli::Exit;
use std::ffi::OsString;
use std::net::SocketAddr;
use std::time::Duration;

/// Pause between two looks at the status.
const STATUS_PAUSE: Duration = Duration::from_millis(100);
/// Looks at the status before the demo gives up.
const STATUS_LOOKS: u32 = 300;

/// Waits until each of `engines` has an owner.
pub async fn wait_for_owners(node: SocketAddr, engines: usize) -> anyhow::Result<()> {
    for _ in 0..STATUS_LOOKS {
        let status = run(node, "status --output json").await.unwrap_or_default();
        let owned = status.matches("\"owner\": \"").count() + status.matches("\"owner\":\"").count();
        if owned >= engines {
            return Ok(());
        }
        tokio::time::sleep(STATUS_PAUSE).await;
    }
    anyhow::bail!("the engines found no owner")
}

/// Runs one command of the operators' client and gives back what it printed.
pub async fn run(node: SocketAddr, command: &str) -> anyhow::Result<String> {
    let arguments: Vec<OsString> = command.split_whitespace().map(OsString::from).collect();
    let mut output = Vec::new();
    let mut complaints = Vec::new();
    let exit = croftrill_cli::run(arguments, Some(node.to_string()), &mut output, &mut complaints).await;
    ensure!(
        matches!(exit, Exit::Success),
        "croftrill {command}: {}",
        String::from_utf8_lossy(&complaints).trim()
    );
    String::from_utf8(output).context("the client printed no text")
}
