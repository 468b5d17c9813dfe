//! A complete system in one process: stand-ins for the platform, nodes and a test client.

pub mod caller;
pub mod system;
