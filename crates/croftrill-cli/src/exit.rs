//! Exit codes and errors.

use std::fmt;

/// How a command ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// Done.
    Success,
    /// It failed, or was refused; nothing changed.
    Failure,
    /// The command line makes no sense.
    Usage,
    /// The plan no longer fits; a fresh one was offered if there is one.
    StalePlan,
    /// The system cannot be asked now, or the outcome is unknown.
    Unavailable,
}

impl Exit {
    /// The process's exit code.
    pub fn code(self) -> u8 {
        match self {
            Exit::Success => 0,
            Exit::Failure => 1,
            Exit::Usage => 2,
            Exit::StalePlan => 3,
            Exit::Unavailable => 4,
        }
    }
}

/// Why a command failed.
#[derive(Debug)]
pub(crate) enum CliError {
    /// The command line makes no sense.
    Usage(String),
    /// The request was refused or its answer makes no sense.
    Failure(String),
    /// The system cannot be asked now, or the outcome is unknown.
    Unavailable(String),
}

impl CliError {
    /// The exit that it leads to.
    pub fn exit(&self) -> Exit {
        match self {
            CliError::Usage(_) => Exit::Usage,
            CliError::Failure(_) => Exit::Failure,
            CliError::Unavailable(_) => Exit::Unavailable,
        }
    }
}

impl fmt::Display for CliError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CliError::Usage(text) => write!(formatter, "{text}\nTry 'croftrill --help'."),
            CliError::Failure(text) | CliError::Unavailable(text) => formatter.write_str(text),
        }
    }
}

impl From<std::io::Error> for CliError {
    fn from(error: std::io::Error) -> Self {
        CliError::Failure(format!("the output cannot be written: {error}"))
    }
}

impl From<lexopt::Error> for CliError {
    fn from(error: lexopt::Error) -> Self {
        CliError::Usage(error.to_string())
    }
}
