//! A whole system in one process on loopback: stand-ins of the platform, two
//! engines, two nodes, one group and two models. For trying croftrill out.

mod operators;
mod system;

pub use system::{DemoConfig, DemoSystem};
