//! Which keys this node knows the history of.
//!
//! A key's history is known if, of the rings within memory, this node held the
//! key itself in all since one whose holder handed it over, or since every grant
//! by others is out of its window. The latter is measured from when at least
//! half of the former ring was heard to know of its replacement: a former holder
//! needs a majority that does not.

use super::config::ClaimConfig;
use super::ring::{ClaimRing, FormerRing};
use crate::identifiers::{IdempotencyKey, NodeId, Revision};
use crate::membership::MembershipView;
use crate::time::Instant;
use std::collections::{BTreeSet, VecDeque};

/// Rings remembered at most. More changes within a window are not expected.
const MAX_PAST_RINGS: usize = 64;

/// Whether the history of a key is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum KeyHistory {
    /// Every grant of the key within the window is in this node's records.
    Known,
    /// Another process may have granted the key.
    Unknown {
        /// When it will be known, by what is known now.
        until: Instant,
    },
}

/// A ring that was replaced.
#[derive(Debug)]
struct PastRing {
    ring: FormerRing,
    replaced_by: Revision,
    replaced_at: Instant,
    confirmed_at: Option<Instant>,
    complete_hand_overs: BTreeSet<NodeId>,
}

/// How the ring changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum RingChange {
    /// The ring is the same.
    Same,
    /// This ring was replaced by the next one.
    Next(FormerRing),
    /// It is the first one known, or rings between were missed.
    Missed,
}

/// The present ring and those that were replaced lately.
#[derive(Debug)]
pub(super) struct RingHistory {
    local: NodeId,
    cold_millis: u64,
    unconfirmed_millis: u64,
    witnessed_first: bool,
    current: ClaimRing,
    past: VecDeque<PastRing>,
    /// Before this time anything may have happened; `None` if nothing did.
    unknown_before: Option<Instant>,
}

impl RingHistory {
    pub(super) fn new(local: NodeId, config: &ClaimConfig, witnessed_first: bool) -> Self {
        Self {
            local,
            cold_millis: config.cold_millis(),
            unconfirmed_millis: config.unconfirmed_millis,
            witnessed_first,
            current: ClaimRing::default(),
            past: VecDeque::new(),
            unknown_before: None,
        }
    }

    pub(super) fn current(&self) -> &ClaimRing {
        &self.current
    }

    /// Takes the ring of a later state.
    pub(super) fn observe(&mut self, ring: ClaimRing, now: Instant) -> RingChange {
        if ring.version <= self.current.version {
            return RingChange::Same;
        }
        let first = self.current.version == 0;
        let change = if !first && ring.version == self.current.version + 1 {
            RingChange::Next(self.current.to_former())
        } else {
            RingChange::Missed
        };
        self.remember_replaced(&ring, now);
        let brand_new = first && ring.version == 1 && self.witnessed_first;
        if change == RingChange::Missed && !brand_new && !self.is_connected(&ring) {
            self.unknown_before = Some(now);
        }
        self.current = ring;
        change
    }

    /// Remembers the present ring and those between it and the next one.
    fn remember_replaced(&mut self, next: &ClaimRing, now: Instant) {
        let mut replaced: Vec<FormerRing> = Vec::new();
        if self.current.version > 0 {
            replaced.push(self.current.to_former());
        }
        let known = self.current.revision;
        replaced.extend(
            next.former
                .iter()
                .filter(|former| former.revision > known)
                .cloned(),
        );
        let successors: Vec<Revision> = replaced.iter().skip(1).map(|ring| ring.revision).collect();
        let successors = successors.into_iter().chain([next.revision]);
        for (ring, replaced_by) in replaced.iter().cloned().zip(successors) {
            self.past.push_back(PastRing {
                ring,
                replaced_by,
                replaced_at: now,
                confirmed_at: None,
                complete_hand_overs: BTreeSet::new(),
            });
        }
        while self.past.len() > MAX_PAST_RINGS {
            self.past.pop_front();
            self.unknown_before = Some(now);
        }
    }

    /// Whether no ring between the present and the next one is missing.
    fn is_connected(&self, next: &ClaimRing) -> bool {
        let missed = next.version - self.current.version - 1;
        self.current.version > 0 && missed <= next.former.len() as u64
    }

    /// Learns which nodes know of changes of the ring.
    pub(super) fn confirm(&mut self, view: &MembershipView, now: Instant) {
        for past in &mut self.past {
            let known =
                past.confirmed_at.is_some() || view.is_known_to_half(&past.ring.nodes, past.replaced_by);
            if known {
                past.confirmed_at.get_or_insert(now);
            }
        }
    }

    /// Forgets what no longer matters.
    pub(super) fn prune(&mut self, now: Instant) {
        while self.past.front().is_some_and(|past| now >= self.cold_until(past)) {
            self.past.pop_front();
        }
        let cold = self.cold_millis;
        if self.unknown_before.is_some_and(|at| now >= at + cold) {
            self.unknown_before = None;
        }
    }

    fn cold_until(&self, past: &PastRing) -> Instant {
        let known_at = past
            .confirmed_at
            .unwrap_or(past.replaced_at + self.unconfirmed_millis);
        known_at + self.cold_millis
    }

    /// Whether the history of a key that this node holds now is known.
    pub(super) fn key(&self, key: &IdempotencyKey, now: Instant) -> KeyHistory {
        let mut until = Instant(0);
        for past in self.past.iter().rev() {
            let Some(holder) = past.ring.holder(key) else {
                continue;
            };
            if *holder == self.local {
                continue;
            }
            if past.complete_hand_overs.contains(holder) {
                return known_from(until, now);
            }
            until = until.max(self.cold_until(past));
        }
        if let Some(at) = self.unknown_before {
            until = until.max(at + self.cold_millis);
        }
        known_from(until, now)
    }

    /// Whether the history of all keys that this node held under the ring before
    /// the present one was known.
    pub(super) fn knew_all_keys(&self) -> bool {
        let mut next: Option<&FormerRing> = None;
        for past in self.past.iter().rev() {
            // Its keys came from nodes of a ring further back.
            if past.ring.nodes.is_empty() {
                return false;
            }
            if let Some(next) = next {
                if !self.all_handed_over(past, next) {
                    return false;
                }
                // All that it held came from nodes that vouched for it.
                if !past.ring.nodes.contains(&self.local) {
                    return true;
                }
            }
            next = Some(&past.ring);
        }
        self.unknown_before.is_none()
    }

    /// Whether all nodes that lost keys to this one handed them over.
    fn all_handed_over(&self, past: &PastRing, next: &FormerRing) -> bool {
        let joined = !past.ring.nodes.contains(&self.local);
        past.ring
            .nodes
            .iter()
            .filter(|node| joined || !next.nodes.contains(*node))
            .all(|node| past.complete_hand_overs.contains(node))
    }

    /// Whether this node has yet to learn of the ring that another hands over by.
    pub(super) fn is_before(&self, revision: Revision) -> bool {
        self.current.revision < revision
    }

    /// Whether a node held keys by a change of rings that this node remembers.
    pub(super) fn remembers(&self, from: &NodeId, from_revision: Revision, to_revision: Revision) -> bool {
        self.past
            .iter()
            .any(|past| past.is_change(from_revision, to_revision) && past.ring.nodes.contains(from))
    }

    /// Notes that a former holder handed over all that it knew.
    pub(super) fn note_complete(&mut self, from: &NodeId, from_revision: Revision, to_revision: Revision) {
        let found = self
            .past
            .iter_mut()
            .find(|past| past.is_change(from_revision, to_revision));
        if let Some(past) = found {
            past.complete_hand_overs.insert(from.clone());
        }
    }
}

impl PastRing {
    fn is_change(&self, from_revision: Revision, to_revision: Revision) -> bool {
        self.ring.revision == from_revision && self.replaced_by == to_revision
    }
}

fn known_from(until: Instant, now: Instant) -> KeyHistory {
    if now >= until {
        return KeyHistory::Known;
    }
    KeyHistory::Unknown { until }
}
