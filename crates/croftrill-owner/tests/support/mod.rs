//! An engine in memory that keeps a ledger of what it ran and held, and a
//! cluster of one node around it.
#![allow(dead_code)]

pub mod engine;
pub mod world;
