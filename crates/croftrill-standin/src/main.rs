//! `croftrill-standin`: runs one stand-in, `store` or `engine`, as a process.

use std::net::SocketAddr;

use anyhow::Context;
use croftrill_standin::engine::{EngineIdentity, EngineStandin};
use croftrill_standin::engine_state::EngineConfig;
use croftrill_standin::store::StoreStandin;
use lexopt::prelude::*;
use tokio::net::TcpListener;
use tokio::task::LocalSet;

const HELP: &str = "\
Runs a stand-in for a part of the platform, for trials and tests.

Usage: croftrill-standin store  --listen IP:PORT
       croftrill-standin engine --listen IP:PORT --store IP:PORT --id ID
                                [--told IP:PORT] [--zone ZONE] [--models A,B] [--disk C,D]

  --told IP:PORT  address in the replica's entry; default: the listen address
";

#[derive(Default)]
struct Arguments {
    kind: String,
    listen: Option<SocketAddr>,
    store: Option<SocketAddr>,
    advertised: Option<SocketAddr>,
    id: String,
    zone: String,
    models: Vec<String>,
    disk: Vec<String>,
}

fn list(text: &str) -> Vec<String> {
    text.split(',')
        .filter(|name| !name.is_empty())
        .map(str::to_string)
        .collect()
}

fn parse_arguments() -> anyhow::Result<Option<Arguments>> {
    let mut parsed = Arguments::default();
    let mut parser = lexopt::Parser::from_env();
    while let Some(argument) = parser.next()? {
        match argument {
            Value(kind) if parsed.kind.is_empty() => parsed.kind = kind.string()?,
            Long("listen") => parsed.listen = Some(parser.value()?.parse()?),
            Long("store") => parsed.store = Some(parser.value()?.parse()?),
            Long("told") => parsed.advertised = Some(parser.value()?.parse()?),
            Long("id") => parsed.id = parser.value()?.string()?,
            Long("zone") => parsed.zone = parser.value()?.string()?,
            Long("models") => parsed.models = list(&parser.value()?.string()?),
            Long("disk") => parsed.disk = list(&parser.value()?.string()?),
            Short('h') | Long("help") => {
                print!("{HELP}");
                return Ok(None);
            }
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(Some(parsed))
}

fn main() -> anyhow::Result<()> {
    let Some(arguments) = parse_arguments()? else {
        return Ok(());
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, run(arguments))
}

async fn run(arguments: Arguments) -> anyhow::Result<()> {
    let listen = arguments.listen.context("--listen is missing")?;
    let listener = TcpListener::bind(listen).await?;
    let address = listener.local_addr()?;
    println!("listening on {address}");
    match arguments.kind.as_str() {
        "store" => drop(StoreStandin::start(listener)),
        "engine" => {
            let identity = EngineIdentity {
                id: arguments.id,
                zone: arguments.zone,
                address: arguments.advertised.unwrap_or(address),
                store: arguments.store.context("--store is missing")?,
                software_version: None,
                restart: None,
            };
            drop(EngineStandin::start(
                listener,
                identity,
                EngineConfig::default(),
                &arguments.models,
                &arguments.disk,
            ));
        }
        other => anyhow::bail!("unknown stand-in: {other}"),
    }
    tokio::signal::ctrl_c().await?;
    Ok(())
}
