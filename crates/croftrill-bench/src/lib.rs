//! An emulator of deployments in simulated time, and policies to compare in it.
//!
//! The [`simulation`] holds what is physical: engines, their memory, caches and
//! batches, the weight store, delays. A [`policy`] makes every decision; the
//! policies of croftrill make them with the same code as the daemon. All
//! policies see the same requests, which [`workload`] generates from a
//! [`scenario`] and a seed. [`report`] turns a run into tables, JSON and plots.

pub mod command_line;
pub mod compare;
pub mod identifiers;
pub mod measurement;
pub mod policy;
pub mod report;
pub mod scenario;
pub mod simulation;
pub mod workload;
