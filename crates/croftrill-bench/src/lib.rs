//! The project's emulator: the scheduler's own decisions in simulated time.
//!
//! It answers placement questions in seconds, without processes or sockets,
//! and measures what the orderer costs at a size.

pub mod capacity;
pub mod emulator;
pub mod experiment;
pub mod fleet;
pub mod limits;
pub mod spread;
