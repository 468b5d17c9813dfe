//! The operators' command line client.

use std::io::{stderr, stdout};
use std::process::ExitCode;

fn main() -> ExitCode {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("croftrill: the runtime cannot start: {error}");
            return ExitCode::FAILURE;
        }
    };
    let node = std::env::var(croftrill_cli::NODE_VARIABLE).ok();
    let node = node.filter(|node| !node.is_empty());
    let arguments = std::env::args_os().skip(1);
    let mut output = stdout();
    let mut complaints = stderr();
    let run = croftrill_cli::run(arguments, node, &mut output, &mut complaints);
    ExitCode::from(runtime.block_on(run).code())
}
