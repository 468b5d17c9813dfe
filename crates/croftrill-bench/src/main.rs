//! The experiment tool.

use anyhow::Result;
use croftrill_bench::command_line::{compare, parse, Command, HELP};
use std::process::ExitCode;

/// Exit code for a command line that cannot be understood.
const USAGE_ERROR: u8 = 2;

fn main() -> ExitCode {
    let command = match parse(std::env::args_os().skip(1)) {
        Ok(command) => command,
        Err(error) => {
            eprintln!("croftrill-bench: {error:#}");
            return ExitCode::from(USAGE_ERROR);
        }
    };
    match run(command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("croftrill-bench: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(command: Command) -> Result<()> {
    match command {
        Command::Help => print!("{HELP}"),
        Command::Version => println!("croftrill-bench {}", env!("CARGO_PKG_VERSION")),
        Command::Compare(options) => compare(&options)?,
    }
    Ok(())
}
