//! Claims of idempotency keys between gateways and holders. The rules are in
//! [`croftrill_state::claims`].

mod client;
mod holder;
mod peers;

pub use client::{ClaimClient, ClaimClientConfig, ClaimDecision, ClaimGrant};
pub use holder::{ClaimHolderConfig, ClaimHolderService};
pub use peers::{ClaimCallError, ClaimPeers};
