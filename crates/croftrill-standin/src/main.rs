//! Runs one stand-in as a process, until it is killed. The first line of
//! standard output tells where it listens.

mod command_line;

use anyhow::Result;
use command_line::Command;
use croftrill_standin::{proxy, Engine, KeyValue, MachineListService, WeightStoreService};
use simplelog::{Config, LevelFilter, WriteLogger};
use std::future::pending;
use std::io::{stderr, stdout, Write};
use std::net::SocketAddr;

#[tokio::main]
async fn main() -> Result<()> {
    let command = command_line::parse(lexopt::Parser::from_env())?;
    WriteLogger::init(LevelFilter::Info, Config::default(), stderr())?;
    match command {
        Command::Help => println!("{}", command_line::HELP),
        Command::Engine(config) => {
            let running = Engine::start(config).await?;
            stay_up(running.server.address(), None).await?;
        }
        Command::WeightStore(config) => {
            let running = WeightStoreService::start(config).await?;
            stay_up(running.server.address(), None).await?;
        }
        Command::KeyValue(config) => {
            let running = KeyValue::start(config).await?;
            stay_up(running.server.address(), None).await?;
        }
        Command::MachineList(config) => {
            let running = MachineListService::start(config).await?;
            stay_up(running.server.address(), None).await?;
        }
        Command::Proxy(config) => {
            let running = proxy::start(config).await?;
            stay_up(running.address(), Some(running.control_address())).await?;
        }
    }
    Ok(())
}

/// Tells the address and waits until the process is killed.
async fn stay_up(address: SocketAddr, control: Option<SocketAddr>) -> Result<()> {
    match control {
        None => println!("listening address={address}"),
        Some(control) => println!("listening address={address} control={control}"),
    }
    stdout().flush()?;
    pending().await
}
