//! Problems of settings and where they are.

use std::fmt;
use thiserror::Error;

/// Where a problem is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Place {
    /// In the settings file.
    File {
        /// The file, as it was named.
        path: String,
        /// Line, from 1.
        line: usize,
        /// Column in characters, from 1.
        column: usize,
    },
    /// In the flags.
    Flags,
}

/// One problem.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Where it is.
    pub place: Place,
    /// What it is.
    pub problem: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.place {
            Place::File { path, line, column } => write!(formatter, "{path}:{line}:{column}: ")?,
            Place::Flags => write!(formatter, "flags: ")?,
        }
        formatter.write_str(&self.problem)
    }
}

/// Every problem that was found, at least one.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{}", join(.0))]
pub struct Findings(pub Vec<Finding>);

fn join(findings: &[Finding]) -> String {
    let lines: Vec<String> = findings.iter().map(Finding::to_string).collect();
    lines.join("\n")
}
