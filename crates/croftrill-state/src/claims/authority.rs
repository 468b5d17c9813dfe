//! Whether a holder may still trust its ring.
//!
//! A node that was cut off or paused may have been replaced without learning
//! of it. It stops granting before its successor starts (see
//! [`ClaimConfig::cold_millis`]).

use super::config::ClaimConfig;
use super::ring::ClaimRing;
use crate::membership::MembershipView;
use crate::time::Instant;

/// Whether this node may grant claims now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Authority {
    /// It hears from a majority of its ring, none of which is ahead of it.
    Held,
    /// It may have been replaced.
    Lacking,
}

impl Authority {
    /// What the membership says about this node's right to grant.
    pub fn of(view: &MembershipView, ring: &ClaimRing, config: &ClaimConfig, now: Instant) -> Self {
        let stale = now.millis_since(view.taken_at) > config.view_limit_millis;
        let in_step = view.in_step_with_majority(&ring.nodes, now, config.authority_millis);
        if !stale && in_step {
            return Authority::Held;
        }
        Authority::Lacking
    }
}
