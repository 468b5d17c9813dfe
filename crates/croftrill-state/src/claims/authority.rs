//! Whether a holder may still trust its ring.
//!
//! A node that was cut off or paused may have been replaced without learning
//! of it. It stops granting before its successor starts (see
//! [`ClaimConfig::cold_millis`]).

use super::config::ClaimConfig;
use super::ring::ClaimRing;
use crate::identifiers::NodeId;
use crate::membership::MembershipView;
use crate::time::Instant;
use std::collections::BTreeSet;

/// Whether this node may grant claims now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Authority {
    /// It hears from a majority of its ring and is not behind.
    Held,
    /// It may have been replaced.
    Lacking,
}

impl Authority {
    /// What the membership says about this node's right to grant.
    pub fn of(view: &MembershipView, ring: &ClaimRing, config: &ClaimConfig, now: Instant) -> Self {
        let stale = now.millis_since(view.taken_at) > config.view_limit_millis;
        let behind = view
            .behind_since
            .is_some_and(|since| now.millis_since(since) > config.behind_limit_millis);
        let heard = view.heard_from_majority(&ring.nodes, now, config.authority_millis);
        if !stale && !behind && heard {
            return Authority::Held;
        }
        Authority::Lacking
    }
}

/// Whether the coordinator of a cell may change its ring now: it must hear from
/// a majority of the nodes that the present ring has. Without this rule a
/// minority could replace holders that still grant. Nodes in `gone`, whose
/// machines the platform itself reports as stopped, grant nothing any more and
/// do not count.
pub fn may_change_ring(
    view: &MembershipView,
    ring: &ClaimRing,
    gone: &BTreeSet<NodeId>,
    config: &ClaimConfig,
    now: Instant,
) -> bool {
    let running = ClaimRing {
        nodes: ring.nodes.difference(gone).cloned().collect(),
        ..ring.clone()
    };
    running.nodes.is_empty() || Authority::of(view, &running, config, now) == Authority::Held
}
