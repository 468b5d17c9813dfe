//! Typed messages: between nodes (`peer`, `probe`, `attempt`) and with
//! operators (`operator`). Binary inside (`nanoserde`), JSON towards operators.

pub mod attempt;
pub mod operator;
pub mod peer;
pub mod probe;
