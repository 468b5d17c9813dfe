//! `croftrilld`: one daemon for gateway, owner and coordinator.

use croftrill_daemon::command_line::{self, Command, UsageError, HELP};
use croftrill_daemon::{logging, signals, Daemon};
use croftrill_settings::Settings;
use std::process::ExitCode;

/// Exit code of wrong usage or settings.
const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    match command_line::parse(lexopt::Parser::from_env()) {
        Ok(Command::Help) => {
            print!("{HELP}");
            ExitCode::SUCCESS
        }
        Ok(Command::Version) => {
            println!("croftrilld {}", env!("CARGO_PKG_VERSION"));
            ExitCode::SUCCESS
        }
        Ok(Command::Check(_)) => {
            println!("the settings are valid");
            ExitCode::SUCCESS
        }
        Ok(Command::Run(settings)) => run(*settings),
        Err(UsageError::Arguments(problem)) => {
            eprintln!("croftrilld: {problem}; see --help");
            ExitCode::from(EXIT_USAGE)
        }
        Err(UsageError::Settings(findings)) => {
            eprintln!("{findings}");
            ExitCode::from(EXIT_USAGE)
        }
    }
}

fn run(settings: Settings) -> ExitCode {
    match serve(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("croftrilld: {error:#}");
            ExitCode::FAILURE
        }
    }
}

#[tokio::main]
async fn serve(settings: Settings) -> anyhow::Result<()> {
    let level = settings.log_level.as_str().parse()?;
    logging::start(level)?;
    let daemon = Daemon::start(settings).await?;
    print_addresses(&daemon);
    let signal = signals::planned_stop().await?;
    log::info!("daemon: planned stop signal={signal}");
    daemon.stop().await
}

/// One line for scripts and tests that chose port 0.
fn print_addresses(daemon: &Daemon) {
    let addresses = daemon.addresses();
    println!(
        "listening callers={} operators={} peers={} attempts={}",
        addresses.callers, addresses.operators, addresses.peers, addresses.attempts
    );
}
