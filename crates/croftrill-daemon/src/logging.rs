//! Logs to standard error by `simplelog`: time, level, then a fixed prefix for
//! each part, a short sentence and fields as key=value.

use anyhow::Context;
use log::LevelFilter;
use simplelog::{ColorChoice, ConfigBuilder, TermLogger, TerminalMode};

/// Starts logging at a level (`error`, `warn`, `info`, `debug` or `trace`).
pub fn start(level: LevelFilter) -> anyhow::Result<()> {
    let config = ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_thread_level(LevelFilter::Off)
        .set_target_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .add_filter_allow_str("croftrill")
        .build();
    TermLogger::init(level, config, TerminalMode::Stderr, ColorChoice::Never).context("logging cannot start")
}
