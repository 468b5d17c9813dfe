//! Discrete-time emulator that runs the scheduler's production code against simulated replicas.
//!
//! It compares placement, routing and rate-limit policies within seconds, without processes or
//! sockets, and measures the cost of the orderer at a given fleet size.

pub mod capacity;
pub mod emulator;
pub mod experiment;
pub mod fleet;
pub mod limits;
pub mod spread;
