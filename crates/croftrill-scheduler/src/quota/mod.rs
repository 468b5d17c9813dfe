//! Quotas of tenants and limits of replicas, enforced by all nodes together.
//!
//! A node requests a reservation from a keeper before it runs a request. The keeper has one
//! balance per tenant ([`keeper`]). Tenants are spread over a few partitions, each with its own
//! keeper ([`keepers`]). A keeper spends only the share of each quota that belongs to the nodes
//! listening to it. So when a network partition leaves two keepers for the same tenants, they
//! spend no more together than a single keeper would. Limits reported by overloaded replicas
//! ([`limits`]) have partitions of their own. The requesting node decides how long a request
//! waits for its reservation and how far ahead it may be granted ([`reservation`]).

mod account;
mod decision;
mod expected_retries;
pub mod keeper;
pub mod keepers;
pub mod limits;
pub mod permits;
pub mod reservation;
pub mod wait_slots;
