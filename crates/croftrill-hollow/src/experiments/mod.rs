//! The experiments. Each prints one table or more.

pub mod steady;
