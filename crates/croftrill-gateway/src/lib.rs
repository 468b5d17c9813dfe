//! The HTTP API for callers, and the path of a request from there to an owner
//! node and back.
//!
//! Invariants:
//! - every request gets one final answer: the whole text, or an error that says
//!   whether the request may have run;
//! - a refusal says `not_run` only if no attempt can have run;
//! - an unrepeatable request has at most one attempt that is not provably not
//!   run, and only after its claim was granted;
//! - a claim that was asked for is always finished.

pub mod claims;
mod class_deadlines;
pub mod gateway;
pub mod metrics;
pub mod routing;

mod answers;
mod attempt_run;
mod caller_request;
mod claim_ticket;
mod clock;
mod dispatch;
mod errors;
mod interruption;
mod json_input;
pub mod load_table;
mod request_run;
pub mod retry_policy;

pub use claims::{ClaimAuthority, ClaimDecision};
pub use class_deadlines::ClassDeadlines;
pub use gateway::{Gateway, GatewayConfig};
