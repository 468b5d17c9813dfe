//! Parts of the operators' command line: requests to a node and rendering of the responses.

pub mod client;
pub mod render;
