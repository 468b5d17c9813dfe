//! Subcommands and flags of the stand-ins' binary.

use anyhow::{bail, Context, Result};
use croftrill_standin::{EngineConfig, KeyValueConfig, MachineListConfig, ProxyConfig, WeightStoreConfig};
use lexopt::prelude::*;
use lexopt::Parser;
use std::net::{Ipv4Addr, SocketAddr};
use std::str::FromStr;
use std::time::Duration;

/// The help text.
pub const HELP: &str = "\
Runs a small stand-in of one of the platform's services, for tests and trials.

Usage: croftrill-standin <SERVICE> [--listen IP:PORT] [FLAGS]

The first line of standard output is `listening address=IP:PORT`. The default
address is 127.0.0.1:0, which takes a free port.

engine                              A model engine
    --accelerators N                Accelerators [8]
    --accelerator-memory-mib N      Memory of each [80000]
    --max-running N                 Requests that run at once [16]
    --max-waiting N                 Requests that wait inside [16]
    --token-interval-micros N       Time of one token [1000]
    --prefill-tokens-per-second N   Speed of prefill [100000]
    --prefix-cache-blocks N         Cached blocks of 64 prompt bytes [4096]
    --memory-cache-mib N            Checkpoints kept in memory [400000]
    --disk-cache-mib N              Checkpoints kept on disk [2000000]
    --memory-mib-per-second N       Speed of loads from memory [1000000]
    --disk-mib-per-second N         Speed of loads from disk [300000]
    --remote-mib-per-second N       Speed of remote loads without a store [100000]
    --weight-store IP:PORT          The weight store for remote loads
    --adapter-load-millis N         Time of the load of an adapter [20]
    --load-report-interval-millis N Time between load reports [500]
weight-store                        The weight store
    --loads-per-second N            Reads started a second; 0: no limit [0]
    --concurrent-loads N            Reads at once at full speed [6]
    --mib-per-second N              Full speed of one read [100000]
key-value                           The key-value service
    --rate N                        Calls a second; 0: no limit [0]
    --burst N                       Calls at once within the rate limit [20]
machine-list                        The list of machines
    --lag-millis N                  Time until a change is visible [0]
proxy                               A fault-injecting TCP proxy
    --upstream IP:PORT              Where to connect to (required)
    --control-listen IP:PORT        Where to take control calls [127.0.0.1:0]

    -h, --help                      Print this help
";

/// What to run.
#[derive(Debug)]
pub enum Command {
    /// Print the help text.
    Help,
    /// The engine.
    Engine(EngineConfig),
    /// The weight store.
    WeightStore(WeightStoreConfig),
    /// The key-value service.
    KeyValue(KeyValueConfig),
    /// The machine list.
    MachineList(MachineListConfig),
    /// The proxy.
    Proxy(ProxyConfig),
}

/// Reads the command line.
pub fn parse(mut parser: Parser) -> Result<Command> {
    match parser.next()? {
        Some(Value(service)) => match service.string()?.as_str() {
            "engine" => engine(parser),
            "weight-store" => weight_store(parser),
            "key-value" => key_value(parser),
            "machine-list" => machine_list(parser),
            "proxy" => proxy(parser),
            other => bail!("unknown service {other:?}; see --help"),
        },
        Some(Short('h') | Long("help")) => Ok(Command::Help),
        Some(other) => Err(other.unexpected().into()),
        None => bail!("name a service; see --help"),
    }
}

fn engine(mut parser: Parser) -> Result<Command> {
    let mut config = EngineConfig::default();
    let mut accelerators = config.accelerator_memory_mib.len();
    let mut memory_mib = config.accelerator_memory_mib[0];
    while let Some(flag) = next_flag(&mut parser)? {
        match flag.as_str() {
            "help" => return Ok(Command::Help),
            "listen" => config.listen = value(&mut parser, &flag)?,
            "accelerators" => accelerators = value(&mut parser, &flag)?,
            "accelerator-memory-mib" => memory_mib = value(&mut parser, &flag)?,
            "max-running" => config.max_running = value(&mut parser, &flag)?,
            "max-waiting" => config.max_waiting = value(&mut parser, &flag)?,
            "token-interval-micros" => config.token_interval_micros = value(&mut parser, &flag)?,
            "prefill-tokens-per-second" => config.prefill_tokens_per_second = value(&mut parser, &flag)?,
            "prefix-cache-blocks" => config.prefix_cache_blocks = value(&mut parser, &flag)?,
            "memory-cache-mib" => config.memory_cache_mib = value(&mut parser, &flag)?,
            "disk-cache-mib" => config.disk_cache_mib = value(&mut parser, &flag)?,
            "memory-mib-per-second" => config.memory_mib_per_second = value(&mut parser, &flag)?,
            "disk-mib-per-second" => config.disk_mib_per_second = value(&mut parser, &flag)?,
            "remote-mib-per-second" => config.remote_mib_per_second = value(&mut parser, &flag)?,
            "weight-store" => config.weight_store = Some(value(&mut parser, &flag)?),
            "adapter-load-millis" => config.adapter_load_millis = value(&mut parser, &flag)?,
            "load-report-interval-millis" => config.load_report_interval_millis = value(&mut parser, &flag)?,
            _ => bail!("unknown flag --{flag} of engine; see --help"),
        }
    }
    config.accelerator_memory_mib = vec![memory_mib; accelerators];
    Ok(Command::Engine(config))
}

fn weight_store(mut parser: Parser) -> Result<Command> {
    let mut config = WeightStoreConfig::default();
    while let Some(flag) = next_flag(&mut parser)? {
        match flag.as_str() {
            "help" => return Ok(Command::Help),
            "listen" => config.listen = value(&mut parser, &flag)?,
            "loads-per-second" => config.loads_per_second = value(&mut parser, &flag)?,
            "concurrent-loads" => config.concurrent_loads = value(&mut parser, &flag)?,
            "mib-per-second" => config.mib_per_second = value(&mut parser, &flag)?,
            _ => bail!("unknown flag --{flag} of weight-store; see --help"),
        }
    }
    Ok(Command::WeightStore(config))
}

fn key_value(mut parser: Parser) -> Result<Command> {
    let mut config = KeyValueConfig::default();
    while let Some(flag) = next_flag(&mut parser)? {
        match flag.as_str() {
            "help" => return Ok(Command::Help),
            "listen" => config.listen = value(&mut parser, &flag)?,
            "rate" => config.rate_per_second = value(&mut parser, &flag)?,
            "burst" => config.burst = value(&mut parser, &flag)?,
            _ => bail!("unknown flag --{flag} of key-value; see --help"),
        }
    }
    Ok(Command::KeyValue(config))
}

fn machine_list(mut parser: Parser) -> Result<Command> {
    let mut config = MachineListConfig::default();
    while let Some(flag) = next_flag(&mut parser)? {
        match flag.as_str() {
            "help" => return Ok(Command::Help),
            "listen" => config.listen = value(&mut parser, &flag)?,
            "lag-millis" => config.lag = Duration::from_millis(value(&mut parser, &flag)?),
            _ => bail!("unknown flag --{flag} of machine-list; see --help"),
        }
    }
    Ok(Command::MachineList(config))
}

fn proxy(mut parser: Parser) -> Result<Command> {
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let (mut listen, mut control_listen, mut upstream) = (any, any, None);
    while let Some(flag) = next_flag(&mut parser)? {
        match flag.as_str() {
            "help" => return Ok(Command::Help),
            "listen" => listen = value(&mut parser, &flag)?,
            "control-listen" => control_listen = value(&mut parser, &flag)?,
            "upstream" => upstream = Some(value(&mut parser, &flag)?),
            _ => bail!("unknown flag --{flag} of proxy; see --help"),
        }
    }
    let upstream = upstream.context("--upstream is required")?;
    Ok(Command::Proxy(ProxyConfig {
        listen,
        control_listen,
        upstream,
    }))
}

/// The next flag without its dashes.
fn next_flag(parser: &mut Parser) -> Result<Option<String>> {
    match parser.next()? {
        None => Ok(None),
        Some(Long(flag)) => Ok(Some(flag.to_string())),
        Some(Short('h')) => Ok(Some("help".to_string())),
        Some(other) => Err(other.unexpected().into()),
    }
}

fn value<T>(parser: &mut Parser, flag: &str) -> Result<T>
where
    T: FromStr,
    T::Err: Into<Box<dyn std::error::Error + Send + Sync + 'static>>,
{
    let value = parser.value()?;
    value
        .parse()
        .with_context(|| format!("the value of --{flag} is not valid"))
}
