//! A whole system in one process: stand-ins of the platform, nodes, and a caller.

pub mod caller;
pub mod system;
