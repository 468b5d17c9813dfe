//! `croftrill-hollow`: measures what control costs at many nodes.

use croftrill_hollow::command_line::{self, Command, Experiment, Options, HELP};
use croftrill_hollow::experiments::{operator, propagate, restart, state_size, steady, takeover, traffic};
use simplelog::{Config, LevelFilter, WriteLogger};
use std::io::stderr;

#[tokio::main(flavor = "current_thread")]
async fn main() -> anyhow::Result<()> {
    match command_line::parse(lexopt::Parser::from_env())? {
        Command::Help => print!("{HELP}"),
        Command::Run(experiment, options) => {
            WriteLogger::init(LevelFilter::Error, Config::default(), stderr())?;
            run(experiment, *options).await?;
        }
    }
    Ok(())
}

async fn run(experiment: Experiment, options: Options) -> anyhow::Result<()> {
    match experiment {
        Experiment::Steady => steady::run(options.steady(), options.format).await,
        Experiment::StateSize => state_size::run(&options.state_size(), options.format),
        Experiment::Propagate => propagate::run(options.propagate(), options.format).await,
        Experiment::Restart => restart::run(options.restart(), options.format).await,
        Experiment::Takeover => takeover::run(options.takeover(), options.format).await,
        Experiment::Traffic => traffic::run(options.traffic(), options.format).await,
        Experiment::Operator => operator::run(options.operator(), options.format).await,
    }
}
