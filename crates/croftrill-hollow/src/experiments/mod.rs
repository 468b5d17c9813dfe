//! The experiments. Each prints one table or more.

pub mod operator;
pub mod propagate;
pub mod restart;
pub mod state_size;
pub mod steady;
pub mod takeover;
pub mod traffic;
