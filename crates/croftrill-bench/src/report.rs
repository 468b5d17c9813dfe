//! Runs as a table, as JSON, and as plots.

mod means;
mod plots;
mod table;

pub use means::mean_table;
pub use plots::write_plots;
pub use table::{summary_table, table};

use crate::measurement::Measurement;
use anyhow::{Context, Result};
use std::path::Path;

/// Writes the runs of one workload into a directory, which is created.
pub fn write(runs: &[Measurement], directory: &Path) -> Result<()> {
    std::fs::create_dir_all(directory).with_context(|| format!("cannot create {}", directory.display()))?;
    let json = serde_json::to_string_pretty(runs)?;
    write_file(&directory.join("report.json"), &json)?;
    write_file(&directory.join("report.md"), &table(runs))?;
    write_plots(runs, directory)
}

fn write_file(path: &Path, text: &str) -> Result<()> {
    std::fs::write(path, text).with_context(|| format!("cannot write {}", path.display()))
}
