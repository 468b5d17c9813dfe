//! The daemon: settings, the operators' API, and the start of a node.

pub mod daemon;
pub mod operator_api;
pub mod program;
pub mod settings;
pub mod status;
