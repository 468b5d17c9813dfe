//! Quotas of tenants and limits of replicas, which all nodes keep together.
//!
//! A node asks a keeper before it runs a request; the keeper holds one balance a
//! tenant ([`keeper`]). Tenants are spread over a few parts, each with a keeper of
//! its own ([`keepers`]). A keeper spends only the part of each quota that belongs
//! to the nodes that listen to it, so that two keepers of one part, as in a
//! partition, spend no more together than one that all listen to. The limits that replicas
//! in need name ([`limits`]) are kept in parts of their own. How long a request waits for its
//! turn, and how far ahead it may be granted, its node decides ([`turn`]).

mod account;
pub mod keeper;
pub mod keepers;
pub mod limits;
mod returning;
mod ruling;
pub mod turn;
pub mod waiting;
