//! The daemon: settings, operator API and node startup.

pub mod daemon;
pub mod operator_api;
pub mod program;
pub mod settings;
pub mod status;
