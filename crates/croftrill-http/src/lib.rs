//! The native protocols of croftrill, used where no external platform prescribes others:
//!
//! - a key-value store with revisions, leases and watches ([`store_wire`], [`store`]);
//! - model replicas that take fenced orders ([`engine_wire`], [`engine`]);
//! - callers that use the common completions API ([`dialect`]);
//! - the operators' document of models, groups and limits ([`document`]).

pub mod dialect;
pub mod document;
pub mod engine;
pub mod engine_wire;
pub mod native_platform;
pub mod records;
pub mod store;
pub mod store_wire;
