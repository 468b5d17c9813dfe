//! The operators' command line client `croftrill`.
//!
//! Each change is asked as an intent and answered with a plan, which is printed
//! and changes nothing until it is confirmed (`plan confirm`, or `--yes`).

mod arguments;
mod client;
mod commands;
mod exit;
mod help;
mod render;
mod table;

pub use exit::Exit;

use arguments::Invocation;
use std::ffi::OsString;
use std::io::Write;

/// The environment variable that names the node to ask.
pub const NODE_VARIABLE: &str = "CROFTRILL_NODE";

/// Runs one command. What was asked for goes to `output`, complaints to
/// `complaints`.
pub async fn run(
    arguments: impl IntoIterator<Item = OsString>,
    node: Option<String>,
    output: &mut dyn Write,
    complaints: &mut dyn Write,
) -> Exit {
    let result = match arguments::parse(arguments, node) {
        Ok(Invocation::Help) => write(output, help::HELP),
        Ok(Invocation::Version) => write(output, help::VERSION),
        Ok(Invocation::Run(command)) => commands::run(command, output).await,
        Err(error) => Err(error),
    };
    match result {
        Ok(exit) => exit,
        Err(error) => {
            // Nothing is left to do if even the complaint cannot be written.
            let _ = writeln!(complaints, "croftrill: {error}");
            error.exit()
        }
    }
}

fn write(output: &mut dyn Write, text: &str) -> Result<Exit, exit::CliError> {
    output.write_all(text.as_bytes())?;
    Ok(Exit::Success)
}
