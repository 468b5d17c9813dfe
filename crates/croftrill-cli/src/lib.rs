//! The operators' command line: what it asks of a node, and how it shows the answers.

pub mod client;
pub mod render;
