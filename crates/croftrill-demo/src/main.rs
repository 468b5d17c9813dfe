//! Runs a complete system on the loopback address, calls it, and keeps it running.

use std::time::Duration;

use croftrill_demo::caller::{call, Call};
use croftrill_demo::system::{System, MODELS};
use croftrill_http::dialect::ATTEMPT_HEADER;
use lexopt::prelude::*;
use tokio::task::LocalSet;

const HELP: &str = "\
Runs a store, three model replicas and two nodes on loopback, calls every model
once, prints the outcomes, and keeps running until it is interrupted.

Usage: croftrill-demo [--once]

  --once  exit after the calls
";

fn main() -> anyhow::Result<()> {
    let mut once = false;
    let mut parser = lexopt::Parser::from_env();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("once") => once = true,
            Short('h') | Long("help") => {
                print!("{HELP}");
                return Ok(());
            }
            other => return Err(other.unexpected().into()),
        }
    }
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, run(once))
}

async fn run(once: bool) -> anyhow::Result<()> {
    let system = System::start(3, 2).await?;
    println!("{:<14} {:>9}  outcome", "model", "ms");
    for (index, model) in MODELS.iter().chain([&"maple/a1"]).enumerate() {
        let node = system.nodes[index % system.nodes.len()].settings.listen;
        let request = Call {
            attempt: format!("demo-{index}"),
            model: (*model).to_string(),
            prompt: "a question".to_string(),
            events: 8,
            deadline: Duration::from_secs(10),
            group: Some("tenders".to_string()),
            key: None,
        };
        let (end, took) = call(node, &request).await;
        println!("{model:<14} {:>9}  {end:?}", took.as_millis());
    }
    if once {
        return Ok(());
    }
    let node = &system.nodes[0].settings;
    println!(
        "\ntry it:\n  curl -sN http://{}/v1/completions -H '{ATTEMPT_HEADER}: me-1' \\",
        node.listen
    );
    println!("    -d '{{\"model\":\"rowan\",\"prompt\":\"hello\",\"max_tokens\":8,\"stream\":true}}'");
    println!(
        "  cargo run -p croftrill-cli --bin croftrill -- --node {} status",
        node.operator
    );
    tokio::signal::ctrl_c().await?;
    Ok(())
}
